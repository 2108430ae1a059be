//! New settings at a node that runs: whole or not at all, and what is under way keeps what it came by.

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

/// Has it read this, and waits until that is counted.
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

fn asks(name: &str) -> String {
    OPEN.replace("chat", name)
}

/// What is asked for is served at the first host that is asked.
fn serves(node: &Node, hosts: &Hosts, name: &str) {
    let mut client = node.open(&asks(name));
    let (_, mut host) = hosts.accept();
    assert!(host.hear().contains(&format!("c={name},")));
    host.say("UP 1");
    client.hears("UP 1");
}

/// Guards: half of a file in force, or a node that goes on without what the file no longer says.
#[test]
fn a_broken_file_changes_nothing() {
    let hosts = Hosts::start(2);
    let (node, node_config, _discovery) = start(&hosts);
    // Each would show by another discovery and another offering, were any of it taken up.
    let mut other = node_config.clone();
    other["discovery"] = json!(nowhere().to_string());
    other["settings"]["offerings"] = json!([class("talk", "free")]);
    let whole = other.to_string();
    let mut broken: Vec<String> = (0..whole.len())
        .step_by(67)
        .map(|cut| whole[..cut].to_string())
        .collect();
    for key in node_config
        .as_object()
        .unwrap()
        .keys()
        .filter(|key| *key != "known")
    {
        let mut short = other.clone();
        short.as_object_mut().unwrap().remove(key);
        broken.push(short.to_string());
    }
    for part in ["", "/contract", "/policy_limits", "/offerings/0"] {
        let place = format!("/settings{part}");
        for key in node_config
            .pointer(&place)
            .unwrap()
            .as_object()
            .unwrap()
            .keys()
        {
            let mut short = other.clone();
            short
                .pointer_mut(&place)
                .unwrap()
                .as_object_mut()
                .unwrap()
                .remove(key);
            broken.push(short.to_string());
        }
    }
    for place in [
        "offerings/0/expiry",
        "offerings/0/contract_time",
        "policy_limits/most_hand_offs",
    ] {
        for wild in [
            json!(0),
            json!(-5),
            json!("soon"),
            json!(null),
            json!([]),
            json!(true),
        ] {
            let mut wrong = other.clone();
            *wrong.pointer_mut(&format!("/settings/{place}")).unwrap() = wild;
            broken.push(wrong.to_string());
        }
    }
    for classes in [
        json!([]),
        json!([class("talk", "free"), class("talk", "free")]),
        json!(7),
    ] {
        let mut wrong = other.clone();
        wrong["settings"]["offerings"] = classes;
        broken.push(wrong.to_string());
    }
    for text in &broken {
        reload(&node, text, false);
    }
    assert_eq!(node.metric("reloads_ok"), 0);
    serves(&node, &hosts, "chat");
    node.open(&asks("talk")).hears("ERR");
    assert!(node
        .drain_log()
        .iter()
        .all(|line| !line.contains("discovery call failed")));
    // Good and bad ones in quick alternation.
    for n in 0..20 {
        reload(&node, &broken[n * broken.len() / 20], false);
        reload(&node, &node_config.to_string(), true);
    }
    serves(&node, &hosts, "chat");
}

#[test]
fn offerings_appear_and_vanish_and_what_is_under_way_keeps_its_own() {
    // Enough that some are left where others broke off what they were asked.
    let hosts = Hosts::start(8);
    let (node, mut node_config, _discovery) = start(&hosts);
    let (mut open, _, mut standing) = node.served(&hosts);
    let mut waits = node.open(&asks("chat"));
    let (_, mut host) = hosts.accept();
    host.hear();
    node_config["settings"]["offerings"] = json!([class("talk", "single_shot")]);
    reload(&node, &node_config.to_string(), true);
    serves(&node, &hosts, "talk");
    node.open(&asks("chat")).hears("ERR");
    // The one that waited was redoable, and still is: what may have run at one host goes to another.
    drop(host);
    let (_, mut host) = hosts.accept();
    assert!(host.hear().contains("c=chat,"));
    host.say("UP 2");
    waits.hears("UP 2");
    open.say("up 1");
    standing.hears("up 1");
    assert_eq!(node.metric("requests.chat.served"), 2);
    // The same name comes again under stricter terms: not for what came before.
    let mut waits = node.open(&asks("talk"));
    let (_, mut host) = hosts.accept();
    host.hear();
    node_config["settings"]["offerings"] =
        json!([class("chat", "single_shot"), class("talk", "free")]);
    reload(&node, &node_config.to_string(), true);
    drop(host);
    waits.hears("ERR");
    let mut strict = node.open(&asks("chat"));
    let (_, mut host) = hosts.accept();
    host.hear();
    drop(host);
    strict.hears("ERR");
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
        host.hear();
        if left == 1 {
            node_config["settings"]["policy_limits"]["most_hand_offs"] = json!(1);
            reload(&node, &node_config.to_string(), true);
        }
        host.say("BUSY");
    }
    assert!(before.hear().starts_with("BUSY"));
    eventually("hosts are taken again", || {
        node.metric("hosts_excluded") == 0
    });
    let mut after = node.open(OPEN);
    let (_, mut host) = hosts.accept();
    host.hear();
    host.say("BUSY");
    assert!(after.hear().starts_with("BUSY"));
    assert!(hosts.accept_soon().is_none());
}

/// Guards: hosts taken for those of another zone where the names of zones change their places.
#[test]
fn zones_may_change_their_places() {
    let hosts = Hosts::start(2);
    let (node, mut node_config, _discovery) = start(&hosts);
    node_config["settings"]["zones"] = json!(["b", "a"]);
    node_config["settings"]["zone"] = json!(1);
    reload(&node, &node_config.to_string(), true);
    assert_eq!(node.metric("hosts_known"), 2);
    serves(&node, &hosts, "chat");
}

/// A connection of a class and a tenant.
fn asks_for(node: &Node, name: &str, tenant: &str) -> Peer {
    node.open(&OPEN.replace("c=chat,t=acme", &format!("c={name},t={tenant}")))
}

/// Guards: one customer's connection that goes by another's terms, or is cut, where classes are renamed, reordered, added and
/// taken away by SIGHUP, and tenants too, while connections are held and open.
#[test]
fn what_is_held_and_open_goes_by_its_own_terms_over_other_classes_and_tenants() {
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
        let mut client = asks_for(&node, name, tenant);
        let (_, mut host) = hosts.accept();
        host.hear();
        host.say("UP 1");
        client.hears("UP 1");
        open.push((client, host));
        let client = asks_for(&node, name, tenant);
        let (_, mut host) = hosts.accept();
        host.hear();
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
            assert!(host.hear().contains("c=chat,t=acme"));
            host.say(then);
            client.hears(then);
            open.push((client, host));
        } else {
            assert!(client.hear().starts_with(then), "{then}");
            client.hears("end");
            assert!(hosts.accept_soon().is_none(), "{then}: sent on");
        }
    }
    // By the names as they are now: nothing more may run twice, a tenant is unknown, and what is new is served.
    let mut strict = asks_for(&node, "chat", "zeta");
    let (_, mut host) = hosts.accept();
    host.hear();
    host.reset();
    strict.hears("ERR");
    assert!(
        hosts.accept_soon().is_none(),
        "sent on by what its name meant before"
    );
    asks_for(&node, "late", "acme").hears("ERR");
    let mut new = asks_for(&node, "late", "omega");
    let (_, mut host) = hosts.accept();
    host.hear();
    host.say("UP 3");
    new.hears("UP 3");
    open.push((new, host));
    // Again with all but one taken away: nothing open is cut.
    node_config["settings"]["offerings"] = json!([class("seat", "single_shot", 0.0)]);
    node_config["settings"]["tenants"] = json!([{"name": "acme"}]);
    reload(&node, &node_config.to_string(), true);
    for (client, host) in &mut open {
        client.say("up 1");
        host.hears("up 1");
        host.say("down 1");
        client.hears("down 1");
    }
    node.stop();
    for (client, host) in &mut open {
        client.hears("MOVE");
        host.hears("end");
    }
}
