//! Shrinks a failing schedule to fewer faults.

use super::FaultSchedule;

/// Leaves faults out one by one for as long as what remains still fails, in one of `tries` runs.
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
