//! Optimizes the weights of the host score by an evolutionary algorithm. Four weight vectors are
//! used in turn, each is evaluated by the placements made with it, and one that another dominates
//! is replaced by the offspring of two others. The module does not select hosts.

use crate::action::Action;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// The number of weight vectors.
const VECTORS: usize = 4;
/// The number of placements by each vector that must be evaluated before vectors are compared.
const MIN_EVALUATED_PLACEMENTS: u32 = 12;
/// The probability that a weight of an offspring mutates.
const MUTATION_PROBABILITY: f64 = 0.25;
/// The standard deviation of a mutation.
const MUTATION_DEVIATION: f64 = 0.05;
/// The lower bound of the weight of load balance.
const MIN_BALANCE_WEIGHT: f64 = 0.1;

/// The weights of the two parts of a host's score, and the evaluation of placements by them.
#[derive(Clone, Copy, Default)]
pub(crate) struct WeightVector {
    /// The weight of load balance.
    pub balance: f64,
    /// The weight of the gap between the expected end of the connection and the last expected end
    /// at the host.
    pub end_gap: f64,
    /// The sum of the squared relative deviations of the hosts' loads from the mean, over the
    /// evaluated placements.
    load_spread: f64,
    /// The sum of the longest remaining durations at the hosts, in nanoseconds, over the evaluated
    /// placements.
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

    /// Returns whether this vector is no worse than the other in both objectives and better in one.
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

    /// Returns the index of the vector for the next placement.
    pub fn current(&self) -> usize {
        self.next
    }

    pub fn weights(&self, vector: usize) -> &WeightVector {
        &self.vectors[vector]
    }

    /// Moves on to the next vector, after a placement by the current one.
    pub fn advance(&mut self) {
        self.next = (self.next + 1) % VECTORS;
    }

    /// Records the evaluation of a placement by `vector`, and compares the vectors once each has
    /// [`MIN_EVALUATED_PLACEMENTS`].
    pub fn placement_evaluated(
        &mut self,
        vector: usize,
        load_spread: f64,
        longest_remaining: f64,
        rng: &mut ChaCha8Rng,
        actions: &mut Vec<Action>,
    ) {
        let evaluated = &mut self.vectors[vector];
        evaluated.load_spread += load_spread;
        evaluated.longest_remaining += longest_remaining;
        evaluated.evaluated_placements += 1;
        let enough =
            |vector: &WeightVector| vector.evaluated_placements >= MIN_EVALUATED_PLACEMENTS;
        if self.vectors.iter().all(enough) {
            self.replace_dominated(rng, actions);
        }
    }

    fn replace_dominated(&mut self, rng: &mut ChaCha8Rng, actions: &mut Vec<Action>) {
        let old = self.vectors;
        self.vectors = old.map(|vector| WeightVector::new(vector.balance, vector.end_gap));
        let dominated =
            (0..VECTORS).find(|&index| (0..VECTORS).any(|other| old[other].dominates(&old[index])));
        let Some(dominated) = dominated else { return };
        // One-point crossover of two parents among the other vectors, then mutation.
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

/// Returns the weight, changed by a normally distributed amount with [`MUTATION_PROBABILITY`].
fn mutated(weight: f64, rng: &mut ChaCha8Rng) -> f64 {
    if rng.random::<f64>() >= MUTATION_PROBABILITY {
        return weight;
    }
    let (u, v): (f64, f64) = (rng.random(), rng.random());
    let normal = (-2.0 * (1.0 - u).ln()).sqrt();
    weight + MUTATION_DEVIATION * normal * (std::f64::consts::TAU * v).cos()
}
