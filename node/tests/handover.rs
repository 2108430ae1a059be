//! A connection that passes from one process to the next has one owner at each moment, also where a word between both can't be
//! sent or read for a while, or the next process stands still.

use reedferry_testkit::syscalls::{Call, Fault, Outcome, SyscallInjector};
use reedferry_testkit::*;
use rustix::io::Errno;
use serde_json::{json, Value};
use std::net::TcpListener;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

/// Longer than a process waits for the next one to say that it has a connection.
const LONGER_THAN_A_WORD_MAY_TAKE: Duration = Duration::from_millis(1900);
const CONNECTIONS: usize = 20;

fn never_succeeds(call: Call) -> Fault {
    Fault {
        call,
        outcome: Outcome::Fails(Errno::NOBUFS),
        every: 1,
    }
}

/// A node with open connections, at a listener that the test holds, and how its calls are spoilt.
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

/// Guards: connections that both processes go on with, as the one before gives up waiting for words that lie unread.
#[test]
fn what_the_next_process_has_taken_stays_with_it_though_its_word_is_read_late() {
    let site = Site::new();
    let injector = SyscallInjector::default();
    let mut predecessor = site.start(&injector);
    let mut open: Vec<_> = (0..CONNECTIONS)
        .map(|_| predecessor.served(&site.hosts))
        .collect();
    let _heir = site.start(&SyscallInjector::default());
    injector.set(&[never_succeeds(Call::ReceiveMessage)]);
    predecessor.stop();
    thread::sleep(LONGER_THAN_A_WORD_MAY_TAKE);
    injector.clear();
    assert!(predecessor.wait().success());
    for (number, (client, _, host)) in open.iter_mut().enumerate() {
        for line in [format!("first {number}"), format!("second {number}")] {
            client.say(&line);
            host.hears(&line);
            host.say(&line);
            client.hears(&line);
        }
    }
}

/// Guards: bytes of a connection that the next process takes before it has said that it goes on with it.
#[test]
fn the_next_process_touches_nothing_before_it_has_said_that_it_goes_on_with_it() {
    let site = Site::new();
    let injector = SyscallInjector::default();
    let mut predecessor = site.start(&SyscallInjector::default());
    let mut open: Vec<_> = (0..CONNECTIONS)
        .map(|_| predecessor.served(&site.hosts))
        .collect();
    let _heir = site.start(&injector);
    injector.set(&[never_succeeds(Call::SendMessage)]);
    predecessor.stop();
    eventually("the first connection came", || injector.spoilt() > 0);
    for (client, ..) in &mut open {
        client.say("early");
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
        host.hears("early");
        host.say("late");
        client.hears("late");
    }
    assert!(predecessor.wait().success());
}

/// Guards: clients of a process that ends, held for a next one that stands still until it is ended from outside.
#[test]
fn clients_are_moved_in_time_where_the_next_process_stands_still_and_the_longest_expiry_is_short() {
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
        client.hears("MOVE");
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
        host.hears("end");
    }
}
