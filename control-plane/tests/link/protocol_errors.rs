//! Tests of peers that violate the protocol. Their connection is closed with one log line, and nothing else is
//! affected.

use crate::simulation::Simulation;
use reedferry::MILLI;
use reedferry_control_plane::codec::FrameWriter;
use reedferry_control_plane::messages::{ForwarderMessage, PlannerMessage};
use reedferry_control_plane::PlannerAction;

/// The number of a connection that no forwarder of the simulation uses.
const UNKNOWN_CONNECTION: u32 = 9999;

/// Returns byte sequences that are not valid greetings of this protocol version.
fn garbage() -> [Vec<u8>; 3] {
    let mut older_version = vec![8, 0, 0, 0];
    older_version.extend_from_slice(b"rfLK\0\0zz");
    [
        vec![0xff; 64],
        older_version,
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n".to_vec(),
    ]
}

#[test]
fn a_peer_that_sends_garbage_is_disconnected_alone_with_one_log_line() {
    for garbage in garbage() {
        let mut simulation = Simulation::new(2, 2, 3);
        simulation.run(200 * MILLI);
        let ids: Vec<u64> = (0..20).map(|n| simulation.add_client(n % 2, 0)).collect();
        simulation.run(50 * MILLI);
        // A planner receives garbage on a connection of an unknown peer.
        let (now, mut out) = (simulation.now, Vec::new());
        let core = simulation.planners[0].running();
        core.accept(now, UNKNOWN_CONNECTION, &mut out);
        core.receive(now, UNKNOWN_CONNECTION, &garbage, &mut out);
        core.receive(now, UNKNOWN_CONNECTION, &garbage, &mut out);
        let count = |wanted: fn(&PlannerAction) -> bool| out.iter().filter(|a| wanted(a)).count();
        assert_eq!(count(|a| matches!(a, PlannerAction::Log(_))), 1, "{out:?}");
        let disconnects = count(|a| {
            matches!(
                a,
                PlannerAction::Disconnect {
                    connection: UNKNOWN_CONNECTION
                }
            )
        });
        assert_eq!(disconnects, 1);
        core.connection_lost(UNKNOWN_CONNECTION, "cut", &mut out);
        // A forwarder receives garbage from the planner that it follows.
        let followed = simulation.followed_planner(0);
        for connection in simulation.connections(0, followed) {
            connection.to_forwarder.push_back((now, garbage.clone()));
        }
        simulation.run(10 * MILLI);
        assert_ne!(simulation.followed_planner(0), followed);
        let lost = simulation
            .logs
            .iter()
            .filter(|line| line.starts_with("planner connection lost"))
            .count();
        assert_eq!(lost, 1, "{:#?}", simulation.logs);
        assert!(ids.iter().all(|id| simulation.is_open(*id)));
    }
}

#[test]
fn frames_of_another_session_or_for_an_unsent_heartbeat_close_the_connection() {
    for unknown_heartbeat in [false, true] {
        let mut simulation = Simulation::new(1, 2, 2);
        simulation.run(200 * MILLI);
        let first = simulation.followed_planner(0);
        let now = simulation.now;
        let mut writer = FrameWriter::default();
        // The session number is not the random one of the session, sequence number 1 was used before, and the
        // heartbeat was never sent.
        let session = if unknown_heartbeat { 1 } else { 12345 };
        writer.append(session, u64::MAX, &PlannerMessage::ShuttingDown);
        writer.finish_frame();
        for connection in simulation.connections(0, first) {
            let bytes = writer.sendable().to_vec();
            connection.to_forwarder.push_back((now, bytes));
        }
        simulation.run(5 * MILLI);
        assert_ne!(simulation.followed_planner(0), first);
        let mut writer = FrameWriter::default();
        writer.append(777, 1, &ForwarderMessage::Unfollow);
        writer.finish_frame();
        let second = simulation.followed_planner(0);
        let now = simulation.now;
        for connection in simulation.connections(0, second) {
            let bytes = writer.sendable().to_vec();
            connection.to_planner.push_back((now, bytes));
        }
        simulation.run(5 * MILLI);
        let logs = &simulation.planners[second].logs;
        assert!(
            logs.iter()
                .any(|line| line.contains("why=frame of another session")),
            "{logs:?}"
        );
    }
}
