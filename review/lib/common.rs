//! What the review cases share: the stand-ins (hosts, discovery, clients, a datagram relay), the processes under test
//! and the record. Only the standard library is used. All addresses are loopback addresses.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, ...) -> i32;
}

/// `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

pub const RULE_HELD: i32 = 0;
pub const RULE_BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// What was sent, answered and run, with the time since the start in milliseconds.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = fs::File::create(path).expect("record.txt can be written");
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} {}\n", self.ms(), text);
        self.file.lock().unwrap().write_all(line.as_bytes()).expect("record.txt can be written");
    }
}

/// A temporary folder, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Folder {
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos();
        let path = std::env::temp_dir().join(format!("rf-review-{}-{}", std::process::id(), nanos % 1_000_000));
        fs::create_dir_all(&path).expect("a temporary folder can be made");
        Folder(path)
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        let beside = self.0.join(format!("{name}.new"));
        fs::write(&beside, text).expect("a config file can be written");
        fs::rename(&beside, &path).expect("a config file can be renamed");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        _ = fs::remove_dir_all(&self.0);
    }
}

/// Returns a port of 127.0.0.1 that is free for TCP and UDP.
pub fn free_port() -> u16 {
    loop {
        let Ok(tcp) = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)) else { continue };
        let port = tcp.local_addr().unwrap().port();
        if UdpSocket::bind((Ipv4Addr::LOCALHOST, port)).is_ok() {
            return port;
        }
    }
}

pub fn local(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Reads the `run` command of the deploy file.
fn run_command(root: &Path) -> String {
    let text = fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file can be read");
    let line = text.lines().find(|line| line.starts_with("run = ")).expect("the deploy file has run");
    line["run = ".len()..].trim().trim_matches('"').to_string()
}

/// A process of the program, started by the deploy file's `run` command from the repository's root.
pub struct Program {
    pub name: String,
    child: Child,
    pub log: PathBuf,
    ended: bool,
}

impl Program {
    pub fn start(record: &Record, folder: &Folder, name: &str, arguments: &str, variables: &[(&str, String)]) -> Program {
        let root = repository();
        let log = folder.0.join(format!("{name}-{}.log", record.ms()));
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(format!("{} {}", run_command(&root), arguments)).current_dir(&root);
        command.env("TMPDIR", &folder.0).env_remove("GW_CONFIG").env_remove("GW_OPS").env_remove("GW_ACCEPT_FD");
        for (key, value) in variables {
            command.env(key, value);
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(fs::File::create(&log).unwrap());
        command.process_group(0);
        // If this driver is killed, its programs end with it.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command.spawn().unwrap_or_else(|e| give_up(record, &format!("cannot start {name}: {e}")));
        record.line(&format!("start {name} pid={} args='{}'", child.id(), arguments));
        Program { name: name.to_string(), child, log, ended: false }
    }

    pub fn signal(&self, record: &Record, signal: i32) {
        record.line(&format!("signal {signal} to {}", self.name));
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn has_exited(&mut self) -> bool {
        self.ended = self.ended || matches!(self.child.try_wait(), Ok(Some(_)));
        self.ended
    }

    pub fn wait_exit(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.has_exited() {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Waits until the log holds this text so many times.
    pub fn wait_log(&self, text: &str, times: usize, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.log_text().matches(text).count() >= times {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        if !self.has_exited() {
            unsafe { kill(self.child.id() as i32, SIGCONT) };
            _ = self.child.kill();
            _ = self.child.wait();
        }
    }
}

/// The repository's root: the case is started from there by run.sh.
pub fn repository() -> PathBuf {
    std::env::current_dir().expect("there is a current folder")
}

/// Ends the case as one that couldn't run. Unwinds, so that the processes are ended.
pub fn give_up(record: &Record, why: &str) -> ! {
    record.line(&format!("NOT RUN: {why}"));
    println!("not run: {why}");
    std::panic::resume_unwind(Box::new("not run"))
}

/// Runs a case, whose record is written to the file that the first argument names, and ends this process with its exit
/// code.
pub fn run_case(run: fn(&Record) -> i32) {
    let path = std::env::args().nth(1).expect("the first argument names the record's file");
    let record = Record::create(Path::new(&path));
    let shared = record.clone();
    let code = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| run(&shared))).unwrap_or(NOT_RUN);
    record.line(&format!("exit code {code}"));
    std::process::exit(code);
}

/// How a stand-in host answers one OPEN line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// `UP` after so long, then an answer to each line.
    Up(Duration),
    /// `BUSY` after so long.
    Busy(Duration),
    /// `ERR` after so long.
    Err(Duration),
    /// Nothing at all: the host hangs, and the connection stays open.
    Silent,
}

/// One OPEN line that reached a host with its last byte.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub host: String,
    pub id: String,
    pub key: String,
    pub answer: Answer,
}

pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;
type Choose = dyn Fn(&str, &str, &str) -> Answer + Send + Sync;

/// A stand-in host by the protocol page: answers PING, OPEN and the lines of open connections.
pub struct Host {
    pub name: String,
    pub address: SocketAddr,
}

impl Host {
    /// Starts a host. `choose` gets host, id and key of each OPEN line and says how it is answered.
    pub fn start(record: &Record, name: &str, arrivals: &Arrivals, choose: Arc<Choose>) -> Host {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a host can listen");
        let address = listener.local_addr().unwrap();
        let (record, arrivals, owner) = (record.clone(), arrivals.clone(), name.to_string());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, arrivals, owner, choose) = (record.clone(), arrivals.clone(), owner.clone(), choose.clone());
                thread::spawn(move || serve_connection(&record, &arrivals, &owner, stream, &*choose));
            }
        });
        Host { name: name.to_string(), address }
    }

    pub fn member(&self, phase: &str, cell: u32) -> String {
        format!(
            r#"{{"id":"{}","host_port":"{}","locality":"a","flavor":"m","cell":{cell},"phase":"{phase}","size":1.0,"up_since_ms":0}}"#,
            self.name, self.address
        )
    }
}

fn serve_connection(record: &Record, arrivals: &Arrivals, owner: &str, stream: TcpStream, choose: &Choose) {
    _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    let mut open = false;
    let mut receipt = 0;
    loop {
        let mut line = String::new();
        match reader.read_line(&mut line) {
            Ok(1..) if line.ends_with('\n') => {}
            _ => return,
        }
        let text = line.trim_end();
        if open {
            receipt += 1;
            if writer.write_all(format!("OK {receipt}\r\n").as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if text == "PING" {
            _ = writer.write_all(b"PONG\r\n");
            continue;
        }
        let words: Vec<&str> = text.split(' ').collect();
        if words.len() != 4 || words[0] != "OPEN" {
            record.line(&format!("host {owner} got a line that it can't use: {text}"));
            _ = writer.write_all(b"SYNTAX\r\n");
            return;
        }
        let answer = choose(owner, words[1], words[2]);
        record.line(&format!("host {owner} got '{text}', answers {answer:?}"));
        arrivals.lock().unwrap().push(Arrival {
            at_ms: record.ms(),
            host: owner.to_string(),
            id: words[1].to_string(),
            key: words[2].to_string(),
            answer,
        });
        match answer {
            Answer::Up(after) => {
                thread::sleep(after);
                if writer.write_all(b"UP 1\r\n").is_err() {
                    return;
                }
                open = true;
            }
            Answer::Busy(after) | Answer::Err(after) => {
                thread::sleep(after);
                let word: &[u8] = if matches!(answer, Answer::Busy(_)) { b"BUSY\r\n" } else { b"ERR\r\n" };
                _ = writer.write_all(word);
                return;
            }
            Answer::Silent => {
                let mut rest = [0; 512];
                while matches!(reader.read(&mut rest), Ok(1..)) {}
                return;
            }
        }
    }
}

/// What a stand-in discovery service tells: members by id, and its version.
struct ListState {
    revision: u64,
    members: Vec<(String, u64, String)>,
}

/// A stand-in of the discovery service by the protocol page.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<Mutex<ListState>>,
    /// Watches that are open while this is set stay silent for ever: nothing more is written on their connections.
    pub silence: Arc<AtomicU64>,
}

impl Discovery {
    pub fn start(record: &Record, members: &[(String, String)]) -> Discovery {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("discovery can listen");
        let address = listener.local_addr().unwrap();
        let members = members.iter().map(|(id, text)| (id.clone(), 1, text.clone())).collect();
        let state = Arc::new(Mutex::new(ListState { revision: 1, members }));
        let silence = Arc::new(AtomicU64::new(0));
        let (shared, record, silenced) = (state.clone(), record.clone(), silence.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (shared, record, silenced) = (shared.clone(), record.clone(), silenced.clone());
                thread::spawn(move || serve_discovery(&record, &shared, &silenced, stream));
            }
        });
        Discovery { address, state, silence }
    }

    /// Changes or adds one member, under a new version.
    pub fn change(&self, record: &Record, id: &str, text: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        record.line(&format!("discovery has version {revision}: {text}"));
        match state.members.iter_mut().find(|member| member.0 == id) {
            Some(member) => (member.1, member.2) = (revision, text.to_string()),
            None => state.members.push((id.to_string(), revision, text.to_string())),
        }
    }

    /// From now on, the calls that are open at this moment get no answer; later calls are answered.
    pub fn silence_open_calls(&self, record: &Record) {
        record.line("discovery: all open watches fall silent");
        self.silence.fetch_add(1, Ordering::SeqCst);
    }
}

fn serve_discovery(record: &Record, state: &Mutex<ListState>, silence: &AtomicU64, stream: TcpStream) {
    _ = stream.set_nodelay(true);
    let peer = stream.peer_addr().map(|a| a.to_string()).unwrap_or_default();
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    loop {
        let mut request = String::new();
        loop {
            let mut line = String::new();
            match reader.read_line(&mut line) {
                Ok(1..) => {}
                _ => return,
            }
            if line == "\r\n" {
                break;
            }
            if request.is_empty() {
                request = line;
            }
        }
        let epoch = silence.load(Ordering::SeqCst);
        let path = request.split(' ').nth(1).unwrap_or("").to_string();
        let parameter = |name: &str| {
            let (_, query) = path.split_once('?')?;
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
        };
        let (from, hold) = (parameter("from"), parameter("hold_ms").unwrap_or(0).min(60_000));
        record.line(&format!("discovery {peer} asked {path}"));
        let until = Instant::now() + Duration::from_millis(hold);
        let body = loop {
            let (revision, changed) = {
                let state = state.lock().unwrap();
                let newer = |member: &&(String, u64, String)| from.is_none_or(|from| member.1 > from);
                let changed: Vec<String> = state.members.iter().filter(newer).map(|m| m.2.clone()).collect();
                (state.revision, changed)
            };
            if silence.load(Ordering::SeqCst) != epoch {
                // The connection stays open and silent.
                let mut rest = [0; 512];
                while matches!(reader.read(&mut rest), Ok(1..)) {}
                return;
            }
            if from.is_none_or(|from| revision > from) || Instant::now() >= until {
                break format!(
                    r#"{{"revision":{revision},"complete":{},"members":[{}]}}"#,
                    from.is_none(),
                    changed.join(",")
                );
            }
            thread::sleep(Duration::from_millis(5));
        };
        record.line(&format!("discovery {peer} told {body}"));
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if writer.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// A client's connection to a node.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        let reader = BufReader::new(stream.try_clone().ok()?);
        Some(Client { stream, reader })
    }

    pub fn send(&mut self, line: &str) -> bool {
        self.stream.write_all(format!("{line}\r\n").as_bytes()).is_ok()
    }

    /// Returns the next line, `end` where the connection ended or broke, and `nothing` where the time is up.
    pub fn line(&mut self, limit: Duration) -> String {
        _ = self.stream.set_read_timeout(Some(limit));
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(0) => "end".into(),
            Ok(_) => line.trim_end().to_string(),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => "nothing".into(),
            Err(_) => "end".into(),
        }
    }
}

/// Relays the datagrams between nodes. Each node announces the address of its relay socket and listens elsewhere, so
/// that every datagram passes here. A pair of nodes can be cut off from each other.
pub struct DatagramRelay {
    pub announced: Vec<SocketAddr>,
    cut: Arc<Mutex<Vec<(usize, usize)>>>,
    pub dropped: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
}

impl DatagramRelay {
    pub fn start(listens: &[SocketAddr]) -> DatagramRelay {
        let sockets: Vec<UdpSocket> =
            listens.iter().map(|_| UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a relay can bind")).collect();
        let announced = sockets.iter().map(|socket| socket.local_addr().unwrap()).collect();
        let cut = Arc::new(Mutex::new(Vec::new()));
        let (dropped, stop) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
        for receiver in 0..listens.len() {
            let inbound = sockets[receiver].try_clone().unwrap();
            let outbound: Vec<UdpSocket> = sockets.iter().map(|s| s.try_clone().unwrap()).collect();
            let index_of: HashMap<SocketAddr, usize> = listens.iter().enumerate().map(|(n, a)| (*a, n)).collect();
            let (listens, cut, dropped, stop) = (listens.to_vec(), cut.clone(), dropped.clone(), stop.clone());
            thread::spawn(move || {
                let mut bytes = [0; 65536];
                while !stop.load(Ordering::SeqCst) {
                    let Ok((length, from)) = inbound.recv_from(&mut bytes) else { continue };
                    let Some(&sender) = index_of.get(&from) else { continue };
                    let is_cut = {
                        let cut: std::sync::MutexGuard<Vec<(usize, usize)>> = cut.lock().unwrap();
                        cut.contains(&(sender, receiver)) || cut.contains(&(receiver, sender))
                    };
                    if is_cut {
                        dropped.fetch_add(1, Ordering::SeqCst);
                        continue;
                    }
                    _ = outbound[sender].send_to(&bytes[..length], listens[receiver]);
                }
            });
        }
        DatagramRelay { announced, cut, dropped, stop }
    }

    pub fn cut(&self, record: &Record, one: usize, other: usize) {
        record.line(&format!("cut: no datagram passes between n{one} and n{other}"));
        self.cut.lock().unwrap().push((one, other));
    }

    pub fn heal(&self, record: &Record) {
        record.line(&format!("the cut is over, {} datagrams were lost in it", self.dropped.load(Ordering::SeqCst)));
        self.cut.lock().unwrap().clear();
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Calls the operators' API and returns the whole answer.
pub fn ops_get(address: SocketAddr, path: &str) -> String {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else { return String::new() };
    _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    _ = stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: node\r\n\r\n").as_bytes());
    let mut text = String::new();
    _ = stream.read_to_string(&mut text);
    text
}

/// Waits until a node answers PING with PONG.
pub fn wait_pong(address: SocketAddr, limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if let Some(mut client) = Client::connect(address) {
            if client.send("PING") && client.line(Duration::from_millis(500)) == "PONG" {
                return true;
            }
        }
        sleep_ms(50);
    }
    false
}

/// A relay between clients and a node. While it is cut, both ends stay open and nothing passes; what arrives in the
/// cut is never delivered.
pub struct ClientRelay {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl ClientRelay {
    pub fn start(node: SocketAddr) -> ClientRelay {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a relay can listen");
        let address = listener.local_addr().unwrap();
        let cut = Arc::new(AtomicBool::new(false));
        let shared = cut.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect_timeout(&node, Duration::from_secs(1)) else { continue };
                for (from, to) in [(&client, &server), (&server, &client)] {
                    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else { continue };
                    let cut = shared.clone();
                    _ = to.set_nodelay(true);
                    thread::spawn(move || {
                        let mut bytes = [0; 8192];
                        let mut dead = false;
                        loop {
                            let count = match from.read(&mut bytes) {
                                Ok(count @ 1..) => count,
                                _ => break,
                            };
                            dead |= cut.load(Ordering::SeqCst);
                            if !dead && to.write_all(&bytes[..count]).is_err() {
                                break;
                            }
                        }
                        if !dead && !cut.load(Ordering::SeqCst) {
                            _ = to.shutdown(std::net::Shutdown::Write);
                        } else {
                            // The other end hears nothing of it.
                            sleep_ms(60_000);
                        }
                    });
                }
            }
        });
        ClientRelay { address, cut }
    }

    pub fn cut(&self, record: &Record) {
        record.line("cut: nothing passes any more between n0 and its clients, the connections stay open");
        self.cut.store(true, Ordering::SeqCst);
    }
}
