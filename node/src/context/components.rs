//! The components of the program to which poller tokens refer. A token names the component whose socket is ready or whose timer
//! is due.

/// The timer of the balancer.
pub const BALANCER_TIMER: u8 = 0;
/// The listener for clients.
pub const LISTENER: u8 = 1;
/// The signal that asks the process to stop.
pub const STOP: u8 = 2;
/// A connection to the list service.
pub const DISCOVERY: u8 = 3;
/// A client's connection.
pub const CLIENT: u8 = 4;
/// A connection to a host, and its timers.
pub const HOST: u8 = 5;
/// A load probe.
pub const PROBE: u8 = 6;
/// The timer of the sweep.
pub const SWEEP: u8 = 7;
/// The signal that asks the process to reload its configuration.
pub const RELOAD: u8 = 8;
/// A connection between a forwarder and a planner.
pub const LINK: u8 = 9;
/// The listener for forwarders.
pub const LINK_LISTENER: u8 = 10;
/// The timer of a forwarder's or planner's control-plane core.
pub const CORE_TIMER: u8 = 11;
/// The socket for messages from other nodes.
pub const PEERS: u8 = 12;
/// The listener for operators.
pub const OPS_LISTENER: u8 = 13;
/// An operator's connection.
pub const OPS: u8 = 14;
/// The listener for a successor.
pub const SUCCESSOR_LISTENER: u8 = 15;
/// The channel to the successor process.
pub const SUCCESSOR: u8 = 16;
/// The channel to the predecessor process.
pub const PREDECESSOR: u8 = 17;
/// The timer of the fleet membership.
pub const FLEET_TIMER: u8 = 18;
/// The timer of replicated requests.
pub const REPLICATION_TIMER: u8 = 19;
/// The timer that retries operations on connections after a transient failure.
pub const CONNECTION_RETRY: u8 = 20;
/// The timer that retries operations on the channels of a hot restart after a transient failure.
pub const CHANNEL_RETRY: u8 = 21;
