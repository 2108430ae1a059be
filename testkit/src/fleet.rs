//! A fleet of processes of the program at addresses of their own, hosts that warm up and can be overloaded, a front
//! that distributes clients and notices deaths late, and clients that reconnect under the same key. Hosts and clients
//! record what they saw with its time; the rules are checked by these records alone.

use crate::fleet_view::FleetView;
use crate::program::{node_config_of, path, Node};
use crate::simulated::{first_line, small, DRAIN_GRACE, SOCKET_SLACK};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::SeqCst};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long the clients of a fleet wait for an answer.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Within which hosts drop repeats of what is labelled.
pub const IDEMPOTENCY_WINDOW: Duration = Duration::from_millis(1500);

/// The terms on cold hosts and on calls to the list service that the whole site works under.
#[derive(Clone, Copy)]
pub struct FleetOptions {
    /// How long a host warms up.
    pub cold: Duration,
    /// The share of its capacity that a host has at its start.
    pub warm_up_initial_share: f64,
    /// The window in which a host's overload is counted.
    pub overload_window: Duration,
    /// How many times its current capacity a host bears within one window.
    pub overload_factor: f64,
    /// The longest interval between two calls of a node to the list service.
    pub max_poll_interval: Duration,
    /// Connections that fill a warm host.
    pub full: f64,
}

impl FleetOptions {
    /// Those of trials: many nodes are more than ten. A warm host bears six times what it holds there, where the module
    /// counts on four: the numbers are small, and chance and a busy machine bunch what comes.
    pub const TRIAL: FleetOptions = FleetOptions {
        cold: Duration::from_secs(5),
        warm_up_initial_share: 0.2,
        overload_window: Duration::from_millis(500),
        overload_factor: 3.0,
        max_poll_interval: Duration::from_secs(4),
        full: 120.0,
    };

    /// What a host that started so long ago may be sent within one window.
    pub fn budget(&self, age: Duration) -> f64 {
        let warmed = (age.as_secs_f64() / self.cold.as_secs_f64()).min(1.0);
        let warmth = self.warm_up_initial_share + (1.0 - self.warm_up_initial_share) * warmed;
        self.overload_factor * warmth * self.full * self.overload_window.as_secs_f64()
            / self.cold.as_secs_f64()
    }
}

/// Trials of one binary come one at a time: each starts dozens of processes and judges by time.
pub fn alone() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::new(());
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

struct WarmingHost {
    address: SocketAddr,
    started: Option<(Instant, u64)>,
    arrived: Mutex<Vec<Instant>>,
    probed: Mutex<Vec<Instant>>,
    drains: Mutex<Option<Instant>>,
    open: AtomicU32,
    tipped: AtomicBool,
}

/// Hosts that take whoever comes, until they tip over.
#[derive(Clone)]
pub struct WarmingHosts {
    all: Arc<Mutex<Vec<Arc<WarmingHost>>>>,
    terms: FleetOptions,
}

impl WarmingHosts {
    /// Has no hosts yet; those it starts work under these options.
    pub fn new(terms: FleetOptions) -> Self {
        WarmingHosts {
            all: Arc::default(),
            terms,
        }
    }

    /// Starts some, cold or warm, and says which.
    pub fn start(&self, count: usize, cold: bool) -> std::ops::Range<usize> {
        let first = self.all.lock().unwrap().len();
        for _ in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let since = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap()
                .as_millis() as u64;
            let warming = Arc::new(WarmingHost {
                address: listener.local_addr().unwrap(),
                started: cold.then(|| (Instant::now(), since)),
                arrived: Mutex::default(),
                probed: Mutex::default(),
                drains: Mutex::default(),
                open: AtomicU32::new(0),
                tipped: AtomicBool::new(false),
            });
            self.all.lock().unwrap().push(warming.clone());
            let terms = self.terms;
            small(move || {
                for stream in listener.incoming().flatten() {
                    let warming = warming.clone();
                    small(move || warming.serve(stream, terms));
                }
            });
        }
        first..first + count
    }

    fn at(&self, host: usize) -> Arc<WarmingHost> {
        self.all.lock().unwrap()[host].clone()
    }

    /// A host as an entry of the endpoint list.
    pub fn member(&self, host: usize, phase: &str) -> Value {
        let warming = self.at(host);
        let since = warming.started.map_or(0, |(_, since)| since);
        json!({"id": format!("s-{host}"), "host_port": warming.address.to_string(), "locality": "a", "flavor": "m",
            "cell": host % 2, "phase": phase, "size": 1.0, "up_since_ms": since})
    }

    /// These hosts as entries of the endpoint list, all active.
    pub fn members(&self, hosts: impl Iterator<Item = usize>) -> Vec<Value> {
        hosts.map(|host| self.member(host, "active")).collect()
    }

    /// The list service tells from now on that it drains.
    pub fn drains(&self, host: usize) {
        *self.at(host).drains.lock().unwrap() = Some(Instant::now());
    }

    /// Connections that are open at these hosts.
    pub fn standing(&self, hosts: impl Iterator<Item = usize>) -> u32 {
        hosts.map(|host| self.at(host).open.load(SeqCst)).sum()
    }

    /// When connections that asked came to it.
    pub fn arrived(&self, host: usize) -> Vec<Instant> {
        self.at(host).arrived.lock().unwrap().clone()
    }

    /// When nodes looked at it.
    pub fn probed(&self, host: usize) -> Vec<Instant> {
        self.at(host).probed.lock().unwrap().clone()
    }

    /// What broke rules 3 and 4, each in a line; `told` is how long word of a drain may take.
    pub fn broken(&self, told: Duration) -> Vec<String> {
        let mut broken = Vec::new();
        for (host, warming) in self.all.lock().unwrap().iter().enumerate() {
            if warming.tipped.load(SeqCst) {
                broken.push(format!("rule 4: host {host} was pushed over"));
            }
            let drains = *warming.drains.lock().unwrap();
            let late = drains.map(|t| t + DRAIN_GRACE + SOCKET_SLACK + told);
            let after = warming
                .arrived
                .lock()
                .unwrap()
                .iter()
                .filter(|t| late.is_some_and(|l| **t > l))
                .count();
            if after > 0 {
                broken.push(format!(
                    "rule 3: {after} came to host {host} after its drain"
                ));
            }
        }
        broken
    }
}

impl WarmingHost {
    fn serve(&self, mut stream: TcpStream, terms: FleetOptions) {
        let Some((mut reader, mut line)) = first_line(&stream) else {
            return;
        };
        while line.starts_with("STATS") {
            self.probed.lock().unwrap().push(Instant::now());
            line.clear();
            if stream.write_all(b"PONG util=0.2,x0=0.2\r\n").is_err()
                || !matches!(reader.read_line(&mut line), Ok(1..))
            {
                return;
            }
        }
        let now = Instant::now();
        {
            let mut arrived = self.arrived.lock().unwrap();
            arrived.push(now);
            let within = arrived
                .iter()
                .rev()
                .take_while(|t| **t + terms.overload_window > now)
                .count() as f64;
            // What warm ones take is no matter here.
            let age = self
                .started
                .map(|(t, _)| now - t)
                .filter(|age| *age < terms.cold);
            if age.is_some_and(|age| within > terms.budget(age).max(1.0)) {
                self.tipped.store(true, SeqCst);
            }
        }
        if self.tipped.load(SeqCst) || stream.write_all(b"UP 1\r\n").is_err() {
            return;
        }
        self.open.fetch_add(1, SeqCst);
        line.clear();
        while matches!(reader.read_line(&mut line), Ok(1..))
            && stream.write_all(line.as_bytes()).is_ok()
        {
            line.clear();
        }
        self.open.fetch_sub(1, SeqCst);
    }
}

/// Deals clients out over nodes, and notices late that one has gone.
#[derive(Clone, Default)]
pub struct Front(Arc<Mutex<Vec<Dealt>>>);

/// A node's address, and from when on the front leaves it out.
type Dealt = (SocketAddr, Option<Instant>);

impl Front {
    fn takes_in(&self, address: SocketAddr) {
        self.0.lock().unwrap().push((address, None));
    }

    fn leaves_out(&self, address: SocketAddr, from: Instant) {
        self.0
            .lock()
            .unwrap()
            .iter_mut()
            .filter(|(a, _)| *a == address)
            .for_each(|one| one.1 = Some(from));
    }

    fn pick(&self, rng: &mut ChaCha8Rng) -> Option<SocketAddr> {
        let mut all = self.0.lock().unwrap();
        all.retain(|(_, gone)| gone.is_none_or(|t| t > Instant::now()));
        (!all.is_empty()).then(|| all[rng.random_range(0..all.len())].0)
    }
}

/// Processes of the program that share a list service and hosts.
pub struct Fleet {
    /// The running processes by their numbers.
    pub nodes: Vec<Option<Node>>,
    /// The front that deals clients out.
    pub front: Front,
    program: PathBuf,
    discovery: SocketAddr,
    terms: FleetOptions,
    alone: bool,
    /// Loads are told by probes alone.
    probes: bool,
    /// What every request's effect is, and how long records of work in hand matter where they are kept.
    idempotency: &'static str,
    wards: Option<Duration>,
    /// The places that settings name, where some of the processes have none of their own.
    pub(crate) places: usize,
    fleet_view: Option<FleetView>,
    /// Where a process was killed, stopped or asked to end, and when.
    ended: Vec<(SocketAddr, Instant)>,
}

impl Fleet {
    /// None runs yet.
    pub fn new(nodes: usize, discovery: SocketAddr, terms: FleetOptions) -> Self {
        let (places, nodes) = (nodes, (0..nodes).map(|_| None).collect());
        let (front, program, ended) = (Front::default(), path(), Vec::new());
        Fleet {
            nodes,
            front,
            program,
            discovery,
            terms,
            alone: false,
            probes: false,
            idempotency: "free",
            wards: None,
            places,
            fleet_view: None,
            ended,
        }
    }

    /// Of another build of the program.
    pub fn of(mut self, program: PathBuf) -> Self {
        self.program = program;
        self
    }

    /// Each keeps a view of the fleet.
    pub fn with_view(mut self, fleet_view: FleetView) -> Self {
        self.fleet_view = Some(fleet_view);
        self
    }

    /// The network and settings of the fleet view.
    ///
    /// # Panics
    /// Where the fleet keeps no view.
    pub fn fleet_view(&self) -> &FleetView {
        self.fleet_view.as_ref().expect("a fleet with a view")
    }

    /// Of these places; any process beyond them is started as a second one of another.
    pub fn among(mut self, places: usize) -> Self {
        self.places = places;
        self
    }

    /// Loads are told by probes alone.
    pub fn probing(mut self) -> Self {
        self.probes = true;
        self
    }

    /// Of requests with this effect, recorded by replicas for so long where that is told.
    pub fn class(mut self, idempotency: &'static str, wards: Option<Duration>) -> Self {
        (self.idempotency, self.wards) = (idempotency, wards);
        self
    }

    /// Each thinks that it is alone, as if nobody shared the list service.
    pub fn each_alone(mut self) -> Self {
        self.alone = true;
        self
    }

    /// Where those that run take clients in, by their numbers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.nodes
            .iter()
            .flatten()
            .map(|node| node.address)
            .collect()
    }

    fn node_config(&self, node: usize, known: &[Value], revision: u64) -> Value {
        let millis = |d: Duration| json!(d.as_secs_f64() * 1000.0);
        let mut node_config = node_config_of(json!(known), self.discovery);
        node_config["name"] = json!(format!("n{node}"));
        node_config["listen"] = json!(format!("127.1.{}.{}:0", node / 200, node % 200 + 1));
        node_config["seed"] = json!(format!("{:016x}", 0x8c1f_30d2 + node as u64));
        node_config["known"]["revision"] = json!(revision);
        let settings = &mut node_config["settings"];
        if self.fleet_view.is_some() {
            settings["policy_limits"]["peers"] = json!(true);
            node_config["ops"] = json!("127.0.0.1:0");
        }
        node_config["settings"]["offerings"][0]["effect"] = json!(self.idempotency);
        if self.idempotency == "guarded" {
            node_config["settings"]["offerings"][0]["repeat_window"] = millis(IDEMPOTENCY_WINDOW);
        }
        if self.probes {
            node_config["settings"]["reporting"] = json!({"fields": ["util", "x0"], "via": "pull"});
        }
        let settings = &mut node_config["settings"];
        let place = if self.alone {
            (1, 0)
        } else {
            (self.places, node)
        };
        (settings["balancers"], settings["index"]) = (json!(place.0), json!(place.1));
        let contract = &mut settings["contract"];
        contract["cold"] = millis(self.terms.cold);
        contract["cold_from"] = json!(self.terms.warm_up_initial_share);
        contract["tip_after"] = millis(self.terms.overload_window);
        contract["tip_multiple"] = json!(self.terms.overload_factor);
        contract["ask_within"] = millis(self.terms.max_poll_interval);
        node_config
    }

    /// Starts these at once, each knowing this list; the front takes them in.
    pub fn start(&mut self, which: &[usize], known: &[Value], revision: u64) {
        let node_config: Vec<(usize, Value)> = which
            .iter()
            .map(|&n| (n, self.node_config(n, known, revision)))
            .collect();
        let (program, fleet_view) = (&self.program, self.fleet_view.as_ref());
        let more = self
            .wards
            .map(|life| format!("[fleet.wards]\nlife = \"{}ms\"\n", life.as_millis()));
        let more = more.unwrap_or_default();
        let started: Vec<(usize, Node)> = thread::scope(|scope| {
            let one = |(node, node_config): &(usize, Value)| match fleet_view {
                Some(fleet_view) => (
                    *node,
                    Node::start_of_as(
                        program,
                        "node",
                        &(fleet_view.operator_config(*node) + &more),
                        node_config,
                    ),
                ),
                None => (*node, Node::start_of(program, node_config)),
            };
            let share = node_config.len().div_ceil(16).max(1);
            let parts = node_config
                .chunks(share)
                .map(|part| scope.spawn(move || part.iter().map(one).collect()));
            let parts: Vec<thread::ScopedJoinHandle<Vec<_>>> = parts.collect();
            parts
                .into_iter()
                .flat_map(|part| part.join().expect("a node did not start"))
                .collect()
        });
        for (number, node) in started {
            self.front.takes_in(node.address);
            self.nodes[number] = Some(node);
        }
    }

    /// Tells all that run, by their files and a signal, that the list service has moved.
    pub fn tells_of(&mut self, discovery: SocketAddr, known: &[Value], revision: u64) {
        self.discovery = discovery;
        for (number, node) in self.nodes.iter().enumerate() {
            let node_config = self.node_config(number, known, revision).to_string();
            node.iter()
                .for_each(|node| node.reload_node_config(&node_config));
        }
    }

    /// Tells these that settings name so many places.
    pub fn tells_of_places(
        &mut self,
        which: std::ops::Range<usize>,
        places: usize,
        known: &[Value],
        revision: u64,
    ) {
        self.places = places;
        for number in which {
            let node_config = self.node_config(number, known, revision).to_string();
            self.nodes[number]
                .iter()
                .for_each(|node| node.reload_node_config(&node_config));
        }
    }

    /// Starts a second process under the name of this one, with a face of its own: the first beyond the places.
    pub fn start_twin(&mut self, of: usize, known: &[Value], revision: u64) {
        let mut node_config = self.node_config(of, known, revision);
        node_config["listen"] = json!("127.0.0.1:0");
        let operator_config = self.fleet_view().operator_config(self.places);
        let twin = Node::start_of_as(&self.program, "node", &operator_config, &node_config);
        self.front.takes_in(twin.address);
        self.nodes[self.places] = Some(twin);
    }

    /// Has one stand still for a moment; clients are dealt to it all the same.
    pub fn pause(&self, node: usize) {
        self.nodes[node].iter().for_each(Node::suspend);
    }

    /// Ends [`Fleet::pause`].
    pub fn resume(&self, node: usize) {
        self.nodes[node].iter().for_each(Node::unsuspend);
    }

    fn ends(&mut self, node: usize, notices: Duration) {
        if let Some(address) = self.nodes[node].as_ref().map(|n| n.address) {
            self.ended.push((address, Instant::now()));
            self.front.leaves_out(address, Instant::now() + notices);
        }
    }

    /// Kills one outright; the front notices later.
    pub fn kill(&mut self, node: usize, notices: Duration) {
        self.ends(node, notices);
        self.nodes[node] = None;
    }

    /// Has one stand still until it goes on; what it had taken may get its answer late.
    pub fn suspend(&mut self, node: usize) {
        self.ends(node, Duration::ZERO);
        self.nodes[node].iter().for_each(Node::suspend);
    }

    /// It goes on, and is dealt clients again.
    pub fn unsuspend(&mut self, node: usize) {
        if let Some(one) = &self.nodes[node] {
            one.unsuspend();
            self.front.takes_in(one.address);
        }
    }

    /// Asks one to stop, gives it to whoever waits for its end.
    pub fn stop(&mut self, node: usize, notices: Duration) -> Option<Node> {
        self.ends(node, notices);
        let node = self.nodes[node].take()?;
        node.stop();
        Some(node)
    }

    /// What broke rule 1 as the clients saw it: those whose node ended or stood still by then may have had no answer,
    /// or a late one.
    pub fn broken(&self, returning_clients: &ReturningClients) -> Vec<String> {
        let mut broken = Vec::new();
        for (number, guest) in returning_clients.seen.iter().enumerate() {
            for ask in &guest.lock().unwrap().asks {
                // Up to two seconds after a front has left it out, some still come.
                let near = |t: Instant| {
                    ask.at < t + REQUEST_TIMEOUT && t < ask.at + REQUEST_TIMEOUT + SOCKET_SLACK
                };
                let ended = self.ended.iter().any(|(a, t)| *a == ask.node && near(*t));
                match ask.answered {
                    None if !ended => broken.push(format!("rule 1: guest {number} had no answer")),
                    Some(took)
                        if took > REQUEST_TIMEOUT + SOCKET_SLACK + SOCKET_SLACK && !ended =>
                    {
                        broken.push(format!(
                            "rule 1: guest {number} was answered after {took:?}"
                        ));
                    }
                    _ => {}
                }
            }
        }
        broken
    }
}

/// One line that a client sent to ask for a connection.
pub struct Ask {
    /// When the request was sent.
    pub at: Instant,
    node: SocketAddr,
    /// How long the answer took, where one came.
    pub answered: Option<Duration>,
    /// Whether the answer accepted it.
    pub up: bool,
}

/// What one client has seen so far.
#[derive(Default)]
pub struct Seen {
    /// All requests that it sent.
    pub asks: Vec<Ask>,
    /// Since when its connection stands, if it does.
    pub stands: Option<Instant>,
}

/// Clients that want a connection each, and come again under the same key whenever it ends.
pub struct ReturningClients {
    /// What each client has seen.
    pub seen: Arc<Vec<Mutex<Seen>>>,
    over: Arc<AtomicBool>,
    running: Vec<thread::JoinHandle<()>>,
}

impl ReturningClients {
    /// They come within `spread`; where `at` is given, each keeps to the node of its number.
    pub fn come(
        count: usize,
        front: &Front,
        spread: Duration,
        at: Option<&[SocketAddr]>,
        seed: u64,
    ) -> Self {
        let seen: Arc<Vec<Mutex<Seen>>> = Arc::new((0..count).map(|_| Mutex::default()).collect());
        let over = Arc::new(AtomicBool::new(false));
        let one = |number: usize| {
            let (seen, over, front) = (seen.clone(), over.clone(), front.clone());
            let kept = at.map(|all| all[number % all.len()]);
            let mut rng = ChaCha8Rng::seed_from_u64(seed << 20 | number as u64);
            small(move || {
                thread::sleep(spread.mul_f64(rng.random::<f64>()));
                let key: u64 = rng.random();
                let mut again = false;
                while !over.load(SeqCst) {
                    let Some(node) = kept.or_else(|| front.pick(&mut rng)) else {
                        thread::sleep(Duration::from_millis(50));
                        continue;
                    };
                    let wait = visit(node, key, &mut again, &seen[number], &over, &mut rng);
                    // Who keeps to a node is there to see when that serves.
                    thread::sleep(if kept.is_some() {
                        wait.min(Duration::from_millis(100))
                    } else {
                        wait
                    });
                }
            })
        };
        let running = (0..count).map(one).collect();
        ReturningClients {
            seen,
            over,
            running,
        }
    }

    /// How many stand now.
    pub fn standing(&self) -> usize {
        self.seen
            .iter()
            .filter(|seen| seen.lock().unwrap().stands.is_some())
            .count()
    }

    /// When each first stood, since `from`.
    pub fn first(&self, from: Instant) -> Vec<Option<Duration>> {
        let first = |seen: &Mutex<Seen>| {
            let seen = seen.lock().unwrap();
            let up = seen.asks.iter().find(|ask| ask.up)?;
            Some((up.at + up.answered?).saturating_duration_since(from))
        };
        self.seen.iter().map(first).collect()
    }

    /// Ends all clients and waits for them.
    pub fn end(&mut self) {
        self.over.store(true, SeqCst);
        for one in self.running.drain(..) {
            one.join().expect("a guest panicked");
        }
    }
}

/// One try and, where it stands, the time that it does. Gives how long to wait before the next.
fn visit(
    node: SocketAddr,
    key: u64,
    again: &mut bool,
    seen: &Mutex<Seen>,
    over: &AtomicBool,
    rng: &mut ChaCha8Rng,
) -> Duration {
    let backs_off = Duration::from_millis(rng.random_range(100..400));
    let Ok(mut stream) = TcpStream::connect(node) else {
        return backs_off;
    };
    _ = stream.set_nodelay(true);
    let (at, id) = (Instant::now(), rng.random::<u64>());
    let mark = if *again { ",again=1" } else { "" };
    let line = format!(
        "OPEN {id:x} {key:x} c=chat,t=acme,d={}{mark}\r\n",
        REQUEST_TIMEOUT.as_millis()
    );
    if stream.write_all(line.as_bytes()).is_err() {
        return backs_off;
    }
    let number = {
        let mut seen = seen.lock().unwrap();
        seen.asks.push(Ask {
            at,
            node,
            answered: None,
            up: false,
        });
        seen.asks.len() - 1
    };
    _ = stream.set_read_timeout(Some(REQUEST_TIMEOUT + Duration::from_secs(1)));
    let mut reader = BufReader::with_capacity(512, stream.try_clone().expect("a descriptor"));
    let mut said = String::new();
    if !matches!(reader.read_line(&mut said), Ok(1..)) {
        return backs_off;
    }
    let up = said.starts_with("UP");
    {
        let mut seen = seen.lock().unwrap();
        (seen.asks[number].answered, seen.asks[number].up) = (Some(at.elapsed()), up);
        seen.stands = up.then(Instant::now);
    }
    if !up {
        let told = said
            .strip_prefix("BUSY ")
            .and_then(|ms| ms.trim().parse().ok());
        return told.map_or(backs_off, Duration::from_millis);
    }
    _ = stream.set_read_timeout(Some(Duration::from_millis(250)));
    said.clear();
    // It stands until either side ends it; a word of its own now and then.
    while !over.load(SeqCst) && stream.write_all(b"hello\r\n").is_ok() {
        match reader.read_line(&mut said) {
            Ok(1..) if said == "hello\r\n" => {
                said.clear();
                thread::sleep(Duration::from_millis(100));
            }
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {
                thread::sleep(Duration::from_millis(50));
            }
            _ => break,
        }
    }
    seen.lock().unwrap().stands = None;
    *again = true;
    backs_off
}

#[cfg(test)]
#[path = "fleet_tests.rs"]
mod tests;
