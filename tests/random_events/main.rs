//! The module under random events: endpoint lists, clients, hosts, new settings, hot restarts and a
//! process that stalls come in every order, and each action is checked against the rules. A seed
//! that fails is named, and can be played alone with `RANDOM_EVENTS_SEED`.

mod draws;
mod hot_restart;
mod occurrences;
mod rules;
mod world;

use world::World;

const SEEDS: u64 = 600;
const EVENTS: usize = 400;

#[test]
fn no_order_of_events_breaks_a_rule() {
    let alone = std::env::var("RANDOM_EVENTS_SEED")
        .ok()
        .and_then(|seed| seed.parse().ok());
    let seeds = alone.map_or(0..SEEDS, |seed: u64| seed..seed + 1);
    for seed in seeds {
        let mut world = World::new(seed);
        for _ in 0..EVENTS {
            world.step();
        }
        world.let_time_pass(60 * reedferry::SECOND, false);
        assert!(world.all_requests_are_established(), "{seed}: lost");
    }
}
