//! A handle to a running process of the program, in any of its roles.

use super::files::unique_number;
use super::launch::{path, Launch};
use super::log::Log;
use super::ops_call::send_call;
use super::process::Process;
use crate::peers::{unused_address, Hosts, Peer, OPEN};
use crate::spawn_guard;
use crate::syscalls::{SyscallInjector, TracedProcess};
use rustix::process::Signal;
use serde_json::Value;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{ChildStderr, ExitStatus};
use std::str::FromStr;
use std::time::{Duration, Instant};

/// A running process of the program in one role. It is killed and its config files are removed on drop.
pub struct Node {
    process: Process,
    node_config_file: PathBuf,
    operator_config_file: Option<PathBuf>,
    /// The address at which the process accepts clients, or forwarders if it is a planner.
    pub address: SocketAddr,
    /// The address of the operators' HTTP endpoint; `None` if the process has none.
    pub ops: Option<SocketAddr>,
    log: Log,
}

impl Node {
    /// Starts a node with this node config and waits until it has started.
    pub fn start(node_config: &Value) -> Self {
        Node::start_build(&path(), node_config)
    }

    /// Starts a node from the executable `program`.
    pub fn start_build(program: &Path, node_config: &Value) -> Self {
        Node::run(Launch::node(program, &node_config.to_string()))
    }

    /// Starts a node into whose system calls and wall clock `injector` injects faults, from the first call on.
    pub fn start_injected(node_config: &Value, injector: &SyscallInjector) -> Self {
        let launch = Launch::node(&path(), &node_config.to_string());
        Node::run_injected(launch, injector)
    }

    /// Like [`Node::start_injected`], with a listener and a folder as in [`Node::start_at`].
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

    /// Starts a node that accepts clients at an inherited listener of the test, with this folder for what it leaves
    /// to its successor.
    pub fn start_at(node_config: &Value, listener: &TcpListener, folder: &Path) -> Self {
        Node::start_build_at(&path(), node_config, listener, folder)
    }

    /// Like [`Node::start_at`], from the executable `program`.
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

    /// Starts a node that may have at most `descriptors` open descriptors.
    pub fn start_with_descriptor_limit(node_config: &Value, descriptors: usize) -> Self {
        let launch = Launch::node(&path(), &node_config.to_string());
        Node::run(launch.with_descriptor_limit(descriptors))
    }

    /// Starts a process in another role with an operator config, in which `PAPERS` stands for the path of the file
    /// with this node config.
    pub fn start_as(role: &str, operator_config: &str, node_config: &Value) -> Self {
        Node::start_build_as(&path(), role, operator_config, node_config)
    }

    /// Like [`Node::start_as`], with faults that `injector` injects into the system calls and the wall clock.
    pub fn start_as_injected(
        role: &str,
        operator_config: &str,
        node_config: &Value,
        injector: &SyscallInjector,
    ) -> Self {
        let launch = Launch::role(&path(), role, operator_config, node_config);
        Node::run_injected(launch, injector)
    }

    /// Like [`Node::start_as`], from the executable `program`.
    pub fn start_build_as(
        program: &Path,
        role: &str,
        operator_config: &str,
        node_config: &Value,
    ) -> Self {
        Node::run(Launch::role(program, role, operator_config, node_config))
    }

    fn run(mut launch: Launch) -> Self {
        let mut child = spawn_guard::spawn(&mut launch.command).unwrap();
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

    /// Reads the log of a process that has just been started, until it says at which address it listens.
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
                .unwrap_or_else(|| panic!("it did not start; last line: {last_line}"));
            if line.contains("operators") {
                node.ops = value_after(&line, "at: ");
            } else if line.contains("started") {
                node.address = value_after(&line, "listen: ").unwrap();
                return node;
            }
            last_line = line;
        }
    }

    /// Waits for a log line that contains `text` and returns it.
    pub fn wait_for_log(&self, text: &str) -> String {
        self.log.wait_for(text)
    }

    /// Connects a client that sends this request line, with the id `9b1f` made unique.
    pub fn open(&self, line: &str) -> Peer {
        let mut client = Peer::connect(self.address);
        client.send_line(&line.replace("9b1f", &format!("9b1f{}", unique_number())));
        client
    }

    /// Opens a connection through the node. Returns the client, the number of the host and the host's end.
    pub fn served(&self, hosts: &Hosts) -> (Peer, usize, Peer) {
        let mut client = self.open(OPEN);
        let (number, mut host) = hosts.accept();
        assert!(host.receive_line().contains(" 7f3a c=chat,t=acme,d="));
        host.send_line("UP 77aa");
        client.expect_line("UP 77aa");
        (client, number, host)
    }

    /// Calls the operators' HTTP endpoint, with a method and a path. Returns the status of the response and its body.
    pub fn call(&self, call: &str) -> (u16, String) {
        send_call(
            self.ops.unwrap(),
            &format!("{call} HTTP/1.1\r\nHost: it\r\n\r\n"),
        )
    }

    /// Returns the value of a metric, by its name without the prefix `app.`.
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

    /// Returns the path of the file that the process was started with.
    fn config_path(&self) -> &Path {
        self.operator_config_file
            .as_ref()
            .unwrap_or(&self.node_config_file)
    }

    /// Writes `text` to the file that the process was started with and sends SIGHUP.
    pub fn reload(&self, text: &str) {
        std::fs::write(self.config_path(), text).unwrap();
        self.process.signal(Signal::HUP);
    }

    /// Writes `text` to the file of the node config and sends SIGHUP.
    pub fn reload_node_config(&self, text: &str) {
        std::fs::write(&self.node_config_file, text).unwrap();
        self.process.signal(Signal::HUP);
    }

    /// Returns the text of the file that the process was started with.
    pub fn config_file(&self) -> String {
        std::fs::read_to_string(self.config_path()).unwrap()
    }

    /// Suspends the process until [`Node::unsuspend`]. Returns once it is suspended.
    pub fn suspend(&self) {
        self.process.suspend();
    }

    /// Ends [`Node::suspend`].
    pub fn unsuspend(&self) {
        self.process.unsuspend();
    }

    /// Sends SIGKILL and waits for the end of the process.
    pub fn kill(&mut self) {
        self.process.kill();
    }

    /// Returns the log lines that have been read and not returned yet, without waiting.
    pub fn drain_log(&self) -> Vec<String> {
        self.log.drain().map(|(_, line)| line).collect()
    }

    /// Like [`Node::drain_log`], each line with the time at which it was read.
    pub fn drain_log_timed(&self) -> Vec<(Instant, String)> {
        self.log.drain().collect()
    }

    /// Returns the resident memory of the process, in bytes.
    pub fn memory(&self) -> usize {
        self.process.memory()
    }

    /// Returns the largest resident memory that the process has had, in bytes.
    pub fn peak_memory(&self) -> usize {
        self.process.peak_memory()
    }

    /// Returns the processor time that the process has used.
    pub fn cpu_time(&self) -> Duration {
        self.process.cpu_time()
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self) -> ExitStatus {
        self.process.wait()
    }

    /// Returns whether the process is still running.
    pub fn runs(&mut self) -> bool {
        self.process.runs()
    }

    /// Returns the number of open descriptors of the process.
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

/// Returns the value that follows a key in a log line, up to the next comma or space. `None` if it is absent or
/// malformed.
fn value_after<T: FromStr>(line: &str, key: &str) -> Option<T> {
    let (_, rest) = line.split_once(key)?;
    rest.split([',', ' ']).next()?.parse().ok()
}
