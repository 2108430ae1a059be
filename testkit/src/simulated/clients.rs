//! Clients that send one request each, and hold their connection for a time. Each records what it saw.

use super::{spawn_thread, InvariantChecker, CLASS_NAMES, REQUEST_TIMEOUT};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How long an open connection may take to send a line back.
const ECHO_TIMEOUT: Duration = Duration::from_secs(3);
/// The longest pause between two lines on an open connection.
const MAX_ECHO_INTERVAL: Duration = Duration::from_millis(40);

/// What a client saw.
#[derive(Clone, Debug)]
pub struct ClientObservation {
    /// The request's id.
    pub name: String,
    /// Its class, an index in [`CLASS_NAMES`].
    pub class: usize,
    /// When it was sent.
    pub asked: Instant,
    /// All final answers, and when each came.
    pub answers: Vec<(Instant, String)>,
    /// Whether a line that it sent on its open connection came back.
    pub echoed: Option<bool>,
}

impl ClientObservation {
    fn note_answer(&mut self, line: &str) {
        self.answers
            .push((Instant::now(), line.trim_end().to_string()));
    }
}

/// Clients that are spread over addresses in turns.
pub struct Clients {
    addresses: Vec<SocketAddr>,
    checker: InvariantChecker,
    rng: ChaCha8Rng,
    threads: Vec<JoinHandle<()>>,
    /// Clients hold their connections until this moves on.
    round: Arc<AtomicU64>,
    started: usize,
    seed: u64,
}

impl Clients {
    /// No client has come yet; `seed` draws their keys.
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

    /// How many have come.
    pub fn started(&self) -> usize {
        self.started
    }

    /// Starts one more client, of a request class by its number, that holds its connection for so long, or until `end`.
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

    /// Starts so many a second for so long, request classes in turns.
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

    /// Has all clients end their open connections now, and waits for them.
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
    /// Sends the request, and holds the connection where it opens. Returns nothing where the request could not be sent.
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
            // There is to be no second answer.
            answer.clear();
            if matches!(reader.read_line(&mut answer), Ok(1..)) {
                observation.note_answer(&answer);
            }
        }
        Some(observation)
    }

    /// Sends lines on the open connection and expects each back, until its time or the round is over.
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
                // Its host, or a node that was killed, ended the connection: no line has to come back any more.
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
