//! Hosts that warm up after their start, and stay broken once they are overloaded. Records what reached each of them
//! and when; rules 3 and 4 are checked by these records alone.

use super::FleetOptions;
use crate::simulated::{echo_lines, first_line, spawn_thread, DRAIN_GRACE, SOCKET_SLACK};
use serde_json::{json, Value};
use std::io::{BufRead, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A group of hosts that accept all connections until they are overloaded. Clones share the hosts.
#[derive(Clone)]
pub struct WarmingHosts {
    hosts: Arc<Mutex<Vec<Arc<WarmingHost>>>>,
    options: FleetOptions,
}

struct WarmingHost {
    address: SocketAddr,
    /// When the host was started, if it started cold; `None` for a warm host.
    started: Option<StartTime>,
    arrivals: Mutex<Vec<Instant>>,
    probes: Mutex<Vec<Instant>>,
    drain_announced: Mutex<Option<Instant>>,
    open: AtomicU32,
    overloaded: AtomicBool,
}

#[derive(Clone, Copy)]
struct StartTime {
    at: Instant,
    unix_millis: u64,
}

impl StartTime {
    fn now() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        StartTime {
            at: Instant::now(),
            unix_millis: since_epoch.as_millis() as u64,
        }
    }
}

impl WarmingHosts {
    /// Creates a group without hosts; the options apply to all hosts that it starts.
    pub fn new(options: FleetOptions) -> Self {
        WarmingHosts {
            hosts: Arc::default(),
            options,
        }
    }

    /// Starts `count` hosts, all cold or all warm, and returns their numbers.
    pub fn start(&self, count: usize, cold: bool) -> Range<usize> {
        let first = self.hosts.lock().unwrap().len();
        for _ in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let host = Arc::new(WarmingHost {
                address: listener.local_addr().unwrap(),
                started: cold.then(StartTime::now),
                arrivals: Mutex::default(),
                probes: Mutex::default(),
                drain_announced: Mutex::default(),
                open: AtomicU32::new(0),
                overloaded: AtomicBool::new(false),
            });
            self.hosts.lock().unwrap().push(host.clone());
            let options = self.options;
            spawn_thread(move || {
                for stream in listener.incoming().flatten() {
                    let host = host.clone();
                    spawn_thread(move || host.serve(stream, options));
                }
            });
        }
        first..first + count
    }

    fn host(&self, number: usize) -> Arc<WarmingHost> {
        self.hosts.lock().unwrap()[number].clone()
    }

    /// Returns a host as an entry of the endpoint list.
    pub fn member(&self, host: usize, phase: &str) -> Value {
        let warming_host = self.host(host);
        let up_since = warming_host
            .started
            .map_or(0, |started| started.unix_millis);
        json!({"id": format!("s-{host}"), "host_port": warming_host.address.to_string(), "locality": "a",
            "flavor": "m", "cell": host % 2, "phase": phase, "size": 1.0, "up_since_ms": up_since})
    }

    /// Returns these hosts as entries of the endpoint list, all of them active.
    pub fn members(&self, hosts: impl Iterator<Item = usize>) -> Vec<Value> {
        hosts.map(|host| self.member(host, "active")).collect()
    }

    /// Records that the list service announces the drain of this host from now on.
    pub fn note_drain(&self, host: usize) {
        *self.host(host).drain_announced.lock().unwrap() = Some(Instant::now());
    }

    /// Returns the number of open connections at these hosts.
    pub fn open_connections(&self, hosts: impl Iterator<Item = usize>) -> u32 {
        hosts.map(|host| self.host(host).open.load(SeqCst)).sum()
    }

    /// Returns when connections with a request reached this host, oldest first.
    pub fn arrivals(&self, host: usize) -> Vec<Instant> {
        self.host(host).arrivals.lock().unwrap().clone()
    }

    /// Returns when nodes probed the load of this host, oldest first.
    pub fn probes(&self, host: usize) -> Vec<Instant> {
        self.host(host).probes.lock().unwrap().clone()
    }

    /// Returns the violations of rules 3 and 4. `notice_delay` is how long the announcement of a drain may take to
    /// reach the nodes.
    pub fn violations(&self, notice_delay: Duration) -> Vec<String> {
        let mut violations = Vec::new();
        for (number, host) in self.hosts.lock().unwrap().iter().enumerate() {
            if host.overloaded.load(SeqCst) {
                violations.push(format!("rule 4: host {number} was overloaded"));
            }
            let after_drain = host.arrivals_after_drain(notice_delay);
            if after_drain > 0 {
                violations.push(format!(
                    "rule 3: {after_drain} reached host {number} after its drain"
                ));
            }
        }
        violations
    }
}

impl WarmingHost {
    fn arrivals_after_drain(&self, notice_delay: Duration) -> usize {
        let Some(announced) = *self.drain_announced.lock().unwrap() else {
            return 0;
        };
        let deadline = announced + DRAIN_GRACE + SOCKET_SLACK + notice_delay;
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.iter().filter(|at| **at > deadline).count()
    }

    fn serve(&self, mut stream: TcpStream, options: FleetOptions) {
        let Some((mut reader, mut line)) = first_line(&stream) else {
            return;
        };
        while line.starts_with("STATS") {
            self.probes.lock().unwrap().push(Instant::now());
            line.clear();
            if stream.write_all(b"PONG util=0.2,x0=0.2\r\n").is_err()
                || !matches!(reader.read_line(&mut line), Ok(1..))
            {
                return;
            }
        }
        self.note_arrival(options);
        if self.overloaded.load(SeqCst) || stream.write_all(b"UP 1\r\n").is_err() {
            return;
        }
        self.open.fetch_add(1, SeqCst);
        echo_lines(&mut reader, &mut stream, || {});
        self.open.fetch_sub(1, SeqCst);
    }

    /// Records a connection with a request, and marks the host as overloaded if it is one too many. Only hosts that are
    /// still warming up can be overloaded.
    fn note_arrival(&self, options: FleetOptions) {
        let now = Instant::now();
        let mut arrivals = self.arrivals.lock().unwrap();
        arrivals.push(now);
        let in_window = arrivals
            .iter()
            .rev()
            .take_while(|at| **at + options.overload_window > now)
            .count() as f64;
        let warm_up_age = self
            .started
            .map(|started| now - started.at)
            .filter(|age| *age < options.warm_up);
        if warm_up_age.is_some_and(|age| in_window > options.budget(age).max(1.0)) {
            self.overloaded.store(true, SeqCst);
        }
    }
}

#[cfg(test)]
#[path = "warming_hosts_tests.rs"]
mod tests;
