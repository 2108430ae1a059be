//! Time as the decision module sees it: whole nanoseconds on the caller's clock.

/// Whole nanoseconds, on the caller's clock.
pub type Nanos = u64;
/// One millisecond.
pub const MILLI: Nanos = 1_000_000;
/// One second.
pub const SECOND: Nanos = 1_000_000_000;
