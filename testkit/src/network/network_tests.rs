use super::*;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Instant;

/// Prevents a fault that is set and does not happen, or happens in the other direction too.
#[test]
#[expect(clippy::too_many_lines, reason = "one case for each fault")]
fn each_fault_happens_on_the_wire_and_one_way_alone() {
    let network = FaultyNetwork::new(2, 1);
    let ends: Vec<UdpSocket> = network
        .process_addresses
        .iter()
        .map(|at| UdpSocket::bind(at).unwrap())
        .collect();
    ends.iter().for_each(|end| {
        end.set_read_timeout(Some(Duration::from_millis(200)))
            .unwrap();
    });
    let received = |end: usize| {
        let mut space = [0; 64];
        let came = ends[end].recv_from(&mut space);
        came.ok()
            .map(|(length, from)| (space[..length].to_vec(), from))
    };
    let passes = |link_faults: LinkFaults| {
        network.set_faults(|from, _| {
            if from == 0 {
                link_faults
            } else {
                LinkFaults::default()
            }
        });
        ends[0]
            .send_to(b"well met", network.public_addresses[1])
            .unwrap();
        let there = received(1);
        ends[1]
            .send_to(b"and you", network.public_addresses[0])
            .unwrap();
        assert_eq!(
            received(0),
            Some((b"and you".to_vec(), network.public_addresses[1])),
            "the way back is spoilt"
        );
        there
    };
    let well = LinkFaults::default();
    assert_eq!(
        passes(well),
        Some((b"well met".to_vec(), network.public_addresses[0]))
    );
    assert_eq!(passes(LinkFaults { cut: true, ..well }), None);
    assert_eq!(passes(LinkFaults { loss: 1.0, ..well }), None);
    let garbled = passes(LinkFaults {
        corrupt: 1.0,
        ..well
    })
    .unwrap()
    .0;
    assert!(garbled.len() == 8 && garbled != b"well met");
    assert!(
        passes(LinkFaults {
            truncate: 1.0,
            ..well
        })
        .unwrap()
        .0
        .len()
            < 8
    );
    let from = Instant::now();
    let late = (0..8)
        .map(|_| {
            passes(LinkFaults {
                delay: Duration::from_millis(40),
                ..well
            })
        })
        .filter(Option::is_some)
        .count();
    assert!(
        late == 8 && from.elapsed() >= Duration::from_millis(40),
        "nothing was held up"
    );
    passes(LinkFaults {
        duplicate: 1.0,
        ..well
    })
    .unwrap();
    assert!(received(1).is_some(), "not doubled");
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

/// A connection from one process's address to the other's face.
fn connect(network: &FaultyNetwork, from: usize, to: usize) -> TcpStream {
    use rustix::net::{bind, connect, socket, AddressFamily, SocketType};
    let end = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    bind(
        &end,
        &SocketAddr::new(network.process_addresses[from].ip(), 0),
    )
    .unwrap();
    connect(&end, &network.public_addresses[to]).unwrap();
    let end = TcpStream::from(end);
    end.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    end
}

/// Prevents connections between processes that faults pass by, or that lose what they are to carry whole.
#[test]
#[expect(clippy::too_many_lines, reason = "one case for each fault")]
fn connections_pass_whole_and_are_cut_held_up_garbled_and_cut_short() {
    let network = FaultyNetwork::new(2, 2);
    let door = TcpListener::bind(network.process_addresses[1]).unwrap();
    let both = || (connect(&network, 0, 1), door.accept().unwrap().0);
    let (mut near, mut far) = both();
    let long: Vec<u8> = (0..300_000u32).map(|n| n as u8).collect();
    let sent = long.clone();
    let writes = std::thread::spawn(move || {
        near.write_all(&sent).unwrap();
        near.shutdown(Shutdown::Write).unwrap();
        let mut answer = String::new();
        near.read_to_string(&mut answer).unwrap();
        answer
    });
    let mut came = Vec::new();
    far.read_to_end(&mut came).unwrap();
    assert!(came == long, "{} of {} bytes", came.len(), long.len());
    far.write_all(b"thanks").unwrap();
    drop(far);
    assert_eq!(writes.join().unwrap(), "thanks");
    let injected = |link_faults: LinkFaults| {
        network.set_faults(|from, _| {
            if from == 0 {
                link_faults
            } else {
                LinkFaults::default()
            }
        });
    };
    let (mut near, mut far) = both();
    injected(LinkFaults {
        cut: true,
        ..LinkFaults::default()
    });
    near.write_all(b"one").unwrap();
    far.set_read_timeout(Some(Duration::from_millis(150)))
        .unwrap();
    let mut space = [0; 8];
    assert!(far.read(&mut space).is_err(), "a cut way carries");
    injected(LinkFaults {
        delay: Duration::from_millis(30),
        ..LinkFaults::default()
    });
    assert_eq!(far.read(&mut space).unwrap(), 3);
    injected(LinkFaults {
        corrupt: 1.0,
        ..LinkFaults::default()
    });
    near.write_all(b"two").unwrap();
    assert!(far.read(&mut space).unwrap() == 3 && &space[..3] != b"two");
    injected(LinkFaults {
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
