//! The program as a child process: started with a node config or an operator config, read by its log, signalled,
//! suspended, and killed when it is dropped, so that none outlives the test that started it.

use crate::peers::{eventually, nowhere, Hosts, Peer, MAX_WAIT, OPEN};
use crate::syscalls::{SyscallInjector, TracedProcess};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

/// The node config of a node that knows these hosts.
pub fn node_config(hosts: &Hosts, discovery: SocketAddr) -> Value {
    node_config_of(hosts.members(), discovery)
}

/// The node config of a node that knows this list.
pub fn node_config_of(members: Value, discovery: SocketAddr) -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512},
        "known": {"revision": 0, "complete": true, "members": members},
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

/// How a process of the program was started.
enum Process {
    Plain(Child),
    /// With system calls that a test can spoil.
    Traced(TracedProcess),
}

impl Process {
    fn id(&self) -> u32 {
        match self {
            Process::Plain(child) => child.id(),
            Process::Traced(traced) => traced.id(),
        }
    }

    fn wait(&mut self) -> ExitStatus {
        match self {
            Process::Plain(child) => child.wait().unwrap(),
            Process::Traced(traced) => traced.wait(),
        }
    }

    fn runs(&mut self) -> bool {
        match self {
            Process::Plain(child) => child.try_wait().unwrap().is_none(),
            Process::Traced(traced) => traced.runs(),
        }
    }

    fn kill(&mut self) {
        match self {
            Process::Plain(child) => _ = child.kill(),
            Process::Traced(traced) => traced.kill(),
        }
        _ = self.wait();
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.id() as i32).expect("a process has a number");
        kill_process(pid, signal).unwrap();
    }
}

/// The program as one role, running.
pub struct Node {
    process: Process,
    /// The file that it reads, and all that was written for it.
    config_file: PathBuf,
    files: Vec<PathBuf>,
    /// Where it takes clients in, or forwarders where it is a planner.
    pub address: SocketAddr,
    /// Where operators call, if they do.
    pub ops: Option<SocketAddr>,
    log: Receiver<(Instant, String)>,
}

static STARTED: AtomicU32 = AtomicU32::new(0);

/// The program: what `REEDFERRY_PROGRAM` names, or `reedferry` in the folder of what runs, or above that.
///
/// # Panics
/// Where there is none.
pub fn path() -> PathBuf {
    if let Some(named) = std::env::var_os("REEDFERRY_PROGRAM") {
        return named.into();
    }
    let own = std::env::current_exe().expect("no path of its own");
    let near = own
        .ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join("reedferry"));
    near.into_iter()
        .find(|path| path.is_file())
        .expect("no program: build `reedferry` first")
}

/// A file of its own that holds this text.
fn file(kind: &str, text: &str) -> PathBuf {
    let number = STARTED.fetch_add(1, Ordering::Relaxed);
    let path =
        std::env::temp_dir().join(format!("reedferry-{}-{number}.{kind}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

fn piped(mut command: Command) -> Command {
    command
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .stdin(Stdio::null());
    command
}

/// The program as it is started with these node config, its output kept.
pub fn program(node_config: &str) -> Command {
    program_of(&path(), node_config)
}

fn program_of(program: &Path, node_config: &str) -> Command {
    let mut command = Command::new(program);
    command.env("GW_CONFIG", file("json", node_config));
    piped(command)
}

/// The program in a role, with the files that tell it: node config, and the operator's.
fn command_as(
    program: &Path,
    role: &str,
    operator_config: &str,
    node_config: &Value,
) -> (Command, PathBuf, PathBuf) {
    let node_config = file("json", &node_config.to_string());
    let operator_config = file(
        "toml",
        &operator_config.replace("PAPERS", &node_config.display().to_string()),
    );
    let mut command = Command::new(program);
    command.arg(role).arg("--config").arg(&operator_config);
    (piped(command), node_config, operator_config)
}

/// The file that a command names as its node config.
fn told_by(command: &Command) -> PathBuf {
    let named = command.get_envs().find(|(name, _)| *name == "GW_CONFIG");
    named
        .and_then(|(_, path)| path)
        .expect("no papers are named")
        .into()
}

/// The same, with clients taken in at the descriptor that is named so.
pub fn program_at(node_config: &str, listener: &str, folder: &Path) -> Command {
    program_of_at(&path(), node_config, listener, folder)
}

fn program_of_at(program: &Path, node_config: &str, listener: &str, folder: &Path) -> Command {
    let mut command = program_of(program, node_config);
    command.env("GW_ACCEPT_FD", listener).env("TMPDIR", folder);
    command
}

/// A listener that programs started from here on inherit.
pub fn listener() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    rustix::io::fcntl_setfd(&listener, rustix::io::FdFlags::empty()).unwrap();
    listener
}

/// An empty folder of its own.
pub fn folder() -> PathBuf {
    let number = STARTED.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("reedferry-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&path).unwrap();
    path
}

impl Node {
    /// Starts a node with this node config.
    pub fn start(node_config: &Value) -> Self {
        Node::launch(program(&node_config.to_string()))
    }

    /// One of this build of the program.
    pub fn start_of(program: &Path, node_config: &Value) -> Self {
        Node::launch(program_of(program, &node_config.to_string()))
    }

    /// One whose system calls and wall clock this spoils, from its first call on.
    pub fn start_injected(node_config: &Value, injector: &SyscallInjector) -> Self {
        let command = program(&node_config.to_string());
        let node_config = told_by(&command);
        Node::run_spoilt(command, node_config.clone(), vec![node_config], injector)
    }

    /// The same, at a listener which the test holds.
    pub fn start_injected_at(
        node_config: &Value,
        listener: &TcpListener,
        folder: &Path,
        injector: &SyscallInjector,
    ) -> Self {
        let command = program_at(
            &node_config.to_string(),
            &listener.as_raw_fd().to_string(),
            folder,
        );
        let node_config = told_by(&command);
        Node::run_spoilt(command, node_config.clone(), vec![node_config], injector)
    }

    /// One that takes clients in at a listener which the test holds, with this folder for what it leaves.
    pub fn start_at(node_config: &Value, listener: &TcpListener, folder: &Path) -> Self {
        Node::launch(program_at(
            &node_config.to_string(),
            &listener.as_raw_fd().to_string(),
            folder,
        ))
    }

    /// The same, of this build of the program.
    pub fn start_of_at(
        program: &Path,
        node_config: &Value,
        listener: &TcpListener,
        folder: &Path,
    ) -> Self {
        let listener = listener.as_raw_fd().to_string();
        Node::launch(program_of_at(
            program,
            &node_config.to_string(),
            &listener,
            folder,
        ))
    }

    /// One that the system allows no more than so many descriptors.
    pub fn start_within(node_config: &Value, descriptors: usize) -> Self {
        let plain = program(&node_config.to_string());
        let mut command = Command::new("sh");
        command
            .args(["-c", &format!("ulimit -n {descriptors}; exec \"$0\"")])
            .arg(path());
        command.envs(
            plain
                .get_envs()
                .filter_map(|(name, value)| Some((name, value?))),
        );
        Node::launch(piped(command))
    }

    /// One of another role, by an operator config; `PAPERS` in it stands for the file of these node config.
    pub fn start_as(role: &str, operator_config: &str, node_config: &Value) -> Self {
        Node::start_of_as(&path(), role, operator_config, node_config)
    }

    /// The same, whose system calls and wall clock this spoils.
    pub fn start_as_injected(
        role: &str,
        operator_config: &str,
        node_config: &Value,
        injector: &SyscallInjector,
    ) -> Self {
        let (command, node_config, operator_config) =
            command_as(&path(), role, operator_config, node_config);
        Node::run_spoilt(
            command,
            operator_config.clone(),
            vec![node_config, operator_config],
            injector,
        )
    }

    /// The same, of this build of the program.
    pub fn start_of_as(
        program: &Path,
        role: &str,
        operator_config: &str,
        node_config: &Value,
    ) -> Self {
        let (command, node_config, operator_config) =
            command_as(program, role, operator_config, node_config);
        Node::run(
            command,
            operator_config.clone(),
            vec![node_config, operator_config],
        )
    }

    fn launch(command: Command) -> Self {
        let node_config = told_by(&command);
        Node::run(command, node_config.clone(), vec![node_config])
    }

    fn run(mut command: Command, config_file: PathBuf, files: Vec<PathBuf>) -> Self {
        let mut child = command.spawn().unwrap();
        let stderr = child.stderr.take().unwrap();
        Node::started(Process::Plain(child), stderr, config_file, files)
    }

    fn run_spoilt(
        command: Command,
        config_file: PathBuf,
        files: Vec<PathBuf>,
        injector: &SyscallInjector,
    ) -> Self {
        let (process, stderr) = TracedProcess::start(command, injector).unwrap();
        Node::started(Process::Traced(process), stderr, config_file, files)
    }

    /// Reads the log of a process that has just been started, until it says where it listens.
    fn started(
        process: Process,
        stderr: ChildStderr,
        config_file: PathBuf,
        files: Vec<PathBuf>,
    ) -> Self {
        let (sender, log) = channel();
        let lines = BufReader::new(stderr).lines();
        // To its end, whether or not anybody listens. Guards: a program held up by a full pipe.
        thread::spawn(move || {
            lines
                .map_while(Result::ok)
                .for_each(|line| _ = sender.send((Instant::now(), line)));
        });
        let mut node = Node {
            process,
            config_file,
            files,
            address: nowhere(),
            ops: None,
            log,
        };
        let named = |line: &str, what: &str| {
            let rest = line.split_once(what)?.1;
            rest.split([',', ' ']).next()?.parse().ok()
        };
        let mut before = String::new();
        loop {
            let line = node
                .next_line()
                .unwrap_or_else(|| panic!("it did not start; its last line: {before}"));
            before.clone_from(&line);
            if line.contains("operators") {
                node.ops = named(&line, "at: ");
            } else if line.contains("started") {
                node.address = named(&line, "listen: ").unwrap();
                return node;
            }
        }
    }

    /// The next log line, if one comes in time.
    fn next_line(&self) -> Option<String> {
        self.log.recv_timeout(MAX_WAIT).ok().map(|(_, line)| line)
    }

    /// Waits for a log line that says so.
    pub fn logs(&self, text: &str) -> String {
        let until = Instant::now() + MAX_WAIT;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let line = self
                .log
                .recv_timeout(left)
                .unwrap_or_else(|_| panic!("no log line said {text}"))
                .1;
            if line.contains(text) {
                return line;
            }
        }
    }

    /// A client that asks under an id of its own.
    pub fn open(&self, line: &str) -> Peer {
        let mut client = Peer::connect(self.address);
        client.say(&line.replace(
            "9b1f",
            &format!("9b1f{}", STARTED.fetch_add(1, Ordering::Relaxed)),
        ));
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

    /// An operator's call: the status of the answer, and its text.
    pub fn call(&self, call: &str) -> (u16, String) {
        ask(
            self.ops.unwrap(),
            &format!("{call} HTTP/1.1\r\nHost: it\r\n\r\n"),
        )
    }

    /// One of the figures that operators are told.
    pub fn metric(&self, name: &str) -> i64 {
        let (status, text) = self.call("GET /status/metrics");
        assert_eq!(status, 200, "{text}");
        let line = text
            .lines()
            .find_map(|l| l.strip_prefix(&format!("app.{name}:")));
        line.unwrap_or_else(|| panic!("no {name} in {text}"))
            .split('|')
            .next()
            .unwrap()
            .parse()
            .unwrap()
    }

    /// Sends SIGTERM.
    pub fn stop(&self) {
        self.signal(Signal::TERM);
    }

    /// Puts another text in place of the file that it was started with, and has it read that.
    pub fn reload(&self, text: &str) {
        std::fs::write(&self.config_file, text).unwrap();
        self.signal(Signal::HUP);
    }

    /// Puts other node config in place of those that it was started with, and has it read them.
    pub fn reload_node_config(&self, text: &str) {
        std::fs::write(&self.files[0], text).unwrap();
        self.signal(Signal::HUP);
    }

    /// The file that it was started with.
    pub fn config_file(&self) -> String {
        std::fs::read_to_string(&self.config_file).unwrap()
    }

    /// Has it stand still until `unsuspend`. Returns once it does: a signal is on its way for milliseconds on a busy machine, and
    /// what is sent meanwhile would still be read.
    pub fn suspend(&self) {
        match &self.process {
            Process::Plain(_) => {
                self.signal(Signal::STOP);
                eventually("the process does not stand still", || {
                    self.state() == Some('T')
                });
            }
            Process::Traced(traced) => traced.suspend(),
        }
    }

    /// Ends [`Node::suspend`].
    pub fn unsuspend(&self) {
        match &self.process {
            Process::Plain(_) => self.signal(Signal::CONT),
            Process::Traced(traced) => traced.unsuspend(),
        }
    }

    /// Ends it outright.
    pub fn kill(&mut self) {
        self.process.kill();
    }

    /// The log lines that have come and were not waited for, without waiting.
    pub fn drain_log(&self) -> Vec<String> {
        self.log.try_iter().map(|(_, line)| line).collect()
    }

    /// The same, each with when it came.
    pub fn drain_log_timed(&self) -> Vec<(Instant, String)> {
        self.log.try_iter().collect()
    }

    /// Its memory, in bytes, as the system counts what is resident.
    pub fn memory(&self) -> usize {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.process.id())).unwrap();
        let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap();
        line.split_whitespace()
            .nth(1)
            .unwrap()
            .parse::<usize>()
            .unwrap()
            << 10
    }

    /// What the system says of it, from its state on.
    fn stat(&self) -> Vec<String> {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.process.id()))
            .unwrap_or_default();
        // The name may hold anything; it ends with the last bracket.
        let after = text.rsplit(')').next().unwrap_or("").split_whitespace();
        after.map(str::to_string).collect()
    }

    /// Whether it runs, sleeps, stands still and so on, by the system's gossip message.
    fn state(&self) -> Option<char> {
        self.stat().first().and_then(|state| state.chars().next())
    }

    /// Processor time that it has taken, as the system counts it.
    pub fn cpu_time(&self) -> Duration {
        // Ticks of ten milliseconds.
        let ticks: u64 = self
            .stat()
            .iter()
            .skip(11)
            .take(2)
            .filter_map(|n| n.parse::<u64>().ok())
            .sum();
        Duration::from_millis(10 * ticks)
    }

    fn signal(&self, signal: Signal) {
        self.process.signal(signal);
    }

    /// Waits for its end.
    pub fn wait(&mut self) -> ExitStatus {
        self.process.wait()
    }

    /// Whether it is still running.
    pub fn runs(&mut self) -> bool {
        self.process.runs()
    }

    /// How many descriptors it has open.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.process.id()))
            .unwrap()
            .count()
    }
}

/// Sends this to where operators call, and reads the answer: its status, and its text.
pub fn ask(at: SocketAddr, sent: &str) -> (u16, String) {
    let mut caller = Peer::connect(at);
    caller.write(sent);
    answered(&mut caller)
}

/// The answer to a call, read to the end of its connection.
pub fn answered(caller: &mut Peer) -> (u16, String) {
    let status = caller.hear();
    let code = status
        .strip_prefix("HTTP/1.1 ")
        .and_then(|s| s.split(' ').next()?.parse().ok());
    let mut length = None;
    loop {
        let line = caller.hear();
        // Guards: a test that never ends, as the answer was lost with its connection.
        assert!(
            !["end", "reset"].contains(&line.as_str()),
            "{line} in the middle of an answer: {status}"
        );
        if line.is_empty() {
            break;
        }
        length = line
            .strip_prefix("Content-Length: ")
            .map(|n| n.parse().unwrap())
            .or(length);
    }
    let text = String::from_utf8(caller.bytes(length.unwrap())).unwrap();
    caller.hears("end");
    (code.unwrap_or_else(|| panic!("{status}")), text)
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
        self.files
            .iter()
            .for_each(|file| _ = std::fs::remove_file(file));
    }
}
