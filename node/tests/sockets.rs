//! Tests of one process of the program over sockets. Clients, hosts, the discovery service and peers are
//! scripted by the test.

use reedferry_testkit::*;
use serde_json::{json, Value};
use std::cell::Cell;
use std::net::UdpSocket;
use std::process::Command;
use std::time::{Duration, Instant};

/// Starts a discovery service and a node that knows the hosts and runs with the changed configuration.
fn start(hosts: &Hosts, change_config: impl FnOnce(&mut Value)) -> (Node, Discovery) {
    let discovery = Discovery::start();
    let mut node_config = node_config(hosts, discovery.address);
    change_config(&mut node_config);
    (Node::start(&node_config), discovery)
}

#[test]
fn a_request_is_served_and_lines_are_proxied_both_ways_unchanged() {
    let hosts = Hosts::start(1);
    let (node, _) = start(&hosts, |_| {});
    let mut client = Peer::connect(node.address);
    client.send_line("PING");
    client.expect_line("PONG");
    client.write("OPEN 9b1f 7f3a c=chat,t=acme,d=2000,g=5c0f,r=1,zz=9\r");
    client.write("\n");
    let (_, mut host) = hosts.accept();
    let line = host.receive_line();
    let wait: u64 = line
        .strip_prefix("OPEN 9b1f 7f3a c=chat,t=acme,d=")
        .unwrap()
        .split(',')
        .next()
        .unwrap()
        .parse()
        .unwrap();
    assert!(
        line.ends_with(",g=5c0f,r=1,zz=9") && (100..2000).contains(&wait),
        "{line}"
    );
    host.write("UP 77aa\r\nLOAD 2500\r\nhalf");
    client.expect_line("UP 77aa");
    client.expect_line("LOAD 2500");
    client.send_line("up 1");
    host.expect_line("up 1");
    host.write(" a line\r\nBYE\r\n");
    client.expect_line("half a line");
    client.expect_line("BYE");
    host.end_sending();
    client.expect_line("end");
    host.expect_line("end");
}

#[test]
fn an_end_or_reset_on_one_side_is_relayed_to_the_other_side() {
    // Several hosts, as a host that broke a connection gets no new one for a while.
    let hosts = Hosts::start(3);
    let (node, _) = start(&hosts, |_| {});
    let (mut client, _, host) = node.served(&hosts);
    host.reset();
    client.expect_line("reset");
    let (client, _, mut host) = node.served(&hosts);
    client.reset();
    host.expect_line("reset");
    let (mut client, _, mut host) = node.served(&hosts);
    client.end_sending();
    host.expect_line("end");
    host.send_line("BYE");
    host.end_sending();
    client.expect_line("BYE");
    client.expect_line("end");
}

#[test]
fn a_request_that_one_host_rejects_or_breaks_is_sent_to_another() {
    for answer in ["BUSY\r\n", "ERR\r\n", "", "what\r\n", "UP"] {
        let mut hosts = Hosts::start(3);
        // Nobody listens at one of the three addresses.
        hosts.addresses[0] = unused_address();
        let (node, _) = start(&hosts, |_| {});
        let mut client = node.open(OPEN);
        let (first, mut host) = hosts.accept();
        host.receive_line();
        host.write(answer);
        host.end_sending();
        let (second, mut host) = hosts.accept();
        assert_ne!(first, second);
        host.receive_line();
        host.send_line("UP 1");
        client.expect_line("UP 1");
    }
}

#[test]
fn a_request_that_no_host_accepts_is_rejected_at_once_with_a_retry_after() {
    let mut hosts = Hosts::start(2);
    hosts.addresses = vec![unused_address(), unused_address()];
    let (node, _) = start(&hosts, |_| {});
    let started_at = Instant::now();
    let mut client = node.open(OPEN);
    let answer = client.receive_line();
    let wait: u64 = answer.strip_prefix("BUSY ").unwrap().parse().unwrap();
    assert!((250..=1000).contains(&wait) && started_at.elapsed() < Duration::from_secs(1));
    client.expect_line("end");
}

#[test]
fn a_non_idempotent_request_that_may_have_run_fails_and_is_never_sent_again() {
    let hosts = Hosts::start(3);
    let (node, _) = start(&hosts, |p| {
        p["settings"]["offerings"][0]["effect"] = json!("single_shot");
    });
    let mut client = node.open(OPEN);
    let (_, mut host) = hosts.accept();
    host.receive_line();
    host.end_sending();
    client.expect_line("ERR");
    // A request that the host rejected has not run, and is sent again.
    let mut client = node.open(OPEN);
    let (_, mut host) = hosts.accept();
    host.receive_line();
    host.send_line("BUSY");
    let (_, mut host) = hosts.accept();
    host.receive_line();
    host.send_line("UP 2");
    client.expect_line("UP 2");
}

#[test]
fn an_attempt_at_a_silent_host_ends_in_time_or_when_its_client_leaves() {
    let hosts = Hosts::start(2);
    let (node, _) = start(&hosts, |_| {});
    let started_at = Instant::now();
    let mut client = node.open(&OPEN.replace("d=2000", "d=400"));
    let (_, mut host) = hosts.accept();
    host.receive_line();
    assert!(client.receive_line().starts_with("BUSY"));
    assert!(started_at.elapsed() < Duration::from_millis(466));
    host.expect_line("end");
    let client = node.open(OPEN);
    let (_, mut host) = hosts.accept();
    host.receive_line();
    drop(client);
    host.expect_line("end");
}

#[test]
fn clients_are_migrated_between_two_lines_before_their_host_goes_away() {
    let hosts = Hosts::start(2);
    let (node, discovery) = start(&hosts, |_| {});
    discovery.calls(1);
    let (mut client, number, mut host) = node.served(&hosts);
    host.write("half");
    assert_eq!(client.bytes(4), b"half");
    discovery.change(member(
        number,
        &hosts.addresses[number].to_string(),
        "leaving",
    ));
    // Waits until the node knows of the drain: then new clients are served by the other host.
    eventually("new clients still go to the draining host", || {
        let mut client = node.open(OPEN);
        let (at, mut host) = hosts.accept();
        host.send_line("BUSY");
        if at != number {
            return true;
        }
        client.receive_line();
        false
    });
    host.write(" a line\r\n");
    client.expect_line(" a line");
    client.expect_line("MOVE");
    client.expect_line("end");
    host.expect_line("end");
}

#[test]
fn a_graceful_shutdown_migrates_every_client_and_answers_new_ones() {
    let hosts = Hosts::start(1);
    let (mut node, _) = start(&hosts, |_| {});
    let all: Vec<_> = (0..12).map(|_| node.served(&hosts)).collect();
    let started_at = Instant::now();
    node.stop();
    node.wait_for_log("shutting down requests=12");
    let mut late = node.open(OPEN);
    assert!(late.receive_line().starts_with("BUSY"));
    for (mut client, _, mut host) in all {
        client.expect_line("MOVE");
        // A client is still served for the first third of the remaining time.
        assert!(started_at.elapsed() > Duration::from_millis(780));
        client.expect_line("end");
        host.expect_line("end");
    }
    assert!(started_at.elapsed() < Duration::from_millis(2700));
    assert!(node.wait().success());
    assert!(started_at.elapsed() >= Duration::from_millis(2700));
}

#[test]
fn clients_that_name_their_host_are_placed_on_that_host_alone() {
    let mut hosts = Hosts::start(3);
    let (node, discovery) = start(&hosts, |_| {});
    for wanted in [2, 0, 1] {
        let mut client = node.open(&format!("{OPEN},at=s-{wanted}"));
        let (number, mut host) = hosts.accept();
        assert_eq!(number, wanted);
        host.receive_line();
        host.send_line("BUSY");
        // The rejected request is retried on the same host and on no other.
        let (number, mut host) = hosts.accept();
        assert_eq!(number, wanted);
        host.receive_line();
        host.send_line("UP 5");
        client.expect_line("UP 5");
    }
    // A client of a host that is not listed yet waits for that host until its own deadline.
    node.open(&format!("{OPEN},at=s-9").replace("d=2000", "d=300"))
        .expect_line("ERR");
    let mut client = node.open(&format!("{OPEN},at=s-3"));
    hosts.add();
    discovery.change(member(3, &hosts.addresses[3].to_string(), "active"));
    let (number, mut host) = hosts.accept();
    assert_eq!(number, 3);
    host.receive_line();
    host.send_line("UP 6");
    client.expect_line("UP 6");
}

/// The time after connecting within which every invalid client receives an answer or the end of its connection.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario: all kinds of invalid clients at one node"
)]
fn malformed_and_idle_clients_are_rejected_in_time_and_reach_no_host() {
    let hosts = Hosts::start(2);
    let (mut node, _) = start(&hosts, |p| {
        p["limits"] = json!({"memory_mb": 32, "sockets": 256});
    });
    let (mut client, _, mut host) = node.served(&hosts);
    let mut held_client = node.open("OPEN feed 7f3a c=chat,t=acme,d=2000");
    let (_, mut held_host) = hosts.accept();
    assert!(held_host.receive_line().starts_with("OPEN feed "));
    held_host.send_line("UP 1");
    held_client.expect_line("UP 1");
    let started_at = Instant::now();
    // Clients that send nothing, part of a line, or only a ping, and stay connected.
    let silent: Vec<Peer> = ["", "OP", "OPEN a b c=chat,t=acme,d=2000", "PING\r\n"]
        .iter()
        .cycle()
        .take(80)
        .map(|text| {
            let mut peer = Peer::connect(node.address);
            peer.write(text);
            peer
        })
        .collect();
    let long = "x".repeat(5000);
    let many = format!("{OPEN}\r\n").repeat(300);
    let pings = "PING\r\n".repeat(300);
    let lines = [
        "OPEN a b c=other,t=acme,d=100",
        "OPEN a b c=chat,t=other,d=100",
        "OPEN a b c=chat,d=100",
        "OPEN a b c=chat,t=acme,d=",
        "OPEN a b c=chat,t=acme,d=-5",
        "OPEN a b c=chat,t=acme,d=soon",
        "OPEN a b c=chat,t=acme,d=1e99",
        "OPEN a b c=chat,t=acme,d=900000000",
        "OPEN a b c=chat,t=acme",
        "OPEN a b c=chat,t=acme,d=9,d=8",
        "OPEN  b c=chat,t=acme,d=100",
        "OPEN feed b c=chat,t=acme,d=100",
        "OPEN a",
        "HELLO",
        "",
        &long,
        &many,
        &pings,
    ];
    for line in lines {
        // The same line again on a new connection as soon as the first is rejected.
        for _ in 0..2 {
            let started_at = Instant::now();
            let mut bad = Peer::connect(node.address);
            bad.send_line(line);
            while bad.receive_line() == "PONG" {}
            assert!(started_at.elapsed() < ANSWER_TIMEOUT, "{line}");
        }
    }
    let mut bytes = Peer::connect(node.address);
    std::io::Write::write_all(&mut bytes.stream, b"OPEN \xff\xfe a c=chat,d=1\r\n").unwrap();
    bytes.expect_line("ERR");
    drop(Peer::connect(node.address));
    // A client that sends more before its first line is answered receives an error, and its attempt
    // is cancelled.
    let mut early_sender = node.open(OPEN);
    let (_, mut early_sender_host) = hosts.accept();
    early_sender_host.receive_line();
    early_sender.send_line("and another thing");
    early_sender.expect_line("ERR");
    early_sender_host.expect_line("end");
    for mut peer in silent {
        while peer.receive_line() == "PONG" {}
        assert!(started_at.elapsed() < ANSWER_TIMEOUT);
    }
    node.wait_for_log("clients rejected");
    // None of these clients reached a host, and the open connections still work.
    assert!(hosts.accept_soon().is_none());
    held_client.send_line("still");
    held_host.expect_line("still");
    client.send_line("still");
    host.expect_line("still");
    assert!(node.runs());
}

#[test]
fn a_client_receives_its_error_after_sending_sixty_excess_megabytes() {
    let hosts = Hosts::start(1);
    let (node, _) = start(&hosts, |p| p["limits"]["memory_mb"] = json!(32));
    let started_at = Instant::now();
    let mut bad = Peer::connect(node.address);
    let megabyte = vec![b'k'; 1 << 20];
    for _ in 0..60 {
        std::io::Write::write_all(&mut bad.stream, &megabyte).unwrap();
    }
    bad.expect_line("ERR");
    assert!(started_at.elapsed() < 2 * ANSWER_TIMEOUT);
    // While one client sends without end, valid clients are served, and its connection is closed.
    let mut endless = Peer::connect(node.address);
    endless.write("x");
    let sender = std::thread::spawn(move || {
        while std::io::Write::write_all(&mut endless.stream, &megabyte).is_ok() {}
    });
    for _ in 0..20 {
        let started_at = Instant::now();
        let (client, _, mut host) = node.served(&hosts);
        assert!(started_at.elapsed() < Duration::from_millis(500));
        // The client ends first: if both ended within one turn of the node, the node would count the only
        // host as broken.
        drop(client);
        assert!(["end", "reset"].contains(&host.receive_line().as_str()));
    }
    sender.join().unwrap();
}

#[test]
fn hundreds_of_idle_clients_leave_enough_descriptors_for_active_ones() {
    let hosts = Hosts::start(1);
    let (node, _) = start(&hosts, |p| {
        p["limits"] = json!({"memory_mb": 32, "sockets": 256});
    });
    let mut served = Vec::new();
    let mut silent = Vec::new();
    for n in 0..40 {
        silent.extend((0..15).map(|_| Peer::connect(node.address)));
        let started_at = Instant::now();
        served.push(node.served(&hosts));
        assert!(
            started_at.elapsed() < Duration::from_secs(1),
            "client {n} was delayed by the idle clients"
        );
        assert!(node.descriptors() <= 256);
    }
    // All connections stay open until the last one is checked. A host that closes many at once counts as broken, and
    // the clients of the others are migrated.
    for (client, _, host) in &mut served {
        client.send_line("still");
        host.expect_line("still");
    }
}

#[test]
fn an_overlong_line_closes_only_the_connection_it_arrived_on() {
    let hosts = Hosts::start(2);
    let (mut node, _) = start(&hosts, |_| {});
    let (mut client, _, mut host) = node.served(&hosts);
    let long = "x".repeat(5000);
    let (mut other, _, mut bad) = node.served(&hosts);
    bad.write(&long);
    eventually("an overlong line did not end its connection", || {
        other.receive_line() == "reset"
    });
    let (mut bad, _, mut other) = node.served(&hosts);
    bad.write(&long);
    eventually("an overlong line did not end its connection", || {
        other.receive_line() == "reset"
    });
    client.send_line("still");
    host.expect_line("still");
    assert!(node.runs());
}

#[test]
fn the_watch_is_renewed_at_once_and_retried_when_it_fails() {
    let mut hosts = Hosts::start(1);
    let (node, discovery) = start(&hosts, |_| {});
    // Exactly one watch waits, and no call came before it.
    discovery.calls(1);
    discovery.change(member(7, "127.0.0.1:9", "active"));
    let gaps = discovery.calls(2);
    assert!(
        gaps.iter().all(|g| *g < Duration::from_millis(200)),
        "{gaps:?}"
    );
    // A rejection, two truncated answers and one in another protocol: each fails one call, and the node
    // goes on.
    let (head, cut) = (
        "HTTP/1.1 200 OK\r\n",
        "{\"revision\":9,\"complete\":true,\"members\":[",
    );
    discovery.answer_instead(&[
        "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
        &format!("{head}Content-Length: {}\r\n\r\n{cut}", cut.len()),
        "HTTP/1.1 2",
        "SSH-2.0-x\r\n\r\n",
    ]);
    discovery.change(member(8, "127.0.0.1:9", "active"));
    (0..4).for_each(|_| _ = node.wait_for_log("discovery call failed"));
    hosts.add();
    discovery.change(member(0, &hosts.addresses[0].to_string(), "left"));
    discovery.change(member(1, &hosts.addresses[1].to_string(), "active"));
    node.wait_for_log("watch begun");
    eventually("the new host is not used", || {
        let _client = node.open(OPEN);
        let (at, mut host) = hosts.accept();
        host.send_line("BUSY");
        at == 1
    });
}

/// Guards against a node that, after its call was rejected or the service restarted, starts with a
/// watch that waits. The node has to act on changes that it may have missed, and while a watch waits it
/// cannot tell whether the service has received it.
#[test]
fn after_a_rejection_or_a_broken_watch_the_next_call_does_not_wait() {
    let hosts = Hosts::start(1);
    let discovery = Discovery::start();
    discovery.reject_of_ten(10);
    let node = Node::start(&node_config(&hosts, discovery.address));
    node.wait_for_log("status 503");
    discovery.reject_of_ten(0);
    let before = discovery.seen().0.len();
    discovery.calls(before + 1);
    discovery.calls(before + 2);
    discovery.restart(0, &[]);
    discovery.calls(before + 4);
    let may_wait: Vec<bool> = discovery.asked()[before..]
        .iter()
        .map(|a| !a.ends_with("hold_ms=1"))
        .collect();
    assert_eq!(may_wait[..4], [false, true, false, true]);
}

/// Guards against new requests for a draining host after a list with an older revision arrived, and
/// against a node that exits or loses its list because of one invalid answer.
#[test]
fn an_invalid_list_fails_only_its_own_call_and_drains_stay_known() {
    let mut hosts = Hosts::start(1);
    hosts.add();
    let (mut node, discovery) = start(&hosts, |_| {});
    let addresses = [
        hosts.addresses[0].to_string(),
        hosts.addresses[1].to_string(),
    ];
    discovery.change(member(1, &addresses[1], "active"));
    discovery.change(member(0, &addresses[0], "leaving"));
    discovery.change(member(7, "127.0.0.1:9", "leaving"));
    node.wait_for_log("name: s-7");
    let list = |revision: u64, complete: bool, members: &str| {
        let body =
            format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":[{members}]}}");
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let old = member(0, &addresses[0], "active").to_string();
    discovery.answer_instead(&[
        &list(0, false, &old),
        &list(9, false, "{\"id\":7,\"phase\":[]}"),
    ]);
    discovery.change(member(8, "127.0.0.1:9", "left"));
    node.wait_for_log("changes with an older revision");
    node.wait_for_log("discovery call failed");
    node.wait_for_log("watch begun");
    let served: Vec<_> = (0..6).map(|_| node.served(&hosts)).collect();
    assert!(
        served.iter().all(|(_, at, _)| *at == 1),
        "new requests went to a draining host"
    );
    // While no host is listed, each client is rejected at once.
    discovery.answer_instead(&[&list(50, true, "")]);
    discovery.change(member(8, "127.0.0.1:9", "left"));
    eventually("the empty list was not applied", || {
        node.open(OPEN).receive_line().starts_with("BUSY")
    });
    discovery.answer_instead(&[&list(
        51,
        false,
        &member(1, &addresses[1], "active").to_string(),
    )]);
    discovery.change(member(8, "127.0.0.1:9", "left"));
    eventually("the host was not used again", || {
        let _client = node.open(OPEN);
        hosts.accept_soon().is_some()
    });
    assert!(node.runs());
}

#[test]
fn a_reload_switches_the_discovery_service_and_keeps_open_connections() {
    let mut hosts = Hosts::start(1);
    let (mut node, old) = start(&hosts, |_| {});
    (0..50).for_each(|n| old.change(member(9, "127.0.0.1:9", ["leaving", "active"][n % 2])));
    old.calls(2);
    let (mut client, _, mut host) = node.served(&hosts);
    // An invalid file causes one log line, and the node keeps following the same service.
    let mut node_config = node_config(&hosts, old.address);
    for bad in ["", "{\"name\": \"n0\", \"lis", "[]"] {
        node.reload(bad);
        node.wait_for_log("configuration not reloaded");
    }
    old.change(member(8, "127.0.0.1:9", "active"));
    node.wait_for_log("name: s-8");
    // The new service starts at revision 1 again and lists another host instead of the old ones.
    let new = Discovery::start();
    hosts.add();
    new.change(member(1, &hosts.addresses[1].to_string(), "active"));
    node_config["discovery"] = json!(new.address.to_string());
    node_config["limits"]["sockets"] = json!(300);
    node.reload(&node_config.to_string());
    node.wait_for_log("kept until the next start, node: n0, parts: limits");
    node.wait_for_log(&format!(
        "watch begun, node: n0, at: {}, revision: 1",
        new.address
    ));
    let others: Vec<_> = (0..3).map(|_| node.served(&hosts)).collect();
    assert!(others.iter().all(|(_, at, _)| *at == 1));
    client.send_line("still");
    host.expect_line("still");
    // Changes are still followed after 20 more reloads, and a stop signal right after a reload is handled.
    (0..20).for_each(|_| node.reload(&node_config.to_string()));
    new.change(member(7, "127.0.0.1:9", "active"));
    node.wait_for_log("name: s-7");
    node.reload(&node_config.to_string());
    node.stop();
    client.expect_line("MOVE");
    assert!(node.wait().success());
}

#[test]
fn a_node_serves_from_the_known_list_while_discovery_is_down() {
    let hosts = Hosts::start(1);
    let node = Node::start(&node_config(&hosts, unused_address()));
    node.wait_for_log("discovery call failed");
    node.served(&hosts);
}

#[test]
fn with_pushed_lists_the_node_calls_discovery_on_its_own() {
    let hosts = Hosts::start(1);
    let (_node, discovery) = start(&hosts, |p| p["settings"]["registry_mode"] = json!("pushed"));
    discovery.calls(1);
}

/// Sets the configuration of a deployment whose hosts report these load metrics to probes.
fn report_load_to_probes(node_config: &mut Value, fields: &[&str]) {
    node_config["settings"]["reporting"] = json!({"fields": fields, "via": "pull"});
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, step by step")]
fn probed_load_is_gossiped_and_gossiped_load_decides_placement() {
    let hosts = Hosts::start(2);
    let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
    peer.set_read_timeout(Some(MAX_WAIT)).unwrap();
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut node_config = node_config(&hosts, unused_address());
    report_load_to_probes(&mut node_config, &["util", "x0"]);
    node_config["settings"]["policy_limits"]["peers"] = json!(true);
    node_config["settings"]["balancers"] = json!(2);
    let operator_config = format!(
        "papers = \"PAPERS\"\n[node]\nmessages = \"127.0.0.1:0\"\n[[peer]]\naddress = \"{}\"\n",
        peer.local_addr().unwrap()
    );
    let node = Node::start_as("node", &operator_config, &node_config);
    // The host that is probed first reports that it is full, and the peer receives this by gossip.
    let (first, mut probe) = hosts.accept();
    probe.expect_line("STATS");
    probe.send_line("PONG util=1,x0=1.5");
    let mut message = [0; 512];
    let (length, at) = peer.recv_from(&mut message).unwrap();
    assert_eq!((length, message[0], message[4]), (5, 1, 96));
    // Datagrams from unknown senders and malformed ones are dropped; reports of the peer count.
    stranger.send_to(&message[..5], at).unwrap();
    node.wait_for_log("gossip message dropped");
    for malformed in [&[][..], &[1], &[9; 300], &[2, 1, 2, 3, 4]] {
        peer.send_to(malformed, at).unwrap();
    }
    let first_was_probed = Cell::new(false);
    // Returns the host that serves the next client, whose connection stays open. Answers the probes that
    // arrive in between.
    let mut open_connections = Vec::new();
    let mut serving = || {
        let mut client = node.open(OPEN);
        loop {
            let (on, mut host) = hosts.accept();
            if host.receive_line() != "STATS" {
                host.send_line("UP 77aa");
                client.expect_line("UP 77aa");
                open_connections.push((client, host));
                return on;
            }
            first_was_probed.set(first_was_probed.get() || on == first);
            host.send_line(if on == first {
                "PONG util=1,x0=1.5"
            } else {
                "PONG util=0.2,x0=0.2"
            });
        }
    };
    assert!((0..4).all(|_| serving() != first));
    // Guards against datagrams of a burst that are left unread: the last of them has to count before the
    // node next probes that host itself. A very slow machine may need the second try.
    message[4] = 0;
    let gossip_counted = (0..2).any(|_| {
        first_was_probed.set(false);
        node.suspend();
        for _ in 0..150 {
            peer.send_to(&[9], at).unwrap();
        }
        peer.send_to(&message[..5], at).unwrap();
        node.unsuspend();
        loop {
            if serving() == first {
                return true;
            }
            if first_was_probed.get() {
                return false;
            }
        }
    });
    assert!(gossip_counted, "the last datagram of a burst was not read");
}

/// Guards against a node that starts with, or switches to, settings that contradict each other because they mix two
/// kinds of deployment.
#[test]
fn inconsistent_settings_are_rejected_at_start_and_on_reload() {
    let hosts = Hosts::start(1);
    let good = node_config(&hosts, unused_address());
    type InvalidSetting = (&'static str, fn(&mut Value));
    let invalid_settings: [InvalidSetting; 4] = [
        ("reporting.via", |p| {
            report_load_to_probes(p, &["x0"]);
            p["settings"]["policy_limits"]["may_probe"] = json!(false);
        }),
        ("reporting.fields", |p| report_load_to_probes(p, &["qps"])),
        ("policy_limits.peers", |p| {
            p["settings"]["policy_limits"]["peers"] = json!(true);
        }),
        ("registry_mode", |p| {
            p["settings"]["registry_mode"] = json!("now and then");
        }),
    ];
    let node = Node::start(&good);
    for (key, invalidate) in invalid_settings {
        let mut node_config = good.clone();
        invalidate(&mut node_config);
        let ended = program(&node_config.to_string()).output().unwrap();
        let stderr = String::from_utf8(ended.stderr).unwrap();
        assert!(
            ended.status.code() == Some(1) && stderr.lines().count() == 1 && stderr.contains(key),
            "{stderr}"
        );
        node.reload(&node_config.to_string());
        assert!(node
            .wait_for_log("configuration not reloaded")
            .contains(key));
    }
    node.served(&hosts);
    // The `check` command reports the same error without starting a node.
    let folder = std::env::temp_dir().join(format!("reedferry-mix-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut node_config = good.clone();
    node_config["settings"]["policy_limits"]["peers"] = json!(true);
    std::fs::write(folder.join("papers.json"), node_config.to_string()).unwrap();
    let operator_config = folder.join("node.toml");
    std::fs::write(&operator_config, "papers = \"papers.json\"\n[node]\n").unwrap();
    let ended = Command::new(program::path())
        .arg("check")
        .arg(&operator_config)
        .output()
        .unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    let stderr = String::from_utf8(ended.stderr).unwrap();
    assert!(
        ended.status.code() == Some(1) && stderr.contains("node.toml:2: policy_limits.peers"),
        "{stderr}"
    );
    assert_eq!(stderr.lines().count(), 1);
}

#[test]
fn hosts_that_report_load_to_probes_are_probed_and_relieved_when_full() {
    let hosts = Hosts::start(1);
    let (node, _) = start(&hosts, |p| {
        report_load_to_probes(p, &["x0", "x1"]);
    });
    let (mut client, _, mut serving) = node.served(&hosts);
    serving.send_line("LOAD 500000");
    client.expect_line("LOAD 500000");
    let (_, mut probe) = hosts.accept();
    probe.expect_line("STATS");
    probe.send_line("PONG x0=1.5,x1=4.0");
    probe.expect_line("end");
    node.wait_for_log("load limit decreased host=");
    client.expect_line("MOVE");
}

#[test]
fn a_client_of_a_host_that_stops_answering_is_migrated_within_seven_seconds() {
    let hosts = Hosts::start(1);
    let (node, _) = start(&hosts, |_| {});
    let mut client = node.open(OPEN);
    let (_, mut host) = hosts.accept();
    host.receive_line();
    // The load report counts even though it arrives in one segment with the answer.
    host.write("UP 1\r\nLOAD 2500000\r\n");
    client.expect_line("UP 1");
    client.expect_line("LOAD 2500000");
    let started_at = Instant::now();
    client.send_line("anyone?");
    client.expect_line("MOVE");
    client.expect_line("end");
    assert!(started_at.elapsed() < Duration::from_secs(7));
}

#[test]
fn a_connection_stalled_within_a_line_is_closed_and_its_host_keeps_others() {
    let hosts = Hosts::start(1);
    let (node, _) = start(&hosts, |_| {});
    let (mut healthy_client, _, mut healthy_host) = node.served(&hosts);
    let (mut stalled_client, _, mut stalled_host) = node.served(&hosts);
    stalled_host.write("half");
    assert_eq!(stalled_client.bytes(4), b"half");
    let started_at = Instant::now();
    stalled_client.send_line("anyone?");
    let stalled_client_reader = std::thread::spawn(move || {
        stalled_client.receive_line();
        started_at.elapsed()
    });
    while !stalled_client_reader.is_finished() {
        healthy_client.send_line("there?");
        healthy_host.expect_line("there?");
        healthy_host.send_line("here");
        // The connection is neither migrated nor closed, as its host is healthy.
        healthy_client.expect_line("here");
    }
    assert!(stalled_client_reader.join().unwrap() < Duration::from_secs(7));
}

#[test]
fn at_the_descriptor_limit_clients_are_answered_and_no_descriptor_leaks() {
    let hosts = Hosts::start(1);
    let (node, discovery) = start(&hosts, |p| p["limits"]["sockets"] = json!(96));
    assert_answers_at_descriptor_limit(node, &hosts, &discovery);
}

#[test]
fn clients_are_answered_when_the_system_limit_is_below_the_configured_one() {
    let (hosts, discovery) = (Hosts::start(1), Discovery::start());
    assert_answers_at_descriptor_limit(
        Node::start_with_descriptor_limit(&node_config(&hosts, discovery.address), 96),
        &hosts,
        &discovery,
    );
}

/// Opens more connections than 96 descriptors allow. Asserts that each client is answered, that the node stays
/// within the limit and that no descriptor leaks.
fn assert_answers_at_descriptor_limit(mut node: Node, hosts: &Hosts, discovery: &Discovery) {
    discovery.calls(1);
    let before = node.descriptors();
    let mut served = Vec::new();
    let mut rejected = 0;
    for _ in 0..60 {
        let mut client = node.open(OPEN);
        // The host accepts every request that reaches it. A rejected client never reaches it, so the first
        // read times out quickly.
        let answer = {
            client
                .stream
                .set_read_timeout(Some(Duration::from_millis(1)))
                .unwrap();
            if let Some((_, mut host)) = hosts.accept_soon() {
                host.receive_line();
                host.send_line("UP 1");
                served.push(host);
            }
            client.stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
            client.receive_line()
        };
        match answer.as_str() {
            "UP 1" => {}
            busy if busy.starts_with("BUSY") => rejected += 1,
            other => panic!("{other}"),
        }
        assert!(node.descriptors() <= 96);
        std::mem::forget(client);
    }
    node.wait_for_log("out of descriptors");
    assert!(
        served.len() >= 20 && rejected >= 10,
        "{} served, {rejected} rejected",
        served.len()
    );
    drop(served);
    node.wait_for_log("descriptor shortage ended");
    eventually("descriptors leaked", || {
        node.descriptors() <= before + rejected
    });
    assert!(node.runs());
}

#[test]
fn a_slow_reader_delays_no_other_client_and_loses_no_data() {
    let hosts = Hosts::start(1);
    let (node, _) = start(&hosts, |_| {});
    let (mut slow, _, host) = node.served(&hosts);
    let line = "y".repeat(998) + "\r\n";
    let lines = 20_000;
    let text = line.clone();
    let writer = std::thread::spawn(move || {
        let mut host = host;
        (0..lines).for_each(|_| host.write(&text));
        host.send_line("BYE");
        host
    });
    let (mut client, _, mut other) = node.served(&hosts);
    client.send_line("quick");
    other.expect_line("quick");
    assert!(
        !writer.is_finished(),
        "the node buffered twenty megabytes for one client"
    );
    for n in 0..lines {
        assert_eq!(slow.bytes(1000), line.as_bytes(), "line {n}");
    }
    slow.expect_line("BYE");
    writer.join().unwrap();
}

#[test]
fn an_invalid_config_prints_one_error_line_and_prevents_the_start() {
    let hosts = Hosts::start(1);
    let good = node_config(&hosts, unused_address());
    let mut all = vec!["".to_string(), "{".into(), "{}".into(), "[1]".into()];
    for (path, value) in [
        ("/listen", json!("nowhere")),
        ("/discovery", json!(7)),
        ("/limits/memory_mb", json!(-1)),
        ("/settings/offerings", json!([])),
        ("/settings/offerings/0/effect", json!("odd")),
        ("/known/members/0/phase", json!("asleep")),
        // Guards against a list above the limit that is truncated without an error.
        (
            "/known/members",
            json!(vec![member(0, "127.0.0.1:9", "active"); 65_537]),
        ),
    ] {
        let mut bad = good.clone();
        *bad.pointer_mut(path).unwrap() = value;
        all.push(bad.to_string());
    }
    for text in all {
        let output = program(&text).output().unwrap();
        let stderr = String::from_utf8(output.stderr).unwrap();
        assert!(
            !output.status.success() && stderr.starts_with("reedferry: "),
            "{text}: {stderr}"
        );
        assert_eq!(stderr.trim_end().lines().count(), 1, "{stderr}");
    }
    let output = program("").env_remove("GW_CONFIG").output().unwrap();
    assert_eq!(
        String::from_utf8(output.stderr).unwrap(),
        "reedferry: GW_CONFIG is not set\n"
    );
}

/// Guards against endpoint lists, fleets or log lines that are truncated at some limit.
#[test]
fn a_node_in_a_fleet_of_eleven_hundred_knows_eleven_hundred_hosts() {
    const HOST_COUNT: usize = 1100;
    let hosts = Hosts::start(2);
    let listed_member = |n: usize, phase: &str| {
        member(
            n,
            &hosts.addresses[usize::from(n + 1 == HOST_COUNT)].to_string(),
            phase,
        )
    };
    let discovery = Discovery::start();
    (0..HOST_COUNT).for_each(|n| discovery.change(listed_member(n, "active")));
    let mut node_config = node_config(&hosts, discovery.address);
    node_config["known"] = json!({"revision": 0, "complete": true, "members": []});
    node_config["settings"]["balancers"] = json!(HOST_COUNT);
    node_config["settings"]["index"] = json!(HOST_COUNT - 1);
    node_config["settings"]["contract"]["ask_within"] = json!(200.0);
    let node = Node::start(&node_config);
    discovery.calls(2);
    let mut open_connections = vec![node.served(&hosts)];
    assert_eq!(
        open_connections[0].1, 0,
        "the first request went to the last of eleven hundred hosts"
    );
    // All hosts but the last drain, each by a change of its own.
    (0..HOST_COUNT - 1).for_each(|n| discovery.change(listed_member(n, "leaving")));
    // The node has heard of all drains once it waits for changes after the last one. That a client reaches the last host
    // does not show it, as any client may.
    let last_revision = format!("from={}&", 2 * HOST_COUNT - 1);
    eventually("the node has not heard of all drains", || {
        let calls = discovery.asked();
        calls
            .last()
            .is_some_and(|call| call.contains(&last_revision))
    });
    for _ in 0..20 {
        open_connections.push(node.served(&hosts));
    }
    assert!(open_connections
        .iter()
        .rev()
        .take(20)
        .all(|(_, at, _)| *at == 1));
    assert!(node.memory() < 32 << 20, "{} bytes", node.memory());
}
