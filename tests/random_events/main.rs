//! Feeds random events to a balancer in random order: endpoint lists, requests, host failures and
//! reports, new settings, hot restarts and process stalls. Every action is checked against the
//! rules. A failure names its seed, which can be played alone with `RANDOM_EVENTS_SEED`.

mod draws;
mod hot_restart;
mod occurrences;
mod rules;
mod world;

use world::World;

/// The number of seeds, from 0.
const SEEDS: u64 = 600;
/// The number of random events for each seed.
const EVENTS: usize = 400;

#[test]
fn no_order_of_events_breaks_a_rule() {
    let single_seed = std::env::var("RANDOM_EVENTS_SEED")
        .ok()
        .and_then(|seed| seed.parse().ok());
    let seeds = single_seed.map_or(0..SEEDS, |seed: u64| seed..seed + 1);
    for seed in seeds {
        let mut world = World::new(seed);
        for _ in 0..EVENTS {
            world.step();
        }
        world.let_time_pass(60 * reedferry::SECOND, false);
        assert!(
            world.all_requests_are_established(),
            "seed {seed}: a request was never answered"
        );
    }
}
