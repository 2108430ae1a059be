//! Tests that the search finds a lost update by the shortest trace, and reports what it left out.

use super::*;

/// Two writers, each of which reads a counter and then writes the value plus one.
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

impl Model for Counters {
    type Step = Step;

    fn steps(&self) -> Vec<Step> {
        let free = |writer: usize| !self.locked || self.lock.is_none_or(|holder| holder == writer);
        let read = (0..2)
            .filter(|&writer| self.read[writer].is_none() && free(writer))
            .map(Step::Read);
        let write = (0..2)
            .filter(|&writer| self.read[writer].is_some() && !self.wrote[writer])
            .map(Step::Write);
        read.chain(write).collect()
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Read(writer) => {
                (self.read[writer], self.lock) = (Some(self.value), Some(writer));
            }
            Step::Write(writer) => {
                self.value = self.read[writer].unwrap_or(0) + 1;
                (self.wrote[writer], self.lock) = (true, None);
            }
        }
    }

    fn fingerprint(&self) -> u64 {
        let bits = |all: [bool; 2]| u64::from(all[0]) | u64::from(all[1]) << 1;
        let read = self.read.map(|value| value.map_or(0, |v| v + 1));
        self.value | read[0] << 8 | read[1] << 16 | bits(self.wrote) << 24
    }

    fn violation(&self) -> Option<String> {
        (self.wrote == [true; 2] && self.value != 2).then(|| format!("counted {}", self.value))
    }
}

const BOUNDS: Bounds = Bounds {
    max_depth: 10,
    max_states: 1000,
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

/// Guards against a search that skips an order of steps, and against one that never finds a violation.
#[test]
fn a_lost_update_is_found_by_the_shortest_trace_and_none_with_a_lock() {
    let found = explore(start(false), BOUNDS).unwrap_err();
    assert_eq!(
        found.steps,
        [Step::Read(0), Step::Read(1), Step::Write(0), Step::Write(1)]
    );
    assert_eq!(found.violation, "counted 1");
    assert_eq!(
        explore(start(true), BOUNDS).unwrap(),
        Coverage {
            states: 9,
            depth: 4,
            complete: true
        }
    );
    let few_states = Bounds {
        max_states: 4,
        ..BOUNDS
    };
    assert!(!explore(start(true), few_states).unwrap().complete);
    let shallow = Bounds {
        max_depth: 3,
        ..BOUNDS
    };
    assert_eq!(explore(start(false), shallow).unwrap().depth, 3);
}
