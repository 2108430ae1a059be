//! Hosts that the list puts into another group or at another address: what was chosen for them before goes by
//! where they were.

mod shared;

use reedferry_testkit::program::node_config_of;
use reedferry_testkit::*;
use serde_json::json;
use shared::{answer_late_request, request_class, wait_until_read, LATE_CONNECTION_TIMEOUT};
use std::thread::yield_now;
use std::time::{Duration, Instant};

/// Longer than the grace for draining hosts in the configuration of trials.
const PAST_GRACE: Duration = Duration::from_millis(500);

/// Guards against a retry matched against the idempotency group in which the host of the first attempt is
/// listed by now, and not the one in which it may have run it: its name has come back in another.
#[test]
fn a_retry_stays_in_the_group_in_which_the_first_attempt_may_have_run() {
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
        settings["offerings"][0] = request_class("guarded", idempotency_group, 1500.0);
        let node = Node::start(&node_config);
        discovery.calls(1);
        let mut client = node.open(&OPEN.replace("d=2000", "d=6000"));
        let (_, mut host) = hosts.accept();
        host.receive_line();
        // Each change has been applied once the next call has come.
        discovery.change(named(1, 1));
        discovery.calls(2);
        discovery.change(named(0, 1));
        discovery.calls(3);
        host.reset();
        client.expect_line("ERR");
        assert!(
            hosts.accept_soon().is_none(),
            "{idempotency_group}: sent out of its group"
        );
    }
}

/// Guards against a retry sent to a host that was in the group when it was chosen, and is listed in another by
/// the time its connection is established.
#[test]
fn a_retry_is_not_sent_where_its_host_has_left_the_group_while_it_was_connected() {
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
        let said = client.receive_line();
        assert!(
            said.starts_with(if sent { "UP 2" } else { "ERR" }),
            "moves {moves}: {said}"
        );
    }
}

/// Guards against new work for an address that a host has left: it is listed at another one while its connection
/// is being established, which takes longer than the grace.
#[test]
fn a_host_listed_at_another_address_gets_nothing_new_at_the_old_one() {
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
    // The system asks for the connection again a second after the first time, if it is still wanted.
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
    let (_, mut host) = at_new_address.expect("nothing came to the new address");
    host.receive_line();
    host.send_line("UP 2");
    client.expect_line("UP 2");
}

/// Guards against a host avoided at its new address, as nobody accepts the connection at the old one.
#[test]
fn a_host_is_not_avoided_for_what_happens_at_its_old_address() {
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
