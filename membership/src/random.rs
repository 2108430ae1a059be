//! A seeded random number generator.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::hash::{Hash, Hasher};
use std::ops::{Range, RangeInclusive};

/// A generator that hashes by its position, so that a model checker can tell states apart.
#[derive(Clone)]
pub(crate) struct Random(ChaCha8Rng);

impl Hash for Random {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.get_word_pos().hash(state);
    }
}

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(ChaCha8Rng::seed_from_u64(seed))
    }

    /// Returns a number from 0 (inclusive) to 1 (exclusive).
    pub fn fraction(&mut self) -> f64 {
        self.0.random()
    }

    pub fn next_u32(&mut self) -> u32 {
        self.0.random()
    }

    pub fn index(&mut self, range: Range<usize>) -> usize {
        self.0.random_range(range)
    }

    pub fn index_inclusive(&mut self, range: RangeInclusive<usize>) -> usize {
        self.0.random_range(range)
    }

    /// Shuffles a slice.
    pub fn shuffle<T>(&mut self, all: &mut [T]) {
        for n in (1..all.len()).rev() {
            let other = self.index_inclusive(0..=n);
            all.swap(n, other);
        }
    }

    /// Returns `count` random elements in random order, or all of them if there are fewer.
    pub fn choose<T>(&mut self, mut all: Vec<T>, count: usize) -> Vec<T> {
        let count = count.min(all.len());
        for n in 0..count {
            let other = self.index(n..all.len());
            all.swap(n, other);
        }
        all.truncate(count);
        all
    }
}
