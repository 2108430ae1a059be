//! The clients of a soak: most behave, some don't. Each records what it saw.

use super::process_group::ProcessSlots;
use super::SoakSize;
use crate::simulated::{spawn_thread, InvariantChecker, CLASS_NAMES, REQUEST_TIMEOUT};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How a client behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientBehavior {
    /// Asks, waits for its answer, and sends lines on its open connection for a while.
    Plain,
    /// The same, a byte at a time.
    Slow,
    /// Asks, and goes before it has its answer.
    Leaves,
    /// Sends half a line, and stays.
    Half,
    /// Rests until about the moment in which it is ended for that, and asks then.
    Rests,
    /// Sends several lines at once.
    Pipelines,
}

/// How what it waited for came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    Line(String),
    End,
    Reset,
    /// Nothing, for as long as it waited.
    Nothing,
}

#[derive(Clone, Debug)]
pub struct ClientObservation {
    pub name: String,
    pub slot: usize,
    pub class: usize,
    pub behavior: ClientBehavior,
    pub asked: Instant,
    pub received: Received,
    pub received_at: Instant,
    /// When it closed, where it went before it had an answer.
    pub left: Option<Instant>,
    /// How its open connection ended.
    pub ended: Option<Received>,
    pub ended_at: Option<Instant>,
    /// A line came behind a final answer.
    pub second: Option<String>,
}

/// Clients that come at a steady rate until they are told to end.
pub struct ClientLoad {
    over: Arc<AtomicBool>,
    dealer: Option<JoinHandle<()>>,
    observations: Arc<Mutex<Vec<ClientObservation>>>,
}

impl ClientLoad {
    pub fn start(
        seed: u64,
        size: &SoakSize,
        slots: ProcessSlots,
        _referee: &InvariantChecker,
    ) -> ClientLoad {
        let (over, observations) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::default()));
        let (their_over, their_observations) = (over.clone(), observations.clone());
        let step = Duration::from_secs_f64(1.0 / size.rate);
        let dealer = thread::spawn(move || {
            let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
            let (mut next, mut number, mut running) = (Instant::now(), 0u64, Vec::new());
            while !their_over.load(SeqCst) {
                thread::sleep(next.saturating_duration_since(Instant::now()));
                next += step;
                number += 1;
                let Some((slot, address)) = deal(&slots, &mut rng) else {
                    continue;
                };
                let client = Client::draw(&mut rng, format!("{seed:x}-{number}"), slot, address);
                let observations: Arc<Mutex<Vec<ClientObservation>>> = their_observations.clone();
                running.push(spawn_thread(move || {
                    if let Some(one) = client.live() {
                        observations.lock().unwrap().push(one);
                    }
                }));
            }
            running
                .into_iter()
                .for_each(|one| one.join().expect("a client panicked"));
        });
        ClientLoad {
            over,
            dealer: Some(dealer),
            observations,
        }
    }

    /// No more come; those that are there live out their time.
    pub fn end(&mut self) {
        self.over.store(true, SeqCst);
        if let Some(dealer) = self.dealer.take() {
            dealer.join().expect("the dealer panicked");
        }
    }

    pub fn observations(&self) -> Vec<ClientObservation> {
        self.observations.lock().unwrap().clone()
    }
}

/// A process that the front deals clients to.
fn deal(slots: &ProcessSlots, rng: &mut ChaCha8Rng) -> Option<(usize, SocketAddr)> {
    let slot = rng.random_range(0..slots.len());
    let noted = slots[slot].lock().unwrap();
    if noted.closed.is_some_and(|t| t <= Instant::now()) {
        return None;
    }
    Some((slot, noted.address?))
}

struct Client {
    name: String,
    slot: usize,
    address: SocketAddr,
    class: usize,
    behavior: ClientBehavior,
    key: u64,
    /// How long it stays, rests, or waits before it goes.
    span: Duration,
}

impl Client {
    fn draw(rng: &mut ChaCha8Rng, name: String, slot: usize, address: SocketAddr) -> Client {
        let (behavior, span) = match rng.random_range(0..20) {
            0 | 1 => (ClientBehavior::Leaves, rng.random_range(0..400)),
            2 => (ClientBehavior::Half, 0),
            3 => (ClientBehavior::Rests, rng.random_range(1900..2150)),
            4 => (ClientBehavior::Pipelines, 0),
            5 => (ClientBehavior::Slow, rng.random_range(50..600)),
            _ => (ClientBehavior::Plain, rng.random_range(50..1500)),
        };
        let (class, key, span) = (
            rng.random_range(0..3),
            rng.random(),
            Duration::from_millis(span),
        );
        Client {
            name,
            slot,
            address,
            class,
            behavior,
            key,
            span,
        }
    }

    #[expect(
        clippy::too_many_lines,
        reason = "the life of one client, in its order"
    )]
    fn live(self) -> Option<ClientObservation> {
        let mut stream = TcpStream::connect(self.address).ok()?;
        _ = stream.set_nodelay(true);
        let wait = REQUEST_TIMEOUT.as_millis();
        let line = format!(
            "OPEN {} {:x} c={},t=acme,d={wait}\r\n",
            self.name, self.key, CLASS_NAMES[self.class]
        );
        match self.behavior {
            ClientBehavior::Half => stream.write_all(&line.as_bytes()[..line.len() / 2]).ok()?,
            ClientBehavior::Pipelines => stream.write_all(line.repeat(3).as_bytes()).ok()?,
            ClientBehavior::Slow => {
                for byte in line.bytes() {
                    stream.write_all(&[byte]).ok()?;
                    thread::sleep(Duration::from_millis(2));
                }
            }
            ClientBehavior::Rests => {
                thread::sleep(self.span);
                stream.write_all(line.as_bytes()).ok()?;
            }
            ClientBehavior::Plain | ClientBehavior::Leaves => {
                stream.write_all(line.as_bytes()).ok()?;
            }
        }
        let asked = Instant::now();
        let mut observation = ClientObservation {
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
        };
        if self.behavior == ClientBehavior::Leaves {
            thread::sleep(self.span);
            drop(stream);
            observation.left = Some(Instant::now());
            return Some(observation);
        }
        // Longer than any answer may take, and than a process stands still.
        _ = stream.set_read_timeout(Some(Duration::from_secs(7)));
        let mut reader = BufReader::with_capacity(512, stream.try_clone().ok()?);
        observation.received = hear(&mut reader);
        observation.received_at = Instant::now();
        match &observation.received {
            Received::Line(said) if said.starts_with("UP") => {
                let ended = self.stay(&mut stream, &mut reader);
                (observation.ended, observation.ended_at) = (ended, Some(Instant::now()));
            }
            Received::Line(_) => {
                if let Received::Line(more) = hear(&mut reader) {
                    observation.second = Some(more);
                }
            }
            _ => {}
        }
        Some(observation)
    }

    /// Sends lines on its open connection; gives how that ended, where the client did not end it.
    fn stay(&self, stream: &mut TcpStream, reader: &mut BufReader<TcpStream>) -> Option<Received> {
        let until = Instant::now() + self.span;
        while Instant::now() < until {
            let sent = stream.write_all(b"hello\r\n").is_ok();
            match hear(reader) {
                Received::Line(said) if said == "hello" => {}
                other => return Some(other).filter(|_| sent),
            }
            thread::sleep(Duration::from_millis(60));
        }
        None
    }
}

fn hear(reader: &mut BufReader<TcpStream>) -> Received {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(0) => Received::End,
        Ok(_) => Received::Line(line.trim_end().to_string()),
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            Received::Nothing
        }
        Err(_) => Received::Reset,
    }
}
