//! Stand-ins for the cases of the second review: discovery, hosts, clients and the platform that starts processes.
//! They follow the protocol page. No dependency beyond the standard library.
#![allow(dead_code)]

use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::os::fd::AsRawFd;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const HUP: i32 = 1;
pub const KILL: i32 = 9;
pub const TERM: i32 = 15;
pub const CONT: i32 = 18;
pub const STOP: i32 = 19;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const [i32; 2], length: u32) -> i32;

}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn sleep(n: u64) {
    thread::sleep(ms(n));
}

/// Returns whether the disruption of the case is wanted.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of what was sent, answered and run, with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn open(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt")).expect("record.txt");
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:>7} ms  {}", text.as_ref());
        println!("{at:>7} ms  {}", text.as_ref());
    }
}

/// The end of a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
pub enum Verdict {
    Held,
    Broken(String),
    CouldNotRun(String),
}

/// Runs a case: `review/N` is the first argument, the working folder is the root of the repository.
pub fn run(case: impl FnOnce(&mut Platform) -> Verdict + std::panic::UnwindSafe) -> ! {
    let folder = PathBuf::from(std::env::args().nth(1).expect("folder of the case"));
    let record = Record::open(&folder);
    let limit = record.clone();
    record.note(format!("disruption: {}", if trouble() { "on" } else { "off (TROUBLE=0)" }));
    let children = Arc::new(Mutex::new(Vec::new()));
    let watched = children.clone();
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(115));
        limit.note("could not run: took more than 115 s");
        end_all(&watched);
        std::process::exit(2);
    });
    let temporary = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("temporary folder");
    let ended = children.clone();
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
        let mut platform = Platform { record: record.clone(), folder: temporary.clone(), children, run: run_command() };
        case(&mut platform)
    }));
    end_all(&ended);
    let keep = std::env::var("KEEP_LOGS").is_ok();
    if !keep {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    let code = match result {
        Ok(Verdict::Held) => {
            record.note("the rule held");
            0
        }
        Ok(Verdict::Broken(why)) => {
            record.note(format!("the rule was broken: {why}"));
            1
        }
        Ok(Verdict::CouldNotRun(why)) => {
            record.note(format!("could not run: {why}"));
            2
        }
        Err(_) => {
            record.note("could not run: the case itself failed");
            2
        }
    };
    std::process::exit(code)
}

fn end_all(children: &Mutex<Vec<Child>>) {
    for child in children.lock().unwrap_or_else(|e| e.into_inner()).iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Returns the command `run` of the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml");
    let line = text.lines().find(|line| line.starts_with("run = ")).expect("run in the deploy file");
    line.trim_start_matches("run = ").trim().trim_matches('"').to_string()
}

/// The platform: starts processes by the deploy file's command and sends them signals.
pub struct Platform {
    pub record: Record,
    pub folder: PathBuf,
    children: Arc<Mutex<Vec<Child>>>,
    run: String,
}

/// A process that the platform started.
pub struct Process {
    pub name: String,
    pub pid: i32,
    log: PathBuf,
}

impl Platform {
    pub fn note(&self, text: impl AsRef<str>) {
        self.record.note(text);
    }

    /// Writes a file as a whole: beside it, then renamed.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.join(name);
        let beside = self.folder.join(format!("{name}.new"));
        std::fs::write(&beside, text).expect("write");
        std::fs::rename(&beside, &path).expect("rename");
        path
    }

    /// Starts a process with these arguments behind the command of the deploy file.
    pub fn start(&self, name: &str, arguments: &str, variables: &[(&str, String)]) -> Process {
        let number = self.children.lock().unwrap().len();
        let log = self.folder.join(format!("{name}-{number}.log"));
        let private = self.folder.join(format!("tmp-{name}"));
        std::fs::create_dir_all(&private).expect("TMPDIR");
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(format!("{} {arguments}", self.run))
            .env("TMPDIR", &private)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(&log).expect("log"));
        for (key, value) in variables {
            command.env(key, value);
        }
        let child = command.spawn().expect("start");
        let pid = child.id() as i32;
        self.children.lock().unwrap().push(child);
        self.note(format!("started {name} (`{}{}{arguments}`)", self.run, if arguments.is_empty() { "" } else { " " })
            .replace(&*self.folder.to_string_lossy(), "$FOLDER"));
        Process { name: name.to_string(), pid, log }
    }

    pub fn signal(&self, process: &Process, signal: i32) {
        let name = match signal {
            HUP => "SIGHUP",
            KILL => "SIGKILL",
            TERM => "SIGTERM",
            CONT => "SIGCONT",
            STOP => "SIGSTOP",
            _ => "signal",
        };
        self.note(format!("{name} to {}", process.name));
        unsafe { kill(process.pid, signal) };
        if signal == KILL {
            for child in self.children.lock().unwrap().iter_mut() {
                if child.id() as i32 == process.pid {
                    let _ = child.wait();
                }
            }
        }
    }

    /// Returns the exit status of a process, or `None` while it runs.
    pub fn exited(&self, process: &Process) -> Option<String> {
        let mut children = self.children.lock().unwrap();
        let child = children.iter_mut().find(|child| child.id() as i32 == process.pid)?;
        child.try_wait().ok().flatten().map(|status| status.to_string())
    }
}

impl Process {
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Waits for the n-th log line that contains the text.
    pub fn wait_for_log(&self, text: &str, count: usize, timeout: Duration) -> bool {
        wait_until(timeout, || self.log().lines().filter(|line| line.contains(text)).count() >= count)
    }
}

pub fn wait_until(timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + timeout;
    loop {
        if condition() {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        sleep(5);
    }
}

/// Ends a connection with a reset.
pub fn reset(stream: TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &[1, 0], 8) };
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// Returns free ports, all different.
pub fn free_ports(count: usize) -> Vec<u16> {
    let listeners: Vec<TcpListener> = (0..count).map(|_| TcpListener::bind("127.0.0.1:0").expect("port")).collect();
    listeners.iter().map(|l| l.local_addr().unwrap().port()).collect()
}

// ---------------------------------------------------------------------------------------------- discovery

/// How discovery answers calls.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Answers {
    /// As the protocol page says.
    Lists,
    /// 503 to every call: it has too many callers. Open watches end with 503 as well.
    Busy,
    /// It has too many callers: each call is accepted and read, waits for its turn for a second, waited too long, and
    /// is reset. Open watches are reset at once.
    WaitsThenResets,
    /// It is slow: open watches are reset at once, and each call waits for its turn for 1.5 s and is answered then.
    Slow,
}

struct Listed {
    revision: u64,
    /// The last entry of each member, with the revision that changed it.
    members: Vec<(String, u64, String, String)>,
    answers: Answers,
}

/// Stands in for discovery: whole lists, and watches that wait.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    listed: Arc<(Mutex<Listed>, Condvar)>,
    record: Record,
    pub calls: Arc<AtomicUsize>,
    /// Since when it has too many callers.
    crowded_since: Arc<Mutex<Option<Instant>>>,
}

fn began_before(crowded_since: &Mutex<Option<Instant>>, called_at: Instant) -> bool {
    crowded_since.lock().unwrap().is_some_and(|since| called_at < since)
}

impl Discovery {
    pub fn start(record: &Record) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("discovery");
        let address = listener.local_addr().unwrap();
        let listed = Listed { revision: 41, members: Vec::new(), answers: Answers::Lists };
        let discovery = Discovery {
            address,
            listed: Arc::new((Mutex::new(listed), Condvar::new())),
            record: record.clone(),
            calls: Arc::default(),
            crowded_since: Arc::default(),
        };
        let served = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        discovery
    }

    /// Lists a member in cell 0, or changes its phase.
    pub fn set(&self, id: &str, address: SocketAddr, phase: &str) {
        self.set_in_cell(id, address, phase, 0);
    }

    /// Lists a member, or changes its phase.
    pub fn set_in_cell(&self, id: &str, address: SocketAddr, phase: &str, cell: u32) {
        let (listed, changed) = &*self.listed;
        let mut listed = listed.lock().unwrap();
        listed.revision += 1;
        let revision = listed.revision;
        let entry = format!(
            r#"{{"id":"{id}","host_port":"{address}","locality":"a","flavor":"m2","cell":{cell},"phase":"{phase}","size":1.0,"up_since_ms":0}}"#
        );
        listed.members.retain(|member| member.0 != id);
        listed.members.push((id.to_string(), revision, phase.to_string(), entry));
        changed.notify_all();
        self.record.note(format!("discovery: revision {revision}: {id} (cell {cell}) is {phase}"));
    }

    pub fn answer(&self, answers: Answers) {
        let (listed, changed) = &*self.listed;
        *self.crowded_since.lock().unwrap() = (answers != Answers::Lists).then(Instant::now);
        listed.lock().unwrap().answers = answers;
        changed.notify_all();
        self.record.note(format!("discovery answers from now on: {answers:?}"));
    }

    /// Returns the whole list as it stands.
    pub fn whole(&self) -> String {
        let listed = self.listed.0.lock().unwrap();
        render(&listed, None)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().expect("clone"));
        let mut writer = stream;
        loop {
            let mut head = String::new();
            loop {
                let mut line = String::new();
                match reader.read_line(&mut line) {
                    Ok(0) | Err(_) => return,
                    Ok(_) => {}
                }
                if line.trim().is_empty() {
                    break;
                }
                head.push_str(&line);
            }
            self.calls.fetch_add(1, Ordering::SeqCst);
            let called_at = Instant::now();
            let path = head.split(' ').nth(1).unwrap_or("").to_string();
            let number = |name: &str| -> Option<u64> {
                let (_, rest) = path.split_once(&format!("{name}="))?;
                rest.split('&').next()?.parse().ok()
            };
            let (from, hold) = (number("from"), number("hold_ms").unwrap_or(0).min(60_000));
            let until = Instant::now() + ms(hold);
            let (listed, changed) = &*self.listed;
            let mut listed = listed.lock().unwrap();
            while listed.answers == Answers::Lists
                && from.is_some_and(|from| from >= listed.revision)
                && Instant::now() < until
            {
                let left = until.saturating_duration_since(Instant::now());
                listed = changed.wait_timeout(listed, left.min(ms(50))).unwrap().0;
            }
            if listed.answers == Answers::Slow {
                drop(listed);
                if began_before(&self.crowded_since, called_at) {
                    self.record.note(format!("discovery resets the call {path}"));
                    drop(reader);
                    return reset(writer);
                }
                sleep(1500);
                self.record.note(format!("discovery answers the call {path}"));
                let body = render(&self.listed.0.lock().unwrap(), from);
                let answer = format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                if writer.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if listed.answers == Answers::WaitsThenResets {
                let watched = from.is_some_and(|from| from >= listed.revision);
                drop(listed);
                if !(watched && hold > 1000 && began_before(&self.crowded_since, called_at)) {
                    sleep(1000);
                }
                self.record.note(format!("discovery resets the call {path}"));
                drop(reader);
                return reset(writer);
            }
            let answer = if listed.answers == Answers::Busy {
                "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_string()
            } else {
                let body = render(&listed, from);
                format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len())
            };
            drop(listed);
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

fn render(listed: &Listed, from: Option<u64>) -> String {
    let wanted = |member: &&(String, u64, String, String)| match from {
        Some(from) => member.1 > from,
        None => member.2 != "left",
    };
    let entries: Vec<&str> = listed.members.iter().filter(wanted).map(|m| m.3.as_str()).collect();
    format!(r#"{{"revision":{},"complete":{},"members":[{}]}}"#, listed.revision, from.is_none(), entries.join(","))
}

// ---------------------------------------------------------------------------------------------- hosts

/// How a host answers a request's first line.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Host {
    /// `UP`, then a line back for each line.
    Sound,
    /// It takes the line and answers nothing.
    Hangs,
    /// It takes the line, and its connection is reset before it answers, once for each key; then it is sound.
    BreaksOnce,
}

/// An `OPEN` line that reached a host.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub host: String,
    pub line: String,
}

/// The hosts, with all requests that reached them.
#[derive(Clone)]
pub struct Hosts {
    pub record: Record,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
}

#[derive(Clone)]
pub struct HostHandle {
    pub name: String,
    pub address: SocketAddr,
    pub behavior: Arc<Mutex<Host>>,
}

impl HostHandle {
    pub fn behave(&self, behavior: Host, record: &Record) {
        record.note(format!("host {} from now on: {behavior:?}", self.name));
        *self.behavior.lock().unwrap() = behavior;
    }
}

impl Hosts {
    pub fn new(record: &Record) -> Hosts {
        Hosts { record: record.clone(), arrivals: Arc::default() }
    }

    pub fn start(&self, name: &str) -> HostHandle {
        let listener = TcpListener::bind("127.0.0.1:0").expect("host");
        let handle = HostHandle {
            name: name.to_string(),
            address: listener.local_addr().unwrap(),
            behavior: Arc::new(Mutex::new(Host::Sound)),
        };
        let (hosts, served) = (self.clone(), handle.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (hosts, served) = (hosts.clone(), served.clone());
                thread::spawn(move || hosts.serve(&served, stream));
            }
        });
        handle
    }

    fn serve(&self, host: &HostHandle, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().expect("clone"));
        let mut writer = stream;
        let mut line = String::new();
        while matches!(reader.read_line(&mut line), Ok(1..)) {
            let text = line.trim_end().to_string();
            line.clear();
            if text.starts_with("OPEN ") {
                self.record.note(format!("host {} got: {text}", host.name));
                let arrival = Arrival { at: Instant::now(), host: host.name.clone(), line: text };
                self.arrivals.lock().unwrap().push(arrival);
                let first = {
                    let arrivals = self.arrivals.lock().unwrap();
                    let key = |a: &Arrival| a.line.split(' ').nth(2).map(String::from);
                    let last = arrivals.last().and_then(key);
                    arrivals.iter().filter(|a| key(a) == last).count() == 1
                };
                match *host.behavior.lock().unwrap() {
                    Host::BreaksOnce if first => {
                        drop(reader);
                        return reset(writer);
                    }
                    Host::Sound | Host::BreaksOnce => {
                        if writer.write_all(b"UP 77aa\r\n").is_err() {
                            return;
                        }
                    }
                    Host::Hangs => {}
                }
            } else if text == "PING" || text == "STATS" {
                let _ = writer.write_all(b"NO\r\n");
            } else if *host.behavior.lock().unwrap() != Host::Hangs
                && writer.write_all(format!("{text}\r\n").as_bytes()).is_err()
            {
                return;
            }
        }
    }

    /// Returns the requests with this key that reached any host.
    pub fn with_key(&self, key: &str) -> Vec<Arrival> {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.iter().filter(|a| a.line.split(' ').nth(2) == Some(key)).cloned().collect()
    }
}

// ---------------------------------------------------------------------------------------------- clients

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
    pub name: String,
    record: Record,
    pub sent_at: Instant,
}

impl Client {
    pub fn connect(record: &Record, name: &str, address: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, ms(1000))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Client { stream, reader, name: name.to_string(), record: record.clone(), sent_at: Instant::now() })
    }

    pub fn send(&mut self, line: &str) {
        self.record.note(format!("{} sends: {line}", self.name));
        self.sent_at = Instant::now();
        let _ = self.stream.write_all(format!("{line}\r\n").as_bytes());
    }

    /// Returns the next line, `None` if the connection ended or broke, or if nothing came in time.
    pub fn receive(&mut self, timeout: Duration) -> Option<String> {
        let _ = self.stream.set_read_timeout(Some(timeout));
        let mut line = String::new();
        let result = self.reader.read_line(&mut line);
        let after = self.sent_at.elapsed().as_millis();
        let text = match &result {
            Ok(0) => "the end of the connection".to_string(),
            Ok(_) => line.trim_end().to_string(),
            Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
                format!("nothing within {} ms", timeout.as_millis())
            }
            Err(error) => format!("a broken connection ({:?})", error.kind()),
        };
        self.record.note(format!("{} got after {after} ms: {text}", self.name));
        matches!(result, Ok(1..)).then(|| line.trim_end().to_string())
    }
}

/// Connects, sends one line and returns the first line of the answer.
pub fn ask(record: &Record, name: &str, address: SocketAddr, line: &str, timeout: Duration) -> (Option<Client>, Option<String>) {
    match Client::connect(record, name, address) {
        Ok(mut client) => {
            client.send(line);
            let answer = client.receive(timeout);
            (Some(client), answer)
        }
        Err(error) => {
            record.note(format!("{name} cannot connect: {error}"));
            (None, None)
        }
    }
}

/// Calls an operators' address and returns the body.
pub fn call(address: SocketAddr, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&address, ms(500)).ok()?;
    stream.set_read_timeout(Some(ms(1000))).ok()?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: it\r\n\r\n").as_bytes()).ok()?;
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    text.split_once("\r\n\r\n").map(|(_, body)| body.to_string())
}

// ---------------------------------------------------------------------------------------------- configurations

/// What a node config of a small deployment says.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub ops: Option<SocketAddr>,
    pub known: String,
    pub balancers: usize,
    pub index: usize,
    pub offerings: String,
    pub drain_grace: u64,
    pub connect_timeout: u64,
    pub ask_within: u64,
    pub peers: bool,
    pub most_hand_offs: u64,
    pub registry_mode: String,
}

impl Config {
    pub fn new(name: &str, listen: SocketAddr, discovery: &Discovery) -> Config {
        Config {
            name: name.to_string(),
            listen,
            discovery: discovery.address,
            ops: None,
            known: discovery.whole(),
            balancers: 1,
            index: 0,
            offerings: offering("chat", "free", 2000),
            drain_grace: 300,
            connect_timeout: 250,
            ask_within: 10_000,
            peers: false,
            most_hand_offs: 3,
            registry_mode: "on_request".to_string(),
        }
    }

    pub fn text(&self) -> String {
        let ops = self.ops.map_or(String::new(), |ops| format!(r#""ops":"{ops}","#));
        format!(
            r#"{{"name":"{}","listen":"{}","discovery":"{}",{ops}"seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
 "known":{},
 "settings":{{"balancers":{},"index":{},"zone":0,"zones":["a"],"tenants":[{{"name":"acme"}}],
   "offerings":[{}],
   "contract":{{"ask_within":{},"cold":10000,"cold_from":0.2,"drain_grace":{},"tip_after":1000,"tip_multiple":3}},
   "policy_limits":{{"cancel":true,"connect_timeout":{},"most_hand_offs":{},"peers":{},"retry_after":true,
     "max_retry_after":1000}},
   "registry_mode":"{}","extra":{{"message_aim":[],"mode":"proxy"}}}}}}
"#,
            self.name, self.listen, self.discovery, self.known, self.balancers, self.index, self.offerings,
            self.ask_within, self.drain_grace, self.connect_timeout, self.most_hand_offs, self.peers,
            self.registry_mode
        )
    }
}

pub fn offering(name: &str, effect: &str, expiry: u64) -> String {
    offering_in_group(name, effect, "all", expiry)
}

pub fn offering_in_group(name: &str, effect: &str, group: &str, expiry: u64) -> String {
    format!(
        r#"{{"name":"{name}","contract_time":500,"expiry":{expiry},"effect":"{effect}","group":"{group}","repeat_window":5000,"payoff":1}}"#
    )
}
