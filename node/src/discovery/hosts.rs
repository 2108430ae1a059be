//! The hosts as the node reaches them: one record each, with the address that this node's roll gives,
//! since when it is told to be leaving, and how long messages take there. It must never judge a host:
//! it tells the module what it measured, and no more often than that asks for.

use crate::connections::protocol;
use crate::discovery::list::{List, Member};
use crate::discovery::starts::{self, Learned};
use crate::stalls::Stalls;
use reedferry::{Endpoint, EndpointUpdate, Event, HostId, HostState, Nanos, MILLI, SECOND};
use reedferry_control_plane::HostEntry;
use slog::{info, Logger};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

pub struct HostRecord {
    pub name: String,
    pub id: HostId,
    pub address: Option<SocketAddr>,
    pub left_since: Option<Nanos>,
    /// When the list last put it into another group, and at another address.
    pub regrouped: Option<Nanos>,
    pub readdressed: Option<Nanos>,
    /// What the list says of it, and what it said last of one that is gone.
    said: Option<Member>,
    was: Option<Member>,
    /// Held by every connection that knows this record by its index.
    pub lease: Rc<()>,
    /// Message times since the last second's look, and the shortest ever: the way there and back.
    times: Vec<Nanos>,
    shortest: Nanos,
    /// The last line answered: when it went and how long it took.
    latest: Option<(Nanos, Nanos)>,
    /// When the last line went that was answered in good time, and the oldest that is not answered.
    well: Nanos,
    oldest: Option<Nanos>,
    waiting: u32,
    /// Whether the module was last told of long times, and when the last second's look was.
    told_long: bool,
    told_hung: bool,
    looked: Nanos,
}

impl HostRecord {
    fn new(name: String, id: HostId, now: Nanos) -> Self {
        HostRecord {
            name,
            id,
            address: None,
            left_since: None,
            regrouped: None,
            readdressed: None,
            said: None,
            was: None,
            lease: Rc::new(()),
            times: Vec::new(),
            shortest: Nanos::MAX,
            latest: None,
            well: now,
            oldest: None,
            waiting: 0,
            told_long: false,
            told_hung: false,
            looked: now,
        }
    }

    /// The time beyond which a line waits not for a mere pause of its host but for work piled up.
    const SURE: Nanos = 150 * MILLI;
    /// The time after which a host that answers none of several lines is taken to answer none at all, and
    /// what is then told at the least: so much that a good part is moved, not so much that all is at once.
    const HUNG: Nanos = 400 * MILLI;
    const HUNG_TELLS: Nanos = SECOND;
    /// What a second adds to the message time at the most.
    const STEEPEST: f64 = 4.0;

    /// How long a single line may wait before it tells anything of its host.
    const ALONE: Nanos = 2500 * MILLI;

    /// Whether a line that went later than `then` has been answered.
    fn answered_since(&self, then: Nanos) -> bool {
        self.latest.is_some_and(|(sent, _)| sent > then)
    }

    /// How long a line sent now would take where work has begun to pile up since the last line that was
    /// answered in good time. Guards: a jam told by the age of what waits in it, which is a fraction of it.
    fn piled_up(&self, now: Nanos) -> Nanos {
        let since = |then: Nanos| now.saturating_sub(then) as f64;
        let steep = |(sent, time): (Nanos, Nanos)| {
            time as f64 / sent.saturating_sub(self.well).max(1) as f64
        };
        let waiting = self.oldest.filter(|&then| !self.answered_since(then));
        let waiting = waiting.map(|then| (then, now.saturating_sub(then)));
        let risen = waiting
            .into_iter()
            .chain(self.latest)
            .filter(|(sent, _)| *sent > self.well);
        let steepest = risen.map(steep).fold(0.0, f64::max);
        (steepest.min(Self::STEEPEST) * since(self.well)) as Nanos
    }

    /// What a message takes here now, as far as it can be seen, where a second's look is due or work has
    /// just begun to pile up.
    fn look(&mut self, now: Nanos, long: Nanos) -> Option<Nanos> {
        // Guards: a host that answers all its other lines, cut down over one connection that fell silent.
        let alone = |then: Nanos| {
            self.answered_since(then) || self.waiting == 1 && now < then.saturating_add(Self::ALONE)
        };
        let stuck = self.oldest.filter(|&then| !alone(then));
        let age = stuck.map_or(0, |then| now.saturating_sub(then));
        let last = self
            .latest
            .filter(|(sent, time)| sent + time + SECOND / 2 > now)
            .map_or(0, |(_, t)| t);
        // What waits may be paused or hung: it is given more time than what was answered late.
        let worst = last.max(if age > Self::HUNG { age } else { 0 });
        let answers = self
            .latest
            .is_some_and(|(sent, time)| sent + time + age > now);
        let hung = age > Self::HUNG && self.waiting > 1 && !answers;
        let time = if hung && !self.told_hung {
            worst.max(Self::HUNG_TELLS)
        } else if worst > Self::SURE && !self.told_long {
            self.piled_up(now).max(worst)
        } else if now < self.looked + SECOND {
            return None;
        } else if worst > Self::SURE {
            worst.max(if hung { 2 * Self::HUNG_TELLS } else { 0 })
        } else if self.times.is_empty() {
            self.looked = now;
            return None;
        } else {
            let middle = self.times.len() / 2;
            *self.times.select_nth_unstable(middle).1
        };
        self.looked = now;
        self.times.clear();
        let time = time.saturating_sub(if self.shortest > SECOND {
            0
        } else {
            self.shortest
        });
        let tell = time > long || self.told_long;
        (self.told_long, self.told_hung) = (time > long, hung);
        tell.then_some(time)
    }
}

/// Where a list comes from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Source {
    /// It was kept by this process or another, or given at the start.
    Kept,
    /// The list service has just told it; from when it counts as told.
    Told {
        learned: Learned,
        counts_from: Nanos,
    },
}

impl Source {
    fn learned(self) -> Learned {
        match self {
            Source::Kept => Learned::WithWholeList,
            Source::Told { learned, .. } => learned,
        }
    }

    fn counts_from(self, now: Nanos) -> Nanos {
        match self {
            Source::Kept => now,
            Source::Told { counts_from, .. } => counts_from,
        }
    }
}

#[derive(Default)]
pub struct Hosts {
    all: Vec<HostRecord>,
    by_id: HashMap<HostId, usize>,
    /// The zones of the settings, and places for those that lists alone name, from the last down.
    zones: Vec<String>,
    others: HashMap<String, u16>,
    /// Grows with every list.
    pub lists: u64,
    /// When this process could not see what hosts did.
    pub stalls: Stalls,
    /// Message time from which the module is told.
    long: Nanos,
}

/// How far the lines of one list have been taken in.
#[derive(Default)]
struct Progress {
    /// No record before this one serves again.
    searched: usize,
    /// Hosts named for the first time.
    named: usize,
}

/// How long the record of a host that is gone is kept.
const KEPT: Nanos = 3600 * SECOND;
/// Zones that lists alone name and that are told apart; as many places are left to the settings.
const MOST_ZONES: usize = 1 << 15;
/// Hosts of one list that are logged one by one. Guards: a log that drops what is said next, as thousands are named at once.
const MOST_NAMED: usize = 64;
/// Samples kept a host between two looks.
const MOST_TIMES: usize = 64;

impl Hosts {
    pub fn new(zones: Vec<String>, shortest_message_latency_objective: Nanos) -> Self {
        Hosts {
            zones,
            long: shortest_message_latency_objective / 3,
            ..Hosts::default()
        }
    }

    /// Goes by other names of zones, and another time from which the module is told.
    pub fn renew(&mut self, zones: Vec<String>, shortest_message_latency_objective: Nanos) {
        (self.zones, self.long) = (zones, shortest_message_latency_objective / 3);
    }

    pub fn count(&self) -> usize {
        self.all.len()
    }

    pub fn ids(&self) -> impl Iterator<Item = u64> + '_ {
        self.all
            .iter()
            .filter(|record| record.said.is_some())
            .map(|record| record.id.0)
    }

    pub fn index(&self, id: HostId) -> Option<usize> {
        self.by_id.get(&id).copied()
    }

    pub fn record(&self, host: usize) -> &HostRecord {
        &self.all[host]
    }

    /// Has a list that is older than what was told here keep the drains that were: a host that has not started anew
    /// since drains on. Gives how many that are.
    pub fn keep_drains(&self, list: &mut List) -> usize {
        let mut kept = 0;
        for member in list
            .members
            .iter_mut()
            .filter(|m| m.standing == HostState::Ready)
        {
            let host = self.index(HostId(protocol::keys::fnv1a(&member.name)));
            let said = host.and_then(|host| self.all[host].said.as_ref());
            if said
                .is_some_and(|s| s.standing == HostState::Draining && s.started == member.started)
            {
                member.standing = HostState::Draining;
                kept += 1;
            }
        }
        kept
    }

    /// Takes a list in, and gives what the module is to be told.
    pub fn told(&mut self, now: Nanos, list: List, source: Source, log: &Logger) -> Event {
        let kind = match (source, list.complete) {
            (Source::Kept, _) => EndpointUpdate::Cached,
            (_, true) => EndpointUpdate::Full,
            _ => EndpointUpdate::Delta,
        };
        if list.complete {
            let named: HashSet<HostId> = list
                .members
                .iter()
                .map(|m| HostId(protocol::keys::fnv1a(&m.name)))
                .collect();
            for record in self.all.iter_mut().filter(|b| !named.contains(&b.id)) {
                record.left_since.get_or_insert(source.counts_from(now));
                record.was = record.said.take().or(record.was.take());
            }
        }
        self.lists += 1;
        let mut progress = Progress::default();
        let hosts = list
            .members
            .into_iter()
            .map(|m| self.listed((now, source), m, &mut progress, log))
            .collect();
        if progress.named > MOST_NAMED {
            info!(log, "more hosts listed"; "count" => progress.named - MOST_NAMED);
        }
        Event::EndpointsUpdated {
            kind,
            endpoints: hosts,
        }
    }

    /// Takes in what a planner says of one host. One that goes by another name than its own is none.
    pub fn heard(&mut self, now: Nanos, line: HostEntry, log: &Logger) {
        let id = HostId(line.id);
        if let Some(host) = self.index(id).filter(|_| line.name.is_empty()) {
            _ = self.all[host].left_since.get_or_insert(now);
        } else if HostId(protocol::keys::fnv1a(&line.name)) == id {
            let (name, address, standing) = (line.name, line.address, line.stands.into());
            let (zone, size) = (String::new(), 1.0);
            self.listed(
                (now, Source::Kept),
                Member {
                    name,
                    address,
                    zone,
                    cell: 0,
                    standing,
                    size,
                    started: None,
                    believed: Some(None),
                },
                &mut Progress::default(),
                log,
            );
        }
    }

    fn put(&mut self, place: usize, fresh: HostRecord) {
        self.by_id.insert(fresh.id, place);
        match self.all.get_mut(place) {
            Some(old) => _ = self.by_id.remove(&std::mem::replace(old, fresh).id),
            None => self.all.push(fresh),
        }
    }

    /// The host of this name, listed or not, for a connection that stands there.
    pub fn adopt(&mut self, now: Nanos, name: &str) -> usize {
        let id = HostId(protocol::keys::fnv1a(name));
        self.index(id).unwrap_or_else(|| {
            let record = HostRecord {
                left_since: Some(now),
                ..HostRecord::new(name.to_string(), id, now)
            };
            self.put(self.all.len(), record);
            self.all.len() - 1
        })
    }

    /// What the list says of the hosts that it names.
    pub fn members(&self) -> Vec<Member> {
        self.all
            .iter()
            .filter_map(|record| record.said.clone())
            .collect()
    }

    /// What it said last of those that are gone, and known still.
    pub fn former(&self) -> Vec<Member> {
        let former = |was: &Member| Member {
            standing: HostState::Gone,
            ..was.clone()
        };
        self.all
            .iter()
            .filter_map(|record| record.was.as_ref().map(former))
            .collect()
    }

    /// The place of a zone: by the settings, by its number where these name none, or one of its own. Guards: two zones that
    /// the settings do not name taken for one, and a repeat sent out of the zone that drops it.
    fn zone(&mut self, name: &str) -> u16 {
        let number = || {
            name.parse()
                .ok()
                .filter(|n| self.zones.is_empty() && *n < MOST_ZONES)
        };
        if let Some(place) = self
            .zones
            .iter()
            .position(|zone| zone == name)
            .or_else(number)
        {
            return place as u16;
        }
        let next = u16::MAX - self.others.len().min(MOST_ZONES - 1) as u16;
        match self.others.get(name) {
            Some(place) => *place,
            None if self.others.len() < MOST_ZONES => {
                *self.others.entry(name.to_string()).or_insert(next)
            }
            None => next,
        }
    }

    /// One line of a list.
    fn listed(
        &mut self,
        (now, source): (Nanos, Source),
        member: Member,
        progress: &mut Progress,
        log: &Logger,
    ) -> Endpoint {
        let id = HostId(protocol::keys::fnv1a(&member.name));
        let host = self.index(id).unwrap_or_else(|| {
            // The record of a host long gone serves again: a node runs for months.
            let old = |b: &HostRecord| {
                b.left_since.is_some_and(|t| now > t + KEPT) && Rc::strong_count(&b.lease) == 1
            };
            let spare = self.all.iter().skip(progress.searched).position(old);
            let spare = spare.map_or(self.all.len(), |n| progress.searched + n);
            progress.searched = spare;
            progress.named += 1;
            if progress.named <= MOST_NAMED {
                info!(log, "host listed"; "name" => &member.name, "hash" => format!("{:x}", id.0));
            }
            self.put(spare, HostRecord::new(member.name.clone(), id, now));
            spare
        });
        let record = &mut self.all[host];
        let address = member.address.or(record.address);
        if record.address.is_some() && record.address != address {
            record.readdressed = Some(now);
        }
        record.address = address;
        let before = record.said.take().or(record.was.take());
        let in_group = |was: &Member| was.zone == member.zone && was.cell == member.cell;
        if member.standing != HostState::Gone && before.as_ref().is_some_and(|was| !in_group(was)) {
            record.regrouped = Some(now);
        }
        // Guards: a repeat matched against the circle of a host that is gone, of which no more than that was said.
        let member = match (member.standing, before) {
            (HostState::Gone, Some(was)) => Member {
                standing: HostState::Gone,
                ..was
            },
            (_, Some(was)) if was.started == member.started => Member {
                believed: member.believed.or(was.believed),
                ..member
            },
            _ => member,
        };
        let started = member
            .believed
            .unwrap_or_else(|| starts::believed(member.started, source.learned(), now));
        let member = Member {
            believed: Some(started),
            ..member
        };
        match member.standing {
            HostState::Gone => record.was = Some(member.clone()),
            _ => record.said = Some(member.clone()),
        }
        match member.standing {
            HostState::Ready => record.left_since = None,
            _ => _ = record.left_since.get_or_insert(source.counts_from(now)),
        }
        let zone = self.zone(&member.zone);
        Endpoint {
            id,
            zone,
            cell: member.cell,
            state: member.standing,
            size: member.size,
            started,
        }
    }

    /// A line that went at `sent` has been answered.
    pub fn answered(&mut self, host: usize, sent: Nanos, now: Nanos) {
        // Guards: hosts taken for slow, and clients refused, for what lay unread while this process was held up.
        let time = now.saturating_sub(self.stalls.moved_on(sent, now));
        let record = &mut self.all[host];
        record.shortest = record.shortest.min(time);
        record.latest = Some((sent, time));
        if time <= self.long.saturating_add(record.shortest) {
            record.well = record.well.max(sent);
        }
        if record.times.len() < MOST_TIMES {
            record.times.push(time);
        }
    }

    /// Whether the host has answered a line that went later than `then`.
    pub fn answers_since(&self, host: usize, then: Nanos) -> bool {
        self.all[host].answered_since(then)
    }

    /// A line that went at `sent` is not answered yet.
    pub fn unanswered(&mut self, host: usize, sent: Nanos, now: Nanos) {
        let sent = self.stalls.moved_on(sent, now);
        let oldest = &mut self.all[host].oldest;
        *oldest = Some(oldest.map_or(sent, |then| then.min(sent)));
        self.all[host].waiting += 1;
    }

    /// Tells what messages take at each host: at once when work piles up, else once a second while they
    /// take long, and once more when they do not.
    pub fn look(&mut self, now: Nanos, events: &mut Vec<Event>) {
        for record in &mut self.all {
            if let Some(time) = record.look(now, self.long) {
                events.push(Event::MessageLatency {
                    host: record.id,
                    latency: time,
                });
            }
            (record.oldest, record.waiting) = (None, 0);
        }
    }
}

#[cfg(test)]
#[path = "hosts_tests.rs"]
mod tests;
