//! Hosts that the endpoint list moves to another idempotency group or address: attempts that were chosen before the change are
//! judged by the former group and address.

mod shared;

use reedferry_testkit::program::node_config_of;
use reedferry_testkit::*;
use serde_json::json;
use shared::{answer_late_request, request_class, wait_until_read, LATE_CONNECTION_TIMEOUT};
use std::thread::yield_now;
use std::time::{Duration, Instant};

/// Longer than the grace for draining hosts in the test configuration.
const PAST_GRACE: Duration = Duration::from_millis(500);

/// Guards against a retry in the idempotency group in which the host of the first attempt is listed now, instead of the one in which
/// it was when it may have run the request.
#[test]
fn a_retry_stays_in_the_group_in_which_the_first_attempt_may_have_run() {
    for idempotency_group in ["zone", "cell"] {
        let hosts = Hosts::start(2);
        let discovery = Discovery::start();
        let listed = |host: usize, index: usize| {
            let mut member = member(host, &hosts.addresses[host].to_string(), "active");
            (member["locality"], member["cell"]) = (json!(["a", "b"][index]), json!(index));
            member
        };
        let mut node_config = node_config_of(json!([listed(0, 0)]), discovery.address);
        let settings = &mut node_config["settings"];
        settings["zones"] = json!(["a", "b"]);
        settings["offerings"][0] = request_class("guarded", idempotency_group, 1500.0);
        let node = Node::start(&node_config);
        discovery.calls(1);
        let mut client = node.open(&OPEN.replace("d=2000", "d=6000"));
        let (_, mut host) = hosts.accept();
        host.receive_line();
        // The node has applied a change once its next call arrives.
        discovery.change(listed(1, 1));
        discovery.calls(2);
        discovery.change(listed(0, 1));
        discovery.calls(3);
        host.reset();
        client.expect_line("ERR");
        assert!(
            hosts.accept_soon().is_none(),
            "{idempotency_group}: retried outside its group"
        );
    }
}

/// Guards against a retry at a host that was in the idempotency group when it was chosen, but is listed in another one when its
/// connection is established.
#[test]
fn a_retry_is_not_sent_if_its_host_leaves_the_group_while_it_is_connected() {
    for (moves, sent) in [(false, true), (true, false)] {
        let hosts = Hosts::start(1);
        let (listener, first) = full_listener();
        let discovery = Discovery::start();
        let mut node_config = node_config_of(hosts.members(), discovery.address);
        let settings = &mut node_config["settings"];
        settings["policy_limits"]["connect_timeout"] = json!(5000.0);
        settings["offerings"][0] = request_class("guarded", "cell", 300.0);
        let node = Node::start(&node_config);
        discovery.calls(1);
        let mut client = node.open(&OPEN.replace("d=2000", "d=6000"));
        let (_, mut host) = hosts.accept();
        host.receive_line();
        let mut late = member(5, &listener.local_addr().unwrap().to_string(), "active");
        late["cell"] = node_config["known"]["members"][0]["cell"].clone();
        discovery.change(late.clone());
        host.expect_line("end");
        discovery.calls(2);
        wait_until_read(&node);
        late["cell"] = json!(if moves {
            77
        } else {
            late["cell"].as_i64().unwrap()
        });
        discovery.change(late);
        discovery.calls(3);
        let deadline = Instant::now() + LATE_CONNECTION_TIMEOUT;
        let late = answer_late_request(&listener, first, deadline);
        assert_eq!(late.is_some(), sent, "moves {moves}");
        let answer = client.receive_line();
        assert!(
            answer.starts_with(if sent { "UP 2" } else { "ERR" }),
            "moves {moves}: {answer}"
        );
    }
}

/// Guards against an attempt at an address that its host has left: the host is listed at another address while the connection is
/// being established, which takes longer than the grace for draining hosts.
#[test]
fn a_host_listed_at_another_address_gets_no_attempt_at_the_old_one() {
    let (listener, first) = full_listener();
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
    wait_until_read(&node);
    discovery.change(member(0, &hosts.addresses[0].to_string(), "active"));
    discovery.calls(2);
    let changed = Instant::now();
    while changed.elapsed() < PAST_GRACE {
        yield_now();
    }
    drop(first);
    drop(listener.accept().unwrap());
    listener.set_nonblocking(true).unwrap();
    // The kernel repeats the SYN after a second if the node still wants the connection.
    let mut at_new_address = None;
    while changed.elapsed() < LATE_CONNECTION_TIMEOUT && at_new_address.is_none() {
        at_new_address = hosts.accept_soon();
        if let Ok((late, _)) = listener.accept() {
            late.set_nonblocking(false).unwrap();
            let end = Peer::new(late).receive_line();
            assert!(
                ["end", "reset"].contains(&end.as_str()),
                "at the old address: {end}"
            );
        }
    }
    let (_, mut host) = at_new_address.expect("no connection arrived at the new address");
    host.receive_line();
    host.send_line("UP 2");
    client.expect_line("UP 2");
}

/// Guards against a host that is ejected at its new address because the connection to the old one is not accepted.
#[test]
fn a_host_is_not_ejected_for_a_failure_at_its_old_address() {
    let (listener, first) = full_listener();
    let (hosts, discovery) = (Hosts::start(1), Discovery::start());
    let old = member(0, &listener.local_addr().unwrap().to_string(), "active");
    let mut node_config = node_config_of(json!([old]), discovery.address);
    node_config["settings"]["policy_limits"]["connect_timeout"] = json!(1000.0);
    let node = Node::start(&node_config);
    discovery.calls(1);
    let mut client = node.open(OPEN);
    wait_until_read(&node);
    discovery.change(member(0, &hosts.addresses[0].to_string(), "active"));
    discovery.calls(2);
    let (_, mut host) = hosts.accept();
    host.receive_line();
    host.send_line("UP 2");
    client.expect_line("UP 2");
    let ejections: Vec<String> = node
        .drain_log()
        .into_iter()
        .filter(|line| line.contains("host ejected"))
        .collect();
    assert!(ejections.is_empty(), "{ejections:?}");
    drop((first, listener));
}
