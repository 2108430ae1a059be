//! Trouble of the own machine: system calls that fail for want of memory, descriptors, ports or a route, are interrupted,
//! fall short or are held up. No request loses its answer by it, no host its good name, and no signal or settings are missed.

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

/// A host that takes whoever comes at once, and sends back each line.
fn echo(mut host: Peer) {
    thread::spawn(move || {
        if !host.hear().starts_with("OPEN") {
            return;
        }
        host.say("UP 1");
        loop {
            match host.hear().as_str() {
                "end" | "reset" => return,
                line => host.say(line),
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

/// A node before three hosts that take whoever comes.
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
            client.hear()
        };
        (0..CLIENTS).map(ask).collect()
    }
}

/// Guards: connections closed without an answer, and all hosts left out, for a moment's trouble of the own machine.
#[test]
fn trouble_of_the_own_machine_costs_no_request_its_answer() {
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
        assert!(site.injector.spoilt() > 5, "{fault:?}: too tame");
        assert_eq!(up + busy, CLIENTS, "{fault:?}: {heard:?}");
        assert!(
            up as f64 >= least * CLIENTS as f64,
            "{fault:?}: {up} served, {busy} refused"
        );
        site.injector.clear();
        assert!(
            site.node.open(OPEN).hear().starts_with("UP"),
            "{fault:?}: a host is left out for it"
        );
        assert_eq!(site.node.metric("violations.unanswered"), 0, "{fault:?}");
    }
}

/// Guards: open connections cut off, as a line could not be read or sent at once.
#[test]
fn open_connections_outlast_trouble_of_the_own_machine() {
    for (call, errno) in [
        (Call::Send, Errno::NOBUFS),
        (Call::Send, Errno::NOMEM),
        (Call::Receive, Errno::NOMEM),
    ] {
        let site = Site::start(&[]);
        let mut client = site.node.open(OPEN);
        client.hears("UP 1");
        site.injector.set(&[fails(call, errno, 3)]);
        for n in 0..40 {
            let line = format!("line {n}");
            client.say(&line);
            client.hears(&line);
        }
        assert!(site.injector.spoilt() > 10, "{call:?} {errno:?}: too tame");
    }
}

/// Guards: a process that ends at its start, or that never hears a signal or takes its settings up, for a moment's trouble.
#[test]
fn a_start_signals_and_settings_outlast_trouble_of_the_own_machine() {
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
        assert!(site.node.open(OPEN).hear().starts_with("UP"), "{fault:?}");
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

/// Guards: connections that two processes go on with, or that are sent away, as a word between both could not be sent or
/// read at once.
#[test]
fn a_replacement_outlasts_trouble_of_the_own_machine() {
    for call in [Call::SendMessage, Call::ReceiveMessage] {
        for spoils_next in [true, false] {
            let (hosts, discovery) = (Hosts::start(2), Discovery::start());
            let node_config = node_config(&hosts, discovery.address);
            let (held, folder) = (listener(), folder());
            let (before, next) = (SyscallInjector::default(), SyscallInjector::default());
            let mut predecessor = Node::start_injected_at(&node_config, &held, &folder, &before);
            predecessor.address = held.local_addr().unwrap();
            let mut open: Vec<_> = (0..20).map(|_| predecessor.served(&hosts)).collect();
            let spoilt = if spoils_next { &next } else { &before };
            spoilt.set(&[fails(call, Errno::NOBUFS, 2)]);
            let mut successor = Node::start_injected_at(&node_config, &held, &folder, &next);
            predecessor.stop();
            assert!(predecessor.wait().success());
            for (n, (client, _, host)) in open.iter_mut().enumerate() {
                for line in [format!("up {n}"), format!("more {n}")] {
                    client.say(&line);
                    host.hears(&line);
                    host.say(&line);
                    client.hears(&line);
                }
            }
            assert!(spoilt.spoilt() > 5, "{call:?}: too tame");
            successor.kill();
            std::fs::remove_dir_all(&folder).unwrap();
        }
    }
}

/// Guards: a line that begins in the last moment of a drain's grace, by a process that is held up before it writes it.
#[test]
fn a_process_that_is_held_up_before_it_writes_keeps_to_the_grace_of_a_drain() {
    let (listener, first) = jammed();
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
        outcome: Outcome::HeldUp(Duration::from_millis(150)),
        every: 1,
    }]);
    let mut host = Peer::new(accept(&listener));
    assert!(
        asked.elapsed() > Duration::from_millis(850),
        "too tame: {:?}",
        asked.elapsed()
    );
    let (line, late) = (host.hear(), told.elapsed());
    assert!(
        !line.starts_with("OPEN") || late < Duration::from_millis(1050),
        "{line}, {late:?} after the drain"
    );
    assert!(client.hear().starts_with("BUSY"));
}

/// Guards: an attempt that begins after its expiry, as the process stood still while the host's connection came up.
#[test]
fn nothing_begins_after_the_expiry_where_the_process_stood_still() {
    let (listener, first) = jammed();
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
        other.say("PING");
        other.hears("PONG");
    }
    // Held up right before it waits: what is ready then is seen before what is due. A process that a signal stops is woken
    // with nothing ready, and sees what is due first.
    let held = Outcome::HeldUp(Duration::from_millis(3000));
    injector.set(&[Fault {
        call: Call::EpollWait,
        outcome: held,
        every: 1,
    }]);
    // Wakes it where it waits already. Its answer is not waited for: it may be held up before that.
    other.say("PING");
    drop(first);
    drop(accept(&listener));
    let stream = accept(&listener);
    injector.clear();
    let line = Peer::new(stream).hear();
    assert!(!line.starts_with("OPEN"), "{line}");
    assert!(client.hear().starts_with("BUSY"));
}

/// Guards: a client that stopped within its line, and whose time is up as the process stands still, left without its error.
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
        client.hears("ERR");
        assert!(
            on.elapsed() < Duration::from_secs(1),
            "{:?}, {:?}",
            on.elapsed(),
            asked.elapsed()
        );
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

/// Guards: operators' calls closed without an answer, for a moment's trouble of the own machine.
#[test]
fn operators_calls_outlast_trouble_of_the_own_machine() {
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
        assert!(site.injector.spoilt() > 5, "{fault:?}: too tame");
    }
}

/// Guards: an answer that comes in part or not at all where it takes more than one call to send, to a client that has ended its
/// sending or one that rests while descriptors are short.
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
            host.hear();
            injector.set(&[fault]);
            client.end_sending();
            client.hears("ERR");
            injector.clear();
        }
        injector.set(&[fault]);
        let crowd: Vec<Peer> = (0..90).map(|_| Peer::connect(node.address)).collect();
        for mut client in crowd {
            client.hears("BUSY");
        }
        assert!(injector.spoilt() > 20, "{fault:?}: too tame");
    }
}

/// Guards: final answers that are late by more than sockets are allowed, as a process that is woken a little late had left
/// itself next to no time before the expiry.
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
        outcome: Outcome::HeldUp(Duration::from_millis(75)),
        every: 1,
    }]);
    clients.iter_mut().for_each(|client| client.hears("ERR"));
    assert!(injector.spoilt() > 5, "too tame");
    injector.clear();
    assert_eq!(
        node.metric("violations.answered_late"),
        0,
        "{:#?}",
        node.drain_log()
    );
    drop(silent);
}
