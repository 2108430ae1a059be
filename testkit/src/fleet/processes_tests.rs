use super::*;
use crate::peers::eventually;
use std::io::{BufRead, BufReader};
use std::net::TcpListener;

/// Guards against a checker that misses a client without an answer, or that reports one whose node had ended.
#[test]
fn a_client_without_an_answer_is_a_violation_unless_its_node_ended() {
    let silent_node = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = silent_node.local_addr().unwrap();
    thread::spawn(move || {
        for stream in silent_node.incoming().flatten() {
            _ = BufReader::new(stream).read_line(&mut String::new());
        }
    });
    let mut fleet = Fleet::new(0, address, FleetOptions::TRIAL).with_program(PathBuf::new());
    fleet.front.add(address);
    let mut returning_clients = ReturningClients::start(1, &fleet.front, Duration::ZERO, None, 1);
    eventually("the client has sent two requests", || {
        returning_clients.records[0].lock().unwrap().requests.len() > 1
    });
    returning_clients.stop();
    assert!(!fleet.violations(&returning_clients).is_empty());
    fleet.ended.push(EndedProcess {
        address,
        at: Instant::now(),
    });
    assert!(fleet.violations(&returning_clients).is_empty());
}
