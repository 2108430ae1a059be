//! A connection that is handed over to a successor has exactly one owner at any time, also if a message between the two processes
//! cannot be sent or read for a while, or if the successor is suspended.

use reedferry_testkit::syscalls::{Call, Fault, Outcome, SyscallInjector};
use reedferry_testkit::*;
use rustix::io::Errno;
use serde_json::{json, Value};
use std::net::TcpListener;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

/// Longer than a process waits for its successor to acknowledge a connection.
const PAST_ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(1900);
const CONNECTIONS: usize = 20;

/// Returns the fault in which every call of this kind fails with `ENOBUFS`.
fn fails_always(call: Call) -> Fault {
    Fault {
        call,
        outcome: Outcome::Fails(Errno::NOBUFS),
        every: 1,
    }
}

/// Hosts, a discovery service, and the listener and folder that predecessor and successor share.
struct Fixture {
    hosts: Hosts,
    _discovery: Discovery,
    node_config: Value,
    listener: TcpListener,
    folder: PathBuf,
}

impl Fixture {
    fn new() -> Self {
        let (hosts, discovery) = (Hosts::start(2), Discovery::start());
        let node_config = node_config(&hosts, discovery.address);
        Fixture {
            hosts,
            _discovery: discovery,
            node_config,
            listener: listener(),
            folder: folder(),
        }
    }

    /// Starts a process at the shared listener whose system calls `injector` controls.
    fn start(&self, injector: &SyscallInjector) -> Node {
        let mut node =
            Node::start_injected_at(&self.node_config, &self.listener, &self.folder, injector);
        node.address = self.listener.local_addr().unwrap();
        node
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Guards against a connection that both processes use because the predecessor stops waiting for acknowledgements that lie unread.
#[test]
fn connections_stay_with_the_successor_if_its_acknowledgement_is_read_late() {
    let fixture = Fixture::new();
    let injector = SyscallInjector::default();
    let mut predecessor = fixture.start(&injector);
    let mut open: Vec<_> = (0..CONNECTIONS)
        .map(|_| predecessor.served(&fixture.hosts))
        .collect();
    let _successor = fixture.start(&SyscallInjector::default());
    injector.set(&[fails_always(Call::ReceiveMessage)]);
    predecessor.stop();
    thread::sleep(PAST_ACKNOWLEDGE_TIMEOUT);
    injector.clear();
    assert!(predecessor.wait().success());
    for (number, (client, _, host)) in open.iter_mut().enumerate() {
        for line in [format!("first {number}"), format!("second {number}")] {
            client.send_line(&line);
            host.expect_line(&line);
            host.send_line(&line);
            client.expect_line(&line);
        }
    }
}

/// Guards against a successor that reads from a connection before its acknowledgement is sent: the predecessor may still take it back.
#[test]
fn a_successor_does_not_read_from_a_connection_before_it_acknowledges_it() {
    let fixture = Fixture::new();
    let injector = SyscallInjector::default();
    let mut predecessor = fixture.start(&SyscallInjector::default());
    let mut open: Vec<_> = (0..CONNECTIONS)
        .map(|_| predecessor.served(&fixture.hosts))
        .collect();
    let _successor = fixture.start(&injector);
    injector.set(&[fails_always(Call::SendMessage)]);
    predecessor.stop();
    eventually("the first connection has arrived", || {
        injector.injected() > 0
    });
    for (client, ..) in &mut open {
        client.send_line("early");
    }
    // The predecessor still waits for the acknowledgement during this time.
    let until = Instant::now() + Duration::from_millis(600);
    while Instant::now() < until {
        for (_, _, host) in &open {
            host.stream.set_nonblocking(true).unwrap();
            let received = host.stream.peek(&mut [0; 8]);
            host.stream.set_nonblocking(false).unwrap();
            assert!(
                received.is_err(),
                "the successor used a connection that it had not acknowledged: {received:?}"
            );
        }
        thread::sleep(Duration::from_millis(20));
    }
    injector.clear();
    for (client, _, host) in &mut open {
        host.expect_line("early");
        host.send_line("late");
        client.expect_line("late");
    }
    assert!(predecessor.wait().success());
}

/// Guards against clients of an ending process that are held for a suspended successor until the process is killed.
#[test]
fn clients_with_short_deadlines_are_migrated_in_time_beside_a_suspended_successor() {
    let mut fixture = Fixture::new();
    fixture.node_config["settings"]["offerings"][0]["expiry"] = json!(500.0);
    fixture.node_config["settings"]["offerings"][0]["contract_time"] = json!(300.0);
    let mut predecessor = fixture.start(&SyscallInjector::default());
    let mut open: Vec<_> = (0..CONNECTIONS)
        .map(|_| predecessor.served(&fixture.hosts))
        .collect();
    let successor = fixture.start(&SyscallInjector::default());
    successor.suspend();
    // `suspend` has returned: the successor is suspended from here on.
    predecessor.stop();
    let stop_requested_at = Instant::now();
    for (client, ..) in &mut open {
        client.expect_line("MOVE");
    }
    // The longest expiry of 500 ms, and the 700 ms that a process has beyond it.
    assert!(
        stop_requested_at.elapsed() < Duration::from_millis(1200),
        "{:?}",
        stop_requested_at.elapsed()
    );
    successor.unsuspend();
    assert!(predecessor.wait().success());
    for (_, _, host) in &mut open {
        host.expect_line("end");
    }
}
