//! The clients of a soak: most behave, some don't. Each records what it saw.

use super::process_slot::ProcessSlots;
use super::SoakSize;
use crate::simulated::{spawn_thread, CLASS_NAMES, REQUEST_TIMEOUT};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io::{self, BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Longer than any answer may take, and than a process is suspended.
const READ_TIMEOUT: Duration = Duration::from_secs(7);
/// The pause between two bytes of a slow client.
const SLOW_BYTE_INTERVAL: Duration = Duration::from_millis(2);
/// The pause between two lines on an open connection.
const ECHO_INTERVAL: Duration = Duration::from_millis(60);
/// How many requests a pipelining client sends at once.
const PIPELINED_REQUESTS: usize = 3;

/// How a client behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientBehavior {
    /// Sends a request, waits for its answer, and sends lines on its open connection for a while.
    Plain,
    /// The same, a byte at a time.
    Slow,
    /// Sends a request, and closes before it has its answer.
    Leaves,
    /// Sends half a line, and stays.
    Half,
    /// Is idle until about the moment in which its connection is closed for that, and sends its request then.
    Rests,
    /// Sends several requests at once.
    Pipelines,
}

impl ClientBehavior {
    /// Whether the end of its connection, or an error, is all that such a client may expect.
    pub fn is_bad(self) -> bool {
        matches!(self, ClientBehavior::Half | ClientBehavior::Pipelines)
    }
}

/// What a client received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    Line(String),
    /// The end of the connection.
    End,
    /// A reset of the connection.
    Reset,
    /// Nothing, for as long as it waited.
    Nothing,
}

impl Received {
    /// Whether it is a line that starts so.
    pub fn starts_with(&self, prefix: &str) -> bool {
        matches!(self, Received::Line(line) if line.starts_with(prefix))
    }
}

/// What a client saw.
#[derive(Clone, Debug)]
pub struct ClientObservation {
    pub name: String,
    pub slot: usize,
    pub class: usize,
    pub behavior: ClientBehavior,
    /// When it had sent its request.
    pub asked: Instant,
    pub received: Received,
    pub received_at: Instant,
    /// When it closed, where it did before it had an answer.
    pub left: Option<Instant>,
    /// How its open connection ended, where the client did not end it.
    pub ended: Option<Received>,
    pub ended_at: Option<Instant>,
    /// A line that came behind a final answer.
    pub second: Option<String>,
}

/// Clients that come at a steady rate until they are told to end.
pub struct ClientLoad {
    stopped: Arc<AtomicBool>,
    generator: Option<JoinHandle<()>>,
    observations: Observations,
}

type Observations = Arc<Mutex<Vec<ClientObservation>>>;

impl ClientLoad {
    pub fn start(seed: u64, size: &SoakSize, slots: ProcessSlots) -> ClientLoad {
        let stopped = Arc::new(AtomicBool::new(false));
        let observations = Observations::default();
        let interval = Duration::from_secs_f64(1.0 / size.rate);
        let generator = {
            let (stopped, observations) = (stopped.clone(), observations.clone());
            thread::spawn(move || generate(seed, interval, &slots, &stopped, &observations))
        };
        ClientLoad {
            stopped,
            generator: Some(generator),
            observations,
        }
    }

    /// Starts no more clients, and waits for those that are there.
    pub fn end(&mut self) {
        self.stopped.store(true, SeqCst);
        if let Some(generator) = self.generator.take() {
            generator.join().expect("the load generator panicked");
        }
    }

    pub fn observations(&self) -> Vec<ClientObservation> {
        self.observations.lock().unwrap().clone()
    }
}

/// Starts clients until it is stopped, and waits for them.
fn generate(
    seed: u64,
    interval: Duration,
    slots: &ProcessSlots,
    stopped: &AtomicBool,
    observations: &Observations,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
    let (mut next, mut number, mut threads) = (Instant::now(), 0u64, Vec::new());
    while !stopped.load(SeqCst) {
        thread::sleep(next.saturating_duration_since(Instant::now()));
        next += interval;
        number += 1;
        let Some((slot, address)) = pick_slot(slots, &mut rng) else {
            continue;
        };
        let client = Client::draw(&mut rng, format!("{seed:x}-{number}"), slot, address);
        let observations = observations.clone();
        threads.push(spawn_thread(move || {
            if let Some(observation) = client.run() {
                observations.lock().unwrap().push(observation);
            }
        }));
    }
    for client in threads {
        client.join().expect("a client panicked");
    }
}

/// A random slot and its address, unless the front sends no clients there.
fn pick_slot(slots: &ProcessSlots, rng: &mut ChaCha8Rng) -> Option<(usize, SocketAddr)> {
    let number = rng.random_range(0..slots.len());
    let slot = slots[number].lock().unwrap();
    if slot.closed.is_some_and(|at| at <= Instant::now()) {
        return None;
    }
    Some((number, slot.address?))
}

struct Client {
    name: String,
    slot: usize,
    address: SocketAddr,
    class: usize,
    behavior: ClientBehavior,
    key: u64,
    /// How long it holds its connection, is idle, or waits before it closes.
    span: Duration,
}

impl Client {
    fn draw(rng: &mut ChaCha8Rng, name: String, slot: usize, address: SocketAddr) -> Client {
        let (behavior, span_millis) = match rng.random_range(0..20) {
            0 | 1 => (ClientBehavior::Leaves, rng.random_range(0..400)),
            2 => (ClientBehavior::Half, 0),
            3 => (ClientBehavior::Rests, rng.random_range(1900..2150)),
            4 => (ClientBehavior::Pipelines, 0),
            5 => (ClientBehavior::Slow, rng.random_range(50..600)),
            _ => (ClientBehavior::Plain, rng.random_range(50..1500)),
        };
        Client {
            name,
            slot,
            address,
            class: rng.random_range(0..3),
            behavior,
            key: rng.random(),
            span: Duration::from_millis(span_millis),
        }
    }

    /// Returns nothing where the request could not be sent.
    fn run(self) -> Option<ClientObservation> {
        let mut stream = TcpStream::connect(self.address).ok()?;
        _ = stream.set_nodelay(true);
        self.send_request(&mut stream).ok()?;
        let mut observation = self.observation(Instant::now());
        if self.behavior == ClientBehavior::Leaves {
            thread::sleep(self.span);
            drop(stream);
            observation.left = Some(Instant::now());
            return Some(observation);
        }
        _ = stream.set_read_timeout(Some(READ_TIMEOUT));
        let mut reader = BufReader::with_capacity(512, stream.try_clone().ok()?);
        observation.received = receive(&mut reader);
        observation.received_at = Instant::now();
        if observation.received.starts_with("UP") {
            observation.ended = self.hold(&mut stream, &mut reader);
            observation.ended_at = Some(Instant::now());
        } else if matches!(observation.received, Received::Line(_)) {
            if let Received::Line(second) = receive(&mut reader) {
                observation.second = Some(second);
            }
        }
        Some(observation)
    }

    fn send_request(&self, stream: &mut TcpStream) -> io::Result<()> {
        let line = format!(
            "OPEN {} {:x} c={},t=acme,d={}\r\n",
            self.name,
            self.key,
            CLASS_NAMES[self.class],
            REQUEST_TIMEOUT.as_millis()
        );
        match self.behavior {
            ClientBehavior::Half => stream.write_all(&line.as_bytes()[..line.len() / 2]),
            ClientBehavior::Pipelines => {
                stream.write_all(line.repeat(PIPELINED_REQUESTS).as_bytes())
            }
            ClientBehavior::Slow => line.bytes().try_for_each(|byte| {
                stream.write_all(&[byte])?;
                thread::sleep(SLOW_BYTE_INTERVAL);
                Ok(())
            }),
            ClientBehavior::Rests => {
                thread::sleep(self.span);
                stream.write_all(line.as_bytes())
            }
            ClientBehavior::Plain | ClientBehavior::Leaves => stream.write_all(line.as_bytes()),
        }
    }

    /// What a client saw that has only sent its request.
    fn observation(&self, asked: Instant) -> ClientObservation {
        ClientObservation {
            name: self.name.clone(),
            slot: self.slot,
            class: self.class,
            behavior: self.behavior,
            asked,
            received: Received::Nothing,
            received_at: asked,
            left: None,
            ended: None,
            ended_at: None,
            second: None,
        }
    }

    /// Sends lines on its open connection; returns how that ended, where the client did not end it.
    fn hold(&self, stream: &mut TcpStream, reader: &mut BufReader<TcpStream>) -> Option<Received> {
        let end = Instant::now() + self.span;
        while Instant::now() < end {
            let sent = stream.write_all(b"hello\r\n").is_ok();
            match receive(reader) {
                Received::Line(line) if line == "hello" => {}
                other => return Some(other).filter(|_| sent),
            }
            thread::sleep(ECHO_INTERVAL);
        }
        None
    }
}

/// The next line, or what came in its place.
fn receive(reader: &mut BufReader<TcpStream>) -> Received {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(0) => Received::End,
        Ok(_) => Received::Line(line.trim_end().to_string()),
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            Received::Nothing
        }
        Err(_) => Received::Reset,
    }
}
