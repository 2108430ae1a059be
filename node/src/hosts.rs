//! The hosts as the node reaches them: one record each, with the address that this node's roll gives,
//! since when it is told to be leaving, and how long messages take there. It must never judge a host:
//! it tells the module what it measured, and no more often than that asks for.

use crate::lines;
use crate::list::{List, Member};
use reedferry::{Event, HostId, Listing, Nanos, RollKind, Standing, SECOND};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

pub struct Berth {
    pub name: String,
    pub id: HostId,
    pub address: Option<SocketAddr>,
    pub left_since: Option<Nanos>,
    /// Message times since the last look, the shortest ever, and whether the module was told of long ones.
    times: Vec<Nanos>,
    shortest: Nanos,
    told_long: bool,
}

#[derive(Default)]
pub struct Hosts {
    all: Vec<Berth>,
    by_id: HashMap<HostId, usize>,
    zones: Vec<String>,
    /// Message time from which the module is told.
    long: Nanos,
}

/// Samples kept a host between two looks.
const MOST_TIMES: usize = 64;

impl Hosts {
    pub fn new(zones: Vec<String>, shortest_message_time: Nanos) -> Self {
        Hosts { zones, long: shortest_message_time / 3, ..Hosts::default() }
    }

    pub fn count(&self) -> usize {
        self.all.len()
    }

    pub fn index(&self, id: HostId) -> Option<usize> {
        self.by_id.get(&id).copied()
    }

    pub fn named(&self, name: &str) -> Option<usize> {
        self.index(HostId(lines::hash(name)))
    }

    pub fn berth(&self, host: usize) -> &Berth {
        &self.all[host]
    }

    /// Takes a list in, and gives what the module is to be told.
    pub fn told(&mut self, now: Nanos, list: List, cached: bool) -> Event {
        let kind = match (cached, list.complete) {
            (true, _) => RollKind::Cached,
            (_, true) => RollKind::Full,
            _ => RollKind::Changes,
        };
        if list.complete {
            let named: HashSet<HostId> = list.members.iter().map(|m| HostId(lines::hash(&m.name))).collect();
            for berth in self.all.iter_mut().filter(|b| !named.contains(&b.id)) {
                berth.left_since.get_or_insert(now);
            }
        }
        let hosts = list.members.into_iter().map(|m| self.listed(now, m)).collect();
        Event::Roll { kind, hosts }
    }

    fn listed(&mut self, now: Nanos, member: Member) -> Listing {
        let id = HostId(lines::hash(&member.name));
        let host = *self.by_id.entry(id).or_insert_with(|| {
            self.all.push(Berth {
                name: member.name,
                id,
                address: None,
                left_since: None,
                times: Vec::new(),
                shortest: Nanos::MAX,
                told_long: false,
            });
            self.all.len() - 1
        });
        let berth = &mut self.all[host];
        berth.address = member.address.or(berth.address);
        match member.standing {
            Standing::Ready => berth.left_since = None,
            _ => _ = berth.left_since.get_or_insert(now),
        }
        let zone = self.zones.iter().position(|z| *z == member.zone);
        let zone = zone.or_else(|| member.zone.parse().ok()).unwrap_or(usize::from(u16::MAX));
        Listing {
            id,
            zone: zone as u16,
            cell: member.cell,
            standing: member.standing,
            size: member.size,
            started: member.started,
        }
    }

    /// A message was answered within `time`.
    pub fn answered(&mut self, host: usize, time: Nanos) {
        let berth = &mut self.all[host];
        berth.shortest = berth.shortest.min(time);
        if berth.times.len() < MOST_TIMES {
            berth.times.push(time);
        }
    }

    /// A message has gone unanswered for `time` so far.
    pub fn unanswered(&mut self, host: usize, time: Nanos) {
        if time > self.long {
            let berth = &mut self.all[host];
            if berth.times.len() < MOST_TIMES {
                berth.times.push(time);
            }
        }
    }

    /// Tells what messages take at each host, once a second: the middle of what was measured, without
    /// the way there and back, while that is long, and once more when it is not.
    pub fn look(&mut self, events: &mut Vec<Event>) {
        for berth in self.all.iter_mut().filter(|b| !b.times.is_empty()) {
            let middle = berth.times.len() / 2;
            let (_, &mut time, _) = berth.times.select_nth_unstable(middle);
            berth.times.clear();
            let way = if berth.shortest > SECOND { 0 } else { berth.shortest };
            let time = time.saturating_sub(way);
            let long = time > self.long;
            if long || berth.told_long {
                events.push(Event::MessageTime { host: berth.id, time });
            }
            berth.told_long = long;
        }
    }
}
