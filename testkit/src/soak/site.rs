//! The processes of a soak, each in its seat, with hosts and two list services that tell the same. It owns what was done
//! to them, and when. It must never judge what clients and hosts saw.

use super::troubles::{Family, Moment, Trouble};
use super::Size;
use crate::acting::{Hosts, Referee, Way};
use crate::discovery::Discovery;
use crate::peers::Peer;
use crate::program::{folder, listener, Node};
use crate::syscalls::{Fault, Spoiler};
use crate::two_tier_cluster;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long a process that is told to stop may take, by the longest expiry.
const STOPS_WITHIN: Duration = Duration::from_millis(2700 + 600);
/// Rules that a process may count as broken as it stood still, and how soon after that it has said so.
const LATE_BY_STANDING_STILL: [&str; 2] = ["answered_late", "attempted_late"];
const SEEN_AFTER: Duration = Duration::from_millis(1000);
/// Lines of the log that are shown of a process that does not serve, or that ended unasked.
const LAST_LINES: usize = 30;
/// How long after a stop the front still deals out clients.
const STILL_DEALT: Duration = Duration::from_millis(300);

/// What clients have to know of a seat, and the judge of its past.
#[derive(Debug, Default)]
pub struct Seat {
    pub address: Option<SocketAddr>,
    /// From when on the front deals no clients to it.
    pub closed: Option<Instant>,
    /// When processes of it were started, and ended outright.
    pub started: Vec<Instant>,
    pub killed: Vec<Instant>,
    /// When it stood still, had its calls spoilt, or was led to another service.
    pub still: Vec<(Instant, Instant)>,
    pub spoilt: Vec<(Instant, Instant)>,
    pub reloaded: Vec<Instant>,
}

pub type Seats = Arc<Vec<Mutex<Seat>>>;

/// What was done to hosts and list services.
#[derive(Debug, Default)]
pub struct Notes {
    /// By host: when it was told to drain, and when that was taken back.
    pub drains: HashMap<usize, Vec<(Instant, Option<Instant>)>>,
    pub service: Vec<(Instant, Instant)>,
}

struct Process {
    node: Option<Node>,
    /// Held here where processes of the seat follow each other.
    shared: Option<(TcpListener, PathBuf)>,
    spoiler: Spoiler,
    /// What is wrong with the machine's system calls now, for the processes that start meanwhile too.
    faults: Vec<Fault>,
    service: usize,
    /// Processes that were told to stop, and when, until they end.
    stopping: Vec<(Node, Instant)>,
}

pub struct Site {
    pub referee: Referee,
    pub notes: Notes,
    hosts: Hosts,
    services: [Discovery; 2],
    processes: Vec<Process>,
    seats: Seats,
    seed: u64,
    /// What was seen to go wrong with processes.
    wrong: Vec<String>,
    /// Troubles that last, counted by what they are at.
    lasting: HashMap<String, (u32, Instant)>,
}

impl Site {
    pub fn start(seed: u64, size: &Size) -> Site {
        let referee = Referee::default();
        let hosts = Hosts::start(size.hosts, &referee);
        let services = [Discovery::start(), Discovery::start()];
        for host in 0..size.hosts {
            services
                .iter()
                .for_each(|service| service.change(hosts.member(host, "active")));
        }
        let seats: Seats = Arc::new((0..size.processes).map(|_| Mutex::default()).collect());
        let processes = (0..size.processes)
            .map(|seat| Process {
                node: None,
                shared: (seat % 2 == 1).then(|| (listener(), folder())),
                spoiler: Spoiler::default(),
                faults: Vec::new(),
                service: 0,
                stopping: Vec::new(),
            })
            .collect();
        let mut site = Site {
            referee,
            notes: Notes::default(),
            hosts,
            services,
            processes,
            seats,
            seed,
            wrong: Vec::new(),
            lasting: HashMap::new(),
        };
        (0..size.processes).for_each(|seat| site.open(seat));
        site
    }

    pub fn seats(&self) -> Seats {
        self.seats.clone()
    }

    pub fn spoilt(&self) -> u64 {
        self.processes
            .iter()
            .map(|process| process.spoiler.spoilt())
            .sum()
    }

    fn node_config(&self, seat: usize) -> Value {
        let service = &self.services[self.processes[seat].service];
        let mut node_config = two_tier_cluster::node_config(
            &format!("n{seat}"),
            &self.hosts,
            service,
            self.seed + seat as u64,
        );
        node_config["limits"] = json!({"cores": 1.0, "memory_mb": 128, "sockets": 512});
        (
            node_config["settings"]["balancers"],
            node_config["settings"]["index"],
        ) = (json!(self.processes.len()), json!(seat));
        node_config["ops"] = json!("127.0.0.1:0");
        if let Some(address) = self.seats[seat].lock().unwrap().address {
            node_config["listen"] = json!(address.to_string());
        }
        node_config
    }

    /// Starts a process in this seat.
    fn open(&mut self, seat: usize) {
        let node_config = self.node_config(seat);
        let spoiler = Spoiler::default();
        let node = match &self.processes[seat].shared {
            Some((listener, folder)) => {
                Node::start_spoilt_at(&node_config, listener, folder, &spoiler)
            }
            None => Node::start_spoilt(&node_config, &spoiler),
        };
        let mut noted = self.seats[seat].lock().unwrap();
        (noted.address, noted.closed) = (Some(node.address), None);
        noted.started.push(Instant::now());
        drop(noted);
        let process = &mut self.processes[seat];
        spoiler.set(&process.faults);
        (process.node, process.spoiler) = (Some(node), spoiler);
    }

    /// Begins or ends a trouble.
    pub fn carry_out(&mut self, moment: Moment) {
        let Moment {
            begins, trouble, ..
        } = moment;
        self.look_for_ended();
        if std::env::var_os("SOAK_VERBOSE").is_some() {
            eprintln!("{} {trouble:?}", if begins { "begin" } else { "end" });
        }
        match trouble {
            Trouble::Stop(seat) => self.stop(seat, begins),
            Trouble::Replace(seat) if begins => self.replace(seat),
            Trouble::Replace(_) => {}
            Trouble::ReplaceSpoilt(seat) => {
                self.spoil(seat, begins, Family::Channel);
                if begins {
                    self.replace(seat);
                }
            }
            Trouble::Kill(seat) => self.kill(seat, begins),
            Trouble::Reload(seat) => self.reload(seat),
            Trouble::StandStill(seat) => self.stand_still(seat, begins),
            Trouble::StepClock(seat, seconds) if begins => {
                self.processes[seat].spoiler.step_clock(seconds);
            }
            Trouble::StepClock(..) => {}
            Trouble::Calls(seat, family) => self.spoil(seat, begins, family),
            Trouble::Host(host, way) => self.hosts.go(host, if begins { way } else { Way::Takes }),
            Trouble::Drain(host) => self.drain(host, begins),
            Trouble::ServiceDown => {
                for service in &self.services {
                    if begins {
                        service.go_down();
                    } else {
                        service.come_up();
                    }
                }
                self.service_lasts("down", begins);
            }
            Trouble::ServiceSilent => {
                if begins {
                    self.services.iter().for_each(Discovery::fall_silent);
                }
                self.service_lasts("silent", begins);
            }
            Trouble::ServiceRefuses => {
                self.services
                    .iter()
                    .for_each(|service| service.turn_away(if begins { 7 } else { 0 }));
                self.service_lasts("refuses", begins);
            }
        }
    }

    /// Has system calls of the processes in this seat fail, or no longer.
    fn spoil(&mut self, seat: usize, begins: bool, family: Family) {
        let process = &mut self.processes[seat];
        process.faults = if begins { family.faults() } else { Vec::new() };
        process.spoiler.set(&process.faults);
        self.lasts(format!("calls {seat}"), begins, |site, span| {
            site.seats[seat].lock().unwrap().spoilt.push(span);
        });
    }

    /// Notes a trouble once it is over: several of a kind may overlap.
    fn lasts(
        &mut self,
        what: String,
        begins: bool,
        note: impl FnOnce(&mut Site, (Instant, Instant)),
    ) {
        let now = Instant::now();
        let (count, since) = self.lasting.entry(what).or_insert((0, now));
        if begins {
            if *count == 0 {
                *since = now;
            }
            *count += 1;
            return;
        }
        *count = count.saturating_sub(1);
        let span = (*since, now);
        note(self, span);
    }

    fn service_lasts(&mut self, what: &str, begins: bool) {
        self.lasts(format!("service {what}"), begins, |site, span| {
            site.notes.service.push(span);
        });
    }

    fn stop(&mut self, seat: usize, begins: bool) {
        if begins {
            let Some(node) = self.processes[seat].node.take() else {
                return;
            };
            let now = Instant::now();
            self.go_on(seat, &node);
            self.seats[seat].lock().unwrap().closed = Some(now + STILL_DEALT);
            node.stop();
            self.processes[seat].stopping.push((node, now));
            return;
        }
        self.wait_for_stopped(seat);
        if self.processes[seat].node.is_none() {
            self.open(seat);
        }
    }

    /// Waits until all processes of a seat that were told to stop have ended.
    fn wait_for_stopped(&mut self, seat: usize) {
        for (mut node, since) in std::mem::take(&mut self.processes[seat].stopping) {
            while node.runs() && since.elapsed() < STOPS_WITHIN {
                thread::sleep(Duration::from_millis(5));
            }
            if node.runs() {
                self.wrong.push(format!(
                    "seat {seat}: still runs {:?} after it was told to stop",
                    since.elapsed()
                ));
            } else if !node.wait().success() {
                self.wrong
                    .push(format!("seat {seat}: ended with {}", node.wait()));
            }
            self.look_at_log(seat, &node);
        }
    }

    /// Whether a process says with this line that it broke a rule because it stood still: a call to send began in time by the
    /// clock that was read before it, and was made when the process went on.
    fn is_late_by_standing_still(&self, seat: usize, at: Instant, line: &str) -> bool {
        let late = LATE_BY_STANDING_STILL
            .iter()
            .any(|rule| line.contains(rule));
        let spans = &self.seats[seat].lock().unwrap().still;
        late && spans
            .iter()
            .any(|(from, to)| *from <= at && at <= *to + SEEN_AFTER)
    }

    /// A process that ended ill, or broke a rule, leaves that in its log. Gives the lines that are excused.
    fn look_at_log(&mut self, seat: usize, node: &Node) -> Vec<String> {
        let mut excused = Vec::new();
        for (at, line) in node.logged_at() {
            if !line.contains("panicked") && !line.contains("rule violated") {
                continue;
            }
            if self.is_late_by_standing_still(seat, at, &line) {
                excused.push(line);
            } else {
                self.wrong.push(format!("seat {seat}: {line}"));
            }
        }
        excused
    }

    /// Another process takes the place of the one in this seat.
    fn replace(&mut self, seat: usize) {
        if self.processes[seat].shared.is_none() || self.processes[seat].node.is_none() {
            return;
        }
        let Some(mut before) = self.processes[seat].node.take() else {
            return;
        };
        self.go_on(seat, &before);
        self.open(seat);
        if self.ended_unasked(seat, &mut before) {
            return;
        }
        before.stop();
        self.processes[seat].stopping.push((before, Instant::now()));
    }

    /// Starts a process anew in each seat in which one has ended unasked.
    fn look_for_ended(&mut self) {
        for seat in 0..self.processes.len() {
            let Some(mut node) = self.processes[seat].node.take() else {
                continue;
            };
            if self.ended_unasked(seat, &mut node) {
                self.open(seat);
            } else {
                self.processes[seat].node = Some(node);
            }
        }
    }

    /// Whether a process that nobody told to stop has ended, which is wrong.
    fn ended_unasked(&mut self, seat: usize, node: &mut Node) -> bool {
        if node.runs() {
            return false;
        }
        let log = node.logged();
        let end = &log[log.len().saturating_sub(LAST_LINES)..];
        self.wrong.push(format!(
            "seat {seat}: ended unasked with {}: {end:#?}",
            node.wait()
        ));
        true
    }

    fn kill(&mut self, seat: usize, begins: bool) {
        if begins {
            let Some(mut node) = self.processes[seat].node.take() else {
                return;
            };
            let mut noted = self.seats[seat].lock().unwrap();
            (noted.closed, _) = (Some(Instant::now()), noted.killed.push(Instant::now()));
            drop(noted);
            node.kill();
            self.look_at_log(seat, &node);
        } else if self.processes[seat].node.is_none() {
            self.wait_for_stopped(seat);
            self.open(seat);
        }
    }

    fn reload(&mut self, seat: usize) {
        self.processes[seat].service = 1 - self.processes[seat].service;
        let node_config = self.node_config(seat).to_string();
        if let Some(node) = &self.processes[seat].node {
            node.reread(&node_config);
            self.seats[seat]
                .lock()
                .unwrap()
                .reloaded
                .push(Instant::now());
        }
    }

    fn go_on(&self, seat: usize, node: &Node) {
        node.go_on();
        if let Some(last) = self.seats[seat].lock().unwrap().still.last_mut() {
            last.1 = last.1.min(Instant::now());
        }
    }

    fn stand_still(&mut self, seat: usize, begins: bool) {
        let Some(node) = &self.processes[seat].node else {
            return;
        };
        if begins {
            node.stand_still();
            let (now, far) = (Instant::now(), Instant::now() + Duration::from_secs(3600));
            self.seats[seat].lock().unwrap().still.push((now, far));
        } else {
            self.go_on(seat, node);
        }
    }

    fn drain(&mut self, host: usize, begins: bool) {
        let drains = self.notes.drains.entry(host).or_default();
        let open = drains.iter().any(|(_, back)| back.is_none());
        match (begins, open) {
            (true, false) => drains.push((Instant::now(), None)),
            (false, true) => drains
                .iter_mut()
                .for_each(|one| _ = one.1.get_or_insert(Instant::now())),
            _ => return,
        }
        let phase = if begins { "leaving" } else { "active" };
        self.services
            .iter()
            .for_each(|service| service.change(self.hosts.member(host, phase)));
    }

    /// All troubles are over; every seat has its process.
    pub fn lift_all(&mut self) {
        for seat in 0..self.processes.len() {
            self.processes[seat].faults.clear();
            self.processes[seat].spoiler.clear();
            self.stand_still(seat, false);
            self.stop(seat, false);
        }
        for host in 0..self.hosts.addresses.len() {
            self.hosts.go(host, Way::Takes);
            self.drain(host, false);
        }
        for service in &self.services {
            service.come_up();
            service.turn_away(0);
        }
    }

    /// Which processes don't serve again in time.
    pub fn recovers(&mut self, within: Duration) -> Vec<String> {
        let from = Instant::now();
        let answer = |seat: usize, tries: usize| {
            let Some(node) = &self.processes[seat].node else {
                return "no process".to_string();
            };
            let mut client = Peer::connect(node.address);
            client.say(&format!("OPEN r{seat}-{tries} 7f c=free,t=acme,d=1000"));
            client.hear()
        };
        let mut late = Vec::new();
        for seat in 0..self.processes.len() {
            let mut tries = 0;
            loop {
                let heard = answer(seat, tries);
                if heard.starts_with("UP") {
                    break;
                }
                tries += 1;
                if from.elapsed() > within {
                    let node = self.processes[seat].node.as_ref();
                    let log = node.map_or(Vec::new(), Node::logged);
                    let last = log[log.len().saturating_sub(LAST_LINES)..].join("\n    ");
                    late.push(format!(
                        "seat {seat}: does not serve {within:?} after all troubles are over, but says {heard} at try {tries}\n    {last}"
                    ));
                    break;
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        late
    }

    /// What the processes themselves count as broken, beyond what their logs excuse.
    pub fn violations(&mut self) -> Vec<String> {
        let mut found = Vec::new();
        for seat in 0..self.processes.len() {
            let Some(node) = self.processes[seat].node.take() else {
                continue;
            };
            let excused = self.look_at_log(seat, &node);
            let (_, text) = node.call("GET /status/metrics");
            let counted = text.lines().filter(|line| is_beyond(line, &excused));
            found.extend(counted.map(|line| format!("seat {seat}: {line}")));
            self.processes[seat].node = Some(node);
        }
        found
    }

    /// Stops all processes, and tells what went wrong with any.
    pub fn stops(&mut self) -> Vec<String> {
        let now = Instant::now();
        for process in &mut self.processes {
            if let Some(node) = process.node.take() {
                node.stop();
                process.stopping.push((node, now));
            }
        }
        (0..self.processes.len()).for_each(|seat| self.wait_for_stopped(seat));
        std::mem::take(&mut self.wrong)
    }
}

/// Whether a line of a process's figures counts a rule as broken more often than so many lines of its log excuse.
fn is_beyond(figure: &str, excused: &[String]) -> bool {
    let Some((rule, count)) = figure
        .strip_prefix("app.violations.")
        .and_then(|rest| rest.split_once(':'))
    else {
        return false;
    };
    let count = count.trim_end_matches("|c").parse().unwrap_or(usize::MAX);
    count > excused.iter().filter(|line| line.contains(rule)).count()
}
