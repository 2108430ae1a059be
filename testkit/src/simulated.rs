//! Hosts and clients that act by themselves, and the invariant checker. Each host behaves as a test sets it; each client
//! sends a request, waits for its answer, and holds its connection for a time. What they saw is recorded with its
//! time, and the four rules are checked by these records alone.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, AtomicU64, AtomicU8, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What a host does with a line that asks.
#[derive(Clone, Copy, Debug, PartialEq)]
#[repr(u8)]
pub enum HostBehavior {
    /// Accepts it, and sends back what comes on the connection.
    Accepts,
    /// Rejects it: it has not run.
    Rejects,
    /// Fails it: it may have run.
    Fails,
    /// Never answers.
    Silent,
    /// Closes the connection without an answer.
    Disconnects,
}

const BEHAVIORS: [HostBehavior; 5] = [
    HostBehavior::Accepts,
    HostBehavior::Rejects,
    HostBehavior::Fails,
    HostBehavior::Silent,
    HostBehavior::Disconnects,
];

/// The names of the request classes, by what may be done with them again.
pub const CLASS_NAMES: [&str; 3] = ["free", "mark", "once"];
/// How long those waits are that the invariant checker allows beyond a rule's own, on sockets.
pub const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// How long after a drain was told a host may still be sent new requests.
pub const DRAIN_GRACE: Duration = Duration::from_millis(300);
/// How long clients wait for their answer.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a idempotency group drops the repeats of a marked one.
pub const WINDOW: Duration = Duration::from_secs(1);

/// A line that asks, as it reached a host.
#[derive(Clone, Debug)]
pub struct ObservedAttempt {
    /// When it came.
    pub at: Instant,
    /// The host's number.
    pub host: usize,
    /// The request's id.
    pub name: String,
    /// What the host did with it.
    pub behavior: HostBehavior,
    /// When the node gave it up, where the host said nothing.
    pub left: Option<Instant>,
}

/// What a client lived through.
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
    /// A line that it sent on its open connection came back.
    pub echoed: Option<bool>,
}

#[derive(Default)]
struct Record {
    reached: Vec<ObservedAttempt>,
    observations: Vec<ClientObservation>,
    /// When discovery began to say that a host drains, and when it ceased to.
    drains: HashMap<usize, (Instant, Option<Instant>)>,
}

/// Who judges.
#[derive(Clone, Default)]
pub struct InvariantChecker(Arc<Mutex<Record>>);

impl InvariantChecker {
    /// All attempts that reached hosts.
    pub fn reached(&self) -> Vec<ObservedAttempt> {
        self.0.lock().unwrap().reached.clone()
    }

    /// What each client saw that has ended.
    pub fn observations(&self) -> Vec<ClientObservation> {
        self.0.lock().unwrap().observations.clone()
    }

    /// Discovery was told that the host drains, or is back.
    pub fn drains(&self, host: usize, drains: bool) {
        let mut record = self.0.lock().unwrap();
        match drains {
            true => _ = record.drains.insert(host, (Instant::now(), None)),
            false => {
                if let Some(since) = record.drains.get_mut(&host) {
                    since.1 = Some(Instant::now());
                }
            }
        }
    }

    /// From each client's line to its first attempt, by name.
    pub fn first_attempts(&self) -> Vec<(ClientObservation, Option<Duration>)> {
        let record = self.0.lock().unwrap();
        let mut first: HashMap<&str, Instant> = HashMap::new();
        for one in &record.reached {
            first
                .entry(&one.name)
                .and_modify(|t| *t = one.at.min(*t))
                .or_insert(one.at);
        }
        let since = |l: &ClientObservation| {
            first
                .get(l.name.as_str())
                .map(|t| t.saturating_duration_since(l.asked))
        };
        record
            .observations
            .iter()
            .map(|l| (l.clone(), since(l)))
            .collect()
    }

    /// What broke a rule, each in a line. Clients that were still waiting when they were told to end do not
    /// count; `busy` says how late the word of discovery may be, and what is seen here noted, on a busy machine.
    #[expect(
        clippy::too_many_lines,
        reason = "the four rules, one after the other, over the same requests"
    )]
    pub fn broken(&self, busy: Duration) -> Vec<String> {
        let record = self.0.lock().unwrap();
        let mut broken = Vec::new();
        let mut by_name: HashMap<&str, Vec<&ObservedAttempt>> = HashMap::new();
        for one in &record.reached {
            by_name.entry(&one.name).or_default().push(one);
            let late = DRAIN_GRACE + SOCKET_SLACK + busy;
            if record
                .drains
                .get(&one.host)
                .is_some_and(|(t, back)| one.at > *t + late && back.is_none())
            {
                let since = one.at - record.drains[&one.host].0;
                broken.push(format!(
                    "rule 3: {} reached host {} {since:?} after its drain",
                    one.name, one.host
                ));
            }
        }
        for client in &record.observations {
            let name = &client.name;
            let mut sent = by_name.get(name.as_str()).cloned().unwrap_or_default();
            sent.sort_by_key(|one| one.at);
            match &client.answers[..] {
                [] => broken.push(format!("rule 1: {name} had no answer")),
                [(at, _)] if *at > client.asked + REQUEST_TIMEOUT + SOCKET_SLACK => {
                    broken.push(format!(
                        "rule 1: {name} was answered {:?} after it asked",
                        *at - client.asked
                    ));
                }
                [(at, said)] => {
                    if let Some(late) = sent.iter().find(|one| one.at > *at + SOCKET_SLACK + busy) {
                        broken.push(format!(
                            "rule 1: {name} was sent on {:?} after {said}",
                            late.at - *at
                        ));
                    }
                }
                more => broken.push(format!("rule 1: {name} had {} answers", more.len())),
            }
            if client.echoed == Some(false) {
                broken.push(format!("{name}: its open connection passed nothing on"));
            }
            // Taken, failed, silent and broken may have run; refused never did.
            let ran: Vec<&&ObservedAttempt> = sent
                .iter()
                .filter(|one| one.behavior != HostBehavior::Rejects)
                .collect();
            let dismissed = client
                .answers
                .iter()
                .any(|(_, said)| said.starts_with("BUSY"));
            match client.class {
                2 if ran.len() > 1 => {
                    broken.push(format!("rule 2: {name} may have run {} times", ran.len()));
                }
                2 if dismissed && !ran.is_empty() => {
                    broken.push(format!(
                        "rule 2: {name} was dismissed though it may have run"
                    ));
                }
                1 if ran.iter().any(|one| one.host % 2 != ran[0].host % 2) => {
                    broken.push(format!("rule 2: {name} left its circle"));
                }
                1 if ran
                    .iter()
                    .any(|one| one.at > ran[0].at + WINDOW + SOCKET_SLACK + busy) =>
                {
                    broken.push(format!("rule 2: {name} went again out of its window"));
                }
                _ => {}
            }
            for pair in sent.windows(2) {
                let out = pair[0].behavior == HostBehavior::Silent
                    && pair[0]
                        .left
                        .is_none_or(|t| t > pair[1].at + SOCKET_SLACK + busy);
                if out {
                    broken.push(format!("rule 2: {name} had two hand-offs out"));
                }
            }
        }
        broken
    }
}

/// Hosts that act. Even and odd ones are two idempotency groups.
pub struct Hosts {
    /// Where each host listens.
    pub addresses: Vec<SocketAddr>,
    behaviors: Arc<Vec<AtomicU8>>,
    /// Connections that are open at each host.
    pub open: Arc<Vec<AtomicU32>>,
    checker: InvariantChecker,
}

impl Hosts {
    /// Starts so many hosts that accept whoever comes.
    pub fn start(count: usize, checker: &InvariantChecker) -> Self {
        let mut hosts = Hosts {
            addresses: Vec::new(),
            behaviors: Arc::new((0..count).map(|_| AtomicU8::new(0)).collect()),
            open: Arc::new((0..count).map(|_| AtomicU32::new(0)).collect()),
            checker: checker.clone(),
        };
        for host in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            hosts.addresses.push(listener.local_addr().unwrap());
            let (behaviors, open, checker) = (
                hosts.behaviors.clone(),
                hosts.open.clone(),
                hosts.checker.clone(),
            );
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let (behaviors, open, checker) =
                        (behaviors.clone(), open.clone(), checker.clone());
                    small(move || serve(host, stream, &behaviors, &open, &checker));
                }
            });
        }
        hosts
    }

    /// Sets what a host does from now on.
    pub fn go(&self, host: usize, behavior: HostBehavior) {
        self.behaviors[host].store(behavior as u8, SeqCst);
    }

    /// Connections that stand at each host.
    pub fn standing(&self) -> Vec<u32> {
        self.open.iter().map(|n| n.load(SeqCst)).collect()
    }

    /// A host as an entry of the endpoint list, in this phase.
    pub fn member(&self, host: usize, phase: &str) -> Value {
        json!({"id": format!("s-{host}"), "host_port": self.addresses[host].to_string(), "locality": "a",
            "flavor": "m", "cell": host % 2, "phase": phase, "size": 1.0, "up_since_ms": 0})
    }

    /// All hosts as entries of the endpoint list, active.
    pub fn members(&self) -> Value {
        (0..self.addresses.len())
            .map(|host| self.member(host, "active"))
            .collect()
    }
}

/// A thread that needs little.
pub(crate) fn small(work: impl FnOnce() + Send + 'static) -> thread::JoinHandle<()> {
    thread::Builder::new()
        .stack_size(128 << 10)
        .spawn(work)
        .expect("no thread to be had")
}

/// The first line that comes to a host, and where what follows is read.
pub(crate) fn first_line(stream: &TcpStream) -> Option<(BufReader<TcpStream>, String)> {
    _ = stream.set_nodelay(true);
    let mut reader = BufReader::with_capacity(512, stream.try_clone().ok()?);
    let mut line = String::new();
    matches!(reader.read_line(&mut line), Ok(1..)).then_some((reader, line))
}

fn serve(
    host: usize,
    mut stream: TcpStream,
    behaviors: &[AtomicU8],
    open: &[AtomicU32],
    checker: &InvariantChecker,
) {
    let Some((mut reader, mut line)) = first_line(&stream) else {
        return;
    };
    let (at, behavior) = (
        Instant::now(),
        BEHAVIORS[usize::from(behaviors[host].load(SeqCst)) % BEHAVIORS.len()],
    );
    let Some(name) = line.split(' ').nth(1).map(str::to_string) else {
        _ = stream.write_all(b"SYNTAX\r\n");
        return;
    };
    let number = {
        let mut record = checker.0.lock().unwrap();
        record.reached.push(ObservedAttempt {
            at,
            host,
            name,
            behavior,
            left: None,
        });
        record.reached.len() - 1
    };
    match behavior {
        HostBehavior::Accepts => {
            open[host].fetch_add(1, SeqCst);
            if stream.write_all(b"UP 1\r\n").is_ok() {
                line.clear();
                while matches!(reader.read_line(&mut line), Ok(1..))
                    && stream.write_all(line.as_bytes()).is_ok()
                {
                    line.clear();
                }
            }
            open[host].fetch_sub(1, SeqCst);
        }
        HostBehavior::Rejects => _ = stream.write_all(b"BUSY\r\n"),
        HostBehavior::Fails => _ = stream.write_all(b"ERR\r\n"),
        HostBehavior::Silent => {
            line.clear();
            _ = reader.read_line(&mut line);
            checker.0.lock().unwrap().reached[number].left = Some(Instant::now());
        }
        HostBehavior::Disconnects => _ = stream.shutdown(Shutdown::Both),
    }
}

/// Clients, spread over addresses in turns.
pub struct Clients {
    addresses: Vec<SocketAddr>,
    checker: InvariantChecker,
    rng: ChaCha8Rng,
    running: Vec<thread::JoinHandle<()>>,
    /// Clients hold their connections until this moves on.
    round: Arc<AtomicU64>,
    started: usize,
    seed: u64,
}

impl Clients {
    /// No client has come yet; `seed` draws their keys.
    pub fn new(addresses: Vec<SocketAddr>, checker: &InvariantChecker, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let (running, round) = (Vec::new(), Arc::default());
        Clients {
            addresses,
            checker: checker.clone(),
            rng,
            running,
            round,
            started: 0,
            seed,
        }
    }

    /// How many have come.
    pub fn started(&self) -> usize {
        self.started
    }

    /// One more client, of an request class by its number, that holds its connection for so long, or until `end`.
    pub fn come(&mut self, class: usize, holds: Duration) {
        let address = self.addresses[self.started % self.addresses.len()];
        self.started += 1;
        let name = format!("{:x}-{}", self.seed, self.started);
        let (key, checker, round) = (
            self.rng.random::<u64>(),
            self.checker.clone(),
            self.round.clone(),
        );
        self.running.push(small(move || {
            live(address, name, key, class, holds, &checker, &round);
        }));
    }

    /// So many a second for so long, request classes in turns.
    pub fn load(&mut self, rate: f64, span: Duration, classes: &[usize], holds: Duration) {
        let (from, step) = (Instant::now(), Duration::from_secs_f64(1.0 / rate));
        let mut next = from;
        let mut count = 0;
        while next < from + span {
            thread::sleep(next.saturating_duration_since(Instant::now()));
            self.come(classes[count % classes.len()], holds);
            (next, count) = (next + step, count + 1);
        }
    }

    /// Waits until all have ended; those that stand end now.
    pub fn end(&mut self) {
        self.round.fetch_add(1, SeqCst);
        for one in self.running.drain(..) {
            one.join().expect("a client panicked");
        }
    }
}

#[expect(
    clippy::too_many_lines,
    reason = "the life of one client, in its order"
)]
fn live(
    address: SocketAddr,
    name: String,
    key: u64,
    class: usize,
    holds: Duration,
    checker: &InvariantChecker,
    round: &AtomicU64,
) {
    let before = round.load(SeqCst);
    let Ok(mut stream) = TcpStream::connect(address) else {
        return;
    };
    _ = stream.set_nodelay(true);
    let wait = REQUEST_TIMEOUT.as_millis();
    let line = format!(
        "OPEN {name} {key:x} c={},t=acme,d={wait}\r\n",
        CLASS_NAMES[class]
    );
    let mut observation = ClientObservation {
        name,
        class,
        asked: Instant::now(),
        answers: Vec::new(),
        echoed: None,
    };
    if stream.write_all(line.as_bytes()).is_err() {
        return;
    }
    _ = stream.set_read_timeout(Some(REQUEST_TIMEOUT + Duration::from_millis(500)));
    let mut reader = BufReader::with_capacity(512, stream.try_clone().unwrap());
    let mut said = String::new();
    if matches!(reader.read_line(&mut said), Ok(1..)) {
        observation
            .answers
            .push((Instant::now(), said.trim_end().to_string()));
    }
    if said.starts_with("UP") {
        observation.echoed = Some(true);
        let from = Instant::now();
        _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
        while from.elapsed() < holds && round.load(SeqCst) == before {
            let sent = stream.write_all(b"hello\r\n").is_ok();
            said.clear();
            match reader.read_line(&mut said) {
                Ok(1..) if said == "hello\r\n" => {}
                Ok(1..) if said == "MOVE\r\n" => break,
                Ok(1..) => {
                    observation
                        .answers
                        .push((Instant::now(), said.trim_end().to_string()));
                    break;
                }
                // Its host, or a node that was killed, ended it: nothing was owed any more.
                Ok(0) => break,
                Err(_) => {
                    observation.echoed = Some(!sent);
                    break;
                }
            }
            thread::sleep(Duration::from_millis(40).min(holds));
        }
    } else if !said.is_empty() {
        said.clear();
        if matches!(reader.read_line(&mut said), Ok(1..)) {
            observation
                .answers
                .push((Instant::now(), said.trim_end().to_string()));
        }
    }
    checker.0.lock().unwrap().observations.push(observation);
}
