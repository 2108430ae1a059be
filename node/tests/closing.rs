//! Connections that are closed while bytes lie unread on one side, or while descriptors are short: what was asked has its
//! answer, and what was answered can be read.

use reedferry_testkit::*;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

fn start(hosts: &Hosts, discovery: &Discovery, adjust: impl FnOnce(&mut Value)) -> Node {
    let mut node_config = node_config(hosts, discovery.address);
    adjust(&mut node_config);
    Node::start(&node_config)
}

fn line(n: usize) -> String {
    format!("OPEN {n:x} 7f3a c=chat,t=acme,d=2000,g=5c0f")
}

/// So many clients that rest, all taken in and past the time in which one that has just come is spared.
fn resting(node: &Node, count: usize) -> Vec<Peer> {
    let mut all: Vec<Peer> = (0..count).map(|_| Peer::connect(node.address)).collect();
    for client in &mut all {
        client.send_line("PING");
        client.expect_line("PONG");
    }
    let since = Instant::now();
    eventually("no time passes", || {
        since.elapsed() > Duration::from_millis(100)
    });
    all
}

/// Prevents that a client which has just sent its request is closed to free a descriptor: the request would be lost in the reset
/// that closing over unread bytes brings.
#[test]
fn a_client_that_has_just_asked_is_not_ended_to_make_room() {
    let hosts = Hosts::start(2);
    let discovery = Discovery::start();
    let node = start(&hosts, &discovery, |p| p["limits"]["sockets"] = json!(64));
    // All that new work may have, less a little for what comes after.
    let mut all = resting(&node, 30);
    node.suspend();
    // They come first, and whoever is oldest asks behind them.
    let _crowd: Vec<Peer> = (0..40).map(|_| Peer::connect(node.address)).collect();
    for (n, client) in all.iter_mut().take(6).enumerate() {
        client.send_line(&line(n));
    }
    node.unsuspend();
    for client in all.iter_mut().take(6) {
        let answer = match hosts.accept_soon() {
            Some((_, mut host)) => {
                host.receive_line();
                host.send_line("UP 1");
                client.receive_line()
            }
            // There was no descriptor for a host: refused, in a line that it can read.
            None => client.receive_line(),
        };
        assert!(
            answer.starts_with("UP") || answer.starts_with("BUSY"),
            "{answer}"
        );
    }
    let asked = all.drain(..6);
    for mut client in asked {
        // Each is still there, or was ended in order behind its answer; none was reset.
        client
            .stream
            .set_read_timeout(Some(Duration::from_millis(50)))
            .unwrap();
        let mut byte = [0];
        let read = std::io::Read::read(&mut client.stream, &mut byte);
        assert!(
            !matches!(read, Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset),
            "reset"
        );
    }
}

/// Prevents that a node can't watch the discovery service, as idle clients took all descriptors while the service was down; it is
/// back with a draining host.
#[test]
fn the_list_service_is_heard_though_resting_clients_hold_all_descriptors() {
    for mode in ["on_request", "pushed"] {
        let hosts = Hosts::start(2);
        let discovery = Discovery::start();
        let node = start(&hosts, &discovery, |p| {
            p["limits"]["sockets"] = json!(64);
            p["settings"]["registry_mode"] = json!(mode);
        });
        discovery.calls(1);
        discovery.go_down();
        node.wait_for_log("discovery call failed");
        // They come again whenever they are ended.
        let mut crowd: Vec<Peer> = (0..200).map(|_| Peer::connect(node.address)).collect();
        let mut last = Peer::connect(node.address);
        last.send_line("PING");
        assert!(["PONG", "BUSY", "end", "reset"].contains(&last.receive_line().as_str()));
        discovery.change(member(0, &hosts.addresses[0].to_string(), "leaving"));
        discovery.come_up();
        let back = Instant::now();
        let told = Duration::from_secs(6);
        while back.elapsed() < told {
            crowd.push(Peer::connect(node.address));
            if crowd.len() > 260 {
                crowd.drain(..60);
            }
            if node.drain_log().iter().any(|l| l.contains("watch begun")) {
                break;
            }
        }
        assert!(back.elapsed() < told, "{mode}: not heard in time");
        drop(crowd);
        let before = Instant::now();
        eventually("nobody is served", || {
            let mut client = node.open(OPEN);
            match hosts.accept_soon() {
                Some((at, mut host)) => {
                    assert_eq!(
                        at,
                        1,
                        "{mode}: sent to a host that drains {:?} after",
                        before.elapsed()
                    );
                    host.send_line("UP 1");
                    client.receive_line().starts_with("UP")
                }
                None => false,
            }
        });
    }
}

/// Prevents that an answer is lost in a reset, as its client goes on sending while it is closed.
#[test]
fn answers_are_read_by_clients_that_go_on_sending() {
    for n in 0..8 {
        // A host that turned one away is left alone for a while.
        let hosts = Hosts::start(1);
        let discovery = Discovery::start();
        let node = start(&hosts, &discovery, |_| {});
        let mut client = Peer::connect(node.address);
        client.send_line(&line(n));
        let (_, mut host) = hosts.accept();
        host.receive_line();
        // The answer and more of the client's bytes are there in one turn.
        node.suspend();
        client.send_line("more than was asked for");
        host.send_line("BUSY");
        host.end_sending();
        node.unsuspend();
        let answer = client.receive_line();
        assert!(answer.starts_with("BUSY") || answer == "ERR", "{answer}");
        client.expect_line("end");
    }
}

/// Prevents that the last line of a host, in pieces right before its end, is lost or cut short on its way to a client that sends.
#[test]
fn a_hosts_last_words_arrive_over_its_end_and_the_clients_own_lines() {
    let hosts = Hosts::start(1);
    let discovery = Discovery::start();
    let node = start(&hosts, &discovery, |_| {});
    for end in ["end", "reset"] {
        let (mut client, _, mut host) = node.served(&hosts);
        node.suspend();
        client.send_line("one more");
        host.write("last");
        host.write(" words\r\nBY");
        host.write("E\r\n");
        if end == "end" {
            host.end_sending();
        }
        node.unsuspend();
        client.expect_line("last words");
        client.expect_line("BYE");
        if end == "reset" {
            host.reset();
        }
        assert!(["end", "reset"].contains(&client.receive_line().as_str()));
    }
}

/// Prevents that a request which lies unread in the socket of an idle client is rejected as the client is closed for being idle; and
/// that one which crosses that end is told that it failed, though it may be retried.
#[test]
fn a_client_that_asks_in_the_moment_in_which_it_is_ended_for_resting_is_served() {
    let hosts = Hosts::start(1);
    let discovery = Discovery::start();
    let node = start(&hosts, &discovery, |p| p["limits"]["sockets"] = json!(2048));
    let mut all = resting(&node, 3);
    let (mut crosses, mut half) = (all.pop().unwrap(), all.pop().unwrap());
    half.write("OPEN 7 7f3a c=ch");
    // Past the time in which it is ended: its request and that moment come in one turn, which takes in no more than what
    // hundreds of others have sent before it.
    let since = Instant::now();
    let mut crowd: Vec<Peer> = (0..700).map(|_| Peer::connect(node.address)).collect();
    // All of them have been taken in once one that came behind them is answered.
    let mut last = Peer::connect(node.address);
    last.send_line("PING");
    last.expect_line("PONG");
    node.suspend();
    eventually("no time passes", || {
        since.elapsed() > Duration::from_millis(2600)
    });
    crowd.iter_mut().for_each(|other| other.write("O"));
    all[0].send_line(&line(1));
    node.unsuspend();
    let (_, mut host) = hosts.accept();
    assert!(host.receive_line().starts_with("OPEN 1 "));
    host.send_line("UP 1");
    all[0].expect_line("UP 1");
    // One that had nothing to say may come again, and what it then says is not sent on; half a line is no request.
    crosses.send_line(&line(2));
    crosses.expect_line("BUSY");
    crosses.expect_line("end");
    half.expect_line("ERR");
    half.expect_line("end");
    assert!(hosts.accept_soon().is_none(), "sent on after its end");
}

/// Prevents that a host is taken for silent, and its client migrated, though its answer lies unread behind more than one turn serves.
#[test]
fn a_host_whose_answer_lies_unread_is_not_taken_for_silent() {
    let hosts = Hosts::start(1);
    let discovery = Discovery::start();
    let node = start(&hosts, &discovery, |p| p["limits"]["sockets"] = json!(2048));
    let mut crowd: Vec<Peer> = (0..700).map(|_| Peer::connect(node.address)).collect();
    let (mut client, _, mut host) = node.served(&hosts);
    client.send_line("up 1");
    host.expect_line("up 1");
    node.suspend();
    let since = Instant::now();
    crowd.iter_mut().for_each(|other| other.write("O"));
    host.send_line("down 1");
    eventually("no time passes", || {
        since.elapsed() > Duration::from_millis(4700)
    });
    node.unsuspend();
    client.expect_line("down 1");
    assert!(
        node.drain_log()
            .iter()
            .all(|line| !line.contains("host silent")),
        "taken for silent"
    );
}

/// Prevents that the rest of an answer to a ping, of which a client took a part, is lost as the client is closed for being idle.
#[test]
fn the_rest_of_a_pings_answer_goes_out_before_the_end() {
    use reedferry_testkit::syscalls::{Call, Fault, Outcome, SyscallInjector};
    use rustix::io::Errno;
    let (hosts, discovery, injector) = (
        Hosts::start(1),
        Discovery::start(),
        SyscallInjector::default(),
    );
    let node = Node::start_injected(&node_config(&hosts, discovery.address), &injector);
    let mut client = Peer::connect(node.address);
    // One byte of each answer goes out, and then none for a while.
    let short = Fault {
        call: Call::Send,
        outcome: Outcome::Short,
        every: 1,
    };
    let fails = Fault {
        call: Call::Send,
        outcome: Outcome::Fails(Errno::NOBUFS),
        every: 2,
    };
    injector.set(&[fails, short]);
    client.write("PING\r\nPING\r\n");
    assert_eq!(client.bytes(1), b"P");
    injector.set(&[Fault { every: 1, ..fails }]);
    std::thread::sleep(std::time::Duration::from_millis(2300));
    injector.clear();
    let mut heard = vec!["P".to_string() + &client.receive_line()];
    while heard
        .last()
        .is_some_and(|line| line != "end" && line != "reset")
    {
        heard.push(client.receive_line());
    }
    assert_eq!(heard, ["PONG", "PONG", "BUSY", "end"]);
}
