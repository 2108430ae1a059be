//! What a soak of restarts checks beyond the rules of every soak, one sentence of the users' pages each.

use super::super::process_slot::{ProcessRun, Reload};
use super::super::soak_checker::SoakChecker;
use std::time::{Duration, Instant};

/// "What discovery has to tell counts as told 4 s after SIGHUP": by then a process that asks for lists has asked the
/// service that its settings name.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(4);
/// How late a busy machine may note a call.
const BUSY_SLACK: Duration = Duration::from_millis(350);

/// Processes that did not call the list service which the last of a series of reloads named.
pub fn reload_violations(checker: &SoakChecker<'_>) -> Vec<String> {
    let mut violations = Vec::new();
    for (number, slot) in checker.slots.iter().enumerate() {
        for run in &slot.lock().unwrap().runs {
            let missed = run.reloads.iter().filter(|reload| {
                is_last_of_series(run, reload) && !has_called(checker, run, reload)
            });
            violations.extend(missed.map(|reload| {
                format!(
                    "seat {number}: a process did not call service {} within {RELOAD_TIMEOUT:?} of its reload",
                    reload.service
                )
            }));
        }
    }
    violations
}

/// Whether the process neither reloaded again nor was told to stop before it had to know the list.
fn is_last_of_series(run: &ProcessRun, reload: &Reload) -> bool {
    let until = reload.at + RELOAD_TIMEOUT + BUSY_SLACK;
    let goes_on = |at: Option<Instant>| at.is_none_or(|at| at > until);
    let reloads_again = |other: &Reload| other.at > reload.at && other.at <= until;
    goes_on(run.told_to_stop) && goes_on(run.ended) && !run.reloads.iter().any(reloads_again)
}

fn has_called(checker: &SoakChecker<'_>, run: &ProcessRun, reload: &Reload) -> bool {
    let until = reload.at + RELOAD_TIMEOUT + BUSY_SLACK;
    let calls = &checker.services[reload.service].calls;
    calls.iter().any(|call| {
        call.caller == run.caller && call.called_at >= reload.at && call.called_at <= until
    })
}

/// How many connections were open when a process was told to stop, over all stops, and how many stops there were.
pub fn count_open_at_stops(checker: &SoakChecker<'_>) -> (u64, u64) {
    let (mut open, mut stops) = (0, 0);
    for (number, slot) in checker.slots.iter().enumerate() {
        for stop in &slot.lock().unwrap().stops {
            stops += 1;
            let was_open = |client: &&super::super::clients::ClientObservation| {
                client.slot == number
                    && client.received.starts_with("UP")
                    && client.received_at < stop.from
                    && client.ended_at.is_none_or(|ended| ended > stop.from)
            };
            open += checker.observations.iter().filter(was_open).count() as u64;
        }
    }
    (open, stops)
}
