//! The components of the program that poller tokens are dealt out to: a token says whose socket is ready or whose timer is due.

/// A timer of the balancer.
pub const BALANCER_TIMER: u8 = 0;
/// The listener for clients.
pub const LISTENER: u8 = 1;
/// The signal to stop.
pub const STOP: u8 = 2;
/// The connection to discovery.
pub const DISCOVERY: u8 = 3;
/// A client's connection.
pub const CLIENT: u8 = 4;
/// A connection to a host, and its timers.
pub const HOST: u8 = 5;
/// A load probe.
pub const PROBE: u8 = 6;
/// The timer of the sweep.
pub const SWEEP: u8 = 7;
/// The signal to reload the configuration.
pub const RELOAD: u8 = 8;
/// A connection between a forwarder and a planner.
pub const LINK: u8 = 9;
/// The listener for forwarders.
pub const LINK_LISTENER: u8 = 10;
/// The timer of a forwarder's or planner's core.
pub const CORE_TIMER: u8 = 11;
/// The socket for messages of other nodes.
pub const PEERS: u8 = 12;
/// The listener for operators.
pub const OPS_LISTENER: u8 = 13;
/// An operator's connection.
pub const OPS: u8 = 14;
/// The listener for a successor.
pub const SUCCESSOR_LISTENER: u8 = 15;
/// The channel to the successor.
pub const SUCCESSOR: u8 = 16;
/// The channel to the predecessor.
pub const PREDECESSOR: u8 = 17;
/// The timer of the fleet view.
pub const FLEET_TIMER: u8 = 18;
/// The timer of replicated requests.
pub const REPLICATION_TIMER: u8 = 19;
/// The timer that retries what failed on connections for a moment.
pub const CONNECTION_RETRY: u8 = 20;
/// The timer that retries what failed on the channels of a hot restart for a moment.
pub const CHANNEL_RETRY: u8 = 21;
