//! The time type of the library and its units.

/// A time on the caller's clock, or a duration, in whole nanoseconds.
pub type Nanos = u64;
/// One millisecond.
pub const MILLI: Nanos = 1_000_000;
/// One second.
pub const SECOND: Nanos = 1_000_000_000;
