//! The schedule of a soak of restarts, drawn from a seed. Each process is repeatedly told to stop or to reload, by
//! signals in series, while hosts hang or drain and idle clients use up the descriptors of a process.

use super::super::profile::{ClientMix, Deadlines, SoakProfile};
use super::super::SoakSize;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt;
use std::time::Duration;

/// How long after SIGTERM plus the longest deadline the protocol permits to kill a process.
pub const KILL_DELAY: Duration = Duration::from_millis(700);
/// How long after SIGTERM the upstream load balancer stops sending clients, in milliseconds. The protocol sets these
/// limits.
const UPSTREAM_DELAY_MILLIS: std::ops::Range<u64> = 200..400;
/// The least time between the start of a process and a signal to it, in milliseconds.
const MIN_AGE_BEFORE_SIGNAL_MILLIS: u64 = 1200;
/// How much longer than that a process may run without a signal, in milliseconds, exclusive.
const SIGNAL_GAP_SPREAD_MILLIS: u64 = 2500;
/// The time within which all signals of a series come, in milliseconds.
const SERIES_SPAN_MILLIS: u64 = 1000;
/// The number of reloads in a series.
const RELOADS_IN_SERIES: std::ops::RangeInclusive<usize> = 2..=5;
/// The pause between the latest kill of a process and the start of the next one, in milliseconds.
const RESTART_DELAY_MILLIS: u64 = 100;
/// How long a host hangs, in milliseconds. Longer than most shutdowns.
const HOST_FAULT_MILLIS: std::ops::Range<u64> = 3000..6000;
/// One host in this many hangs at times. The others drain.
const HANGING_HOSTS_ONE_IN: usize = 3;
/// How long a drain lasts, in milliseconds.
const DRAIN_MILLIS: std::ops::Range<u64> = 800..3000;
/// In one slot out of this many, sends are delayed at times.
const DELAYED_SLOT_ONE_IN: usize = 4;
/// How long sends of a process are delayed at a time, in milliseconds.
const SEND_DELAYS_SPAN_MILLIS: u64 = 4000;
/// How long a crowd stays, in milliseconds.
const CROWD_MILLIS: std::ops::Range<u64> = 3000..6000;
/// Crowds come in soaks whose seed is a multiple of this.
const CROWD_ONE_IN: u64 = 3;
/// The maximum number of sockets of a process in a soak with crowds.
const CROWDED_SOCKETS: u64 = 192;
/// The documented deadlines, in milliseconds.
const DEADLINE_MILLIS: [u64; 5] = [300, 800, 1500, 2000, 3000];

/// How a process is told to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Termination {
    /// How long after SIGTERM the upstream load balancer keeps sending clients.
    pub upstream_delay: Duration,
    /// Whether the settings are reloaded right before.
    pub reload_first: bool,
    /// How long after the first SIGTERM a second one comes; `None` if only one is sent.
    pub second_after: Option<Duration>,
}

/// An event at a slot or at a host, which its number identifies. A flag says whether a fault begins or ends.
#[derive(Clone, Debug, PartialEq)]
pub enum RestartEvent {
    /// A process is told to stop, and killed at the earliest moment that the protocol permits.
    Terminate(usize, Termination),
    /// The next process of the slot starts.
    Restart(usize),
    /// Another process takes over from the one in this slot, which is then told to stop and killed as by `Terminate`.
    Replace(usize, Termination),
    /// The settings of a process are reloaded and name the other list service.
    Reload(usize),
    /// A host stops answering, or answers again.
    HostHangs(usize, bool),
    /// A host drains, or is active again.
    HostDrains(usize, bool),
    /// Some sends of a process are delayed from now on, or no longer.
    SendsDelayed(usize, bool),
    /// A crowd of idle clients uses up the descriptors of a process, or leaves.
    Crowd(usize, bool),
}

/// An event and the time at which it happens.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedEvent {
    /// The time of the event from the start of the soak.
    pub at: Duration,
    /// The event.
    pub event: RestartEvent,
}

/// All events of a soak of restarts.
#[derive(Clone, Debug, PartialEq)]
pub struct RestartSchedule {
    /// The seed from which the schedule was drawn.
    pub seed: u64,
    /// The request deadline of each class.
    pub deadlines: Deadlines,
    /// Whether crowds of idle clients come.
    pub crowded: bool,
    /// The events in the order of their times.
    pub planned: Vec<PlannedEvent>,
}

impl RestartSchedule {
    /// Draws a schedule. The same seed and size draw the same schedule.
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

    /// Returns how processes are configured and how clients behave under this schedule.
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

    /// Returns the longest time that a process lives after it was told to stop, in milliseconds.
    fn stop_millis(&self) -> u64 {
        let longest = self.profile().longest_deadline();
        (longest + KILL_DELAY).as_millis() as u64
    }

    /// Draws the signals to one slot, from its start to the end of the soak.
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

    /// Draws the faults of a host. A third of the hosts hang repeatedly, each time for longer than most shutdowns;
    /// the others drain at times.
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

    /// Draws when sends of some processes are delayed.
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
            // A crowd causes hundreds of sends in one turn. Were some of them delayed, the delays would add up beyond
            // the documented 0.15 s, so crowds avoid slots with delayed sends.
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
