//! Processes of the program that keep records of each other's work in hand, some of which are killed or stand still: what
//! is irreversible reaches hosts once, as the hosts saw it.

use reedferry_testkit::fleet::{alone, Fleet, FleetOptions, IDEMPOTENCY_WINDOW};
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
const LIFE: Duration = Duration::from_secs(2);
const TERMS: FleetOptions = FleetOptions {
    full: 1e6,
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
    fn new(nodes: usize, idempotency: &'static str, wards: Option<Duration>) -> Site {
        let turn = alone();
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
        let mut fleet = Fleet::new(nodes, service.address, TERMS)
            .with_view(fleet_view)
            .class(idempotency, wards);
        fleet.start(&(0..nodes).collect::<Vec<_>>(), &[member], 1);
        assert!(fleet.agrees_within(PERIOD * 60).is_some());
        // Guardians that have just started have no voice.
        thread::sleep(wards.map_or(Duration::ZERO, |life| life + PERIOD));
        Site {
            _service: service,
            fleet,
            lines,
            _turn: turn,
        }
    }

    fn asks(&self, node: usize, key: usize, again: bool) -> Peer {
        let mut client = Peer::connect(self.fleet.nodes[node].as_ref().unwrap().address);
        let again = if again { ",again=1" } else { "" };
        client.say(&format!(
            "OPEN {:x} {:x} c=chat,t=acme,d=2000{again}",
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

    fn metric(&self, node: usize, name: &str) -> u64 {
        self.fleet
            .status(node)
            .and_then(|status| status["wards"][name].as_u64())
            .unwrap_or(0)
    }
}

/// Clients of two nodes that are killed while a host says nothing come again to others; gives how often each key's
/// line reached the host, and what they were told.
fn killed(site: &mut Site) -> (Vec<usize>, Vec<String>) {
    let keys = 0..40;
    let clients: Vec<Peer> = keys
        .clone()
        .map(|key| site.asks(key % 2, key, false))
        .collect();
    eventually("all stand at the host", || {
        keys.clone().all(|key| site.at_host(key) == 1)
    });
    site.fleet.kill(0, Duration::ZERO);
    site.fleet.kill(1, Duration::ZERO);
    let mut again: Vec<Peer> = keys
        .clone()
        .map(|key| site.asks(2 + key % 3, key, true))
        .collect();
    let told = again.iter_mut().map(Peer::hear).collect();
    drop(clients);
    (keys.map(|key| site.at_host(key)).collect(), told)
}

/// Guards: an effect that is had twice when the node that took an attachment dies.
#[test]
fn what_is_irreversible_is_not_sent_again_when_its_node_is_killed() {
    let mut site = Site::new(5, "single_shot", Some(LIFE));
    let (times, told) = killed(&mut site);
    assert!(times.iter().all(|times| *times == 1), "{times:?}");
    // Those of which two guardians died with their nodes are sent away until these have a voice again.
    let given_up: Vec<usize> = (0..40)
        .filter(|key| told[*key].starts_with("ERR"))
        .collect();
    assert!(
        given_up.len() >= 15
            && told
                .iter()
                .all(|l| l.starts_with("ERR") || l.starts_with("BUSY")),
        "{told:?}"
    );
    assert_eq!(
        (2..5)
            .map(|node| site.metric(node, "taken_over"))
            .sum::<u64>(),
        given_up.len() as u64
    );
    // It has had its answer: what its client brings next is another one.
    let key = given_up[0];
    let _next = site.asks(3, key, true);
    eventually("another one under the same key is served", || {
        site.at_host(key) == 2
    });
}

/// Guards: labelled work sent again when its hosts have forgotten the first, or not at all though they drop repeats.
#[test]
fn what_is_labelled_goes_on_at_the_next_node_within_its_window_alone() {
    let mut site = Site::new(5, "guarded", Some(LIFE));
    let clients: Vec<Peer> = (0..40).map(|key| site.asks(0, key, false)).collect();
    eventually("all stand at the host", || {
        (0..40).all(|key| site.at_host(key) == 1)
    });
    site.fleet.kill(0, Duration::ZERO);
    let soon: Vec<Peer> = (0..20)
        .map(|key| site.asks(1 + key % 4, key, true))
        .collect();
    eventually("those that come soon are sent again", || {
        (0..20).all(|key| site.at_host(key) == 2)
    });
    thread::sleep(IDEMPOTENCY_WINDOW);
    let mut late: Vec<Peer> = (20..40)
        .map(|key| site.asks(1 + key % 4, key, true))
        .collect();
    let told: Vec<String> = late.iter_mut().map(Peer::hear).collect();
    // Its circle is all hosts: it may be dismissed as well.
    assert!(
        told.iter()
            .all(|line| line.starts_with("ERR") || line.starts_with("BUSY")),
        "{told:?}"
    );
    assert!((20..40).all(|key| site.at_host(key) == 1));
    drop((clients, soon));
}

/// Guards: two majorities, of guardians by two rosters.
#[test]
fn while_rosters_differ_nothing_starts() {
    let mut site = Site::new(5, "single_shot", Some(LIFE));
    site.fleet.tells_of_places(0..1, 6, &[], 1);
    eventually("all know of it", || {
        let other = |node| {
            site.fleet
                .status(node)
                .is_some_and(|s| s["members"].to_string().contains("\"of\":6"))
        };
        (1..5).all(other)
    });
    let mut clients: Vec<Peer> = (0..10).map(|key| site.asks(key % 5, key, false)).collect();
    let told: Vec<String> = clients.iter_mut().map(Peer::hear).collect();
    assert!(told.iter().all(|line| line.starts_with("BUSY")), "{told:?}");
    assert!((0..10).all(|key| site.at_host(key) == 0));
}

/// Guards: a trial so tame that nothing is doubled whatever guards it.
#[test]
fn without_records_it_is_sent_again() {
    let mut site = Site::new(5, "single_shot", None);
    let (times, _) = killed(&mut site);
    assert!(
        times.iter().filter(|times| **times > 1).count() >= 20,
        "{times:?}"
    );
}

/// Guards: work that starts in a part that has lost the majority, and clients left to wait there.
#[test]
fn without_a_majority_it_is_sent_away_at_once_and_nothing_starts() {
    let mut site = Site::new(5, "single_shot", Some(LIFE));
    (0..4).for_each(|node| site.fleet.kill(node, Duration::ZERO));
    let mut clients: Vec<Peer> = (0..20).map(|key| site.asks(4, key, false)).collect();
    let told: Vec<String> = clients.iter_mut().map(Peer::hear).collect();
    assert!(
        told.iter().all(|line| line.starts_with("BUSY 1000")),
        "{told:?}"
    );
    assert!((0..20).all(|key| site.at_host(key) == 0) && site.metric(4, "turned_away") == 20);
}

/// Guards: a node that stood still and goes on with what another has taken up; and one key brought to two at once.
#[test]
fn one_that_stood_still_sends_nothing_and_of_two_at_once_one_does() {
    let mut site = Site::new(5, "single_shot", Some(LIFE));
    site.fleet.suspend(0);
    let old: Vec<Peer> = (0..20).map(|key| site.asks(0, key, false)).collect();
    let new: Vec<Peer> = (0..20)
        .map(|key| site.asks(1 + key % 4, key, true))
        .collect();
    eventually("all stand at the host", || {
        (0..20).all(|key| site.at_host(key) == 1)
    });
    site.fleet.unsuspend(0);
    let both: Vec<(Peer, Peer)> = (20..60)
        .map(|key| (site.asks(1, key, false), site.asks(2, key, false)))
        .collect();
    // Each of both is told something, or stands at the host, which gets no answer from there: the expiry ends it.
    thread::sleep(Duration::from_millis(2300));
    assert!(
        (0..60).all(|key| site.at_host(key) <= 1),
        "{:?}",
        site.lines.lock().unwrap()
    );
    assert!((20..60).filter(|key| site.at_host(*key) == 1).count() >= 20);
    drop((old, new, both));
}
