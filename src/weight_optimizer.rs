//! The weights of the host score: four vectors are used in turn, each is evaluated by the
//! placements made with it, and one that another dominates is replaced by an offspring of the rest.
//! It must never choose a host.

use crate::action::Action;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

const VECTORS: usize = 4;
/// Placements by each vector that must be evaluated before vectors are compared.
const MIN_EVALUATED_PLACEMENTS: u32 = 12;
const MUTATION_PROBABILITY: f64 = 0.25;
const MUTATION_DEVIATION: f64 = 0.05;
/// The weight of load balance never falls below this.
const MIN_BALANCE_WEIGHT: f64 = 0.1;

/// The weights of the two parts of a host's score, and how placements by them have turned out.
#[derive(Clone, Copy, Default)]
pub(crate) struct WeightVector {
    /// Weight of the balance of loads.
    pub balance: f64,
    /// Weight of the gap between a connection's end and the last end at the host.
    pub end_gap: f64,
    load_spread: f64,
    longest_remaining: f64,
    evaluated_placements: u32,
}

impl WeightVector {
    fn new(balance: f64, end_gap: f64) -> Self {
        WeightVector {
            balance,
            end_gap,
            ..WeightVector::default()
        }
    }

    /// Whether it is no worse in either objective, and better in one.
    fn dominates(&self, other: &WeightVector) -> bool {
        let mean = |vector: &WeightVector| {
            let placements = vector.evaluated_placements as f64;
            (
                vector.load_spread / placements,
                vector.longest_remaining / placements,
            )
        };
        let ((spread, longest), (other_spread, other_longest)) = (mean(self), mean(other));
        spread <= other_spread
            && longest <= other_longest
            && (spread < other_spread || longest < other_longest)
    }
}

/// The weight vectors, used in turn.
pub(crate) struct WeightOptimizer {
    vectors: [WeightVector; VECTORS],
    next: usize,
}

impl WeightOptimizer {
    pub fn new() -> Self {
        WeightOptimizer {
            vectors: [0.0, 0.05, 0.1, 0.2].map(|end_gap| WeightVector::new(1.0, end_gap)),
            next: 0,
        }
    }

    /// The vector whose turn it is.
    pub fn current(&self) -> usize {
        self.next
    }

    pub fn weights(&self, vector: usize) -> &WeightVector {
        &self.vectors[vector]
    }

    /// A placement by the current vector was made.
    pub fn advance(&mut self) {
        self.next = (self.next + 1) % VECTORS;
    }

    /// A placement by `vector` was evaluated; the vectors are compared once each has enough of
    /// these.
    pub fn placement_evaluated(
        &mut self,
        vector: usize,
        load_spread: f64,
        longest_remaining: f64,
        rng: &mut ChaCha8Rng,
        actions: &mut Vec<Action>,
    ) {
        let judged = &mut self.vectors[vector];
        judged.load_spread += load_spread;
        judged.longest_remaining += longest_remaining;
        judged.evaluated_placements += 1;
        let enough =
            |vector: &WeightVector| vector.evaluated_placements >= MIN_EVALUATED_PLACEMENTS;
        if self.vectors.iter().all(enough) {
            self.replace_dominated(rng, actions);
        }
    }

    fn replace_dominated(&mut self, rng: &mut ChaCha8Rng, actions: &mut Vec<Action>) {
        let old = self.vectors;
        self.vectors = old.map(|vector| WeightVector::new(vector.balance, vector.end_gap));
        let dominated = (0..VECTORS)
            .find(|&loser| (0..VECTORS).any(|winner| old[winner].dominates(&old[loser])));
        let Some(dominated) = dominated else { return };
        // Two parents of the rest, crossed at one point; then each weight may mutate.
        let first_parent = (dominated + rng.random_range(1..VECTORS)) % VECTORS;
        let second_parent = (dominated + rng.random_range(1..VECTORS)) % VECTORS;
        let balance = mutated(old[first_parent].balance, rng);
        let end_gap = mutated(old[second_parent].end_gap, rng);
        let balance = balance.max(MIN_BALANCE_WEIGHT);
        let end_gap = end_gap.clamp(0.0, balance);
        self.vectors[dominated] = WeightVector::new(balance, end_gap);
        log!(
            actions,
            "weight vector replaced index={dominated} balance={balance:.2} gap={end_gap:.2}"
        );
    }
}

/// The weight, changed now and then by a normally distributed amount.
fn mutated(weight: f64, rng: &mut ChaCha8Rng) -> f64 {
    if rng.random::<f64>() >= MUTATION_PROBABILITY {
        return weight;
    }
    let (u, v): (f64, f64) = (rng.random(), rng.random());
    let normal = (-2.0 * (1.0 - u).ln()).sqrt();
    weight + MUTATION_DEVIATION * normal * (std::f64::consts::TAU * v).cos()
}
