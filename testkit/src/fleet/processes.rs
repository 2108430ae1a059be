//! The processes of a fleet: writes their configs, and starts, reconfigures, suspends and ends them. Records when each
//! process ended, so that rule 1 can be checked against what the clients saw.

use super::returning_clients::RequestRecord;
use super::{FleetOptions, Front, ReturningClients, IDEMPOTENCY_WINDOW, REQUEST_TIMEOUT};
use crate::fleet_view::FleetView;
use crate::program::{node_config_of, path, Node};
use crate::simulated::SOCKET_SLACK;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

/// The number of threads that start processes, one process each at a time.
const START_THREADS: usize = 16;

/// Processes of the program that share a list service and hosts.
pub struct Fleet {
    /// The processes by number; `None` where none runs.
    pub nodes: Vec<Option<Node>>,
    /// The load balancer that sends clients to the processes.
    pub front: Front,
    program: PathBuf,
    discovery: SocketAddr,
    options: FleetOptions,
    /// Whether each process is configured as if it were the only one.
    configured_alone: bool,
    /// Whether nodes learn the loads of hosts by probes alone.
    load_probes: bool,
    /// The `effect` setting of the request class.
    effect: &'static str,
    /// The hosts within which a key is known: a value of the class's `group` setting.
    idempotency_group: &'static str,
    /// The usual duration of a request of the class, in milliseconds; `None` for that of the base config.
    usual_duration: Option<f64>,
    /// The limits of each process on memory, in MiB, and on descriptors; `None` for those of the base config.
    limits: Option<(usize, usize)>,
    /// How long replicas keep request records; `None` if requests are not replicated.
    record_lifetime: Option<Duration>,
    /// How long a majority of replicas may take to answer; `None` for the default.
    majority_timeout: Option<Duration>,
    /// The cluster size in the settings; processes with higher numbers have no index of their own.
    pub(crate) cluster_size: usize,
    fleet_view: Option<FleetView>,
    /// The processes that were killed, suspended or asked to stop.
    ended: Vec<EndedProcess>,
}

struct EndedProcess {
    address: SocketAddr,
    at: Instant,
}

impl Fleet {
    /// Creates a fleet of `nodes` processes, none of which runs yet.
    pub fn new(nodes: usize, discovery: SocketAddr, options: FleetOptions) -> Self {
        Fleet {
            nodes: (0..nodes).map(|_| None).collect(),
            front: Front::default(),
            program: path(),
            discovery,
            options,
            configured_alone: false,
            load_probes: false,
            effect: "free",
            idempotency_group: "all",
            usual_duration: None,
            limits: None,
            record_lifetime: None,
            majority_timeout: None,
            cluster_size: nodes,
            fleet_view: None,
            ended: Vec::new(),
        }
    }

    /// Uses another build of the program.
    pub fn with_program(mut self, program: PathBuf) -> Self {
        self.program = program;
        self
    }

    /// Makes each process run the membership protocol.
    pub fn with_view(mut self, fleet_view: FleetView) -> Self {
        self.fleet_view = Some(fleet_view);
        self
    }

    /// Returns the network and settings of the membership protocol.
    ///
    /// # Panics
    /// If the fleet does not run the membership protocol.
    pub fn fleet_view(&self) -> &FleetView {
        self.fleet_view
            .as_ref()
            .expect("the fleet must run the membership protocol")
    }

    /// Sets the cluster size. Processes beyond it are started as second processes of other nodes.
    pub fn with_cluster_size(mut self, cluster_size: usize) -> Self {
        self.cluster_size = cluster_size;
        self
    }

    /// Makes nodes learn the loads of hosts by probes alone.
    pub fn with_load_probes(mut self) -> Self {
        self.load_probes = true;
        self
    }

    /// Sets the effect of all requests, and how long replicas keep request records; with `None`, requests are not
    /// replicated.
    pub fn with_effect(mut self, effect: &'static str, record_lifetime: Option<Duration>) -> Self {
        (self.effect, self.record_lifetime) = (effect, record_lifetime);
        self
    }

    /// Sets within which hosts a key is known: `all`, or those of one `cell`.
    pub fn with_idempotency_group(mut self, group: &'static str) -> Self {
        self.idempotency_group = group;
        self
    }

    /// Sets how long a majority of replicas may take to answer.
    pub fn with_majority_timeout(mut self, timeout: Duration) -> Self {
        self.majority_timeout = Some(timeout);
        self
    }

    /// Sets the limits of each process on memory, in MiB, and on descriptors.
    pub fn with_limits(mut self, memory_mb: usize, sockets: usize) -> Self {
        self.limits = Some((memory_mb, sockets));
        self
    }

    /// Configures each process as if it were the only one that calls the list service.
    pub fn with_each_configured_alone(mut self) -> Self {
        self.configured_alone = true;
        self
    }

    /// Returns the client addresses of the running processes, in the order of their numbers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.nodes
            .iter()
            .flatten()
            .map(|node| node.address)
            .collect()
    }

    fn node_config(&self, node: usize, known: &[Value], revision: u64) -> Value {
        let mut node_config = node_config_of(json!(known), self.discovery);
        node_config["name"] = json!(format!("n{node}"));
        node_config["listen"] = json!(format!("127.1.{}.{}:0", node / 200, node % 200 + 1));
        node_config["seed"] = json!(format!("{:016x}", 0x8c1f_30d2 + node as u64));
        node_config["known"]["revision"] = json!(revision);
        if self.fleet_view.is_some() {
            node_config["ops"] = json!("127.0.0.1:0");
        }
        if let Some((memory_mb, sockets)) = self.limits {
            node_config["limits"] =
                json!({"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets});
        }
        self.configure(&mut node_config["settings"], node);
        node_config
    }

    /// Writes the options of the fleet into the settings of a node.
    fn configure(&self, settings: &mut Value, node: usize) {
        if self.fleet_view.is_some() {
            settings["policy_limits"]["peers"] = json!(true);
        }
        settings["offerings"][0]["effect"] = json!(self.effect);
        settings["offerings"][0]["group"] = json!(self.idempotency_group);
        if let Some(duration) = self.usual_duration {
            settings["offerings"][0]["contract_time"] = json!(duration);
        }
        if self.effect == "guarded" {
            settings["offerings"][0]["repeat_window"] = millis(IDEMPOTENCY_WINDOW);
        }
        if self.load_probes {
            settings["reporting"] = json!({"fields": ["util", "x0"], "via": "pull"});
        }
        let (cluster_size, index) = if self.configured_alone {
            (1, 0)
        } else {
            (self.cluster_size, node)
        };
        settings["balancers"] = json!(cluster_size);
        settings["index"] = json!(index);
        let contract = &mut settings["contract"];
        contract["cold"] = millis(self.options.warm_up);
        contract["cold_from"] = json!(self.options.warm_up_initial_share);
        contract["tip_after"] = millis(self.options.overload_window);
        contract["tip_multiple"] = json!(self.options.overload_factor);
        contract["ask_within"] = millis(self.options.max_poll_interval);
    }

    /// Starts these processes in parallel, each with this endpoint list, and adds them to the front.
    pub fn start(&mut self, numbers: &[usize], known: &[Value], revision: u64) {
        let configs: Vec<ProcessConfig> = numbers
            .iter()
            .map(|&number| self.process_config(number, known, revision))
            .collect();
        let chunk_size = configs.len().div_ceil(START_THREADS).max(1);
        let program = &self.program;
        let started: Vec<(usize, Node)> = thread::scope(|scope| {
            let start_chunk = |chunk: &[ProcessConfig]| -> Vec<(usize, Node)> {
                chunk
                    .iter()
                    .map(|config| (config.number, config.start(program)))
                    .collect()
            };
            let threads: Vec<_> = configs
                .chunks(chunk_size)
                .map(|chunk| scope.spawn(move || start_chunk(chunk)))
                .collect();
            threads
                .into_iter()
                .flat_map(|thread| thread.join().expect("a thread that starts nodes panicked"))
                .collect()
        });
        for (number, node) in started {
            self.front.add(node.address);
            self.nodes[number] = Some(node);
        }
    }

    fn process_config(&self, number: usize, known: &[Value], revision: u64) -> ProcessConfig {
        let operator_config = self.fleet_view.as_ref().map(|fleet_view| {
            let mut text = fleet_view.operator_config(number);
            if let Some(lifetime) = self.record_lifetime {
                text += &format!("[fleet.wards]\nlife = \"{}ms\"\n", lifetime.as_millis());
            }
            if let Some(timeout) = self.majority_timeout {
                text += &format!("within = \"{}ms\"\n", timeout.as_millis());
            }
            text
        });
        ProcessConfig {
            number,
            operator_config,
            node_config: self.node_config(number, known, revision),
        }
    }

    /// Makes all running processes reload a config with another address of the list service.
    pub fn move_discovery(&mut self, discovery: SocketAddr, known: &[Value], revision: u64) {
        self.discovery = discovery;
        self.reload(0..self.nodes.len(), known, revision);
    }

    /// Makes these processes reload a config with another cluster size.
    pub fn resize_cluster(
        &mut self,
        numbers: Range<usize>,
        cluster_size: usize,
        known: &[Value],
        revision: u64,
    ) {
        self.cluster_size = cluster_size;
        self.reload(numbers, known, revision);
    }

    /// Makes all running processes reload a config in which the terms of the request class differ.
    pub fn change_class_terms(&mut self, usual_duration: f64, known: &[Value], revision: u64) {
        self.usual_duration = Some(usual_duration);
        self.reload(0..self.nodes.len(), known, revision);
    }

    fn reload(&self, numbers: Range<usize>, known: &[Value], revision: u64) {
        for number in numbers {
            let node_config = self.node_config(number, known, revision).to_string();
            if let Some(node) = &self.nodes[number] {
                node.reload_node_config(&node_config);
            }
        }
    }

    /// Starts a second process under the name of node `of`. It takes the first number beyond the cluster size, and the
    /// fleet address of that number.
    pub fn start_twin(&mut self, of: usize, known: &[Value], revision: u64) {
        let mut node_config = self.node_config(of, known, revision);
        node_config["listen"] = json!("127.0.0.1:0");
        let operator_config = self.fleet_view().operator_config(self.cluster_size);
        let twin = Node::start_build_as(&self.program, "node", &operator_config, &node_config);
        self.front.add(twin.address);
        self.nodes[self.cluster_size] = Some(twin);
    }

    /// Suspends a process for a short time; the front goes on sending clients to it.
    pub fn pause(&self, node: usize) {
        self.nodes[node].iter().for_each(Node::suspend);
    }

    /// Continues a process after [`Fleet::pause`].
    pub fn resume(&self, node: usize) {
        self.nodes[node].iter().for_each(Node::unsuspend);
    }

    /// Records the end of a process, and makes the front notice it after this delay.
    fn note_end(&mut self, node: usize, notice_delay: Duration) {
        if let Some(address) = self.nodes[node].as_ref().map(|node| node.address) {
            self.ended.push(EndedProcess {
                address,
                at: Instant::now(),
            });
            self.front.remove_at(address, Instant::now() + notice_delay);
        }
    }

    /// Kills a process; the front notices it after this delay.
    pub fn kill(&mut self, node: usize, notice_delay: Duration) {
        self.note_end(node, notice_delay);
        self.nodes[node] = None;
    }

    /// Suspends a process until [`Fleet::unsuspend`] and removes it from the front. Requests that it has accepted may
    /// be answered late.
    pub fn suspend(&mut self, node: usize) {
        self.note_end(node, Duration::ZERO);
        self.nodes[node].iter().for_each(Node::suspend);
    }

    /// Continues a suspended process and adds it to the front again.
    pub fn unsuspend(&mut self, node: usize) {
        if let Some(process) = &self.nodes[node] {
            process.unsuspend();
            self.front.add(process.address);
        }
    }

    /// Asks a process to stop, and returns it so that the caller can wait for its end; `None` if it does not run.
    pub fn stop(&mut self, node: usize, notice_delay: Duration) -> Option<Node> {
        self.note_end(node, notice_delay);
        let node = self.nodes[node].take()?;
        node.stop();
        Some(node)
    }

    /// Returns the violations of rule 1 that the clients saw. A missing or late answer is no violation if the client's
    /// node ended or was suspended at about that time.
    pub fn violations(&self, returning_clients: &ReturningClients) -> Vec<String> {
        let mut violations = Vec::new();
        for (number, client) in returning_clients.records.iter().enumerate() {
            let client = client.lock().unwrap();
            violations.extend(client.requests.iter().filter_map(|request| {
                let violation = answer_violation(number, request)?;
                (!self.ended_near(request)).then_some(violation)
            }));
        }
        violations
    }

    /// Returns whether the node of a request ended at about the time when the request was sent. Requests still reach an
    /// ended node until the front notices the end, and wait up to [`REQUEST_TIMEOUT`] for their answers.
    fn ended_near(&self, request: &RequestRecord) -> bool {
        self.ended.iter().any(|ended| {
            ended.address == request.node
                && request.sent_at < ended.at + REQUEST_TIMEOUT
                && ended.at < request.sent_at + REQUEST_TIMEOUT + SOCKET_SLACK
        })
    }
}

/// The config that one process is started with.
struct ProcessConfig {
    number: usize,
    /// The operator config; `None` if the fleet does not run the membership protocol.
    operator_config: Option<String>,
    node_config: Value,
}

impl ProcessConfig {
    fn start(&self, program: &Path) -> Node {
        match &self.operator_config {
            Some(operator_config) => {
                Node::start_build_as(program, "node", operator_config, &self.node_config)
            }
            None => Node::start_build(program, &self.node_config),
        }
    }
}

/// Describes how the answer to a request violates rule 1; `None` if it does not.
fn answer_violation(client: usize, request: &RequestRecord) -> Option<String> {
    match request.answered_after {
        None => Some(format!("rule 1: client {client} had no answer")),
        Some(took) if took > REQUEST_TIMEOUT + SOCKET_SLACK + SOCKET_SLACK => Some(format!(
            "rule 1: client {client} was answered after {took:?}"
        )),
        Some(_) => None,
    }
}

fn millis(duration: Duration) -> Value {
    json!(duration.as_secs_f64() * 1000.0)
}

#[cfg(test)]
#[path = "processes_tests.rs"]
mod tests;
