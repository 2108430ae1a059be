//! Retries: when and where the idempotency of a request allows a further attempt, and that its client gets one answer.

mod shared;

use reedferry_testkit::program::node_config_of;
use reedferry_testkit::*;
use serde_json::json;
use shared::{answer_late_request, request_class, wait_until_read, LATE_CONNECTION_TIMEOUT};
use std::time::{Duration, Instant};

/// Guards against a retry that is chosen within the window in which hosts drop duplicates, but sent after it because its connection
/// was established late.
#[test]
fn a_retry_whose_connection_is_established_past_its_window_is_not_sent() {
    for (idempotency, window, sent, expected) in [
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
        // The only other host is one whose connections are established late.
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
                "the connection was established too early: {elapsed:?}"
            );
        }
        assert_eq!(late.is_some(), sent, "{idempotency}, {window} ms");
        let answer = client.receive_line();
        assert!(
            answer.starts_with(expected),
            "{idempotency}, {window} ms: {answer}"
        );
    }
}

/// Guards against a retry at a host outside the idempotency group, which would not drop the duplicate: if the settings name neither
/// host's zone, if the host that may have run the request has left and its entry no longer has a zone or cell, and if a reload
/// reorders the zones after that.
#[test]
fn a_retry_stays_in_the_group_of_the_host_that_may_have_run_it() {
    for (case, idempotency_group, zones, has_left) in [
        (
            "zones that the settings do not name",
            "zone",
            ["x", "y"],
            false,
        ),
        ("a host listed without its zone", "zone", ["b", ""], true),
        ("a host listed without its cell", "cell", ["a", "a"], true),
        ("zones that change their order", "zone", ["a", "b"], true),
    ] {
        let hosts = Hosts::start(2);
        let discovery = Discovery::start();
        let listed = |host: usize| {
            let mut member = member(host, &hosts.addresses[host].to_string(), "active");
            // Host 1 is in cell 0, which is also the default of an entry without a cell.
            (member["locality"], member["cell"]) = (json!(zones[host]), json!(3 * (1 - host)));
            member
        };
        let mut node_config = node_config_of(json!([listed(0)]), discovery.address);
        let settings = &mut node_config["settings"];
        settings["zones"] = json!(["a", "b"]);
        settings["offerings"][0] = request_class("guarded", idempotency_group, 1500.0);
        let node = Node::start(&node_config);
        discovery.calls(1);
        let mut client = node.open(&OPEN.replace("d=2000", "d=6000"));
        let (first, mut host) = hosts.accept();
        assert_eq!(first, 0);
        host.receive_line();
        // The node has applied a change once its next call arrives.
        discovery.change(listed(1));
        discovery.calls(2);
        if has_left {
            let mut gone = if case.contains("listed without") {
                json!({"id": "s-0"})
            } else {
                listed(0)
            };
            gone["phase"] = json!("left");
            discovery.change(gone);
            discovery.calls(3);
        }
        if case.contains("change their order") {
            node_config["settings"]["zones"] = json!(["b", "a"]);
            node_config["settings"]["zone"] = json!(1);
            node.reload(&node_config.to_string());
            node.wait_for_log("settings changed active_classes=");
        }
        host.reset();
        client.expect_line("ERR");
        assert!(
            hosts.accept_soon().is_none(),
            "{case}: retried outside its group"
        );
    }
}

/// Guards against a check of the idempotency group that is so strict that nothing is retried.
#[test]
fn a_retry_goes_to_another_host_of_the_same_group() {
    for idempotency_group in ["zone", "cell", "all"] {
        let hosts = Hosts::start(2);
        let discovery = Discovery::start();
        let listed = |host: usize| {
            let mut member = member(host, &hosts.addresses[host].to_string(), "active");
            (member["locality"], member["cell"]) = (json!("x"), json!(7));
            member
        };
        let mut node_config = node_config_of(json!([listed(0), listed(1)]), discovery.address);
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

/// Guards against hosts that count as being in the same cell because their cells are strings, large numbers or missing.
#[test]
fn a_retry_stays_in_its_cell_whatever_the_type_of_the_cell() {
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
        let listed = |host: usize, cell: &serde_json::Value| {
            let mut member = member(host, &hosts.addresses[host].to_string(), "active");
            member["cell"] = cell.clone();
            if cell.is_null() {
                member.as_object_mut().unwrap().remove("cell");
            }
            member
        };
        let mut node_config = node_config_of(json!([listed(0, &first)]), discovery.address);
        node_config["settings"]["offerings"][0] = request_class("guarded", "cell", 1500.0);
        let node = Node::start(&node_config);
        discovery.calls(1);
        let mut client = node.open(&OPEN.replace("d=2000", "d=6000"));
        let (_, mut host) = hosts.accept();
        host.receive_line();
        // The node has applied the change once its next call arrives.
        discovery.change(listed(1, &second));
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

/// Checks that the client's answer starts with `wanted` and that the connection then closes, unless it is open to a host.
fn expect_only_answer(client: &mut Peer, wanted: &str, case: &str) {
    let answer = client.receive_line();
    assert!(answer.starts_with(wanted), "{case}: {answer}");
    if !wanted.starts_with("UP") {
        client.expect_line("end");
    }
}

/// Guards against two answers to one request, a further attempt beside an accepted one, and an answer that counts for another
/// attempt, if a host answers twice, with an invalid word or in pieces.
#[test]
fn a_client_gets_one_answer_if_its_host_answers_twice_or_in_pieces() {
    // The effect, the host's answer, what it sends right after it, the client's answer, and whether another host gets a retry.
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
        let case = format!("{idempotency}, {first:?} and {second:?}, apart {apart}");
        let hosts = Hosts::start(2);
        let discovery = Discovery::start();
        let mut node_config = node_config_of(hosts.members(), discovery.address);
        node_config["settings"]["offerings"][0]["effect"] = json!(idempotency);
        let node = Node::start(&node_config);
        let mut client = node.open(OPEN);
        let (one, mut host) = hosts.accept();
        host.receive_line();
        // The node finds both in one turn of its event loop, or it reads two pieces of the first and then the second.
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
            assert_ne!(one, other, "{case}");
            host.receive_line();
            host.send_line("UP 2");
            expect_only_answer(&mut client, wanted, &case);
        } else {
            expect_only_answer(&mut client, wanted, &case);
        }
        assert!(hosts.accept_soon().is_none(), "{case}: another attempt");
        if wanted.starts_with("UP 7") {
            // The connection is open: the host's next line is forwarded.
            client.expect_line(second.trim_end());
        }
    }
}

/// Guards against a second answer if the host's answer is unread when its attempt times out, or arrives just after that. A suspended
/// node finds the answer and the timeout in one turn of its event loop, with or without more ready sockets than one turn serves.
#[test]
fn an_answer_at_the_time_at_which_its_attempt_times_out_is_the_only_one() {
    for (idempotency, arrival) in ["free", "single_shot"]
        .into_iter()
        .flat_map(|e| ["in one turn", "behind a crowd", "after the timeout"].map(|c| (e, c)))
    {
        let case = format!("{idempotency}, {arrival}");
        let hosts = Hosts::start(2);
        let discovery = Discovery::start();
        let mut node_config = node_config_of(hosts.members(), discovery.address);
        node_config["settings"]["offerings"][0] = json!({"name": "chat", "contract_time": 400.0, "expiry": 2000.0,
            "effect": idempotency, "group": "all", "payoff": 1.0});
        node_config["settings"]["policy_limits"]["most_hand_offs"] = json!(2);
        node_config["settings"]["round"] = json!(200.0);
        node_config["limits"]["sockets"] = json!(2048);
        let node = Node::start(&node_config);
        let mut crowd: Vec<Peer> = match arrival {
            "behind a crowd" => (0..700).map(|_| Peer::connect(node.address)).collect(),
            _ => Vec::new(),
        };
        wait_until_read(&node);
        let mut client = node.open(OPEN);
        let (one, mut host) = hosts.accept();
        let requested_at = Instant::now();
        host.receive_line();
        if arrival == "after the timeout" {
            // The attempt has timed out and its connection is closed: what the host then sends is ignored.
            host.expect_line("end");
            _ = std::io::Write::write_all(&mut host.stream, b"UP 7\r\n");
            if idempotency == "single_shot" {
                expect_only_answer(&mut client, "ERR", &case);
            } else {
                let (other, mut host) = hosts.accept();
                assert_ne!(one, other, "{case}");
                host.receive_line();
                host.send_line("UP 2");
                expect_only_answer(&mut client, "UP 2", &case);
            }
        } else {
            node.suspend();
            // The attempt has timed out by then. That of a request that is not idempotent times out two round trips before the
            // client's deadline.
            let timed_out_after = Duration::from_millis(if idempotency == "single_shot" {
                1650
            } else {
                700
            });
            crowd.iter_mut().for_each(|other| other.write("O"));
            host.send_line("UP 7");
            eventually("the time has passed", || {
                requested_at.elapsed() > timed_out_after
            });
            node.unsuspend();
            expect_only_answer(&mut client, "UP 7", &case);
        }
        assert!(hosts.accept_soon().is_none(), "{case}: another attempt");
    }
}
