//! The clients of a soak. Most follow the protocol and some violate it; each records what it observed.

use super::process_slot::ProcessSlots;
use super::profile::{ClientMix, SoakProfile};
use super::SoakSize;
use crate::simulated::{spawn_thread, CLASS_NAMES};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io::{self, BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How long a client waits for a line. Longer than any answer may take and than any suspension of a process.
const READ_TIMEOUT: Duration = Duration::from_secs(7);
/// The pause between two bytes that a slow client sends.
const SLOW_BYTE_INTERVAL: Duration = Duration::from_millis(2);
/// The pause between two lines on an open connection.
const ECHO_INTERVAL: Duration = Duration::from_millis(60);
/// The number of clients per slot that keep a connection open for the whole soak.
const LONG_LIVED_CLIENTS_PER_SLOT: u64 = 2;
/// How long a long-lived client uses its connection. Longer than any soak, so that only the soak's end stops it.
const LONG_LIVED_HOLD_TIME: Duration = Duration::from_secs(3600);
/// The pause between two lines of a long-lived client, as the protocol prescribes it.
const LONG_LIVED_LINE_INTERVAL: Duration = Duration::from_secs(2);
/// The pause before a long-lived client reconnects.
const LONG_LIVED_RECONNECT_INTERVAL: Duration = Duration::from_millis(50);
/// How often a client that sends late checks whether the process was told to stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The exclusive limit on how long after it noticed the stop such a client sends its request, in milliseconds.
const MAX_SEND_DELAY_AFTER_STOP_MILLIS: u64 = 150;
/// The number of copies of its request that a pipelining client sends at once.
const PIPELINED_REQUESTS: usize = 3;

/// How a client behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientBehavior {
    /// Sends a request, waits for the answer and then sends lines on the open connection for its span.
    Plain,
    /// Behaves like `Plain`, but sends its request one byte at a time.
    Slow,
    /// Sends a request and closes the connection after its span without reading an answer.
    LeavesEarly,
    /// Sends the first half of a request line and keeps the connection open.
    PartialLine,
    /// Connects, stays idle and sends its request around the time at which the process closes idle connections, or
    /// shortly after the process was told to stop.
    SendsLate,
    /// Sends its request several times at once.
    Pipelines,
}

impl ClientBehavior {
    /// Returns whether the client violates the protocol, so that it may get an error or the end of its connection.
    pub fn violates_protocol(self) -> bool {
        matches!(
            self,
            ClientBehavior::PartialLine | ClientBehavior::Pipelines
        )
    }
}

/// What a client received when it waited for a line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    Line(String),
    /// The peer closed the connection in order.
    End,
    /// The connection was reset.
    Reset,
    /// Nothing came within the read timeout.
    Timeout,
}

impl Received {
    /// Returns whether this is a line that starts with `prefix`.
    pub fn starts_with(&self, prefix: &str) -> bool {
        matches!(self, Received::Line(line) if line.starts_with(prefix))
    }
}

/// What a client observed.
#[derive(Clone, Debug)]
pub struct ClientObservation {
    pub name: String,
    pub slot: usize,
    pub class: usize,
    pub behavior: ClientBehavior,
    /// When the client had sent its request.
    pub asked: Instant,
    pub received: Received,
    pub received_at: Instant,
    /// When the client closed the connection without waiting for an answer; `None` if it waited.
    pub closed_at: Option<Instant>,
    /// How the open connection ended; `None` if the client ended it or it was never open.
    pub ended: Option<Received>,
    pub ended_at: Option<Instant>,
    /// A line that followed a final answer. The protocol allows none.
    pub second_answer: Option<String>,
}

/// Generates clients at a steady rate until [`ClientLoad::end`].
pub struct ClientLoad {
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    observations: Observations,
}

type Observations = Arc<Mutex<Vec<ClientObservation>>>;

impl ClientLoad {
    pub fn start(
        seed: u64,
        size: &SoakSize,
        slots: ProcessSlots,
        profile: SoakProfile,
    ) -> ClientLoad {
        let generator = ClientGenerator {
            seed,
            interval: Duration::from_secs_f64(1.0 / size.rate),
            slots,
            profile,
            stopped: Arc::default(),
            observations: Observations::default(),
        };
        let (stopped, observations) = (generator.stopped.clone(), generator.observations.clone());
        let mut threads = Vec::new();
        if profile.clients == ClientMix::UntilMoved {
            for number in 0..LONG_LIVED_CLIENTS_PER_SLOT * size.processes as u64 {
                let generator = generator.clone();
                threads.push(thread::spawn(move || generator.run_long_lived(number)));
            }
        }
        threads.push(thread::spawn(move || generator.generate()));
        ClientLoad {
            stopped,
            threads,
            observations,
        }
    }

    /// Starts no more clients and waits until those that are running have ended.
    pub fn end(&mut self) {
        self.stopped.store(true, SeqCst);
        for thread in self.threads.drain(..) {
            thread.join().expect("a load generator panicked");
        }
    }

    pub fn observations(&self) -> Vec<ClientObservation> {
        self.observations.lock().unwrap().clone()
    }
}

/// Starts clients and collects what they observe.
#[derive(Clone)]
struct ClientGenerator {
    seed: u64,
    interval: Duration,
    slots: ProcessSlots,
    profile: SoakProfile,
    stopped: Arc<AtomicBool>,
    observations: Observations,
}

impl ClientGenerator {
    /// Starts clients until the load is stopped, then waits for them.
    fn generate(&self) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ 0x5eed);
        let (mut next, mut number, mut threads) = (Instant::now(), 0u64, Vec::new());
        while !self.stopped.load(SeqCst) {
            thread::sleep(next.saturating_duration_since(Instant::now()));
            next += self.interval;
            number += 1;
            let Some((slot, address)) = pick_slot(&self.slots, &mut rng) else {
                continue;
            };
            let name = format!("{:x}-{number}", self.seed);
            let client = Client::draw(&mut rng, name, slot, address, &self.profile);
            let generator = self.clone();
            threads.push(spawn_thread(move || generator.run(client)));
        }
        for client in threads {
            client.join().expect("a client panicked");
        }
    }

    /// Runs one client that uses a connection for the whole soak and reconnects whenever its connection ends.
    fn run_long_lived(&self, number: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ 0x1a57 ^ (number << 32));
        let mut connects = 0;
        while !self.stopped.load(SeqCst) {
            connects += 1;
            if let Some((slot, address)) = pick_slot(&self.slots, &mut rng) {
                let name = format!("{:x}-lasting{number}-{connects}", self.seed);
                self.run(Client {
                    behavior: ClientBehavior::Plain,
                    span: LONG_LIVED_HOLD_TIME,
                    line_interval: LONG_LIVED_LINE_INTERVAL,
                    ..Client::draw(&mut rng, name, slot, address, &self.profile)
                });
            }
            thread::sleep(LONG_LIVED_RECONNECT_INTERVAL);
        }
    }

    fn run(&self, client: Client) {
        if let Some(observation) = client.run(&self.slots, &self.stopped) {
            self.observations.lock().unwrap().push(observation);
        }
    }
}

/// Returns a random slot and its address, or `None` if the upstream load balancer sends no clients there now.
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
    /// How long the client uses its connection, stays idle or waits before it closes, depending on its behavior.
    span: Duration,
    /// The pause between two lines on the open connection.
    line_interval: Duration,
    /// The deadline of the request, from when it is read.
    deadline: Duration,
    /// Whether a client that sends late sends its request earlier, shortly after the process is told to stop, if that
    /// happens within its span.
    sends_after_stop: bool,
}

impl Client {
    fn draw(
        rng: &mut ChaCha8Rng,
        name: String,
        slot: usize,
        address: SocketAddr,
        profile: &SoakProfile,
    ) -> Client {
        match profile.clients {
            ClientMix::Short => Client::draw_short(rng, name, slot, address, profile),
            ClientMix::UntilMoved => Client::draw_until_moved(rng, name, slot, address, profile),
        }
    }

    /// Draws a client that ends within a few seconds.
    fn draw_short(
        rng: &mut ChaCha8Rng,
        name: String,
        slot: usize,
        address: SocketAddr,
        profile: &SoakProfile,
    ) -> Client {
        let (behavior, span_millis) = match rng.random_range(0..20) {
            0 | 1 => (ClientBehavior::LeavesEarly, rng.random_range(0..400)),
            2 => (ClientBehavior::PartialLine, 0),
            3 => (ClientBehavior::SendsLate, rng.random_range(1900..2150)),
            4 => (ClientBehavior::Pipelines, 0),
            5 => (ClientBehavior::Slow, rng.random_range(50..600)),
            _ => (ClientBehavior::Plain, rng.random_range(50..1500)),
        };
        let class = rng.random_range(0..3);
        Client {
            name,
            slot,
            address,
            class,
            behavior,
            key: rng.random(),
            span: Duration::from_millis(span_millis),
            line_interval: ECHO_INTERVAL,
            deadline: profile.deadlines[class],
            sends_after_stop: false,
        }
    }

    /// Draws a client that may use its connection until it is told to move, or send once the process was told to
    /// stop.
    fn draw_until_moved(
        rng: &mut ChaCha8Rng,
        name: String,
        slot: usize,
        address: SocketAddr,
        profile: &SoakProfile,
    ) -> Client {
        let (behavior, span_millis) = match rng.random_range(0..20) {
            0 => (ClientBehavior::PartialLine, 0),
            1 => (ClientBehavior::LeavesEarly, rng.random_range(0..400)),
            2 => (ClientBehavior::Pipelines, 0),
            3..=6 => (ClientBehavior::SendsLate, rng.random_range(200..1800)),
            7 => (ClientBehavior::Slow, rng.random_range(200..6000)),
            8..=13 => (ClientBehavior::Plain, rng.random_range(500..8000)),
            _ => (
                ClientBehavior::Plain,
                LONG_LIVED_HOLD_TIME.as_millis() as u64,
            ),
        };
        let class = rng.random_range(0..3);
        Client {
            name,
            slot,
            address,
            class,
            behavior,
            key: rng.random(),
            span: Duration::from_millis(span_millis),
            line_interval: Duration::from_millis(rng.random_range(60..500)),
            deadline: profile.deadlines[class],
            sends_after_stop: true,
        }
    }

    /// Returns what the client observed, or `None` if its request could not be sent.
    fn run(self, slots: &ProcessSlots, stopped: &AtomicBool) -> Option<ClientObservation> {
        let mut stream = TcpStream::connect(self.address).ok()?;
        _ = stream.set_nodelay(true);
        if self.behavior == ClientBehavior::SendsLate {
            self.wait_idle(slots);
        }
        self.send_request(&mut stream).ok()?;
        let mut observation = self.observation(Instant::now());
        if self.behavior == ClientBehavior::LeavesEarly {
            thread::sleep(self.span);
            drop(stream);
            observation.closed_at = Some(Instant::now());
            return Some(observation);
        }
        _ = stream.set_read_timeout(Some(READ_TIMEOUT));
        let mut reader = BufReader::with_capacity(512, stream.try_clone().ok()?);
        observation.received = receive(&mut reader);
        observation.received_at = Instant::now();
        if observation.received.starts_with("UP") {
            observation.ended = self.use_connection(&mut stream, &mut reader, stopped);
            observation.ended_at = Some(Instant::now());
        } else if matches!(observation.received, Received::Line(_)) {
            if let Received::Line(second) = receive(&mut reader) {
                observation.second_answer = Some(second);
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
            self.deadline.as_millis()
        );
        match self.behavior {
            ClientBehavior::PartialLine => stream.write_all(&line.as_bytes()[..line.len() / 2]),
            ClientBehavior::Pipelines => {
                stream.write_all(line.repeat(PIPELINED_REQUESTS).as_bytes())
            }
            ClientBehavior::Slow => line.bytes().try_for_each(|byte| {
                stream.write_all(&[byte])?;
                thread::sleep(SLOW_BYTE_INTERVAL);
                Ok(())
            }),
            ClientBehavior::Plain | ClientBehavior::LeavesEarly | ClientBehavior::SendsLate => {
                stream.write_all(line.as_bytes())
            }
        }
    }

    /// Stays idle for the span, or until shortly after the process was told to stop.
    fn wait_idle(&self, slots: &ProcessSlots) {
        let end = Instant::now() + self.span;
        if !self.sends_after_stop {
            return thread::sleep(self.span);
        }
        while Instant::now() < end {
            thread::sleep(STOP_POLL_INTERVAL);
            if slots[self.slot].lock().unwrap().closed.is_some() {
                let pause = self.key % MAX_SEND_DELAY_AFTER_STOP_MILLIS;
                return thread::sleep(Duration::from_millis(pause));
            }
        }
    }

    /// Returns the observation of a client that has sent its request and received nothing yet.
    fn observation(&self, asked: Instant) -> ClientObservation {
        ClientObservation {
            name: self.name.clone(),
            slot: self.slot,
            class: self.class,
            behavior: self.behavior,
            asked,
            received: Received::Timeout,
            received_at: asked,
            closed_at: None,
            ended: None,
            ended_at: None,
            second_answer: None,
        }
    }

    /// Sends lines on the open connection and expects each back. Returns how the connection ended, or `None` if the
    /// client ended it or could not send.
    fn use_connection(
        &self,
        stream: &mut TcpStream,
        reader: &mut BufReader<TcpStream>,
        stopped: &AtomicBool,
    ) -> Option<Received> {
        let end = Instant::now() + self.span;
        let is_long_lived = self.span >= LONG_LIVED_HOLD_TIME;
        while Instant::now() < end && !(is_long_lived && stopped.load(SeqCst)) {
            let sent = stream.write_all(b"hello\r\n").is_ok();
            match receive(reader) {
                Received::Line(line) if line == "hello" => {}
                unexpected => return Some(unexpected).filter(|_| sent),
            }
            thread::sleep(self.line_interval);
        }
        None
    }
}

/// Returns the next line, or why none came.
fn receive(reader: &mut BufReader<TcpStream>) -> Received {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(0) => Received::End,
        Ok(_) => Received::Line(line.trim_end().to_string()),
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            Received::Timeout
        }
        Err(_) => Received::Reset,
    }
}
