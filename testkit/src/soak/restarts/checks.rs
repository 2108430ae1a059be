//! The checks of a soak of restarts beyond the rules of every soak. Each covers one documented guarantee.

use super::super::process_slot::{ProcessRun, Reload};
use super::super::soak_checker::SoakChecker;
use std::time::{Duration, Instant};

/// How long after SIGHUP a process may take to call the list service that its settings name. Documented as "What
/// discovery has to tell counts as told 4 s after SIGHUP".
const RELOAD_TIMEOUT: Duration = Duration::from_secs(4);
/// How much later than it happens a busy machine may record a call.
const BUSY_SLACK: Duration = Duration::from_millis(350);

/// Returns a violation for each process that did not call the list service named by the last of a series of reloads.
pub fn reload_violations(checker: &SoakChecker<'_>) -> Vec<String> {
    let mut violations = Vec::new();
    for (number, slot) in checker.slots.iter().enumerate() {
        for run in &slot.lock().unwrap().runs {
            let missed = run.reloads.iter().filter(|reload| {
                is_last_of_series(run, reload) && !has_called(checker, run, reload)
            });
            violations.extend(missed.map(|reload| {
                format!(
                    "slot {number}: a process did not call service {} within {RELOAD_TIMEOUT:?} of its reload",
                    reload.service
                )
            }));
        }
    }
    violations
}

/// Returns whether the process neither reloaded again, was told to stop nor ended before the limit for this reload.
fn is_last_of_series(run: &ProcessRun, reload: &Reload) -> bool {
    let until = reload.at + RELOAD_TIMEOUT + BUSY_SLACK;
    let is_past_limit = |at: Option<Instant>| at.is_none_or(|at| at > until);
    let reloads_again = |other: &Reload| other.at > reload.at && other.at <= until;
    is_past_limit(run.told_to_stop)
        && is_past_limit(run.ended)
        && !run.reloads.iter().any(reloads_again)
}

fn has_called(checker: &SoakChecker<'_>, run: &ProcessRun, reload: &Reload) -> bool {
    let until = reload.at + RELOAD_TIMEOUT + BUSY_SLACK;
    let calls = &checker.services[reload.service].calls;
    calls.iter().any(|call| {
        call.caller == run.caller && call.called_at >= reload.at && call.called_at <= until
    })
}

/// Returns the number of connections that were open when a process was told to stop, summed over all stops, and the
/// number of stops.
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
