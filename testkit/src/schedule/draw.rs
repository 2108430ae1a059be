//! Draws schedules of overlapping faults from a seed. A change to the order of the random draws changes the schedule of
//! every seed.

use super::{FaultSchedule, PlannedFault, ScheduledFault};
use crate::network::LinkFaults;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

impl FaultSchedule {
    /// Draws a schedule of `faults` overlapping faults for a fleet of `nodes` nodes.
    pub fn draw(seed: u64, nodes: usize, faults: usize) -> FaultSchedule {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let first_millis = rng.random_range(300..800);
        let draw = |number: u64| {
            // Durations range from about the shortest time for which a member is suspected to several times that.
            let start_millis = first_millis + number * rng.random_range(100..600);
            let duration_millis = rng.random_range(300..3000);
            PlannedFault {
                start_millis,
                duration_millis,
                fault: draw_fault(&mut rng, nodes),
            }
        };
        FaultSchedule {
            seed,
            nodes,
            faults: (0..faults as u64).map(draw).collect(),
        }
    }
}

fn draw_fault(rng: &mut ChaCha8Rng, nodes: usize) -> ScheduledFault {
    let node = rng.random_range(0..nodes);
    match rng.random_range(0..14) {
        0 | 1 => ScheduledFault::Kill(node),
        2 | 3 => ScheduledFault::Pause(node),
        4 => ScheduledFault::Slow(node),
        5 => ScheduledFault::StartTwin(node),
        6 | 7 => {
            let parts = rng.random_range(2..=3);
            ScheduledFault::Partition((0..nodes).map(|_| rng.random_range(0..parts)).collect())
        }
        8 => ScheduledFault::DropOneWay(node, (node + rng.random_range(1..nodes)) % nodes),
        9 => ScheduledFault::Lossy(draw_link_faults(rng)),
        10 => ScheduledFault::Refuse(rng.random_range(5..10)),
        11 => ScheduledFault::Older,
        _ => [
            ScheduledFault::Down,
            ScheduledFault::Hang,
            ScheduledFault::Silent,
            ScheduledFault::Sluggish,
        ][rng.random_range(0..4)]
        .clone(),
    }
}

/// Draws the faults of a lossy network, in the order of the fields.
fn draw_link_faults(rng: &mut ChaCha8Rng) -> LinkFaults {
    let mut share = |max: f64| (rng.random::<f64>() * max * 100.0).round() / 100.0;
    let (loss, duplicate, corrupt, truncate) = (share(0.3), share(0.3), share(0.1), share(0.1));
    LinkFaults {
        cut: false,
        loss,
        duplicate,
        corrupt,
        truncate,
        delay: Duration::from_millis(rng.random_range(0..30)),
    }
}
