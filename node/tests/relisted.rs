//! Hosts that the list names anew, in another group or at another address: what was chosen for them before goes by where they
//! were.

use reedferry_testkit::program::node_config_of;
use reedferry_testkit::*;
use serde_json::json;
use std::thread::yield_now;
use std::time::{Duration, Instant};

/// Longer than the grace for draining hosts in the papers of trials.
const PAST_GRACE: Duration = Duration::from_millis(500);

/// Guards: a repeat matched against the circle in which the host of the first attempt is listed by now, and not the one in
/// which it may have run it: its name has come back in another.
#[test]
fn a_repeat_stays_in_the_circle_in_which_the_first_attempt_may_have_run() {
    for idempotency_group in ["zone", "cell"] {
        let hosts = Hosts::start(2);
        let discovery = Discovery::start();
        let named = |host: usize, place: usize| {
            let mut member = member(host, &hosts.addresses[host].to_string(), "active");
            (member["locality"], member["cell"]) = (json!(["a", "b"][place]), json!(place));
            member
        };
        let mut node_config = node_config_of(json!([named(0, 0)]), discovery.address);
        let settings = &mut node_config["settings"];
        settings["zones"] = json!(["a", "b"]);
        settings["offerings"][0] = json!({"name": "chat", "contract_time": 1500.0, "expiry": 6000.0,
            "effect": "guarded", "group": idempotency_group, "payoff": 1.0, "repeat_window": 6000.0});
        let node = Node::start(&node_config);
        discovery.calls(1);
        let mut client = node.open(&OPEN.replace("d=2000", "d=6000"));
        let (_, mut host) = hosts.accept();
        host.hear();
        // Each change has been taken in once the next call has come.
        discovery.change(named(1, 1));
        discovery.calls(2);
        discovery.change(named(0, 1));
        discovery.calls(3);
        host.reset();
        client.hears("ERR");
        assert!(
            hosts.accept_soon().is_none(),
            "{idempotency_group}: sent out of its circle"
        );
    }
}

/// Guards: a repeat sent to a host that was in the circle when it was chosen, and is listed in another by the time its
/// connection comes up.
#[test]
fn a_repeat_is_not_sent_where_its_host_has_left_the_circle_while_it_was_called() {
    for (moves, sent) in [(false, true), (true, false)] {
        let hosts = Hosts::start(1);
        let (listener, first) = jammed();
        let discovery = Discovery::start();
        let mut node_config = node_config_of(hosts.members(), discovery.address);
        let settings = &mut node_config["settings"];
        settings["policy_limits"]["connect_timeout"] = json!(5000.0);
        settings["offerings"][0] = json!({"name": "chat", "contract_time": 300.0, "expiry": 6000.0,
            "effect": "guarded", "group": "cell", "payoff": 1.0, "repeat_window": 6000.0});
        let node = Node::start(&node_config);
        discovery.calls(1);
        let mut client = node.open(&OPEN.replace("d=2000", "d=6000"));
        let (_, mut host) = hosts.accept();
        host.hear();
        let mut late = member(5, &listener.local_addr().unwrap().to_string(), "active");
        late["cell"] = node_config["known"]["members"][0]["cell"].clone();
        discovery.change(late.clone());
        host.hears("end");
        discovery.calls(2);
        // Whoever answers this has asked for that connection.
        let mut other = Peer::connect(node.address);
        other.say("PING");
        other.hears("PONG");
        late["cell"] = json!(if moves {
            77
        } else {
            late["cell"].as_i64().unwrap()
        });
        discovery.change(late);
        discovery.calls(3);
        drop(first);
        drop(listener.accept().unwrap());
        listener.set_nonblocking(true).unwrap();
        let (asked, mut got) = (Instant::now(), None);
        // The system asks for a connection again a second after the first time.
        while asked.elapsed() < Duration::from_millis(2500) && got.is_none() {
            let Ok((stream, _)) = listener.accept() else {
                continue;
            };
            stream.set_nonblocking(false).unwrap();
            let mut peer = Peer::new(stream);
            if peer.hear().starts_with("OPEN") {
                peer.say("UP 2");
                got = Some(peer);
            }
        }
        assert_eq!(got.is_some(), sent, "moves {moves}");
        let said = client.hear();
        assert!(
            said.starts_with(if sent { "UP 2" } else { "ERR" }),
            "moves {moves}: {said}"
        );
    }
}

/// Guards: new work for a place that a host has left: it is listed at another address while its connection comes up, which
/// takes longer than the grace.
#[test]
fn a_host_listed_at_another_address_gets_nothing_new_at_the_old_one() {
    let (listener, first) = jammed();
    let (hosts, discovery) = (Hosts::start(1), Discovery::start());
    let old = member(0, &listener.local_addr().unwrap().to_string(), "active");
    let mut node_config = node_config_of(json!([old]), discovery.address);
    let settings = &mut node_config["settings"];
    settings["policy_limits"]["connect_timeout"] = json!(6000.0);
    settings["offerings"][0]["contract_time"] = json!(5000.0);
    settings["offerings"][0]["expiry"] = json!(8000.0);
    let node = Node::start(&node_config);
    discovery.calls(1);
    let mut client = node.open(&OPEN.replace("d=2000", "d=8000"));
    // Whoever answers this has asked for that connection.
    let mut other = Peer::connect(node.address);
    other.say("PING");
    other.hears("PONG");
    discovery.change(member(0, &hosts.addresses[0].to_string(), "active"));
    discovery.calls(2);
    let told = Instant::now();
    while told.elapsed() < PAST_GRACE {
        yield_now();
    }
    drop(first);
    drop(listener.accept().unwrap());
    listener.set_nonblocking(true).unwrap();
    // The system asks for the connection again a second after the first time, if it is still wanted.
    let mut at_the_new_one = None;
    while told.elapsed() < Duration::from_millis(2500) && at_the_new_one.is_none() {
        at_the_new_one = hosts.accept_soon();
        if let Ok((late, _)) = listener.accept() {
            late.set_nonblocking(false).unwrap();
            let end = Peer::new(late).hear();
            assert!(
                ["end", "reset"].contains(&end.as_str()),
                "at the old address: {end}"
            );
        }
    }
    let (_, mut host) = at_the_new_one.expect("nothing came to the new address");
    host.hear();
    host.say("UP 2");
    client.hears("UP 2");
}

/// Guards: a host avoided at its new address, as nobody takes the connection that is coming up at the old one.
#[test]
fn a_host_is_not_avoided_for_what_becomes_of_its_old_address() {
    let (listener, first) = jammed();
    let (hosts, discovery) = (Hosts::start(1), Discovery::start());
    let old = member(0, &listener.local_addr().unwrap().to_string(), "active");
    let mut node_config = node_config_of(json!([old]), discovery.address);
    node_config["settings"]["policy_limits"]["connect_timeout"] = json!(1000.0);
    let node = Node::start(&node_config);
    discovery.calls(1);
    let mut client = node.open(OPEN);
    // Whoever answers this has asked for that connection.
    let mut other = Peer::connect(node.address);
    other.say("PING");
    other.hears("PONG");
    discovery.change(member(0, &hosts.addresses[0].to_string(), "active"));
    discovery.calls(2);
    let (_, mut host) = hosts.accept();
    host.hear();
    host.say("UP 2");
    client.hears("UP 2");
    let masks: Vec<String> = node
        .drain_log()
        .into_iter()
        .filter(|line| line.contains("mask host"))
        .collect();
    assert!(masks.is_empty(), "{masks:?}");
    drop((first, listener));
}
