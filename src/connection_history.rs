//! Statistics of past connections: the duration and load of each client's connections, and the time
//! that set-ups take. The module owns these means, their decay and the bounded table of clients. It
//! makes no decisions.

use crate::endpoint::HostId;
use crate::inherited_state::{ClientStatistics, InheritedState};
use crate::intervals::{
    DECAY_PER_TICK, LOOK_AHEAD_NANOS, LOOK_AHEAD_STEP, RECORD_MAX_AGE, TICK_INTERVAL,
};
use crate::settings::RequestClass;
use crate::time::{Nanos, SECOND};
use std::collections::{HashMap, VecDeque};

/// The maximum number of clients in the table.
const MAX_CLIENTS: usize = 8192;
/// The cost of a group's first connection for its host, in mean loads.
const GROUP_COST: f64 = 2.0;
/// The multiple of the mean set-up time beyond which a set-up is slow.
const SLOW_SETUP_FACTOR: f64 = 6.0;
/// The number of samples over which the moving means of the load are taken.
const MAX_LOAD_SAMPLES: u32 = 32;
/// The decayed number of ended connections above which a tick updates the mean duration.
const MIN_ENDED_CONNECTIONS: f64 = 0.1;
/// The number of samples over which the moving mean of the set-up time is taken.
const SETUP_TIME_SAMPLES: f64 = 16.0;

/// Statistics of past connections.
#[derive(Default)]
pub(crate) struct ConnectionHistory {
    clients: HashMap<u64, ClientStatistics>,
    /// Each time that a client was seen, as its key and that time, the oldest first. A key may
    /// occur more than once.
    seen_order: VecDeque<(u64, Nanos)>,
    /// The mean duration of a connection, in nanoseconds; `None` until one has ended.
    mean_duration: Option<f64>,
    /// The total time that connections were open, in nanoseconds, decayed with every tick.
    open_time: f64,
    /// The number of connections that have ended, decayed with every tick.
    ended_connections: f64,
    /// The mean load of each class; `None` where none was measured.
    class_loads: Vec<Option<f64>>,
    /// The mean load over all classes; `None` where none was measured.
    mean_load: Option<f64>,
    /// The number of measured loads in the means, up to [`MAX_LOAD_SAMPLES`].
    load_samples: u32,
    /// The mean time that a set-up takes, in nanoseconds.
    mean_setup_time: f64,
    /// The host of the first set-up in the current series of slow ones; `None` where the last
    /// set-up was not slow.
    first_slow_host: Option<HostId>,
}

impl ConnectionHistory {
    /// Creates an empty history for these classes. The mean set-up time starts at a twelfth of the
    /// shortest latency objective.
    pub fn new(classes: &[RequestClass]) -> Self {
        let shortest_objective = classes.iter().map(|class| class.latency_objective).min();
        ConnectionHistory {
            class_loads: vec![None; classes.len()],
            mean_setup_time: shortest_objective.unwrap_or(SECOND) as f64 / 12.0,
            ..ConnectionHistory::default()
        }
    }

    /// Returns how long a connection of this client is expected to last, in nanoseconds; `None`
    /// until any connection has ended.
    pub fn expected_duration(&self, key: Option<u64>, now: Nanos) -> Option<f64> {
        self.client(key, now)
            .and_then(|client| client.mean_duration)
            .or(self.mean_duration)
    }

    /// Returns how much longer a connection that has outlived its expected end is expected to last.
    pub fn expected_remaining_duration(&self) -> Nanos {
        (self.mean_duration.unwrap_or(LOOK_AHEAD_NANOS) as Nanos).max(LOOK_AHEAD_STEP)
    }

    /// Returns the load of the client's last connection. Prevents clients of high load that are
    /// migrated off one host from all being placed on the next as if they had the mean load.
    pub fn last_load(&self, key: Option<u64>, now: Nanos) -> Option<f64> {
        self.client(key, now).and_then(|client| client.last_load)
    }

    /// Returns the load to count for a connection: its own where it is known, else the mean of its
    /// class, else the mean of all classes, else 1.
    pub fn load(&self, class: usize, known: Option<f64>) -> f64 {
        known
            .or(self.class_loads[class])
            .or(self.mean_load)
            .unwrap_or(1.0)
    }

    /// Returns the mean load of a connection; 1 where none was measured.
    pub fn mean_load(&self) -> f64 {
        self.mean_load.unwrap_or(1.0)
    }

    /// Returns the cost for a host of holding any connection of a group, in the unit of loads.
    pub fn group_cost(&self) -> f64 {
        GROUP_COST * self.mean_load()
    }

    /// Returns whether the load of any connection was ever measured.
    pub fn has_measured_loads(&self) -> bool {
        self.load_samples > 0
    }

    /// Returns the time, in nanoseconds, beyond which a set-up is slow.
    pub fn slow_setup_time(&self) -> f64 {
        SLOW_SETUP_FACTOR * self.mean_setup_time
    }

    /// Returns whether the current series of slow set-ups began at another host, so that a slow one
    /// at this host may have a shared cause.
    pub fn slow_elsewhere(&self, host: HostId) -> bool {
        self.first_slow_host.is_some_and(|first| first != host)
    }

    /// Records a connection that ended in an orderly way without being migrated.
    pub fn connection_ended(&mut self, key: Option<u64>, duration: Nanos, now: Nanos) {
        let duration = duration as f64;
        self.ended_connections += 1.0;
        self.mean_duration = Some(self.open_time.max(duration) / self.ended_connections);
        let Some(key) = key else { return };
        let client = self.client_seen(key, now);
        let blended = client
            .mean_duration
            .map_or(duration, |old| old + (duration - old) / 2.0);
        client.mean_duration = Some(blended);
    }

    /// Records the load that a connection of this client had when it ended.
    pub fn final_load(&mut self, key: Option<u64>, load: f64, now: Nanos) {
        if let Some(key) = key {
            self.client_seen(key, now).last_load = Some(load);
        }
    }

    /// Records the measured load of an open connection.
    pub fn load_measured(&mut self, class: usize, load: f64) {
        // The first samples get a larger weight. Otherwise a first load far from the usual would
        // remain the estimate for dozens of connections.
        self.load_samples = (self.load_samples + 1).min(MAX_LOAD_SAMPLES);
        let samples = f64::from(self.load_samples);
        let blend =
            |old: Option<f64>| Some(old.map_or(load, |mean| mean + (load - mean) / samples));
        self.class_loads[class] = blend(self.class_loads[class]);
        self.mean_load = blend(self.mean_load);
    }

    /// Records a set-up at this host that succeeded or timed out after this time.
    pub fn setup_took(&mut self, host: HostId, took: Nanos) {
        let slow = took as f64 > self.slow_setup_time();
        self.first_slow_host = self.first_slow_host.or(Some(host)).filter(|_| slow);
        self.mean_setup_time += (took as f64 - self.mean_setup_time) / SETUP_TIME_SAMPLES;
    }

    /// Decays the sums and adds the time for which the open requests were open since the last tick.
    /// The mean duration is the total open time divided by the number of ended connections.
    /// Otherwise the first connections to end after a start, which are short, would stand for all,
    /// and the load of new ones would be counted as almost nothing.
    pub fn tick(&mut self, open_requests: f64) {
        self.open_time = DECAY_PER_TICK * self.open_time + open_requests * TICK_INTERVAL as f64;
        self.ended_connections *= DECAY_PER_TICK;
        if self.mean_duration.is_some() && self.ended_connections > MIN_ENDED_CONNECTIONS {
            self.mean_duration = Some(self.open_time / self.ended_connections);
        }
    }

    /// Sets the number of classes and clears the mean loads of the replaced ones.
    pub fn classes_changed(&mut self, count: usize, replaced: Vec<usize>) {
        self.class_loads.resize(count, None);
        for class in replaced {
            self.class_loads[class] = None;
        }
    }

    /// Returns the part of the state that a successor inherits from this history.
    pub fn export(&self) -> InheritedState {
        let last_entry = |&(key, seen): &(u64, Nanos)| {
            let client = self.clients.get(&key)?;
            (client.last_seen == seen).then_some((key, *client))
        };
        InheritedState {
            clients: self.seen_order.iter().filter_map(last_entry).collect(),
            mean_duration: self.mean_duration,
            open_time: self.open_time,
            ended_connections: self.ended_connections,
            class_loads: self.class_loads.clone(),
            mean_load: self.mean_load,
            load_samples: self.load_samples,
            mean_setup_time: self.mean_setup_time,
            ..InheritedState::default()
        }
    }

    /// Replaces the statistics by those of the predecessor.
    pub fn inherit(&mut self, state: InheritedState) {
        self.seen_order = state
            .clients
            .iter()
            .take(MAX_CLIENTS)
            .map(|(key, client)| (*key, client.last_seen))
            .collect();
        self.clients = state.clients.into_iter().take(MAX_CLIENTS).collect();
        self.mean_duration = state.mean_duration;
        self.open_time = state.open_time;
        self.ended_connections = state.ended_connections;
        self.mean_load = state.mean_load;
        self.load_samples = state.load_samples;
        self.mean_setup_time = state.mean_setup_time;
        for (own, inherited) in self.class_loads.iter_mut().zip(state.class_loads) {
            *own = inherited;
        }
    }

    fn client(&self, key: Option<u64>, now: Nanos) -> Option<&ClientStatistics> {
        key.and_then(|key| self.clients.get(&key))
            .filter(|client| now < client.last_seen + RECORD_MAX_AGE)
    }

    /// Returns the entry of a client that has just been seen, adding it where there is none.
    /// Removes the least recently seen clients beyond [`MAX_CLIENTS`].
    fn client_seen(&mut self, key: u64, now: Nanos) -> &mut ClientStatistics {
        self.seen_order.push_back((key, now));
        while self.seen_order.len() > MAX_CLIENTS {
            let Some((oldest, seen)) = self.seen_order.pop_front() else {
                break;
            };
            let client = self.clients.get(&oldest);
            if client.is_some_and(|client| client.last_seen == seen) {
                self.clients.remove(&oldest);
            }
        }
        let client = self.clients.entry(key).or_default();
        client.last_seen = now;
        client
    }
}
