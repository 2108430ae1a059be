//! A process that stands still for a while, or is delayed again and again, as its machine is, blames no host for what it did not
//! see meanwhile.

use reedferry_testkit::syscalls::{Call, Fault, Outcome, SyscallInjector};
use reedferry_testkit::*;
use std::thread;
use std::time::{Duration, Instant};

const HOSTS: usize = 4;
/// How long a probe waits for its answer, by the settings of trials.
const PROBE_WITHIN: Duration = Duration::from_millis(500);
const OPEN_CONNECTIONS: usize = 12;
const PAUSE: Duration = Duration::from_millis(2500);
/// How long clients come behind the pause, one after the other.
const AFTERMATH: Duration = Duration::from_secs(3);

/// Open connections that send one line after the other all the time, as their answers come, until then.
struct OpenTraffic(Vec<thread::JoinHandle<()>>);

impl OpenTraffic {
    fn start(open: Vec<Peer>, until: Instant) -> OpenTraffic {
        let talk = |mut client: Peer| {
            thread::spawn(move || {
                while Instant::now() < until {
                    client.send_line("hello");
                    if client.receive_line() != "hello" {
                        return;
                    }
                    thread::sleep(Duration::from_millis(20));
                }
            })
        };
        OpenTraffic(open.into_iter().map(talk).collect())
    }

    fn end(self) {
        self.0.into_iter().for_each(|one| one.join().unwrap());
    }
}

struct Site {
    node: Node,
    injector: SyscallInjector,
    _discovery: Discovery,
}

impl Site {
    fn start() -> Site {
        let (checker, discovery) = (simulated::InvariantChecker::default(), Discovery::start());
        let hosts = simulated::Hosts::start(HOSTS, &checker);
        let mut node_config = program::node_config_of(hosts.members(), discovery.address);
        node_config["settings"]["offerings"][0]["name"] = serde_json::json!("free");
        let injector = SyscallInjector::default();
        let node = Node::start_injected(&node_config, &injector);
        discovery.calls(1);
        Site {
            node,
            injector,
            _discovery: discovery,
        }
    }

    /// One client more: its connection, and its answer.
    fn ask(&self, number: usize) -> (Peer, String) {
        let mut client = Peer::connect(self.node.address);
        client.send_line(&format!("OPEN c{number} {number:x} c=free,t=acme,d=2000"));
        let said = client.receive_line();
        (client, said)
    }

    fn open_traffic(&self) -> OpenTraffic {
        let one = |number| {
            let (client, said) = self.ask(number);
            assert!(said.starts_with("UP"), "{said}");
            client
        };
        let open = (0..OPEN_CONNECTIONS).map(one).collect();
        OpenTraffic::start(open, Instant::now() + PAUSE + Duration::from_millis(1500))
    }

    /// Nine in ten of those that come now are served.
    fn serves(&self) {
        let from = Instant::now();
        let (mut served, mut heard) = (0, Vec::new());
        while from.elapsed() < AFTERMATH {
            let (_client, said) = self.ask(1000 + heard.len());
            served += usize::from(said.starts_with("UP"));
            heard.push(said);
            thread::sleep(Duration::from_millis(20));
        }
        let log = self.node.drain_log();
        assert!(
            served * 10 >= heard.len() * 9,
            "{served} of {} served: {log:#?}",
            heard.len()
        );
    }
}

/// Prevents that hosts are taken for slow, and every client is rejected for long, as answers lay unread while the process stood
/// still.
#[test]
fn clients_are_served_right_after_the_process_stood_still() {
    let site = Site::start();
    let open_traffic = site.open_traffic();
    thread::sleep(Duration::from_millis(500));
    site.node.suspend();
    thread::sleep(PAUSE);
    site.node.unsuspend();
    site.serves();
    open_traffic.end();
}

/// Prevents the same where each turn of the process takes long.
#[test]
fn clients_are_served_right_after_the_process_was_delayed_again_and_again() {
    let site = Site::start();
    let open_traffic = site.open_traffic();
    let held = Outcome::Delayed(Duration::from_millis(140));
    site.injector.set(&[Fault {
        call: Call::Send,
        outcome: held,
        every: 2,
    }]);
    let until = Instant::now() + PAUSE;
    let mut clients = Vec::new();
    while Instant::now() < until {
        let mut client = Peer::connect(site.node.address);
        client.send_line(&format!(
            "OPEN h{0} {0:x} c=free,t=acme,d=2000",
            clients.len()
        ));
        clients.push(client);
        thread::sleep(Duration::from_millis(40));
    }
    site.injector.clear();
    site.serves();
    open_traffic.end();
}

/// Prevents that an answer which is due is late, as a turn goes on with hundreds of others, each of which may delay it.
#[test]
fn due_requests_are_answered_in_time_though_each_turn_has_much_to_do() {
    const TALKING: usize = 60;
    let (hosts, discovery, injector) = (
        Hosts::start(1),
        Discovery::start(),
        SyscallInjector::default(),
    );
    let mut node_config = node_config(&hosts, discovery.address);
    node_config["settings"]["offerings"][0]["contract_time"] = serde_json::json!(2000.0);
    let node = Node::start_injected(&node_config, &injector);
    let mut open: Vec<_> = (0..TALKING).map(|_| node.served(&hosts)).collect();
    // Its host says nothing.
    let mut waits = node.open(&OPEN.replace("d=2000", "d=1000"));
    let asked = Instant::now();
    let (_, mut silent) = hosts.accept();
    assert!(silent.receive_line().starts_with("OPEN"));
    let held = Outcome::Delayed(Duration::from_millis(100));
    injector.set(&[Fault {
        call: Call::Send,
        outcome: held,
        every: 2,
    }]);
    // All their lines lie ready in the moment in which the answer is due.
    while asked.elapsed() < Duration::from_millis(900) {
        thread::sleep(Duration::from_millis(10));
    }
    open.iter_mut()
        .for_each(|(client, ..)| client.send_line("hello"));
    let said = waits.receive_line();
    let took = asked.elapsed();
    assert!(said == "ERR" || said.starts_with("BUSY"), "{said}");
    // One turn more, its own sending, and what the first turn had begun.
    assert!(took < Duration::from_millis(1450), "{said} after {took:?}");
    injector.clear();
    for (_, _, host) in &mut open {
        host.expect_line("hello");
    }
}

fn interrupt_waits(injector: &SyscallInjector) {
    let outcome = Outcome::Fails(rustix::io::Errno::INTR);
    injector.set(&[Fault {
        call: Call::EpollWait,
        outcome,
        every: 1,
    }]);
}

/// The process goes on; its waits are interrupted at first, so that what is due is seen before what is ready.
fn resume_with_timers_first(node: &Node, injector: &SyscallInjector) {
    interrupt_waits(injector);
    node.unsuspend();
    thread::sleep(Duration::from_millis(300));
    injector.clear();
}

/// Prevents that a host is taken for unreachable, as the connection to it was established while the process stood still.
#[test]
fn a_connection_that_was_established_while_the_process_stood_still_is_used() {
    let (listener, first) = full_listener();
    let discovery = Discovery::start();
    let late = member(5, &listener.local_addr().unwrap().to_string(), "active");
    let mut node_config = program::node_config_of(serde_json::json!([late]), discovery.address);
    // The system asks for a connection again a second after the first time.
    node_config["settings"]["policy_limits"]["connect_timeout"] = serde_json::json!(1500.0);
    node_config["settings"]["offerings"][0]["expiry"] = serde_json::json!(6000.0);
    node_config["settings"]["offerings"][0]["contract_time"] = serde_json::json!(6000.0);
    let injector = SyscallInjector::default();
    let node = Node::start_injected(&node_config, &injector);
    discovery.calls(1);
    let mut client = node.open(&OPEN.replace("d=2000", "d=6000"));
    let mut other = Peer::connect(node.address);
    for _ in 0..2 {
        other.send_line("PING");
        other.expect_line("PONG");
    }
    node.suspend();
    drop(first);
    drop(listener.accept().unwrap());
    let (stream, _) = listener.accept().unwrap();
    thread::sleep(Duration::from_millis(1000));
    resume_with_timers_first(&node, &injector);
    let mut host = Peer::new(stream);
    let line = host.receive_line();
    assert!(line.starts_with("OPEN"), "{line}");
    host.send_line("UP 1");
    client.expect_line("UP 1");
}

/// Prevents that a host is taken for silent, and full, as its answer to a probe lies unread in a process that stood still.
#[test]
fn a_probe_that_was_answered_while_the_process_stood_still_counts_as_answered() {
    let (hosts, discovery) = (Hosts::start(1), Discovery::start());
    let mut node_config = node_config(&hosts, discovery.address);
    node_config["settings"]["reporting"] =
        serde_json::json!({"fields": ["util", "x0"], "via": "pull"});
    let injector = SyscallInjector::default();
    let node = Node::start_injected(&node_config, &injector);
    let (_, mut probe) = hosts.accept();
    probe.expect_line("STATS");
    interrupt_waits(&injector);
    node.suspend();
    probe.send_line("PONG util=0.2,x0=0.2");
    thread::sleep(2 * PROBE_WITHIN);
    resume_with_timers_first(&node, &injector);
    let mut client = node.open(OPEN);
    let mut asked = false;
    while let Some((_, mut host)) = hosts.accept_soon().filter(|_| !asked) {
        asked = host.receive_line().starts_with("OPEN");
        if asked {
            host.send_line("UP 1");
            client.expect_line("UP 1");
        }
    }
    assert!(asked, "{}", client.receive_line());
}

/// Guards against a line lost that lay unread, as the process stood still, when its client was told to move.
#[test]
fn a_line_that_came_before_its_client_was_told_to_move_reaches_the_host() {
    let (hosts, discovery) = (Hosts::start(1), Discovery::start());
    let injector = SyscallInjector::default();
    let node = Node::start_injected(&node_config(&hosts, discovery.address), &injector);
    let (mut client, _, mut host) = node.served(&hosts);
    node.stop();
    node.wait_for_log("asked to stop");
    interrupt_waits(&injector);
    node.suspend();
    client.send_line("hello");
    // By then all clients were to be moved.
    thread::sleep(Duration::from_millis(2450));
    resume_with_timers_first(&node, &injector);
    host.expect_line("hello");
    client.expect_line("MOVE");
}
