//! Processes of the program that replicate records of their requests, some of which are killed or stall: a request that is
//! not idempotent reaches hosts once, as the hosts saw it.

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

const PERIOD: Duration = Duration::from_millis(100);
const RETENTION: Duration = Duration::from_secs(2);
const OPTIONS: FleetOptions = FleetOptions {
    warm_capacity: 1e6,
    ..FleetOptions::TRIAL
};

/// How often the lines of each key reached the one host there is, which says nothing to anyone.
type Lines = Arc<Mutex<HashMap<String, usize>>>;

struct Site {
    _service: Discovery,
    fleet: Fleet,
    lines: Lines,
    _turn: MutexGuard<'static, ()>,
}

impl Site {
    fn new(nodes: usize, idempotency: &'static str, retention: Option<Duration>) -> Site {
        let turn = one_test_at_a_time();
        let host = TcpListener::bind("127.0.0.1:0").unwrap();
        let member = json!({"id": "s-0", "host_port": host.local_addr().unwrap().to_string(), "locality": "a",
            "flavor": "m", "cell": 0, "phase": "active", "size": 1.0, "up_since_ms": 0});
        let lines = Lines::default();
        let seen = lines.clone();
        thread::spawn(move || {
            for stream in host.incoming().flatten() {
                let seen = seen.clone();
                thread::spawn(move || {
                    let mut line = String::new();
                    let mut reader = BufReader::new(stream);
                    while matches!(reader.read_line(&mut line), Ok(1..)) {
                        if let Some(key) = line
                            .strip_prefix("OPEN ")
                            .and_then(|rest| rest.split(' ').nth(1))
                        {
                            *seen.lock().unwrap().entry(key.to_string()).or_default() += 1;
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
        // Replicas that have just started do not vote.
        thread::sleep(retention.map_or(Duration::ZERO, |retention| retention + PERIOD));
        Site {
            _service: service,
            fleet,
            lines,
            _turn: turn,
        }
    }

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

    fn at_host(&self, key: usize) -> usize {
        self.lines
            .lock()
            .unwrap()
            .get(&format!("{:x}", 0xa000 + key))
            .copied()
            .unwrap_or(0)
    }

    fn counter(&self, node: usize, name: &str) -> u64 {
        self.fleet
            .status(node)
            .and_then(|status| status["wards"][name].as_u64())
            .unwrap_or(0)
    }
}

/// Clients of two nodes that are killed while a host says nothing come again to others; gives how often each key's
/// line reached the host, and what they were answered.
fn kill_two_nodes(site: &mut Site) -> (Vec<usize>, Vec<String>) {
    let keys = 0..40;
    let clients: Vec<Peer> = keys
        .clone()
        .map(|key| site.open(key % 2, key, false))
        .collect();
    eventually("all stand at the host", || {
        keys.clone().all(|key| site.at_host(key) == 1)
    });
    site.fleet.kill(0, Duration::ZERO);
    site.fleet.kill(1, Duration::ZERO);
    let mut retries: Vec<Peer> = keys
        .clone()
        .map(|key| site.open(2 + key % 3, key, true))
        .collect();
    let answers = retries.iter_mut().map(Peer::receive_line).collect();
    drop(clients);
    (keys.map(|key| site.at_host(key)).collect(), answers)
}

/// Prevents an effect that is had twice when the node that took a request dies.
#[test]
fn what_is_not_idempotent_is_not_retried_when_its_node_is_killed() {
    let mut site = Site::new(5, "single_shot", Some(RETENTION));
    let (times, answers) = kill_two_nodes(&mut site);
    assert!(times.iter().all(|times| *times == 1), "{times:?}");
    // Those of which two replicas died with their nodes are rejected until these vote again.
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
            .map(|node| site.counter(node, "taken_over"))
            .sum::<u64>(),
        failed.len() as u64
    );
    // It has had its answer: what its client brings next is another request.
    let key = failed[0];
    let _next = site.open(3, key, true);
    eventually("another one under the same key is served", || {
        site.at_host(key) == 2
    });
}

/// Prevents a request with an idempotency key retried when its hosts have forgotten the first attempt, or not at all though they drop
/// duplicates.
#[test]
fn a_request_with_an_idempotency_key_goes_on_at_the_next_node_within_its_window_alone() {
    let mut site = Site::new(5, "guarded", Some(RETENTION));
    let clients: Vec<Peer> = (0..40).map(|key| site.open(0, key, false)).collect();
    eventually("all stand at the host", || {
        (0..40).all(|key| site.at_host(key) == 1)
    });
    site.fleet.kill(0, Duration::ZERO);
    let soon: Vec<Peer> = (0..20)
        .map(|key| site.open(1 + key % 4, key, true))
        .collect();
    eventually("those that come soon are retried", || {
        (0..20).all(|key| site.at_host(key) == 2)
    });
    thread::sleep(IDEMPOTENCY_WINDOW);
    let mut late: Vec<Peer> = (20..40)
        .map(|key| site.open(1 + key % 4, key, true))
        .collect();
    let answers: Vec<String> = late.iter_mut().map(Peer::receive_line).collect();
    // Its idempotency group is all hosts: it may be rejected as well.
    assert!(
        answers
            .iter()
            .all(|line| line.starts_with("ERR") || line.starts_with("BUSY")),
        "{answers:?}"
    );
    assert!((20..40).all(|key| site.at_host(key) == 1));
    drop((clients, soon));
}

/// Prevents two majorities, of replicas by two cluster sizes.
#[test]
fn while_cluster_sizes_differ_nothing_starts() {
    let mut site = Site::new(5, "single_shot", Some(RETENTION));
    site.fleet.resize_cluster(0..1, 6, &[], 1);
    eventually("all know of it", || {
        let other = |node| {
            site.fleet
                .status(node)
                .is_some_and(|s| s["members"].to_string().contains("\"of\":6"))
        };
        (1..5).all(other)
    });
    let mut clients: Vec<Peer> = (0..10).map(|key| site.open(key % 5, key, false)).collect();
    let answers: Vec<String> = clients.iter_mut().map(Peer::receive_line).collect();
    assert!(
        answers.iter().all(|line| line.starts_with("BUSY")),
        "{answers:?}"
    );
    assert!((0..10).all(|key| site.at_host(key) == 0));
}

/// Prevents a test so tame that nothing is duplicated whatever prevents it.
#[test]
fn without_replication_it_is_retried() {
    let mut site = Site::new(5, "single_shot", None);
    let (times, _) = kill_two_nodes(&mut site);
    assert!(
        times.iter().filter(|times| **times > 1).count() >= 20,
        "{times:?}"
    );
}

/// Prevents requests that start in a partition that has lost the majority, and clients left to wait there.
#[test]
fn without_a_majority_it_is_rejected_at_once_and_nothing_starts() {
    let mut site = Site::new(5, "single_shot", Some(RETENTION));
    (0..4).for_each(|node| site.fleet.kill(node, Duration::ZERO));
    let mut clients: Vec<Peer> = (0..20).map(|key| site.open(4, key, false)).collect();
    let answers: Vec<String> = clients.iter_mut().map(Peer::receive_line).collect();
    assert!(
        answers.iter().all(|line| line.starts_with("BUSY 1000")),
        "{answers:?}"
    );
    assert!((0..20).all(|key| site.at_host(key) == 0) && site.counter(4, "turned_away") == 20);
}

/// Prevents a node that stalled and goes on with what another has taken over; and one key brought to two at once.
#[test]
fn a_node_that_stalled_sends_nothing_and_of_two_at_once_one_does() {
    let mut site = Site::new(5, "single_shot", Some(RETENTION));
    site.fleet.suspend(0);
    let old: Vec<Peer> = (0..20).map(|key| site.open(0, key, false)).collect();
    let new: Vec<Peer> = (0..20)
        .map(|key| site.open(1 + key % 4, key, true))
        .collect();
    eventually("all stand at the host", || {
        (0..20).all(|key| site.at_host(key) == 1)
    });
    site.fleet.unsuspend(0);
    let both: Vec<(Peer, Peer)> = (20..60)
        .map(|key| (site.open(1, key, false), site.open(2, key, false)))
        .collect();
    // Each of both is answered, or stands at the host, which gets no answer from there: the expiry ends it.
    thread::sleep(Duration::from_millis(2300));
    assert!(
        (0..60).all(|key| site.at_host(key) <= 1),
        "{:?}",
        site.lines.lock().unwrap()
    );
    assert!((20..60).filter(|key| site.at_host(*key) == 1).count() >= 20);
    drop((old, new, both));
}
