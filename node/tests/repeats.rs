//! Retries: a further attempt at the last instant at which its idempotency allows one, and past it.

mod shared;

use reedferry_testkit::program::node_config_of;
use reedferry_testkit::*;
use serde_json::json;
use shared::{answer_late_request, request_class, wait_until_read, LATE_CONNECTION_TIMEOUT};
use std::time::{Duration, Instant};

/// Guards against a retry that was chosen inside the window in which others drop it, and whose line went out
/// after it, as the connection came up late.
#[test]
fn a_retry_whose_connection_is_established_past_its_window_is_not_sent() {
    for (idempotency, window, sent, answer) in [
        ("free", 0, true, "UP 2"),
        ("guarded", 6000, true, "UP 2"),
        ("guarded", 800, false, "BUSY"),
        ("single_shot", 0, false, "ERR"),
    ] {
        let hosts = Hosts::start(1);
        let (listener, first) = full_listener();
        let discovery = Discovery::start();
        let mut node_config = node_config_of(hosts.members(), discovery.address);
        let settings = &mut node_config["settings"];
        settings["policy_limits"]["connect_timeout"] = json!(5000.0);
        settings["offerings"][0] = request_class(idempotency, "all", 300.0);
        settings["offerings"][0]["repeat_window"] = json!(f64::from(window));
        let node = Node::start(&node_config);
        discovery.calls(1);
        let mut client = node.open(&OPEN.replace("d=2000", "d=6000"));
        let started = Instant::now();
        let (_, mut host) = hosts.accept();
        host.receive_line();
        // The only other host is one whose connections come up late.
        discovery.change(member(
            5,
            &listener.local_addr().unwrap().to_string(),
            "active",
        ));
        // The first attempt times out; the retry goes there.
        host.expect_line("end");
        wait_until_read(&node);
        let late = answer_late_request(&listener, first, started + LATE_CONNECTION_TIMEOUT);
        if late.is_some() {
            let elapsed = started.elapsed();
            assert!(
                elapsed > Duration::from_millis(900),
                "too tame: {elapsed:?}"
            );
        }
        assert_eq!(late.is_some(), sent, "{idempotency}, {window} ms");
        let said = client.receive_line();
        assert!(
            said.starts_with(answer),
            "{idempotency}, {window} ms: {said}"
        );
    }
}

/// Guards against a retry sent out of the group that drops it: where the settings name neither host's zone,
/// where the host that may have run it has left and no more is said of it, and where the settings change the
/// order of zones after that.
#[test]
fn a_retry_stays_in_the_group_of_the_host_that_may_have_run_it() {
    for (what, idempotency_group, zones, left) in [
        (
            "zones that the settings do not name",
            "zone",
            ["x", "y"],
            false,
        ),
        ("a zone of which no more is said", "zone", ["b", ""], true),
        ("a cell of which no more is said", "cell", ["a", "a"], true),
        ("zones that change their order", "zone", ["a", "b"], true),
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
        settings["offerings"][0] = request_class("guarded", idempotency_group, 1500.0);
        let node = Node::start(&node_config);
        discovery.calls(1);
        let mut client = node.open(&OPEN.replace("d=2000", "d=6000"));
        let (first, mut host) = hosts.accept();
        assert_eq!(first, 0);
        host.receive_line();
        // Each change has been applied once the next call has come.
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
        if what.contains("change their order") {
            node_config["settings"]["zones"] = json!(["b", "a"]);
            node_config["settings"]["zone"] = json!(1);
            node.reload(&node_config.to_string());
            node.wait_for_log("settings changed active_classes=");
        }
        host.reset();
        client.expect_line("ERR");
        assert!(
            hosts.accept_soon().is_none(),
            "{what}: sent out of its group"
        );
    }
}

/// Guards against the same kept so narrowly that nothing is retried at all.
#[test]
fn a_retry_goes_to_another_host_of_the_same_group() {
    for idempotency_group in ["zone", "cell", "all"] {
        let hosts = Hosts::start(2);
        let discovery = Discovery::start();
        let named = |host: usize| {
            let mut member = member(host, &hosts.addresses[host].to_string(), "active");
            (member["locality"], member["cell"]) = (json!("x"), json!(7));
            member
        };
        let mut node_config = node_config_of(json!([named(0), named(1)]), discovery.address);
        node_config["settings"]["offerings"][0] =
            request_class("guarded", idempotency_group, 1500.0);
        let node = Node::start(&node_config);
        let mut client = node.open(&OPEN.replace("d=2000", "d=6000"));
        let (first, mut host) = hosts.accept();
        host.receive_line();
        host.reset();
        let (second, mut host) = hosts.accept();
        assert_ne!(first, second, "{idempotency_group}");
        host.receive_line();
        host.send_line("UP 2");
        client.expect_line("UP 2");
    }
}

/// Guards against hosts taken for ones of the same cell, as theirs are no small numbers or are missing.
#[test]
fn a_retry_goes_by_cells_of_any_form() {
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
        node_config["settings"]["offerings"][0] = request_class("guarded", "cell", 1500.0);
        let node = Node::start(&node_config);
        discovery.calls(1);
        let mut client = node.open(&OPEN.replace("d=2000", "d=6000"));
        let (_, mut host) = hosts.accept();
        host.receive_line();
        // The change has been applied once the next call has come.
        discovery.change(named(1, &second));
        discovery.calls(2);
        host.reset();
        let retry = hosts.accept_soon();
        assert_eq!(retry.is_some(), same, "{first} and {second}");
        match retry {
            Some((_, mut host)) => {
                host.receive_line();
                host.send_line("UP 2");
                client.expect_line("UP 2");
            }
            None => client.expect_line("ERR"),
        }
    }
}

/// Checks that the client gets this answer, and nothing behind it.
fn expect_only_answer(client: &mut Peer, wanted: &str, what: &str) {
    let said = client.receive_line();
    assert!(said.starts_with(wanted), "{what}: {said}");
    if !wanted.starts_with("UP") {
        client.expect_line("end");
    }
}

/// Guards against two answers for one request, a further attempt beside one that was accepted, or an answer taken
/// for another's, where a host answers twice, with the wrong word, in pieces, or at the moment its attempt times
/// out.
#[test]
fn an_answer_that_comes_twice_late_or_in_pieces_is_one() {
    // The host's answer, what it sends right behind it, the client's answer, and whether another host gets a retry.
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
    for ((idempotency, first, second, wanted, retried), apart) in
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
        host.receive_line();
        // Both are there in one turn; or the first in two pieces, and the second once the node has read that.
        if apart {
            host.write(&first[..1]);
            wait_until_read(&node);
            host.write(&first[1..]);
            wait_until_read(&node);
            _ = std::io::Write::write_all(&mut host.stream, second.as_bytes());
        } else {
            node.suspend();
            host.write(first);
            host.write(second);
            node.unsuspend();
        }
        if retried {
            let (other, mut host) = hosts.accept();
            assert_ne!(one, other, "{what}");
            host.receive_line();
            host.send_line("UP 2");
            expect_only_answer(&mut client, wanted, &what);
        } else {
            expect_only_answer(&mut client, wanted, &what);
        }
        assert!(hosts.accept_soon().is_none(), "{what}: sent again");
        if wanted.starts_with("UP 7") {
            // From there on the connection is the host's.
            client.expect_line(second.trim_end());
        }
    }
}

/// Guards against a second answer where one is there while its attempt times out: the node is stopped over both and
/// finds them in one turn, by itself or behind more than one turn takes in; and one that comes just after.
#[test]
fn an_answer_at_the_moment_its_attempt_times_out_is_the_only_one() {
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
        wait_until_read(&node);
        let mut client = node.open(OPEN);
        let (one, mut host) = hosts.accept();
        let asked = Instant::now();
        host.receive_line();
        if comes == "after" {
            // Timed out: its connection has ended, and what it then sends is nobody's.
            host.expect_line("end");
            _ = std::io::Write::write_all(&mut host.stream, b"UP 7\r\n");
            if idempotency == "single_shot" {
                expect_only_answer(&mut client, "ERR", &what);
            } else {
                let (other, mut host) = hosts.accept();
                assert_ne!(one, other, "{what}");
                host.receive_line();
                host.send_line("UP 2");
                expect_only_answer(&mut client, "UP 2", &what);
            }
        } else {
            node.suspend();
            // What is not idempotent is waited for as long as its client waits, less two round trips.
            let up = Duration::from_millis(if idempotency == "single_shot" {
                1650
            } else {
                700
            });
            crowd.iter_mut().for_each(|other| other.write("O"));
            host.send_line("UP 7");
            eventually("no time passes", || asked.elapsed() > up);
            node.unsuspend();
            expect_only_answer(&mut client, "UP 7", &what);
        }
        assert!(hosts.accept_soon().is_none(), "{what}: sent again");
    }
}
