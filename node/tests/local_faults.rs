//! Faults of the own machine: system calls that fail for want of memory, descriptors, ports or a route, are interrupted, fall short
//! or are delayed. No request loses its answer by them, no host is ejected, and no signal or settings are missed.

use reedferry_testkit::syscalls::{Call, Fault, Outcome, SyscallInjector};
use reedferry_testkit::*;
use rustix::io::Errno;
use serde_json::{json, Value};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: usize = 60;

fn fails(call: Call, errno: Errno, every: u64) -> Fault {
    Fault {
        call,
        outcome: Outcome::Fails(errno),
        every,
    }
}

/// A host that accepts each request at once, and sends back each line.
fn echo(mut host: Peer) {
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

/// The next connection to a listener, which has to come in time.
fn accept(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let mut came = None;
    eventually("no connection came", || {
        came = listener.accept().ok();
        came.is_some()
    });
    let (stream, _) = came.unwrap();
    stream.set_nonblocking(false).unwrap();
    stream
}

/// A node with three hosts that accept each request.
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
            echo(hosts.accept().1);
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

    /// What so many clients hear, one after the other.
    fn heard(&self) -> Vec<String> {
        let ask = |_| {
            let mut client = self.node.open(OPEN);
            client.receive_line()
        };
        (0..CLIENTS).map(ask).collect()
    }
}

/// Prevents that connections are closed without an answer, and all hosts ejected, for a transient fault of the own machine.
#[test]
fn local_faults_cost_no_request_its_answer() {
    // The least share that is served: what never came to a host may be refused.
    for (fault, least) in [
        (fails(Call::EpollAdd, Errno::NOMEM, 5), 0.7),
        (fails(Call::EpollAdd, Errno::NOSPC, 3), 0.5),
        (fails(Call::Send, Errno::NOBUFS, 7), 1.0),
        (fails(Call::Send, Errno::NOMEM, 2), 1.0),
        (fails(Call::Receive, Errno::NOMEM, 5), 1.0),
        (fails(Call::Connect, Errno::NETUNREACH, 3), 0.9),
        (fails(Call::Connect, Errno::HOSTUNREACH, 3), 0.9),
        (fails(Call::Connect, Errno::ADDRNOTAVAIL, 3), 0.9),
        (fails(Call::Connect, Errno::AGAIN, 3), 0.9),
        (fails(Call::Socket, Errno::NFILE, 3), 0.9),
        (fails(Call::Socket, Errno::NOBUFS, 3), 0.9),
        (fails(Call::Accept, Errno::CONNABORTED, 2), 1.0),
        (fails(Call::Accept, Errno::NFILE, 3), 1.0),
        (fails(Call::Accept, Errno::PROTO, 3), 1.0),
        (fails(Call::EpollWait, Errno::INTR, 2), 1.0),
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
        let heard = site.heard();
        let count = |word: &str| heard.iter().filter(|said| said.starts_with(word)).count();
        let (up, busy) = (count("UP"), count("BUSY"));
        assert!(site.injector.injected() > 5, "{fault:?}: too tame");
        assert_eq!(up + busy, CLIENTS, "{fault:?}: {heard:?}");
        assert!(
            up as f64 >= least * CLIENTS as f64,
            "{fault:?}: {up} served, {busy} refused"
        );
        site.injector.clear();
        assert!(
            site.node.open(OPEN).receive_line().starts_with("UP"),
            "{fault:?}: a host is left out for it"
        );
        assert_eq!(site.node.metric("violations.unanswered"), 0, "{fault:?}");
    }
}

/// Prevents that open connections are cut off, as a line can't be read or sent at once.
#[test]
fn open_connections_outlast_local_faults() {
    for (call, errno) in [
        (Call::Send, Errno::NOBUFS),
        (Call::Send, Errno::NOMEM),
        (Call::Receive, Errno::NOMEM),
    ] {
        let site = Site::start(&[]);
        let mut client = site.node.open(OPEN);
        client.expect_line("UP 1");
        site.injector.set(&[fails(call, errno, 3)]);
        for n in 0..40 {
            let line = format!("line {n}");
            client.send_line(&line);
            client.expect_line(&line);
        }
        assert!(
            site.injector.injected() > 10,
            "{call:?} {errno:?}: too tame"
        );
    }
}

/// Prevents that a process ends at its start, or never handles a signal or takes up its settings, for a transient fault.
#[test]
fn a_start_signals_and_settings_outlast_local_faults() {
    for fault in [
        fails(Call::Open, Errno::NFILE, 2),
        fails(Call::Socket, Errno::NOBUFS, 2),
        fails(Call::EpollAdd, Errno::NOMEM, 2),
        fails(Call::Read, Errno::INTR, 2),
        fails(Call::Receive, Errno::NOMEM, 2),
    ] {
        // The loader of the system's libraries reads too, and ends a program for that.
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
        let other = Discovery::start();
        site.node_config["discovery"] = json!(other.address.to_string());
        let before = Instant::now();
        // The first try after this fails, whatever came before.
        site.injector.set(&[Fault { every: 1, ..fault }]);
        site.node.reload(&site.node_config.to_string());
        thread::sleep(Duration::from_millis(300));
        site.injector.set(&[fault]);
        other.calls(1);
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

/// Prevents that two processes go on with a connection, or that it is migrated, as a message between both can't be sent or read at
/// once.
#[test]
fn a_hot_restart_outlasts_local_faults() {
    for call in [Call::SendMessage, Call::ReceiveMessage] {
        for injects_into_next in [true, false] {
            let (hosts, discovery) = (Hosts::start(2), Discovery::start());
            let node_config = node_config(&hosts, discovery.address);
            let (held, folder) = (listener(), folder());
            let (before, next) = (SyscallInjector::default(), SyscallInjector::default());
            let mut predecessor = Node::start_injected_at(&node_config, &held, &folder, &before);
            predecessor.address = held.local_addr().unwrap();
            let mut open: Vec<_> = (0..20).map(|_| predecessor.served(&hosts)).collect();
            let injected = if injects_into_next { &next } else { &before };
            injected.set(&[fails(call, Errno::NOBUFS, 2)]);
            let mut successor = Node::start_injected_at(&node_config, &held, &folder, &next);
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
            assert!(injected.injected() > 5, "{call:?}: too tame");
            successor.kill();
            std::fs::remove_dir_all(&folder).unwrap();
        }
    }
}

/// Prevents a line after the drain grace by a process that is delayed before it writes it.
#[test]
fn a_process_that_is_delayed_before_it_writes_keeps_to_the_drain_grace() {
    let (listener, first) = full_listener();
    let (discovery, injector) = (Discovery::start(), SyscallInjector::default());
    let late = |phase| member(5, &listener.local_addr().unwrap().to_string(), phase);
    let mut node_config = program::node_config_of(json!([late("active")]), discovery.address);
    node_config["settings"]["policy_limits"]["connect_timeout"] = json!(5000.0);
    node_config["settings"]["offerings"][0]["expiry"] = json!(6000.0);
    node_config["settings"]["offerings"][0]["contract_time"] = json!(6000.0);
    // The system asks for a connection again a second after the first time, which is then in the last part of the grace.
    node_config["settings"]["contract"]["drain_grace"] = json!(1000.0);
    let node = Node::start_injected(&node_config, &injector);
    discovery.calls(1);
    let asked = Instant::now();
    let mut client = node.open(&OPEN.replace("d=2000", "d=6000"));
    thread::sleep(Duration::from_millis(60));
    discovery.change(late("leaving"));
    let told = Instant::now();
    eventually("the watch goes on", || discovery.asked().len() >= 2);
    drop(first);
    drop(accept(&listener));
    injector.set(&[Fault {
        call: Call::Send,
        outcome: Outcome::Delayed(Duration::from_millis(150)),
        every: 1,
    }]);
    let mut host = Peer::new(accept(&listener));
    assert!(
        asked.elapsed() > Duration::from_millis(850),
        "too tame: {:?}",
        asked.elapsed()
    );
    let (line, late) = (host.receive_line(), told.elapsed());
    assert!(
        !line.starts_with("OPEN") || late < Duration::from_millis(1050),
        "{line}, {late:?} after the drain"
    );
    assert!(client.receive_line().starts_with("BUSY"));
}

/// Prevents an attempt after the request's deadline, as the process stood still while the connection to the host was established.
#[test]
fn no_attempt_begins_after_the_deadline_where_the_process_stood_still() {
    let (listener, first) = full_listener();
    let discovery = Discovery::start();
    let late = member(5, &listener.local_addr().unwrap().to_string(), "active");
    let mut node_config = program::node_config_of(json!([late]), discovery.address);
    node_config["settings"]["policy_limits"]["connect_timeout"] = json!(5000.0);
    node_config["settings"]["offerings"][0]["contract_time"] = json!(2000.0);
    let injector = SyscallInjector::default();
    let node = Node::start_injected(&node_config, &injector);
    discovery.calls(1);
    let mut client = node.open(OPEN);
    let mut other = Peer::connect(node.address);
    // The first answer may go out in the turn in which the request is read, before the host is called.
    for _ in 0..2 {
        other.send_line("PING");
        other.expect_line("PONG");
    }
    // Held up right before it waits: what is ready then is seen before what is due. A process that a signal stops is woken
    // with nothing ready, and sees what is due first.
    let held = Outcome::Delayed(Duration::from_millis(3000));
    injector.set(&[Fault {
        call: Call::EpollWait,
        outcome: held,
        every: 1,
    }]);
    // Wakes it where it waits already. Its answer is not waited for: it may be held up before that.
    other.send_line("PING");
    drop(first);
    drop(accept(&listener));
    let stream = accept(&listener);
    injector.clear();
    let line = Peer::new(stream).receive_line();
    assert!(!line.starts_with("OPEN"), "{line}");
    assert!(client.receive_line().starts_with("BUSY"));
}

/// Prevents that a client which stopped within its line, and whose time is up as the process stands still, gets no error.
#[test]
fn clients_that_stop_within_a_line_have_their_error_though_the_process_stands_still_meanwhile() {
    let (hosts, discovery) = (Hosts::start(1), Discovery::start());
    let (held, folder) = (listener(), folder());
    let node_config = node_config(&hosts, discovery.address);
    let mut node =
        Node::start_injected_at(&node_config, &held, &folder, &SyscallInjector::default());
    node.address = held.local_addr().unwrap();
    let from = Instant::now();
    let mut clients = Vec::new();
    for n in 0..60u64 {
        thread::sleep(
            (from + Duration::from_millis(10 * n)).saturating_duration_since(Instant::now()),
        );
        let mut client = Peer::connect(node.address);
        client.write("OPEN half");
        clients.push((Instant::now(), client));
    }
    thread::sleep((from + Duration::from_millis(2300)).saturating_duration_since(Instant::now()));
    node.suspend();
    thread::sleep(Duration::from_millis(2300));
    node.unsuspend();
    let on = Instant::now();
    for (asked, client) in &mut clients {
        client.expect_line("ERR");
        assert!(
            on.elapsed() < Duration::from_secs(1),
            "{:?}, {:?}",
            on.elapsed(),
            asked.elapsed()
        );
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

/// Prevents that operators' requests get no response, for a transient fault of the own machine.
#[test]
fn operators_requests_outlast_local_faults() {
    for fault in [
        fails(Call::EpollAdd, Errno::NOMEM, 2),
        fails(Call::Receive, Errno::NOMEM, 2),
        fails(Call::Send, Errno::NOBUFS, 2),
        fails(Call::Accept, Errno::NFILE, 2),
        fails(Call::Accept, Errno::PROTO, 2),
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
            let asked = Instant::now();
            let (status, text) = site.node.call("GET /status");
            assert_eq!((status, text.as_str()), (200, "ready\n"), "{fault:?}");
            // A call and what its answer waits for: two rounds of looks.
            assert!(
                asked.elapsed() < Duration::from_secs(1),
                "{fault:?}: {:?}",
                asked.elapsed()
            );
        }
        assert!(site.injector.injected() > 5, "{fault:?}: too tame");
    }
}

/// Prevents that an answer which takes more than one call to send comes in part or not at all, to a client that has ended its sending
/// or one that is idle while descriptors are short.
#[test]
fn answers_are_whole_though_they_take_several_calls_to_send() {
    let short = Fault {
        call: Call::Send,
        outcome: Outcome::Short,
        every: 1,
    };
    for fault in [short, fails(Call::Send, Errno::NOBUFS, 2)] {
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
        let crowd: Vec<Peer> = (0..90).map(|_| Peer::connect(node.address)).collect();
        for mut client in crowd {
            client.expect_line("BUSY");
        }
        assert!(injector.injected() > 20, "{fault:?}: too tame");
    }
}

/// Prevents final answers that are later than allowed on sockets, as a process that is woken a little late has left itself next to
/// no time before the deadline.
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
        // Each at another distance from the next look round.
        thread::sleep(Duration::from_millis(23));
        let line = OPEN.replace("9b1f", &format!("9b{n}"));
        clients.push(node.open(&line));
    }
    let silent: Vec<_> = clients.iter().map(|_| hosts.accept()).collect();
    injector.set(&[Fault {
        call: Call::EpollWait,
        outcome: Outcome::Delayed(Duration::from_millis(75)),
        every: 1,
    }]);
    clients
        .iter_mut()
        .for_each(|client| client.expect_line("ERR"));
    assert!(injector.injected() > 5, "too tame");
    injector.clear();
    assert_eq!(
        node.metric("violations.answered_late"),
        0,
        "{:#?}",
        node.drain_log()
    );
    drop(silent);
}
