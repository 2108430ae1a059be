//! The operators' API: status, metrics and standby.

use reedferry_testkit::*;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// Starts a node with an operators' API whose configuration `adjust` has changed.
fn start(hosts: &Hosts, adjust: impl FnOnce(&mut Value)) -> (Node, Discovery) {
    let discovery = Discovery::start();
    let mut node_config = node_config(hosts, discovery.address);
    node_config["ops"] = json!("127.0.0.1:0");
    adjust(&mut node_config);
    (Node::start(&node_config), discovery)
}

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn the_metrics_count_what_happens_on_the_sockets() {
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
    // Two hosts reject the request one after the other: it is refused after two more attempts.
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
    eventually("no connection is in flight", || {
        node.metric("in_flight") == 0
    });
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
    eventually("the reload has failed", || {
        node.metric("reloads_failed") == 1
    });
    node.reload(&config_text);
    eventually("the reload has succeeded", || {
        node.metric("reloads_ok") == 1
    });
}

/// Guards against malformed, oversized and unsupported requests that are answered with the wrong status or that have an effect.
#[test]
fn invalid_requests_get_the_status_of_their_error_and_have_no_effect() {
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
    // None of them had an effect, and the API still answers.
    assert_eq!(node.call("GET /status?x=1").0, 200);
    let with_body = head("POST /active", "Content-Length: 5\r\nX-Odd: \"a:b\"\r\n") + "hello";
    assert_eq!(send_call(at, &with_body), (200, "active\n".into()));
}

/// Guards against callers that never finish their request and keep operators from being answered, and against a request that is lost
/// because it arrives in pieces.
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
    let requested_at = Instant::now();
    assert_eq!(node.call("GET /status").0, 200);
    assert!(requested_at.elapsed() < SECOND);
    // One caller reads nothing of its answer, and one resets its connection at once.
    let mut unread = Peer::connect(at);
    unread.write("GET /status/metrics HTTP/1.1\r\n\r\n");
    Peer::connect(at).reset();
    assert_eq!(node.call("GET /status").0, 200);
    let mut late = Peer::connect(at);
    late.write("GET /status HTTP/1.1\r\n");
    assert_eq!(read_response(&mut late).0, 408);
    eventually("all descriptors are released", || node.descriptors() < 16);
}

#[test]
fn a_crowd_of_clients_does_not_block_operators_nor_the_reverse() {
    let hosts = Hosts::start(1);
    let (node, _discovery) = start(&hosts, |p| p["limits"]["sockets"] = json!(64));
    let crowd: Vec<Peer> = (0..200).map(|_| Peer::connect(node.address)).collect();
    let requested_at = Instant::now();
    assert_eq!(node.call("GET /status").0, 200);
    assert!(requested_at.elapsed() < SECOND);
    drop(crowd);
    let callers: Vec<Peer> = (0..100).map(|_| Peer::connect(node.ops.unwrap())).collect();
    node.served(&hosts);
    drop(callers);
}

#[test]
fn standby_migrates_all_clients_and_active_accepts_clients_again() {
    let hosts = Hosts::start(2);
    let (node, _discovery) = start(&hosts, |_| {});
    let ping = || {
        let mut client = Peer::connect(node.address);
        client.send_line("PING");
        client.receive_line()
    };
    assert_eq!(ping(), "PONG");
    let mut open: Vec<_> = (0..8).map(|_| node.served(&hosts)).collect();
    // Another request is pending meanwhile.
    let mut waiting = node.open(OPEN);
    let (_, mut host) = hosts.accept();
    host.receive_line();
    let requested_at = Instant::now();
    assert_eq!(node.call("POST /standby"), (200, "standby\n".into()));
    assert_eq!((node.call("GET /status").0, ping().as_str()), (503, "BUSY"));
    assert_eq!(node.call("POST /standby").0, 200);
    host.send_line("UP 5");
    waiting.expect_line("UP 5");
    // A client that still arrives gets an answer.
    let late = node.open(OPEN).receive_line();
    assert!(late.starts_with("BUSY") || late.starts_with("UP"), "{late}");
    for (client, ..) in &mut open {
        client.expect_line("MOVE");
        client.expect_line("end");
    }
    waiting.expect_line("MOVE");
    assert!(
        requested_at.elapsed() < 4 * SECOND,
        "{:?}",
        requested_at.elapsed()
    );
    assert_eq!(node.call("POST /active"), (200, "active\n".into()));
    assert_eq!((node.call("GET /status").0, ping().as_str()), (200, "PONG"));
    assert_eq!(node.call("POST /active").0, 200);
    node.served(&hosts);
}

/// Guards against migrations of a former standby that continue after the node has left it, against an operator's request that cancels
/// a shutdown, and against a shutdown that waits for the end of a standby.
#[test]
fn active_ends_a_standby_and_a_shutdown_overrides_both() {
    let hosts = Hosts::start(2);
    let (mut node, _discovery) = start(&hosts, |_| {});
    let (mut client, _, mut host) = node.served(&hosts);
    node.call("POST /standby");
    node.call("POST /active");
    node.call("POST /standby");
    node.call("POST /active");
    // A node in standby would have moved its clients within this time.
    let until = Instant::now() + 4 * SECOND;
    while Instant::now() < until {
        client.send_line("up 1");
        host.expect_line("up 1");
        host.send_line("down 1");
        client.expect_line("down 1");
    }
    node.call("POST /standby");
    node.stop();
    eventually("the node is stopping", || {
        node.call("GET /status") == (503, "stopping\n".into())
    });
    assert_eq!(node.call("POST /active").0, 409);
    assert_eq!(node.call("POST /standby").0, 200);
    client.expect_line("MOVE");
    assert!(node.wait().success());
}

#[test]
fn an_address_that_cannot_be_bound_fails_the_start_with_one_error_line() {
    let hosts = Hosts::start(1);
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    for ops in [taken.local_addr().unwrap().to_string(), "nowhere".into()] {
        let mut node_config = node_config(&hosts, unused_address());
        node_config["ops"] = json!(ops);
        let output = program(&node_config.to_string()).output().unwrap();
        let errors = String::from_utf8(output.stderr).unwrap();
        assert_eq!(
            (output.status.code(), errors.lines().count()),
            (Some(1), 1),
            "{errors}"
        );
    }
}
