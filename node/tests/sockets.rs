//! The program itself, started and spoken to over sockets, among scripted stand-ins for all that it
//! meets.

use reedferry_testkit::*;
use serde_json::{json, Value};
use std::cell::Cell;
use std::net::UdpSocket;
use std::process::Command;
use std::time::{Duration, Instant};

fn start(hosts: &Hosts, adjust: impl FnOnce(&mut Value)) -> (Node, Discovery) {
    let discovery = Discovery::start();
    let mut node_config = node_config(hosts, discovery.address);
    adjust(&mut node_config);
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
fn ends_are_passed_on_in_kind() {
    // More than one, as a host that broke a connection is left alone for a while.
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
fn what_one_host_rejects_or_breaks_goes_to_another() {
    for answer in ["BUSY\r\n", "ERR\r\n", "", "what\r\n", "UP"] {
        let mut hosts = Hosts::start(3);
        // At one of the three nobody listens.
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
fn what_no_host_accepts_is_rejected_at_once_with_a_retry_after() {
    let mut hosts = Hosts::start(2);
    hosts.addresses = vec![unused_address(), unused_address()];
    let (node, _) = start(&hosts, |_| {});
    let began = Instant::now();
    let mut client = node.open(OPEN);
    let answer = client.receive_line();
    let wait: u64 = answer.strip_prefix("BUSY ").unwrap().parse().unwrap();
    assert!((250..=1000).contains(&wait) && began.elapsed() < Duration::from_secs(1));
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
    // What never ran may go again.
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
fn an_attempt_at_a_silent_host_times_out_and_its_client_may_leave() {
    let hosts = Hosts::start(2);
    let (node, _) = start(&hosts, |_| {});
    let began = Instant::now();
    let mut client = node.open(&OPEN.replace("d=2000", "d=400"));
    let (_, mut host) = hosts.accept();
    host.receive_line();
    assert!(client.receive_line().starts_with("BUSY"));
    assert!(began.elapsed() < Duration::from_millis(466));
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
    // Served at the other one, since the node knows of the drain.
    eventually("new ones go on to the host that leaves", || {
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
    let began = Instant::now();
    node.stop();
    node.wait_for_log("shutting down requests=12");
    let mut late = node.open(OPEN);
    assert!(late.receive_line().starts_with("BUSY"));
    for (mut client, _, mut host) in all {
        client.expect_line("MOVE");
        // Served for another third of the time that is left.
        assert!(began.elapsed() > Duration::from_millis(780));
        client.expect_line("end");
        host.expect_line("end");
    }
    assert!(began.elapsed() < Duration::from_millis(2700));
    assert!(node.wait().success());
    assert!(began.elapsed() >= Duration::from_millis(2700));
}

#[test]
fn connections_from_before_the_start_go_back_to_their_host() {
    let mut hosts = Hosts::start(3);
    let (node, discovery) = start(&hosts, |_| {});
    for wanted in [2, 0, 1] {
        let mut client = node.open(&format!("{OPEN},at=s-{wanted}"));
        let (number, mut host) = hosts.accept();
        assert_eq!(number, wanted);
        host.receive_line();
        host.send_line("BUSY");
        // It is retried there, and nowhere else.
        let (number, mut host) = hosts.accept();
        assert_eq!(number, wanted);
        host.receive_line();
        host.send_line("UP 5");
        client.expect_line("UP 5");
    }
    // One that the known list does not name yet is waited for, as long as the client waits.
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

/// Within this time of connecting every bad client is to have its answer, or the end.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario: all kinds of bad clients at one node"
)]
fn bad_clients_are_rejected_in_time_and_none_is_served() {
    let hosts = Hosts::start(2);
    let (mut node, _) = start(&hosts, |p| {
        p["limits"] = json!({"memory_mb": 32, "sockets": 256});
    });
    let (mut client, _, mut host) = node.served(&hosts);
    let mut held = node.open("OPEN feed 7f3a c=chat,t=acme,d=2000");
    let (_, mut holder) = hosts.accept();
    assert!(holder.receive_line().starts_with("OPEN feed "));
    holder.send_line("UP 1");
    held.expect_line("UP 1");
    let began = Instant::now();
    // Those that send nothing, or half of something, and never leave.
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
        // The same again as soon as it is rejected.
        for _ in 0..2 {
            let began = Instant::now();
            let mut bad = Peer::connect(node.address);
            bad.send_line(line);
            while bad.receive_line() == "PONG" {}
            assert!(began.elapsed() < ANSWER_TIMEOUT, "{line}");
        }
    }
    let mut bytes = Peer::connect(node.address);
    std::io::Write::write_all(&mut bytes.stream, b"OPEN \xff\xfe a c=chat,d=1\r\n").unwrap();
    bytes.expect_line("ERR");
    drop(Peer::connect(node.address));
    // One that sends more while its first line waits for an answer: its attempt ends, and so does
    // it.
    let mut talks = node.open(OPEN);
    let (_, mut taker) = hosts.accept();
    taker.receive_line();
    talks.send_line("and another thing");
    talks.expect_line("ERR");
    taker.expect_line("end");
    for mut peer in silent {
        while peer.receive_line() == "PONG" {}
        assert!(began.elapsed() < ANSWER_TIMEOUT);
    }
    node.wait_for_log("clients rejected");
    // Nothing of all that reached a host, and the others are served.
    assert!(hosts.accept_soon().is_none());
    held.send_line("still");
    holder.expect_line("still");
    client.send_line("still");
    host.expect_line("still");
    assert!(node.runs());
}

#[test]
fn an_answer_arrives_though_sixty_megabytes_are_left_unread() {
    let hosts = Hosts::start(1);
    let (node, _) = start(&hosts, |p| p["limits"]["memory_mb"] = json!(32));
    let began = Instant::now();
    let mut bad = Peer::connect(node.address);
    let piece = vec![b'k'; 1 << 20];
    for _ in 0..60 {
        std::io::Write::write_all(&mut bad.stream, &piece).unwrap();
    }
    bad.expect_line("ERR");
    assert!(began.elapsed() < 2 * ANSWER_TIMEOUT);
    // While another sends without end, usual ones are served, and its connection is closed.
    let mut endless = Peer::connect(node.address);
    endless.write("x");
    let sender =
        std::thread::spawn(
            move || while std::io::Write::write_all(&mut endless.stream, &piece).is_ok() {},
        );
    for _ in 0..20 {
        let began = Instant::now();
        let (client, _, mut host) = node.served(&hosts);
        assert!(began.elapsed() < Duration::from_millis(500));
        // The client ends first: where both end within one turn of the node, the only host counts as broken.
        drop(client);
        assert!(["end", "reset"].contains(&host.receive_line().as_str()));
    }
    sender.join().unwrap();
}

#[test]
fn hundreds_of_idle_clients_take_no_descriptor_that_others_need() {
    let hosts = Hosts::start(1);
    let (node, _) = start(&hosts, |p| {
        p["limits"] = json!({"memory_mb": 32, "sockets": 256});
    });
    let mut served = Vec::new();
    let mut silent = Vec::new();
    for n in 0..40 {
        silent.extend((0..15).map(|_| Peer::connect(node.address)));
        let began = Instant::now();
        served.push(node.served(&hosts));
        assert!(
            began.elapsed() < Duration::from_secs(1),
            "the {n}th waits for the silent"
        );
        assert!(node.descriptors() <= 256);
    }
    for (mut client, _, mut host) in served {
        client.send_line("still");
        host.expect_line("still");
    }
}

#[test]
fn overlong_lines_of_open_connections_end_their_own_connection_alone() {
    let hosts = Hosts::start(2);
    let (mut node, _) = start(&hosts, |_| {});
    let (mut client, _, mut host) = node.served(&hosts);
    let long = "x".repeat(5000);
    let (mut other, _, mut bad) = node.served(&hosts);
    bad.write(&long);
    eventually("an over-long line ends its connection", || {
        other.receive_line() == "reset"
    });
    let (mut bad, _, mut other) = node.served(&hosts);
    bad.write(&long);
    eventually("an over-long line ends its connection", || {
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
    // One call that waits, and no other before it.
    discovery.calls(1);
    discovery.change(member(7, "127.0.0.1:9", "active"));
    let gaps = discovery.calls(2);
    assert!(
        gaps.iter().all(|g| *g < Duration::from_millis(200)),
        "{gaps:?}"
    );
    // Cut, garbled, refused: each ends one call, and none the node.
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
    eventually("the new host is never used", || {
        let _client = node.open(OPEN);
        let (at, mut host) = hosts.accept();
        host.send_line("BUSY");
        at == 1
    });
}

/// Guards against a wait at a service that has restarted; and one by a node that was rejected, and
/// is accountable for what it missed though nothing tells it whether the watch that waits is heard.
#[test]
fn a_node_that_was_rejected_or_whose_watch_broke_first_polls_without_waiting() {
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
    let held: Vec<bool> = discovery.asked()[before..]
        .iter()
        .map(|a| !a.ends_with("hold_ms=1"))
        .collect();
    assert_eq!(held[..4], [false, true, false, true]);
}

/// Guards against a draining host that gets new work again by changes from before what is known; a
/// node ended, or left without a list, by one odd answer.
#[test]
fn odd_lists_fail_alone_and_no_drain_is_forgotten() {
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
        "new work for a host that drains"
    );
    // No host is listed: each client is told so at once, until one is.
    discovery.answer_instead(&[&list(50, true, "")]);
    discovery.change(member(8, "127.0.0.1:9", "left"));
    eventually("an empty list is not taken up", || {
        node.open(OPEN).receive_line().starts_with("BUSY")
    });
    discovery.answer_instead(&[&list(
        51,
        false,
        &member(1, &addresses[1], "active").to_string(),
    )]);
    discovery.change(member(8, "127.0.0.1:9", "left"));
    eventually("the host is never used again", || {
        let _client = node.open(OPEN);
        hosts.accept_soon().is_some()
    });
    assert!(node.runs());
}

#[test]
fn a_reloaded_config_leads_to_another_list_service_and_cuts_nothing() {
    let mut hosts = Hosts::start(1);
    let (mut node, old) = start(&hosts, |_| {});
    (0..50).for_each(|n| old.change(member(9, "127.0.0.1:9", ["leaving", "active"][n % 2])));
    old.calls(2);
    let (mut client, _, mut host) = node.served(&hosts);
    // A bad file is one line, and the node stays with the service it followed.
    let mut node_config = node_config(&hosts, old.address);
    for bad in ["", "{\"name\": \"n0\", \"lis", "[]"] {
        node.reload(bad);
        node.wait_for_log("configuration not reloaded");
    }
    old.change(member(8, "127.0.0.1:9", "active"));
    node.wait_for_log("name: s-8");
    // The new service counts from one again, and lists another host in place of the old ones.
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
    // What comes next is followed, over and over, and so is a signal to stop right behind it.
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
fn pushed_changes_are_watched_for_without_being_asked() {
    let hosts = Hosts::start(1);
    let (_node, discovery) = start(&hosts, |p| p["settings"]["registry_mode"] = json!("pushed"));
    discovery.calls(1);
}

/// Settings of a deployment whose hosts report their load to probes.
fn by_probe(node_config: &mut Value, fields: &[&str]) {
    node_config["settings"]["reporting"] = json!({"fields": fields, "via": "pull"});
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, step by step")]
fn what_a_probe_reports_is_gossiped_and_what_peers_report_decides() {
    let hosts = Hosts::start(2);
    let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
    peer.set_read_timeout(Some(MAX_WAIT)).unwrap();
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut node_config = node_config(&hosts, unused_address());
    by_probe(&mut node_config, &["util", "x0"]);
    node_config["settings"]["policy_limits"]["peers"] = json!(true);
    node_config["settings"]["balancers"] = json!(2);
    let operator_config = format!(
        "papers = \"PAPERS\"\n[node]\nmessages = \"127.0.0.1:0\"\n[[peer]]\naddress = \"{}\"\n",
        peer.local_addr().unwrap()
    );
    let node = Node::start_as("node", &operator_config, &node_config);
    // Whichever of the two is probed first is full, and the peer is told of it.
    let (first, mut probe) = hosts.accept();
    probe.expect_line("STATS");
    probe.send_line("PONG util=1,x0=1.5");
    let mut message = [0; 512];
    let (length, at) = peer.recv_from(&mut message).unwrap();
    assert_eq!((length, message[0], message[4]), (5, 1, 96));
    // What the peer reports of it counts; datagrams of unknown nodes, or of no known form, do not.
    stranger.send_to(&message[..5], at).unwrap();
    node.wait_for_log("gossip message dropped");
    for poor in [&[][..], &[1], &[9; 300], &[2, 1, 2, 3, 4]] {
        peer.send_to(poor, at).unwrap();
    }
    let looked = Cell::new(false);
    // Where the next client is served, and stays; further probes may come between.
    let mut stay = Vec::new();
    let mut serving = || {
        let mut client = node.open(OPEN);
        loop {
            let (on, mut host) = hosts.accept();
            if host.receive_line() != "STATS" {
                host.send_line("UP 77aa");
                client.expect_line("UP 77aa");
                stay.push((client, host));
                return on;
            }
            looked.set(looked.get() || on == first);
            host.send_line(if on == first {
                "PONG util=1,x0=1.5"
            } else {
                "PONG util=0.2,x0=0.2"
            });
        }
    };
    assert!((0..4).all(|_| serving() != first));
    // Guards against the rest of a flood that came at once, left unread: its last message counts
    // before the node polls there again by itself, or does so the second time on a machine that is
    // very slow.
    message[4] = 0;
    let heard = (0..2).any(|_| {
        looked.set(false);
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
            if looked.get() {
                return false;
            }
        }
    });
    assert!(heard, "the last message of a flood was left lying");
}

/// Guards against a node that starts with a mix of two shapes of deployment, or switches to one.
#[test]
fn a_mix_of_two_deployment_shapes_is_rejected_at_start_and_on_reload() {
    let hosts = Hosts::start(1);
    let good = node_config(&hosts, unused_address());
    type Mix = (&'static str, fn(&mut Value));
    let mixes: [Mix; 4] = [
        ("reporting.via", |p| {
            by_probe(p, &["x0"]);
            p["settings"]["policy_limits"]["may_probe"] = json!(false);
        }),
        ("reporting.fields", |p| by_probe(p, &["qps"])),
        ("policy_limits.peers", |p| {
            p["settings"]["policy_limits"]["peers"] = json!(true);
        }),
        ("registry_mode", |p| {
            p["settings"]["registry_mode"] = json!("now and then");
        }),
    ];
    let node = Node::start(&good);
    for (key, mix) in mixes {
        let mut node_config = good.clone();
        mix(&mut node_config);
        let ended = program(&node_config.to_string()).output().unwrap();
        let said = String::from_utf8(ended.stderr).unwrap();
        assert!(
            ended.status.code() == Some(1) && said.lines().count() == 1 && said.contains(key),
            "{said}"
        );
        node.reload(&node_config.to_string());
        assert!(node
            .wait_for_log("configuration not reloaded")
            .contains(key));
    }
    node.served(&hosts);
    // `check` says the same without starting.
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
    let said = String::from_utf8(ended.stderr).unwrap();
    assert!(
        ended.status.code() == Some(1) && said.contains("node.toml:2: policy_limits.peers"),
        "{said}"
    );
    assert_eq!(said.lines().count(), 1);
}

#[test]
fn hosts_whose_load_comes_by_probes_are_probed_and_avoided_when_full() {
    let hosts = Hosts::start(1);
    let (node, _) = start(&hosts, |p| {
        by_probe(p, &["x0", "x1"]);
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
fn a_client_of_a_host_that_falls_silent_is_migrated_within_seven_seconds() {
    let hosts = Hosts::start(1);
    let (node, _) = start(&hosts, |_| {});
    let mut client = node.open(OPEN);
    let (_, mut host) = hosts.accept();
    host.receive_line();
    // The load comes in one piece with the answer and counts all the same.
    host.write("UP 1\r\nLOAD 2500000\r\n");
    client.expect_line("UP 1");
    client.expect_line("LOAD 2500000");
    let began = Instant::now();
    client.send_line("anyone?");
    client.expect_line("MOVE");
    client.expect_line("end");
    assert!(began.elapsed() < Duration::from_secs(7));
}

#[test]
fn a_connection_stopped_within_a_line_is_closed_in_time_and_its_host_keeps_the_others() {
    let hosts = Hosts::start(1);
    let (node, _) = start(&hosts, |_| {});
    let (mut well, _, mut answers) = node.served(&hosts);
    let (mut stuck, _, mut halts) = node.served(&hosts);
    halts.write("half");
    assert_eq!(stuck.bytes(4), b"half");
    let began = Instant::now();
    stuck.send_line("anyone?");
    let ends = std::thread::spawn(move || {
        stuck.receive_line();
        began.elapsed()
    });
    while !ends.is_finished() {
        well.send_line("there?");
        answers.expect_line("there?");
        answers.send_line("here");
        // Neither migrated nor closed, as the host is healthy.
        well.expect_line("here");
    }
    assert!(ends.join().unwrap() < Duration::from_secs(7));
}

#[test]
fn at_the_descriptor_limit_all_are_answered_and_none_is_lost() {
    let hosts = Hosts::start(1);
    let (node, discovery) = start(&hosts, |p| p["limits"]["sockets"] = json!(96));
    crowd(node, &hosts, &discovery);
}

#[test]
fn all_are_answered_where_the_system_allows_fewer_descriptors_than_the_config() {
    let (hosts, discovery) = (Hosts::start(1), Discovery::start());
    crowd(
        Node::start_with_descriptor_limit(&node_config(&hosts, discovery.address), 96),
        &hosts,
        &discovery,
    );
}

/// Opens more connections than 96 descriptors carry.
fn crowd(mut node: Node, hosts: &Hosts, discovery: &Discovery) {
    discovery.calls(1);
    let before = node.descriptors();
    let mut served = Vec::new();
    let mut refused = 0;
    for _ in 0..60 {
        let mut client = node.open(OPEN);
        // The host answers whoever comes; a client that is rejected never gets there.
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
            busy if busy.starts_with("BUSY") => refused += 1,
            other => panic!("{other}"),
        }
        assert!(node.descriptors() <= 96);
        std::mem::forget(client);
    }
    node.wait_for_log("out of descriptors");
    assert!(
        served.len() >= 20 && refused >= 10,
        "{} served, {refused} refused",
        served.len()
    );
    drop(served);
    node.wait_for_log("descriptor shortage ended");
    eventually("descriptors are lost", || {
        node.descriptors() <= before + refused
    });
    assert!(node.runs());
}

#[test]
fn a_slow_reader_holds_up_only_itself_and_loses_nothing() {
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
        "the node took in twenty megabytes for one client"
    );
    for n in 0..lines {
        assert_eq!(slow.bytes(1000), line.as_bytes(), "line {n}");
    }
    slow.expect_line("BYE");
    writer.join().unwrap();
}

#[test]
fn a_bad_config_is_one_plain_line_and_no_start() {
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
        // Guards against a list beyond the bound that is cut off in silence.
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
        let said = String::from_utf8(output.stderr).unwrap();
        assert!(
            !output.status.success() && said.starts_with("reedferry: "),
            "{text}: {said}"
        );
        assert_eq!(said.trim_end().lines().count(), 1, "{said}");
    }
    let output = program("").env_remove("GW_CONFIG").output().unwrap();
    assert_eq!(
        String::from_utf8(output.stderr).unwrap(),
        "reedferry: GW_CONFIG is not set\n"
    );
}

/// Guards against lists, fleets or lines of the log that are cut off at some bound.
#[test]
fn eleven_hundred_hosts_in_a_fleet_of_eleven_hundred_nodes_are_all_known() {
    const MANY: usize = 1100;
    let hosts = Hosts::start(2);
    let named = |n: usize, phase: &str| {
        member(
            n,
            &hosts.addresses[usize::from(n + 1 == MANY)].to_string(),
            phase,
        )
    };
    let discovery = Discovery::start();
    (0..MANY).for_each(|n| discovery.change(named(n, "active")));
    let mut node_config = node_config(&hosts, discovery.address);
    node_config["known"] = json!({"revision": 0, "complete": true, "members": []});
    node_config["settings"]["balancers"] = json!(MANY);
    node_config["settings"]["index"] = json!(MANY - 1);
    node_config["settings"]["contract"]["ask_within"] = json!(200.0);
    let node = Node::start(&node_config);
    discovery.calls(2);
    let mut held = vec![node.served(&hosts)];
    assert_eq!(held[0].1, 0, "one of eleven hundred is the last");
    // All but the last go, each by a change of its own.
    (0..MANY - 1).for_each(|n| discovery.change(named(n, "leaving")));
    eventually("the last is never found", || {
        held.push(node.served(&hosts));
        held.last().is_some_and(|(_, at, _)| *at == 1)
    });
    for _ in 0..20 {
        held.push(node.served(&hosts));
    }
    assert!(held.iter().rev().take(20).all(|(_, at, _)| *at == 1));
    assert!(node.memory() < 32 << 20, "{} bytes", node.memory());
}
