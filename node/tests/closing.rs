//! Connections that are closed while bytes lie unread on one side, or while descriptors are scarce: every request gets an
//! answer, and the client can read it.

use reedferry_testkit::*;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// Starts a node whose configuration `adjust` has changed.
fn start(hosts: &Hosts, discovery: &Discovery, adjust: impl FnOnce(&mut Value)) -> Node {
    let mut node_config = node_config(hosts, discovery.address);
    adjust(&mut node_config);
    Node::start(&node_config)
}

/// Returns the request of client `n`.
fn open_line(n: usize) -> String {
    format!("OPEN {n:x} 7f3a c=chat,t=acme,d=2000,g=5c0f")
}

/// Connects `count` clients, and waits until all of them are accepted and old enough to be closed for being idle: a connection is
/// safe from that in its first 50 ms.
fn connect_idle_clients(node: &Node, count: usize) -> Vec<Peer> {
    let mut clients: Vec<Peer> = (0..count).map(|_| Peer::connect(node.address)).collect();
    for client in &mut clients {
        client.send_line("PING");
        client.expect_line("PONG");
    }
    let since = Instant::now();
    eventually("the time has passed", || {
        since.elapsed() > Duration::from_millis(100)
    });
    clients
}

/// Guards against a client that is closed to free a descriptor when it has just sent its request: closing a socket with unread
/// bytes resets the connection, and the request would be lost.
#[test]
fn a_client_that_has_just_sent_a_request_is_not_closed_to_free_descriptors() {
    let hosts = Hosts::start(2);
    let discovery = Discovery::start();
    let node = start(&hosts, &discovery, |p| p["limits"]["sockets"] = json!(64));
    // Almost all descriptors that new connections may use.
    let mut idle = connect_idle_clients(&node, 30);
    node.suspend();
    // The node finds these connections, which need descriptors, before the requests of the oldest clients, which it would close
    // first.
    let _crowd: Vec<Peer> = (0..40).map(|_| Peer::connect(node.address)).collect();
    for (n, client) in idle.iter_mut().take(6).enumerate() {
        client.send_line(&open_line(n));
    }
    node.unsuspend();
    for client in idle.iter_mut().take(6) {
        let answer = match hosts.accept_soon() {
            Some((_, mut host)) => {
                host.receive_line();
                host.send_line("UP 1");
                client.receive_line()
            }
            // No descriptor was left for a host: the client is rejected with a line that it can read.
            None => client.receive_line(),
        };
        assert!(
            answer.starts_with("UP") || answer.starts_with("BUSY"),
            "{answer}"
        );
    }
    let answered = idle.drain(..6);
    for mut client in answered {
        // Each is still open, or was closed in order after its answer. None was reset.
        client
            .stream
            .set_read_timeout(Some(Duration::from_millis(50)))
            .unwrap();
        let mut byte = [0];
        let read = std::io::Read::read(&mut client.stream, &mut byte);
        assert!(
            !matches!(read, Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset),
            "the client was reset"
        );
    }
}

/// Guards against a node that cannot watch the discovery service because idle clients took all descriptors while the service was
/// down. The service comes back with a draining host.
#[test]
fn a_watch_begins_again_while_idle_clients_hold_all_descriptors() {
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
        // More than the node has descriptors for. More clients connect below, in place of those that the node closes.
        let mut crowd: Vec<Peer> = (0..200).map(|_| Peer::connect(node.address)).collect();
        let mut last = Peer::connect(node.address);
        last.send_line("PING");
        assert!(["PONG", "BUSY", "end", "reset"].contains(&last.receive_line().as_str()));
        discovery.change(member(0, &hosts.addresses[0].to_string(), "leaving"));
        discovery.come_up();
        let up_at = Instant::now();
        let timeout = Duration::from_secs(6);
        while up_at.elapsed() < timeout {
            crowd.push(Peer::connect(node.address));
            if crowd.len() > 260 {
                crowd.drain(..60);
            }
            if node.drain_log().iter().any(|l| l.contains("watch begun")) {
                break;
            }
        }
        assert!(up_at.elapsed() < timeout, "{mode}: no watch in time");
        drop(crowd);
        let crowd_gone_at = Instant::now();
        eventually("a client is served", || {
            let mut client = node.open(OPEN);
            match hosts.accept_soon() {
                Some((number, mut host)) => {
                    assert_eq!(
                        number,
                        1,
                        "{mode}: sent to a draining host after {:?}",
                        crowd_gone_at.elapsed()
                    );
                    host.send_line("UP 1");
                    client.receive_line().starts_with("UP")
                }
                None => false,
            }
        });
    }
}

/// Guards against an answer that is lost in a reset because its client keeps sending while its connection is closed.
#[test]
fn clients_that_keep_sending_can_read_their_answer_and_its_end() {
    for n in 0..8 {
        // Each round has a host of its own, as a host that rejects a request is ejected for a while.
        let hosts = Hosts::start(1);
        let discovery = Discovery::start();
        let node = start(&hosts, &discovery, |_| {});
        let mut client = Peer::connect(node.address);
        client.send_line(&open_line(n));
        let (_, mut host) = hosts.accept();
        host.receive_line();
        // One turn of the event loop finds both the answer and more bytes of the client.
        node.suspend();
        client.send_line("more than a request");
        host.send_line("BUSY");
        host.end_sending();
        node.unsuspend();
        let answer = client.receive_line();
        assert!(answer.starts_with("BUSY") || answer == "ERR", "{answer}");
        client.expect_line("end");
    }
}

/// Guards against the last lines of a host, sent in pieces right before its end, that are lost or truncated on their way to a client
/// that is sending.
#[test]
fn the_last_lines_of_a_host_reach_a_client_that_is_sending() {
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

/// Guards against a request that lies unread in its socket and is rejected because its client is closed for being idle, and against
/// a request that crosses this end and fails with `ERR` although it may be retried.
#[test]
fn a_request_that_arrives_when_its_idle_client_times_out_is_served() {
    let hosts = Hosts::start(1);
    let discovery = Discovery::start();
    let node = start(&hosts, &discovery, |p| p["limits"]["sockets"] = json!(2048));
    let mut idle = connect_idle_clients(&node, 3);
    let (mut crossing, mut half) = (idle.pop().unwrap(), idle.pop().unwrap());
    half.write("OPEN 7 7f3a c=ch");
    // The node is suspended past the idle timeout, so that the request and the timeout fall into one turn of the event loop. That
    // turn reads no more than what hundreds of other clients have sent before the request.
    let since = Instant::now();
    let mut crowd: Vec<Peer> = (0..700).map(|_| Peer::connect(node.address)).collect();
    // All of them are accepted once a client that connected after them is answered.
    let mut last = Peer::connect(node.address);
    last.send_line("PING");
    last.expect_line("PONG");
    node.suspend();
    eventually("the time has passed", || {
        since.elapsed() > Duration::from_millis(2600)
    });
    crowd.iter_mut().for_each(|other| other.write("O"));
    idle[0].send_line(&open_line(1));
    node.unsuspend();
    let (_, mut host) = hosts.accept();
    assert!(host.receive_line().starts_with("OPEN 1 "));
    host.send_line("UP 1");
    idle[0].expect_line("UP 1");
    // A client that sent nothing is told to retry, and a request that it then sends is not forwarded. Half a line is invalid.
    crossing.send_line(&open_line(2));
    crossing.expect_line("BUSY");
    crossing.expect_line("end");
    half.expect_line("ERR");
    half.expect_line("end");
    assert!(
        hosts.accept_soon().is_none(),
        "forwarded after the connection was closed"
    );
}

/// Guards against a host that counts as silent, so that its client is migrated, although its answer lies unread: more sockets are
/// ready before it than one turn of the event loop serves.
#[test]
fn a_host_whose_answer_is_unread_does_not_count_as_silent() {
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
    eventually("the time has passed", || {
        since.elapsed() > Duration::from_millis(4700)
    });
    node.unsuspend();
    client.expect_line("down 1");
    assert!(
        node.drain_log()
            .iter()
            .all(|line| !line.contains("host silent")),
        "an unread answer counted as silence"
    );
}

/// Guards against a partially sent answer to a ping whose rest is lost because the client is closed for being idle.
#[test]
fn the_rest_of_a_pings_answer_is_sent_before_the_connection_closes() {
    use reedferry_testkit::syscalls::{Call, Fault, Outcome, SyscallInjector};
    use rustix::io::Errno;
    let (hosts, discovery, injector) = (
        Hosts::start(1),
        Discovery::start(),
        SyscallInjector::default(),
    );
    let node = Node::start_injected(&node_config(&hosts, discovery.address), &injector);
    let mut client = Peer::connect(node.address);
    // One byte of the answers goes out, and then none until after the idle timeout.
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
    let mut received = vec!["P".to_string() + &client.receive_line()];
    while received
        .last()
        .is_some_and(|line| line != "end" && line != "reset")
    {
        received.push(client.receive_line());
    }
    assert_eq!(received, ["PONG", "PONG", "BUSY", "end"]);
}
