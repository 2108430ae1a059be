//! What past connections have shown: how long each client's last, their load, and how long set-ups
//! take. It owns these means, their fading, and the table of clients with its bound. It must never
//! decide anything.

use crate::endpoint::HostId;
use crate::inherited_state::{ClientStatistics, InheritedState};
use crate::intervals::{
    FADE_PER_TICK, LOOK_AHEAD_NANOS, LOOK_AHEAD_STEP, RECORD_MAX_AGE, TICK_INTERVAL,
};
use crate::settings::RequestClass;
use crate::time::{Nanos, SECOND};
use std::collections::{HashMap, VecDeque};

/// How many clients are remembered.
const MAX_CLIENTS: usize = 8192;
/// What a host's first connection of a group costs it, in mean loads.
const GROUP_COST: f64 = 2.0;
/// How many times the mean set-up time makes a set-up slow.
const SLOW_SETUP_FACTOR: f64 = 6.0;
/// How many measured loads a mean is blended over.
const MAX_LOAD_SAMPLES: u32 = 32;
/// How many ended connections there must have been for the mean duration to follow them.
const MIN_ENDED_CONNECTIONS: f64 = 0.1;
/// How many set-up times the mean is blended over.
const SETUP_TIME_SAMPLES: f64 = 16.0;

/// Statistics of past connections.
#[derive(Default)]
pub(crate) struct ConnectionHistory {
    clients: HashMap<u64, ClientStatistics>,
    /// Keys in the order in which they were seen, and when; a key stands here once for each time.
    seen_order: VecDeque<(u64, Nanos)>,
    /// How long connections last.
    mean_duration: Option<f64>,
    /// The time that connections have recently been open, and how many have ended.
    open_time: f64,
    ended_connections: f64,
    class_loads: Vec<Option<f64>>,
    mean_load: Option<f64>,
    /// How many measured loads are blended in the means, up to [`MAX_LOAD_SAMPLES`].
    load_samples: u32,
    mean_setup_time: f64,
    /// The first host of those whose set-ups have been slow since one was not.
    first_slow_host: Option<HostId>,
}

impl ConnectionHistory {
    /// An empty history for these classes.
    pub fn new(classes: &[RequestClass]) -> Self {
        let shortest_objective = classes.iter().map(|class| class.latency_objective).min();
        ConnectionHistory {
            class_loads: vec![None; classes.len()],
            mean_setup_time: shortest_objective.unwrap_or(SECOND) as f64 / 12.0,
            ..ConnectionHistory::default()
        }
    }

    /// How long a connection of this client is expected to last, in nanoseconds.
    pub fn expected_duration(&self, key: Option<u64>, now: Nanos) -> Option<f64> {
        self.client(key, now)
            .and_then(|client| client.mean_duration)
            .or(self.mean_duration)
    }

    /// How long a connection that has outlived its prediction is expected to go on.
    pub fn expected_remaining_duration(&self) -> Nanos {
        (self.mean_duration.unwrap_or(LOOK_AHEAD_NANOS) as Nanos).max(LOOK_AHEAD_STEP)
    }

    /// The load of the client's last connection. Prevents heavy clients that one host migrates from
    /// all being placed at the next one as if they were like the rest.
    pub fn last_load(&self, key: Option<u64>, now: Nanos) -> Option<f64> {
        self.client(key, now).and_then(|client| client.last_load)
    }

    /// The load to count for a connection: its own where it is known, else the mean of its class,
    /// else of all.
    pub fn load(&self, class: usize, known: Option<f64>) -> f64 {
        known
            .or(self.class_loads[class])
            .or(self.mean_load)
            .unwrap_or(1.0)
    }

    /// The mean load of a connection.
    pub fn mean_load(&self) -> f64 {
        self.mean_load.unwrap_or(1.0)
    }

    /// What holding any connection of a group costs a host, in the unit of loads.
    pub fn group_cost(&self) -> f64 {
        GROUP_COST * self.mean_load()
    }

    /// Whether any load of a connection was ever measured.
    pub fn has_measured_loads(&self) -> bool {
        self.load_samples > 0
    }

    /// The set-up time, in nanoseconds, beyond which a set-up is slow.
    pub fn slow_setup_time(&self) -> f64 {
        SLOW_SETUP_FACTOR * self.mean_setup_time
    }

    /// Whether set-ups at another host have been slow since one last was not.
    pub fn slow_elsewhere(&self, host: HostId) -> bool {
        self.first_slow_host.is_some_and(|first| first != host)
    }

    /// A connection has ended by itself.
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

    /// A connection of this client is over at its host, and had this load.
    pub fn final_load(&mut self, key: Option<u64>, load: f64, now: Nanos) {
        if let Some(key) = key {
            self.client_seen(key, now).last_load = Some(load);
        }
    }

    /// The load of an open connection was measured.
    pub fn load_measured(&mut self, class: usize, load: f64) {
        // Blending from the first sample on: without this, a first load far from the usual would be
        // every guess for dozens to come.
        self.load_samples = (self.load_samples + 1).min(MAX_LOAD_SAMPLES);
        let samples = f64::from(self.load_samples);
        let blend =
            |old: Option<f64>| Some(old.map_or(load, |mean| mean + (load - mean) / samples));
        self.class_loads[class] = blend(self.class_loads[class]);
        self.mean_load = blend(self.mean_load);
    }

    /// A set-up at this host took so long, or timed out after that time.
    pub fn setup_took(&mut self, host: HostId, took: Nanos) {
        let slow = took as f64 > self.slow_setup_time();
        self.first_slow_host = self.first_slow_host.or(Some(host)).filter(|_| slow);
        self.mean_setup_time += (took as f64 - self.mean_setup_time) / SETUP_TIME_SAMPLES;
    }

    /// A tick with so many open requests. The mean duration is the time open at all over the
    /// connections ended: the few that end soon after a start are not taken for all, and what is
    /// placed then does not count as next to nothing.
    pub fn tick(&mut self, open_requests: f64) {
        self.open_time = FADE_PER_TICK * self.open_time + open_requests * TICK_INTERVAL as f64;
        self.ended_connections *= FADE_PER_TICK;
        if self.mean_duration.is_some() && self.ended_connections > MIN_ENDED_CONNECTIONS {
            self.mean_duration = Some(self.open_time / self.ended_connections);
        }
    }

    /// There are so many classes now, and these replace others.
    pub fn classes_changed(&mut self, count: usize, replaced: Vec<usize>) {
        self.class_loads.resize(count, None);
        for class in replaced {
            self.class_loads[class] = None;
        }
    }

    /// What a successor is to know of this history.
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

    /// Takes over what the previous process has learned.
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

    /// The entry of a client that has just been seen; the least recently seen make room.
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
