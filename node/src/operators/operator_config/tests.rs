//! What an operator's file may say, and how a wrong one is reported.

use super::*;
use reedferry::{MILLI, SECOND};

const PLANNERS: &str = "[[planner]]\nname = \"p0\"\naddress = \"127.0.0.1:7000\"\n";

fn read(text: &str) -> Result<OperatorConfig, String> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy");
    OperatorConfig::decode(&folder.join("x.toml"), text).map_err(String::from)
}

fn wrong(text: &str) -> (usize, String) {
    let why = read(text).err().expect("it was taken");
    let rest = why
        .split("x.toml:")
        .nth(1)
        .unwrap_or_else(|| panic!("no place: {why}"));
    let (line, what) = rest.split_once(": ").unwrap();
    (line.parse().unwrap(), what.to_string())
}

#[test]
fn the_annotated_examples_are_valid_and_say_what_they_are_for() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy");
    for word in ["node", "forward", "plan"] {
        let operator_config =
            OperatorConfig::read(&folder.join(format!("{word}.example.toml"))).unwrap();
        assert_eq!(operator_config.role.command(), word);
    }
}

#[test]
fn times_have_units_and_a_lease_is_under_the_grace() {
    let head = "papers = \"node_config.example.json\"\n[forward]\n";
    let role = |text: &str| read(&format!("{head}{text}{PLANNERS}")).map(|config| config.role);
    let usual = ForwarderOptions {
        lease: 250 * MILLI,
        decision_timeout: 375 * MILLI,
        max_awaiting_decision: 1024,
        failback_delay: 2 * SECOND,
    };
    assert_eq!(role(""), Ok(Role::Forward(usual)));
    for (text, why) in [
        (
            "lease = \"300ms\"\n",
            "lease is 300ms, not between 40ms and 299ms",
        ),
        ("lease = \"250\"\n", "not a time with its unit"),
        ("lease = 250\n", "invalid type"),
        (
            "lease = \"200ms\"\ndecide_within = \"100ms\"\n",
            "decide_within is 100ms",
        ),
        ("most_asked = 0\n", "between 1 and"),
        ("leese = \"200ms\"\n", "unknown field"),
    ] {
        let (line, what) = wrong(&format!("{head}{text}{PLANNERS}"));
        assert!(
            what.contains(why) && line == 2 + text.lines().count(),
            "{line}: {what}"
        );
    }
}

/// A node's file, with a configuration of four nodes that allows gossip or not.
fn node_file(name: &str, gossip: bool, text: &str) -> Result<OperatorConfig, String> {
    let folder =
        std::env::temp_dir().join(format!("reedferry-articles-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy/node_config.example.json");
    let mut node_config: serde_json::Value =
        serde_json::from_slice(&std::fs::read(example).unwrap()).unwrap();
    node_config["settings"]["balancers"] = 4.into();
    node_config["settings"]["policy_limits"]["peers"] = gossip.into();
    std::fs::write(folder.join("papers.json"), node_config.to_string()).unwrap();
    let read = OperatorConfig::decode(
        &folder.join("x.toml"),
        &format!("papers = \"papers.json\"\n{text}"),
    );
    std::fs::remove_dir_all(&folder).unwrap();
    read.map_err(String::from)
}

/// Asserts that a node's file is rejected with this reason, in one line that names the file.
fn assert_rejected(name: &str, gossip: bool, text: &str, reason: &str) {
    let error = node_file(name, gossip, text)
        .err()
        .unwrap_or_else(|| panic!("taken: {text}"));
    assert!(
        error.contains(reason) && error.contains("x.toml:") && !error.contains('\n'),
        "{error}"
    );
}

/// Prevents a node that may send messages and has no peers, or that has peers and may not send any.
#[test]
fn messages_and_peers_come_together_or_not_at_all() {
    let node = "[node]\nmessages = \"127.0.0.1:7100\"\n";
    let peer = |at: &str| format!("[[peer]]\naddress = \"{at}\"\n");
    let (one, two) = (peer("127.0.0.1:7101"), peer("127.0.0.1:7102"));
    let good = node_file("good", true, &format!("{node}{one}{two}")).unwrap();
    let Role::Node(Some(gossip_config)) = good.role else {
        panic!("no gossip_config")
    };
    assert_eq!(
        (gossip_config.listen.port(), gossip_config.peers.len()),
        (7100, 2)
    );
    assert_eq!(
        node_file("none", false, "[node]\n").unwrap().role,
        Role::Node(None)
    );
    let forward = format!("[forward]\n{PLANNERS}");
    let rejected =
        |gossip: bool, text: &str, reason: &str| assert_rejected("bad", gossip, text, reason);
    rejected(true, "[node]\n", "policy_limits.peers: messages in [node]");
    rejected(true, &one, "policy_limits.peers: messages in [node]");
    rejected(
        true,
        node,
        "policy_limits.peers: messages are allowed and there is no [[peer]]",
    );
    for text in [&format!("{node}{one}"), node, &one] {
        rejected(false, text, "policy_limits.peers in the papers is false");
    }
    rejected(
        true,
        &node.replace("7100", "x"),
        "messages \"127.0.0.1:x\" is no address",
    );
    rejected(
        true,
        &forward,
        "policy_limits.peers: forwarders and planners",
    );
    rejected(
        false,
        &format!("{forward}{one}"),
        "peer: only a node has peers",
    );
}

/// Prevents a node that has a peer which is none, or more peers than nodes.
#[test]
fn each_peer_is_another_node_that_can_be_reached() {
    let node = "[node]\nmessages = \"127.0.0.1:7100\"\n";
    let peer = |at: &str| format!("[[peer]]\naddress = \"{at}\"\n");
    let (one, two) = (peer("127.0.0.1:7101"), peer("127.0.0.1:7102"));
    let rejected = |peers: &str, reason: &str| {
        assert_rejected("bad-peer", true, &format!("{node}{peers}"), reason);
    };
    rejected(&peer("over there"), "address \"over there\" is no address");
    rejected(&peer("127.0.0.1"), "is no address");
    rejected(&peer("127.0.0.1:0"), "cannot be reached");
    rejected(&peer("0.0.0.0:7101"), "cannot be reached");
    rejected(&peer("[::1]:7101"), "cannot be reached");
    rejected(&format!("{one}{one}"), "stands here twice");
    rejected(&peer("127.0.0.1:7100"), "is this node itself");
    let four = [one, two, peer("127.0.0.1:1"), peer("127.0.0.1:2")].concat();
    rejected(&four, "one too many");
}

/// Prevents a node that takes part in a fleet without leave, or under an address that nobody can reach.
#[test]
fn a_fleet_has_leave_and_addresses_that_can_be_reached() {
    let fleet = |more: &str| {
        format!("[fleet]\naddress = \"127.0.0.1:7400\"\nseeds = [\"127.0.0.1:7401\"]\n{more}")
    };
    let good = node_file("fleet", true, &fleet("period = \"200ms\"\n")).unwrap();
    let Role::Node(Some(GossipConfig {
        fleet: Some(fleet_config),
        ..
    })) = good.role
    else {
        panic!("no fleet")
    };
    assert_eq!(
        (
            fleet_config.listen,
            fleet_config.period,
            fleet_config.max_members
        ),
        (fleet_config.address, 200 * MILLI, 1024)
    );
    let peer = "[[peer]]\naddress = \"127.0.0.1:7101\"\n";
    let rejected =
        |gossip: bool, text: &str, reason: &str| assert_rejected("bad-fleet", gossip, text, reason);
    rejected(
        false,
        &fleet(""),
        "policy_limits.peers in the papers is false",
    );
    rejected(true, &fleet(peer), "neither messages nor [[peer]]");
    rejected(
        true,
        &format!("[node]\nmessages = \"127.0.0.1:7100\"\n{}", fleet("")),
        "neither messages nor [[peer]]",
    );
    rejected(
        true,
        &fleet("").replace("7400", "0"),
        "can't be reached by others",
    );
    rejected(
        true,
        &fleet("").replace("7401", "0"),
        "seed 127.0.0.1:0 can't be reached",
    );
    rejected(
        true,
        &fleet("").replace("\"127.0.0.1:7401\"", "\"[::1]:7401\""),
        "can't be reached",
    );
    rejected(
        true,
        &fleet("period = \"1ms\"\n"),
        "period is 1ms, not between 50ms",
    );
    rejected(true, &fleet("most = 0\n"), "most is 0, not between 1");
    rejected(true, &fleet("perod = \"1s\"\n"), "unknown field");
}

#[test]
fn contradictions_are_refused_at_their_line() {
    let head = "papers = \"node_config.example.json\"\n";
    assert_eq!(wrong(&format!("{head}[forward]\n")).0, 2);
    assert_eq!(wrong(&format!("{head}{PLANNERS}")).0, 2);
    assert_eq!(
        wrong(&format!("{head}[plan]\nname = \"p9\"\n{PLANNERS}")).0,
        3
    );
    assert_eq!(
        wrong(&format!(
            "{head}[plan]\nname = \"p0\"\n[forward]\n{PLANNERS}"
        ))
        .0,
        4
    );
    assert_eq!(
        wrong(&format!("{head}[forward]\n{PLANNERS}{PLANNERS}")).0,
        6
    );
    assert_eq!(wrong("papers = \"no such.json\"\n").0, 1);
    assert_eq!(
        wrong(&format!(
            "{head}[forward]\n{}",
            PLANNERS.replace("127.0.0.1", "here")
        ))
        .0,
        5
    );
}
