//! A process that is asked to stop at each point of a connection's life: everyone has one answer that can be read, nothing is sent
//! after it, and nobody is held any more when the process may be killed.

use reedferry_testkit::program::node_config_of;
use reedferry_testkit::*;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn start(hosts: &Hosts, adjust: impl FnOnce(&mut Value)) -> (Node, Discovery) {
    let discovery = Discovery::start();
    let mut node_config = node_config(hosts, discovery.address);
    node_config["settings"]["policy_limits"]["connect_timeout"] = json!(5000.0);
    adjust(&mut node_config);
    (Node::start(&node_config), discovery)
}

/// When a process with this longest deadline may be killed at the earliest.
fn kill_time(deadline: u64) -> Duration {
    ms(deadline.min(3000) + 700)
}

fn set_deadline(node_config: &mut Value, deadline: u64) {
    node_config["settings"]["offerings"][0]["expiry"] = json!(deadline as f64);
    node_config["settings"]["offerings"][0]["contract_time"] = json!(deadline as f64);
}

/// Whoever answers this has read all that came before.
fn wait_until_read(node: &Node) {
    let mut other = Peer::connect(node.address);
    other.send_line("PING");
    other.expect_line("PONG");
}

/// Prevents that connections whose host has stopped within a line are held until the process is killed, as their turn to be
/// migrated comes late: each would be lost.
#[test]
fn connections_whose_host_stopped_within_a_line_are_closed_before_the_process_ends() {
    let hosts = Hosts::start(1);
    let (mut node, _discovery) = start(&hosts, |_| {});
    let mut all: Vec<_> = (0..12).map(|_| node.served(&hosts)).collect();
    for (client, _, host) in &mut all {
        host.write("half");
        assert_eq!(client.bytes(4), b"half");
    }
    let began = Instant::now();
    node.stop();
    for (mut client, _, _host) in all {
        let end = client.receive_line();
        assert!(["end", "reset"].contains(&end.as_str()), "{end}");
        assert!(
            began.elapsed() < kill_time(2000),
            "held for {:?}",
            began.elapsed()
        );
    }
    assert!(node.wait().success());
}

/// Prevents the same where clients stopped within a line of theirs: these can still be migrated.
#[test]
fn clients_that_stopped_within_a_line_are_migrated_before_the_process_ends() {
    let hosts = Hosts::start(1);
    let (mut node, _discovery) = start(&hosts, |p| set_deadline(p, 1000));
    let mut all: Vec<_> = (0..12).map(|_| node.served(&hosts)).collect();
    for (client, _, host) in &mut all {
        client.write("half");
        assert_eq!(host.bytes(4), b"half");
    }
    let began = Instant::now();
    node.stop();
    for (mut client, _, _host) in all {
        client.expect_line("MOVE");
        assert!(
            began.elapsed() < kill_time(1000),
            "held for {:?}",
            began.elapsed()
        );
    }
    assert!(node.wait().success());
}

/// Prevents that an answer comes only after the process was killed, where clients may wait for longer than that leaves, and that a
/// request which may have run is rejected as though it had not.
#[test]
fn requests_without_an_answer_of_a_host_are_answered_before_the_process_ends_whatever_their_deadline(
) {
    for (idempotency, answer) in [("free", "BUSY"), ("single_shot", "ERR")] {
        let hosts = Hosts::start(1);
        let (mut node, _discovery) = start(&hosts, |p| {
            set_deadline(p, 9000);
            p["settings"]["offerings"][0]["effect"] = json!(idempotency);
        });
        let mut client = node.open(&OPEN.replace("d=2000", "d=9000"));
        let (_, mut host) = hosts.accept();
        host.receive_line();
        let began = Instant::now();
        node.stop();
        let said = client.receive_line();
        assert!(said.starts_with(answer), "{idempotency}: {said}");
        assert!(
            began.elapsed() < kill_time(9000),
            "{idempotency}: {:?}",
            began.elapsed()
        );
        client.expect_line("end");
        host.expect_line("end");
        assert!(node.wait().success());
        assert!(
            hosts.accept_soon().is_none(),
            "{idempotency}: sent on again"
        );
    }
}

/// Prevents that idle clients and those that have sent half of their line are held when the process ends.
#[test]
fn clients_without_a_request_are_rejected_before_the_process_ends() {
    let hosts = Hosts::start(1);
    let (mut node, _discovery) = start(&hosts, |p| set_deadline(p, 900));
    let mut clients = [Peer::connect(node.address), Peer::connect(node.address)];
    clients[1].write("OPEN 77 88 c=chat");
    wait_until_read(&node);
    let began = Instant::now();
    node.stop();
    node.wait_for_log("asked to stop");
    // One that comes after the signal, and asks only when it is told to go, is not sent on.
    let mut late = Peer::connect(node.address);
    late.expect_line("BUSY");
    late.send_line("OPEN 99 88 c=chat,t=acme,d=900");
    late.expect_line("end");
    for mut client in clients {
        client.expect_line("BUSY");
        client.expect_line("end");
    }
    assert!(
        began.elapsed() < kill_time(900),
        "held for {:?}",
        began.elapsed()
    );
    assert!(node.wait().success());
    assert!(hosts.accept_soon().is_none(), "sent on after the shutdown");
}

/// A host's listener that a test takes connections from when it likes, and the list that names it.
fn unaccepting_host() -> (std::net::TcpListener, std::net::TcpStream, Value) {
    let (listener, first) = full_listener();
    let members = json!([member(
        0,
        &listener.local_addr().unwrap().to_string(),
        "active"
    )]);
    (listener, first, members)
}

/// Prevents that a request is lost, or sent to a host after its answer, where the signal comes while the connection to its host is
/// established.
#[test]
fn a_shutdown_while_the_connection_to_the_host_is_established() {
    let (listener, first, members) = unaccepting_host();
    let discovery = Discovery::start();
    let mut node_config = node_config_of(members, discovery.address);
    node_config["settings"]["policy_limits"]["connect_timeout"] = json!(5000.0);
    set_deadline(&mut node_config, 1500);
    let mut node = Node::start(&node_config);
    let mut client = node.open(&OPEN.replace("d=2000", "d=1500"));
    wait_until_read(&node);
    let began = Instant::now();
    node.stop();
    assert!(client.receive_line().starts_with("BUSY"));
    client.expect_line("end");
    assert!(began.elapsed() < kill_time(1500));
    assert!(node.wait().success());
    // What came up at all was ended without a byte; first in the way was the test's own.
    drop(first);
    listener.set_nonblocking(true).unwrap();
    while let Ok((late, _)) = listener.accept() {
        late.set_nonblocking(false).unwrap();
        let end = Peer::new(late).receive_line();
        assert!(["end", "reset"].contains(&end.as_str()), "{end}");
    }
}

/// Prevents that an answer on its way from the host is dropped by a shutdown, that a second signal or a reload in the middle cuts what
/// is under way, and that answers are lost in a reset as clients go on sending.
#[test]
fn an_answer_in_flight_is_forwarded_over_two_signals_and_a_reload() {
    let hosts = Hosts::start(1);
    let (mut node, discovery) = start(&hosts, |_| {});
    let mut waiting = node.open(OPEN);
    let (_, mut host) = hosts.accept();
    host.receive_line();
    host.write("UP 7");
    let (mut open, _, mut other) = node.served(&hosts);
    let began = Instant::now();
    node.stop();
    node.wait_for_log("asked to stop");
    let mut fresh = node_config(&hosts, discovery.address);
    fresh["settings"]["offerings"][0]["payoff"] = json!(2.0);
    node.reload(&fresh.to_string());
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
        // What it sends into the closing connection takes nothing back, and reaches no host.
        client.send_line("too late");
        client.expect_line("end");
        host.expect_line("end");
    }
    assert!(began.elapsed() < kill_time(2000), "{:?}", began.elapsed());
    assert!(node.wait().success());
}

/// Prevents that a request which may have run fails though it was accepted, as its answer lies unread, behind more than one turn
/// serves, at the last moment by which anybody is held.
#[test]
fn an_unread_answer_at_the_last_moment_of_a_shutdown_is_forwarded() {
    let hosts = Hosts::start(1);
    let (mut node, _discovery) = start(&hosts, |p| {
        set_deadline(p, 9000);
        p["settings"]["offerings"][0]["effect"] = json!("single_shot");
        p["limits"]["sockets"] = json!(2048);
    });
    let mut client = node.open(&OPEN.replace("d=2000", "d=9000"));
    let (_, mut host) = hosts.accept();
    host.receive_line();
    let began = Instant::now();
    node.stop();
    eventually("no time passes", || began.elapsed() > ms(2000));
    // They rest for less than two seconds by then, and write first.
    let mut crowd: Vec<Peer> = (0..700).map(|_| Peer::connect(node.address)).collect();
    wait_until_read(&node);
    node.suspend();
    crowd.iter_mut().for_each(|other| other.write("O"));
    host.send_line("UP 7");
    eventually("no time passes", || {
        began.elapsed() > kill_time(9000) - ms(170)
    });
    node.unsuspend();
    client.expect_line("UP 7");
    client.expect_line("MOVE");
    client.expect_line("end");
    assert!(node.wait().success());
}
