//! Clients that each hold one connection, and reconnect under the same affinity key whenever it ends. Records what each
//! of them saw.

use super::{Front, REQUEST_TIMEOUT};
use crate::simulated::spawn_thread;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The longest time that a client with a fixed node waits before it reconnects. It is short because such clients
/// measure when their node serves again.
const MAX_OWN_NODE_BACKOFF: Duration = Duration::from_millis(100);
/// How long a client waits before it asks the front again if that has no backend.
const EMPTY_FRONT_BACKOFF: Duration = Duration::from_millis(50);
/// The pause between two lines that a client sends on an open connection.
const ECHO_INTERVAL: Duration = Duration::from_millis(100);
/// How long a client waits for a line on an open connection before it checks whether it has to stop.
const ECHO_READ_TIMEOUT: Duration = Duration::from_millis(250);

/// A request that a client sent, and its answer.
pub struct RequestRecord {
    /// When the request was sent.
    pub sent_at: Instant,
    /// The node to which the request was sent.
    pub(super) node: SocketAddr,
    /// How long the answer took; `None` if none came.
    pub answered_after: Option<Duration>,
    /// Whether the answer accepted the request.
    pub accepted: bool,
}

/// What one client has seen so far.
#[derive(Default)]
pub struct ClientRecord {
    /// All requests that it sent, oldest first.
    pub requests: Vec<RequestRecord>,
    /// Since when its connection is open; `None` if it has no connection.
    pub connected_since: Option<Instant>,
}

/// A group of clients that each hold one connection, and reconnect under the same key whenever it ends.
pub struct ReturningClients {
    /// What each client has seen so far, by client number.
    pub records: Arc<Vec<Mutex<ClientRecord>>>,
    stopped: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl ReturningClients {
    /// Starts `count` clients at random times within `spread`. If `nodes` is given, each client uses only the node at
    /// its own number modulo the number of nodes; otherwise the front picks a node for each request.
    pub fn start(
        count: usize,
        front: &Front,
        spread: Duration,
        nodes: Option<&[SocketAddr]>,
        seed: u64,
    ) -> Self {
        let records: Arc<Vec<Mutex<ClientRecord>>> =
            Arc::new((0..count).map(|_| Mutex::default()).collect());
        let stopped = Arc::new(AtomicBool::new(false));
        let spawn = |number: usize| {
            let (records, front) = (records.clone(), front.clone());
            let own_node = nodes.map(|nodes| nodes[number % nodes.len()]);
            let mut rng = ChaCha8Rng::seed_from_u64(seed << 20 | number as u64);
            let stopped = stopped.clone();
            spawn_thread(move || {
                thread::sleep(spread.mul_f64(rng.random::<f64>()));
                let client = ReturningClient {
                    key: rng.random(),
                    rng,
                    record: &records[number],
                    stopped: &stopped,
                    was_connected: false,
                };
                client.run(&front, own_node);
            })
        };
        let threads = (0..count).map(spawn).collect();
        ReturningClients {
            records,
            stopped,
            threads,
        }
    }

    /// Returns how many clients have an open connection.
    pub fn connected(&self) -> usize {
        self.records
            .iter()
            .filter(|record| record.lock().unwrap().connected_since.is_some())
            .count()
    }

    /// Returns how long after `from` each client's first connection opened; `None` for a client that never had one.
    pub fn first_connections(&self, from: Instant) -> Vec<Option<Duration>> {
        let first = |record: &Mutex<ClientRecord>| {
            let record = record.lock().unwrap();
            let accepted = record.requests.iter().find(|request| request.accepted)?;
            Some((accepted.sent_at + accepted.answered_after?).saturating_duration_since(from))
        };
        self.records.iter().map(first).collect()
    }

    /// Stops all clients and waits for their threads.
    pub fn stop(&mut self) {
        self.stopped.store(true, SeqCst);
        for client in self.threads.drain(..) {
            client.join().expect("a client thread panicked");
        }
    }
}

struct ReturningClient<'a> {
    /// The affinity key of all its requests.
    key: u64,
    rng: ChaCha8Rng,
    record: &'a Mutex<ClientRecord>,
    stopped: &'a AtomicBool,
    /// Whether it had a connection before; its requests say so.
    was_connected: bool,
}

impl ReturningClient<'_> {
    fn run(mut self, front: &Front, own_node: Option<SocketAddr>) {
        while !self.stopped.load(SeqCst) {
            let Some(node) = own_node.or_else(|| front.pick(&mut self.rng)) else {
                thread::sleep(EMPTY_FRONT_BACKOFF);
                continue;
            };
            let backoff = self.attempt(node);
            thread::sleep(match own_node {
                Some(_) => backoff.min(MAX_OWN_NODE_BACKOFF),
                None => backoff,
            });
        }
    }

    /// Sends one request and, if it is accepted, holds the connection until it ends. Returns how long to wait before
    /// the next attempt.
    fn attempt(&mut self, node: SocketAddr) -> Duration {
        let backoff = Duration::from_millis(self.rng.random_range(100..400));
        let Ok(mut stream) = TcpStream::connect(node) else {
            return backoff;
        };
        _ = stream.set_nodelay(true);
        let sent_at = Instant::now();
        if stream.write_all(self.request_line().as_bytes()).is_err() {
            return backoff;
        }
        let number = self.note_request(sent_at, node);
        _ = stream.set_read_timeout(Some(REQUEST_TIMEOUT + Duration::from_secs(1)));
        let mut reader = BufReader::with_capacity(
            512,
            stream.try_clone().expect("the socket cannot be duplicated"),
        );
        let mut answer = String::new();
        if !matches!(reader.read_line(&mut answer), Ok(1..)) {
            return backoff;
        }
        let accepted = answer.starts_with("UP");
        self.note_answer(number, sent_at.elapsed(), accepted);
        if !accepted {
            return retry_after(&answer).unwrap_or(backoff);
        }
        self.hold(&mut stream, &mut reader);
        self.record.lock().unwrap().connected_since = None;
        self.was_connected = true;
        backoff
    }

    fn request_line(&mut self) -> String {
        let id: u64 = self.rng.random();
        let again_field = if self.was_connected { ",again=1" } else { "" };
        format!(
            "OPEN {id:x} {:x} c=chat,t=acme,d={}{again_field}\r\n",
            self.key,
            REQUEST_TIMEOUT.as_millis()
        )
    }

    /// Records a request, and returns its index in the record.
    fn note_request(&self, sent_at: Instant, node: SocketAddr) -> usize {
        let mut record = self.record.lock().unwrap();
        record.requests.push(RequestRecord {
            sent_at,
            node,
            answered_after: None,
            accepted: false,
        });
        record.requests.len() - 1
    }

    fn note_answer(&self, number: usize, took: Duration, accepted: bool) {
        let mut record = self.record.lock().unwrap();
        let request = &mut record.requests[number];
        (request.answered_after, request.accepted) = (Some(took), accepted);
        record.connected_since = accepted.then(Instant::now);
    }

    /// Sends a line at intervals and expects it back, until either side ends the connection or the clients are stopped.
    fn hold(&self, stream: &mut TcpStream, reader: &mut BufReader<TcpStream>) {
        _ = stream.set_read_timeout(Some(ECHO_READ_TIMEOUT));
        let mut line = String::new();
        while !self.stopped.load(SeqCst) && stream.write_all(b"hello\r\n").is_ok() {
            match reader.read_line(&mut line) {
                Ok(1..) if line == "hello\r\n" => {
                    line.clear();
                    thread::sleep(ECHO_INTERVAL);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    thread::sleep(Duration::from_millis(50));
                }
                _ => break,
            }
        }
    }
}

/// Returns how long an answer asks the client to wait; `None` if it does not ask for that.
fn retry_after(answer: &str) -> Option<Duration> {
    let millis = answer.strip_prefix("BUSY ")?.trim().parse().ok()?;
    Some(Duration::from_millis(millis))
}
