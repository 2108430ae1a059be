//! Tests with injected faults of the local machine: system calls fail for lack of memory, descriptors, ports or a route, are
//! interrupted, transfer only a part, or are delayed. Every request still gets an answer, no host is ejected, and no signal or
//! reload is lost.

use reedferry_testkit::syscalls::{Call, Fault, Outcome, SyscallInjector};
use reedferry_testkit::*;
use rustix::io::Errno;
use serde_json::{json, Value};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: usize = 60;

/// Returns a fault in which one of `every` calls of this kind fails with this error.
fn failing(call: Call, errno: Errno, every: u64) -> Fault {
    Fault {
        call,
        outcome: Outcome::Fails(errno),
        every,
    }
}

/// Serves one connection as a host that accepts the request at once and echoes each line.
fn spawn_echo_host(mut host: Peer) {
    thread::spawn(move || {
        if !host.receive_line().starts_with("OPEN") {
            return;
        }
        host.send_line("UP 1");
        loop {
            match host.receive_line().as_str() {
                "end" | "reset" => return,
                line => host.send_line(line),
            }
        }
    });
}

/// Returns the next connection to a listener. Panics if none arrives in time.
fn accept(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let mut accepted = None;
    eventually("no connection arrived", || {
        accepted = listener.accept().ok();
        accepted.is_some()
    });
    let (stream, _) = accepted.unwrap();
    stream.set_nonblocking(false).unwrap();
    stream
}

/// A node with three hosts that accept each request, and an injector of faults into its system calls.
struct Site {
    node: Node,
    injector: SyscallInjector,
    discovery: Discovery,
    node_config: Value,
}

impl Site {
    fn start(faults: &[Fault]) -> Site {
        let (hosts, discovery, injector) = (
            Hosts::start(3),
            Discovery::start(),
            SyscallInjector::default(),
        );
        let mut node_config = node_config(&hosts, discovery.address);
        node_config["ops"] = json!("127.0.0.1:0");
        thread::spawn(move || loop {
            spawn_echo_host(hosts.accept().1);
        });
        injector.set(faults);
        let node = Node::start_injected(&node_config, &injector);
        Site {
            node,
            injector,
            discovery,
            node_config,
        }
    }

    /// Opens [`CLIENTS`] clients one after the other, and returns the answer that each received.
    fn answers_to_clients(&self) -> Vec<String> {
        let ask = |_| {
            let mut client = self.node.open(OPEN);
            client.receive_line()
        };
        (0..CLIENTS).map(ask).collect()
    }
}

/// Guards against connections closed without an answer, and hosts ejected, because of a transient fault of the local machine.
#[test]
fn every_request_is_answered_while_system_calls_fail() {
    // Each fault with the least share of requests that is served: a request that never reached a host may be rejected.
    for (fault, min_served_share) in [
        (failing(Call::EpollAdd, Errno::NOMEM, 5), 0.7),
        (failing(Call::EpollAdd, Errno::NOSPC, 3), 0.5),
        (failing(Call::Send, Errno::NOBUFS, 7), 1.0),
        (failing(Call::Send, Errno::NOMEM, 2), 1.0),
        (failing(Call::Receive, Errno::NOMEM, 5), 1.0),
        (failing(Call::Connect, Errno::NETUNREACH, 3), 0.9),
        (failing(Call::Connect, Errno::HOSTUNREACH, 3), 0.9),
        (failing(Call::Connect, Errno::ADDRNOTAVAIL, 3), 0.9),
        (failing(Call::Connect, Errno::AGAIN, 3), 0.9),
        (failing(Call::Socket, Errno::NFILE, 3), 0.9),
        (failing(Call::Socket, Errno::NOBUFS, 3), 0.9),
        (failing(Call::Accept, Errno::CONNABORTED, 2), 1.0),
        (failing(Call::Accept, Errno::NFILE, 3), 1.0),
        (failing(Call::Accept, Errno::PROTO, 3), 1.0),
        (failing(Call::EpollWait, Errno::INTR, 2), 1.0),
        (
            Fault {
                call: Call::Send,
                outcome: Outcome::Short,
                every: 1,
            },
            1.0,
        ),
        (
            Fault {
                call: Call::Receive,
                outcome: Outcome::Short,
                every: 1,
            },
            1.0,
        ),
    ] {
        let site = Site::start(&[]);
        site.injector.set(&[fault]);
        let answers = site.answers_to_clients();
        let count = |prefix: &str| {
            answers
                .iter()
                .filter(|answer| answer.starts_with(prefix))
                .count()
        };
        let (up, busy) = (count("UP"), count("BUSY"));
        assert!(
            site.injector.injected() > 5,
            "{fault:?}: too few faults were injected"
        );
        assert_eq!(up + busy, CLIENTS, "{fault:?}: {answers:?}");
        assert!(
            up as f64 >= min_served_share * CLIENTS as f64,
            "{fault:?}: {up} served, {busy} rejected"
        );
        site.injector.clear();
        assert!(
            site.node.open(OPEN).receive_line().starts_with("UP"),
            "{fault:?}: a host was ejected"
        );
        assert_eq!(site.node.metric("violations.unanswered"), 0, "{fault:?}");
    }
}

/// Guards against open connections closed because a line can't be read or sent at the first try.
#[test]
fn open_connections_survive_failing_system_calls() {
    for (call, errno) in [
        (Call::Send, Errno::NOBUFS),
        (Call::Send, Errno::NOMEM),
        (Call::Receive, Errno::NOMEM),
    ] {
        let site = Site::start(&[]);
        let mut client = site.node.open(OPEN);
        client.expect_line("UP 1");
        site.injector.set(&[failing(call, errno, 3)]);
        for n in 0..40 {
            let line = format!("line {n}");
            client.send_line(&line);
            client.expect_line(&line);
        }
        assert!(
            site.injector.injected() > 10,
            "{call:?} {errno:?}: too few faults were injected"
        );
    }
}

/// Guards against a process that exits at its start, or loses a signal or a reload, because of a transient fault.
#[test]
fn starts_signals_and_reloads_survive_failing_system_calls() {
    for fault in [
        failing(Call::Open, Errno::NFILE, 2),
        failing(Call::Socket, Errno::NOBUFS, 2),
        failing(Call::EpollAdd, Errno::NOMEM, 2),
        failing(Call::Read, Errno::INTR, 2),
        failing(Call::Receive, Errno::NOMEM, 2),
    ] {
        // The dynamic loader reads too, and aborts the program if a read fails.
        let at_start: &[Fault] = if fault.call == Call::Read {
            &[]
        } else {
            &[fault]
        };
        let mut site = Site::start(at_start);
        assert!(
            site.node.open(OPEN).receive_line().starts_with("UP"),
            "{fault:?}"
        );
        let new_discovery = Discovery::start();
        site.node_config["discovery"] = json!(new_discovery.address.to_string());
        let before = Instant::now();
        // Every call fails for now, so that the first try certainly does.
        site.injector.set(&[Fault { every: 1, ..fault }]);
        site.node.reload(&site.node_config.to_string());
        thread::sleep(Duration::from_millis(300));
        site.injector.set(&[fault]);
        new_discovery.calls(1);
        assert!(
            before.elapsed() < Duration::from_secs(4),
            "{fault:?}: {:?}",
            before.elapsed()
        );
        site.injector.set(&[Fault { every: 1, ..fault }]);
        site.node.stop();
        thread::sleep(Duration::from_millis(300));
        site.injector.set(&[fault]);
        assert!(site.node.wait().success(), "{fault:?}");
        assert!(
            before.elapsed() < Duration::from_secs(8),
            "{fault:?}: {:?}",
            before.elapsed()
        );
        drop(site.discovery);
    }
}

/// Guards against a connection that both processes continue, or that is migrated, because a message between predecessor and
/// successor can't be sent or read at the first try.
#[test]
fn a_hot_restart_survives_failing_system_calls_in_either_process() {
    for call in [Call::SendMessage, Call::ReceiveMessage] {
        for injects_into_successor in [true, false] {
            let (hosts, discovery) = (Hosts::start(2), Discovery::start());
            let node_config = node_config(&hosts, discovery.address);
            let (held, folder) = (listener(), folder());
            let (predecessor_faults, successor_faults) =
                (SyscallInjector::default(), SyscallInjector::default());
            let mut predecessor =
                Node::start_injected_at(&node_config, &held, &folder, &predecessor_faults);
            predecessor.address = held.local_addr().unwrap();
            let mut open: Vec<_> = (0..20).map(|_| predecessor.served(&hosts)).collect();
            let injector = if injects_into_successor {
                &successor_faults
            } else {
                &predecessor_faults
            };
            injector.set(&[failing(call, Errno::NOBUFS, 2)]);
            let mut successor =
                Node::start_injected_at(&node_config, &held, &folder, &successor_faults);
            predecessor.stop();
            assert!(predecessor.wait().success());
            for (n, (client, _, host)) in open.iter_mut().enumerate() {
                for line in [format!("up {n}"), format!("more {n}")] {
                    client.send_line(&line);
                    host.expect_line(&line);
                    host.send_line(&line);
                    client.expect_line(&line);
                }
            }
            assert!(
                injector.injected() > 5,
                "{call:?}: too few faults were injected"
            );
            successor.kill();
            std::fs::remove_dir_all(&folder).unwrap();
        }
    }
}

/// Guards against a request sent after the drain grace by a process that is delayed right before it writes.
#[test]
fn a_process_delayed_before_it_writes_keeps_to_the_drain_grace() {
    let (listener, queued_connection) = full_listener();
    let (discovery, injector) = (Discovery::start(), SyscallInjector::default());
    let late = |phase| member(5, &listener.local_addr().unwrap().to_string(), phase);
    let mut node_config = program::node_config_of(json!([late("active")]), discovery.address);
    node_config["settings"]["policy_limits"]["connect_timeout"] = json!(5000.0);
    node_config["settings"]["offerings"][0]["expiry"] = json!(6000.0);
    node_config["settings"]["offerings"][0]["contract_time"] = json!(6000.0);
    // The operating system repeats the connection request after one second, which is in the last part of this grace.
    node_config["settings"]["contract"]["drain_grace"] = json!(1000.0);
    let node = Node::start_injected(&node_config, &injector);
    discovery.calls(1);
    let requested_at = Instant::now();
    let mut client = node.open(&OPEN.replace("d=2000", "d=6000"));
    thread::sleep(Duration::from_millis(60));
    discovery.change(late("leaving"));
    let drain_announced = Instant::now();
    eventually("the watch was not renewed", || discovery.asked().len() >= 2);
    drop(queued_connection);
    drop(accept(&listener));
    injector.set(&[Fault {
        call: Call::Send,
        outcome: Outcome::Delayed(Duration::from_millis(150)),
        every: 1,
    }]);
    let mut host = Peer::new(accept(&listener));
    assert!(
        requested_at.elapsed() > Duration::from_millis(850),
        "the late connection came too early: {:?}",
        requested_at.elapsed()
    );
    let (line, late) = (host.receive_line(), drain_announced.elapsed());
    assert!(
        !line.starts_with("OPEN") || late < Duration::from_millis(1050),
        "{line}, {late:?} after the drain"
    );
    assert!(client.receive_line().starts_with("BUSY"));
}

/// Guards against an attempt after the request's deadline by a process that was delayed while the connection to the host was
/// established.
#[test]
fn no_attempt_begins_after_the_deadline_when_the_process_was_delayed() {
    let (listener, queued_connection) = full_listener();
    let discovery = Discovery::start();
    let listed_host = member(5, &listener.local_addr().unwrap().to_string(), "active");
    let mut node_config = program::node_config_of(json!([listed_host]), discovery.address);
    node_config["settings"]["policy_limits"]["connect_timeout"] = json!(5000.0);
    node_config["settings"]["offerings"][0]["contract_time"] = json!(2000.0);
    let injector = SyscallInjector::default();
    let node = Node::start_injected(&node_config, &injector);
    discovery.calls(1);
    let mut client = node.open(OPEN);
    let mut other = Peer::connect(node.address);
    // The first answer may be sent in the turn that reads the request, before the connection to the host is started; the
    // second is sent in a later turn.
    for _ in 0..2 {
        other.send_line("PING");
        other.expect_line("PONG");
    }
    // Delays the process right before it waits for events, so that it handles ready connections before due timers. A process
    // suspended by a signal would wake with nothing ready, and handle the due timers first.
    let delay = Outcome::Delayed(Duration::from_millis(3000));
    injector.set(&[Fault {
        call: Call::EpollWait,
        outcome: delay,
        every: 1,
    }]);
    // Wakes the process if it already waits. The answer is not awaited, as the process may be delayed before it.
    other.send_line("PING");
    drop(queued_connection);
    drop(accept(&listener));
    let stream = accept(&listener);
    injector.clear();
    let line = Peer::new(stream).receive_line();
    assert!(!line.starts_with("OPEN"), "{line}");
    assert!(client.receive_line().starts_with("BUSY"));
}

/// Guards against a client without an error that stopped within its line and whose time ran out while the process was
/// suspended.
#[test]
fn clients_that_stop_within_a_line_get_an_error_after_a_suspension() {
    let (hosts, discovery) = (Hosts::start(1), Discovery::start());
    let (held, folder) = (listener(), folder());
    let node_config = node_config(&hosts, discovery.address);
    let mut node =
        Node::start_injected_at(&node_config, &held, &folder, &SyscallInjector::default());
    node.address = held.local_addr().unwrap();
    let started_at = Instant::now();
    let mut clients = Vec::new();
    for n in 0..60u64 {
        thread::sleep(
            (started_at + Duration::from_millis(10 * n)).saturating_duration_since(Instant::now()),
        );
        let mut client = Peer::connect(node.address);
        client.write("OPEN half");
        clients.push((Instant::now(), client));
    }
    thread::sleep(
        (started_at + Duration::from_millis(2300)).saturating_duration_since(Instant::now()),
    );
    node.suspend();
    thread::sleep(Duration::from_millis(2300));
    node.unsuspend();
    let resumed_at = Instant::now();
    for (connected_at, client) in &mut clients {
        client.expect_line("ERR");
        assert!(
            resumed_at.elapsed() < Duration::from_secs(1),
            "{:?}, {:?}",
            resumed_at.elapsed(),
            connected_at.elapsed()
        );
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

/// Guards against operators' requests without a response because of a transient fault of the local machine.
#[test]
fn operator_requests_survive_failing_system_calls() {
    for fault in [
        failing(Call::EpollAdd, Errno::NOMEM, 2),
        failing(Call::Receive, Errno::NOMEM, 2),
        failing(Call::Send, Errno::NOBUFS, 2),
        failing(Call::Accept, Errno::NFILE, 2),
        failing(Call::Accept, Errno::PROTO, 2),
        Fault {
            call: Call::Send,
            outcome: Outcome::Short,
            every: 1,
        },
        Fault {
            call: Call::Receive,
            outcome: Outcome::Short,
            every: 1,
        },
    ] {
        let site = Site::start(&[]);
        site.injector.set(&[fault]);
        for _ in 0..20 {
            let asked_at = Instant::now();
            let (status, text) = site.node.call("GET /status");
            assert_eq!((status, text.as_str()), (200, "ready\n"), "{fault:?}");
            // Allows for the call and for two sweeps that its answer may wait for.
            assert!(
                asked_at.elapsed() < Duration::from_secs(1),
                "{fault:?}: {:?}",
                asked_at.elapsed()
            );
        }
        assert!(
            site.injector.injected() > 5,
            "{fault:?}: too few faults were injected"
        );
    }
}

/// Guards against an answer that takes more than one call to send and arrives only in part or not at all. The clients have
/// ended their sending direction, or are idle while the node has too few descriptors.
#[test]
fn answers_that_take_several_send_calls_arrive_whole() {
    let short_write = Fault {
        call: Call::Send,
        outcome: Outcome::Short,
        every: 1,
    };
    for fault in [short_write, failing(Call::Send, Errno::NOBUFS, 2)] {
        let (hosts, discovery, injector) = (
            Hosts::start(1),
            Discovery::start(),
            SyscallInjector::default(),
        );
        let mut node_config = node_config(&hosts, discovery.address);
        node_config["limits"]["sockets"] = json!(64);
        let node = Node::start_injected(&node_config, &injector);
        for _ in 0..4 {
            let mut client = node.open(OPEN);
            let (_, mut host) = hosts.accept();
            host.receive_line();
            injector.set(&[fault]);
            client.end_sending();
            client.expect_line("ERR");
            injector.clear();
        }
        injector.set(&[fault]);
        let excess_clients: Vec<Peer> = (0..90).map(|_| Peer::connect(node.address)).collect();
        for mut client in excess_clients {
            client.expect_line("BUSY");
        }
        assert!(
            injector.injected() > 20,
            "{fault:?}: too few faults were injected"
        );
    }
}

/// Guards against final answers after the time that is allowed on sockets: a process that leaves itself next to no time before
/// the deadline answers late when it is woken a little late.
#[test]
fn final_answers_are_in_time_though_the_process_is_woken_late() {
    let (hosts, discovery, injector) = (
        Hosts::start(1),
        Discovery::start(),
        SyscallInjector::default(),
    );
    let mut node_config = node_config(&hosts, discovery.address);
    node_config["ops"] = json!("127.0.0.1:0");
    node_config["settings"]["offerings"][0]["effect"] = json!("single_shot");
    let node = Node::start_injected(&node_config, &injector);
    let mut clients = Vec::new();
    for n in 0..8 {
        // Starts each request at another distance from the next sweep.
        thread::sleep(Duration::from_millis(23));
        let line = OPEN.replace("9b1f", &format!("9b{n}"));
        clients.push(node.open(&line));
    }
    let silent_hosts: Vec<_> = clients.iter().map(|_| hosts.accept()).collect();
    injector.set(&[Fault {
        call: Call::EpollWait,
        outcome: Outcome::Delayed(Duration::from_millis(75)),
        every: 1,
    }]);
    clients
        .iter_mut()
        .for_each(|client| client.expect_line("ERR"));
    assert!(injector.injected() > 5, "too few faults were injected");
    injector.clear();
    assert_eq!(
        node.metric("violations.answered_late"),
        0,
        "{:#?}",
        node.drain_log()
    );
    drop(silent_hosts);
}
