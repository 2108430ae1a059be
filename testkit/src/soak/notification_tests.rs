use super::*;
use crate::discovery::Outage;
use crate::soak::process_slot::Reload;

const CALLER: u64 = 7;

/// A process that started at `start`, with the histories of its list services.
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

    /// Records a call to a service; `called` and `max_wait` are in milliseconds.
    fn call(&mut self, service: usize, called: u64, max_wait: u64) -> &mut CallRecord {
        let record = CallRecord::new(CALLER, self.at(called), Duration::from_millis(max_wait));
        self.services[service].calls.push(record);
        self.services[service].calls.last_mut().unwrap()
    }

    /// Returns when the process counts as notified of a drain that was announced at `announced`; both in
    /// milliseconds.
    fn notified(&self, announced: u64) -> u128 {
        (notified_at(&self.run, &self.services, &self.faults, self.at(announced)) - self.start)
            .as_millis()
    }
}

/// Guards against blaming a process for a drain that its silent watch still hid within the documented time.
#[test]
fn a_silent_watch_counts_as_notified_two_seconds_after_its_wait() {
    let mut case = Case::new();
    let silenced = case.at(999);
    case.call(0, 300, 19_000).silenced_at = Some(silenced);
    assert_eq!(case.notified(9558), 300 + 19_000 + 2000);
}

/// Guards against a silent watch with a short wait that excuses a process for longer than six seconds from its
/// silence.
#[test]
fn a_silent_watch_with_a_short_wait_counts_as_notified_after_six_seconds() {
    let mut case = Case::new();
    let silenced = case.at(999);
    case.call(0, 300, 2000).silenced_at = Some(silenced);
    assert_eq!(case.notified(2000), 999 + 6000);
}

/// Guards against a silent watch that excuses another process, or its own process after the watch was closed.
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

/// Guards against a fault that excuses a process to which the drain was written.
#[test]
fn a_written_list_counts_as_notified_at_once() {
    let mut case = Case::new();
    let (silenced, answered) = (case.at(999), case.at(9600));
    case.call(0, 300, 19_000).silenced_at = Some(silenced);
    case.call(0, 9590, 0).answered_at = Some(answered);
    assert_eq!(case.notified(9558), 9600);
}

/// Guards against a failed call that excuses more than six seconds from when the service had the drain and could be
/// reached.
#[test]
fn a_failed_call_counts_from_when_the_service_could_be_reached() {
    let mut case = Case::new();
    case.call(0, 300, 19_000);
    assert_eq!(case.notified(2000), 2000 + 6000);
    let (from, to) = (case.at(1000), Some(case.at(4000)));
    case.services[0].outages.push(Outage { from, to });
    assert_eq!(case.notified(2000), 4000 + 6000);
}

/// Guards against a process that has more than four seconds after a reload, and against counting a list from the
/// service that the reload replaced.
#[test]
fn a_process_counts_as_notified_four_seconds_after_a_reload() {
    let mut case = Case::new();
    let silenced = case.at(999);
    case.call(0, 300, 19_000).silenced_at = Some(silenced);
    let at = case.at(6000);
    case.run.reloads.push(Reload { at, service: 1 });
    assert_eq!(case.notified(5000), 6000 + 4000);
    // A list written by the previously configured service does not notify the process.
    let late = case.at(6100);
    case.call(0, 6050, 0).answered_at = Some(late);
    assert_eq!(case.notified(5000), 6000 + 4000);
    let answered = case.at(6200);
    case.call(1, 6010, 0).answered_at = Some(answered);
    assert_eq!(case.notified(5000), 6200);
}

/// Guards against a process that uses the list from its config for longer than the polling time of the settings.
#[test]
fn a_process_that_makes_no_call_counts_as_notified_after_the_polling_time() {
    let mut case = Case::new();
    assert_eq!(case.notified(500), 1000);
    case.call(0, 900, 0);
    assert_eq!(case.notified(500), 500 + 6000);
}

/// Guards against excusing a process for six seconds that stopped calling although no call had failed.
#[test]
fn a_process_whose_calls_were_all_answered_is_notified_at_once() {
    let mut case = Case::new();
    let answered = case.at(310);
    case.call(0, 300, 0).answered_at = Some(answered);
    assert_eq!(case.notified(9558), 9558);
    let (from, to) = (case.at(9000), case.at(9300));
    case.faults.push(FaultSpan { from, to });
    assert_eq!(case.notified(9558), 9558 + 6000);
}
