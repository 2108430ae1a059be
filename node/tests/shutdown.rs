//! A process that is told to stop at each stage of a connection: every client gets one answer that it can read, nothing is sent to
//! hosts after it, and no connection is left when the process may be killed.

use reedferry_testkit::program::node_config_of;
use reedferry_testkit::*;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Starts a node whose configuration `adjust` has changed.
fn start(hosts: &Hosts, adjust: impl FnOnce(&mut Value)) -> (Node, Discovery) {
    let discovery = Discovery::start();
    let mut node_config = node_config(hosts, discovery.address);
    node_config["settings"]["policy_limits"]["connect_timeout"] = json!(5000.0);
    adjust(&mut node_config);
    (Node::start(&node_config), discovery)
}

/// Returns how long after SIGTERM a process may be killed at the earliest, for a longest request deadline in milliseconds.
fn earliest_kill(deadline: u64) -> Duration {
    ms(deadline.min(3000) + 700)
}

/// Sets the expiry and the latency objective of the only class, in milliseconds.
fn set_deadline(node_config: &mut Value, deadline: u64) {
    node_config["settings"]["offerings"][0]["expiry"] = json!(deadline as f64);
    node_config["settings"]["offerings"][0]["contract_time"] = json!(deadline as f64);
}

/// Waits until the node has read all that was sent to it before.
fn wait_until_read(node: &Node) {
    let mut other = Peer::connect(node.address);
    other.send_line("PING");
    other.expect_line("PONG");
}

/// Guards against connections whose host has stopped within a line and that are held until the process is killed, because they are
/// due for migration too late: each of them would be lost.
#[test]
fn connections_whose_host_stopped_within_a_line_close_before_the_process_ends() {
    let hosts = Hosts::start(1);
    let (mut node, _discovery) = start(&hosts, |_| {});
    let mut open: Vec<_> = (0..12).map(|_| node.served(&hosts)).collect();
    for (client, _, host) in &mut open {
        host.write("half");
        assert_eq!(client.bytes(4), b"half");
    }
    let stop_requested_at = Instant::now();
    node.stop();
    for (mut client, _, _host) in open {
        let end = client.receive_line();
        assert!(["end", "reset"].contains(&end.as_str()), "{end}");
        assert!(
            stop_requested_at.elapsed() < earliest_kill(2000),
            "held for {:?}",
            stop_requested_at.elapsed()
        );
    }
    assert!(node.wait().success());
}

/// Guards against the same fault if clients have stopped within a line: these can still be migrated.
#[test]
fn clients_that_stopped_within_a_line_are_migrated_before_the_process_ends() {
    let hosts = Hosts::start(1);
    let (mut node, _discovery) = start(&hosts, |p| set_deadline(p, 1000));
    let mut open: Vec<_> = (0..12).map(|_| node.served(&hosts)).collect();
    for (client, _, host) in &mut open {
        client.write("half");
        assert_eq!(host.bytes(4), b"half");
    }
    let stop_requested_at = Instant::now();
    node.stop();
    for (mut client, _, _host) in open {
        client.expect_line("MOVE");
        assert!(
            stop_requested_at.elapsed() < earliest_kill(1000),
            "held for {:?}",
            stop_requested_at.elapsed()
        );
    }
    assert!(node.wait().success());
}

/// Guards against a client that may wait for longer than the process has left and gets no answer before the process is killed, and
/// against a request that may have run but is rejected as if it had not.
#[test]
fn pending_requests_are_answered_before_the_process_ends_despite_long_deadlines() {
    for (idempotency, expected) in [("free", "BUSY"), ("single_shot", "ERR")] {
        let hosts = Hosts::start(1);
        let (mut node, _discovery) = start(&hosts, |p| {
            set_deadline(p, 9000);
            p["settings"]["offerings"][0]["effect"] = json!(idempotency);
        });
        let mut client = node.open(&OPEN.replace("d=2000", "d=9000"));
        let (_, mut host) = hosts.accept();
        host.receive_line();
        let stop_requested_at = Instant::now();
        node.stop();
        let answer = client.receive_line();
        assert!(answer.starts_with(expected), "{idempotency}: {answer}");
        assert!(
            stop_requested_at.elapsed() < earliest_kill(9000),
            "{idempotency}: {:?}",
            stop_requested_at.elapsed()
        );
        client.expect_line("end");
        host.expect_line("end");
        assert!(node.wait().success());
        assert!(hosts.accept_soon().is_none(), "{idempotency}: retried");
    }
}

/// Guards against idle clients, and clients that have sent half a line, that are still connected when the process ends.
#[test]
fn clients_without_a_request_are_rejected_before_the_process_ends() {
    let hosts = Hosts::start(1);
    let (mut node, _discovery) = start(&hosts, |p| set_deadline(p, 900));
    let mut clients = [Peer::connect(node.address), Peer::connect(node.address)];
    clients[1].write("OPEN 77 88 c=chat");
    wait_until_read(&node);
    let stop_requested_at = Instant::now();
    node.stop();
    node.wait_for_log("asked to stop");
    // The request of a client that connects after the signal, and sends it only after its rejection, is not forwarded.
    let mut late = Peer::connect(node.address);
    late.expect_line("BUSY");
    late.send_line("OPEN 99 88 c=chat,t=acme,d=900");
    late.expect_line("end");
    for mut client in clients {
        client.expect_line("BUSY");
        client.expect_line("end");
    }
    assert!(
        stop_requested_at.elapsed() < earliest_kill(900),
        "held for {:?}",
        stop_requested_at.elapsed()
    );
    assert!(node.wait().success());
    assert!(
        hosts.accept_soon().is_none(),
        "forwarded after the shutdown"
    );
}

/// Returns the listener of a host that accepts no connection before the test does, the connection that fills its backlog, and the
/// endpoint list with this host.
fn unaccepting_host() -> (std::net::TcpListener, std::net::TcpStream, Value) {
    let (listener, first) = full_listener();
    let members = json!([member(
        0,
        &listener.local_addr().unwrap().to_string(),
        "active"
    )]);
    (listener, first, members)
}

/// Guards against a request that is lost, or sent to a host after its answer, if the signal arrives while the connection to its host
/// is being established.
#[test]
fn a_shutdown_while_the_host_is_being_connected_rejects_the_request_once() {
    let (listener, first, members) = unaccepting_host();
    let discovery = Discovery::start();
    let mut node_config = node_config_of(members, discovery.address);
    node_config["settings"]["policy_limits"]["connect_timeout"] = json!(5000.0);
    set_deadline(&mut node_config, 1500);
    let mut node = Node::start(&node_config);
    let mut client = node.open(&OPEN.replace("d=2000", "d=1500"));
    wait_until_read(&node);
    let stop_requested_at = Instant::now();
    node.stop();
    assert!(client.receive_line().starts_with("BUSY"));
    client.expect_line("end");
    assert!(stop_requested_at.elapsed() < earliest_kill(1500));
    assert!(node.wait().success());
    // Any connection that was established was closed without a byte. The first one in the backlog is the test's own.
    drop(first);
    listener.set_nonblocking(true).unwrap();
    while let Ok((late, _)) = listener.accept() {
        late.set_nonblocking(false).unwrap();
        let end = Peer::new(late).receive_line();
        assert!(["end", "reset"].contains(&end.as_str()), "{end}");
    }
}

/// Guards against a shutdown that drops an answer on its way from the host, against a second signal or a reload during the shutdown
/// that cuts connections, and against answers that are lost in a reset because their clients keep sending.
#[test]
fn an_answer_in_flight_is_forwarded_despite_two_signals_and_a_reload() {
    let hosts = Hosts::start(1);
    let (mut node, discovery) = start(&hosts, |_| {});
    let mut waiting = node.open(OPEN);
    let (_, mut host) = hosts.accept();
    host.receive_line();
    host.write("UP 7");
    let (mut open, _, mut other) = node.served(&hosts);
    let stop_requested_at = Instant::now();
    node.stop();
    node.wait_for_log("asked to stop");
    let mut changed_config = node_config(&hosts, discovery.address);
    changed_config["settings"]["offerings"][0]["payoff"] = json!(2.0);
    node.reload(&changed_config.to_string());
    node.wait_for_log("configuration reloaded");
    node.stop();
    host.write("7aa\r\n");
    waiting.expect_line("UP 77aa");
    waiting.send_line("still here");
    host.expect_line("still here");
    host.send_line("so am I");
    waiting.expect_line("so am I");
    for (client, host) in [(&mut waiting, &mut host), (&mut open, &mut other)] {
        client.expect_line("MOVE");
        // A line that is sent into the closing connection causes no reset and reaches no host.
        client.send_line("too late");
        client.expect_line("end");
        host.expect_line("end");
    }
    assert!(
        stop_requested_at.elapsed() < earliest_kill(2000),
        "{:?}",
        stop_requested_at.elapsed()
    );
    assert!(node.wait().success());
}

/// Guards against a request that fails although its host has accepted it: at the end of the shutdown the answer lies unread, and more
/// sockets are ready before it than one turn of the event loop serves.
#[test]
fn an_unread_answer_is_forwarded_at_the_end_of_a_shutdown() {
    let hosts = Hosts::start(1);
    let (mut node, _discovery) = start(&hosts, |p| {
        set_deadline(p, 9000);
        p["settings"]["offerings"][0]["effect"] = json!("single_shot");
        p["limits"]["sockets"] = json!(2048);
    });
    let mut client = node.open(&OPEN.replace("d=2000", "d=9000"));
    let (_, mut host) = hosts.accept();
    host.receive_line();
    let stop_requested_at = Instant::now();
    node.stop();
    eventually("the time has passed", || {
        stop_requested_at.elapsed() > ms(2000)
    });
    // These clients are idle for less than the timeout of two seconds by then, and write before the host.
    let mut crowd: Vec<Peer> = (0..700).map(|_| Peer::connect(node.address)).collect();
    wait_until_read(&node);
    node.suspend();
    crowd.iter_mut().for_each(|other| other.write("O"));
    host.send_line("UP 7");
    eventually("the time has passed", || {
        stop_requested_at.elapsed() > earliest_kill(9000) - ms(170)
    });
    node.unsuspend();
    client.expect_line("UP 7");
    client.expect_line("MOVE");
    client.expect_line("end");
    assert!(node.wait().success());
}
