//! The reload of a running node's settings: whole or not at all, and what is under way keeps the class that it came by.

use reedferry_testkit::*;
use serde_json::{json, Value};

fn start(hosts: &Hosts) -> (Node, Value, Discovery) {
    let discovery = Discovery::start();
    let mut node_config = node_config(hosts, discovery.address);
    node_config["ops"] = json!("127.0.0.1:0");
    (Node::start(&node_config), node_config, discovery)
}

fn class(name: &str, idempotency: &str) -> Value {
    json!({"name": name, "contract_time": 500.0, "expiry": 2000.0, "effect": idempotency, "group": "all", "payoff": 1.0})
}

/// Has the node reload this, and waits until that is counted.
fn reload(node: &Node, text: &str, taken: bool) {
    let name = if taken {
        "reloads_ok"
    } else {
        "reloads_failed"
    };
    let before = node.metric(name);
    node.reload(text);
    eventually(&format!("{name} after {text:.60}"), || {
        node.metric(name) == before + 1
    });
}

fn open_line(name: &str) -> String {
    OPEN.replace("chat", name)
}

/// A request of this class is served at the first host that is tried.
fn assert_served(node: &Node, hosts: &Hosts, name: &str) {
    let mut client = node.open(&open_line(name));
    let (_, mut host) = hosts.accept();
    assert!(host.receive_line().contains(&format!("c={name},")));
    host.send_line("UP 1");
    client.expect_line("UP 1");
}

/// Files that are cut short, lack a key or have a wrong value. Each would show by another discovery and another class, were any of it
/// taken up.
fn broken_files(node_config: &Value) -> Vec<String> {
    let mut other = node_config.clone();
    other["discovery"] = json!(unused_address().to_string());
    other["settings"]["offerings"] = json!([class("talk", "free")]);
    let whole = other.to_string();
    let cut_short = (0..whole.len())
        .step_by(67)
        .map(|cut| whole[..cut].to_string());
    cut_short
        .chain(files_without_a_key(node_config, &other))
        .chain(files_with_a_wrong_value(&other))
        .collect()
}

/// Each key of these parts is missing once.
fn files_without_a_key(node_config: &Value, other: &Value) -> Vec<String> {
    let parts = [
        "",
        "/settings",
        "/settings/contract",
        "/settings/policy_limits",
        "/settings/offerings/0",
    ];
    let mut files = Vec::new();
    for part in parts {
        let keys = node_config.pointer(part).unwrap().as_object().unwrap();
        for key in keys.keys().filter(|key| *key != "known") {
            let mut short = other.clone();
            let object = short.pointer_mut(part).unwrap().as_object_mut().unwrap();
            object.remove(key);
            files.push(short.to_string());
        }
    }
    files
}

fn files_with_a_wrong_value(other: &Value) -> Vec<String> {
    let mut files = Vec::new();
    let mut set = |place: &str, value: Value| {
        let mut wrong = other.clone();
        *wrong.pointer_mut(&format!("/settings/{place}")).unwrap() = value;
        files.push(wrong.to_string());
    };
    for place in [
        "offerings/0/expiry",
        "offerings/0/contract_time",
        "policy_limits/most_hand_offs",
    ] {
        set(place, json!(0));
        set(place, json!(-5));
        set(place, json!("soon"));
        set(place, json!(null));
        set(place, json!([]));
        set(place, json!(true));
    }
    set("offerings", json!([]));
    set(
        "offerings",
        json!([class("talk", "free"), class("talk", "free")]),
    );
    set("offerings", json!(7));
    files
}

/// Prevents that half of a file is in force, or that a node goes on without what the file no longer says.
#[test]
fn an_invalid_file_changes_nothing() {
    let hosts = Hosts::start(2);
    let (node, node_config, _discovery) = start(&hosts);
    let broken = broken_files(&node_config);
    for text in &broken {
        reload(&node, text, false);
    }
    assert_eq!(node.metric("reloads_ok"), 0);
    assert_served(&node, &hosts, "chat");
    node.open(&open_line("talk")).expect_line("ERR");
    assert!(node
        .drain_log()
        .iter()
        .all(|line| !line.contains("discovery call failed")));
    // Good and bad ones in quick alternation.
    for n in 0..20 {
        reload(&node, &broken[n * broken.len() / 20], false);
        reload(&node, &node_config.to_string(), true);
    }
    assert_served(&node, &hosts, "chat");
}

#[test]
fn classes_appear_and_vanish_and_requests_under_way_keep_their_own() {
    // Enough that some are left where others broke off what they were asked.
    let hosts = Hosts::start(8);
    let (node, mut node_config, _discovery) = start(&hosts);
    let (mut open, _, mut standing) = node.served(&hosts);
    let mut waits = node.open(&open_line("chat"));
    let (_, mut host) = hosts.accept();
    host.receive_line();
    node_config["settings"]["offerings"] = json!([class("talk", "single_shot")]);
    reload(&node, &node_config.to_string(), true);
    assert_served(&node, &hosts, "talk");
    node.open(&open_line("chat")).expect_line("ERR");
    // The one that waited was redoable, and still is: what may have run at one host goes to another.
    drop(host);
    let (_, mut host) = hosts.accept();
    assert!(host.receive_line().contains("c=chat,"));
    host.send_line("UP 2");
    waits.expect_line("UP 2");
    open.send_line("up 1");
    standing.expect_line("up 1");
    assert_eq!(node.metric("requests.chat.served"), 2);
    // The same name comes again under stricter terms: not for what came before.
    let mut waits = node.open(&open_line("talk"));
    let (_, mut host) = hosts.accept();
    host.receive_line();
    node_config["settings"]["offerings"] =
        json!([class("chat", "single_shot"), class("talk", "free")]);
    reload(&node, &node_config.to_string(), true);
    drop(host);
    waits.expect_line("ERR");
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
fn fewer_attempts_hold_for_what_comes_from_then_on() {
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
    eventually("hosts are taken again", || {
        node.metric("hosts_excluded") == 0
    });
    let mut after = node.open(OPEN);
    let (_, mut host) = hosts.accept();
    host.receive_line();
    host.send_line("BUSY");
    assert!(after.receive_line().starts_with("BUSY"));
    assert!(hosts.accept_soon().is_none());
}

/// Prevents that hosts are taken for those of another zone where the names of zones change their indices.
#[test]
fn zones_may_change_their_indices() {
    let hosts = Hosts::start(2);
    let (node, mut node_config, _discovery) = start(&hosts);
    node_config["settings"]["zones"] = json!(["b", "a"]);
    node_config["settings"]["zone"] = json!(1);
    reload(&node, &node_config.to_string(), true);
    assert_eq!(node.metric("hosts_known"), 2);
    assert_served(&node, &hosts, "chat");
}

/// A connection of a class and a tenant.
fn open_with(node: &Node, name: &str, tenant: &str) -> Peer {
    node.open(&OPEN.replace("c=chat,t=acme", &format!("c={name},t={tenant}")))
}

/// Prevents that one customer's connection goes by another's terms, or is cut, where classes are renamed, reordered, added and
/// removed by SIGHUP, and tenants too, while requests are pending and connections open.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one story, of which each step needs the one before"
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
    // What each is answered when its host breaks: sent on, failed as it may have run, or dismissed as its window is over.
    let kinds = [
        ("chat", "acme", "UP 2"),
        ("till", "zeta", "ERR"),
        ("seat", "acme", "BUSY"),
        ("seat", "zeta", "BUSY"),
    ];
    let mut open = Vec::new();
    let mut held = Vec::new();
    for (name, tenant, then) in kinds {
        let mut client = open_with(&node, name, tenant);
        let (_, mut host) = hosts.accept();
        host.receive_line();
        host.send_line("UP 1");
        client.expect_line("UP 1");
        open.push((client, host));
        let client = open_with(&node, name, tenant);
        let (_, mut host) = hosts.accept();
        host.receive_line();
        held.push((client, host, then));
    }
    // Each name means what another meant, in another order, one is new; a tenant is gone, one new.
    node_config["settings"]["offerings"] = json!([
        class("late", "single_shot", 0.0),
        class("seat", "free", 0.0),
        class("till", "free", 0.0),
        class("chat", "single_shot", 0.0)
    ]);
    node_config["settings"]["tenants"] = json!([{"name": "omega"}, {"name": "zeta"}]);
    reload(&node, &node_config.to_string(), true);
    for (mut client, host, then) in held {
        host.reset();
        if then.starts_with("UP") {
            let (_, mut host) = hosts.accept();
            assert!(host.receive_line().contains("c=chat,t=acme"));
            host.send_line(then);
            client.expect_line(then);
            open.push((client, host));
        } else {
            assert!(client.receive_line().starts_with(then), "{then}");
            client.expect_line("end");
            assert!(hosts.accept_soon().is_none(), "{then}: sent on");
        }
    }
    // By the names as they are now: nothing more may run twice, a tenant is unknown, and what is new is served.
    let mut strict = open_with(&node, "chat", "zeta");
    let (_, mut host) = hosts.accept();
    host.receive_line();
    host.reset();
    strict.expect_line("ERR");
    assert!(
        hosts.accept_soon().is_none(),
        "sent on by what its name meant before"
    );
    open_with(&node, "late", "acme").expect_line("ERR");
    let mut new = open_with(&node, "late", "omega");
    let (_, mut host) = hosts.accept();
    host.receive_line();
    host.send_line("UP 3");
    new.expect_line("UP 3");
    open.push((new, host));
    // Again with all but one taken away: nothing open is cut.
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
