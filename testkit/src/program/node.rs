//! A running process of the program in one role, as tests handle it.

use super::files::unique_number;
use super::launch::{path, Launch};
use super::log::Log;
use super::ops_call::send_call;
use super::process::Process;
use crate::peers::{unused_address, Hosts, Peer, OPEN};
use crate::syscalls::{SyscallInjector, TracedProcess};
use rustix::process::Signal;
use serde_json::Value;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{ChildStderr, ExitStatus};
use std::str::FromStr;
use std::time::{Duration, Instant};

/// The program as one role, running.
pub struct Node {
    process: Process,
    node_config_file: PathBuf,
    operator_config_file: Option<PathBuf>,
    /// Where it accepts clients, or forwarders where it is a planner.
    pub address: SocketAddr,
    /// Where operators call, if they do.
    pub ops: Option<SocketAddr>,
    log: Log,
}

impl Node {
    /// Starts a node with this node config.
    pub fn start(node_config: &Value) -> Self {
        Node::start_build(&path(), node_config)
    }

    /// A node of this build of the program.
    pub fn start_build(program: &Path, node_config: &Value) -> Self {
        Node::run(Launch::node(program, &node_config.to_string()))
    }

    /// A node whose system calls and wall clock this injector makes faulty, from its first call on.
    pub fn start_injected(node_config: &Value, injector: &SyscallInjector) -> Self {
        let launch = Launch::node(&path(), &node_config.to_string());
        Node::run_injected(launch, injector)
    }

    /// The same, at a listener which the test holds.
    pub fn start_injected_at(
        node_config: &Value,
        listener: &TcpListener,
        folder: &Path,
        injector: &SyscallInjector,
    ) -> Self {
        let launch = Launch::node(&path(), &node_config.to_string());
        let descriptor = listener.as_raw_fd().to_string();
        Node::run_injected(launch.at(&descriptor, folder), injector)
    }

    /// A node that accepts clients at a listener which the test holds, with this folder for what it leaves to its
    /// successor.
    pub fn start_at(node_config: &Value, listener: &TcpListener, folder: &Path) -> Self {
        Node::start_build_at(&path(), node_config, listener, folder)
    }

    /// The same, of this build of the program.
    pub fn start_build_at(
        program: &Path,
        node_config: &Value,
        listener: &TcpListener,
        folder: &Path,
    ) -> Self {
        let launch = Launch::node(program, &node_config.to_string());
        let descriptor = listener.as_raw_fd().to_string();
        Node::run(launch.at(&descriptor, folder))
    }

    /// A node that the system allows no more than so many descriptors.
    pub fn start_with_descriptor_limit(node_config: &Value, descriptors: usize) -> Self {
        let launch = Launch::node(&path(), &node_config.to_string());
        Node::run(launch.with_descriptor_limit(descriptors))
    }

    /// A process of another role, by an operator config; `PAPERS` in it stands for the file of this node config.
    pub fn start_as(role: &str, operator_config: &str, node_config: &Value) -> Self {
        Node::start_build_as(&path(), role, operator_config, node_config)
    }

    /// The same, whose system calls and wall clock this injector makes faulty.
    pub fn start_as_injected(
        role: &str,
        operator_config: &str,
        node_config: &Value,
        injector: &SyscallInjector,
    ) -> Self {
        let launch = Launch::role(&path(), role, operator_config, node_config);
        Node::run_injected(launch, injector)
    }

    /// A process of another role, of this build of the program.
    pub fn start_build_as(
        program: &Path,
        role: &str,
        operator_config: &str,
        node_config: &Value,
    ) -> Self {
        Node::run(Launch::role(program, role, operator_config, node_config))
    }

    fn run(mut launch: Launch) -> Self {
        let mut child = launch.command.spawn().unwrap();
        let stderr = child.stderr.take().unwrap();
        let (node_config_file, operator_config_file) =
            (launch.node_config_file, launch.operator_config_file);
        Node::wait_for_start(
            Process::Plain(child),
            stderr,
            node_config_file,
            operator_config_file,
        )
    }

    fn run_injected(launch: Launch, injector: &SyscallInjector) -> Self {
        let (process, stderr) = TracedProcess::start(launch.command, injector).unwrap();
        Node::wait_for_start(
            Process::Traced(process),
            stderr,
            launch.node_config_file,
            launch.operator_config_file,
        )
    }

    /// Reads the log of a process that has just been started, until it says where it listens.
    fn wait_for_start(
        process: Process,
        stderr: ChildStderr,
        node_config_file: PathBuf,
        operator_config_file: Option<PathBuf>,
    ) -> Self {
        let mut node = Node {
            process,
            node_config_file,
            operator_config_file,
            address: unused_address(),
            ops: None,
            log: Log::read(stderr),
        };
        let mut last_line = String::new();
        loop {
            let line = node
                .log
                .next()
                .unwrap_or_else(|| panic!("it did not start; its last line: {last_line}"));
            if line.contains("operators") {
                node.ops = value_after(&line, "at: ");
            } else if line.contains("started") {
                node.address = value_after(&line, "listen: ").unwrap();
                return node;
            }
            last_line = line;
        }
    }

    /// Waits for a log line that holds this text.
    pub fn wait_for_log(&self, text: &str) -> String {
        self.log.wait_for(text)
    }

    /// A client that sends this request, under an id of its own.
    pub fn open(&self, line: &str) -> Peer {
        let mut client = Peer::connect(self.address);
        client.send_line(&line.replace("9b1f", &format!("9b1f{}", unique_number())));
        client
    }

    /// A client whose connection is open, the number of its host, and the host's end.
    pub fn served(&self, hosts: &Hosts) -> (Peer, usize, Peer) {
        let mut client = self.open(OPEN);
        let (number, mut host) = hosts.accept();
        assert!(host.receive_line().contains(" 7f3a c=chat,t=acme,d="));
        host.send_line("UP 77aa");
        client.expect_line("UP 77aa");
        (client, number, host)
    }

    /// An operator's call: the status of the answer, and its text.
    pub fn call(&self, call: &str) -> (u16, String) {
        send_call(
            self.ops.unwrap(),
            &format!("{call} HTTP/1.1\r\nHost: it\r\n\r\n"),
        )
    }

    /// One of the metrics that operators read.
    pub fn metric(&self, name: &str) -> i64 {
        let (status, text) = self.call("GET /status/metrics");
        assert_eq!(status, 200, "{text}");
        let prefix = format!("app.{name}:");
        let value = text
            .lines()
            .find_map(|line| line.strip_prefix(&prefix))
            .unwrap_or_else(|| panic!("no {name} in {text}"));
        value.split('|').next().unwrap().parse().unwrap()
    }

    /// Sends SIGTERM.
    pub fn stop(&self) {
        self.process.signal(Signal::TERM);
    }

    /// The file that it was started with.
    fn config_path(&self) -> &Path {
        self.operator_config_file
            .as_ref()
            .unwrap_or(&self.node_config_file)
    }

    /// Writes another text to the file that it was started with, and has it reload that.
    pub fn reload(&self, text: &str) {
        std::fs::write(self.config_path(), text).unwrap();
        self.process.signal(Signal::HUP);
    }

    /// Writes another node config, and has it reload that.
    pub fn reload_node_config(&self, text: &str) {
        std::fs::write(&self.node_config_file, text).unwrap();
        self.process.signal(Signal::HUP);
    }

    /// The text of the file that it was started with.
    pub fn config_file(&self) -> String {
        std::fs::read_to_string(self.config_path()).unwrap()
    }

    /// Suspends it until [`Node::unsuspend`]. Returns once it is suspended.
    pub fn suspend(&self) {
        self.process.suspend();
    }

    /// Ends [`Node::suspend`].
    pub fn unsuspend(&self) {
        self.process.unsuspend();
    }

    /// Kills it, and waits for its end.
    pub fn kill(&mut self) {
        self.process.kill();
    }

    /// The log lines that have come and were not waited for, without waiting.
    pub fn drain_log(&self) -> Vec<String> {
        self.log.drain().map(|(_, line)| line).collect()
    }

    /// The same, each with when it came.
    pub fn drain_log_timed(&self) -> Vec<(Instant, String)> {
        self.log.drain().collect()
    }

    /// Its resident memory, in bytes.
    pub fn memory(&self) -> usize {
        self.process.memory()
    }

    /// Processor time that it has taken.
    pub fn cpu_time(&self) -> Duration {
        self.process.cpu_time()
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
        self.process.descriptors()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
        _ = std::fs::remove_file(&self.node_config_file);
        if let Some(file) = &self.operator_config_file {
            _ = std::fs::remove_file(file);
        }
    }
}

/// The value behind a key in a log line, up to the next comma or space.
fn value_after<T: FromStr>(line: &str, key: &str) -> Option<T> {
    let (_, rest) = line.split_once(key)?;
    rest.split([',', ' ']).next()?.parse().ok()
}
