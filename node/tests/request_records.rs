//! Nodes with request records in the order of events that the records have to stand: hosts that reject, links that are
//! cut, answers that are lost and clients that come again late. What ran is judged by what the hosts saw.

use reedferry_testkit::fleet::{one_test_at_a_time, Fleet, FleetOptions};
use reedferry_testkit::fleet_view::FleetView;
use reedferry_testkit::network::FaultyNetwork;
use reedferry_testkit::{eventually, Discovery, Peer};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

const NODES: usize = 3;
/// The gossip period.
const PERIOD: Duration = Duration::from_millis(100);
/// How long request records are kept.
const RETENTION: Duration = Duration::from_secs(2);
const OPTIONS: FleetOptions = FleetOptions {
    warm_capacity: 1e6,
    ..FleetOptions::TRIAL
};

/// The host that rejects requests if one does.
const REJECTING_HOST: usize = 0;

/// The key whose requests get no answer if hosts are silent to one key.
const SLOW_KEY: usize = 0xb00;

/// What the hosts do with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behavior {
    /// All hosts accept all requests.
    Accepts,
    /// All hosts answer nothing to [`SLOW_KEY`], and accept all other requests.
    SilentToOneKey,
    /// One host rejects each request once it is told to; the others answer nothing.
    OneRejects,
}

/// What the hosts have seen, and what they do.
struct HostState {
    behavior: Behavior,
    /// Whether requests that wait for their rejection are rejected now.
    may_reject: bool,
    /// The hosts that each key reached, in order.
    lines: HashMap<String, Vec<usize>>,
}

type SharedHostState = Arc<(Mutex<HostState>, Condvar)>;

/// Handles one connection of a host.
fn serve(host: usize, stream: TcpStream, shared: &SharedHostState) {
    let (state, changed) = &**shared;
    let mut writer = stream.try_clone().unwrap();
    for line in BufReader::new(stream).lines().map_while(Result::ok) {
        let Some(key) = line
            .strip_prefix("OPEN ")
            .and_then(|rest| rest.split(' ').nth(1))
        else {
            continue;
        };
        let mut state = state.lock().unwrap();
        state.lines.entry(key.to_string()).or_default().push(host);
        let answer = match state.behavior {
            Behavior::OneRejects if host == REJECTING_HOST => {
                drop(changed.wait_while(state, |state| !state.may_reject));
                "BUSY\r\n"
            }
            Behavior::Accepts => "UP 77aa\r\n",
            Behavior::SilentToOneKey if key != format!("{SLOW_KEY:x}") => "UP 77aa\r\n",
            _ => continue,
        };
        _ = writer.write_all(answer.as_bytes());
    }
}

fn start_host(host: usize, shared: &SharedHostState) -> Value {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let shared = shared.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let shared = shared.clone();
            thread::spawn(move || serve(host, stream, &shared));
        }
    });
    json!({"id": format!("s-{host}"), "host_port": address, "locality": "a", "flavor": "m", "cell": host,
        "phase": "active", "size": 1.0, "up_since_ms": 0})
}

/// A fleet whose nodes replicate request records, and hosts of one cell each.
struct Fixture {
    fleet: Fleet,
    hosts: SharedHostState,
    _service: Discovery,
    _turn: MutexGuard<'static, ()>,
}

impl Fixture {
    fn new(hosts: usize, behavior: Behavior, configure: impl Fn(Fleet) -> Fleet) -> Fixture {
        let turn = one_test_at_a_time();
        let state = HostState {
            behavior,
            may_reject: false,
            lines: HashMap::new(),
        };
        let shared: SharedHostState = Arc::new((Mutex::new(state), Condvar::new()));
        let members: Vec<Value> = (0..hosts).map(|host| start_host(host, &shared)).collect();
        let service = Discovery::start();
        members
            .iter()
            .for_each(|member| service.change(member.clone()));
        let fleet_view = FleetView {
            network: FaultyNetwork::new(NODES, 1),
            period: PERIOD,
            seeds: (0..NODES).collect(),
        };
        let fleet = Fleet::new(NODES, service.address, OPTIONS).with_view(fleet_view);
        let mut fleet = configure(fleet);
        let nodes: Vec<usize> = (0..NODES).collect();
        fleet.start(&nodes, &members, hosts as u64);
        assert!(fleet.agrees_within(PERIOD * 60).is_some());
        let fixture = Fixture {
            fleet,
            hosts: shared,
            _service: service,
            _turn: turn,
        };
        eventually("all replicas vote", || {
            (0..NODES).all(|node| fixture.status(node)["votes"] == true)
        });
        fixture
    }

    /// Sends a request to a node with this id and key, and with these further fields.
    fn open(&self, node: usize, id: usize, key: usize, fields: &str) -> Peer {
        let mut client = Peer::connect(self.fleet.nodes[node].as_ref().unwrap().address);
        client.send_line(&format!("OPEN {id:x} {key:x} c=chat,t=acme,{fields}"));
        client
    }

    /// Returns the hosts that a key reached, in order.
    fn hosts_of(&self, key: usize) -> Vec<usize> {
        let state = self.hosts.0.lock().unwrap();
        let hosts = state.lines.get(&format!("{key:x}"));
        hosts.cloned().unwrap_or_default()
    }

    /// Rejects the requests that wait for it.
    fn reject_waiting(&self) {
        self.hosts.0.lock().unwrap().may_reject = true;
        self.hosts.1.notify_all();
    }

    /// Returns what a node's status page says of its request records.
    fn status(&self, node: usize) -> Value {
        self.fleet
            .status(node)
            .map_or(Value::Null, |status| status["wards"].clone())
    }
}

/// Guards against a node that takes a request over and believes the older of two records of one owner: the request would
/// go to the cell of an attempt that never ran, and run in two cells.
#[test]
fn a_request_taken_over_goes_on_in_the_cell_of_its_last_attempt() {
    let mut fixture = Fixture::new(3, Behavior::OneRejects, |fleet| {
        fleet
            .with_effect("guarded", Some(RETENTION))
            .with_idempotency_group("cell")
    });
    let keys: Vec<usize> = (0xa00..0xa0c).collect();
    let _clients: Vec<Peer> = keys
        .iter()
        .map(|&key| fixture.open(0, 0x1000 + key, key, "d=2000"))
        .collect();
    eventually("the first attempts are at hosts", || {
        keys.iter().all(|&key| !fixture.hosts_of(key).is_empty())
    });
    let is_rejected = |key: &usize| fixture.hosts_of(*key)[0] == REJECTING_HOST;
    let rejected: Vec<usize> = keys.iter().copied().filter(is_rejected).collect();
    assert!(!rejected.is_empty());
    // Node 2 has the records of the first attempts, and does not get those of the second ones.
    let network = &fixture.fleet.fleet_view().network;
    network.change_faults(|from, to, faults| faults.cut = from + to == 2 && from != to);
    fixture.reject_waiting();
    let have_reached = |fixture: &Fixture, count| {
        let mut lines = rejected.iter().map(|&key| fixture.hosts_of(key).len());
        lines.all(|lines| lines >= count)
    };
    eventually("the second attempts are at hosts", || {
        have_reached(&fixture, 2)
    });
    fixture.fleet.kill(0, Duration::ZERO);
    fixture.fleet.fleet_view().network.heal();
    let _retries: Vec<Peer> = rejected
        .iter()
        .map(|&key| fixture.open(2, 0x2000 + key, key, "d=2000,r=1"))
        .collect();
    eventually("the retries are at hosts", || have_reached(&fixture, 3));
    for key in rejected {
        let hosts = fixture.hosts_of(key);
        let cell = hosts[1];
        assert!(
            hosts[1..].iter().all(|host| *host == cell),
            "key {key:x} ran in several cells: {hosts:?}"
        );
    }
}

/// Guards against a record that ends while its attempt is still in flight, or before its client has had the whole
/// retention to come again: the request would run again at the next node.
#[test]
fn a_record_outlives_an_attempt_that_takes_longer_than_the_retention() {
    const SHORT_RETENTION: Duration = Duration::from_secs(1);
    const KEY: usize = SLOW_KEY;
    let mut fixture = Fixture::new(1, Behavior::SilentToOneKey, |fleet| {
        fleet.with_effect("single_shot", Some(SHORT_RETENTION))
    });
    let sent_at = Instant::now();
    let _client = fixture.open(0, 0x1000, KEY, "d=2000");
    eventually("the request is at the host", || {
        fixture.hosts_of(KEY).len() == 1
    });
    // The other nodes have their usual traffic meanwhile, so that they drop what has expired.
    let mut others = 0;
    while sent_at.elapsed() < SHORT_RETENTION + Duration::from_millis(700) {
        let mut other = fixture.open(1 + others % 2, 0x2000 + others, 0xc00 + others, "d=500");
        others += usize::from(other.receive_line().starts_with("UP"));
    }
    assert!(others > 0);
    fixture.fleet.kill(0, Duration::ZERO);
    let mut retry = fixture.open(1, 0x1001, KEY, "d=2000,r=1");
    let answer = retry.receive_line();
    assert!(answer.starts_with("ERR"), "{answer}");
    assert_eq!(fixture.hosts_of(KEY).len(), 1);
}

/// Guards against a client that waits for a majority of replicas until its time is over, and is answered after it.
#[test]
fn a_request_is_answered_in_its_time_though_no_majority_answers_for_longer() {
    const TIME_LEFT: Duration = Duration::from_millis(400);
    /// The slack that the pages give on sockets, and the delay that a busy machine may add.
    const SLACK: Duration = Duration::from_millis(50 + 50);
    let mut fixture = Fixture::new(1, Behavior::SilentToOneKey, |fleet| {
        fleet
            .with_effect("single_shot", Some(RETENTION))
            .with_majority_timeout(Duration::from_secs(1))
    });
    fixture.fleet.suspend(1);
    fixture.fleet.suspend(2);
    for n in 0..5 {
        let sent_at = Instant::now();
        let mut client = fixture.open(0, 0x1000 + n, 0xd00 + n, "d=400");
        let answer = client.receive_line();
        let waited = sent_at.elapsed();
        assert!(answer.starts_with("BUSY"), "{answer}");
        assert!(waited < TIME_LEFT + SLACK, "answered after {waited:?}");
        assert!(fixture.hosts_of(0xd00 + n).is_empty());
    }
}

/// Guards against a node that keeps the records of others for ever, or full of expired ones rejects new records, because
/// it has no requests of its own.
#[test]
fn records_are_dropped_at_nodes_without_requests_of_their_own() {
    const KEYS: std::ops::Range<usize> = 0xe00..0xe10;
    let fixture = Fixture::new(1, Behavior::SilentToOneKey, |fleet| {
        fleet.with_effect("single_shot", Some(RETENTION))
    });
    for key in KEYS {
        let answer = fixture.open(0, 0x1000 + key, key, "d=500").receive_line();
        assert!(answer.starts_with("UP"), "{answer}");
    }
    let records_at = |node| fixture.status(node)["kept_for_others"].as_u64().unwrap();
    assert!((1..NODES).all(|node| records_at(node) > 0));
    let kept_since = Instant::now();
    eventually("the records are dropped", || {
        (1..NODES).all(|node| records_at(node) == 0)
    });
    assert!(kept_since.elapsed() < 2 * RETENTION);
}

/// Opens a request at node 0 that its host accepts, and returns the client, which has not sent anything after that.
fn open_accepted(fixture: &Fixture, id: usize, key: usize) -> Peer {
    let mut client = fixture.open(0, id, key, "d=1000");
    client.expect_line("UP 77aa");
    client
}

/// Waits until a node holds no request, and so has sent on that all are over.
fn wait_until_over(fixture: &Fixture, node: usize) {
    eventually("the requests are over", || {
        fixture.status(node)["held"] == 0
    });
}

/// Guards against a request that must not run twice and whose record is closed when a host accepts it: a client that
/// has been cut off from its node never gets the answer, and sends the request again.
#[test]
fn a_request_whose_answer_may_be_lost_does_not_run_again() {
    let fixture = Fixture::new(1, Behavior::Accepts, |fleet| {
        fleet.with_effect("single_shot", Some(RETENTION))
    });
    let retry = |key: usize| {
        let node = key % NODES;
        fixture.open(node, 0x2000 + key, key, "d=1000,r=1")
    };
    for key in 0xf00..0xf0c {
        let silent = open_accepted(&fixture, 0x1000 + key, key);
        let answer = retry(key).receive_line();
        assert!(answer.starts_with("ERR"), "{answer}");
        assert_eq!(fixture.hosts_of(key).len(), 1);
        drop(silent);
    }
    // These clients leave without having read the answer.
    for key in 0xf10..0xf1c {
        let client = fixture.open(0, 0x1000 + key, key, "d=1000");
        eventually("the request is at the host", || {
            fixture.hosts_of(key).len() == 1
        });
        drop(client);
        let answer = retry(key).receive_line();
        assert!(answer.starts_with("ERR"), "{answer}");
        assert_eq!(fixture.hosts_of(key).len(), 1);
    }
}

/// Guards against a request that must not run twice and whose record is closed by an error that its client never gets.
#[test]
fn a_request_whose_error_may_be_lost_does_not_run_again() {
    const KEY: usize = SLOW_KEY;
    let fixture = Fixture::new(1, Behavior::SilentToOneKey, |fleet| {
        fleet.with_effect("single_shot", Some(RETENTION))
    });
    let mut client = fixture.open(0, 0x1000, KEY, "d=500");
    client.expect_line("ERR");
    let answer = fixture.open(1, 0x2000, KEY, "d=500,r=1").receive_line();
    assert!(answer.starts_with("ERR"), "{answer}");
    assert_eq!(fixture.hosts_of(KEY).len(), 1);
}

/// Guards against a request with an idempotency key that leaves the cell of its host when its answer is lost.
#[test]
fn a_request_whose_answer_may_be_lost_is_repeated_in_its_cell_alone() {
    let fixture = Fixture::new(4, Behavior::Accepts, |fleet| {
        fleet
            .with_effect("guarded", Some(RETENTION))
            .with_idempotency_group("cell")
    });
    for key in 0xf00..0xf0a {
        let _client = open_accepted(&fixture, 0x1000 + key, key);
        let mut retry = fixture.open(1 + key % 2, 0x2000 + key, key, "d=1000,r=1");
        retry.expect_line("UP 77aa");
        let hosts = fixture.hosts_of(key);
        assert_eq!(hosts.len(), 2);
        assert_eq!(hosts[0], hosts[1], "key {key:x} ran in two cells");
    }
}

/// Guards against a key that stays taken though its client has the answer: clients use one key for all their requests.
#[test]
fn a_key_is_new_once_its_client_is_known_to_have_the_answer() {
    let fixture = Fixture::new(1, Behavior::Accepts, |fleet| {
        fleet.with_effect("single_shot", Some(RETENTION))
    });
    // A client that sends a line after the answer has it.
    const TALKING: usize = 0xf10;
    let mut talking = open_accepted(&fixture, 0x1000, TALKING);
    talking.send_line("a line");
    wait_until_over(&fixture, 0);
    let answer = fixture.open(1, 0x2000, TALKING, "d=1000").receive_line();
    assert_eq!(answer, "UP 77aa");
    // So has one that ends its connection in order.
    const LEAVING: usize = 0xf11;
    drop(open_accepted(&fixture, 0x1001, LEAVING));
    wait_until_over(&fixture, 0);
    let answer = fixture.open(2, 0x2001, LEAVING, "d=1000").receive_line();
    assert_eq!(answer, "UP 77aa");
    assert_eq!(fixture.hosts_of(LEAVING).len(), 2);
}
