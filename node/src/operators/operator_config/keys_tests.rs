//! Tests that each key of the operator's file is decoded. The keys must not change, because existing files use them.

use super::*;
use crate::peers::ReplicationConfig;
use reedferry::MILLI;

const PLANNERS: &str = "[[planner]]\nname = \"p0\"\naddress = \"127.0.0.1:7000\"\n\
    [[planner]]\nname = \"p1\"\naddress = \"127.0.0.1:7001\"\n";

fn read(gossip: bool, text: &str) -> Result<OperatorConfig, OperatorConfigError> {
    let number = NEXT_FOLDER.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let folder =
        std::env::temp_dir().join(format!("reedferry-keys-{}-{number}", std::process::id()));
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
    read
}

/// Numbers the folders of tests that run at the same time.
static NEXT_FOLDER: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);

fn ms(count: u64) -> Nanos {
    count * MILLI
}

#[test]
fn the_keys_of_a_forwarder_are_decoded() {
    let text = "[forward]\nlease = \"200ms\"\ndecide_within = \"300ms\"\nmost_asked = 7\nsettle = \"3s\"\n";
    let file = read(false, &format!("{text}{PLANNERS}")).unwrap();
    let expected = ForwarderOptions {
        lease: ms(200),
        decision_timeout: ms(300),
        max_awaiting_decision: 7,
        failback_delay: ms(3000),
    };
    assert_eq!(
        (file.role.command(), &file.role),
        ("forward", &Role::Forward(expected))
    );
    let planners: Vec<_> = file
        .planners
        .iter()
        .map(|p| (p.name.as_str(), p.address.port()))
        .collect();
    assert_eq!(planners, [("p0", 7000), ("p1", 7001)]);
}

#[test]
fn the_keys_of_a_planner_are_decoded() {
    let text = "[plan]\nname = \"p1\"\nlisten = \"127.0.0.1:7009\"\nsilent = \"2s\"\nsettle = \"60ms\"\nmost_held = 9\n";
    let file = read(false, &format!("{text}{PLANNERS}")).unwrap();
    let expected = PlannerOptions {
        name: "p1".into(),
        planner_index: 1,
        listen: "127.0.0.1:7009".parse().unwrap(),
        silence_timeout: ms(2000),
        settle_time: ms(60),
        max_requests_per_forwarder: 9,
    };
    assert_eq!(
        (file.role.command(), &file.role),
        ("plan", &Role::Plan(expected))
    );
}

#[test]
fn the_keys_of_a_node_are_decoded() {
    let text = "[node]\nmessages = \"127.0.0.1:7100\"\n[[peer]]\naddress = \"127.0.0.1:7101\"\n";
    let file = read(true, text).unwrap();
    assert_eq!(file.role.command(), "node");
    let Role::Node(Some(gossip_config)) = file.role else {
        panic!("no gossip configuration")
    };
    assert_eq!(
        (gossip_config.listen.port(), gossip_config.peers[0].port()),
        (7100, 7101)
    );
}

#[test]
fn the_keys_of_a_fleet_are_decoded() {
    let text = "[fleet]\naddress = \"127.0.0.1:7400\"\nlisten = \"127.0.0.1:7402\"\nname = \"f\"\n\
        seeds = [\"127.0.0.1:7401\"]\nperiod = \"200ms\"\nmost = 7\n\
        [fleet.wards]\nlife = \"30s\"\nwithin = \"40ms\"\nmost = 8\n";
    let Role::Node(Some(GossipConfig {
        fleet: Some(fleet), ..
    })) = read(true, text).unwrap().role
    else {
        panic!("no fleet")
    };
    let replication = ReplicationConfig {
        retention: ms(30_000),
        majority_timeout: ms(40),
        max_records: 8,
    };
    assert_eq!(
        (
            fleet.address.port(),
            fleet.listen.port(),
            fleet.name.as_str()
        ),
        (7400, 7402, "f")
    );
    assert_eq!(
        (fleet.seeds[0].port(), fleet.period, fleet.max_members),
        (7401, ms(200), 7)
    );
    assert_eq!(fleet.replication, Some(replication));
}
