use super::*;
use crate::peers::eventually;
use std::thread;

const OPTIONS: FleetOptions = FleetOptions {
    warm_up: Duration::from_secs(10),
    warm_up_initial_share: 0.2,
    overload_window: Duration::from_secs(1),
    overload_factor: 3.0,
    max_poll_interval: Duration::from_secs(4),
    warm_capacity: 40.0,
};

/// Sends a request to a host as a node would, and returns the connection.
fn send_request(at: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(at).unwrap();
    stream.write_all(b"OPEN 1 2 c=chat\r\n").unwrap();
    stream
}

/// Guards against a checker that finds no violation whatever happens.
#[test]
fn an_overload_and_a_late_request_after_a_drain_are_found() {
    let hosts = WarmingHosts::new(OPTIONS);
    hosts.start(2, true);
    hosts.start(1, false);
    // A host that has just started can take two connections within a second; a warm one takes more.
    let _within_budget: Vec<TcpStream> = [0, 0, 2, 2, 2, 2]
        .map(|host| send_request(hosts.host(host).address))
        .into();
    eventually("six connections are open", || {
        hosts.open_connections(0..3) == 6
    });
    assert_eq!(hosts.violations(Duration::ZERO), Vec::<String>::new());
    let _flood: Vec<TcpStream> = (0..4)
        .map(|_| send_request(hosts.host(1).address))
        .collect();
    eventually("four connections arrived", || hosts.arrivals(1).len() == 4);
    hosts.note_drain(2);
    thread::sleep(DRAIN_GRACE + SOCKET_SLACK + Duration::from_millis(10));
    let _late = send_request(hosts.host(2).address);
    eventually("one connection arrived late", || {
        hosts.arrivals(2).len() == 5
    });
    let violations = hosts.violations(Duration::ZERO);
    assert_eq!(violations.len(), 2, "{violations:?}");
    assert!(
        violations[0].starts_with("rule 4: host 1")
            && violations[1].starts_with("rule 3: 1 reached host 2")
    );
}
