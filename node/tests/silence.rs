//! Several processes of the program beside a list service whose watches fall silent, break or are
//! spoilt, while hosts drain under load. Checked by what hosts and the list service saw, against
//! when each node counts as told.

use reedferry_testkit::program::node_config_of;
use reedferry_testkit::simulated::{
    Clients, Hosts, InvariantChecker, ObservedAttempt, DRAIN_GRACE, SOCKET_SLACK,
};
use reedferry_testkit::{eventually, full_listener, member, Discovery, Node, Peer, OPEN};
use serde_json::json;
use std::cell::Cell;
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// What a busy machine adds to what is seen from outside.
const BUSY_MACHINE_DELAY: Duration = Duration::from_millis(250);
const NODES: usize = 6;
const HOSTS: usize = 4;
/// Hosts that drain.
const DRAINING_HOSTS: usize = 1;

/// A list service, hosts and processes that follow it. Their indices are the last of many, as those
/// watch for shorter times.
struct Site {
    service: Discovery,
    checker: InvariantChecker,
    hosts: Hosts,
    nodes: Vec<Node>,
    /// Which clients belong to which run of [`Site::load`], by their names.
    named: Cell<u64>,
}

impl Site {
    fn new(mode: &str, nodes: usize, of: usize) -> Self {
        let site = Site::with(Discovery::start(), mode, nodes, of, 10_000.0);
        site.service.calls(nodes);
        site
    }

    /// A site whose settings have nodes poll within so many milliseconds.
    fn with(
        service: Discovery,
        mode: &str,
        nodes: usize,
        of: usize,
        max_poll_interval: f64,
    ) -> Self {
        let checker = InvariantChecker::default();
        let hosts = Hosts::start(HOSTS, &checker);
        let start = |node: usize| {
            let mut node_config = node_config_of(hosts.members(), service.address);
            node_config["name"] = json!(format!("n{node}"));
            let settings = &mut node_config["settings"];
            settings["balancers"] = json!(of);
            settings["index"] = json!(of - nodes + node);
            settings["registry_mode"] = json!(mode);
            settings["contract"]["ask_within"] = json!(max_poll_interval);
            settings["offerings"][0]["name"] = json!("free");
            Node::start(&node_config)
        };
        let nodes: Vec<Node> = (0..nodes).map(start).collect();
        Site {
            service,
            checker,
            hosts,
            nodes,
            named: Cell::new(0),
        }
    }

    /// By when each node counts as told of what a silence from then on hides, by the wait that it
    /// asked for.
    fn told(&self, silent: Instant) -> Vec<Instant> {
        let calls: Vec<(Instant, String)> = self
            .service
            .seen()
            .0
            .into_iter()
            .zip(self.service.asked())
            .collect();
        let wait = |path: &str| {
            path.split("hold_ms=")
                .nth(1)
                .and_then(|ms| ms.parse().ok())
                .unwrap_or(0)
        };
        // Nodes that come later in the fleet wait less.
        let mut out: Vec<(u64, Instant)> =
            calls.iter().map(|(at, path)| (wait(path), *at)).collect();
        out.sort();
        let out = &out[out.len() - self.nodes.len()..];
        out.iter()
            .rev()
            .map(|(wait, at)| (*at + ms(wait + 2000)).max(silent + ms(6000)))
            .collect()
    }

    fn drain(&self, host: usize) {
        self.service.change(self.hosts.member(host, "leaving"));
    }

    /// Clients at each node until then; returns what reached hosts that drain, node by node.
    fn load(&self, until: Instant) -> Vec<Vec<Instant>> {
        let from = self
            .named
            .replace(self.named.get() + self.nodes.len() as u64);
        thread::scope(|scope| {
            for (n, node) in self.nodes.iter().enumerate() {
                let (address, checker) = (node.address, &self.checker);
                scope.spawn(move || {
                    let mut clients = Clients::new(vec![address], checker, from + n as u64);
                    clients.load(
                        8.0,
                        until.saturating_duration_since(Instant::now()),
                        &[0],
                        ms(20),
                    );
                    clients.end();
                });
            }
        });
        let mut reached = vec![Vec::new(); self.nodes.len()];
        for one in self
            .checker
            .reached()
            .iter()
            .filter(|one| one.host < DRAINING_HOSTS)
        {
            let named = one
                .name
                .split('-')
                .next()
                .and_then(|n| usize::from_str_radix(n, 16).ok());
            reached[named.unwrap() % self.nodes.len()].push(one.at);
        }
        reached
    }
}

/// Guards against a watch that has fallen silent given up at the very moment from which the node is
/// accountable for what it missed, and renewed seconds later; nodes that all call then, at a
/// service that takes a few calls a second.
#[test]
fn all_watches_fall_silent_together_and_a_host_drains_right_after() {
    thread::scope(|scope| {
        for mode in ["on_request", "pushed"] {
            scope.spawn(move || {
                let site = Site::new(mode, NODES, 2 * NODES);
                site.service.limit_rate(2.0, ms(1000));
                site.service.silence_watches();
                let silent = Instant::now();
                (0..DRAINING_HOSTS).for_each(|host| site.drain(host));
                let told = site.told(silent);
                let last = *told.iter().max().unwrap();
                let reached = site.load(last + ms(2000));
                assert!(
                    reached.iter().any(|node| !node.is_empty()),
                    "{mode}: too tame"
                );
                for (node, (reached, told)) in reached.iter().zip(&told).enumerate() {
                    let late = reached.iter().filter(|at| {
                        **at > *told + DRAIN_GRACE + SOCKET_SLACK + BUSY_MACHINE_DELAY
                    });
                    assert_eq!(
                        late.count(),
                        0,
                        "{mode}, node {node}: {:?}",
                        reached.last().unwrap().saturating_duration_since(*told)
                    );
                }
                let calls = site.service.seen().0.len();
                assert!(calls <= 4 * NODES, "{mode}: {calls} calls");
                assert_eq!(
                    site.checker.broken(ms(60_000)),
                    Vec::<String>::new(),
                    "{mode}"
                );
            });
        }
    });
}

/// Guards against a list that came garbled, or from before what is known, and the drain that
/// follows it known seconds later than it counts as told; one such answer that ends more than its
/// own call.
#[test]
fn a_spoilt_list_is_polled_again_at_once_whoever_polls_it() {
    let head = |length: usize| format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
    let body = r#"{"revision":9,"complete":true,"members":[{"id":"s-0","phase":"#;
    let whole = |body: &str| head(body.len()) + body;
    let injected = [
        whole(&format!("{body}\"resting\"}}]}}")),
        whole(&format!("{body}\"active\"}}")),
        whole(&body.replace('{', "\u{1}")),
        whole(r#"{"revision":0,"complete":false,"members":[]}"#),
        whole(&format!("{body}\"active\"}}]}}}}}}")),
        "HTTP/9 what\r\n\r\n".to_string(),
    ];
    thread::scope(|scope| {
        for mode in ["on_request", "pushed"] {
            let injected = &injected;
            scope.spawn(move || {
                for (n, injected) in injected.iter().enumerate() {
                    // The last of a hundred: a node that polls for itself waits longest there.
                    let site = Site::new(mode, 1, 100);
                    site.service.answer_instead(&[injected]);
                    site.service.change(site.hosts.member(HOSTS - 1, "active"));
                    site.service.calls(2);
                    site.drain(0);
                    site.checker.note_drain(0, true);
                    site.load(Instant::now() + ms(1500));
                    assert_eq!(
                        site.checker.broken(BUSY_MACHINE_DELAY),
                        Vec::<String>::new(),
                        "{mode}, answer {n}"
                    );
                    let calls = site.service.seen().0.len();
                    assert!(calls <= 8, "{mode}, answer {n}: {calls} calls");
                }
            });
        }
    });
}

/// Guards against a node that notices seconds late that a service is back, for whose list it is
/// accountable from that moment on.
#[test]
fn pushed_lists_are_received_as_soon_as_their_service_is_back() {
    for hangs in [false, true] {
        let site = Site::new("pushed", 3, 3);
        let down = Instant::now();
        site.service.go_down();
        if hangs {
            // It takes calls and sends nothing.
            site.service.come_up();
            site.service.hang(false);
        }
        site.load(down + ms(4500));
        site.service.come_up();
        site.service.stop_hanging();
        site.drain(0);
        site.checker.note_drain(0, true);
        site.load(Instant::now() + ms(1500));
        assert_eq!(
            site.checker.broken(BUSY_MACHINE_DELAY),
            Vec::<String>::new(),
            "hangs: {hangs}"
        );
    }
}

/// Guards against a service that ends every watch at once with nothing, called as fast as it
/// answers.
#[test]
fn watches_that_end_at_once_with_nothing_cause_no_call_storm() {
    let body = r#"{"revision":3,"complete":false,"members":[]}"#;
    let nothing = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    for mode in ["on_request", "pushed"] {
        let site = Site::new(mode, 1, 1);
        site.service.answer_instead(&vec![&nothing[..]; 100_000]);
        site.service.change(site.hosts.member(0, "active"));
        let calls = site.service.seen().0.len();
        site.load(Instant::now() + ms(2500));
        let calls = site.service.seen().0.len() - calls;
        assert!((2..=14).contains(&calls), "{mode}: {calls} calls");
        // A host goes leaving, active and leaving again, and that is noticed all the same.
        site.service.answer_instead(&[]);
        for phase in ["leaving", "active", "leaving"] {
            site.service.change(site.hosts.member(0, phase));
        }
        eventually("the drain is never heard of", || {
            let before = site.checker.reached().len();
            site.load(Instant::now() + ms(700));
            site.checker.reached()[before..]
                .iter()
                .all(|one| one.host != 0)
        });
    }
}

/// Guards against clients that came while a process was stopped, sent to a host by a list from
/// before.
#[test]
fn a_process_that_was_stopped_reads_its_list_before_it_serves() {
    for mode in ["on_request", "pushed"] {
        let site = Site::new(mode, 1, 1);
        let node = &site.nodes[0];
        let mut clients: Vec<Peer> = (0..40).map(|_| Peer::connect(node.address)).collect();
        clients.iter_mut().for_each(|client| {
            client.send_line("PING");
            client.expect_line("PONG");
        });
        node.suspend();
        for (n, client) in clients.iter_mut().enumerate() {
            client.send_line(&format!("OPEN {n:x} {n:x} c=free,t=acme,d=2000"));
        }
        site.drain(0);
        site.checker.note_drain(0, true);
        let from = Instant::now();
        while from.elapsed() < DRAIN_GRACE + SOCKET_SLACK + BUSY_MACHINE_DELAY + ms(100) {
            thread::yield_now();
        }
        node.unsuspend();
        clients
            .iter_mut()
            .for_each(|client| client.expect_line("UP 1"));
        assert_eq!(
            site.checker.broken(BUSY_MACHINE_DELAY),
            Vec::<String>::new(),
            "{mode}"
        );
    }
}

/// Guards against an answer that begins and never ends, waited for as long as a watch without news.
#[test]
fn a_list_that_begins_and_never_ends_is_polled_again_in_time() {
    for mode in ["on_request", "pushed"] {
        let site = Site::new(mode, 1, 1);
        site.service
            .answer_instead(&["HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n{\"revision\":"]);
        site.service.change(site.hosts.member(HOSTS - 1, "active"));
        site.service.calls(2);
        let begun = Instant::now();
        (0..HOSTS - 1).for_each(|host| site.drain(host));
        site.load(begun + ms(7500));
        let reached = site
            .checker
            .reached()
            .into_iter()
            .filter(|one| one.host < HOSTS - 1);
        let (late, before): (Vec<_>, Vec<_>) = reached.partition(|one| {
            one.at > begun + ms(6000) + DRAIN_GRACE + SOCKET_SLACK + BUSY_MACHINE_DELAY
        });
        assert_eq!(late.len(), 0, "{mode}");
        assert!(!before.is_empty(), "{mode}: too tame");
    }
}

/// Guards against a line that starts late to a host that began to drain meanwhile.
#[test]
fn a_connection_established_after_the_drain_is_not_written_to() {
    let (listener, _first) = full_listener();
    let service = Discovery::start();
    let named = |phase: &str| member(0, &listener.local_addr().unwrap().to_string(), phase);
    let mut node_config = node_config_of(json!([named("active")]), service.address);
    let settings = &mut node_config["settings"];
    settings["policy_limits"]["connect_timeout"] = json!(5000.0);
    settings["offerings"][0]["contract_time"] = json!(5000.0);
    settings["offerings"][0]["expiry"] = json!(8000.0);
    let node = Node::start(&node_config);
    service.calls(1);
    let mut client = node.open(&OPEN.replace("d=2000", "d=8000"));
    // A node that answers this has read that.
    let mut other = Peer::connect(node.address);
    other.send_line("PING");
    other.expect_line("PONG");
    service.change(named("leaving"));
    let told = Instant::now();
    eventually("no time passes", || {
        told.elapsed() > DRAIN_GRACE + SOCKET_SLACK + ms(50)
    });
    listener.set_nonblocking(true).unwrap();
    let mut up = Vec::new();
    // The system asks for the connection again a second after the first time.
    eventually("no connection came up late", || {
        up.extend(listener.accept().ok());
        up.len() == 2
    });
    let late = up.pop().unwrap().0;
    late.set_nonblocking(false).unwrap();
    assert!(
        ["end", "reset"].contains(&Peer::new(late).receive_line().as_str()),
        "a line came"
    );
    assert!(client.receive_line().starts_with("BUSY"));
}

/// Guards against new work for a host that drains, by a node whose watch fell silent and whose next
/// calls a busy service rejected until it was accountable for what it had missed; and one that
/// serves no more when it has heard.
#[test]
fn a_node_whose_list_may_be_stale_starts_no_attempt_until_it_is_current() {
    let site = Site::new("on_request", 1, 1000);
    site.service.silence_watches();
    let silent = Instant::now();
    site.service.reject_of_ten(10);
    (0..HOSTS - 1).for_each(|host| site.drain(host));
    let told = site.told(silent)[0];
    site.load(told + ms(2000));
    let late =
        |one: &&ObservedAttempt| one.at > told + DRAIN_GRACE + SOCKET_SLACK + BUSY_MACHINE_DELAY;
    let reached = site.checker.reached();
    assert!(reached.iter().any(|one| one.host == 0), "too tame");
    assert_eq!(
        reached.iter().filter(late).count(),
        0,
        "while it could not know"
    );
    assert_eq!(
        site.checker.broken(ms(60_000)),
        Vec::<String>::new(),
        "answered all the same"
    );
    site.service.reject_of_ten(0);
    site.nodes[0].wait_for_log("watch begun");
    site.load(Instant::now() + ms(1000));
    let reached = site.checker.reached();
    let late: Vec<usize> = reached.iter().filter(late).map(|one| one.host).collect();
    assert!(
        !late.is_empty() && late.iter().all(|host| *host == HOSTS - 1),
        "{late:?}"
    );
}

/// The term that goes before all others: what the service had and could be reached for counts as
/// told so long after.
const NOTIFICATION_TIMEOUT: Duration = Duration::from_secs(6);

/// What a watch comes to while a host drains, and how long the service goes on failing after it.
const WATCH_FAILURES: [&str; 4] = ["reset", "reset, then busy", "busy", "garbled, then busy"];

/// Guards against a node whose watch was reset or rejected and not silent, and that calls again by
/// the schedule of settings that leave it a minute; new work for a host that drained meanwhile.
#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, step by step")]
fn however_a_watch_ends_nothing_new_goes_out_six_seconds_after_a_drain() {
    thread::scope(|scope| {
        for (mode, ends) in ["on_request", "pushed"]
            .into_iter()
            .flat_map(|m| WATCH_FAILURES.map(|e| (m, e)))
        {
            scope.spawn(move || {
                // The last of hundreds, which call in turn.
                let site = Site::with(Discovery::start(), mode, 3, 300, 60_000.0);
                site.service.calls(3);
                let busy = ends.contains("busy");
                if busy {
                    site.service.reject_of_ten(10);
                }
                match ends {
                    "busy" => site.service.change(site.hosts.member(HOSTS - 1, "active")),
                    "garbled, then busy" => {
                        site.service.answer_instead(&[
                            "HTTP/9 what\r\n\r\n",
                            "what",
                            "HTTP/9 what\r\n\r\n",
                        ]);
                        site.service.change(site.hosts.member(HOSTS - 1, "active"));
                    }
                    _ => {
                        let members: Vec<_> =
                            (0..HOSTS).map(|h| site.hosts.member(h, "active")).collect();
                        site.service.restart(1, &members);
                    }
                }
                let ended = Instant::now();
                (0..DRAINING_HOSTS).for_each(|host| site.drain(host));
                if busy {
                    site.load(ended + ms(4500));
                    site.service.reject_of_ten(0);
                }
                let reached = site.load(
                    ended + NOTIFICATION_TIMEOUT + DRAIN_GRACE + BUSY_MACHINE_DELAY + ms(2000),
                );
                let late = |at: &&Instant| {
                    **at > ended
                        + NOTIFICATION_TIMEOUT
                        + DRAIN_GRACE
                        + SOCKET_SLACK
                        + BUSY_MACHINE_DELAY
                };
                let last = reached
                    .iter()
                    .flatten()
                    .max()
                    .map(|at| at.saturating_duration_since(ended));
                assert_eq!(
                    reached.iter().flatten().filter(late).count(),
                    0,
                    "{mode}, {ends}: {last:?}"
                );
                assert_eq!(
                    site.checker.broken(ms(60_000)),
                    Vec::<String>::new(),
                    "{mode}, {ends}"
                );
                let calls = site.service.seen().0.len();
                assert!(calls <= 3 * 20, "{mode}, {ends}: {calls} calls");
                // It serves on once it has heard.
                eventually("shut for ever", || {
                    let before = site.checker.reached().len();
                    site.load(Instant::now() + ms(300));
                    site.checker.reached().len() > before
                });
            });
        }
    });
}

/// Guards against processes that start while the list service is down and is back with a host that
/// drains; and while it is down, a tier that serves nobody, or storms the service at its return.
#[test]
fn processes_that_start_with_the_service_down_learn_of_a_drain_at_its_return() {
    for (mode, nodes) in [("on_request", 1), ("pushed", 6), ("on_request", 40)] {
        let service = Discovery::start();
        service.go_down();
        let site = Site::with(service, mode, nodes, nodes, 60_000.0);
        let started = Instant::now();
        site.load(started + ms(3000));
        assert!(
            !site.checker.reached().is_empty(),
            "{mode}, {nodes}: nobody is served"
        );
        site.service.limit_rate(10.0, ms(2000));
        let before = site.service.seen().0.len();
        site.drain(0);
        site.service.come_up();
        let back = Instant::now();
        let reached =
            site.load(back + NOTIFICATION_TIMEOUT + DRAIN_GRACE + BUSY_MACHINE_DELAY + ms(1500));
        let late = |at: &&Instant| {
            **at > back + NOTIFICATION_TIMEOUT + DRAIN_GRACE + SOCKET_SLACK + BUSY_MACHINE_DELAY
        };
        assert_eq!(
            reached.iter().flatten().filter(late).count(),
            0,
            "{mode}, {nodes} nodes"
        );
        assert_eq!(
            site.checker.broken(ms(60_000)),
            Vec::<String>::new(),
            "{mode}, {nodes} nodes"
        );
        let calls = site.service.seen().0.len() - before;
        assert!(
            calls <= 8 * nodes + 8,
            "{mode}, {nodes} nodes: {calls} calls"
        );
    }
}

/// Guards against a node whose first call was rejected and whose next, a watch that waits, fell
/// silent before it was ever answered: closed to new work for seconds though the service is
/// healthy, and then open though it has heard nothing.
#[test]
fn a_watch_that_falls_silent_before_it_was_ever_answered_hides_nothing() {
    thread::scope(|scope| {
        for mode in ["on_request", "pushed"] {
            scope.spawn(move || {
                let service = Discovery::start();
                service.reject_of_ten(10);
                let site = Site::with(service, mode, 1, 1, 10_000.0);
                site.nodes[0].wait_for_log("status 503");
                let turned = site.service.seen().0.len();
                site.service.reject_of_ten(0);
                // Whatever call gets through, those that wait by then are never answered.
                let seen = |calls: usize| {
                    site.service.seen().0.len() - site.service.seen().1.len() >= calls
                };
                eventually("no call gets through", || seen(1));
                site.service.silence_watches();
                let silent = Instant::now();
                site.load(silent + NOTIFICATION_TIMEOUT + DRAIN_GRACE + ms(700));
                let before = site.checker.reached().len();
                site.load(Instant::now() + ms(1000));
                assert!(site.checker.reached().len() > before, "{mode}: shut");
                let asked = site.service.asked();
                let first = asked
                    .iter()
                    .skip(turned.min(asked.len() - 1))
                    .find(|path| path.contains("hold_ms"));
                assert!(first.unwrap().ends_with("hold_ms=1"), "{mode}: {asked:?}");
                assert_eq!(
                    site.checker.broken(ms(60_000)),
                    Vec::<String>::new(),
                    "{mode}"
                );
            });
        }
    });
}

/// Guards against a process whose lists are pushed and that calls for them only at its first sweep:
/// what it missed counts as told from its start.
#[test]
fn a_pushed_list_is_requested_before_anybody_is_served() {
    // Nobody answers there; a call lies in its queue.
    let service = TcpListener::bind("127.0.0.1:0").unwrap();
    service.set_nonblocking(true).unwrap();
    let checker = InvariantChecker::default();
    let hosts = Hosts::start(1, &checker);
    let mut node_config = node_config_of(hosts.members(), service.local_addr().unwrap());
    node_config["settings"]["registry_mode"] = json!("pushed");
    // It has begun once its first line is read.
    let _node = Node::start(&node_config);
    assert!(service.accept().is_ok(), "not called");
}

/// Guards against a node that hears all a slow service has to tell, a few seconds late, and rejects
/// everybody for as long as its settings leave it to poll.
#[test]
fn a_service_slower_than_its_calls_are_waited_for_is_heard_all_the_same() {
    let service = Discovery::start();
    service.limit_rate(0.4, Duration::from_secs(600));
    let site = Site::with(service, "on_request", 1, 1000, 60_000.0);
    // The watch is silent beyond its wait, as its answer comes late by what the service takes.
    site.nodes[0].wait_for_log("discovery call failed");
    let until = Instant::now() + ms(12_000);
    site.drain(0);
    let drained = Instant::now();
    site.load(until);
    let reached = site.checker.reached();
    let second = |after: u64| drained + ms(1000 * after)..drained + ms(1000 * (after + 1));
    for after in 0..12 {
        let count = reached
            .iter()
            .filter(|one| second(after).contains(&one.at))
            .count();
        assert!(
            count > 0,
            "nothing reached any host {after} s after the watch failed"
        );
    }
    let late = reached.iter().filter(|one| {
        one.host == 0
            && one.at
                > drained + NOTIFICATION_TIMEOUT + DRAIN_GRACE + SOCKET_SLACK + BUSY_MACHINE_DELAY
    });
    assert_eq!(late.count(), 0, "a host that had drained");
}

/// Guards against clients sent to a host that drains, by a new process that waits for a pushed list
/// longer than the grace: what its service has counts as told from the process's first moment.
#[test]
fn a_new_process_waits_for_a_pushed_list_before_it_starts_any_attempt() {
    let service = Discovery::start();
    // Each call takes it a second.
    service.limit_rate(1.0, Duration::from_secs(60));
    let checker = InvariantChecker::default();
    let hosts = Hosts::start(HOSTS, &checker);
    // All but the last drain.
    (0..HOSTS - 1).for_each(|host| service.change(hosts.member(host, "leaving")));
    service.change(hosts.member(HOSTS - 1, "active"));
    let mut node_config = node_config_of(hosts.members(), service.address);
    node_config["settings"]["registry_mode"] = json!("pushed");
    node_config["settings"]["offerings"][0]["name"] = json!("free");
    let node = Node::start(&node_config);
    // Not from before it was started: a busy machine takes its time with that.
    let started = Instant::now();
    let mut clients = Clients::new(vec![node.address], &checker, 1);
    clients.load(60.0, ms(2500), &[0], ms(20));
    clients.end();
    let reached = checker.reached();
    let late =
        |one: &&ObservedAttempt| one.at > started + DRAIN_GRACE + SOCKET_SLACK + BUSY_MACHINE_DELAY;
    let to_drained: Vec<_> = reached
        .iter()
        .filter(late)
        .filter(|one| one.host < HOSTS - 1)
        .collect();
    let after: Vec<Duration> = to_drained.iter().map(|one| one.at - started).collect();
    assert!(
        after.is_empty(),
        "hosts that drained before the process began: {after:?}, {:?}",
        node.drain_log()
    );
    assert_eq!(checker.broken(ms(60_000)), Vec::<String>::new());
    let served = reached
        .iter()
        .filter(|one| one.at > started + ms(1500))
        .count();
    assert!(served > 30, "{served} once the list had come");
}

/// Guards against a new process of no use for as long as the service that has its list is down or
/// silent.
#[test]
fn a_new_process_serves_soon_though_its_pushed_list_does_not_come() {
    for hangs in [false, true] {
        let service = Discovery::start();
        match hangs {
            true => service.hang(false),
            false => service.go_down(),
        }
        let checker = InvariantChecker::default();
        let hosts = Hosts::start(HOSTS, &checker);
        let mut node_config = node_config_of(hosts.members(), service.address);
        node_config["settings"]["registry_mode"] = json!("pushed");
        node_config["settings"]["offerings"][0]["name"] = json!("free");
        let started = Instant::now();
        let node = Node::start(&node_config);
        let mut clients = Clients::new(vec![node.address], &checker, 1);
        clients.load(20.0, ms(4000), &[0], ms(20));
        clients.end();
        let soon = if hangs { ms(2500) } else { ms(200) };
        let reached = checker.reached();
        for from in [soon, ms(3000)] {
            let within = |one: &&ObservedAttempt| {
                (started + from..started + from + ms(1000)).contains(&one.at)
            };
            let count = reached.iter().filter(within).count();
            assert!(
                count > 10,
                "hangs {hangs}: {count} in the second after {from:?}"
            );
        }
    }
}
