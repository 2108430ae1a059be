//! Random numbers that follow from a seed.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::hash::{Hash, Hasher};
use std::ops::{Range, RangeInclusive};

/// A generator that can be hashed by its position, as model checking tells states apart.
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

    /// From 0 up to, but not including, 1.
    pub fn fraction(&mut self) -> f64 {
        self.0.random()
    }

    pub fn number(&mut self) -> u32 {
        self.0.random()
    }

    pub fn index(&mut self, range: Range<usize>) -> usize {
        self.0.random_range(range)
    }

    pub fn index_inclusive(&mut self, range: RangeInclusive<usize>) -> usize {
        self.0.random_range(range)
    }

    /// Puts all in a random order.
    pub fn shuffle<T>(&mut self, all: &mut [T]) {
        for n in (1..all.len()).rev() {
            let other = self.index_inclusive(0..=n);
            all.swap(n, other);
        }
    }

    /// Keeps so many of all, in a random order.
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
