//! Fallback plans, by which a forwarder places requests that its planner cannot decide in time. A planner counts the
//! recent choices of its decision core as [`PlacementShares`] and sends them as weights. A forwarder draws hosts from
//! these weights in a [`FallbackPlan`]. Neither side scores hosts: a plan repeats the core's recent choices and expires
//! with the lease of the planner that sent it.
//!
//! Invariants: a plan contains no host that is warming up, and places no more requests than its allowance.

use crate::messages::HostWeight;
use rand::Rng;
use reedferry::{HostId, Nanos, SECOND};

/// The maximum number of hosts in a plan.
pub const MAX_PLAN_HOSTS: usize = 1024;
/// The weight of the host with the largest share.
const LARGEST_WEIGHT: f64 = 1e3;
/// The fraction of a share that remains after one second.
const DECAY_PER_SECOND: f64 = 0.5;
/// The share at or below which a host is dropped, because its placements are too long ago to matter.
const MIN_SHARE: f64 = 0.01;

/// The recent choices of one zone's decision core, as a count of placements for each host that decays over time.
#[derive(Default)]
pub struct PlacementShares {
    shares: Vec<(HostId, f64)>,
    decayed_at: Nanos,
}

impl PlacementShares {
    /// Counts a placement on the host.
    pub fn record(&mut self, host: HostId, now: Nanos) {
        self.decay(now);
        match self.shares.iter_mut().find(|(id, _)| *id == host) {
            Some((_, share)) => *share += 1.0,
            None => self.shares.push((host, 1.0)),
        }
    }

    fn decay(&mut self, now: Nanos) {
        let elapsed_seconds = now.saturating_sub(self.decayed_at) as f64 / SECOND as f64;
        let factor = DECAY_PER_SECOND.powf(elapsed_seconds);
        self.decayed_at = now;
        self.shares
            .iter_mut()
            .for_each(|(_, share)| *share *= factor);
        self.shares.retain(|(_, share)| *share > MIN_SHARE);
    }

    /// Returns the `eligible` hosts with the largest shares, at most [`MAX_PLAN_HOSTS`], with weights in thousandths
    /// of the largest. Each weight is at least 1.
    pub fn weights(&mut self, now: Nanos, eligible: impl Fn(HostId) -> bool) -> Vec<HostWeight> {
        self.decay(now);
        let mut hosts: Vec<(HostId, f64)> = self
            .shares
            .iter()
            .copied()
            .filter(|(id, _)| eligible(*id))
            .collect();
        hosts.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0 .0.cmp(&b.0 .0)));
        hosts.truncate(MAX_PLAN_HOSTS);
        let largest = hosts.first().map_or(1.0, |(_, share)| *share);
        hosts
            .iter()
            .map(|(id, share)| HostWeight {
                host: id.0,
                weight: ((share / largest * LARGEST_WEIGHT) as u16).max(1),
            })
            .collect()
    }
}

/// The plan of a planner, held by a forwarder that follows it.
#[derive(Default)]
pub struct FallbackPlan {
    hosts: Vec<(HostId, u32)>,
    allowance_left: u32,
}

impl FallbackPlan {
    /// Creates a plan from a planner's message. Hosts beyond [`MAX_PLAN_HOSTS`] are ignored.
    pub fn new(hosts: &[HostWeight], allowance: u32) -> Self {
        let hosts = hosts
            .iter()
            .take(MAX_PLAN_HOSTS)
            .map(|entry| (HostId(entry.host), entry.weight.into()));
        FallbackPlan {
            hosts: hosts.collect(),
            allowance_left: allowance,
        }
    }

    /// Draws one of the `eligible` hosts at random by the plan's weights and uses up one unit of the allowance.
    /// Returns `None` if the allowance is used up or no host is eligible.
    pub fn draw(
        &mut self,
        rng: &mut impl Rng,
        eligible: impl Fn(HostId) -> bool,
    ) -> Option<HostId> {
        if self.allowance_left == 0 {
            return None;
        }
        let total_weight: u32 = self
            .hosts
            .iter()
            .filter(|(id, _)| eligible(*id))
            .map(|(_, weight)| weight)
            .sum();
        if total_weight == 0 {
            return None;
        }
        let mut position = rng.random_range(0..total_weight);
        let chosen = self
            .hosts
            .iter()
            .filter(|(id, _)| eligible(*id))
            .find(|(_, weight)| {
                let found = position < *weight;
                position = position.saturating_sub(*weight);
                found
            });
        self.allowance_left -= 1;
        chosen.map(|(id, _)| *id)
    }
}

#[cfg(test)]
#[path = "fallback_plan_tests.rs"]
mod tests;
