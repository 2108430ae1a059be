//! Clients that go: before they were taken in, while they wait, while their host's connection comes up, between two
//! attempts, behind much else. No attempt begins for them after that, as the hosts saw it.

use reedferry_testkit::program::node_config_of;
use reedferry_testkit::*;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// How a client goes.
const WAYS: [&str; 4] = ["closes", "ends its sending", "resets", "floods and closes"];

fn goes(mut client: Peer, way: &str) -> Option<Peer> {
    match way {
        "closes" => drop(client),
        "ends its sending" => {
            client.end_sending();
            return Some(client);
        }
        "resets" => client.reset(),
        _ => {
            // What the node no longer takes is lost with the connection.
            _ = std::io::Write::write_all(&mut client.stream, &[b'x'; 100_000]);
        }
    }
    None
}

fn start(members: Value, discovery: &Discovery, cancel: bool) -> Node {
    let mut node_config = node_config_of(members, discovery.address);
    node_config["limits"]["sockets"] = json!(2048);
    let settings = &mut node_config["settings"];
    settings["policy_limits"]["cancel"] = json!(cancel);
    settings["policy_limits"]["connect_timeout"] = json!(6000.0);
    settings["policy_limits"]["most_hand_offs"] = json!(5);
    settings["offerings"][0]["contract_time"] = json!(5000.0);
    settings["offerings"][0]["expiry"] = json!(8000.0);
    Node::start(&node_config)
}

fn line(n: usize) -> String {
    format!("OPEN {n:x} 7f3a c=chat,t=acme,d=8000,g=5c0f")
}

/// A client whose first attempt is out.
fn attempt(node: &Node, hosts: &Hosts) -> (Peer, Peer) {
    let mut client = Peer::connect(node.address);
    client.say(&line(1));
    let (_, mut host) = hosts.accept();
    host.hear();
    (client, host)
}

/// Whoever answers this has read all that came before.
fn has_read(node: &Node) {
    let mut other = Peer::connect(node.address);
    other.say("PING");
    other.hears("PONG");
}

/// Guards: a line sent to a host whose connection came up after the client had gone, where settings allow no cancel.
#[test]
fn a_client_that_goes_while_its_hosts_connection_comes_up_is_not_sent_on() {
    for (cancel, way) in [true, false]
        .into_iter()
        .flat_map(|c| WAYS.map(|way| (c, way)))
    {
        let (listener, first) = jammed();
        let discovery = Discovery::start();
        let members = json!([member(
            0,
            &listener.local_addr().unwrap().to_string(),
            "active"
        )]);
        let node = start(members, &discovery, cancel);
        let mut client = Peer::connect(node.address);
        client.say(&line(1));
        has_read(&node);
        let kept = goes(client, way);
        has_read(&node);
        drop(first);
        drop(listener.accept());
        listener.set_nonblocking(true).unwrap();
        // The system asks for the connection again a second after the first time, if it is still wanted.
        let until = Instant::now() + Duration::from_millis(1600);
        while Instant::now() < until {
            if let Ok((late, _)) = listener.accept() {
                late.set_nonblocking(false).unwrap();
                let end = Peer::new(late).hear();
                assert!(
                    ["end", "reset"].contains(&end.as_str()),
                    "cancel {cancel}, {way}: {end}"
                );
            }
            std::thread::yield_now();
        }
        if let Some(mut client) = kept {
            client.hears("ERR");
        }
    }
}

/// Guards: a further attempt for a client that went while the one before was out.
#[test]
fn a_client_that_goes_between_two_attempts_is_not_sent_on() {
    for (cancel, way) in [true, false]
        .into_iter()
        .flat_map(|c| WAYS.map(|way| (c, way)))
    {
        let hosts = Hosts::start(3);
        let discovery = Discovery::start();
        let node = start(hosts.members(), &discovery, cancel);
        let (client, mut host) = attempt(&node, &hosts);
        // Both wait for the node when it goes on: the end of the attempt, and of the client.
        node.suspend();
        host.say("BUSY");
        host.end_sending();
        let kept = goes(client, way);
        node.unsuspend();
        has_read(&node);
        assert!(
            hosts.accept_soon().is_none(),
            "cancel {cancel}, {way}: sent on"
        );
        drop(kept);
    }
}

/// Guards: clients that had gone before the node took them in, or read their line, sent on one after the other by a process
/// that stood still; those among them that stay served.
#[test]
fn clients_that_went_while_the_process_stood_still_are_not_sent_on() {
    let hosts = Hosts::start(2);
    let discovery = Discovery::start();
    let node = start(hosts.members(), &discovery, false);
    let mut before: Vec<Peer> = (0..40).map(|_| Peer::connect(node.address)).collect();
    before.iter_mut().for_each(|client| {
        client.say("PING");
        client.hears("PONG");
    });
    node.suspend();
    let mut kept = Vec::new();
    let fresh = (0..40).map(|_| Peer::connect(node.address));
    for (n, mut client) in before.into_iter().chain(fresh).enumerate() {
        client.say(&line(n));
        kept.extend(goes(client, WAYS[n % WAYS.len()]));
    }
    let mut stays = Peer::connect(node.address);
    stays.say(&line(999));
    node.unsuspend();
    let (_, mut host) = hosts.accept();
    assert!(host.hear().starts_with("OPEN 3e7 "), "one that had gone");
    host.say("UP 1");
    stays.hears("UP 1");
    assert!(hosts.accept_soon().is_none(), "one that had gone");
}

/// Guards: an end that is never seen behind a first line as long as lines may be.
#[test]
fn the_end_of_a_client_with_the_longest_line_is_seen() {
    let hosts = Hosts::start(2);
    let discovery = Discovery::start();
    let node = start(hosts.members(), &discovery, true);
    let mut client = Peer::connect(node.address);
    let short = line(1);
    client.say(&format!(
        "{short},zz={}",
        "z".repeat(4096 - short.len() - 6)
    ));
    let (_, mut host) = hosts.accept();
    host.hear();
    drop(client);
    host.hears("end");
    assert!(hosts.accept_soon().is_none());
}

/// Guards: a further attempt for a client that had gone, and whose end waited behind more than one turn takes in.
#[test]
fn a_client_whose_end_waits_behind_hundreds_of_others_is_not_sent_on() {
    for (cancel, way) in [true, false]
        .into_iter()
        .flat_map(|c| WAYS.map(|way| (c, way)))
    {
        let hosts = Hosts::start(3);
        let discovery = Discovery::start();
        let node = start(hosts.members(), &discovery, cancel);
        let mut crowd: Vec<Peer> = (0..700).map(|_| Peer::connect(node.address)).collect();
        has_read(&node);
        let (client, mut host) = attempt(&node, &hosts);
        node.suspend();
        host.say("BUSY");
        host.end_sending();
        // What is ready first is told first, so many in one turn.
        crowd.iter_mut().for_each(|other| other.write("O"));
        let kept = goes(client, way);
        node.unsuspend();
        has_read(&node);
        assert!(
            hosts.accept_soon().is_none(),
            "cancel {cancel}, {way}: sent on"
        );
        drop(kept);
    }
}
