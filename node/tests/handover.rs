//! A connection that is handed over to a successor has one owner at each moment, also where a message between both can't be sent or
//! read for a while, or the successor stands still.

use reedferry_testkit::syscalls::{Call, Fault, Outcome, SyscallInjector};
use reedferry_testkit::*;
use rustix::io::Errno;
use serde_json::{json, Value};
use std::net::TcpListener;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

/// Longer than a process waits for its successor to acknowledge a connection.
const LONGER_THAN_THE_ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(1900);
const CONNECTIONS: usize = 20;

fn never_succeeds(call: Call) -> Fault {
    Fault {
        call,
        outcome: Outcome::Fails(Errno::NOBUFS),
        every: 1,
    }
}

/// A node with open connections, at a listener that the test holds.
struct Site {
    hosts: Hosts,
    _discovery: Discovery,
    node_config: Value,
    listener: TcpListener,
    folder: PathBuf,
}

impl Site {
    fn new() -> Self {
        let (hosts, discovery) = (Hosts::start(2), Discovery::start());
        let node_config = node_config(&hosts, discovery.address);
        Site {
            hosts,
            _discovery: discovery,
            node_config,
            listener: listener(),
            folder: folder(),
        }
    }

    fn start(&self, injector: &SyscallInjector) -> Node {
        let mut node =
            Node::start_injected_at(&self.node_config, &self.listener, &self.folder, injector);
        node.address = self.listener.local_addr().unwrap();
        node
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Prevents that both processes go on with a connection, as the predecessor gives up waiting for messages that lie unread.
#[test]
fn connections_that_the_successor_adopted_stay_with_it_though_its_acknowledgement_is_read_late() {
    let site = Site::new();
    let injector = SyscallInjector::default();
    let mut predecessor = site.start(&injector);
    let mut open: Vec<_> = (0..CONNECTIONS)
        .map(|_| predecessor.served(&site.hosts))
        .collect();
    let _successor = site.start(&SyscallInjector::default());
    injector.set(&[never_succeeds(Call::ReceiveMessage)]);
    predecessor.stop();
    thread::sleep(LONGER_THAN_THE_ACKNOWLEDGE_TIMEOUT);
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

/// Prevents that the successor reads bytes of a connection before it has acknowledged it.
#[test]
fn the_successor_reads_nothing_of_a_connection_before_it_has_acknowledged_it() {
    let site = Site::new();
    let injector = SyscallInjector::default();
    let mut predecessor = site.start(&SyscallInjector::default());
    let mut open: Vec<_> = (0..CONNECTIONS)
        .map(|_| predecessor.served(&site.hosts))
        .collect();
    let _successor = site.start(&injector);
    injector.set(&[never_succeeds(Call::SendMessage)]);
    predecessor.stop();
    eventually("the first connection came", || injector.injected() > 0);
    for (client, ..) in &mut open {
        client.send_line("early");
    }
    // Within the time that the process before waits for its word.
    let until = Instant::now() + Duration::from_millis(600);
    while Instant::now() < until {
        for (_, _, host) in &open {
            host.stream.set_nonblocking(true).unwrap();
            let came = host.stream.peek(&mut [0; 8]);
            host.stream.set_nonblocking(false).unwrap();
            assert!(
                came.is_err(),
                "it touched a connection that it had not answered for: {came:?}"
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

/// Prevents that clients of a process that ends are held for a successor that stands still, until the process is killed.
#[test]
fn clients_are_migrated_in_time_where_the_successor_stands_still_and_the_longest_deadline_is_short()
{
    let mut site = Site::new();
    site.node_config["settings"]["offerings"][0]["expiry"] = json!(500.0);
    site.node_config["settings"]["offerings"][0]["contract_time"] = json!(300.0);
    let mut predecessor = site.start(&SyscallInjector::default());
    let mut open: Vec<_> = (0..CONNECTIONS)
        .map(|_| predecessor.served(&site.hosts))
        .collect();
    let successor = site.start(&SyscallInjector::default());
    successor.suspend();
    // It stands still once this is said of it.
    predecessor.stop();
    let asked = Instant::now();
    for (client, ..) in &mut open {
        client.expect_line("MOVE");
    }
    // The longest expiry and what a node may take beyond it.
    assert!(
        asked.elapsed() < Duration::from_millis(1200),
        "{:?}",
        asked.elapsed()
    );
    successor.unsuspend();
    assert!(predecessor.wait().success());
    for (_, _, host) in &mut open {
        host.expect_line("end");
    }
}
