//! Clients that send one request each and then use their connection for a time. Each records what it observed.

use super::{spawn_thread, InvariantChecker, CLASS_NAMES, REQUEST_TIMEOUT};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How long a client waits for a line to come back on its open connection.
const ECHO_TIMEOUT: Duration = Duration::from_secs(3);
/// The longest pause between two lines on an open connection.
const MAX_ECHO_INTERVAL: Duration = Duration::from_millis(40);

/// What a client observed.
#[derive(Clone, Debug)]
pub struct ClientObservation {
    /// The id of the request.
    pub name: String,
    /// The class of the request, as an index in [`CLASS_NAMES`].
    pub class: usize,
    /// When the request was sent.
    pub asked: Instant,
    /// All final answers, and when each was received. On an open connection, each line that is neither an echo nor
    /// `MOVE` counts as an answer.
    pub answers: Vec<(Instant, String)>,
    /// Whether each line sent on the open connection came back; `None` if the connection was never open.
    pub echoed: Option<bool>,
}

impl ClientObservation {
    fn note_answer(&mut self, line: &str) {
        self.answers
            .push((Instant::now(), line.trim_end().to_string()));
    }
}

/// Starts clients that connect to a list of addresses in turn.
pub struct Clients {
    addresses: Vec<SocketAddr>,
    checker: InvariantChecker,
    rng: ChaCha8Rng,
    threads: Vec<JoinHandle<()>>,
    /// Clients end their connections when this is incremented.
    round: Arc<AtomicU64>,
    started: usize,
    seed: u64,
}

impl Clients {
    /// Creates a set without clients. Idempotency keys are drawn from `seed`.
    pub fn new(addresses: Vec<SocketAddr>, checker: &InvariantChecker, seed: u64) -> Self {
        Clients {
            addresses,
            checker: checker.clone(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            threads: Vec::new(),
            round: Arc::default(),
            started: 0,
            seed,
        }
    }

    /// Returns the number of clients started so far.
    pub fn started(&self) -> usize {
        self.started
    }

    /// Starts a client whose request has this class, an index in [`CLASS_NAMES`]. It uses its connection for
    /// `hold_duration`, or until [`Clients::end`].
    pub fn start_client(&mut self, class: usize, hold_duration: Duration) {
        let address = self.addresses[self.started % self.addresses.len()];
        self.started += 1;
        let client = Client {
            name: format!("{:x}-{}", self.seed, self.started),
            key: self.rng.random(),
            class,
            hold_time: hold_duration,
            round: self.round.clone(),
        };
        let checker = self.checker.clone();
        self.threads.push(spawn_thread(move || {
            if let Some(observation) = client.run(address) {
                checker.note_client(observation);
            }
        }));
    }

    /// Starts `rate` clients per second for `span`, with the request classes in turn.
    pub fn load(&mut self, rate: f64, span: Duration, classes: &[usize], hold_duration: Duration) {
        let (start, interval) = (Instant::now(), Duration::from_secs_f64(1.0 / rate));
        let mut next = start;
        let mut count = 0;
        while next < start + span {
            thread::sleep(next.saturating_duration_since(Instant::now()));
            self.start_client(classes[count % classes.len()], hold_duration);
            (next, count) = (next + interval, count + 1);
        }
    }

    /// Tells all clients to end their open connections and waits for them.
    pub fn end(&mut self) {
        self.round.fetch_add(1, SeqCst);
        for client in self.threads.drain(..) {
            client.join().expect("a client panicked");
        }
    }
}

struct Client {
    name: String,
    key: u64,
    class: usize,
    hold_time: Duration,
    round: Arc<AtomicU64>,
}

impl Client {
    /// Sends the request and uses the connection if it opens. Returns `None` if the request could not be sent.
    fn run(self, address: SocketAddr) -> Option<ClientObservation> {
        let round = self.round.load(SeqCst);
        let mut stream = TcpStream::connect(address).ok()?;
        _ = stream.set_nodelay(true);
        let line = format!(
            "OPEN {} {:x} c={},t=acme,d={}\r\n",
            self.name,
            self.key,
            CLASS_NAMES[self.class],
            REQUEST_TIMEOUT.as_millis()
        );
        let mut observation = ClientObservation {
            name: self.name.clone(),
            class: self.class,
            asked: Instant::now(),
            answers: Vec::new(),
            echoed: None,
        };
        stream.write_all(line.as_bytes()).ok()?;
        _ = stream.set_read_timeout(Some(REQUEST_TIMEOUT + Duration::from_millis(500)));
        let mut reader = BufReader::with_capacity(512, stream.try_clone().unwrap());
        let mut answer = String::new();
        if matches!(reader.read_line(&mut answer), Ok(1..)) {
            observation.note_answer(&answer);
        }
        if answer.starts_with("UP") {
            self.hold(round, &mut stream, &mut reader, &mut observation);
        } else if !answer.is_empty() {
            // Waits for a second answer, which the protocol forbids.
            answer.clear();
            if matches!(reader.read_line(&mut answer), Ok(1..)) {
                observation.note_answer(&answer);
            }
        }
        Some(observation)
    }

    /// Sends lines on the open connection and expects each back, until the hold time or the round ends.
    fn hold(
        &self,
        round: u64,
        stream: &mut TcpStream,
        reader: &mut BufReader<TcpStream>,
        observation: &mut ClientObservation,
    ) {
        observation.echoed = Some(true);
        let start = Instant::now();
        _ = stream.set_read_timeout(Some(ECHO_TIMEOUT));
        let mut line = String::new();
        while start.elapsed() < self.hold_time && self.round.load(SeqCst) == round {
            let sent = stream.write_all(b"hello\r\n").is_ok();
            line.clear();
            match reader.read_line(&mut line) {
                Ok(1..) if line == "hello\r\n" => {}
                Ok(1..) if line == "MOVE\r\n" => return,
                Ok(1..) => {
                    observation.note_answer(&line);
                    return;
                }
                // The host, or a node that was killed, closed the connection, so no line has to come back.
                Ok(0) => return,
                Err(_) => {
                    observation.echoed = Some(!sent);
                    return;
                }
            }
            thread::sleep(MAX_ECHO_INTERVAL.min(self.hold_time));
        }
    }
}
