//! Tests which operator's files are accepted, and how an invalid one is reported.

use super::*;
use reedferry::{MILLI, SECOND};

const PLANNERS: &str = "[[planner]]\nname = \"p0\"\naddress = \"127.0.0.1:7000\"\n";

fn read(text: &str) -> Result<OperatorConfig, String> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy");
    OperatorConfig::decode(&folder.join("x.toml"), text).map_err(String::from)
}

/// Returns the line and the text of the error of an invalid file.
fn read_error(text: &str) -> (usize, String) {
    let error = read(text).err().expect("an invalid file was accepted");
    let rest = error
        .split("x.toml:")
        .nth(1)
        .unwrap_or_else(|| panic!("no line number: {error}"));
    let (line, problem) = rest.split_once(": ").unwrap();
    (line.parse().unwrap(), problem.to_string())
}

#[test]
fn the_example_files_are_valid_and_have_the_role_of_their_name() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy");
    for command in ["node", "forward", "plan"] {
        let operator_config =
            OperatorConfig::read(&folder.join(format!("{command}.example.toml"))).unwrap();
        assert_eq!(operator_config.role.command(), command);
    }
}

#[test]
fn durations_need_units_and_a_lease_is_shorter_than_the_drain_grace() {
    let head = "papers = \"node_config.example.json\"\n[forward]\n";
    let role = |text: &str| read(&format!("{head}{text}{PLANNERS}")).map(|config| config.role);
    let defaults = ForwarderOptions {
        lease: 250 * MILLI,
        decision_timeout: 375 * MILLI,
        max_awaiting_decision: 1024,
        failback_delay: 2 * SECOND,
    };
    assert_eq!(role(""), Ok(Role::Forward(defaults)));
    for (text, reason) in [
        (
            "lease = \"300ms\"\n",
            "lease is 300ms, not between 40ms and 299ms",
        ),
        ("lease = \"250\"\n", "not a duration with a unit"),
        ("lease = 250\n", "invalid type"),
        (
            "lease = \"200ms\"\ndecide_within = \"100ms\"\n",
            "decide_within is 100ms",
        ),
        ("most_asked = 0\n", "between 1 and"),
        ("leese = \"200ms\"\n", "unknown field"),
    ] {
        let (line, problem) = read_error(&format!("{head}{text}{PLANNERS}"));
        assert!(
            problem.contains(reason) && line == 2 + text.lines().count(),
            "{line}: {problem}"
        );
    }
}

/// Reads a node's file whose node configuration has four nodes and enables gossip or not.
fn node_file(name: &str, gossip: bool, text: &str) -> Result<OperatorConfig, String> {
    let folder = std::env::temp_dir().join(format!(
        "reedferry-operator-config-{}-{name}",
        std::process::id()
    ));
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
        .unwrap_or_else(|| panic!("accepted: {text}"));
    assert!(
        error.contains(reason) && error.contains("x.toml:") && !error.contains('\n'),
        "{error}"
    );
}

/// Guards against a node that has gossip enabled but no peers, or peers but gossip disabled.
#[test]
fn gossip_needs_peers_and_peers_need_gossip() {
    let node = "[node]\nmessages = \"127.0.0.1:7100\"\n";
    let peer = |at: &str| format!("[[peer]]\naddress = \"{at}\"\n");
    let (one, two) = (peer("127.0.0.1:7101"), peer("127.0.0.1:7102"));
    let good = node_file("good", true, &format!("{node}{one}{two}")).unwrap();
    let Role::Node(Some(gossip_config)) = good.role else {
        panic!("no gossip configuration")
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
    rejected(
        true,
        "[node]\n",
        "policy_limits.peers: needs messages in [node]",
    );
    rejected(true, &one, "policy_limits.peers: needs messages in [node]");
    rejected(
        true,
        node,
        "policy_limits.peers: needs at least one [[peer]]",
    );
    for text in [&format!("{node}{one}"), node, &one] {
        rejected(
            false,
            text,
            "policy_limits.peers in the node configuration is false",
        );
    }
    rejected(
        true,
        &node.replace("7100", "x"),
        "messages \"127.0.0.1:x\" is not an address",
    );
    rejected(
        true,
        &forward,
        "policy_limits.peers: must be false for forwarders and planners",
    );
    rejected(
        false,
        &format!("{forward}{one}"),
        "peer: only a node has peers",
    );
}

/// Guards against a node with an invalid peer, or with more peers than there are other nodes.
#[test]
fn each_peer_is_another_reachable_node_and_listed_once() {
    let node = "[node]\nmessages = \"127.0.0.1:7100\"\n";
    let peer = |at: &str| format!("[[peer]]\naddress = \"{at}\"\n");
    let (one, two) = (peer("127.0.0.1:7101"), peer("127.0.0.1:7102"));
    let rejected = |peers: &str, reason: &str| {
        assert_rejected("bad-peer", true, &format!("{node}{peers}"), reason);
    };
    rejected(&peer("nowhere"), "address \"nowhere\" is not an address");
    rejected(&peer("127.0.0.1"), "is not an address");
    rejected(&peer("127.0.0.1:0"), "is unreachable");
    rejected(&peer("0.0.0.0:7101"), "is unreachable");
    rejected(&peer("[::1]:7101"), "is unreachable");
    rejected(&format!("{one}{one}"), "is a duplicate");
    rejected(&peer("127.0.0.1:7100"), "is the address of this node");
    let four = [one, two, peer("127.0.0.1:1"), peer("127.0.0.1:2")].concat();
    rejected(&four, "exceeds settings.balancers");
}

/// Guards against a node that joins a fleet although gossip is disabled, or with an address that no member can reach.
#[test]
fn a_fleet_needs_gossip_and_reachable_addresses() {
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
        "policy_limits.peers in the node configuration is false",
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
        "is unreachable for other members",
    );
    rejected(
        true,
        &fleet("").replace("7401", "0"),
        "seed 127.0.0.1:0 is unreachable",
    );
    rejected(
        true,
        &fleet("").replace("\"127.0.0.1:7401\"", "\"[::1]:7401\""),
        "seed [::1]:7401 is unreachable",
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
fn contradictions_are_rejected_with_their_line() {
    let head = "papers = \"node_config.example.json\"\n";
    assert_eq!(read_error(&format!("{head}[forward]\n")).0, 2);
    assert_eq!(read_error(&format!("{head}{PLANNERS}")).0, 2);
    assert_eq!(
        read_error(&format!("{head}[plan]\nname = \"p9\"\n{PLANNERS}")).0,
        3
    );
    assert_eq!(
        read_error(&format!(
            "{head}[plan]\nname = \"p0\"\n[forward]\n{PLANNERS}"
        ))
        .0,
        4
    );
    assert_eq!(
        read_error(&format!("{head}[forward]\n{PLANNERS}{PLANNERS}")).0,
        6
    );
    assert_eq!(read_error("papers = \"no such.json\"\n").0, 1);
    assert_eq!(
        read_error(&format!(
            "{head}[forward]\n{}",
            PLANNERS.replace("127.0.0.1", "here")
        ))
        .0,
        5
    );
}
