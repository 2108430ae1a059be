//! Shrinks a failing schedule to fewer faults.

use super::FaultSchedule;

/// Leaves out each fault without which the schedule still fails, and returns what remains, at least one fault. A
/// candidate counts as failing if at least one of `tries` runs fails.
pub fn shrink(
    schedule: &FaultSchedule,
    tries: usize,
    fails: &mut impl FnMut(&FaultSchedule) -> bool,
) -> FaultSchedule {
    let mut smallest = schedule.clone();
    let mut index = 0;
    while index < smallest.faults.len() && smallest.faults.len() > 1 {
        let mut candidate = smallest.clone();
        candidate.faults.remove(index);
        if (0..tries).any(|_| fails(&candidate)) {
            smallest = candidate;
        } else {
            index += 1;
        }
    }
    smallest
}
