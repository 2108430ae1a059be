use super::*;
use crate::peers::eventually;

const TERMS: FleetOptions = FleetOptions {
    cold: Duration::from_secs(10),
    warm_up_initial_share: 0.2,
    overload_window: Duration::from_secs(1),
    overload_factor: 3.0,
    max_poll_interval: Duration::from_secs(4),
    full: 40.0,
};

/// Asks at a host as a node would, and gives the connection.
fn asks(at: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(at).unwrap();
    stream.write_all(b"OPEN 1 2 c=chat\r\n").unwrap();
    stream
}

/// Guards: a referee that sees no broken rule whatever happens.
#[test]
fn planted_breaks_are_caught() {
    let hosts = WarmingHosts::new(TERMS);
    hosts.start(2, true);
    hosts.start(1, false);
    // Two within a second are what a host that has just started can take; a warm one takes more.
    let _well: Vec<TcpStream> = [0, 0, 2, 2, 2, 2]
        .map(|host| asks(hosts.at(host).address))
        .into();
    eventually("six stand", || hosts.standing(0..3) == 6);
    assert_eq!(hosts.broken(Duration::ZERO), Vec::<String>::new());
    let _flood: Vec<TcpStream> = (0..4).map(|_| asks(hosts.at(1).address)).collect();
    eventually("four came", || hosts.arrived(1).len() == 4);
    hosts.drains(2);
    thread::sleep(DRAIN_GRACE + SOCKET_SLACK + Duration::from_millis(10));
    let _late = asks(hosts.at(2).address);
    eventually("one came late", || hosts.arrived(2).len() == 5);
    let broken = hosts.broken(Duration::ZERO);
    assert_eq!(broken.len(), 2, "{broken:?}");
    assert!(
        broken[0].starts_with("rule 4: host 1")
            && broken[1].starts_with("rule 3: 1 came to host 2")
    );
}

/// Guards: clients left without an answer that nobody notices, and those of a node that died held against it.
#[test]
fn a_client_without_an_answer_is_noticed_unless_its_node_died() {
    let mute = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = mute.local_addr().unwrap();
    thread::spawn(move || {
        for stream in mute.incoming().flatten() {
            _ = BufReader::new(stream).read_line(&mut String::new());
        }
    });
    let mut fleet = Fleet {
        nodes: Vec::new(),
        front: Front::default(),
        program: PathBuf::new(),
        discovery: address,
        terms: TERMS,
        alone: false,
        probes: false,
        idempotency: "free",
        wards: None,
        places: 0,
        fleet_view: None,
        ended: Vec::new(),
    };
    fleet.front.takes_in(address);
    let mut returning_clients = ReturningClients::come(1, &fleet.front, Duration::ZERO, None, 1);
    eventually("it has asked twice", || {
        returning_clients.seen[0].lock().unwrap().asks.len() > 1
    });
    returning_clients.end();
    assert!(!fleet.broken(&returning_clients).is_empty());
    fleet.ended.push((address, Instant::now()));
    assert!(fleet.broken(&returning_clients).is_empty());
}
