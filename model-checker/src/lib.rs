//! An explicit-state model checker: explores what can happen to a world of state machines, step by step in every order
//! up to a bound, and gives the shortest trace to the first violation. It owns the order of the search and the states
//! seen. It must never know what a world is made of.

use std::collections::{HashSet, VecDeque};
use std::fmt::Debug;
use std::hash::{Hash, Hasher};

/// A state of the system under test, and what can happen to it.
pub trait World: Clone {
    /// One thing that can happen.
    type Step: Clone + Debug;

    /// What may happen next; in an order that is the same for the same world.
    fn steps(&self) -> Vec<Self::Step>;

    /// Lets one of these happen.
    fn take(&mut self, step: &Self::Step);

    /// Equal for worlds from which the same can happen.
    fn fingerprint(&self) -> u64;

    /// The invariant that is broken here, if one is.
    fn violation(&self) -> Option<String>;
}

/// How far a search goes.
#[derive(Clone, Copy)]
pub struct Bounds {
    /// Steps from the start.
    pub max_depth: usize,
    /// Worlds looked at.
    pub max_worlds: usize,
}

/// What a search without a violation has seen.
#[derive(Debug, PartialEq)]
pub struct Coverage {
    /// Worlds looked at.
    pub worlds: usize,
    /// Steps from the start to the last of them.
    pub depth: usize,
    /// Whether nothing was left out but what lies deeper than the bound.
    pub complete: bool,
}

/// The shortest trace to a violation.
#[derive(Debug)]
pub struct Counterexample<S> {
    /// The steps from the start.
    pub steps: Vec<S>,
    /// What is broken after them.
    pub violation: String,
}

/// A message under way between two members of a world; one that is never delivered is lost.
#[derive(Clone, Debug, Hash)]
pub struct InFlight<M> {
    /// The index of the sender.
    pub from: usize,
    /// The index of the receiver.
    pub to: usize,
    /// What is sent.
    pub message: M,
}

/// The hash of a state, for [`World::fingerprint`].
pub fn fingerprint<H: Hasher + Default>(state: &impl Hash) -> u64 {
    let mut hasher = H::default();
    state.hash(&mut hasher);
    hasher.finish()
}

/// How a world was reached: the index of the one before, and the step from there.
struct Visit<S> {
    from: Option<(usize, S)>,
}

/// Looks at every world that can be reached, the nearest first.
///
/// # Errors
/// The trace to the first violation.
pub fn walk<W: World>(start: W, bounds: Bounds) -> Result<Coverage, Counterexample<W::Step>> {
    let mut visits = vec![Visit { from: None }];
    let mut seen = HashSet::from([start.fingerprint()]);
    let mut queue = VecDeque::from([(0, 0, start)]);
    let mut coverage = Coverage {
        worlds: 0,
        depth: 0,
        complete: true,
    };
    while let Some((index, depth, world)) = queue.pop_front() {
        coverage.worlds += 1;
        coverage.depth = depth;
        if let Some(violation) = world.violation() {
            let steps = trace(&visits, index);
            return Err(Counterexample { steps, violation });
        }
        if depth >= bounds.max_depth {
            continue;
        }
        for step in world.steps() {
            let mut next = world.clone();
            next.take(&step);
            if !seen.insert(next.fingerprint()) {
                continue;
            }
            if visits.len() >= bounds.max_worlds {
                coverage.complete = false;
                continue;
            }
            visits.push(Visit {
                from: Some((index, step)),
            });
            queue.push_back((visits.len() - 1, depth + 1, next));
        }
    }
    Ok(coverage)
}

fn trace<S: Clone>(visits: &[Visit<S>], last: usize) -> Vec<S> {
    let mut steps = Vec::new();
    let mut index = last;
    while let Some((before, step)) = &visits[index].from {
        steps.push(step.clone());
        index = *before;
    }
    steps.reverse();
    steps
}

#[cfg(test)]
mod lib_tests;
