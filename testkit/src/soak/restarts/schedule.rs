//! What happens in a soak of restarts, drawn by a seed: each process is told to stop or to reload again and again, by
//! signals in series, while hosts hang or drain and idle clients crowd a process.

use super::super::profile::{ClientMix, Deadlines, SoakProfile};
use super::super::SoakSize;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt;
use std::time::Duration;

/// How long after SIGTERM and the longest deadline a process may be killed, by the protocol.
pub const KILL_DELAY: Duration = Duration::from_millis(700);
/// How soon after SIGTERM the front may cease to send clients, and by when it has, by the protocol.
const UPSTREAM_DELAY_MILLIS: std::ops::Range<u64> = 200..400;
/// A process gets no signal so soon after its start.
const MIN_AGE_BEFORE_SIGNAL_MILLIS: u64 = 1200;
/// How much longer than that it may go on without one.
const SIGNAL_GAP_SPREAD_MILLIS: u64 = 2500;
/// Within what time the signals of a series come.
const SERIES_SPAN_MILLIS: u64 = 1000;
/// How many reloads a series has.
const RELOADS_IN_SERIES: std::ops::RangeInclusive<usize> = 2..=5;
/// What a killed process leaves time for before the next one starts.
const RESTART_DELAY_MILLIS: u64 = 100;
/// How long a fault of a host lasts: through the whole of a shutdown.
const HOST_FAULT_MILLIS: std::ops::Range<u64> = 3000..6000;
/// One host in so many hangs at times.
const HANGING_HOSTS_ONE_IN: usize = 3;
/// How long a drain lasts.
const DRAIN_MILLIS: std::ops::Range<u64> = 800..3000;
/// In one slot of so many sends are delayed at times.
const DELAYED_SLOT_ONE_IN: usize = 4;
/// For how long sends of a process are delayed.
const SEND_DELAYS_SPAN_MILLIS: u64 = 4000;
/// How long a crowd stays.
const CROWD_MILLIS: std::ops::Range<u64> = 3000..6000;
/// One soak in so many has a crowd.
const CROWD_ONE_IN: u64 = 3;
/// The descriptors of a process that a crowd comes to.
const CROWDED_SOCKETS: u64 = 192;
/// Deadlines of the users' pages, in milliseconds.
const DEADLINE_MILLIS: [u64; 5] = [300, 800, 1500, 2000, 3000];

/// How a process is told to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Termination {
    /// How long after SIGTERM the front goes on sending clients.
    pub upstream_delay: Duration,
    /// Whether its settings are reloaded right before.
    pub reload_first: bool,
    /// How long after the first a second SIGTERM comes, if one does.
    pub second_after: Option<Duration>,
}

/// What happens at a moment.
#[derive(Clone, Debug, PartialEq)]
pub enum RestartEvent {
    /// A process is told to stop, and killed at the earliest moment of the protocol.
    Terminate(usize, Termination),
    /// The next process of the slot starts.
    Restart(usize),
    /// Another process takes over from the one in this slot, which is told to stop then.
    Replace(usize, Termination),
    /// The settings of a process name the other list service.
    Reload(usize),
    /// A host answers nothing from now on, or answers again.
    HostHangs(usize, bool),
    /// A host drains, or is back.
    HostDrains(usize, bool),
    /// Sends of a process are delayed, or not any more.
    SendsDelayed(usize, bool),
    /// Idle clients fill the descriptors of a process, or leave.
    Crowd(usize, bool),
}

/// An event and its moment, from the start of the soak.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedEvent {
    /// When.
    pub at: Duration,
    /// What.
    pub event: RestartEvent,
}

/// All that happens in a soak of restarts.
#[derive(Clone, Debug, PartialEq)]
pub struct RestartSchedule {
    /// What it was drawn from.
    pub seed: u64,
    /// By class.
    pub deadlines: Deadlines,
    /// Whether idle clients crowd a process.
    pub crowded: bool,
    /// By their moment.
    pub planned: Vec<PlannedEvent>,
}

impl RestartSchedule {
    /// Draws a schedule; the same seed and size draw the same.
    pub fn draw(seed: u64, size: &SoakSize) -> RestartSchedule {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let deadlines = [0; 3].map(|_: u64| {
            Duration::from_millis(DEADLINE_MILLIS[rng.random_range(0..DEADLINE_MILLIS.len())])
        });
        let mut schedule = RestartSchedule {
            seed,
            deadlines,
            crowded: seed.is_multiple_of(CROWD_ONE_IN),
            planned: Vec::new(),
        };
        (0..size.processes).for_each(|slot| schedule.draw_signals(&mut rng, slot, size));
        (0..size.hosts).for_each(|host| schedule.draw_host_faults(&mut rng, host, size));
        schedule.draw_delays(&mut rng, size);
        if schedule.crowded {
            schedule.draw_crowd(&mut rng, size);
        }
        schedule.planned.sort_by_key(|planned| planned.at);
        schedule
    }

    /// How processes and clients are set up for it.
    pub fn profile(&self) -> SoakProfile {
        let usual = SoakProfile::default();
        SoakProfile {
            deadlines: self.deadlines,
            sockets: if self.crowded {
                CROWDED_SOCKETS
            } else {
                usual.sockets
            },
            clients: ClientMix::UntilMoved,
        }
    }

    fn add(&mut self, at_millis: u64, event: RestartEvent) {
        let at = Duration::from_millis(at_millis);
        self.planned.push(PlannedEvent { at, event });
    }

    /// How long a process lives at the most once it was told to stop.
    fn stop_millis(&self) -> u64 {
        let longest = self.profile().longest_deadline();
        (longest + KILL_DELAY).as_millis() as u64
    }

    /// The signals of one slot, from its start to the end of the soak.
    fn draw_signals(&mut self, rng: &mut ChaCha8Rng, slot: usize, size: &SoakSize) {
        let span = size.span.as_millis() as u64;
        let is_replaced = slot % 2 == 1;
        let mut at = MIN_AGE_BEFORE_SIGNAL_MILLIS + rng.random_range(0..SIGNAL_GAP_SPREAD_MILLIS);
        while at < span {
            if rng.random_range(0..3) == 0 {
                for _ in 0..rng.random_range(RELOADS_IN_SERIES) {
                    let offset = rng.random_range(0..SERIES_SPAN_MILLIS);
                    self.add(at + offset, RestartEvent::Reload(slot));
                }
                at += SERIES_SPAN_MILLIS;
            } else {
                let termination = draw_termination(rng);
                let ended = at + self.stop_millis() + RESTART_DELAY_MILLIS;
                if is_replaced {
                    self.add(at, RestartEvent::Replace(slot, termination));
                } else {
                    self.add(at, RestartEvent::Terminate(slot, termination));
                    self.add(ended, RestartEvent::Restart(slot));
                }
                at = ended;
            }
            at += MIN_AGE_BEFORE_SIGNAL_MILLIS + rng.random_range(0..SIGNAL_GAP_SPREAD_MILLIS);
        }
    }

    /// A third of the hosts hang again and again, each for longer than most shutdowns; the others drain at times.
    fn draw_host_faults(&mut self, rng: &mut ChaCha8Rng, host: usize, size: &SoakSize) {
        let span = size.span.as_millis() as u64;
        let mut at = rng.random_range(0..SIGNAL_GAP_SPREAD_MILLIS);
        while at < span {
            let (event, length): (fn(usize, bool) -> RestartEvent, u64) =
                if host < size.hosts / HANGING_HOSTS_ONE_IN {
                    (RestartEvent::HostHangs, rng.random_range(HOST_FAULT_MILLIS))
                } else {
                    (RestartEvent::HostDrains, rng.random_range(DRAIN_MILLIS))
                };
            self.add(at, event(host, true));
            self.add(at + length, event(host, false));
            at += length + rng.random_range(0..2 * SIGNAL_GAP_SPREAD_MILLIS);
        }
    }

    /// Sends of some processes are delayed at times.
    fn draw_delays(&mut self, rng: &mut ChaCha8Rng, size: &SoakSize) {
        let span = size.span.as_millis() as u64;
        for slot in (0..size.processes).step_by(DELAYED_SLOT_ONE_IN) {
            let at = rng.random_range(0..span);
            self.add(at, RestartEvent::SendsDelayed(slot, true));
            self.add(
                at + SEND_DELAYS_SPAN_MILLIS,
                RestartEvent::SendsDelayed(slot, false),
            );
        }
    }

    fn draw_crowd(&mut self, rng: &mut ChaCha8Rng, size: &SoakSize) {
        let span = size.span.as_millis() as u64;
        let mut at = 500 + rng.random_range(0..1000);
        while at < span {
            // Where each of hundreds of sends may be delayed, the delays of a turn would add up beyond what the pages allow.
            let slot = rng.random_range(0..size.processes);
            let is_delayed = slot.is_multiple_of(DELAYED_SLOT_ONE_IN);
            let slot = if is_delayed { slot + 1 } else { slot }.min(size.processes - 1);
            let length = rng.random_range(CROWD_MILLIS);
            self.add(at, RestartEvent::Crowd(slot, true));
            self.add(at + length, RestartEvent::Crowd(slot, false));
            at += length + 200;
        }
    }
}

fn draw_termination(rng: &mut ChaCha8Rng) -> Termination {
    let second = rng.random_range(0..3) == 0;
    Termination {
        upstream_delay: Duration::from_millis(rng.random_range(UPSTREAM_DELAY_MILLIS)),
        reload_first: rng.random_range(0..3) == 0,
        second_after: second.then(|| Duration::from_millis(rng.random_range(1..600))),
    }
}

impl fmt::Display for RestartSchedule {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            out,
            "  deadlines {:?}, crowded {}",
            self.deadlines, self.crowded
        )?;
        for planned in &self.planned {
            writeln!(out, "  at {} {:?}", planned.at.as_millis(), planned.event)?;
        }
        Ok(())
    }
}

#[cfg(test)]
#[path = "schedule_tests.rs"]
mod tests;
