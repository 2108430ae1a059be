//! Reloads of a running node's configuration: a file takes effect completely or not at all, and pending requests and open
//! connections keep the class that they arrived with.

use reedferry_testkit::*;
use serde_json::{json, Value};

/// Starts a node with an operators' API. Returns it with its configuration and its discovery service.
fn start(hosts: &Hosts) -> (Node, Value, Discovery) {
    let discovery = Discovery::start();
    let mut node_config = node_config(hosts, discovery.address);
    node_config["ops"] = json!("127.0.0.1:0");
    (Node::start(&node_config), node_config, discovery)
}

/// Returns a request class of the settings.
fn class(name: &str, idempotency: &str) -> Value {
    json!({"name": name, "contract_time": 500.0, "expiry": 2000.0, "effect": idempotency, "group": "all", "payoff": 1.0})
}

/// Has the node reload `text` and waits until the success or failure is counted.
fn reload(node: &Node, text: &str, succeeds: bool) {
    let metric = if succeeds {
        "reloads_ok"
    } else {
        "reloads_failed"
    };
    let before = node.metric(metric);
    node.reload(text);
    eventually(&format!("{metric} after {text:.60}"), || {
        node.metric(metric) == before + 1
    });
}

/// Returns a request of this class.
fn open_line(name: &str) -> String {
    OPEN.replace("chat", name)
}

/// Checks that a request of this class is served by its first attempt.
fn assert_served(node: &Node, hosts: &Hosts, name: &str) {
    let mut client = node.open(&open_line(name));
    let (_, mut host) = hosts.accept();
    assert!(host.receive_line().contains(&format!("c={name},")));
    host.send_line("UP 1");
    client.expect_line("UP 1");
}

/// Returns files that are truncated, lack a key or have a wrong value. Each of them names another discovery service and another
/// class, so that a partial reload would be noticed.
fn invalid_files(node_config: &Value) -> Vec<String> {
    let mut other = node_config.clone();
    other["discovery"] = json!(unused_address().to_string());
    other["settings"]["offerings"] = json!([class("talk", "free")]);
    let complete = other.to_string();
    let cut_short = (0..complete.len())
        .step_by(67)
        .map(|cut| complete[..cut].to_string());
    cut_short
        .chain(files_without_a_key(node_config, &other))
        .chain(files_with_a_wrong_value(&other))
        .collect()
}

/// Returns, for each key of these objects but `known`, a file without that key.
fn files_without_a_key(node_config: &Value, other: &Value) -> Vec<String> {
    let pointers = [
        "",
        "/settings",
        "/settings/contract",
        "/settings/policy_limits",
        "/settings/offerings/0",
    ];
    let mut files = Vec::new();
    for pointer in pointers {
        let keys = node_config.pointer(pointer).unwrap().as_object().unwrap();
        for key in keys.keys().filter(|key| *key != "known") {
            let mut incomplete = other.clone();
            let object = incomplete
                .pointer_mut(pointer)
                .unwrap()
                .as_object_mut()
                .unwrap();
            object.remove(key);
            files.push(incomplete.to_string());
        }
    }
    files
}

/// Returns files in which one value is out of range, of a wrong type or a duplicate.
fn files_with_a_wrong_value(other: &Value) -> Vec<String> {
    let mut files = Vec::new();
    let mut add = |setting: &str, value: Value| {
        let mut wrong = other.clone();
        *wrong.pointer_mut(&format!("/settings/{setting}")).unwrap() = value;
        files.push(wrong.to_string());
    };
    for setting in [
        "offerings/0/expiry",
        "offerings/0/contract_time",
        "policy_limits/most_hand_offs",
    ] {
        add(setting, json!(0));
        add(setting, json!(-5));
        add(setting, json!("soon"));
        add(setting, json!(null));
        add(setting, json!([]));
        add(setting, json!(true));
    }
    add("offerings", json!([]));
    add(
        "offerings",
        json!([class("talk", "free"), class("talk", "free")]),
    );
    add("offerings", json!(7));
    files
}

/// Guards against a reload that applies a part of an invalid file, and against a node that loses what an incomplete file lacks.
#[test]
fn an_invalid_file_changes_nothing() {
    let hosts = Hosts::start(2);
    let (node, node_config, _discovery) = start(&hosts);
    let invalid = invalid_files(&node_config);
    for text in &invalid {
        reload(&node, text, false);
    }
    assert_eq!(node.metric("reloads_ok"), 0);
    assert_served(&node, &hosts, "chat");
    node.open(&open_line("talk")).expect_line("ERR");
    assert!(node
        .drain_log()
        .iter()
        .all(|line| !line.contains("discovery call failed")));
    // Valid and invalid files in quick alternation.
    for n in 0..20 {
        reload(&node, &invalid[n * invalid.len() / 20], false);
        reload(&node, &node_config.to_string(), true);
    }
    assert_served(&node, &hosts, "chat");
}

#[test]
fn pending_requests_keep_their_class_when_classes_are_added_and_removed() {
    // Enough hosts that some remain when others are ejected for broken attempts.
    let hosts = Hosts::start(8);
    let (node, mut node_config, _discovery) = start(&hosts);
    let (mut open, _, mut open_host) = node.served(&hosts);
    let mut waiting = node.open(&open_line("chat"));
    let (_, mut host) = hosts.accept();
    host.receive_line();
    node_config["settings"]["offerings"] = json!([class("talk", "single_shot")]);
    reload(&node, &node_config.to_string(), true);
    assert_served(&node, &hosts, "talk");
    node.open(&open_line("chat")).expect_line("ERR");
    // The pending request was idempotent when it arrived and still is: it is retried although an attempt may have run.
    drop(host);
    let (_, mut host) = hosts.accept();
    assert!(host.receive_line().contains("c=chat,"));
    host.send_line("UP 2");
    waiting.expect_line("UP 2");
    open.send_line("up 1");
    open_host.expect_line("up 1");
    assert_eq!(node.metric("requests.chat.served"), 2);
    // `talk` becomes idempotent, but its pending request does not. `chat` comes back as a class that is not idempotent, and a new
    // request of it is not retried.
    let mut waiting = node.open(&open_line("talk"));
    let (_, mut host) = hosts.accept();
    host.receive_line();
    node_config["settings"]["offerings"] =
        json!([class("chat", "single_shot"), class("talk", "free")]);
    reload(&node, &node_config.to_string(), true);
    drop(host);
    waiting.expect_line("ERR");
    let mut strict = node.open(&open_line("chat"));
    let (_, mut host) = hosts.accept();
    host.receive_line();
    drop(host);
    strict.expect_line("ERR");
    assert_eq!(
        (
            node.metric("requests.chat.failed"),
            node.metric("requests.talk.failed")
        ),
        (1, 1)
    );
    assert_eq!(node.metric("requests.chat.served"), 2);
}

#[test]
fn a_lower_attempt_limit_applies_to_requests_after_the_reload() {
    let hosts = Hosts::start(3);
    let (node, mut node_config, _discovery) = start(&hosts);
    let mut before = node.open(OPEN);
    for left in [2, 1, 0] {
        let (_, mut host) = hosts.accept();
        host.receive_line();
        if left == 1 {
            node_config["settings"]["policy_limits"]["most_hand_offs"] = json!(1);
            reload(&node, &node_config.to_string(), true);
        }
        host.send_line("BUSY");
    }
    assert!(before.receive_line().starts_with("BUSY"));
    eventually("no host is ejected", || node.metric("hosts_excluded") == 0);
    let mut after = node.open(OPEN);
    let (_, mut host) = hosts.accept();
    host.receive_line();
    host.send_line("BUSY");
    assert!(after.receive_line().starts_with("BUSY"));
    assert!(hosts.accept_soon().is_none());
}

/// Guards against hosts that are assigned to another zone when a reload changes the indices of the zones' names.
#[test]
fn hosts_keep_their_zone_when_a_reload_reorders_the_zones() {
    let hosts = Hosts::start(2);
    let (node, mut node_config, _discovery) = start(&hosts);
    node_config["settings"]["zones"] = json!(["b", "a"]);
    node_config["settings"]["zone"] = json!(1);
    reload(&node, &node_config.to_string(), true);
    assert_eq!(node.metric("hosts_known"), 2);
    assert_served(&node, &hosts, "chat");
}

/// Sends a request of this class and tenant. Returns the client.
fn open_with(node: &Node, name: &str, tenant: &str) -> Peer {
    node.open(&OPEN.replace("c=chat,t=acme", &format!("c={name},t={tenant}")))
}

/// Guards against pending requests and open connections that are cut, or that get the class or tenant of others, when a reload
/// renames, reorders, adds and removes classes and tenants.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "a sequence in which each step depends on the one before"
)]
fn pending_requests_and_open_connections_keep_their_class_over_a_reload() {
    let hosts = Hosts::start(12);
    let discovery = Discovery::start();
    let mut node_config = node_config(&hosts, discovery.address);
    node_config["ops"] = json!("127.0.0.1:0");
    let class = |name: &str, idempotency: &str, window: f64| {
        let mut class = class(name, idempotency);
        (
            class["expiry"],
            class["contract_time"],
            class["repeat_window"],
        ) = (json!(9000.0), json!(9000.0), json!(window));
        class
    };
    node_config["settings"]["offerings"] = json!([
        class("chat", "free", 0.0),
        class("till", "single_shot", 0.0),
        class("seat", "guarded", 0.0)
    ]);
    node_config["settings"]["tenants"] = json!([{"name": "acme"}, {"name": "zeta"}]);
    let node = Node::start(&node_config);
    // The class, the tenant and the answer when the host resets the connection: a retry succeeds, the request fails as it may have
    // run, or it is rejected as its window for retries is over.
    let cases = [
        ("chat", "acme", "UP 2"),
        ("till", "zeta", "ERR"),
        ("seat", "acme", "BUSY"),
        ("seat", "zeta", "BUSY"),
    ];
    let mut open = Vec::new();
    let mut pending = Vec::new();
    for (name, tenant, expected) in cases {
        let mut client = open_with(&node, name, tenant);
        let (_, mut host) = hosts.accept();
        host.receive_line();
        host.send_line("UP 1");
        client.expect_line("UP 1");
        open.push((client, host));
        let client = open_with(&node, name, tenant);
        let (_, mut host) = hosts.accept();
        host.receive_line();
        pending.push((client, host, expected));
    }
    // Each class has another effect than before, the order changes, and `late` is new. `acme` is removed and `omega` is new.
    node_config["settings"]["offerings"] = json!([
        class("late", "single_shot", 0.0),
        class("seat", "free", 0.0),
        class("till", "free", 0.0),
        class("chat", "single_shot", 0.0)
    ]);
    node_config["settings"]["tenants"] = json!([{"name": "omega"}, {"name": "zeta"}]);
    reload(&node, &node_config.to_string(), true);
    for (mut client, host, expected) in pending {
        host.reset();
        if expected.starts_with("UP") {
            let (_, mut host) = hosts.accept();
            assert!(host.receive_line().contains("c=chat,t=acme"));
            host.send_line(expected);
            client.expect_line(expected);
            open.push((client, host));
        } else {
            assert!(client.receive_line().starts_with(expected), "{expected}");
            client.expect_line("end");
            assert!(hosts.accept_soon().is_none(), "{expected}: retried");
        }
    }
    // New requests follow the new settings: `chat` is not retried, `acme` is unknown, and `late` is served.
    let mut strict = open_with(&node, "chat", "zeta");
    let (_, mut host) = hosts.accept();
    host.receive_line();
    host.reset();
    strict.expect_line("ERR");
    assert!(
        hosts.accept_soon().is_none(),
        "retried by the former effect of its class"
    );
    open_with(&node, "late", "acme").expect_line("ERR");
    let mut new = open_with(&node, "late", "omega");
    let (_, mut host) = hosts.accept();
    host.receive_line();
    host.send_line("UP 3");
    new.expect_line("UP 3");
    open.push((new, host));
    // A second reload removes all classes but one and replaces the tenants. No open connection is cut.
    node_config["settings"]["offerings"] = json!([class("seat", "single_shot", 0.0)]);
    node_config["settings"]["tenants"] = json!([{"name": "acme"}]);
    reload(&node, &node_config.to_string(), true);
    for (client, host) in &mut open {
        client.send_line("up 1");
        host.expect_line("up 1");
        host.send_line("down 1");
        client.expect_line("down 1");
    }
    node.stop();
    for (client, host) in &mut open {
        client.expect_line("MOVE");
        host.expect_line("end");
    }
}
