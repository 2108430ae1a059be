//! Nodes that replicate records of their requests, some of which are killed or suspended: a request that is not idempotent
//! reaches a host once, as the hosts observe it.

use reedferry_testkit::fleet::{one_test_at_a_time, Fleet, FleetOptions, IDEMPOTENCY_WINDOW};
use reedferry_testkit::fleet_view::FleetView;
use reedferry_testkit::network::FaultyNetwork;
use reedferry_testkit::{eventually, Discovery, Peer};
use serde_json::json;
use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

/// The gossip period.
const PERIOD: Duration = Duration::from_millis(100);
/// How long request records are kept.
const RETENTION: Duration = Duration::from_secs(2);
const OPTIONS: FleetOptions = FleetOptions {
    warm_capacity: 1e6,
    ..FleetOptions::TRIAL
};

/// The number of request lines of each key that reached the only host, which answers nothing.
type LineCounts = Arc<Mutex<HashMap<String, usize>>>;

/// A fleet whose nodes replicate request records, and one host that answers nothing.
struct Fixture {
    _service: Discovery,
    fleet: Fleet,
    line_counts: LineCounts,
    _turn: MutexGuard<'static, ()>,
}

impl Fixture {
    fn new(nodes: usize, idempotency: &'static str, retention: Option<Duration>) -> Fixture {
        let turn = one_test_at_a_time();
        let host = TcpListener::bind("127.0.0.1:0").unwrap();
        let member = json!({"id": "s-0", "host_port": host.local_addr().unwrap().to_string(), "locality": "a",
            "flavor": "m", "cell": 0, "phase": "active", "size": 1.0, "up_since_ms": 0});
        let line_counts = LineCounts::default();
        let counts = line_counts.clone();
        thread::spawn(move || {
            for stream in host.incoming().flatten() {
                let counts = counts.clone();
                thread::spawn(move || {
                    let mut line = String::new();
                    let mut reader = BufReader::new(stream);
                    while matches!(reader.read_line(&mut line), Ok(1..)) {
                        if let Some(key) = line
                            .strip_prefix("OPEN ")
                            .and_then(|rest| rest.split(' ').nth(1))
                        {
                            *counts.lock().unwrap().entry(key.to_string()).or_default() += 1;
                        }
                        line.clear();
                    }
                });
            }
        });
        let service = Discovery::start();
        service.change(member.clone());
        let fleet_view = FleetView {
            network: FaultyNetwork::new(nodes, 1),
            period: PERIOD,
            seeds: vec![0, 1, 2],
        };
        let mut fleet = Fleet::new(nodes, service.address, OPTIONS)
            .with_view(fleet_view)
            .with_effect(idempotency, retention);
        fleet.start(&(0..nodes).collect::<Vec<_>>(), &[member], 1);
        assert!(fleet.agrees_within(PERIOD * 60).is_some());
        // Replicas do not vote until the retention has passed since their start.
        thread::sleep(retention.map_or(Duration::ZERO, |retention| retention + PERIOD));
        Fixture {
            _service: service,
            fleet,
            line_counts,
            _turn: turn,
        }
    }

    /// Sends the request with this key to a node, as a first or a further attempt of its client.
    fn open(&self, node: usize, key: usize, is_retry: bool) -> Peer {
        let mut client = Peer::connect(self.fleet.nodes[node].as_ref().unwrap().address);
        let retry = if is_retry { ",again=1" } else { "" };
        client.send_line(&format!(
            "OPEN {:x} {:x} c=chat,t=acme,d=2000{retry}",
            0x1000 + key,
            0xa000 + key
        ));
        client
    }

    /// Returns how often the request with this key reached the host.
    fn sent_count(&self, key: usize) -> usize {
        self.line_counts
            .lock()
            .unwrap()
            .get(&format!("{:x}", 0xa000 + key))
            .copied()
            .unwrap_or(0)
    }

    /// Returns a counter of the replication on a node's status page, or 0 if the node gives none.
    fn counter(&self, node: usize, name: &str) -> u64 {
        self.fleet
            .status(node)
            .and_then(|status| status["wards"][name].as_u64())
            .unwrap_or(0)
    }
}

/// Kills two nodes while their requests wait for the host, and sends the requests to other nodes again. Returns how often each
/// key's line reached the host, and the answers to the retries.
fn kill_two_nodes(fixture: &mut Fixture) -> (Vec<usize>, Vec<String>) {
    let keys = 0..40;
    let clients: Vec<Peer> = keys
        .clone()
        .map(|key| fixture.open(key % 2, key, false))
        .collect();
    eventually("all requests are at the host", || {
        keys.clone().all(|key| fixture.sent_count(key) == 1)
    });
    fixture.fleet.kill(0, Duration::ZERO);
    fixture.fleet.kill(1, Duration::ZERO);
    let mut retries: Vec<Peer> = keys
        .clone()
        .map(|key| fixture.open(2 + key % 3, key, true))
        .collect();
    let answers = retries.iter_mut().map(Peer::receive_line).collect();
    drop(clients);
    (keys.map(|key| fixture.sent_count(key)).collect(), answers)
}

/// Guards against a request that is not idempotent and that runs twice when its node dies.
#[test]
fn a_request_that_is_not_idempotent_is_not_retried_when_its_node_is_killed() {
    let mut fixture = Fixture::new(5, "single_shot", Some(RETENTION));
    let (counts, answers) = kill_two_nodes(&mut fixture);
    assert!(counts.iter().all(|count| *count == 1), "{counts:?}");
    // Requests two of whose replicas were on the killed nodes are rejected until these replicas vote again.
    let failed: Vec<usize> = (0..40)
        .filter(|key| answers[*key].starts_with("ERR"))
        .collect();
    assert!(
        failed.len() >= 15
            && answers
                .iter()
                .all(|l| l.starts_with("ERR") || l.starts_with("BUSY")),
        "{answers:?}"
    );
    assert_eq!(
        (2..5)
            .map(|node| fixture.counter(node, "taken_over"))
            .sum::<u64>(),
        failed.len() as u64
    );
    // The answer ends the request: what the client sends next under the same key is a new one.
    let key = failed[0];
    let _next = fixture.open(3, key, true);
    eventually("a new request with the same key is sent", || {
        fixture.sent_count(key) == 2
    });
}

/// Guards against nodes that look for the record of one request under different keys, because they have numbered the
/// classes of their settings differently since a reload.
#[test]
fn after_a_reload_a_request_is_not_retried_when_its_node_is_killed() {
    let mut fixture = Fixture::new(3, "single_shot", Some(RETENTION));
    // A node with a request in flight keeps the old terms of the class for that request, and the others do not.
    let in_flight = fixture.open(0, 1000, false);
    eventually("the request is at the host", || {
        fixture.sent_count(1000) == 1
    });
    fixture.fleet.change_class_terms(450.0, &[], 1);
    for node in fixture.fleet.nodes.iter().flatten() {
        node.wait_for_log("configuration reloaded");
    }
    let clients: Vec<Peer> = (0..10).map(|key| fixture.open(0, key, false)).collect();
    eventually("all requests are at the host", || {
        (0..10).all(|key| fixture.sent_count(key) == 1)
    });
    fixture.fleet.kill(0, Duration::ZERO);
    let mut retries: Vec<Peer> = (0..10)
        .map(|key| fixture.open(1 + key % 2, key, true))
        .collect();
    let answers: Vec<String> = retries.iter_mut().map(Peer::receive_line).collect();
    assert!(
        answers.iter().all(|line| line.starts_with("ERR")),
        "{answers:?}"
    );
    assert!((0..10).all(|key| fixture.sent_count(key) == 1));
    drop((in_flight, clients));
}

/// Guards against a request with an idempotency key that is retried after its hosts have forgotten the first attempt, or that is not
/// retried while they drop duplicates.
#[test]
fn another_node_retries_a_request_with_an_idempotency_key_only_in_its_window() {
    let mut fixture = Fixture::new(5, "guarded", Some(RETENTION));
    let clients: Vec<Peer> = (0..40).map(|key| fixture.open(0, key, false)).collect();
    eventually("all requests are at the host", || {
        (0..40).all(|key| fixture.sent_count(key) == 1)
    });
    fixture.fleet.kill(0, Duration::ZERO);
    let soon: Vec<Peer> = (0..20)
        .map(|key| fixture.open(1 + key % 4, key, true))
        .collect();
    eventually("the retries within the window are sent", || {
        (0..20).all(|key| fixture.sent_count(key) == 2)
    });
    thread::sleep(IDEMPOTENCY_WINDOW);
    let mut late: Vec<Peer> = (20..40)
        .map(|key| fixture.open(1 + key % 4, key, true))
        .collect();
    let answers: Vec<String> = late.iter_mut().map(Peer::receive_line).collect();
    // The answer may also be BUSY, as the idempotency group is all hosts.
    assert!(
        answers
            .iter()
            .all(|line| line.starts_with("ERR") || line.starts_with("BUSY")),
        "{answers:?}"
    );
    assert!((20..40).all(|key| fixture.sent_count(key) == 1));
    drop((clients, soon));
}

/// Guards against two majorities, of replicas that assume different cluster sizes.
#[test]
fn no_request_starts_while_cluster_sizes_differ() {
    let mut fixture = Fixture::new(5, "single_shot", Some(RETENTION));
    fixture.fleet.resize_cluster(0..1, 6, &[], 1);
    eventually("all nodes know the other size", || {
        let other = |node| {
            fixture
                .fleet
                .status(node)
                .is_some_and(|s| s["members"].to_string().contains("\"of\":6"))
        };
        (1..5).all(other)
    });
    let mut clients: Vec<Peer> = (0..10)
        .map(|key| fixture.open(key % 5, key, false))
        .collect();
    let answers: Vec<String> = clients.iter_mut().map(Peer::receive_line).collect();
    assert!(
        answers.iter().all(|line| line.starts_with("BUSY")),
        "{answers:?}"
    );
    assert!((0..10).all(|key| fixture.sent_count(key) == 0));
}

/// Checks that the scenario of these tests duplicates requests if there is no replication.
#[test]
fn without_replication_a_request_is_retried_when_its_node_is_killed() {
    let mut fixture = Fixture::new(5, "single_shot", None);
    let (counts, _) = kill_two_nodes(&mut fixture);
    assert!(
        counts.iter().filter(|count| **count > 1).count() >= 20,
        "{counts:?}"
    );
}

/// Guards against requests that start without a majority of replicas, and clients that have to wait there.
#[test]
fn without_a_majority_requests_are_rejected_at_once_and_none_starts() {
    let mut fixture = Fixture::new(5, "single_shot", Some(RETENTION));
    (0..4).for_each(|node| fixture.fleet.kill(node, Duration::ZERO));
    let mut clients: Vec<Peer> = (0..20).map(|key| fixture.open(4, key, false)).collect();
    let answers: Vec<String> = clients.iter_mut().map(Peer::receive_line).collect();
    assert!(
        answers.iter().all(|line| line.starts_with("BUSY 1000")),
        "{answers:?}"
    );
    assert!(
        (0..20).all(|key| fixture.sent_count(key) == 0) && fixture.counter(4, "turned_away") == 20
    );
}

/// Guards against a suspended node that continues with requests that other nodes have taken over, and against two attempts of a
/// request that reaches two nodes at once.
#[test]
fn a_request_at_two_nodes_is_sent_at_most_once_even_if_one_was_suspended() {
    let mut fixture = Fixture::new(5, "single_shot", Some(RETENTION));
    fixture.fleet.suspend(0);
    let old: Vec<Peer> = (0..20).map(|key| fixture.open(0, key, false)).collect();
    let new: Vec<Peer> = (0..20)
        .map(|key| fixture.open(1 + key % 4, key, true))
        .collect();
    eventually("all requests are at the host", || {
        (0..20).all(|key| fixture.sent_count(key) == 1)
    });
    fixture.fleet.unsuspend(0);
    let both: Vec<(Peer, Peer)> = (20..60)
        .map(|key| (fixture.open(1, key, false), fixture.open(2, key, false)))
        .collect();
    // Each of these requests is rejected, or is sent to the host, which does not answer, until its expiry of 2 s.
    thread::sleep(Duration::from_millis(2300));
    assert!(
        (0..60).all(|key| fixture.sent_count(key) <= 1),
        "{:?}",
        fixture.line_counts.lock().unwrap()
    );
    assert!((20..60).filter(|key| fixture.sent_count(*key) == 1).count() >= 20);
    drop((old, new, both));
}
