//! Measurement of a cold start: many processes start at once, know nothing, and share a list service of a stated
//! capacity. Each run also plays the baseline (every node calls when it likes), another build if one is named, and hosts
//! that are all warming up. Owns the promised bounds and the figures.

use crate::fleet::{Fleet, FleetOptions, ReturningClients, WarmingHosts};
use crate::html_chart::Row;
use crate::two_tier::Report;
use crate::Discovery;
use serde_json::{json, Map, Value};
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

/// The size of a cold-start measurement.
pub struct ColdStartSize {
    /// Nodes that start at once.
    pub nodes: usize,
    /// Hosts that serve.
    pub hosts: usize,
    /// Calls a second that the service works off, how much may wait there, and for how long it is down at first.
    pub rate: f64,
    /// How long a call may wait at the list service before it is rejected.
    pub queue: Duration,
    /// How long the list service is down at the start.
    pub down: Duration,
    /// Another build of the program, measured in the same run.
    pub before: Option<PathBuf>,
}

const OPTIONS: FleetOptions = FleetOptions {
    warm_up: Duration::from_secs(20),
    warm_up_initial_share: 0.12,
    overload_window: Duration::from_secs(1),
    overload_factor: 3.0,
    max_poll_interval: Duration::from_secs(10),
    full: 1e6,
};

/// What one way of starting showed.
#[derive(Default)]
struct StartResult {
    calls: usize,
    turned_away: usize,
    by_second: Vec<usize>,
    /// Connections that asked at hosts.
    arrived: Vec<usize>,
    /// From the start to the first client served at each node, in order; those that served nobody are missing.
    first: Vec<Duration>,
    broken: Vec<String>,
}

impl StartResult {
    fn at(&self, part: f64) -> f64 {
        let place = (self.first.len() as f64 * part).ceil() as usize;
        self.first
            .get(place.max(1) - 1)
            .map_or(f64::INFINITY, Duration::as_secs_f64)
    }
}

/// How many fell in each second from a moment on.
fn by_second(from: Instant, all: &[Instant]) -> Vec<usize> {
    let mut counts = Vec::new();
    for at in all {
        let second = at.saturating_duration_since(from).as_secs() as usize;
        counts.resize(counts.len().max(second + 1), 0);
        counts[second] += 1;
    }
    counts
}

/// Clients of each node where the hosts are cold, so that chance does not bunch what is to come to one.
const EACH: usize = 4;
/// What nodes may count on of a host's capacity, in what it is to hold, and what the hosts here have.
const COUNTED_ON: f64 = 4.0;
const FILLED_BY: f64 = 8.0;

impl ColdStartSize {
    fn options(&self, multiple: f64) -> FleetOptions {
        FleetOptions {
            full: multiple * (EACH * self.nodes) as f64 / self.hosts as f64,
            ..OPTIONS
        }
    }

    /// How soon hosts that are all cold may have taken all clients, where they are sent this part of the budget.
    fn hosts_limit(&self, options: FleetOptions, part: f64) -> f64 {
        let (step, mut sent, mut at) = (0.01, 0.0, 0.0);
        while sent < (EACH * self.nodes) as f64 {
            let a_second =
                options.budget(Duration::from_secs_f64(at)) / options.overload_window.as_secs_f64();
            sent += part * a_second * self.hosts as f64 * step;
            at += step;
        }
        at
    }
}

#[derive(Clone, Copy, PartialEq)]
enum StartMode {
    Alone,
    Together,
    /// And the hosts are cold.
    Cold,
}

#[expect(
    clippy::too_many_lines,
    reason = "one scenario, read from top to bottom"
)]
fn start(
    size: &ColdStartSize,
    seed: u64,
    mode: StartMode,
    program: Option<&PathBuf>,
) -> StartResult {
    let (options, clients) = match mode {
        StartMode::Cold => (size.options(FILLED_BY), EACH * size.nodes),
        _ => (OPTIONS, size.nodes),
    };
    let (service, hosts) = (Discovery::start(), WarmingHosts::new(options));
    service.bound(size.rate, size.queue);
    let which = hosts.start(size.hosts, mode == StartMode::Cold);
    hosts
        .members(which.clone())
        .into_iter()
        .for_each(|member| service.change(member));
    let mut fleet = Fleet::new(size.nodes, service.address, options);
    if let Some(program) = program {
        fleet = fleet.of(program.clone());
    }
    if mode == StartMode::Alone {
        fleet = fleet.each_alone();
    }
    let all: Vec<usize> = (0..size.nodes).collect();
    if !size.down.is_zero() {
        service.go_down();
    }
    let from = Instant::now();
    fleet.start(&all, &[], 0);
    let addresses = fleet.addresses();
    let mut returning_clients = ReturningClients::come(
        clients,
        &fleet.front,
        Duration::ZERO,
        Some(&addresses),
        seed,
    );
    thread::sleep(size.down.saturating_sub(from.elapsed()));
    service.come_up();
    // Long enough for a service that turns half of the calls away, three times over.
    let until =
        from + size.down + Duration::from_secs_f64(6.0 * size.nodes as f64 / size.rate + 10.0);
    while returning_clients.standing() < clients && Instant::now() < until {
        thread::sleep(Duration::from_millis(20));
    }
    // What follows is begun by then: the last list came at half of the time within which each has to ask, or later.
    thread::sleep(
        (from + size.down + OPTIONS.max_poll_interval * 3 / 2)
            .saturating_duration_since(Instant::now()),
    );
    let mut first: Vec<Duration> = returning_clients
        .first(from + size.down)
        .into_iter()
        .flatten()
        .collect();
    first.sort_unstable();
    returning_clients.end();
    let (called, turned_away) = service.seen();
    let arrived: Vec<Instant> = which.flat_map(|host| hosts.arrived(host)).collect();
    let mut broken = fleet.broken(&returning_clients);
    broken.extend(hosts.broken(Duration::ZERO));
    StartResult {
        calls: called.len(),
        turned_away: turned_away.len(),
        by_second: by_second(from, &called),
        arrived: by_second(from, &arrived),
        first,
        broken,
    }
}

/// Starts the fleet in each way in turn; gives what was counted by second beside what was found.
#[expect(
    clippy::too_many_lines,
    reason = "a list of figures and of the bounds on them"
)]
pub fn measure(size: &ColdStartSize, seed: u64) -> (Report, Vec<Row>) {
    let (nodes, limit, hosts_limit) = (
        size.nodes as f64,
        size.nodes as f64 / size.rate,
        size.hosts_limit(size.options(COUNTED_ON), 0.5),
    );
    let budgets = size.hosts_limit(size.options(FILLED_BY), 1.0);
    let mut modes = vec![("plain", start(size, seed, StartMode::Alone, None))];
    if let Some(before) = &size.before {
        modes.push((
            "before",
            start(size, seed, StartMode::Together, Some(before)),
        ));
    }
    modes.push(("now", start(size, seed, StartMode::Together, None)));
    modes.push(("cold hosts", start(size, seed, StartMode::Cold, None)));
    let mut figures = Map::new();
    figures.insert("the service's own limit, s".into(), json!(limit));
    figures.insert("cold hosts, by their budgets, s".into(), json!(budgets));
    figures.insert(
        "cold hosts, by half of what is counted on, s".into(),
        json!(hosts_limit),
    );
    let mut rows = Vec::new();
    for (mode, shown) in &modes {
        let mut put = |what: &str, value: Value| figures.insert(format!("{mode}: {what}"), value);
        put("calls", json!(shown.calls));
        put("calls a node", json!(shown.calls as f64 / nodes));
        put("turned away", json!(shown.turned_away));
        put("calls by second", json!(shown.by_second));
        put(
            "connections that asked at hosts",
            json!(shown.arrived.iter().sum::<usize>()),
        );
        for (what, by_second) in [
            ("calls at the list service", &shown.by_second),
            ("asked at hosts", &shown.arrived),
        ] {
            rows.push(Row {
                name: format!("{mode}: {what}"),
                by_second: by_second.clone(),
            });
        }
        put("first client, median, s", json!(shown.at(0.5)));
        put("first client, 99%, s", json!(shown.at(0.99)));
        put("clients that were served", json!(shown.first.len()));
    }
    let mut broken = Vec::new();
    let mut promised = |holds: bool, what: String| {
        if !holds {
            broken.push(what);
        }
    };
    let shown = |mode: &str| {
        modes
            .iter()
            .find(|(name, _)| *name == mode)
            .map(|(_, shown)| shown)
    };
    if let Some(now) = shown("now") {
        let busiest = now.by_second.iter().skip(1).max().copied().unwrap_or(0);
        let share = now.turned_away as f64 / now.calls.max(1) as f64;
        promised(
            now.first.len() == size.nodes,
            format!("{} of {nodes} nodes served", now.first.len()),
        );
        promised(
            busiest as f64 <= 1.2 * size.rate,
            format!("{busiest} calls in a second, {} can be done", size.rate),
        );
        promised(
            share <= 0.05,
            format!("{share:.2} of the calls turned away"),
        );
        promised(
            now.calls as f64 <= 2.2 * nodes,
            format!("{:.2} calls a node", now.calls as f64 / nodes),
        );
        promised(
            now.at(0.99) <= 1.3 * limit,
            format!("99% serve after {:.1} s of {limit:.1}", now.at(0.99)),
        );
    }
    if let Some(cold) = shown("cold hosts") {
        let (all, limit, clients) = (
            cold.arrived.iter().sum::<usize>(),
            limit.max(hosts_limit),
            EACH * size.nodes,
        );
        let (served, last) = (cold.first.len(), cold.at(0.99));
        promised(
            served == clients,
            format!("{served} of {clients} clients served by cold hosts"),
        );
        promised(
            last <= 1.3 * limit,
            format!("99% served by cold hosts after {last:.1} s of {limit:.1}"),
        );
        promised(
            all as f64 <= 1.2 * clients as f64,
            format!("{all} asked at cold hosts for {clients} clients"),
        );
    }
    broken.extend(
        modes
            .iter()
            .filter(|(mode, _)| *mode != "plain" && *mode != "before")
            .flat_map(|(_, s)| s.broken.clone()),
    );
    (Report { figures, broken }, rows)
}
