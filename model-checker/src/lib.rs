//! An explicit-state model checker. It explores every order of steps from an initial state breadth first, up to a
//! bound, and returns the shortest trace to a violation. It keeps the search queue and the set of visited states, and
//! is independent of what a model consists of.

use std::collections::{HashSet, VecDeque};
use std::fmt::Debug;
use std::hash::{Hash, Hasher};

/// A state of the system under test, with the steps that may follow.
pub trait Model: Clone {
    /// A single state transition.
    type Step: Clone + Debug;

    /// Returns the steps that are possible in this state. Equal states must return them in the same order.
    fn steps(&self) -> Vec<Self::Step>;

    /// Applies one of these steps.
    fn apply(&mut self, step: &Self::Step);

    /// Returns a hash that is equal for states with the same possible futures.
    fn fingerprint(&self) -> u64;

    /// Describes the invariant that this state violates, or returns `None`.
    fn violation(&self) -> Option<String>;
}

/// The bounds of a search.
#[derive(Clone, Copy)]
pub struct Bounds {
    /// The maximum number of steps from the initial state (inclusive).
    pub max_depth: usize,
    /// The maximum number of distinct states to visit (inclusive).
    pub max_states: usize,
}

/// What a search without a violation has covered.
#[derive(Debug, PartialEq)]
pub struct Coverage {
    /// The number of states visited.
    pub states: usize,
    /// The number of steps from the initial state to the last visited one.
    pub depth: usize,
    /// Whether all states within the depth bound were visited.
    pub complete: bool,
}

/// The shortest trace to a violation.
#[derive(Debug)]
pub struct Counterexample<S> {
    /// The steps from the initial state.
    pub steps: Vec<S>,
    /// The invariant that is violated after them.
    pub violation: String,
}

/// A message in transit between two members of a model. A message that is never delivered is lost.
#[derive(Clone, Debug, Hash)]
pub struct InFlight<M> {
    /// The index of the sender.
    pub from: usize,
    /// The index of the receiver.
    pub to: usize,
    /// The message.
    pub message: M,
}

/// Returns the hash of a state, for [`Model::fingerprint`].
pub fn fingerprint<H: Hasher + Default>(state: &impl Hash) -> u64 {
    let mut hasher = H::default();
    state.hash(&mut hasher);
    hasher.finish()
}

/// How a state was reached: the index of the previous visit and the step from there, or `None` for the initial state.
struct Visit<S> {
    from: Option<(usize, S)>,
}

/// Visits every reachable state within the bounds, breadth first.
///
/// # Errors
///
/// Returns the shortest trace to the first violation found.
pub fn explore<M: Model>(initial: M, bounds: Bounds) -> Result<Coverage, Counterexample<M::Step>> {
    let mut visits = vec![Visit { from: None }];
    let mut seen = HashSet::from([initial.fingerprint()]);
    let mut queue = VecDeque::from([(0, 0, initial)]);
    let mut coverage = Coverage {
        states: 0,
        depth: 0,
        complete: true,
    };
    while let Some((index, depth, model)) = queue.pop_front() {
        coverage.states += 1;
        coverage.depth = depth;
        if let Some(violation) = model.violation() {
            let steps = trace(&visits, index);
            return Err(Counterexample { steps, violation });
        }
        if depth >= bounds.max_depth {
            continue;
        }
        for step in model.steps() {
            let mut next = model.clone();
            next.apply(&step);
            if !seen.insert(next.fingerprint()) {
                continue;
            }
            if visits.len() >= bounds.max_states {
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
    while let Some((previous, step)) = &visits[index].from {
        steps.push(step.clone());
        index = *previous;
    }
    steps.reverse();
    steps
}

#[cfg(test)]
mod lib_tests;
