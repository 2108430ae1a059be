use super::*;
use crate::discovery::Outage;
use crate::soak::process_slot::Reload;

const CALLER: u64 = 7;

/// A process that was started at the beginning, its services, and the beginning.
struct Case {
    start: Instant,
    run: ProcessRun,
    services: [DiscoveryHistory; 2],
    faults: Vec<FaultSpan>,
}

impl Case {
    fn new() -> Case {
        let start = Instant::now();
        Case {
            start,
            run: ProcessRun::new(CALLER, 0, start),
            services: Default::default(),
            faults: Vec::new(),
        }
    }

    fn at(&self, millis: u64) -> Instant {
        self.start + Duration::from_millis(millis)
    }

    /// A call that came then, and what its waiting time was.
    fn call(&mut self, service: usize, called: u64, max_wait: u64) -> &mut CallRecord {
        let record = CallRecord::new(CALLER, self.at(called), Duration::from_millis(max_wait));
        self.services[service].calls.push(record);
        self.services[service].calls.last_mut().unwrap()
    }

    /// When a drain that is announced then counts as told, in milliseconds.
    fn notified(&self, announced: u64) -> u128 {
        (notified_at(&self.run, &self.services, &self.faults, self.at(announced)) - self.start)
            .as_millis()
    }
}

/// Guards against a process held to a drain earlier than the page has it, which its silent watch hid.
#[test]
fn a_silent_watch_counts_as_told_two_seconds_after_its_wait() {
    let mut case = Case::new();
    let silenced = case.at(999);
    case.call(0, 300, 19_000).silenced_at = Some(silenced);
    assert_eq!(case.notified(9558), 300 + 19_000 + 2000);
}

/// Guards against a short watch that is bound later than six seconds after it fell silent.
#[test]
fn a_silent_watch_with_a_short_wait_counts_as_told_six_seconds_after_its_silence() {
    let mut case = Case::new();
    let silenced = case.at(999);
    case.call(0, 300, 2000).silenced_at = Some(silenced);
    assert_eq!(case.notified(2000), 999 + 6000);
}

/// Guards against one process's silent watch that excuses another, or the same one once the watch is over.
#[test]
fn a_silent_watch_excuses_no_other_process_and_nothing_after_it_was_closed() {
    let mut case = Case::new();
    let (silenced, closed) = (case.at(999), case.at(5000));
    let call = case.call(0, 300, 19_000);
    (call.silenced_at, call.closed_at) = (Some(silenced), Some(closed));
    assert_eq!(case.notified(9558), 9558);
    case.services[0].calls[0].closed_at = None;
    case.services[0].calls[0].caller = CALLER + 1;
    case.call(0, 300, 0);
    assert_eq!(case.notified(9558), 9558);
}

/// Guards against a drain that was written to the process and is excused by any fault.
#[test]
fn what_is_written_counts_at_once() {
    let mut case = Case::new();
    let (silenced, answered) = (case.at(999), case.at(9600));
    case.call(0, 300, 19_000).silenced_at = Some(silenced);
    case.call(0, 9590, 0).answered_at = Some(answered);
    assert_eq!(case.notified(9558), 9600);
}

/// Guards against a failed call that excuses more than six seconds from when the service had the drain.
#[test]
fn a_failed_call_counts_from_when_the_service_could_be_reached() {
    let mut case = Case::new();
    case.call(0, 300, 19_000);
    assert_eq!(case.notified(2000), 2000 + 6000);
    let (from, to) = (case.at(1000), Some(case.at(4000)));
    case.services[0].outages.push(Outage { from, to });
    assert_eq!(case.notified(2000), 4000 + 6000);
}

/// Guards against a reload that excuses what was told before, or a drain that came after it.
#[test]
fn a_reload_binds_four_seconds_after_it_and_excuses_nothing() {
    let mut case = Case::new();
    let silenced = case.at(999);
    case.call(0, 300, 19_000).silenced_at = Some(silenced);
    let at = case.at(6000);
    case.run.reloads.push(Reload { at, service: 1 });
    assert_eq!(case.notified(5000), 6000 + 4000);
    // What the service that it left writes tells it nothing.
    let late = case.at(6100);
    case.call(0, 6050, 0).answered_at = Some(late);
    assert_eq!(case.notified(5000), 6000 + 4000);
    let answered = case.at(6200);
    case.call(1, 6010, 0).answered_at = Some(answered);
    assert_eq!(case.notified(5000), 6200);
}

/// Guards against a process that goes by the list it was given for longer than the settings' time for polling.
#[test]
fn a_process_that_makes_no_call_counts_as_told_within_the_polling_time() {
    let mut case = Case::new();
    assert_eq!(case.notified(500), 1000);
    case.call(0, 900, 0);
    assert_eq!(case.notified(500), 500 + 6000);
}

/// Guards against a process that just stops asking, with no call failed, and has six seconds for it.
#[test]
fn a_process_whose_calls_were_all_answered_is_given_no_time() {
    let mut case = Case::new();
    let answered = case.at(310);
    case.call(0, 300, 0).answered_at = Some(answered);
    assert_eq!(case.notified(9558), 9558);
    let (from, to) = (case.at(9000), case.at(9300));
    case.faults.push(FaultSpan { from, to });
    assert_eq!(case.notified(9558), 9558 + 6000);
}
