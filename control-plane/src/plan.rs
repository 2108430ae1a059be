//! Plans: where attachments go while a planner is too slow to be asked. A planner's [`Shares`] are what
//! its module chose of late; a forwarder's [`Plan`] is drawn from them. Neither scores a host: a plan only
//! repeats what the module did, and ends with the lease of the planner that sent it. It must never hold a
//! host that is cold, nor give out more than its allowance.

use rand::Rng;
use reedferry::{HostId, Nanos, SECOND};

/// The hosts that a plan names at the most.
pub const MOST_HOSTS: usize = 1024;
/// What is left of a share after a second.
const FADE: f64 = 0.5;

/// What the module of one zone chose of late, a share a host.
#[derive(Default)]
pub struct Shares {
    all: Vec<(HostId, f64)>,
    faded: Nanos,
}

impl Shares {
    pub fn chose(&mut self, host: HostId, now: Nanos) {
        self.fade(now);
        match self.all.iter_mut().find(|(id, _)| *id == host) {
            Some((_, share)) => *share += 1.0,
            None => self.all.push((host, 1.0)),
        }
    }

    fn fade(&mut self, now: Nanos) {
        let part = FADE.powf(now.saturating_sub(self.faded) as f64 / SECOND as f64);
        self.faded = now;
        self.all.iter_mut().for_each(|(_, share)| *share *= part);
        // What was chosen last so long ago says nothing of now.
        self.all.retain(|(_, share)| *share > 0.01);
    }

    /// The hosts with the largest shares among those that `may` be planned for, as weights to 1,000.
    pub fn weights(&mut self, now: Nanos, may: impl Fn(HostId) -> bool) -> Vec<(u64, u16)> {
        self.fade(now);
        let mut hosts: Vec<(HostId, f64)> = self
            .all
            .iter()
            .copied()
            .filter(|(id, _)| may(*id))
            .collect();
        hosts.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0 .0.cmp(&b.0 .0)));
        hosts.truncate(MOST_HOSTS);
        let most = hosts.first().map_or(1.0, |(_, share)| *share);
        hosts
            .iter()
            .map(|(id, share)| (id.0, ((share / most * 1e3) as u16).max(1)))
            .collect()
    }
}

/// What a forwarder holds of it.
#[derive(Default)]
pub struct Plan {
    hosts: Vec<(HostId, u32)>,
    left: u32,
}

impl Plan {
    pub fn of(hosts: &[(u64, u16)], allowance: u32) -> Self {
        let hosts = hosts
            .iter()
            .take(MOST_HOSTS)
            .map(|&(id, weight)| (HostId(id), weight.into()));
        Plan {
            hosts: hosts.collect(),
            left: allowance,
        }
    }

    /// A host by the plan's weights among those that `may` be sent to, while the allowance lasts.
    pub fn take(&mut self, rng: &mut impl Rng, may: impl Fn(HostId) -> bool) -> Option<HostId> {
        if self.left == 0 {
            return None;
        }
        let all: u32 = self
            .hosts
            .iter()
            .filter(|(id, _)| may(*id))
            .map(|(_, weight)| weight)
            .sum();
        if all == 0 {
            return None;
        }
        let mut at = rng.random_range(0..all);
        let chosen = self
            .hosts
            .iter()
            .filter(|(id, _)| may(*id))
            .find(|(_, weight)| {
                let here = at < *weight;
                at = at.saturating_sub(*weight);
                here
            });
        self.left -= 1;
        chosen.map(|(id, _)| *id)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;

    #[test]
    fn a_plan_repeats_what_the_module_chose_and_ends_with_its_allowance() {
        let mut shares = Shares::default();
        for n in 0..90 {
            shares.chose(HostId(if n % 3 == 0 { 1 } else { 2 }), 1);
        }
        shares.chose(HostId(9), 1);
        let weights = shares.weights(1, |id| id != HostId(9));
        assert_eq!(weights, [(2, 1000), (1, 500)]);
        let mut plan = Plan::of(&weights, 300);
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
        let first = (0..300)
            .filter(|_| plan.take(&mut rng, |_| true) == Some(HostId(1)))
            .count();
        assert!((80..=120).contains(&first), "{first}");
        assert_eq!(plan.take(&mut rng, |_| true), None);
        let mut plan = Plan::of(&weights, 300);
        assert!((0..50).all(|_| plan.take(&mut rng, |id| id != HostId(2)) == Some(HostId(1))));
        assert_eq!(plan.take(&mut rng, |_| false), None);
    }

    #[test]
    fn what_was_chosen_long_ago_is_planned_for_no_more() {
        let mut shares = Shares::default();
        shares.chose(HostId(1), 0);
        shares.chose(HostId(2), 20 * SECOND);
        assert_eq!(shares.weights(20 * SECOND, |_| true), [(2, 1000)]);
    }
}
