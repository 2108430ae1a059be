//! What past connections have shown: how long each client's last, what they weigh, how long set-ups take.
//! It owns those means and their fading, and the table of clients with its bound. It must never decide
//! anything: the module asks it and judges.

use crate::records::{Ledger, Note, FADE, GROUP_PRICE, HORIZON, PULSE, STEP, TABLE_AGE};
use crate::*;

const TABLE_SIZE: usize = 8192;

impl Ledger {
    pub(crate) fn length(&self, key: Option<u64>, now: Nanos) -> Option<f64> {
        self.client(key, now)
            .and_then(|client| client.mean_duration)
            .or(self.mean)
    }

    fn client(&self, key: Option<u64>, now: Nanos) -> Option<&ClientStatistics> {
        key.and_then(|k| self.clients.get(&k))
            .filter(|client| now < client.last_seen + TABLE_AGE)
    }

    /// What the client's last connection weighed. Guards: heavy clients that a host sends away, all placed at the
    /// next one as if they were like the rest.
    pub(crate) fn last_load(&self, key: Option<u64>, now: Nanos) -> Option<f64> {
        self.client(key, now).and_then(|client| client.last_load)
    }

    /// The entry of a client that has just been seen, the oldest one's place where all are taken.
    fn seen(&mut self, key: u64, now: Nanos) -> &mut ClientStatistics {
        self.order.push_back((key, now));
        while self.order.len() > TABLE_SIZE {
            let Some((old, seen)) = self.order.pop_front() else {
                break;
            };
            if self
                .clients
                .get(&old)
                .is_some_and(|client| client.last_seen == seen)
            {
                self.clients.remove(&old);
            }
        }
        let client = self.clients.entry(key).or_default();
        client.last_seen = now;
        client
    }

    pub(crate) fn mean_length(&self) -> Nanos {
        (self.mean.unwrap_or(HORIZON) as Nanos).max(STEP)
    }

    /// What a host pays for holding any of a group, in the unit of loads.
    pub(crate) fn group_price(&self) -> f64 {
        GROUP_PRICE * self.unit.unwrap_or(1.0)
    }

    pub(crate) fn load(&self, class: usize, known: Option<f64>) -> f64 {
        known.or(self.usual[class]).or(self.unit).unwrap_or(1.0)
    }

    /// What it has learned, for the process that takes this one's place: of the clients seen last.
    pub(crate) fn leave(&self) -> InheritedState {
        let seen = |&(key, seen): &(u64, Nanos)| {
            let client = self
                .clients
                .get(&key)
                .filter(|client| client.last_seen == seen)?;
            Some((key, *client))
        };
        InheritedState {
            clients: self.order.iter().filter_map(seen).collect(),
            mean_duration: self.mean,
            open_time: self.lived,
            ended_connections: self.ended,
            class_loads: self.usual.clone(),
            mean_load: self.unit,
            load_samples: self.weighed,
            mean_setup_time: self.set_up,
            ..InheritedState::default()
        }
    }

    fn inherit(&mut self, of: InheritedState) {
        self.order = of
            .clients
            .iter()
            .take(TABLE_SIZE)
            .map(|(key, client)| (*key, client.last_seen))
            .collect();
        self.clients = of.clients.into_iter().take(TABLE_SIZE).collect();
        (self.mean, self.lived, self.ended) =
            (of.mean_duration, of.open_time, of.ended_connections);
        (self.unit, self.weighed, self.set_up) =
            (of.mean_load, of.load_samples, of.mean_setup_time);
        self.usual
            .iter_mut()
            .zip(of.class_loads)
            .for_each(|(mine, theirs)| *mine = theirs);
    }

    pub(crate) fn read(&mut self, note: Note, now: Nanos) {
        match note {
            Note::Lived { key, length } => {
                let length = length as f64;
                self.ended += 1.0;
                self.mean = Some(self.lived.max(length) / self.ended);
                let Some(key) = key else { return };
                let client = self.seen(key, now);
                client.mean_duration = Some(
                    client
                        .mean_duration
                        .map_or(length, |old| old + (length - old) / 2.0),
                );
            }
            Note::Bore {
                key: Some(key),
                load,
            } => self.seen(key, now).last_load = Some(load),
            Note::Weighed { class, load } => {
                // Guards: a first load far from the usual, and every guess by it for dozens to come.
                self.weighed = (self.weighed + 1).min(32);
                let blend = |old: Option<f64>, n: u32| {
                    Some(old.map_or(load, |m| m + (load - m) / f64::from(n)))
                };
                self.usual[class] = blend(self.usual[class], self.weighed);
                self.unit = blend(self.unit, self.weighed);
            }
            // The time lived at all over the connections ended. Guards: the few that end soon after a start
            // taken for all, and what is placed then counted as next to nothing in own loads.
            Note::Open(count) => {
                (self.lived, self.ended) =
                    (FADE * self.lived + count * PULSE as f64, FADE * self.ended);
                self.mean = self.mean.map(|m| {
                    if self.ended > 0.1 {
                        self.lived / self.ended
                    } else {
                        m
                    }
                });
            }
            Note::SetUp(host, took) => {
                let long = took as f64 > 6.0 * self.set_up;
                self.long = self.long.or(Some(host)).filter(|_| long);
                self.set_up += (took as f64 - self.set_up) / 16.0;
            }
            Note::Offers(count, others) => {
                self.usual.resize(count, None);
                others.into_iter().for_each(|n| self.usual[n] = None);
            }
            Note::Inherited(legacy) => self.inherit(*legacy),
            _ => {}
        }
    }
}
