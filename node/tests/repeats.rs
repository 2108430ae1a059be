//! Repeats: a further attempt at the last instant at which its effect allows one, and past it.

use reedferry_testkit::program::node_config_of;
use reedferry_testkit::*;
use serde_json::json;
use std::time::{Duration, Instant};

/// Guards: a repeat that was chosen inside the window in which others drop it, and whose line went out after it, as the
/// connection came up late.
#[test]
fn a_repeat_whose_connection_comes_up_past_its_window_is_not_sent() {
    for (idempotency, window, sent, answer) in [
        ("free", 0, true, "UP 2"),
        ("guarded", 6000, true, "UP 2"),
        ("guarded", 800, false, "BUSY"),
        ("single_shot", 0, false, "ERR"),
    ] {
        let hosts = Hosts::start(1);
        let (listener, first) = jammed();
        let discovery = Discovery::start();
        let mut node_config = node_config_of(hosts.members(), discovery.address);
        let settings = &mut node_config["settings"];
        settings["policy_limits"]["connect_timeout"] = json!(5000.0);
        settings["offerings"][0] = json!({"name": "chat", "contract_time": 300.0, "expiry": 6000.0,
            "effect": idempotency, "group": "all", "payoff": 1.0, "repeat_window": f64::from(window)});
        let node = Node::start(&node_config);
        discovery.calls(1);
        let mut client = node.open(&OPEN.replace("d=2000", "d=6000"));
        let asked = Instant::now();
        let (_, mut host) = hosts.accept();
        host.hear();
        // The only other host is one whose connections come up late.
        discovery.change(member(
            5,
            &listener.local_addr().unwrap().to_string(),
            "active",
        ));
        // The first is given up; what is sent again goes there.
        host.hears("end");
        // Whoever answers this has asked for that connection.
        let mut other = Peer::connect(node.address);
        other.say("PING");
        other.hears("PONG");
        drop(first);
        drop(listener.accept().unwrap());
        listener.set_nonblocking(true).unwrap();
        let mut lines = Vec::new();
        // The system asks for a connection again a second after the first time.
        while asked.elapsed() < Duration::from_millis(2500) && lines.is_empty() {
            let Ok((late, _)) = listener.accept() else {
                continue;
            };
            late.set_nonblocking(false).unwrap();
            let mut late = Peer::new(late);
            let line = late.hear();
            if line.starts_with("OPEN") {
                assert!(
                    asked.elapsed() > Duration::from_millis(900),
                    "too tame: {:?}",
                    asked.elapsed()
                );
                late.say("UP 2");
                lines.push((line, late));
            }
        }
        assert_eq!(!lines.is_empty(), sent, "{idempotency}, {window} ms");
        let said = client.hear();
        assert!(
            said.starts_with(answer),
            "{idempotency}, {window} ms: {said}"
        );
    }
}

/// Guards: a repeat sent out of the circle that drops it: where the settings name neither host's zone, where the host that
/// may have run it has left and no more is said of it, and where the settings change the places of zones after that.
#[test]
fn a_repeat_stays_in_the_circle_of_the_host_that_may_have_run_it() {
    for (what, idempotency_group, zones, left) in [
        (
            "zones that the settings do not name",
            "zone",
            ["x", "y"],
            false,
        ),
        ("a zone of which no more is said", "zone", ["b", ""], true),
        ("a cell of which no more is said", "cell", ["a", "a"], true),
        ("zones that change their places", "zone", ["a", "b"], true),
    ] {
        let hosts = Hosts::start(2);
        let discovery = Discovery::start();
        let named = |host: usize| {
            let mut member = member(host, &hosts.addresses[host].to_string(), "active");
            // One of them is in the cell that stands for none.
            (member["locality"], member["cell"]) = (json!(zones[host]), json!(3 * (1 - host)));
            member
        };
        let mut node_config = node_config_of(json!([named(0)]), discovery.address);
        let settings = &mut node_config["settings"];
        settings["zones"] = json!(["a", "b"]);
        settings["offerings"][0] = json!({"name": "chat", "contract_time": 1500.0, "expiry": 6000.0,
            "effect": "guarded", "group": idempotency_group, "payoff": 1.0, "repeat_window": 6000.0});
        let node = Node::start(&node_config);
        discovery.calls(1);
        let mut client = node.open(&OPEN.replace("d=2000", "d=6000"));
        let (first, mut host) = hosts.accept();
        assert_eq!(first, 0);
        host.hear();
        // Each change has been taken in once the next call has come.
        discovery.change(named(1));
        discovery.calls(2);
        if left {
            let mut gone = if what.contains("no more") {
                json!({"id": "s-0"})
            } else {
                named(0)
            };
            gone["phase"] = json!("left");
            discovery.change(gone);
            discovery.calls(3);
        }
        if what.contains("change their places") {
            node_config["settings"]["zones"] = json!(["b", "a"]);
            node_config["settings"]["zone"] = json!(1);
            node.reload(&node_config.to_string());
            node.logs("terms renewed");
        }
        host.reset();
        client.hears("ERR");
        assert!(
            hosts.accept_soon().is_none(),
            "{what}: sent out of its circle"
        );
    }
}

/// Guards: the same kept so narrowly that nothing is repeated at all.
#[test]
fn a_repeat_goes_to_another_host_of_the_same_circle() {
    for idempotency_group in ["zone", "cell", "all"] {
        let hosts = Hosts::start(2);
        let discovery = Discovery::start();
        let named = |host: usize| {
            let mut member = member(host, &hosts.addresses[host].to_string(), "active");
            (member["locality"], member["cell"]) = (json!("x"), json!(7));
            member
        };
        let mut node_config = node_config_of(json!([named(0), named(1)]), discovery.address);
        node_config["settings"]["offerings"][0] = json!({"name": "chat", "contract_time": 1500.0, "expiry": 6000.0,
            "effect": "guarded", "group": idempotency_group, "payoff": 1.0, "repeat_window": 6000.0});
        let node = Node::start(&node_config);
        let mut client = node.open(&OPEN.replace("d=2000", "d=6000"));
        let (first, mut host) = hosts.accept();
        host.hear();
        host.reset();
        let (second, mut host) = hosts.accept();
        assert_ne!(first, second, "{idempotency_group}");
        host.hear();
        host.say("UP 2");
        client.hears("UP 2");
    }
}

/// Guards: hosts taken for ones of the same cell, as theirs are no small numbers or are not told at all.
#[test]
fn a_repeat_goes_by_cells_of_any_form() {
    for (first, second, same) in [
        (json!("x"), json!("y"), false),
        (json!("x"), json!("x"), true),
        (json!(70_000), json!(70_001), false),
        (json!(70_000), json!(70_000), true),
        (json!(0), json!(null), false),
        (json!(null), json!(null), false),
    ] {
        let hosts = Hosts::start(2);
        let discovery = Discovery::start();
        let named = |host: usize, cell: &serde_json::Value| {
            let mut member = member(host, &hosts.addresses[host].to_string(), "active");
            member["cell"] = cell.clone();
            if cell.is_null() {
                member.as_object_mut().unwrap().remove("cell");
            }
            member
        };
        let mut node_config = node_config_of(json!([named(0, &first)]), discovery.address);
        node_config["settings"]["offerings"][0] = json!({"name": "chat", "contract_time": 1500.0, "expiry": 6000.0,
            "effect": "guarded", "group": "cell", "payoff": 1.0, "repeat_window": 6000.0});
        let node = Node::start(&node_config);
        discovery.calls(1);
        let mut client = node.open(&OPEN.replace("d=2000", "d=6000"));
        let (_, mut host) = hosts.accept();
        host.hear();
        // The change has been taken in once the next call has come.
        discovery.change(named(1, &second));
        discovery.calls(2);
        host.reset();
        let again = hosts.accept_soon();
        assert_eq!(again.is_some(), same, "{first} and {second}");
        match again {
            Some((_, mut host)) => {
                host.hear();
                host.say("UP 2");
                client.hears("UP 2");
            }
            None => client.hears("ERR"),
        }
    }
}

/// So that the node has one end: what it is told, and nothing behind it.
fn hears_one(client: &mut Peer, wanted: &str, what: &str) {
    let said = client.hear();
    assert!(said.starts_with(wanted), "{what}: {said}");
    if !wanted.starts_with("UP") {
        client.hears("end");
    }
}

/// Guards: two answers for one attachment, a further attempt beside one that was taken, or an answer taken for another's, where
/// a host answers twice, with the wrong word, in pieces, or in the moment in which it is given up.
#[test]
fn an_answer_that_comes_twice_late_or_in_pieces_is_one() {
    // What the host says at once, what right behind it, what the client hears, and whether another host is asked.
    let cases = [
        ("free", "UP 7\r\n", "UP 8\r\n", "UP 7", false),
        ("free", "BUSY\r\n", "UP 8\r\n", "UP 2", true),
        ("free", "ERR\r\n", "UP 8\r\n", "UP 2", true),
        ("free", "WHAT 1\r\n", "UP 8\r\n", "UP 2", true),
        ("single_shot", "BUSY\r\n", "UP 8\r\n", "UP 2", true),
        ("single_shot", "ERR\r\n", "UP 8\r\n", "ERR", false),
        ("single_shot", "WHAT 1\r\n", "UP 8\r\n", "ERR", false),
        ("single_shot", "UP 7\r\n", "ERR\r\n", "UP 7", false),
    ];
    for ((idempotency, first, second, wanted, again), apart) in
        cases.into_iter().flat_map(|c| [(c, false), (c, true)])
    {
        let what = format!("{idempotency}, {first:?} and {second:?}, apart {apart}");
        let hosts = Hosts::start(2);
        let discovery = Discovery::start();
        let mut node_config = node_config_of(hosts.members(), discovery.address);
        node_config["settings"]["offerings"][0]["effect"] = json!(idempotency);
        let node = Node::start(&node_config);
        let mut client = node.open(OPEN);
        let (one, mut host) = hosts.accept();
        host.hear();
        // Both are there in one turn; or the first in two pieces, and the second once the node has read that.
        if apart {
            host.write(&first[..1]);
            has_read(&node);
            host.write(&first[1..]);
            has_read(&node);
            _ = std::io::Write::write_all(&mut host.stream, second.as_bytes());
        } else {
            node.suspend();
            host.write(first);
            host.write(second);
            node.unsuspend();
        }
        if again {
            let (other, mut host) = hosts.accept();
            assert_ne!(one, other, "{what}");
            host.hear();
            host.say("UP 2");
            hears_one(&mut client, wanted, &what);
        } else {
            hears_one(&mut client, wanted, &what);
        }
        assert!(hosts.accept_soon().is_none(), "{what}: sent on again");
        if wanted.starts_with("UP 7") {
            // From there on the connection is the host's.
            client.hears(second.trim_end());
        }
    }
}

/// Guards: an answer that is there while its attempt is given up: the node stands still over both and finds them in one turn,
/// by itself or behind more than one turn takes in; and one that comes just after.
#[test]
fn an_answer_in_the_moment_in_which_its_attempt_is_given_up_is_the_only_one() {
    for (idempotency, comes) in ["free", "single_shot"]
        .into_iter()
        .flat_map(|e| ["with it", "behind", "after"].map(|c| (e, c)))
    {
        let what = format!("{idempotency}, {comes}");
        let hosts = Hosts::start(2);
        let discovery = Discovery::start();
        let mut node_config = node_config_of(hosts.members(), discovery.address);
        node_config["settings"]["offerings"][0] = json!({"name": "chat", "contract_time": 400.0, "expiry": 2000.0,
            "effect": idempotency, "group": "all", "payoff": 1.0});
        node_config["settings"]["policy_limits"]["most_hand_offs"] = json!(2);
        node_config["settings"]["round"] = json!(200.0);
        node_config["limits"]["sockets"] = json!(2048);
        let node = Node::start(&node_config);
        let mut crowd: Vec<Peer> = match comes {
            "behind" => (0..700).map(|_| Peer::connect(node.address)).collect(),
            _ => Vec::new(),
        };
        has_read(&node);
        let mut client = node.open(OPEN);
        let (one, mut host) = hosts.accept();
        let asked = Instant::now();
        host.hear();
        if comes == "after" {
            // Given up: its connection has ended, and what it then says is nobody's.
            host.hears("end");
            _ = std::io::Write::write_all(&mut host.stream, b"UP 7\r\n");
            if idempotency == "single_shot" {
                hears_one(&mut client, "ERR", &what);
            } else {
                let (other, mut host) = hosts.accept();
                assert_ne!(one, other, "{what}");
                host.hear();
                host.say("UP 2");
                hears_one(&mut client, "UP 2", &what);
            }
        } else {
            node.suspend();
            // What is irreversible is waited for as long as its client waits, less two rounds.
            let up = Duration::from_millis(if idempotency == "single_shot" {
                1650
            } else {
                700
            });
            crowd.iter_mut().for_each(|other| other.write("O"));
            host.say("UP 7");
            eventually("no time passes", || asked.elapsed() > up);
            node.unsuspend();
            hears_one(&mut client, "UP 7", &what);
        }
        assert!(hosts.accept_soon().is_none(), "{what}: sent on again");
    }
}

/// Whoever answers this has read all that came before.
fn has_read(node: &Node) {
    let mut other = Peer::connect(node.address);
    other.say("PING");
    other.hears("PONG");
}
