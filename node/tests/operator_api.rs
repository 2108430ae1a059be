//! The operators' API: status, metrics, standby.

use reedferry_testkit::*;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

fn start(hosts: &Hosts, adjust: impl FnOnce(&mut Value)) -> (Node, Discovery) {
    let discovery = Discovery::start();
    let mut node_config = node_config(hosts, discovery.address);
    node_config["ops"] = json!("127.0.0.1:0");
    adjust(&mut node_config);
    (Node::start(&node_config), discovery)
}

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn the_metrics_tell_what_happened_on_the_sockets() {
    let hosts = Hosts::start(2);
    let (node, _discovery) = start(&hosts, |_| {});
    assert_eq!(node.call("GET /status"), (200, "ready\n".into()));
    assert_eq!(
        (
            node.metric("hosts_known"),
            node.metric("in_flight"),
            node.metric("attempts")
        ),
        (2, 0, 0)
    );
    let (mut client, _, mut host) = node.served(&hosts);
    assert_eq!(
        (
            node.metric("requests.chat.served"),
            node.metric("in_flight")
        ),
        (1, 1)
    );
    // Two hosts that turn it away, one by one: refused, and two attempts more.
    let mut refused = node.open(OPEN);
    for _ in 0..2 {
        let (_, mut host) = hosts.accept();
        host.receive_line();
        host.send_line("BUSY");
    }
    assert!(refused.receive_line().starts_with("BUSY"));
    assert_eq!(
        (
            node.metric("requests.chat.refused"),
            node.metric("attempts")
        ),
        (1, 3)
    );
    assert_eq!(
        (node.metric("hosts_known"), node.metric("hosts_excluded")),
        (2, 2)
    );
    host.send_line("BYE");
    host.end_sending();
    client.expect_line("BYE");
    client.expect_line("end");
    eventually("none in flight", || node.metric("in_flight") == 0);
    assert_eq!(
        (
            node.metric("requests.chat.served"),
            node.metric("requests.chat.failed")
        ),
        (1, 0)
    );
}

#[test]
fn a_failed_request_and_a_failed_reload_are_counted() {
    let hosts = Hosts::start(2);
    let (node, _discovery) = start(&hosts, |p| {
        p["settings"]["offerings"][0]["effect"] = json!("single_shot");
    });
    let mut client = node.open(OPEN);
    let (_, mut host) = hosts.accept();
    host.receive_line();
    host.end_sending();
    client.expect_line("ERR");
    assert_eq!(
        (
            node.metric("requests.chat.failed"),
            node.metric("requests.chat.refused")
        ),
        (1, 0)
    );
    let config_text = node.config_file();
    node.reload("{");
    eventually("turned down", || node.metric("reloads_failed") == 1);
    node.reload(&config_text);
    eventually("taken up", || node.metric("reloads_ok") == 1);
}

/// Prevents that requests which are malformed, endless or for something else are answered with another error than that of their kind.
#[test]
fn invalid_requests_are_told_what_is_wrong_and_end_alone() {
    let hosts = Hosts::start(1);
    let (node, _discovery) = start(&hosts, |_| {});
    let at = node.ops.unwrap();
    let head = |line: &str, more: &str| format!("{line} HTTP/1.1\r\nHost: it\r\n{more}\r\n");
    for (sent, status) in [
        (head("GET /nothing", ""), 404),
        (head("POST /status", ""), 405),
        (head("GET /standby", ""), 405),
        (head("DELETE /active", ""), 405),
        ("what\r\n\r\n".into(), 400),
        ("GET /status\u{1} HTTP/1.1\r\n\r\n".into(), 400),
        ("GET /status HTTP/7.1\r\n\r\n".into(), 505),
        (head("POST /standby", "Content-Length: -1\r\n"), 400),
        (
            head(
                "POST /standby",
                "Content-Length: 1\r\nContent-Length: 2\r\n",
            ),
            400,
        ),
        (
            head(
                "POST /standby",
                "Content-Length: 99999999999999999999999\r\n",
            ),
            413,
        ),
        (head("POST /standby", "Transfer-Encoding: chunked\r\n"), 411),
        (head("GET /status", &"X: y\r\n".repeat(100)), 431),
        (
            head("GET /status", &format!("X: {}\r\n", "y".repeat(20_000))),
            431,
        ),
    ] {
        assert_eq!(
            send_call(at, &sent).0,
            status,
            "{}",
            &sent[..sent.len().min(60)]
        );
    }
    // None of them had an effect.
    assert_eq!(node.call("GET /status?x=1").0, 200);
    let with_body = head("POST /active", "Content-Length: 5\r\nX-Odd: \"a:b\"\r\n") + "hello";
    assert_eq!(send_call(at, &with_body), (200, "active\n".into()));
}

/// Prevents that operators are shut out by callers that never finish, and that a request is lost where it comes in pieces.
#[test]
fn a_request_is_answered_within_a_second_whatever_other_callers_do() {
    let hosts = Hosts::start(1);
    let (node, _discovery) = start(&hosts, |_| {});
    let at = node.ops.unwrap();
    let mut unfinished: Vec<Peer> = (0..100).map(|_| Peer::connect(at)).collect();
    unfinished
        .iter_mut()
        .for_each(|peer| _ = std::io::Write::write(&mut peer.stream, b"GET /sta"));
    let mut slow = Peer::connect(at);
    for byte in "POST /active HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
        .split("")
        .filter(|b| !b.is_empty())
    {
        slow.write(byte);
    }
    assert_eq!(read_response(&mut slow).0, 200);
    let asked = Instant::now();
    assert_eq!(node.call("GET /status").0, 200);
    assert!(asked.elapsed() < SECOND);
    // One that reads nothing of its answers, and one that leaves at once.
    let mut deaf = Peer::connect(at);
    deaf.write("GET /status/metrics HTTP/1.1\r\n\r\n");
    Peer::connect(at).reset();
    assert_eq!(node.call("GET /status").0, 200);
    let mut late = Peer::connect(at);
    late.write("GET /status HTTP/1.1\r\n");
    assert_eq!(read_response(&mut late).0, 408);
    eventually("all given back", || node.descriptors() < 16);
}

#[test]
fn operators_are_answered_with_the_table_of_clients_full_and_the_reverse() {
    let hosts = Hosts::start(1);
    let (node, _discovery) = start(&hosts, |p| p["limits"]["sockets"] = json!(64));
    let crowd: Vec<Peer> = (0..200).map(|_| Peer::connect(node.address)).collect();
    let asked = Instant::now();
    assert_eq!(node.call("GET /status").0, 200);
    assert!(asked.elapsed() < SECOND);
    drop(crowd);
    let callers: Vec<Peer> = (0..100).map(|_| Peer::connect(node.ops.unwrap())).collect();
    node.served(&hosts);
    drop(callers);
}

#[test]
fn standby_empties_the_node_and_active_has_it_take_clients_again() {
    let hosts = Hosts::start(2);
    let (node, _discovery) = start(&hosts, |_| {});
    let ping = || {
        let mut front = Peer::connect(node.address);
        front.send_line("PING");
        front.receive_line()
    };
    assert_eq!(ping(), "PONG");
    let mut open: Vec<_> = (0..8).map(|_| node.served(&hosts)).collect();
    // One more waits for its answer meanwhile.
    let mut waits = node.open(OPEN);
    let (_, mut host) = hosts.accept();
    host.receive_line();
    let asked = Instant::now();
    assert_eq!(node.call("POST /standby"), (200, "standby\n".into()));
    assert_eq!((node.call("GET /status").0, ping().as_str()), (503, "BUSY"));
    assert_eq!(node.call("POST /standby").0, 200);
    host.send_line("UP 5");
    waits.expect_line("UP 5");
    // What still comes has an answer.
    let late = node.open(OPEN).receive_line();
    assert!(late.starts_with("BUSY") || late.starts_with("UP"), "{late}");
    for (client, ..) in &mut open {
        client.expect_line("MOVE");
        client.expect_line("end");
    }
    waits.expect_line("MOVE");
    assert!(asked.elapsed() < 4 * SECOND, "{:?}", asked.elapsed());
    assert_eq!(node.call("POST /active"), (200, "active\n".into()));
    assert_eq!((node.call("GET /status").0, ping().as_str()), (200, "PONG"));
    assert_eq!(node.call("POST /active").0, 200);
    node.served(&hosts);
}

/// Prevents that clients of a node that has left standby are migrated by what was begun before, that an operator undoes a shutdown,
/// and that a shutdown waits for a standby to end.
#[test]
fn active_ends_a_standby_and_a_shutdown_wins_over_both() {
    let hosts = Hosts::start(2);
    let (mut node, _discovery) = start(&hosts, |_| {});
    let (mut client, _, mut host) = node.served(&hosts);
    node.call("POST /standby");
    node.call("POST /active");
    node.call("POST /standby");
    node.call("POST /active");
    // Past the time by which a node that stands by is empty.
    let until = Instant::now() + 4 * SECOND;
    while Instant::now() < until {
        client.send_line("up 1");
        host.expect_line("up 1");
        host.send_line("down 1");
        client.expect_line("down 1");
    }
    node.call("POST /standby");
    node.stop();
    eventually("asked to stop", || {
        node.call("GET /status") == (503, "stopping\n".into())
    });
    assert_eq!(node.call("POST /active").0, 409);
    assert_eq!(node.call("POST /standby").0, 200);
    client.expect_line("MOVE");
    assert!(node.wait().success());
}

#[test]
fn a_port_that_cannot_be_bound_is_one_line_and_no_start() {
    let hosts = Hosts::start(1);
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    for ops in [taken.local_addr().unwrap().to_string(), "nowhere".into()] {
        let mut node_config = node_config(&hosts, unused_address());
        node_config["ops"] = json!(ops);
        let output = program(&node_config.to_string()).output().unwrap();
        let said = String::from_utf8(output.stderr).unwrap();
        assert_eq!(
            (output.status.code(), said.lines().count()),
            (Some(1), 1),
            "{said}"
        );
    }
}
