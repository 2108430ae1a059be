//! Tests of several node processes under load while hosts drain and the watches at the discovery service
//! fall silent, break or are answered with invalid data. The checks compare what hosts and the service saw
//! with the time at which each node counts as notified, whether or not the change reached it.

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

/// The delay that a busy machine may add to the observed times.
const BUSY_MACHINE_DELAY: Duration = Duration::from_millis(250);
const NODES: usize = 6;
const HOSTS: usize = 4;
/// The number of hosts that drain, the first of all.
const DRAINING_HOSTS: usize = 1;

/// A discovery service, hosts, and node processes that follow the service. The processes have the highest
/// indices of a larger fleet, as the watches of those wait for shorter times.
struct Site {
    service: Discovery,
    checker: InvariantChecker,
    hosts: Hosts,
    nodes: Vec<Node>,
    /// The seed of the next run of [`Site::load`]. Seeds are part of the clients' names, and tell the clients of
    /// one node from those of another.
    next_seed: Cell<u64>,
}

impl Site {
    fn new(mode: &str, nodes: usize, fleet_size: usize) -> Self {
        let site = Site::with_poll_interval(Discovery::start(), mode, nodes, fleet_size, 10_000.0);
        site.service.calls(nodes);
        site
    }

    /// Starts a site whose nodes poll at the latest after `max_poll_interval` milliseconds.
    fn with_poll_interval(
        service: Discovery,
        mode: &str,
        nodes: usize,
        fleet_size: usize,
        max_poll_interval: f64,
    ) -> Self {
        let checker = InvariantChecker::default();
        let hosts = Hosts::start(HOSTS, &checker);
        let start = |node: usize| {
            let mut node_config = node_config_of(hosts.members(), service.address);
            node_config["name"] = json!(format!("n{node}"));
            let settings = &mut node_config["settings"];
            settings["balancers"] = json!(fleet_size);
            settings["index"] = json!(fleet_size - nodes + node);
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
            next_seed: Cell::new(0),
        }
    }

    /// Returns when each node counts as notified of changes that it misses because its watch is silent since
    /// `silenced_at`. This depends on the wait that the watch requested.
    fn notified_at(&self, silenced_at: Instant) -> Vec<Instant> {
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
        // Nodes with a higher index request shorter waits.
        let mut watches: Vec<(u64, Instant)> =
            calls.iter().map(|(at, path)| (wait(path), *at)).collect();
        watches.sort();
        let watches = &watches[watches.len() - self.nodes.len()..];
        watches
            .iter()
            .rev()
            .map(|(wait, at)| (*at + ms(wait + 2000)).max(silenced_at + ms(6000)))
            .collect()
    }

    fn drain(&self, host: usize) {
        self.service.change(self.hosts.member(host, "leaving"));
    }

    /// Starts clients at each node until the given time. Returns, per node, when their requests reached draining
    /// hosts.
    fn load(&self, until: Instant) -> Vec<Vec<Instant>> {
        let first_seed = self
            .next_seed
            .replace(self.next_seed.get() + self.nodes.len() as u64);
        thread::scope(|scope| {
            for (n, node) in self.nodes.iter().enumerate() {
                let (address, checker) = (node.address, &self.checker);
                scope.spawn(move || {
                    let mut clients = Clients::new(vec![address], checker, first_seed + n as u64);
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
            let client_seed = one
                .name
                .split('-')
                .next()
                .and_then(|n| usize::from_str_radix(n, 16).ok());
            reached[client_seed.unwrap() % self.nodes.len()].push(one.at);
        }
        reached
    }
}

/// Guards against a node that gives up a silent watch only when it already counts as notified of what it
/// missed, and renews it seconds later. All nodes call again together then, and the service accepts only a
/// few calls per second.
#[test]
fn a_drain_right_after_all_watches_fall_silent_is_honored_in_time() {
    thread::scope(|scope| {
        for mode in ["on_request", "pushed"] {
            scope.spawn(move || {
                let site = Site::new(mode, NODES, 2 * NODES);
                site.service.limit_rate(2.0, ms(1000));
                site.service.silence_watches();
                let silenced_at = Instant::now();
                (0..DRAINING_HOSTS).for_each(|host| site.drain(host));
                let notified_at = site.notified_at(silenced_at);
                let last = *notified_at.iter().max().unwrap();
                let reached = site.load(last + ms(2000));
                assert!(
                    reached.iter().any(|node| !node.is_empty()),
                    "{mode}: no request reached a draining host"
                );
                for (node, (reached, notified_at)) in reached.iter().zip(&notified_at).enumerate() {
                    let late = reached.iter().filter(|at| {
                        **at > *notified_at + DRAIN_GRACE + SOCKET_SLACK + BUSY_MACHINE_DELAY
                    });
                    assert_eq!(
                        late.count(),
                        0,
                        "{mode}, node {node}: {:?}",
                        reached
                            .last()
                            .unwrap()
                            .saturating_duration_since(*notified_at)
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

/// Guards against a node that, after an unreadable list or one with an older revision, learns of the next
/// drain seconds after it counts as notified of it, and against such an answer failing more than its own
/// call.
#[test]
fn an_unreadable_or_older_list_is_requested_again_at_once_in_both_modes() {
    let head = |length: usize| format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
    let body = r#"{"revision":9,"complete":true,"members":[{"id":"s-0","phase":"#;
    let whole = |body: &str| head(body.len()) + body;
    let invalid_answers = [
        whole(&format!("{body}\"resting\"}}]}}")),
        whole(&format!("{body}\"active\"}}")),
        whole(&body.replace('{', "\u{1}")),
        whole(r#"{"revision":0,"complete":false,"members":[]}"#),
        whole(&format!("{body}\"active\"}}]}}}}}}")),
        "HTTP/9 what\r\n\r\n".to_string(),
    ];
    thread::scope(|scope| {
        for mode in ["on_request", "pushed"] {
            let invalid_answers = &invalid_answers;
            scope.spawn(move || {
                for (n, invalid_answer) in invalid_answers.iter().enumerate() {
                    // The last of a hundred nodes: a node that polls on its own has the longest interval there.
                    let site = Site::new(mode, 1, 100);
                    site.service.answer_instead(&[invalid_answer]);
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

/// Guards against a node that notices seconds late that the service is back. It counts as notified of the
/// service's list from the moment of that return.
#[test]
fn pushed_lists_are_received_as_soon_as_the_service_is_back() {
    for hangs in [false, true] {
        let site = Site::new("pushed", 3, 3);
        let down_since = Instant::now();
        site.service.go_down();
        if hangs {
            // The service accepts calls and sends nothing.
            site.service.come_up();
            site.service.hang(false);
        }
        site.load(down_since + ms(4500));
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

/// Guards against a node that calls a service as fast as it answers when it ends every watch at once
/// without a change.
#[test]
fn watches_that_end_at_once_without_changes_cause_no_call_storm() {
    let body = r#"{"revision":3,"complete":false,"members":[]}"#;
    let empty_list = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    for mode in ["on_request", "pushed"] {
        let site = Site::new(mode, 1, 1);
        site.service.answer_instead(&vec![&empty_list[..]; 100_000]);
        site.service.change(site.hosts.member(0, "active"));
        let calls = site.service.seen().0.len();
        site.load(Instant::now() + ms(2500));
        let calls = site.service.seen().0.len() - calls;
        assert!((2..=14).contains(&calls), "{mode}: {calls} calls");
        // The node still notices when a host changes to leaving, active and leaving again.
        site.service.answer_instead(&[]);
        for phase in ["leaving", "active", "leaving"] {
            site.service.change(site.hosts.member(0, phase));
        }
        eventually("the node did not learn of the drain", || {
            let before = site.checker.reached().len();
            site.load(Instant::now() + ms(700));
            site.checker.reached()[before..]
                .iter()
                .all(|one| one.host != 0)
        });
    }
}

/// Guards against sending clients that arrived while a process was suspended to a host that drained in the
/// meantime, by the list from before the suspension.
#[test]
fn a_process_resumed_after_a_suspension_reads_its_list_before_it_serves() {
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

/// Guards against a node that waits for the rest of an incomplete answer as long as for a watch without
/// changes.
#[test]
fn an_answer_that_begins_and_never_ends_is_requested_again_in_time() {
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
        assert!(
            !before.is_empty(),
            "{mode}: no request reached a draining host"
        );
    }
}

/// Guards against sending a request on a connection that was requested before its host began to drain and
/// established after the drain grace.
#[test]
fn a_connection_established_after_the_drain_grace_is_not_written_to() {
    let (listener, _first) = full_listener();
    let service = Discovery::start();
    let listed_member = |phase: &str| member(0, &listener.local_addr().unwrap().to_string(), phase);
    let mut node_config = node_config_of(json!([listed_member("active")]), service.address);
    let settings = &mut node_config["settings"];
    settings["policy_limits"]["connect_timeout"] = json!(5000.0);
    settings["offerings"][0]["contract_time"] = json!(5000.0);
    settings["offerings"][0]["expiry"] = json!(8000.0);
    let node = Node::start(&node_config);
    service.calls(1);
    let mut client = node.open(&OPEN.replace("d=2000", "d=8000"));
    // Once the node answers this client, it has read the request before.
    let mut other = Peer::connect(node.address);
    other.send_line("PING");
    other.expect_line("PONG");
    service.change(listed_member("leaving"));
    let drain_announced = Instant::now();
    eventually("the drain grace did not pass", || {
        drain_announced.elapsed() > DRAIN_GRACE + SOCKET_SLACK + ms(50)
    });
    listener.set_nonblocking(true).unwrap();
    let mut established = Vec::new();
    // The operating system repeats the connection request after one second.
    eventually("no connection was established late", || {
        established.extend(listener.accept().ok());
        established.len() == 2
    });
    let late = established.pop().unwrap().0;
    late.set_nonblocking(false).unwrap();
    assert!(
        ["end", "reset"].contains(&Peer::new(late).receive_line().as_str()),
        "a request was sent"
    );
    assert!(client.receive_line().starts_with("BUSY"));
}

/// Guards against new attempts at a draining host by a node whose watch fell silent and whose next calls
/// were rejected by a busy service until it counted as notified; and against a node that stays closed to new
/// requests after it has received the list.
#[test]
fn a_node_whose_list_may_be_stale_starts_no_attempt_until_it_is_current() {
    let site = Site::new("on_request", 1, 1000);
    site.service.silence_watches();
    let silenced_at = Instant::now();
    site.service.reject_of_ten(10);
    (0..HOSTS - 1).for_each(|host| site.drain(host));
    let notified_at = site.notified_at(silenced_at)[0];
    site.load(notified_at + ms(2000));
    let late = |one: &&ObservedAttempt| {
        one.at > notified_at + DRAIN_GRACE + SOCKET_SLACK + BUSY_MACHINE_DELAY
    };
    let reached = site.checker.reached();
    assert!(
        reached.iter().any(|one| one.host == 0),
        "no request reached a draining host"
    );
    assert_eq!(
        reached.iter().filter(late).count(),
        0,
        "attempts while the list may have been stale"
    );
    assert_eq!(
        site.checker.broken(ms(60_000)),
        Vec::<String>::new(),
        "violations while the list was stale"
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

/// Guards against new attempts at draining hosts by a node that notices only after a long wait that its watch is silent,
/// and whose next calls are rejected: the time for which it starts none was over before it had noticed.
#[test]
fn a_node_that_notices_a_silent_watch_late_starts_no_attempt_until_its_list_is_current() {
    // The only node of its fleet waits the longest.
    let site = Site::new("on_request", 1, 1);
    site.service.silence_watches();
    let silenced_at = Instant::now();
    site.service.reject_of_ten(10);
    (0..HOSTS - 1).for_each(|host| site.drain(host));
    let notified_at = site.notified_at(silenced_at)[0];
    site.load(notified_at + ms(3000));
    let late_from = notified_at + DRAIN_GRACE + SOCKET_SLACK + BUSY_MACHINE_DELAY;
    let (late, in_time): (Vec<_>, Vec<_>) = site
        .checker
        .reached()
        .into_iter()
        .filter(|one| one.host < HOSTS - 1)
        .partition(|one| one.at > late_from);
    assert!(!in_time.is_empty(), "no request reached a draining host");
    assert_eq!(late.len(), 0, "attempts while the list may have been stale");
    assert_eq!(site.checker.broken(ms(60_000)), Vec::<String>::new());
}

/// A node counts as notified of a change at the latest this long after the service has it and can be
/// reached, even if an earlier wait would allow more.
const NOTIFICATION_TIMEOUT: Duration = Duration::from_secs(6);

/// How a watch ends while a host drains, and whether the service rejects the calls after it for a while.
const WATCH_FAILURES: [&str; 4] = ["reset", "reset, then busy", "busy", "garbled, then busy"];

/// Guards against a node whose watch was reset or rejected rather than silent, and that calls again only
/// after the minute that its settings allow between polls. It would start attempts at a host that has
/// drained by then.
#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, step by step")]
fn however_a_watch_ends_no_attempt_reaches_a_drained_host_late() {
    thread::scope(|scope| {
        for (mode, failure) in ["on_request", "pushed"]
            .into_iter()
            .flat_map(|m| WATCH_FAILURES.map(|e| (m, e)))
        {
            scope.spawn(move || {
                // The last of hundreds of nodes, which call one after the other.
                let site = Site::with_poll_interval(Discovery::start(), mode, 3, 300, 60_000.0);
                site.service.calls(3);
                let rejects = failure.contains("busy");
                if rejects {
                    site.service.reject_of_ten(10);
                }
                match failure {
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
                if rejects {
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
                    "{mode}, {failure}: {last:?}"
                );
                assert_eq!(
                    site.checker.broken(ms(60_000)),
                    Vec::<String>::new(),
                    "{mode}, {failure}"
                );
                let calls = site.service.seen().0.len();
                assert!(calls <= 3 * 20, "{mode}, {failure}: {calls} calls");
                // The nodes serve again once they have received the list.
                eventually("the nodes stay closed to new requests", || {
                    let before = site.checker.reached().len();
                    site.load(Instant::now() + ms(300));
                    site.checker.reached().len() > before
                });
            });
        }
    });
}

/// How long each call waits at a crowded service before it is reset.
const CROWDED_WAIT: Duration = Duration::from_secs(1);

/// Guards against a node that never counts as notified while a crowded service accepts its calls and resets them, as if
/// the service had not been reached.
#[test]
fn no_attempt_reaches_a_drained_host_late_though_a_crowded_service_resets_all_calls() {
    thread::scope(|scope| {
        for mode in ["on_request", "pushed"] {
            scope.spawn(move || {
                let site = Site::new(mode, 1, 1);
                site.service.reset_calls_after(CROWDED_WAIT);
                let members: Vec<_> = (0..HOSTS).map(|h| site.hosts.member(h, "active")).collect();
                let ended = site.service.restart(1, &members);
                (0..HOSTS - 1).for_each(|host| site.drain(host));
                let stale_from = ended + NOTIFICATION_TIMEOUT + DRAIN_GRACE;
                site.load(stale_from + BUSY_MACHINE_DELAY + ms(2000));
                let late_from = stale_from + SOCKET_SLACK + BUSY_MACHINE_DELAY;
                let (late, in_time): (Vec<_>, Vec<_>) = site
                    .checker
                    .reached()
                    .into_iter()
                    .filter(|one| one.host < HOSTS - 1)
                    .map(|one| one.at.saturating_duration_since(ended))
                    .partition(|after| ended + *after > late_from);
                assert!(
                    late.is_empty(),
                    "{mode}: attempts at drained hosts {late:?}"
                );
                assert!(
                    !in_time.is_empty(),
                    "{mode}: no request reached a draining host"
                );
                assert_eq!(
                    site.checker.broken(ms(60_000)),
                    Vec::<String>::new(),
                    "{mode}"
                );
                site.service.stop_resetting();
                eventually("the node stays closed to new requests", || {
                    let before = site.checker.reached().len();
                    site.load(Instant::now() + ms(300));
                    site.checker.reached().len() > before
                });
            });
        }
    });
}

/// The time that each call waits for its turn at the service in [`serve_while_the_renewed_call_waits`].
const RENEWED_CALL_TIME: Duration = Duration::from_millis(1500);

/// Ends the watch of the only node of a pushing service, drains all hosts but one, and sends clients while the renewed
/// call waits for its turn. Asserts that the drains are honored from the end of the watch on, and that the node
/// serves again once the call has been answered.
fn serve_while_the_renewed_call_waits(site: &Site) {
    let calls_per_second = 1.0 / RENEWED_CALL_TIME.as_secs_f64();
    site.service
        .limit_rate(calls_per_second, Duration::from_secs(60));
    let members: Vec<_> = (0..HOSTS).map(|h| site.hosts.member(h, "active")).collect();
    let ended = site.service.restart(1, &members);
    (0..HOSTS - 1).for_each(|host| site.drain(host));
    let mut clients = Clients::new(vec![site.nodes[0].address], &site.checker, 1);
    clients.load(60.0, RENEWED_CALL_TIME + ms(2000), &[0], ms(20));
    clients.end();
    let late_from = ended + DRAIN_GRACE + SOCKET_SLACK + BUSY_MACHINE_DELAY;
    let reached = site.checker.reached();
    let late: Vec<Duration> = reached
        .iter()
        .filter(|one| one.host < HOSTS - 1 && one.at > late_from)
        .map(|one| one.at - ended)
        .collect();
    assert!(
        late.is_empty(),
        "attempts at drained hosts: {late:?}, {:?}",
        site.nodes[0].drain_log()
    );
    assert_eq!(site.checker.broken(ms(60_000)), Vec::<String>::new());
    let answered_by = ended + 2 * RENEWED_CALL_TIME;
    assert!(
        reached.iter().any(|one| one.at > answered_by),
        "closed to new requests"
    );
}

/// Guards against a node that goes on by its old list for seconds after a pushed watch broke, while its renewed call
/// waits for its turn: what a pushing service has counts as delivered whether or not it is watched.
#[test]
fn a_drain_is_honored_at_once_though_the_renewed_call_for_a_pushed_list_waits() {
    let site = Site::new("pushed", 1, 1);
    // The watch is open, and has been for so long that its end is not taken for that of an idle connection.
    site.service.calls(2);
    let mut clients = Clients::new(vec![site.nodes[0].address], &site.checker, 2);
    clients.load(60.0, ms(500), &[0], ms(20));
    clients.end();
    serve_while_the_renewed_call_waits(&site);
}

/// Guards against a node that takes a pushed watch which breaks right after it was sent for one that was closed while
/// idle, and goes on by its old list until the repeated call is answered.
#[test]
fn a_drain_is_honored_at_once_though_the_pushed_watch_broke_right_after_it_was_sent() {
    let site = Site::new("pushed", 1, 1);
    // The watch has only just been sent, over the connection that served the first call.
    site.service.calls(2);
    serve_while_the_renewed_call_waits(&site);
}

/// Guards against a node that rejects all work while a pushing service is down, as if each call that it ends at once
/// showed that it is up.
#[test]
fn clients_are_served_while_a_pushing_service_ends_all_calls_at_once() {
    const OUTAGE: Duration = Duration::from_secs(5);
    let site = Site::new("pushed", 1, 1);
    site.service.go_down();
    let down_since = Instant::now();
    let mut clients = Clients::new(vec![site.nodes[0].address], &site.checker, 1);
    clients.load(40.0, OUTAGE, &[0], ms(20));
    clients.end();
    let reached = site.checker.reached();
    for second in 0..OUTAGE.as_secs() as u32 {
        let span = down_since + ms(1000) * second..down_since + ms(1000) * (second + 1);
        let count = reached.iter().filter(|one| span.contains(&one.at)).count();
        assert!(
            count > 20,
            "{count} requests served in second {second} of the outage"
        );
    }
}

/// Guards against processes that start while the discovery service is down and learn too late of a drain
/// that it announces at its return; and against processes that serve nobody during the outage, or all call
/// at once at its end.
#[test]
fn processes_that_start_with_the_service_down_learn_of_a_drain_at_its_return() {
    for (mode, nodes) in [("on_request", 1), ("pushed", 6), ("on_request", 40)] {
        let service = Discovery::start();
        service.go_down();
        let site = Site::with_poll_interval(service, mode, nodes, nodes, 60_000.0);
        let started = Instant::now();
        site.load(started + ms(3000));
        assert!(
            !site.checker.reached().is_empty(),
            "{mode}, {nodes} nodes: no client was served"
        );
        site.service.limit_rate(10.0, ms(2000));
        let before = site.service.seen().0.len();
        site.drain(0);
        site.service.come_up();
        let back_since = Instant::now();
        let reached = site
            .load(back_since + NOTIFICATION_TIMEOUT + DRAIN_GRACE + BUSY_MACHINE_DELAY + ms(1500));
        let late = |at: &&Instant| {
            **at > back_since
                + NOTIFICATION_TIMEOUT
                + DRAIN_GRACE
                + SOCKET_SLACK
                + BUSY_MACHINE_DELAY
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

/// Guards against a node whose first call was rejected and whose next call, a watch that waits, fell silent
/// before any answer. Such a node was closed to new requests for seconds though the service was healthy, and
/// then served without having received a list.
#[test]
fn a_watch_silenced_before_its_first_answer_leaves_the_node_serving() {
    thread::scope(|scope| {
        for mode in ["on_request", "pushed"] {
            scope.spawn(move || {
                let service = Discovery::start();
                service.reject_of_ten(10);
                let site = Site::with_poll_interval(service, mode, 1, 1, 10_000.0);
                site.nodes[0].wait_for_log("status 503");
                let call_count = site.service.seen().0.len();
                site.service.reject_of_ten(0);
                // Waits until a call is accepted, then leaves all waiting calls without an answer.
                let enough_accepted = |calls: usize| {
                    site.service.seen().0.len() - site.service.seen().1.len() >= calls
                };
                eventually("no call was accepted", || enough_accepted(1));
                site.service.silence_watches();
                let silenced_at = Instant::now();
                site.load(silenced_at + NOTIFICATION_TIMEOUT + DRAIN_GRACE + ms(700));
                let before = site.checker.reached().len();
                site.load(Instant::now() + ms(1000));
                assert!(
                    site.checker.reached().len() > before,
                    "{mode}: closed to new requests"
                );
                let asked = site.service.asked();
                let first_watch_path = asked
                    .iter()
                    .skip(call_count.min(asked.len() - 1))
                    .find(|path| path.contains("hold_ms"));
                assert!(
                    first_watch_path.unwrap().ends_with("hold_ms=1"),
                    "{mode}: {asked:?}"
                );
                assert_eq!(
                    site.checker.broken(ms(60_000)),
                    Vec::<String>::new(),
                    "{mode}"
                );
            });
        }
    });
}

/// Guards against a process in pushed mode that calls the service only in its first sweep. It counts
/// as notified of the service's list from its start.
#[test]
fn a_pushed_list_is_requested_before_the_process_reports_its_start() {
    // The listener answers nothing; a call waits in its queue.
    let service = TcpListener::bind("127.0.0.1:0").unwrap();
    service.set_nonblocking(true).unwrap();
    let checker = InvariantChecker::default();
    let hosts = Hosts::start(1, &checker);
    let mut node_config = node_config_of(hosts.members(), service.local_addr().unwrap());
    node_config["settings"]["registry_mode"] = json!("pushed");
    // Returns once the process has logged its first line.
    let _node = Node::start(&node_config);
    assert!(
        service.accept().is_ok(),
        "the process did not call the service"
    );
}

/// Guards against a node that receives every list of a slow service a few seconds late, and rejects all
/// clients until the next poll that its settings allow.
#[test]
fn clients_are_served_though_the_service_answers_after_the_call_timeout() {
    let service = Discovery::start();
    service.limit_rate(0.4, Duration::from_secs(600));
    let site = Site::with_poll_interval(service, "on_request", 1, 1000, 60_000.0);
    // The watch counts as failed: the slow service answers it long after its wait is over.
    site.nodes[0].wait_for_log("discovery call failed");
    let until = Instant::now() + ms(12_000);
    site.drain(0);
    let drained = Instant::now();
    site.load(until);
    let reached = site.checker.reached();
    let nth_second =
        |seconds: u64| drained + ms(1000 * seconds)..drained + ms(1000 * (seconds + 1));
    for seconds in 0..12 {
        let count = reached
            .iter()
            .filter(|one| nth_second(seconds).contains(&one.at))
            .count();
        assert!(
            count > 0,
            "no request reached a host {seconds} s after the watch failed"
        );
    }
    let late = reached.iter().filter(|one| {
        one.host == 0
            && one.at
                > drained + NOTIFICATION_TIMEOUT + DRAIN_GRACE + SOCKET_SLACK + BUSY_MACHINE_DELAY
    });
    assert_eq!(late.count(), 0, "attempts at a drained host");
}

/// Guards against a new process that serves clients by its configured list, and sends them to draining
/// hosts, while it waits for a pushed list longer than the drain grace. It counts as notified of the service's
/// list from its start.
#[test]
fn a_new_process_waits_for_a_pushed_list_before_it_starts_any_attempt() {
    let service = Discovery::start();
    // The service takes one second per call.
    service.limit_rate(1.0, Duration::from_secs(60));
    let checker = InvariantChecker::default();
    let hosts = Hosts::start(HOSTS, &checker);
    // All hosts but the last drain.
    (0..HOSTS - 1).for_each(|host| service.change(hosts.member(host, "leaving")));
    service.change(hosts.member(HOSTS - 1, "active"));
    let mut node_config = node_config_of(hosts.members(), service.address);
    node_config["settings"]["registry_mode"] = json!("pushed");
    node_config["settings"]["offerings"][0]["name"] = json!("free");
    let node = Node::start(&node_config);
    // Taken after the start, which may take long on a busy machine.
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
    let delays: Vec<Duration> = to_drained.iter().map(|one| one.at - started).collect();
    assert!(
        delays.is_empty(),
        "attempts at hosts that drained before the process started: {delays:?}, {:?}",
        node.drain_log()
    );
    assert_eq!(checker.broken(ms(60_000)), Vec::<String>::new());
    let served = reached
        .iter()
        .filter(|one| one.at > started + ms(1500))
        .count();
    assert!(
        served > 30,
        "only {served} requests served after the list had arrived"
    );
}

/// Guards against a new process that rejects all clients for seconds because its first call for a pushed list waits for a
/// change, though the list that it knows is current.
#[test]
fn a_new_process_whose_known_list_is_current_serves_at_once_in_pushed_mode() {
    const SPAN: Duration = Duration::from_secs(3);
    let site = Site::new("pushed", 1, 1);
    let started = Instant::now();
    let mut clients = Clients::new(vec![site.nodes[0].address], &site.checker, 1);
    clients.load(40.0, SPAN, &[0], ms(20));
    clients.end();
    let reached = site.checker.reached();
    for second in 0..SPAN.as_secs() {
        let span = started + ms(1000 * second)..started + ms(1000 * (second + 1));
        let count = reached.iter().filter(|one| span.contains(&one.at)).count();
        assert!(count > 20, "{count} requests served in second {second}");
    }
}

/// Guards against a new process that rejects all clients for as long as the discovery service is down or
/// silent.
#[test]
fn a_new_process_serves_soon_though_its_pushed_list_does_not_arrive() {
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
        let served_after = if hangs { ms(2500) } else { ms(200) };
        let reached = checker.reached();
        for from in [served_after, ms(3000)] {
            let within = |one: &&ObservedAttempt| {
                (started + from..started + from + ms(1000)).contains(&one.at)
            };
            let count = reached.iter().filter(within).count();
            assert!(
                count > 10,
                "hangs: {hangs}: {count} requests served in the second after {from:?}"
            );
        }
    }
}
