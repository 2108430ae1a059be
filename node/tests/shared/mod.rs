//! What trials of retries share: connections that come up late, and the class of the requests.

use reedferry_testkit::{Node, Peer};
use serde_json::{json, Value};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// For how long a connection that comes up late is waited for: the system asks for a connection again a
/// second after the first time.
pub const LATE_CONNECTION_TIMEOUT: Duration = Duration::from_millis(2500);

/// The request class of the trials, but for what a trial sets itself.
pub fn request_class(idempotency: &str, group: &str, latency_objective_ms: f64) -> Value {
    json!({"name": "chat", "contract_time": latency_objective_ms, "expiry": 6000.0,
        "effect": idempotency, "group": group, "payoff": 1.0, "repeat_window": 6000.0})
}

/// Waits until the node has read all that came before, and has begun the connections that it chose.
pub fn wait_until_read(node: &Node) {
    let mut other = Peer::connect(node.address);
    other.send_line("PING");
    other.expect_line("PONG");
}

/// Lets a jammed listener accept again, and answers the request that comes on a late connection, if one does
/// before the deadline.
pub fn answer_late_request(
    listener: &TcpListener,
    first: TcpStream,
    deadline: Instant,
) -> Option<Peer> {
    drop(first);
    drop(listener.accept().unwrap());
    listener.set_nonblocking(true).unwrap();
    while Instant::now() < deadline {
        let Ok((stream, _)) = listener.accept() else {
            continue;
        };
        stream.set_nonblocking(false).unwrap();
        let mut peer = Peer::new(stream);
        if peer.receive_line().starts_with("OPEN") {
            peer.send_line("UP 2");
            return Some(peer);
        }
    }
    None
}
