//! Helpers for the tests of retries: the request class, and hosts whose connections are established late.

use reedferry_testkit::{Node, Peer};
use serde_json::{json, Value};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// How long tests wait for a late connection. The operating system repeats an unanswered connection request
/// after one second.
pub const LATE_CONNECTION_TIMEOUT: Duration = Duration::from_millis(2500);

/// Returns the request class `chat` with the given idempotency, idempotency group and latency objective.
pub fn request_class(idempotency: &str, group: &str, latency_objective_ms: f64) -> Value {
    json!({"name": "chat", "contract_time": latency_objective_ms, "expiry": 6000.0,
        "effect": idempotency, "group": group, "payoff": 1.0, "repeat_window": 6000.0})
}

/// Waits until the node has read everything that was sent to it before, and has started the connections to the
/// hosts that it chose.
pub fn wait_until_read(node: &Node) {
    let mut other = Peer::connect(node.address);
    other.send_line("PING");
    other.expect_line("PONG");
}

/// Frees a listener whose queue is full and accepts the request that arrives on a late connection. Returns the
/// connection, or `None` if no request arrives before the deadline.
pub fn answer_late_request(
    listener: &TcpListener,
    queued_connection: TcpStream,
    deadline: Instant,
) -> Option<Peer> {
    drop(queued_connection);
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
