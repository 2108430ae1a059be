//! Walks what can happen to a world of cores, step by step in every order, up to a bound, and gives the shortest way
//! to the first thing that is wrong. It owns the order of the walk and what was seen. It must never know what a
//! world is made of.

use std::collections::{HashSet, VecDeque};
use std::fmt::Debug;

pub trait World: Clone {
    type Step: Clone + Debug;

    /// What may happen next; in an order that is the same for the same world.
    fn steps(&self) -> Vec<Self::Step>;

    fn take(&mut self, step: &Self::Step);

    /// Alike for worlds from which the same can happen.
    fn mark(&self) -> u64;

    /// What breaks a rule here, if anything does.
    fn wrong(&self) -> Option<String>;
}

/// How far a walk goes: steps from the start, and worlds looked at.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub depth: usize,
    pub worlds: usize,
}

/// What a walk has seen.
#[derive(Debug, PartialEq)]
pub struct Walked {
    pub worlds: usize,
    pub depth: usize,
    /// Whether nothing was left out but what lies deeper.
    pub whole: bool,
}

/// The shortest way to what is wrong.
#[derive(Debug)]
pub struct Found<S> {
    pub steps: Vec<S>,
    pub why: String,
}

/// Looks at every world that can be reached, the nearest first.
///
/// # Errors
/// The way to the first that is wrong.
pub fn walk<W: World>(start: W, bounds: Bounds) -> Result<Walked, Found<W::Step>> {
    // Each world's way back: the place of the one before, and the step from there.
    let mut ways: Vec<Option<(usize, W::Step)>> = vec![None];
    let mut seen = HashSet::from([start.mark()]);
    let mut next = VecDeque::from([(0, 0, start)]);
    let mut walked = Walked {
        worlds: 0,
        depth: 0,
        whole: true,
    };
    while let Some((place, depth, world)) = next.pop_front() {
        (walked.worlds, walked.depth) = (walked.worlds + 1, depth);
        if let Some(why) = world.wrong() {
            let (mut steps, mut at) = (Vec::new(), place);
            while let Some((before, step)) = &ways[at] {
                steps.push(step.clone());
                at = *before;
            }
            steps.reverse();
            return Err(Found { steps, why });
        }
        if depth >= bounds.depth {
            continue;
        }
        for step in world.steps() {
            let mut after = world.clone();
            after.take(&step);
            if !seen.insert(after.mark()) {
                continue;
            }
            if ways.len() >= bounds.worlds {
                walked.whole = false;
                continue;
            }
            ways.push(Some((place, step)));
            next.push_back((ways.len() - 1, depth + 1, after));
        }
    }
    Ok(walked)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Two who each read a counter, then write what they read and one more.
    #[derive(Clone)]
    struct Counters {
        value: u64,
        read: [Option<u64>; 2],
        wrote: [bool; 2],
        locked: bool,
        lock: Option<usize>,
    }

    #[derive(Clone, Debug, PartialEq)]
    enum Step {
        Read(usize),
        Write(usize),
    }

    impl World for Counters {
        type Step = Step;

        fn steps(&self) -> Vec<Step> {
            let free = |one: usize| !self.locked || self.lock.is_none_or(|by| by == one);
            let read = (0..2)
                .filter(|&one| self.read[one].is_none() && free(one))
                .map(Step::Read);
            let write = (0..2)
                .filter(|&one| self.read[one].is_some() && !self.wrote[one])
                .map(Step::Write);
            read.chain(write).collect()
        }

        fn take(&mut self, step: &Step) {
            match *step {
                Step::Read(one) => (self.read[one], self.lock) = (Some(self.value), Some(one)),
                Step::Write(one) => {
                    self.value = self.read[one].unwrap_or(0) + 1;
                    (self.wrote[one], self.lock) = (true, None);
                }
            }
        }

        fn mark(&self) -> u64 {
            let bits = |all: [bool; 2]| u64::from(all[0]) | u64::from(all[1]) << 1;
            let read = self.read.map(|r| r.map_or(0, |v| v + 1));
            self.value | read[0] << 8 | read[1] << 16 | bits(self.wrote) << 24
        }

        fn wrong(&self) -> Option<String> {
            (self.wrote == [true; 2] && self.value != 2).then(|| format!("counted {}", self.value))
        }
    }

    const BOUNDS: Bounds = Bounds {
        depth: 10,
        worlds: 1000,
    };

    fn start(locked: bool) -> Counters {
        Counters {
            value: 0,
            read: [None; 2],
            wrote: [false; 2],
            locked,
            lock: None,
        }
    }

    /// Guards: a walk that leaves an order out, and one that says that all is well whatever happens.
    #[test]
    fn a_lost_count_is_found_by_the_shortest_way_and_none_where_there_is_a_lock() {
        let found = walk(start(false), BOUNDS).unwrap_err();
        assert_eq!(
            found.steps,
            [Step::Read(0), Step::Read(1), Step::Write(0), Step::Write(1)]
        );
        assert_eq!(found.why, "counted 1");
        assert_eq!(
            walk(start(true), BOUNDS).unwrap(),
            Walked {
                worlds: 9,
                depth: 4,
                whole: true
            }
        );
        assert!(
            !walk(
                start(true),
                Bounds {
                    worlds: 4,
                    ..BOUNDS
                }
            )
            .unwrap()
            .whole
        );
        assert_eq!(
            walk(start(false), Bounds { depth: 3, ..BOUNDS })
                .unwrap()
                .depth,
            3
        );
    }
}
