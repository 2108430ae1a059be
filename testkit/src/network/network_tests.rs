use super::*;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Instant;

/// Guards against a fault that is set and does not happen, or that also happens in the other direction.
#[test]
#[expect(clippy::too_many_lines, reason = "one case for each fault")]
fn each_fault_affects_datagrams_of_its_direction_only() {
    let network = FaultyNetwork::new(2, 1);
    let sockets: Vec<UdpSocket> = network
        .process_addresses
        .iter()
        .map(|at| UdpSocket::bind(at).unwrap())
        .collect();
    sockets.iter().for_each(|socket| {
        socket
            .set_read_timeout(Some(Duration::from_millis(200)))
            .unwrap();
    });
    let receive = |end: usize| {
        let mut buffer = [0; 64];
        let datagram = sockets[end].recv_from(&mut buffer);
        datagram
            .ok()
            .map(|(length, from)| (buffer[..length].to_vec(), from))
    };
    let send_with = |link_faults: LinkFaults| {
        network.set_faults(|from, _| {
            if from == 0 {
                link_faults
            } else {
                LinkFaults::default()
            }
        });
        sockets[0]
            .send_to(b"datagram", network.public_addresses[1])
            .unwrap();
        let delivered = receive(1);
        sockets[1]
            .send_to(b"reply", network.public_addresses[0])
            .unwrap();
        assert_eq!(
            receive(0),
            Some((b"reply".to_vec(), network.public_addresses[1])),
            "the other direction has a fault"
        );
        delivered
    };
    let no_faults = LinkFaults::default();
    assert_eq!(
        send_with(no_faults),
        Some((b"datagram".to_vec(), network.public_addresses[0]))
    );
    assert_eq!(
        send_with(LinkFaults {
            cut: true,
            ..no_faults
        }),
        None
    );
    assert_eq!(
        send_with(LinkFaults {
            loss: 1.0,
            ..no_faults
        }),
        None
    );
    let corrupted = send_with(LinkFaults {
        corrupt: 1.0,
        ..no_faults
    })
    .unwrap()
    .0;
    assert!(corrupted.len() == 8 && corrupted != b"datagram");
    assert!(
        send_with(LinkFaults {
            truncate: 1.0,
            ..no_faults
        })
        .unwrap()
        .0
        .len()
            < 8
    );
    let start = Instant::now();
    let delivered = (0..8)
        .map(|_| {
            send_with(LinkFaults {
                delay: Duration::from_millis(40),
                ..no_faults
            })
        })
        .filter(Option::is_some)
        .count();
    assert!(
        delivered == 8 && start.elapsed() >= Duration::from_millis(40),
        "no datagram was delayed"
    );
    send_with(LinkFaults {
        duplicate: 1.0,
        ..no_faults
    })
    .unwrap();
    assert!(receive(1).is_some(), "the datagram was not duplicated");
    let traffic = network.traffic();
    assert_eq!(
        (
            traffic.lost,
            traffic.duplicated,
            traffic.corrupted,
            traffic.truncated,
            traffic.delayed
        ),
        (2, 1, 1, 1, 8)
    );
    assert_eq!(traffic.sent, [14, 14]);
}

/// Connects from the address of one process to the public address of another.
fn connect(network: &FaultyNetwork, from: usize, to: usize) -> TcpStream {
    use rustix::net::{bind, connect, socket, AddressFamily, SocketType};
    let stream = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    bind(
        &stream,
        &SocketAddr::new(network.process_addresses[from].ip(), 0),
    )
    .unwrap();
    connect(&stream, &network.public_addresses[to]).unwrap();
    let stream = TcpStream::from(stream);
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    stream
}

/// Guards against connections that faults do not affect, and against lost or changed bytes on those without faults.
#[test]
#[expect(clippy::too_many_lines, reason = "one case for each fault")]
fn each_fault_affects_connections_and_others_pass_all_bytes() {
    let network = FaultyNetwork::new(2, 2);
    let listener = TcpListener::bind(network.process_addresses[1]).unwrap();
    let open_connection = || (connect(&network, 0, 1), listener.accept().unwrap().0);
    let (mut near, mut far) = open_connection();
    let long: Vec<u8> = (0..300_000u32).map(|n| n as u8).collect();
    let sent = long.clone();
    let writer = std::thread::spawn(move || {
        near.write_all(&sent).unwrap();
        near.shutdown(Shutdown::Write).unwrap();
        let mut answer = String::new();
        near.read_to_string(&mut answer).unwrap();
        answer
    });
    let mut received = Vec::new();
    far.read_to_end(&mut received).unwrap();
    assert!(
        received == long,
        "{} of {} bytes",
        received.len(),
        long.len()
    );
    far.write_all(b"thanks").unwrap();
    drop(far);
    assert_eq!(writer.join().unwrap(), "thanks");
    let set_faults = |link_faults: LinkFaults| {
        network.set_faults(|from, _| {
            if from == 0 {
                link_faults
            } else {
                LinkFaults::default()
            }
        });
    };
    let (mut near, mut far) = open_connection();
    set_faults(LinkFaults {
        cut: true,
        ..LinkFaults::default()
    });
    near.write_all(b"one").unwrap();
    far.set_read_timeout(Some(Duration::from_millis(150)))
        .unwrap();
    let mut buffer = [0; 8];
    assert!(far.read(&mut buffer).is_err(), "a cut link passes bytes");
    set_faults(LinkFaults {
        delay: Duration::from_millis(30),
        ..LinkFaults::default()
    });
    assert_eq!(far.read(&mut buffer).unwrap(), 3);
    set_faults(LinkFaults {
        corrupt: 1.0,
        ..LinkFaults::default()
    });
    near.write_all(b"two").unwrap();
    assert!(far.read(&mut buffer).unwrap() == 3 && &buffer[..3] != b"two");
    set_faults(LinkFaults {
        truncate: 1.0,
        ..LinkFaults::default()
    });
    near.write_all(b"three").unwrap();
    let mut rest = Vec::new();
    assert!(
        far.read_to_end(&mut rest).is_ok() && rest == b"th",
        "{rest:?}"
    );
    let traffic = network.traffic();
    assert!(traffic.delayed >= 1 && traffic.corrupted == 1 && traffic.truncated == 1);
}
