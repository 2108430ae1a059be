//! Tests of the membership protocol between processes, with network and process faults: how soon the member tables
//! converge, and which members are declared dead. Tests with load also check what clients and hosts saw.

use reedferry_testkit::fleet::{
    one_test_at_a_time, Fleet, FleetOptions, ReturningClients, WarmingHosts,
};
use reedferry_testkit::fleet_view::{start_fleet, FleetView};
use reedferry_testkit::network::{FaultyNetwork, LinkFaults};
use reedferry_testkit::schedule::{play, FaultSchedule};
use reedferry_testkit::{eventually, Discovery};
use std::net::UdpSocket;
use std::thread;
use std::time::{Duration, Instant};

/// The membership period of the fleets.
const PERIOD: Duration = Duration::from_millis(100);
/// The factor by which a busy machine may exceed the expected number of periods.
const BUSY_MACHINE_FACTOR: u32 = 3;

/// Starts a fleet with a discovery service of its own, and waits until the member tables agree.
fn converged_fleet(nodes: usize, seed: u64) -> (Discovery, Fleet) {
    let (service, fleet) = start_fleet(nodes, PERIOD, seed);
    assert_converges(&fleet, 20, "at the start");
    (service, fleet)
}

/// Asserts that the member tables agree within this many periods, times [`BUSY_MACHINE_FACTOR`].
fn assert_converges(fleet: &Fleet, periods: u32, when: &str) {
    let took = fleet.agrees_within(PERIOD * periods * BUSY_MACHINE_FACTOR);
    assert!(
        took.is_some(),
        "member tables differ {when}: {:?}",
        fleet.views()
    );
}

/// Returns the new log lines by which members were declared dead, without those about the excluded nodes.
fn lines_on_false_deaths(fleet: &Fleet, excluded: &[usize]) -> Vec<String> {
    let is_about =
        |line: &String, node: &usize| format!("{line},").contains(&format!("name: n{node},"));
    fleet
        .members_declared_dead()
        .into_iter()
        .filter(|line| !excluded.iter().any(|node| is_about(line, node)))
        .collect()
}

/// Suspends a node for this time.
fn stall(fleet: &mut Fleet, node: usize, time: Duration) {
    fleet.suspend(node);
    thread::sleep(time);
    fleet.unsuspend(node);
}

/// Guards against deaths that some members never learn of, and against running members declared dead with them.
#[test]
fn tables_converge_after_one_half_and_nearly_all_of_twenty_nodes_die() {
    let _lock = one_test_at_a_time();
    let (_service, mut fleet) = converged_fleet(20, 1);
    fleet.kill(7, Duration::ZERO);
    assert_converges(&fleet, 11, "after one death");
    assert_eq!(lines_on_false_deaths(&fleet, &[7]), [""; 0]);
    let half: Vec<usize> = (0..20).step_by(2).collect();
    half.iter()
        .for_each(|&node| fleet.kill(node, Duration::ZERO));
    assert_converges(&fleet, 30, "after half died");
    assert_eq!(
        lines_on_false_deaths(&fleet, &[&half[..], &[7]].concat()),
        [""; 0]
    );
    (1..19)
        .step_by(2)
        .filter(|&node| node != 7)
        .for_each(|node| fleet.kill(node, Duration::ZERO));
    assert_converges(&fleet, 40, "after all but one died");
    fleet.start(&(0..19).collect::<Vec<_>>(), &[], 0);
    assert_converges(&fleet, 20, "after they came back");
}

/// Guards against partitions that do not merge, and against members declared dead because single links are cut.
#[test]
fn partitions_merge_and_single_cut_links_cause_no_false_death() {
    let _lock = one_test_at_a_time();
    let (_service, fleet) = converged_fleet(20, 2);
    for (periods, parts) in [(20, 2), (30, 3)] {
        fleet.fleet_view().network.partition(|node| node % parts);
        thread::sleep(PERIOD * periods);
        fleet.fleet_view().network.heal();
        assert_converges(&fleet, 10, "after a partition");
    }
    fleet
        .fleet_view()
        .network
        .partition(|node| usize::from(node == 19));
    thread::sleep(PERIOD * 30);
    fleet.fleet_view().network.heal();
    assert_converges(&fleet, 10, "after one node was isolated");
    fleet.members_declared_dead();
    let is_cut = |from, to| (from, to) == (3, 4) || (from, to) == (4, 3) || (from, to) == (7, 8);
    fleet
        .fleet_view()
        .network
        .set_faults(|from, to| LinkFaults {
            cut: is_cut(from, to),
            ..LinkFaults::default()
        });
    thread::sleep(PERIOD * 40);
    assert_eq!(lines_on_false_deaths(&fleet, &[]), [""; 0]);
}

/// Guards against members declared dead because of packet loss, a short stall or slow scheduling; against a member
/// that returns after a long stall without a new version; and against a restart taken for a death.
#[test]
fn packet_loss_short_stalls_and_a_restart_cause_no_false_death() {
    let _lock = one_test_at_a_time();
    let (_service, mut fleet) = converged_fleet(12, 3);
    let delay = PERIOD / 10;
    fleet.fleet_view().network.set_faults(|_, _| LinkFaults {
        loss: 0.2,
        duplicate: 0.1,
        delay,
        ..LinkFaults::default()
    });
    thread::sleep(PERIOD * 60);
    fleet.fleet_view().network.heal();
    assert_converges(&fleet, 10, "after packet loss");
    stall(&mut fleet, 5, PERIOD * 2);
    for _ in 0..30 {
        fleet.pause(6);
        thread::sleep(PERIOD * 9 / 10);
        fleet.resume(6);
        thread::sleep(PERIOD / 10);
    }
    assert_converges(&fleet, 10, "after a short stall and a slow node");
    assert_eq!(lines_on_false_deaths(&fleet, &[6]), [""; 0]);
    fleet.kill(8, Duration::ZERO);
    fleet.start(&[8], &[], 0);
    assert_converges(&fleet, 10, "after a restart");
    thread::sleep(PERIOD * 10);
    assert_eq!(lines_on_false_deaths(&fleet, &[]), [""; 0]);
    fleet.suspend(9);
    thread::sleep(PERIOD * 40);
    let version_sequence =
        |fleet: &Fleet| fleet.status(9).and_then(|status| status["word"].as_u64());
    fleet.unsuspend(9);
    assert_converges(&fleet, 10, "after a long stall");
    assert!(version_sequence(&fleet) > Some(0));
    assert!(fleet.nodes[9]
        .as_ref()
        .unwrap()
        .wait_for_log("other members declared this node")
        .contains("dead"));
}

/// Guards against datagrams of strangers that add members, cause false deaths or flood the log; and against two
/// processes that stay under one name.
#[test]
fn strangers_change_no_table_and_the_later_process_under_a_name_is_kept() {
    let _lock = one_test_at_a_time();
    let service = Discovery::start();
    let fleet_view = FleetView {
        network: FaultyNetwork::new(7, 4),
        period: PERIOD,
        seeds: vec![0, 1, 2],
    };
    let options = FleetOptions {
        max_poll_interval: Duration::from_secs(4),
        ..FleetOptions::TRIAL
    };
    let mut fleet = Fleet::new(7, service.address, options)
        .with_cluster_size(6)
        .with_view(fleet_view);
    // Two of the three seeds do not run.
    fleet.start(&[0, 3, 4, 5], &[], 0);
    assert_converges(&fleet, 20, "with two seeds down");
    fleet.start(&[1, 2], &[], 0);
    assert_converges(&fleet, 20, "with all nodes");
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    let member_address = fleet.fleet_view().network.process_addresses[3];
    for n in 0..2000u32 {
        _ = stranger.send_to(&n.to_le_bytes().repeat((n % 300) as usize), member_address);
    }
    thread::sleep(PERIOD * 5);
    assert_converges(&fleet, 5, "after a flood of invalid datagrams");
    let lines = fleet.nodes[3].as_ref().unwrap().drain_log();
    let dropped = lines
        .iter()
        .filter(|line| line.contains("membership message dropped"))
        .count();
    assert!(
        (1..=5).contains(&dropped),
        "{dropped} log lines about dropped datagrams"
    );
    assert!(lines.iter().all(|line| !line.contains("member gone")));
    assert_replays_change_nothing(&mut fleet);
    assert_later_twin_counts(&mut fleet);
}

/// Guards against a node that a datagram ends which is longer than any message.
#[test]
fn a_datagram_that_is_longer_than_any_message_is_dropped_and_logged() {
    let _lock = one_test_at_a_time();
    let (_service, mut fleet) = converged_fleet(2, 9);
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    let member_address = fleet.fleet_view().network.process_addresses[1];
    for length in [1200, 1201, 1202, 1400, 9000, 60_000] {
        stranger
            .send_to(&vec![0xfe; length], member_address)
            .unwrap();
    }
    let node = fleet.nodes[1].as_mut().unwrap();
    node.wait_for_log("longer than any message");
    assert!(node.runs());
    assert_converges(&fleet, 5, "after datagrams that are too long");
}

/// Replays the datagrams that were sent while one member died and returned, first unchanged and then with another
/// protocol version. Asserts that the tables still agree.
fn assert_replays_change_nothing(fleet: &mut Fleet) {
    fleet.fleet_view().network.record_datagrams();
    fleet.kill(5, Duration::ZERO);
    assert_converges(fleet, 20, "after a death");
    fleet.start(&[5], &[], 0);
    assert_converges(fleet, 20, "after the node returned");
    fleet
        .nodes
        .iter()
        .flatten()
        .for_each(|node| drop(node.drain_log()));
    assert!(fleet.fleet_view().network.replay(|_| ()) > 100);
    thread::sleep(PERIOD * 10);
    assert_converges(fleet, 5, "after a replay");
    assert_eq!(lines_on_false_deaths(fleet, &[]), [""; 0]);
    fleet
        .fleet_view()
        .network
        .replay(|bytes| bytes.iter_mut().take(1).for_each(|version| *version += 1));
    fleet.nodes[0]
        .as_ref()
        .unwrap()
        .wait_for_log("unsupported version, or not a membership message");
    assert_converges(fleet, 5, "after messages of another version");
}

/// Starts a second process under a member's name, and asserts that the first one leaves and the second one is a member.
fn assert_later_twin_counts(fleet: &mut Fleet) {
    fleet.start_twin(4, &[], 0);
    fleet.nodes[4]
        .as_ref()
        .unwrap()
        .wait_for_log("another process has this node's name");
    eventually("the later process is not listed as a member", || {
        let twin_address = fleet.fleet_view().network.public_addresses[6].to_string();
        let status = fleet.status(0).unwrap();
        let members = status["members"].as_array().unwrap();
        members.iter().any(|m| {
            m["name"] == "n4" && m["address"] == twin_address.as_str() && m["state"] == "at work"
        })
    });
}

/// Guards against dead seeds that delay the start of hundreds of nodes, and against logs flooded by hundreds of
/// changes at once.
#[test]
fn two_hundred_nodes_converge_with_two_seeds_dead_and_after_half_die() {
    let _lock = one_test_at_a_time();
    let service = Discovery::start();
    let period = PERIOD * 2;
    let fleet_view = FleetView {
        network: FaultyNetwork::new(200, 9),
        period,
        seeds: vec![0, 1, 2],
    };
    let mut fleet = Fleet::new(200, service.address, FleetOptions::TRIAL).with_view(fleet_view);
    let started_nodes: Vec<usize> = (0..200).filter(|node| *node != 1 && *node != 2).collect();
    fleet.start(&started_nodes, &[], 0);
    assert_converges(&fleet, 60, "after the start");
    let max_member_lines = |fleet: &Fleet| -> Vec<usize> {
        let max_lines_within_four_periods = |node: &reedferry_testkit::Node| {
            let lines = node
                .drain_log_timed()
                .into_iter()
                .filter(|(_, line)| line.contains("member "));
            let times: Vec<Instant> = lines.map(|(at, _)| at).collect();
            let lines_from = |from: &Instant| {
                times
                    .iter()
                    .filter(|t| *t >= from && **t < *from + period * 4)
                    .count()
            };
            times.iter().map(lines_from).max().unwrap_or(0)
        };
        fleet
            .nodes
            .iter()
            .flatten()
            .map(max_lines_within_four_periods)
            .collect()
    };
    max_member_lines(&fleet);
    (100..200).for_each(|node| fleet.kill(node, Duration::ZERO));
    assert_converges(&fleet, 100, "after half died");
    // The limit is 32 lines per second; a window of 0.8 s may overlap two seconds.
    let max_lines = max_member_lines(&fleet).into_iter().max().unwrap();
    assert!(
        (33..=64).contains(&max_lines),
        "{max_lines} lines about members within four periods"
    );
}

/// Guards against nodes taken for dead when they shut down, and against clients without an answer, while all nodes
/// are restarted in turn.
#[test]
fn a_rolling_restart_under_load_loses_no_client_and_raises_no_suspicion() {
    let _lock = one_test_at_a_time();
    let (service, hosts) = (Discovery::start(), WarmingHosts::new(FleetOptions::TRIAL));
    let list = hosts.members(hosts.start(6, false));
    list.iter()
        .for_each(|member| service.change(member.clone()));
    let fleet_view = FleetView {
        network: FaultyNetwork::new(10, 5),
        period: PERIOD,
        seeds: vec![0, 1, 2],
    };
    let mut fleet = Fleet::new(10, service.address, FleetOptions::TRIAL).with_view(fleet_view);
    fleet.start(&(0..10).collect::<Vec<_>>(), &list, 6);
    let mut returning_clients =
        ReturningClients::start(60, &fleet.front, Duration::from_millis(500), None, 5);
    eventually("not all clients are connected", || {
        returning_clients.connected() == 60
    });
    assert_converges(&fleet, 20, "at the start");
    let restart_began = Instant::now();
    for node in 0..10 {
        let mut stopped = fleet.stop(node, Duration::from_millis(100)).unwrap();
        if node == 0 {
            fleet.nodes[9]
                .as_ref()
                .unwrap()
                .wait_for_log("member leaving");
        }
        // The process keeps its address until it has ended.
        stopped.wait();
        fleet.start(&[node], &list, 6);
    }
    assert_converges(&fleet, 10, "after all were restarted");
    assert!(restart_began.elapsed() < Duration::from_secs(60));
    eventually("not all clients are connected again", || {
        returning_clients.connected() == 60
    });
    returning_clients.stop();
    assert_eq!(hosts.violations(Duration::from_millis(300)), [""; 0]);
    assert_eq!(fleet.violations(&returning_clients), [""; 0]);
    let log_lines = fleet
        .nodes
        .iter()
        .flatten()
        .flat_map(reedferry_testkit::Node::drain_log);
    assert_eq!(
        log_lines
            .filter(|line| line.contains("member suspect"))
            .collect::<Vec<_>>(),
        [""; 0]
    );
}

/// The interval in which each host is to be probed once.
const PROBE_ROUND: Duration = Duration::from_secs(2);

/// How often the hosts were probed.
struct ProbeCounts {
    /// The smallest total of any host over all rounds.
    min: usize,
    /// The largest number for any host within nine tenths of a round.
    max_per_round: usize,
}

/// Waits until this many rounds have passed since `from`, and counts the probes since then.
fn count_probes(hosts: &WarmingHosts, from: Instant, rounds: u32) -> ProbeCounts {
    thread::sleep((from + PROBE_ROUND * rounds).saturating_duration_since(Instant::now()));
    let probes_of = |host: usize| -> Vec<Instant> {
        let probes = hosts.probes(host).into_iter();
        probes.filter(|at| *at >= from).collect()
    };
    let in_round = |probes: &[Instant], start: Instant| {
        probes
            .iter()
            .filter(|at| **at >= start && **at < start + PROBE_ROUND * 9 / 10)
            .count()
    };
    let all: Vec<Vec<Instant>> = (0..8).map(probes_of).collect();
    let max_per_round = all
        .iter()
        .flat_map(|probes| probes.iter().map(|at| in_round(probes, *at)))
        .max();
    ProbeCounts {
        min: all.iter().map(Vec::len).min().unwrap_or(0),
        max_per_round: max_per_round.unwrap_or(0),
    }
}

fn assert_probed_once_a_round(counts: &ProbeCounts, when: &str) {
    let ProbeCounts { min, max_per_round } = counts;
    assert!(
        *min >= 2 && *max_per_round <= 2,
        "as few as {min} probes in {when}, up to {max_per_round} in one round"
    );
}

/// Guards against hosts that several nodes probe in one round, or that none probes after a node died; and against a
/// node that continues after a stall with probe targets that others have taken over.
#[test]
fn each_host_is_probed_once_a_round_while_nodes_die_and_stall() {
    let _lock = one_test_at_a_time();
    let (service, hosts) = (Discovery::start(), WarmingHosts::new(FleetOptions::TRIAL));
    let list = hosts.members(hosts.start(8, false));
    list.iter()
        .for_each(|member| service.change(member.clone()));
    let fleet_view = FleetView {
        network: FaultyNetwork::new(6, 6),
        period: PERIOD,
        seeds: vec![0, 1, 2],
    };
    let mut fleet = Fleet::new(6, service.address, FleetOptions::TRIAL)
        .with_view(fleet_view)
        .with_load_probes();
    fleet.start(&(0..6).collect::<Vec<_>>(), &list, 8);
    assert_converges(&fleet, 20, "at the start");
    // Skips the first round, in which nodes that knew no other member yet shared the hosts by their index.
    thread::sleep(PROBE_ROUND);
    assert_probed_once_a_round(&count_probes(&hosts, Instant::now(), 3), "three rounds");
    (0..3).for_each(|node| fleet.kill(node, Duration::ZERO));
    assert_converges(&fleet, 30, "after three died");
    assert_probed_once_a_round(
        &count_probes(&hosts, Instant::now(), 3),
        "three rounds after deaths",
    );
    fleet.suspend(4);
    let stall_began = Instant::now();
    thread::sleep(Duration::from_secs(3));
    fleet.unsuspend(4);
    let probe_target_count = fleet.status(4).and_then(|status| status["looks"].as_u64());
    assert_eq!(
        probe_target_count,
        Some(0),
        "the node still probes targets that others have taken over"
    );
    assert_probed_once_a_round(
        &count_probes(&hosts, stall_began, 4),
        "four rounds with a stall",
    );
}

/// Returns the slow start quota that all nodes use together, in shares of one node.
fn used_quota(fleet: &Fleet) -> f64 {
    let used_by = |node: usize| {
        fleet.status(node).map_or(0.0, |status| {
            let shares = status["turns"].as_array().cloned().unwrap_or_default();
            shares.iter().filter_map(|share| share[1].as_f64()).sum()
        })
    };
    (0..6).map(used_by).sum()
}

/// Guards against quota of dead nodes that stays unused, against partitions that together use more than the whole
/// quota, and against cold hosts overloaded meanwhile.
#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, step by step")]
fn quota_of_dead_nodes_is_lent_only_by_a_majority_and_never_used_twice() {
    let _lock = one_test_at_a_time();
    let (service, hosts) = (Discovery::start(), WarmingHosts::new(FleetOptions::TRIAL));
    let mut list = hosts.members(hosts.start(4, false));
    list.iter()
        .for_each(|member| service.change(member.clone()));
    let fleet_view = FleetView {
        network: FaultyNetwork::new(6, 7),
        period: PERIOD,
        seeds: vec![0, 1, 2],
    };
    let mut fleet = Fleet::new(6, service.address, FleetOptions::TRIAL).with_view(fleet_view);
    fleet.start(&(0..6).collect::<Vec<_>>(), &list, 4);
    let mut returning_clients =
        ReturningClients::start(60, &fleet.front, Duration::from_millis(300), None, 7);
    assert_converges(&fleet, 20, "at the start");
    let mut add_cold_hosts = |count: usize| {
        for member in hosts.members(hosts.start(count, true)) {
            service.change(member.clone());
            list.push(member);
        }
        list.clone()
    };
    let mut max_used: f64 = 0.0;
    let mut expect_used_quota = |fleet: &Fleet, expected: f64, failure: &str| {
        eventually(failure, || {
            let used = used_quota(fleet);
            max_used = max_used.max(used);
            (used - expected).abs() < 1e-6
        });
    };
    add_cold_hosts(2);
    expect_used_quota(&fleet, 6.0, "not the whole quota is used");
    fleet.kill(5, Duration::from_millis(200));
    expect_used_quota(
        &fleet,
        5.5,
        "the lent half of the dead node's quota is not used",
    );
    fleet.fleet_view().network.partition(|node| node % 2);
    // Neither three of six nodes nor two are a majority.
    expect_used_quota(
        &fleet,
        2.5,
        "without a majority a node does not use exactly its own half",
    );
    fleet.fleet_view().network.heal();
    let known = add_cold_hosts(1);
    expect_used_quota(&fleet, 5.5, "the quota after the partition is wrong");
    stall(&mut fleet, 4, Duration::from_secs(2));
    // One partition reloads a smaller cluster size, and the original one later.
    fleet
        .fleet_view()
        .network
        .partition(|node| usize::from(node < 2));
    fleet.resize_cluster(0..2, 4, &known, 7);
    expect_used_quota(
        &fleet,
        0.5 * 4.0 / 6.0 * 2.0 + 1.5,
        "nodes with the smaller cluster size changed their use, or the others theirs",
    );
    fleet.resize_cluster(0..2, 6, &known, 7);
    fleet.fleet_view().network.heal();
    fleet.start(&[5], &known, 7);
    expect_used_quota(
        &fleet,
        6.0,
        "not the whole quota is used with all nodes again",
    );
    assert!(max_used <= 6.0 + 1e-6, "{max_used} of 6 shares were used");
    eventually("not all clients are connected", || {
        returning_clients.connected() == 60
    });
    returning_clients.stop();
    assert_eq!(hosts.violations(Duration::from_millis(300)), [""; 0]);
    assert_eq!(fleet.violations(&returning_clients), [""; 0]);
}

/// Guards against a violated invariant, lost clients or tables that never agree while two faults overlap. Seed 31
/// flips bits in messages, which members once accepted.
#[test]
fn random_schedules_of_two_overlapping_faults_break_no_invariant() {
    let _lock = one_test_at_a_time();
    for seed in [31, 2, 5] {
        let schedule = FaultSchedule::draw(seed, 8, 2);
        let violations = play(&schedule, None);
        assert!(violations.is_empty(), "{schedule}{violations:#?}");
    }
}

/// Guards against renamed keys of `/status/fleet`, which operators' tools read.
#[test]
fn the_fleet_status_for_operators_keeps_its_json_keys() {
    let _lock = one_test_at_a_time();
    let (_service, fleet) = converged_fleet(2, 9);
    let status = fleet.status(0).unwrap();
    let keys = |value: &serde_json::Value| {
        value
            .as_object()
            .unwrap()
            .keys()
            .cloned()
            .collect::<Vec<_>>()
            .join(" ")
    };
    assert_eq!(
        keys(&status),
        "address digest ill life looks members name state still_ms superseded turns wards word"
    );
    assert_eq!(
        keys(&status["members"][0]),
        "address build life name of place role since_ms state word zone"
    );
    assert_eq!(
        (
            status["state"].as_str(),
            status["members"][0]["role"].as_str()
        ),
        (Some("at work"), Some("node"))
    );
}
