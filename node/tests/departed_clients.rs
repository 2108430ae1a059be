//! Clients that leave: before they are accepted, during an attempt, while the connection to their host is established, between two
//! attempts, or while many other sockets are ready. The hosts must see no attempt for them after that.

use reedferry_testkit::program::node_config_of;
use reedferry_testkit::*;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// The ways in which a client leaves.
const DEPARTURES: [&str; 4] = ["closes", "ends its sending", "resets", "floods and closes"];

/// Has the client leave in this way. Returns its connection if the client can still read from it.
fn depart(mut client: Peer, departure: &str) -> Option<Peer> {
    match departure {
        "closes" => drop(client),
        "ends its sending" => {
            client.end_sending();
            return Some(client);
        }
        "resets" => client.reset(),
        _ => {
            // What the node does not read is lost with the connection.
            _ = std::io::Write::write_all(&mut client.stream, &[b'x'; 100_000]);
        }
    }
    None
}

/// Starts a node with long timeouts, many attempts and these members. `cancel` says whether it may cancel attempts.
fn start(members: Value, discovery: &Discovery, cancel: bool) -> Node {
    start_configured(members, discovery, cancel, |_| ())
}

/// Like [`start`], with changes to the request class.
fn start_configured(
    members: Value,
    discovery: &Discovery,
    cancel: bool,
    change_class: impl FnOnce(&mut Value),
) -> Node {
    let mut node_config = node_config_of(members, discovery.address);
    node_config["limits"]["sockets"] = json!(2048);
    let settings = &mut node_config["settings"];
    settings["policy_limits"]["cancel"] = json!(cancel);
    settings["policy_limits"]["connect_timeout"] = json!(6000.0);
    settings["policy_limits"]["most_hand_offs"] = json!(5);
    settings["offerings"][0]["contract_time"] = json!(5000.0);
    settings["offerings"][0]["expiry"] = json!(8000.0);
    change_class(&mut settings["offerings"][0]);
    Node::start(&node_config)
}

/// Returns the request of client `n`.
fn open_line(n: usize) -> String {
    format!("OPEN {n:x} 7f3a c=chat,t=acme,d=8000,g=5c0f")
}

/// Returns a client whose first attempt has reached a host, and the host's end of it.
fn start_attempt(node: &Node, hosts: &Hosts) -> (Peer, Peer) {
    let mut client = Peer::connect(node.address);
    client.send_line(&open_line(1));
    let (_, mut host) = hosts.accept();
    host.receive_line();
    (client, host)
}

/// Waits until the node has read all that was sent to it before.
fn wait_until_read(node: &Node) {
    let mut other = Peer::connect(node.address);
    other.send_line("PING");
    other.expect_line("PONG");
}

/// Guards against an attempt at a host whose connection is established after the client has left, also if the settings allow no
/// cancellation.
#[test]
fn a_client_that_leaves_while_its_hosts_connection_is_established_gets_no_attempt() {
    for (cancel, departure) in [true, false]
        .into_iter()
        .flat_map(|c| DEPARTURES.map(|departure| (c, departure)))
    {
        let (listener, first) = full_listener();
        let discovery = Discovery::start();
        let members = json!([member(
            0,
            &listener.local_addr().unwrap().to_string(),
            "active"
        )]);
        let node = start(members, &discovery, cancel);
        let mut client = Peer::connect(node.address);
        client.send_line(&open_line(1));
        wait_until_read(&node);
        let half_closed = depart(client, departure);
        wait_until_read(&node);
        drop(first);
        drop(listener.accept());
        listener.set_nonblocking(true).unwrap();
        // The kernel repeats the SYN after a second if the node still wants the connection.
        let until = Instant::now() + Duration::from_millis(1600);
        while Instant::now() < until {
            if let Ok((late, _)) = listener.accept() {
                late.set_nonblocking(false).unwrap();
                let end = Peer::new(late).receive_line();
                assert!(
                    ["end", "reset"].contains(&end.as_str()),
                    "cancel {cancel}, {departure}: {end}"
                );
            }
            std::thread::yield_now();
        }
        if let Some(mut client) = half_closed {
            client.expect_line("ERR");
        }
    }
}

/// Guards against a retry for a client that has left during its previous attempt.
#[test]
fn a_client_that_leaves_between_two_attempts_gets_no_retry() {
    for (cancel, departure) in [true, false]
        .into_iter()
        .flat_map(|c| DEPARTURES.map(|departure| (c, departure)))
    {
        let hosts = Hosts::start(3);
        let discovery = Discovery::start();
        let node = start(hosts.members(), &discovery, cancel);
        let (client, mut host) = start_attempt(&node, &hosts);
        // When the node continues it finds both the end of the attempt and the end of the client.
        node.suspend();
        host.send_line("BUSY");
        host.end_sending();
        let half_closed = depart(client, departure);
        node.unsuspend();
        wait_until_read(&node);
        assert!(
            hosts.accept_soon().is_none(),
            "cancel {cancel}, {departure}: retried"
        );
        drop(half_closed);
    }
}

/// Guards against attempts by a process that was suspended, for clients that left before it accepted them or read their line. A client
/// that stayed is served.
#[test]
fn clients_that_left_while_the_process_was_suspended_get_no_attempt() {
    let hosts = Hosts::start(2);
    let discovery = Discovery::start();
    let node = start(hosts.members(), &discovery, false);
    let mut connected: Vec<Peer> = (0..40).map(|_| Peer::connect(node.address)).collect();
    connected.iter_mut().for_each(|client| {
        client.send_line("PING");
        client.expect_line("PONG");
    });
    node.suspend();
    let mut half_closed = Vec::new();
    let new_clients = (0..40).map(|_| Peer::connect(node.address));
    for (n, mut client) in connected.into_iter().chain(new_clients).enumerate() {
        client.send_line(&open_line(n));
        half_closed.extend(depart(client, DEPARTURES[n % DEPARTURES.len()]));
    }
    let mut remaining = Peer::connect(node.address);
    remaining.send_line(&open_line(999));
    node.unsuspend();
    let (_, mut host) = hosts.accept();
    assert!(
        host.receive_line().starts_with("OPEN 3e7 "),
        "an attempt for a client that had left"
    );
    host.send_line("UP 1");
    remaining.expect_line("UP 1");
    assert!(
        hosts.accept_soon().is_none(),
        "an attempt for a client that had left"
    );
}

/// Guards against the end of a client that is never noticed because its first line fills the input buffer.
#[test]
fn the_end_of_a_client_with_a_first_line_of_maximum_length_is_noticed() {
    let hosts = Hosts::start(2);
    let discovery = Discovery::start();
    let node = start(hosts.members(), &discovery, true);
    let mut client = Peer::connect(node.address);
    let short = open_line(1);
    client.send_line(&format!(
        "{short},zz={}",
        "z".repeat(4096 - short.len() - 6)
    ));
    let (_, mut host) = hosts.accept();
    host.receive_line();
    drop(client);
    host.expect_line("end");
    assert!(hosts.accept_soon().is_none());
}

/// Guards against a retry for a client whose end lies unread: more sockets are ready before it than one turn of the event loop serves.
#[test]
fn a_client_whose_end_is_unread_behind_a_crowd_gets_no_retry() {
    for (cancel, departure) in [true, false]
        .into_iter()
        .flat_map(|c| DEPARTURES.map(|departure| (c, departure)))
    {
        let hosts = Hosts::start(3);
        let discovery = Discovery::start();
        let node = start(hosts.members(), &discovery, cancel);
        let mut crowd: Vec<Peer> = (0..700).map(|_| Peer::connect(node.address)).collect();
        wait_until_read(&node);
        let (client, mut host) = start_attempt(&node, &hosts);
        node.suspend();
        host.send_line("BUSY");
        host.end_sending();
        // One turn of the event loop serves a limited number of sockets, in the order in which they became ready.
        crowd.iter_mut().for_each(|other| other.write("O"));
        let half_closed = depart(client, departure);
        node.unsuspend();
        wait_until_read(&node);
        assert!(
            hosts.accept_soon().is_none(),
            "cancel {cancel}, {departure}: retried"
        );
        drop(half_closed);
    }
}

/// Starts a node like [`start`] whose class has this effect.
fn start_with_effect(hosts: &Hosts, discovery: &Discovery, cancel: bool, effect: &str) -> Node {
    start_configured(hosts.members(), discovery, cancel, |class| {
        class["effect"] = json!(effect);
        class["repeat_window"] = json!(8000.0);
    })
}

/// Sends the request of client 1 again, on a new connection.
fn send_again(node: &Node, suffix: &str) -> Peer {
    let mut client = Peer::connect(node.address);
    client.send_line(&format!("{}{suffix}", open_line(1)));
    client
}

/// Guards against a request that runs a second time as its id comes again after its client has left.
#[test]
fn a_request_that_must_not_run_twice_is_not_sent_again_when_its_id_comes_again() {
    for (effect, cancel) in [
        ("single_shot", true),
        ("single_shot", false),
        ("guarded", true),
    ] {
        for (departure, suffix) in DEPARTURES.into_iter().zip(["", ",again=1", ",r=1", ""]) {
            let (hosts, discovery) = (Hosts::start(3), Discovery::start());
            let node = start_with_effect(&hosts, &discovery, cancel, effect);
            let (client, _host) = start_attempt(&node, &hosts);
            let half_closed = depart(client, departure);
            wait_until_read(&node);
            for _ in 0..3 {
                send_again(&node, suffix).expect_line("ERR");
            }
            assert!(
                hosts.accept_soon().is_none(),
                "{effect}, cancel {cancel}, {departure}: sent again"
            );
            drop(half_closed);
        }
    }
}

/// Guards against a request that runs a second time as its id comes again after it was served or has failed.
#[test]
fn an_id_that_comes_again_after_its_answer_is_not_sent_again() {
    for answer in ["UP 1", "ERR"] {
        let (hosts, discovery) = (Hosts::start(1), Discovery::start());
        let node = start_with_effect(&hosts, &discovery, true, "single_shot");
        let (mut client, mut host) = start_attempt(&node, &hosts);
        host.send_line(answer);
        client.expect_line(answer);
        drop((client, host));
        wait_until_read(&node);
        send_again(&node, "").expect_line("ERR");
        assert!(hosts.accept_soon().is_none(), "{answer}: sent again");
    }
}

/// A request that cannot have run, or may run twice, is sent again.
#[test]
fn an_id_that_comes_again_is_sent_if_it_has_not_run_or_may_run_twice() {
    for (effect, busy) in [("single_shot", true), ("guarded", true), ("free", false)] {
        let (hosts, discovery) = (Hosts::start(1), Discovery::start());
        let node = start_with_effect(&hosts, &discovery, true, effect);
        let (mut client, mut host) = start_attempt(&node, &hosts);
        if busy {
            host.send_line("BUSY");
            drop(host);
            assert!(client.receive_line().starts_with("BUSY"));
        }
        drop(client);
        wait_until_read(&node);
        eventually("the request is not sent again", || {
            let mut client = send_again(&node, "");
            let Some((_, mut host)) = hosts.accept_soon() else {
                return false;
            };
            host.receive_line();
            host.send_line("UP 1");
            client.expect_line("UP 1");
            true
        });
    }
}
