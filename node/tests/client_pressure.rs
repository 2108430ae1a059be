//! Usual clients beside crowds of slow clients and floods, at each path on which clients' bytes come in: a single node,
//! a forwarder, the two processes of an upgrade, a node with request records. The process stays within its memory limit,
//! and each usual request is answered in time.
//!
//! `REEDFERRY_PRESSURE_MS` sets for how long each pressure is played, `REEDFERRY_PROGRAM` which program.

use reedferry_testkit::fleet::{Fleet, FleetOptions};
use reedferry_testkit::fleet_view::FleetView;
use reedferry_testkit::network::FaultyNetwork;
use reedferry_testkit::pressure::{
    start_endless_list_service, EndlessAnswer, Pressure, PressureHosts, PressureTarget,
    RunningPressure, UsualClients, UsualSummary,
};
use reedferry_testkit::program::node_config_of;
use reedferry_testkit::simulated::{self, InvariantChecker, SOCKET_SLACK};
use reedferry_testkit::{eventually, folder, listener, two_tier_cluster, Discovery, Node};
use serde_json::json;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The memory limit of a process, or of both processes of an upgrade together, in MiB.
const MEMORY_MB: usize = 48;
const SOCKETS: usize = 1024;
/// The timeout of a usual request.
const TIMEOUT: Duration = Duration::from_secs(2);
/// The timeout of a usual request beside answers of the list service that never end.
const SHORT_TIMEOUT: Duration = Duration::from_millis(500);
/// For how long each pressure is played unless the environment says otherwise.
const PLAY_TIME: Duration = Duration::from_millis(500);

const CLIENT_PRESSURES: [Pressure; 14] = [
    Pressure::SlowHeads,
    Pressure::FieldAPacket,
    Pressure::ByteAPacket,
    Pressure::HalfHeads,
    Pressure::EndlessLines,
    Pressure::UnreadAnswers,
    Pressure::Pings,
    Pressure::EmptyLines,
    Pressure::Garbage,
    Pressure::FirstLines,
    Pressure::SmallLines,
    Pressure::NewNames,
    Pressure::NewClasses,
    Pressure::LoadReports,
];

fn play_time() -> Duration {
    let milliseconds = std::env::var("REEDFERRY_PRESSURE_MS").ok();
    let milliseconds = milliseconds.and_then(|text| text.parse().ok());
    milliseconds.map_or(PLAY_TIME, Duration::from_millis)
}

/// Runs the tests one at a time, as each fills a machine with clients.
fn one_test_at_a_time() -> MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::new(());
    LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Plays one pressure at a target and checks how the usual clients were served, and the memory of the processes.
fn play(path: &str, pressure: Pressure, target: PressureTarget, nodes: &[&Node]) {
    let running = RunningPressure::start(pressure, target);
    let summary = serve_usual_clients(&format!("{path}, {pressure:?}"), target, nodes);
    // A host that answers no lines counts as hung, for which a part of the requests is rejected.
    assert!(
        summary.served * 2 > summary.requests,
        "{path}, {pressure:?}: {summary:?}"
    );
    assert!(
        running.played() > 0,
        "{path}, {pressure:?}: nothing was played"
    );
}

/// Has usual clients served for a while, and checks how, and the memory of the processes.
fn serve_usual_clients(situation: &str, target: PressureTarget, nodes: &[&Node]) -> UsualSummary {
    let usual_clients = UsualClients::start(target);
    let until = Instant::now() + play_time();
    while Instant::now() < until {
        thread::sleep(Duration::from_millis(20));
    }
    let summary = usual_clients.end();
    let peaks: Vec<usize> = nodes.iter().map(|node| node.peak_memory()).collect();
    let megabytes = peaks.iter().sum::<usize>() as f64 / f64::from(1 << 20);
    println!("{situation}: peak {megabytes:.1} MB, {summary:?}");
    assert!(
        megabytes <= MEMORY_MB as f64,
        "{situation}: {peaks:?} bytes"
    );
    assert_eq!(summary.unanswered, 0, "{situation}");
    assert!(
        summary.worst <= target.timeout + SOCKET_SLACK,
        "{situation}: {summary:?}"
    );
    summary
}

fn node_config(hosts: &PressureHosts, discovery: &Discovery) -> serde_json::Value {
    let mut node_config = node_config_of(json!(hosts.members()), discovery.address);
    node_config["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS});
    node_config["ops"] = json!("127.0.0.1:0");
    node_config
}

fn target_of(node: &Node) -> PressureTarget {
    PressureTarget {
        clients: node.address,
        class: "chat",
        timeout: TIMEOUT,
        operators: node.ops,
        peers: None,
    }
}

/// Waits until a request is served, which a process may not do at once after its start.
fn wait_until_served(target: PressureTarget) {
    eventually("no request is served", || {
        UsualClients::start(target).end().served > 0
    });
}

#[test]
fn usual_clients_are_answered_and_memory_is_bounded_under_pressure_at_a_single_node() {
    let _guard = one_test_at_a_time();
    let (hosts, discovery) = (PressureHosts::start(2), Discovery::start());
    let api = [Pressure::HalfApiHeads, Pressure::SlowApiBodies];
    for pressure in CLIENT_PRESSURES.into_iter().chain(api) {
        let node = Node::start(&node_config(&hosts, &discovery));
        play("single node", pressure, target_of(&node), &[&node]);
    }
}

#[test]
fn usual_clients_are_answered_and_memory_is_bounded_under_pressure_at_a_forwarder() {
    let _guard = one_test_at_a_time();
    let (hosts, discovery) = (PressureHosts::start(2), Discovery::start());
    hosts
        .members()
        .into_iter()
        .for_each(|member| discovery.change(member));
    let no_hosts = simulated::Hosts::start(0, &InvariantChecker::default());
    let config = |name: &str| {
        let mut config = two_tier_cluster::node_config(name, &no_hosts, &discovery, 1);
        config["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS});
        config
    };
    let planner_list =
        |address: &str| format!("[[planner]]\nname = \"p0\"\naddress = \"{address}\"\n");
    let plan = "papers = \"PAPERS\"\n[plan]\nname = \"p0\"\nlisten = \"127.0.0.1:0\"\n";
    for pressure in CLIENT_PRESSURES {
        let plan = format!("{plan}{}", planner_list("127.0.0.1:1"));
        let planner = Node::start_as("plan", &plan, &config("plan"));
        planner.wait_for_log("watch begun");
        let forward = format!(
            "papers = \"PAPERS\"\n[forward]\n{}",
            planner_list(&planner.address.to_string())
        );
        let forwarder = Node::start_as("forward", &forward, &config("forward"));
        forwarder.wait_for_log("following planner");
        let target = PressureTarget {
            class: "free",
            ..target_of(&forwarder)
        };
        wait_until_served(target);
        play("forwarder", pressure, target, &[&forwarder]);
        let peak = planner.peak_memory() >> 20;
        assert!(peak <= MEMORY_MB, "planner, {pressure:?}: {peak} MB");
    }
}

#[test]
fn usual_clients_are_answered_and_memory_is_bounded_under_pressure_at_both_processes_of_an_upgrade()
{
    let _guard = one_test_at_a_time();
    let (hosts, discovery) = (PressureHosts::start(2), Discovery::start());
    let config = node_config(&hosts, &discovery);
    for pressure in CLIENT_PRESSURES {
        let (listener, folder) = (listener(), folder());
        let start = || {
            let mut node = Node::start_at(&config, &listener, &folder);
            node.address = listener.local_addr().unwrap();
            eventually("the node is ready", || node.call("GET /status").0 == 200);
            node
        };
        let predecessor = start();
        let successor = start();
        let target = target_of(&successor);
        play(
            "both processes",
            pressure,
            target,
            &[&predecessor, &successor],
        );
        _ = std::fs::remove_dir_all(&folder);
    }
}

#[test]
fn usual_clients_are_answered_and_memory_is_bounded_under_pressure_at_a_node_with_request_records()
{
    const PERIOD: Duration = Duration::from_millis(100);
    const RECORD_LIFETIME: Duration = Duration::from_secs(1);
    const NODES: usize = 3;
    let _guard = one_test_at_a_time();
    let (hosts, discovery) = (PressureHosts::start(2), Discovery::start());
    hosts
        .members()
        .into_iter()
        .for_each(|member| discovery.change(member));
    let options = FleetOptions {
        warm_capacity: 1e6,
        ..FleetOptions::TRIAL
    };
    for pressure in CLIENT_PRESSURES
        .into_iter()
        .chain([Pressure::PeerDatagrams])
    {
        let fleet_view = FleetView {
            network: FaultyNetwork::new(NODES, 1),
            period: PERIOD,
            seeds: vec![0, 1],
        };
        let mut fleet = Fleet::new(NODES, discovery.address, options)
            .with_view(fleet_view)
            .with_limits(MEMORY_MB, SOCKETS)
            .with_effect("single_shot", Some(RECORD_LIFETIME));
        fleet.start(&[0, 1, 2], &hosts.members(), 1);
        assert!(fleet.agrees_within(PERIOD * 60).is_some());
        // Replicas do not vote until a record's lifetime has passed since their start.
        let node = fleet.nodes[0].as_ref().unwrap();
        let target = PressureTarget {
            peers: Some(fleet.fleet_view().network.process_addresses[0]),
            ..target_of(node)
        };
        wait_until_served(target);
        play("request records", pressure, target, &[node]);
    }
}

#[test]
fn usual_clients_are_answered_and_memory_is_bounded_though_the_answers_of_the_list_service_never_end(
) {
    let _guard = one_test_at_a_time();
    let (hosts, discovery) = (PressureHosts::start(2), Discovery::start());
    // After an answer that can't be read, a node counts as notified of all changes, and rejects requests until it has a list.
    for answer in [
        EndlessAnswer::Heads,
        EndlessAnswer::Members,
        EndlessAnswer::WhiteSpace,
        EndlessAnswer::SlowBody,
    ] {
        let mut config = node_config(&hosts, &discovery);
        config["discovery"] = json!(start_endless_list_service(answer).to_string());
        config["settings"]["contract"]["ask_within"] = json!(100_000.0);
        let node = Node::start(&config);
        serve_usual_clients(
            &format!("list service, {answer:?}"),
            PressureTarget {
                timeout: SHORT_TIMEOUT,
                ..target_of(&node)
            },
            &[&node],
        );
    }
}
