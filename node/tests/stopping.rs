//! A program that is asked to stop at each point of a connection's life: everyone has one answer that can be read, nothing
//! is sent after it, and nobody is held any more when the program may be ended from outside.

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

/// When a program with this longest expiry may be ended from outside at the earliest.
fn ended_outside(deadline: u64) -> Duration {
    ms(deadline.min(3000) + 700)
}

fn of_expiry(node_config: &mut Value, deadline: u64) {
    node_config["settings"]["offerings"][0]["expiry"] = json!(deadline as f64);
    node_config["settings"]["offerings"][0]["contract_time"] = json!(deadline as f64);
}

/// Whoever answers this has read all that came before.
fn has_read(node: &Node) {
    let mut other = Peer::connect(node.address);
    other.say("PING");
    other.hears("PONG");
}

/// Guards: connections whose host has stopped within a line, held until the program was ended from outside as their turn to
/// be moved came late: each was lost.
#[test]
fn connections_whose_host_stopped_within_a_line_are_ended_before_the_program_is() {
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
        let end = client.hear();
        assert!(["end", "reset"].contains(&end.as_str()), "{end}");
        assert!(
            began.elapsed() < ended_outside(2000),
            "held for {:?}",
            began.elapsed()
        );
    }
    assert!(node.wait().success());
}

/// Guards: the same where clients stopped within a line of theirs: these can be moved still.
#[test]
fn clients_that_stopped_within_a_line_are_moved_before_the_program_ends() {
    let hosts = Hosts::start(1);
    let (mut node, _discovery) = start(&hosts, |p| of_expiry(p, 1000));
    let mut all: Vec<_> = (0..12).map(|_| node.served(&hosts)).collect();
    for (client, _, host) in &mut all {
        client.write("half");
        assert_eq!(host.bytes(4), b"half");
    }
    let began = Instant::now();
    node.stop();
    for (mut client, _, _host) in all {
        client.hears("MOVE");
        assert!(
            began.elapsed() < ended_outside(1000),
            "held for {:?}",
            began.elapsed()
        );
    }
    assert!(node.wait().success());
}

/// Guards: an answer that comes only after the program was ended from outside, where clients may wait for longer than
/// that leaves; one that may have run dismissed as though it had not.
#[test]
fn what_hosts_do_not_answer_is_answered_before_the_program_ends_however_long_it_may_wait() {
    for (idempotency, answer) in [("free", "BUSY"), ("single_shot", "ERR")] {
        let hosts = Hosts::start(1);
        let (mut node, _discovery) = start(&hosts, |p| {
            of_expiry(p, 9000);
            p["settings"]["offerings"][0]["effect"] = json!(idempotency);
        });
        let mut client = node.open(&OPEN.replace("d=2000", "d=9000"));
        let (_, mut host) = hosts.accept();
        host.hear();
        let began = Instant::now();
        node.stop();
        let said = client.hear();
        assert!(said.starts_with(answer), "{idempotency}: {said}");
        assert!(
            began.elapsed() < ended_outside(9000),
            "{idempotency}: {:?}",
            began.elapsed()
        );
        client.hears("end");
        host.hears("end");
        assert!(node.wait().success());
        assert!(
            hosts.accept_soon().is_none(),
            "{idempotency}: sent on again"
        );
    }
}

/// Guards: clients that rest or have sent half of their line, and are held when the program ends.
#[test]
fn clients_that_have_not_asked_are_sent_away_before_the_program_ends() {
    let hosts = Hosts::start(1);
    let (mut node, _discovery) = start(&hosts, |p| of_expiry(p, 900));
    let mut clients = [Peer::connect(node.address), Peer::connect(node.address)];
    clients[1].write("OPEN 77 88 c=chat");
    has_read(&node);
    let began = Instant::now();
    node.stop();
    node.logs("asked to stop");
    // One that comes after the signal, and asks only when it is told to go, is not sent on.
    let mut late = Peer::connect(node.address);
    late.hears("BUSY");
    late.say("OPEN 99 88 c=chat,t=acme,d=900");
    late.hears("end");
    for mut client in clients {
        client.hears("BUSY");
        client.hears("end");
    }
    assert!(
        began.elapsed() < ended_outside(900),
        "held for {:?}",
        began.elapsed()
    );
    assert!(node.wait().success());
    assert!(hosts.accept_soon().is_none(), "sent on after the shutdown");
}

/// A host's listener that a test takes connections from when it likes, and the list that names it.
fn slow_host() -> (std::net::TcpListener, std::net::TcpStream, Value) {
    let (listener, first) = jammed();
    let members = json!([member(
        0,
        &listener.local_addr().unwrap().to_string(),
        "active"
    )]);
    (listener, first, members)
}

/// Guards: an attachment lost, or sent on after its answer, where the signal comes while its host's connection comes up.
#[test]
fn a_stop_while_the_connection_to_the_host_comes_up() {
    let (listener, first, members) = slow_host();
    let discovery = Discovery::start();
    let mut node_config = node_config_of(members, discovery.address);
    node_config["settings"]["policy_limits"]["connect_timeout"] = json!(5000.0);
    of_expiry(&mut node_config, 1500);
    let mut node = Node::start(&node_config);
    let mut client = node.open(&OPEN.replace("d=2000", "d=1500"));
    has_read(&node);
    let began = Instant::now();
    node.stop();
    assert!(client.hear().starts_with("BUSY"));
    client.hears("end");
    assert!(began.elapsed() < ended_outside(1500));
    assert!(node.wait().success());
    // What came up at all was ended without a byte; first in the way was the test's own.
    drop(first);
    listener.set_nonblocking(true).unwrap();
    while let Ok((late, _)) = listener.accept() {
        late.set_nonblocking(false).unwrap();
        let end = Peer::new(late).hear();
        assert!(["end", "reset"].contains(&end.as_str()), "{end}");
    }
}

/// Guards: an answer on its way from the host dropped by a stop, a second signal or new papers in the middle that
/// cut what is under way, and answers lost in a reset as clients go on sending.
#[test]
fn an_answer_on_its_way_is_passed_on_over_two_signals_and_new_papers() {
    let hosts = Hosts::start(1);
    let (mut node, discovery) = start(&hosts, |_| {});
    let mut waiting = node.open(OPEN);
    let (_, mut host) = hosts.accept();
    host.hear();
    host.write("UP 7");
    let (mut open, _, mut other) = node.served(&hosts);
    let began = Instant::now();
    node.stop();
    node.logs("asked to stop");
    let mut fresh = node_config(&hosts, discovery.address);
    fresh["settings"]["offerings"][0]["payoff"] = json!(2.0);
    node.reload(&fresh.to_string());
    node.logs("papers read again");
    node.stop();
    host.write("7aa\r\n");
    waiting.hears("UP 77aa");
    waiting.say("still here");
    host.hears("still here");
    host.say("so am I");
    waiting.hears("so am I");
    for (client, host) in [(&mut waiting, &mut host), (&mut open, &mut other)] {
        client.hears("MOVE");
        // What it sends into the closing connection takes nothing back, and reaches no host.
        client.say("too late");
        client.hears("end");
        host.hears("end");
    }
    assert!(
        began.elapsed() < ended_outside(2000),
        "{:?}",
        began.elapsed()
    );
    assert!(node.wait().success());
}

/// Guards: an answer that lies unread, behind more than one turn takes in, as the last moment comes by which anybody is held:
/// what may have run failed though it had been taken.
#[test]
fn an_answer_that_lies_unread_at_the_last_moment_of_a_stop_is_passed_on() {
    let hosts = Hosts::start(1);
    let (mut node, _discovery) = start(&hosts, |p| {
        of_expiry(p, 9000);
        p["settings"]["offerings"][0]["effect"] = json!("single_shot");
        p["limits"]["sockets"] = json!(2048);
    });
    let mut client = node.open(&OPEN.replace("d=2000", "d=9000"));
    let (_, mut host) = hosts.accept();
    host.hear();
    let began = Instant::now();
    node.stop();
    eventually("no time passes", || began.elapsed() > ms(2000));
    // They rest for less than two seconds by then, and write first.
    let mut crowd: Vec<Peer> = (0..700).map(|_| Peer::connect(node.address)).collect();
    has_read(&node);
    node.suspend();
    crowd.iter_mut().for_each(|other| other.write("O"));
    host.say("UP 7");
    eventually("no time passes", || {
        began.elapsed() > ended_outside(9000) - ms(170)
    });
    node.unsuspend();
    client.hears("UP 7");
    client.hears("MOVE");
    client.hears("end");
    assert!(node.wait().success());
}
