//! The measurement of a cold start: as many processes at once as asked for, all knowing nothing, beside a list service
//! of a stated capacity. It owns what is promised and the figures, and plays the plain way (each calls when it
//! likes, as a node alone does), and another build if one is named, in the same run. It must never report what it
//! did not measure.

use crate::fleet::{Berths, Fleet, Guests, Terms};
use crate::two_tier::Found;
use crate::Discovery;
use serde_json::{json, Map, Value};
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

pub struct Size {
    pub nodes: usize,
    pub hosts: usize,
    /// Calls a second that the service works off, how much may wait there, and for how long it is down at first.
    pub rate: f64,
    pub queue: Duration,
    pub down: Duration,
    pub before: Option<PathBuf>,
}

const TERMS: Terms = Terms {
    cold: Duration::from_secs(20),
    cold_from: 0.12,
    tip_after: Duration::from_secs(1),
    tip_multiple: 3.0,
    ask_within: Duration::from_secs(10),
    full: 1e6,
};

/// What one way of starting showed.
struct Shown {
    calls: usize,
    turned_away: usize,
    by_second: Vec<usize>,
    /// From the start to the first client served at each node, in order; those that served nobody are missing.
    first: Vec<Duration>,
    broken: Vec<String>,
}

impl Shown {
    fn at(&self, part: f64) -> f64 {
        let place = (self.first.len() as f64 * part).ceil() as usize;
        self.first.get(place.max(1) - 1).map_or(f64::INFINITY, Duration::as_secs_f64)
    }
}

fn start(size: &Size, seed: u64, alone: bool, program: Option<&PathBuf>) -> Shown {
    let (service, hosts) = (Discovery::start(), Berths::new(TERMS));
    service.bound(size.rate, size.queue);
    let which = hosts.start(size.hosts, false);
    hosts.members(which).into_iter().for_each(|member| service.change(member));
    let mut fleet = Fleet::new(size.nodes, service.address, TERMS);
    if let Some(program) = program {
        fleet = fleet.of(program.clone());
    }
    if alone {
        fleet = fleet.each_alone();
    }
    let all: Vec<usize> = (0..size.nodes).collect();
    if !size.down.is_zero() {
        service.go_down();
    }
    let from = Instant::now();
    fleet.start(&all, &[], 0);
    let addresses = fleet.addresses();
    let mut guests = Guests::come(size.nodes, &fleet.front, Duration::ZERO, Some(&addresses), seed);
    thread::sleep(size.down.saturating_sub(from.elapsed()));
    service.come_up();
    // Long enough for a service that turns half of the calls away, three times over.
    let until = from + size.down + Duration::from_secs_f64(6.0 * size.nodes as f64 / size.rate + 10.0);
    while guests.standing() < size.nodes && Instant::now() < until {
        thread::sleep(Duration::from_millis(20));
    }
    // What follows is begun by then: the last list came at half of the time within which each has to ask, or later.
    thread::sleep((from + size.down + TERMS.ask_within * 3 / 2).saturating_duration_since(Instant::now()));
    let mut first: Vec<Duration> = guests.first(from + size.down).into_iter().flatten().collect();
    first.sort_unstable();
    guests.end();
    let (called, turned_away) = service.seen();
    let mut by_second = Vec::new();
    for at in &called {
        let second = at.saturating_duration_since(from).as_secs() as usize;
        by_second.resize(by_second.len().max(second + 1), 0);
        by_second[second] += 1;
    }
    let broken = fleet.broken(&guests);
    Shown { calls: called.len(), turned_away: turned_away.len(), by_second, first, broken }
}

/// Starts the fleet in each way in turn.
pub fn measure(size: &Size, seed: u64) -> Found {
    let (nodes, limit) = (size.nodes as f64, size.nodes as f64 / size.rate);
    let mut ways = vec![("plain", start(size, seed, true, None))];
    if let Some(before) = &size.before {
        ways.push(("before", start(size, seed, false, Some(before))));
    }
    ways.push(("now", start(size, seed, false, None)));
    let mut figures = Map::new();
    figures.insert("the service's own limit, s".into(), json!(limit));
    for (way, shown) in &ways {
        let mut put = |what: &str, value: Value| figures.insert(format!("{way}: {what}"), value);
        put("calls", json!(shown.calls));
        put("calls a node", json!(shown.calls as f64 / nodes));
        put("turned away", json!(shown.turned_away));
        put("calls by second", json!(shown.by_second));
        put("first client, median, s", json!(shown.at(0.5)));
        put("first client, 99%, s", json!(shown.at(0.99)));
        put("nodes that served", json!(shown.first.len()));
    }
    let mut broken = Vec::new();
    if let Some((_, now)) = ways.last() {
        let mut promised = |holds: bool, what: String| {
            if !holds {
                broken.push(what);
            }
        };
        let busiest = now.by_second.iter().skip(1).max().copied().unwrap_or(0);
        let share = now.turned_away as f64 / now.calls.max(1) as f64;
        promised(now.first.len() == size.nodes, format!("{} of {nodes} nodes served", now.first.len()));
        promised(
            busiest as f64 <= 1.2 * size.rate,
            format!("{busiest} calls in a second, {} can be done", size.rate),
        );
        promised(share <= 0.05, format!("{share:.2} of the calls turned away"));
        promised(now.calls as f64 <= 2.2 * nodes, format!("{:.2} calls a node", now.calls as f64 / nodes));
        promised(now.at(0.99) <= 1.3 * limit, format!("99% serve after {:.1} s of {limit:.1}", now.at(0.99)));
        broken.extend(now.broken.iter().cloned());
    }
    Found { figures, broken }
}
