//! Tests of fleets in simulated time: detection of deaths, partitions, stalls, restarts and graceful leaves.

use crate::anti_entropy::PAGES_PER_PERIOD;
use crate::simulation::*;
use crate::*;

/// The number of runs of one scenario, each with its own seed.
const SEEDS: u64 = 2;

/// Guards against deaths that are detected late, that some members learn of late, or that lead to other members being
/// declared dead as well.
#[test]
fn a_death_is_detected_soon_and_known_to_all_as_the_fleet_grows() {
    for count in sizes(&[20, 60, 200, 1000]) {
        let mut detected = Vec::new();
        for seed in 0..if count > 200 { 1 } else { 7 } {
            let mut simulation = Simulation::new(count, true, seed);
            simulation.run(3 * PERIOD + seed * PERIOD / 7);
            let (dead, at) = ((seed as usize * 3 + 1) % count, simulation.now);
            simulation.kill(dead);
            let within = 2.0 + 2.0 * (count as f64).log2();
            simulation.run(at + (within * PERIOD as f64) as Nanos);
            let Detection { first, all } = simulation.detection(dead, at);
            assert!(all <= within, "{count}: known to all after {all}");
            assert!(
                simulation.false_deaths().is_empty(),
                "{count}: {:?}",
                simulation.false_deaths()
            );
            println!("{count}: detected after {first:.1}, known to all after {all:.1}");
            detected.push(first);
        }
        detected.sort_by(f64::total_cmp);
        assert!(
            detected[detected.len() / 2] <= 2.0,
            "{count}: detected after {detected:?}"
        );
    }
}

/// Returns the fleet sizes to test: the usual ones and those listed in `REEDFERRY_MEMBERS`, for example with
/// `REEDFERRY_MEMBERS=5000 cargo test --release -p reedferry-membership death -- --nocapture`, which takes gigabytes.
fn sizes(usual: &[usize]) -> Vec<usize> {
    let more = std::env::var("REEDFERRY_MEMBERS").unwrap_or_default();
    usual
        .iter()
        .copied()
        .chain(more.split(',').filter_map(|n| n.parse().ok()))
        .collect()
}

/// Guards against a convergence time that grows with the size of the fleet.
#[test]
fn tables_converge_soon_after_a_partition_as_the_fleet_grows() {
    for count in sizes(&[20, 60, 200]) {
        let mut simulation = Simulation::new(count, true, 1);
        simulation.run(3 * PERIOD);
        simulation.partition = (0..count).map(|node| node % 2).collect();
        simulation.run(simulation.now + 10 * PERIOD);
        simulation.partition = vec![0; count];
        let before = simulation.sent;
        let took = simulation.run_until_converged(60);
        let messages = (simulation.sent - before) as f64 / took / count as f64;
        println!(
            "{count}: converged after {took:.1} periods, {messages:.1} messages per member and period"
        );
        assert!(took <= 10.0 || count > 200, "{count}: {took}");
    }
}

/// Guards against a message rate per member that grows with the fleet, and against traffic that continues while nothing
/// changes.
#[test]
fn messages_per_member_do_not_grow_with_the_size_of_an_idle_fleet() {
    let messages_per_member = |count: usize| {
        let mut simulation = Simulation::new(count, true, 1);
        simulation.run(4 * PERIOD);
        let before = simulation.sent;
        simulation.run(24 * PERIOD);
        assert!(simulation.observed.is_empty() && simulation.has_converged());
        (simulation.sent - before) as f64 / 20.0 / count as f64
    };
    let (few, many) = (messages_per_member(20), messages_per_member(200));
    assert!(
        (few / many - 1.0).abs() < 0.1 && many < 2.5,
        "{few} and {many} messages per period"
    );
}

#[test]
fn a_fleet_recovers_after_half_and_then_all_but_one_are_killed() {
    let mut simulation = Simulation::new(20, true, 2);
    simulation.run(3 * PERIOD);
    (0..10).for_each(|node| simulation.kill(node * 2));
    simulation.run(simulation.now + 30 * PERIOD);
    assert!(
        simulation.false_deaths().is_empty() && simulation.has_converged(),
        "{:?}",
        simulation.false_deaths()
    );
    assert!(simulation.all_know_of(10));
    (0..9).for_each(|node| simulation.kill(node * 2 + 1));
    simulation.run(simulation.now + 40 * PERIOD);
    assert_eq!(simulation.member(19).table.alive_count(), 1);
    for node in 0..19 {
        let member = new_member(node, simulation.now, &[0, 1, 19]);
        simulation.start(node, member);
    }
    assert!(simulation.run_until_converged(20) <= 15.0);
    simulation.run(simulation.now + 10 * PERIOD);
    assert!(simulation.has_converged() && simulation.all_know_of(20));
}

/// Guards against partitions that do not merge after the network has recovered, and against partitions that declare
/// each other's members dead when they merge.
#[test]
fn partitions_converge_separately_and_merge_afterwards() {
    let splits: [fn(usize) -> usize; 3] = [|n| n / 10, |n| usize::from(n == 19), |n| n % 3];
    for (number, split) in splits.into_iter().enumerate() {
        for (periods, seed) in [2, 30]
            .into_iter()
            .flat_map(|p| (0..SEEDS).map(move |s| (p, s)))
        {
            let mut simulation = Simulation::new(20, true, 3 + seed);
            simulation.run(3 * PERIOD);
            simulation.partition = (0..20).map(split).collect();
            simulation.run(simulation.now + periods * PERIOD);
            if periods == 30 {
                for (node, member) in simulation.running().enumerate() {
                    let alive = (0..20).filter(|other| split(*other) == split(node)).count();
                    assert_eq!(
                        member.table.alive_count(),
                        alive,
                        "split {number}: node {node}"
                    );
                }
            }
            simulation.partition = vec![0; 20];
            simulation.observed.clear();
            let took = simulation.run_until_converged(20);
            simulation.run(simulation.now + 10 * PERIOD);
            let knows_all = simulation.all_know_of(20);
            assert!(
                simulation.has_converged() && knows_all,
                "split {number} for {periods}"
            );
            assert!(took <= 10.0, "split {number} for {periods}: {took}");
            let within_a_partition = simulation
                .false_deaths()
                .iter()
                .filter(|seen| split(seen.observer) == split(seen.subject))
                .count();
            assert_eq!(
                within_a_partition,
                0,
                "split {number} for {periods}: {:?}",
                simulation.false_deaths()
            );
        }
    }
}

/// Guards against deaths that are declared because two members cannot reach each other, or only in one direction.
#[test]
fn a_cut_pair_and_a_one_way_link_declare_nobody_dead() {
    let mut simulation = Simulation::new(20, true, 4);
    simulation.cut_links = vec![(3, 4), (4, 3), (7, 8)];
    simulation.run(60 * PERIOD);
    assert!(
        simulation.false_deaths().is_empty(),
        "{:?}",
        simulation.false_deaths()
    );
}

#[test]
fn a_short_stall_is_tolerated_and_a_death_declared_in_a_long_one_is_refuted() {
    let mut simulation = Simulation::new(20, true, 5);
    simulation.run(3 * PERIOD);
    simulation.stalled_until[5] = simulation.now + 3 * PERIOD;
    simulation.run(simulation.now + 20 * PERIOD);
    assert!(simulation.false_deaths().is_empty() && simulation.has_converged());
    let before = simulation.member(5).version();
    let owned = |simulation: &Simulation| {
        simulation
            .member(5)
            .owned_shards(simulation.now, 0..200)
            .len()
    };
    assert!(owned(&simulation) > 0);
    simulation.stalled_until[5] = simulation.now + 25 * PERIOD;
    simulation.run(simulation.now + 25 * PERIOD);
    assert_eq!(simulation.false_deaths().len(), 19);
    simulation.observed.clear();
    simulation.run(simulation.now + PERIOD / 10);
    assert_eq!(
        owned(&simulation),
        0,
        "it still owns shards that others have taken over"
    );
    assert!(simulation.run_until_converged(20) <= 10.0);
    simulation.run(simulation.now + 10 * PERIOD);
    assert!(
        simulation.has_converged() && simulation.false_deaths().is_empty(),
        "it declared others dead after the stall: {:?}",
        simulation.false_deaths()
    );
    assert!(owned(&simulation) > 0);
    assert!(simulation.member(5).version() > before && simulation.declared_dead == [5]);
}

/// Guards against deaths that are declared while a fifth of the messages is lost, some are duplicated and all are
/// reordered.
#[test]
fn a_lossy_network_declares_nobody_dead() {
    for (count, seed) in (0..SEEDS).map(|s| (20, 6 + s)).chain([(60, 8)]) {
        let mut simulation = Simulation::new(count, true, seed);
        simulation.loss = 0.2;
        simulation.duplication = 0.1;
        simulation.max_delay = PERIOD / 5;
        simulation.run(300 * PERIOD);
        assert!(
            simulation.false_deaths().is_empty(),
            "{count}: {:?}",
            simulation.false_deaths()
        );
    }
}

#[test]
fn a_member_that_runs_a_tenth_of_the_time_accuses_nobody_wrongly() {
    let mut simulation = Simulation::new(20, true, 9);
    simulation.run(3 * PERIOD);
    for step in 0..300 {
        let from = 3 * PERIOD + step * PERIOD / 5;
        simulation.stalled_until[6] = from + PERIOD * 9 / 50;
        simulation.run(from + PERIOD / 5);
    }
    let false_deaths: Vec<_> = simulation
        .false_deaths()
        .into_iter()
        .filter(|seen| seen.subject != 6)
        .collect();
    assert!(false_deaths.is_empty(), "{false_deaths:?}");
}

#[test]
fn a_member_that_restarts_without_state_is_known_again_at_once() {
    let mut simulation = Simulation::new(20, true, 10);
    simulation.run(3 * PERIOD);
    simulation.kill(8);
    simulation.run(simulation.now + 2 * PERIOD);
    let restarted = new_member(8, simulation.now, &[0, 1, 2]);
    simulation.start(8, restarted);
    assert!(simulation.run_until_converged(20) <= 10.0);
    simulation.run(simulation.now + 30 * PERIOD);
    assert!(
        simulation.false_deaths().is_empty() && simulation.has_converged(),
        "{:?}",
        simulation.false_deaths()
    );
    // The same with a system clock that was set back.
    simulation.kill(8);
    simulation.run(simulation.now + 2 * PERIOD);
    let mut restarted = new_member(8, simulation.now, &[0, 1, 2]);
    restarted.table.announce(simulation.now, |me| {
        me.version = MemberVersion {
            incarnation: START_UNIX_MS - 1000,
            sequence: 0,
        }
    });
    simulation.start(8, restarted);
    assert!(simulation.run_until_converged(20) <= 10.0);
    simulation.run(simulation.now + 30 * PERIOD);
    assert!(
        simulation.false_deaths().is_empty()
            && simulation.has_converged()
            && simulation.member(8).table.alive_count() == 20
    );
}

#[test]
fn hundreds_start_within_a_second_with_two_of_three_seeds_dead() {
    let mut simulation = Simulation::new(200, false, 11);
    (1..3).for_each(|node| simulation.kill(node));
    simulation.run(PERIOD);
    let took = simulation.run_until_converged(30);
    simulation.run(simulation.now + 5 * PERIOD);
    assert!(simulation.all_know_of(198), "after {took}");
    assert!(
        took <= 14.0 && simulation.false_deaths().is_empty(),
        "converged after {took} periods"
    );
}

/// Guards against members on one overloaded machine that stay late, because what each sends besides its probe rounds
/// keeps the others from being run in time.
#[test]
fn a_member_that_is_woken_late_sends_less_until_woken_on_time() {
    let mut simulation = Simulation::new(10, true, 3);
    let mut member = simulation.nodes[0].take().unwrap();
    let period = member.period;
    let mut rounds = Vec::new();
    for wake in 0..80 {
        let before = member.next_gossip_round;
        let now = member.next_wakeup() + if wake < 12 { period } else { 0 };
        member.handle(now, Event::TimerFired, &mut Vec::new());
        if member.next_gossip_round != before {
            rounds.push((
                member.next_gossip_round - now,
                member.anti_entropy.page_budget,
            ));
        }
    }
    assert!(
        rounds
            .iter()
            .any(|round| *round == (4 * period, PAGES_PER_PERIOD / 4)),
        "{rounds:?}"
    );
    assert_eq!(
        rounds.last(),
        Some(&(period, PAGES_PER_PERIOD)),
        "the lag never ends"
    );
}

/// Guards against a leaving member that is taken for a failed one, and against state changes that do not reach all
/// members.
#[test]
fn announced_states_reach_all_members() {
    let mut simulation = Simulation::new(20, true, 12);
    simulation.run(3 * PERIOD);
    simulation.handle(4, Event::StateChanged(MemberState::Standby));
    simulation.handle(5, Event::StateChanged(MemberState::Leaving));
    assert!(simulation.run_until_converged(10) <= 8.0);
    simulation.run(simulation.now + PERIOD);
    simulation.handle(5, Event::Shutdown);
    simulation.kill(5);
    simulation.run(simulation.now + 8 * PERIOD);
    let count = |subject: usize, state: MemberState| {
        simulation
            .observed
            .iter()
            .filter(|seen| (seen.subject, seen.state) == (subject, state))
            .count()
    };
    assert_eq!(
        [
            count(4, MemberState::Standby),
            count(5, MemberState::Leaving),
            count(5, MemberState::Dead)
        ],
        [19; 3]
    );
    assert_eq!(count(5, MemberState::Suspect), 0);
}

/// Guards against two processes with one name that supersede each other without end.
#[test]
fn of_two_processes_with_one_name_the_later_one_remains() {
    let mut simulation = Simulation::new(21, true, 13);
    simulation.kill(20);
    simulation.run(20 * PERIOD);
    let mut second = new_member(3, simulation.now, &[0, 1]);
    second.table.announce(simulation.now, |me| {
        (me.info.address, me.version.sequence) = (address(20), u32::MAX);
    });
    simulation.start(20, second);
    simulation.run(simulation.now + 20 * PERIOD);
    assert!(simulation.member(3).superseded() && !simulation.member(20).superseded());
    let known = |member: &Membership| {
        member
            .others()
            .find(|member| member.info.name == "n3")
            .map(|member| (member.info.address, member.state))
    };
    let others: Vec<_> = simulation
        .running()
        .filter(|member| !member.superseded())
        .filter_map(known)
        .collect();
    assert!(
        others.len() == 19
            && others
                .iter()
                .all(|known| *known == (address(20), MemberState::Active)),
        "{others:?}"
    );
}
