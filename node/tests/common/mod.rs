//! Stand-ins for all that a node meets: clients, hosts, discovery, and the one who starts and stops it.
//! Whatever is waited for is waited for by reading, `PATIENCE` at the longest.

use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const PATIENCE: Duration = Duration::from_secs(20);

/// One end of a connection that speaks lines.
pub struct Peer {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Peer {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.set_nodelay(true).unwrap();
        Peer { reader: BufReader::new(stream.try_clone().unwrap()), stream }
    }

    pub fn connect(address: SocketAddr) -> Self {
        Peer::new(TcpStream::connect(address).unwrap())
    }

    pub fn write(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).unwrap();
    }

    pub fn say(&mut self, line: &str) {
        self.write(&format!("{line}\r\n"));
    }

    /// The next line, or how the connection ended: `end` or `reset`.
    pub fn hear(&mut self) -> String {
        let mut line = Vec::new();
        match self.reader.read_until(b'\n', &mut line) {
            Ok(0) => "end".into(),
            Ok(_) => String::from_utf8(line).unwrap().trim_end_matches("\r\n").to_string(),
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => "reset".into(),
            Err(e) => panic!("waited for a line: {e}"),
        }
    }

    pub fn hears(&mut self, wanted: &str) {
        assert_eq!(self.hear(), wanted);
    }

    pub fn bytes(&mut self, count: usize) -> Vec<u8> {
        let mut all = vec![0; count];
        self.reader.read_exact(&mut all).unwrap();
        all
    }

    pub fn end_sending(&self) {
        self.stream.shutdown(Shutdown::Write).unwrap();
    }

    /// Ends the connection by a reset.
    pub fn reset(self) {
        rustix::net::sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO)).unwrap();
    }
}

/// Hosts that do what the test tells them: each hands what it accepts to the test.
pub struct Hosts {
    pub addresses: Vec<SocketAddr>,
    arrivals: Receiver<(usize, Peer)>,
    sender: Sender<(usize, Peer)>,
}

impl Hosts {
    pub fn start(count: usize) -> Self {
        let (sender, arrivals) = channel();
        let mut hosts = Hosts { addresses: Vec::new(), arrivals, sender };
        (0..count).for_each(|_| hosts.add());
        hosts
    }

    pub fn add(&mut self) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (number, sender) = (self.addresses.len(), self.sender.clone());
        self.addresses.push(listener.local_addr().unwrap());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if sender.send((number, Peer::new(stream))).is_err() {
                    return;
                }
            }
        });
    }

    /// The next connection to any of them, and to which.
    pub fn accept(&self) -> (usize, Peer) {
        self.arrivals.recv_timeout(PATIENCE).expect("no connection came to a host")
    }

    /// A connection that is there, or comes very soon.
    pub fn accept_soon(&self) -> Option<(usize, Peer)> {
        self.arrivals.recv_timeout(Duration::from_millis(100)).ok()
    }

    pub fn members(&self) -> Value {
        let all = self.addresses.iter().enumerate();
        all.map(|(n, a)| member(n, &a.to_string(), "active")).collect()
    }
}

pub fn member(number: usize, address: &str, phase: &str) -> Value {
    json!({"id": format!("s-{number}"), "host_port": address, "locality": "a", "flavor": "m", "cell": 0,
        "phase": phase, "size": 1.0, "up_since_ms": 0})
}

/// An address at which nobody listens.
pub fn nowhere() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

#[derive(Default)]
struct Kept {
    revision: u64,
    members: Vec<(u64, Value)>,
    /// Answers given in place of the list, the next one last.
    instead: Vec<String>,
    /// When each watch was answered and when each call came.
    answered: Vec<Instant>,
    called: Vec<Instant>,
}

/// Discovery: keeps a list and answers watches on it.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    kept: Arc<(Mutex<Kept>, Condvar)>,
}

impl Discovery {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let discovery = Discovery { address: listener.local_addr().unwrap(), kept: Arc::default() };
        let serving = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let one = serving.clone();
                thread::spawn(move || one.serve(stream));
            }
        });
        discovery
    }

    /// Changes one entry of the list, which watches are told of.
    pub fn change(&self, member: Value) {
        let mut kept = self.kept.0.lock().unwrap();
        kept.revision += 1;
        let revision = kept.revision;
        kept.members.retain(|(_, m)| m["id"] != member["id"]);
        kept.members.push((revision, member));
        self.kept.1.notify_all();
    }

    /// Has the next calls answered so in place of the list.
    pub fn answer_instead(&self, answers: &[&str]) {
        self.kept.0.lock().unwrap().instead = answers.iter().rev().map(|a| a.to_string()).collect();
    }

    /// Waits until so many calls have come, and says how long after the last answer each followed.
    pub fn calls(&self, count: usize) -> Vec<Duration> {
        let until = Instant::now() + PATIENCE;
        let mut kept = self.kept.0.lock().unwrap();
        while kept.called.len() < count {
            let left = until.checked_duration_since(Instant::now()).expect("too few calls came");
            kept = self.kept.1.wait_timeout(kept, left).unwrap().0;
        }
        kept.called.iter().skip(1).zip(&kept.answered).map(|(c, a)| c.saturating_duration_since(*a)).collect()
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        loop {
            let mut request = String::new();
            while !request.ends_with("\r\n\r\n") {
                if !matches!(reader.read_line(&mut request), Ok(1..)) {
                    return;
                }
            }
            let path = request.split(' ').nth(1).unwrap();
            let figure = |name: &str| -> Option<u64> {
                path.split(['?', '&']).find_map(|p| p.strip_prefix(name)).map(|v| v.parse().unwrap())
            };
            let (from, hold) = (figure("from="), figure("hold_ms=").unwrap_or(0));
            let mut kept = self.kept.0.lock().unwrap();
            kept.called.push(Instant::now());
            self.kept.1.notify_all();
            if let Some(instead) = kept.instead.pop() {
                kept.answered.push(Instant::now());
                drop(kept);
                if stream.write_all(instead.as_bytes()).is_err() || !instead.contains("\r\n\r\n") {
                    return;
                }
                continue;
            }
            if let Some(from) = from {
                let wait = Duration::from_millis(hold);
                kept = self.kept.1.wait_timeout_while(kept, wait, |k| k.revision <= from).unwrap().0;
            }
            let news = kept.members.iter().filter(|(r, _)| from.is_none_or(|from| *r > from));
            let members: Vec<&Value> = news.map(|(_, m)| m).collect();
            let body = json!({"revision": kept.revision, "complete": from.is_none(), "members": members})
                .to_string();
            kept.answered.push(Instant::now());
            drop(kept);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// The papers of a node that knows these hosts.
pub fn papers(hosts: &Hosts, discovery: SocketAddr) -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512},
        "known": {"revision": 0, "complete": true, "members": hosts.members()},
        "settings": {"balancers": 1, "index": 0, "zone": 0, "zones": ["a"], "round": 4.0,
            "offerings": [{"name": "chat", "contract_time": 500.0, "expiry": 2000.0, "effect": "free",
                "group": "all", "payoff": 1.0}],
            "tenants": [{"name": "acme"}],
            "contract": {"ask_within": 1000.0, "cold": 1000.0, "cold_from": 0.5, "drain_grace": 300.0,
                "tip_after": 1000.0, "tip_multiple": 3.0},
            "policy_limits": {"cancel": true, "connect_timeout": 250.0, "max_retry_after": 1000.0,
                "may_probe": true, "most_hand_offs": 3, "retry_after": true},
            "registry_mode": "on_request", "extra": {"message_aim": [100.0], "mode": "proxy"}}})
}

/// A node that runs.
pub struct Node {
    child: Child,
    papers: std::path::PathBuf,
    pub address: SocketAddr,
    log: Receiver<String>,
}

static STARTED: AtomicU32 = AtomicU32::new(0);

/// The program as it is started with these papers, its output kept.
pub fn program(papers: &str) -> Command {
    let number = STARTED.fetch_add(1, Ordering::Relaxed);
    let name = format!("papers-{}-{number}.json", std::process::id());
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, papers).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_reedferry"));
    command.env("GW_CONFIG", path).stdout(Stdio::piped()).stderr(Stdio::piped()).stdin(Stdio::null());
    command
}

impl Node {
    pub fn start(papers: &Value) -> Self {
        Node::launch(program(&papers.to_string()))
    }

    /// One that the system allows no more than so many descriptors.
    pub fn start_within(papers: &Value, descriptors: usize) -> Self {
        let plain = program(&papers.to_string());
        let mut command = Command::new("sh");
        command.args([
            "-c",
            &format!("ulimit -n {descriptors}; exec \"$0\""),
            env!("CARGO_BIN_EXE_reedferry"),
        ]);
        command.envs(plain.get_envs().filter_map(|(name, value)| Some((name, value?))));
        command.stdout(Stdio::piped()).stderr(Stdio::piped()).stdin(Stdio::null());
        Node::launch(command)
    }

    fn launch(mut command: Command) -> Self {
        let papers = command.get_envs().find(|(name, _)| *name == "GW_CONFIG").unwrap().1.unwrap().into();
        let mut child = command.spawn().unwrap();
        let (sender, log) = channel();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        thread::spawn(move || lines.map_while(Result::ok).try_for_each(|line| sender.send(line)));
        let mut node = Node { child, papers, address: nowhere(), log };
        let started = node.logs("started");
        let listen = started.split("listen: ").nth(1).unwrap().split(',').next().unwrap();
        node.address = listen.parse().unwrap();
        node
    }

    /// Waits for a log line that says so.
    pub fn logs(&self, text: &str) -> String {
        let until = Instant::now() + PATIENCE;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let line = self.log.recv_timeout(left).unwrap_or_else(|_| panic!("no log line said {text}"));
            if line.contains(text) {
                return line;
            }
        }
    }

    /// A client that asks under an id of its own.
    pub fn open(&self, line: &str) -> Peer {
        let mut client = Peer::connect(self.address);
        client.say(&line.replace("9b1f", &format!("9b1f{}", STARTED.fetch_add(1, Ordering::Relaxed))));
        client
    }

    /// A client whose connection stands, and its host's end.
    pub fn served(&self, hosts: &Hosts) -> (Peer, usize, Peer) {
        let mut client = self.open(OPEN);
        let (number, mut host) = hosts.accept();
        assert!(host.hear().contains(" 7f3a c=chat,t=acme,d="));
        host.say("UP 77aa");
        client.hears("UP 77aa");
        (client, number, host)
    }

    pub fn stop(&self) {
        self.signal(rustix::process::Signal::TERM);
    }

    /// Puts other papers in place and has the node read them.
    pub fn reread(&self, papers: &str) {
        std::fs::write(&self.papers, papers).unwrap();
        self.signal(rustix::process::Signal::HUP);
    }

    fn signal(&self, signal: rustix::process::Signal) {
        let pid = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(pid, signal).unwrap();
    }

    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }

    pub fn runs(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

pub const OPEN: &str = "OPEN 9b1f 7f3a c=chat,t=acme,d=2000,g=5c0f";

/// Tries until it holds, for what shows itself by nothing that could be read.
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < until, "{what}");
        thread::yield_now();
    }
}
