use super::host_table::MAX_HOSTS;
use super::*;
use crate::codec::FrameWriter;
use crate::messages::{HostEntry, PlannerMessage, Welcome, WireHostState};
use reedferry::{BalancerSettings, RequestClass, MILLI};

const SESSION: u64 = 5;

fn config() -> ForwarderConfig {
    ForwarderConfig {
        name: "f".into(),
        balancer_settings: BalancerSettings {
            classes: vec![RequestClass::default()],
            ..BalancerSettings::default()
        },
        fingerprint: 1,
        epoch: 1,
        lease: 250 * MILLI,
        decision_timeout: 400 * MILLI,
        max_awaiting_decision: 9,
        failback_delay: SECOND,
    }
}

fn planner() -> PlannerAddress {
    PlannerAddress {
        name: "p".into(),
        address: ([127, 0, 0, 1], 1).into(),
    }
}

fn host_message(id: u64, state: WireHostState, list_version: u64) -> PlannerMessage {
    PlannerMessage::Host(HostEntry {
        id,
        name: "x".into(),
        address: None,
        state,
        list_version,
    })
}

#[test]
fn hosts_that_are_gone_do_not_count_towards_the_host_limit() {
    let mut forwarder = Forwarder::new(config(), vec![planner()], 1, SECOND);
    let (mut actions, mut writer) = (Vec::new(), FrameWriter::default());
    forwarder.tick(SECOND, &mut actions);
    forwarder.connected(1);
    writer.append_greeting(&Welcome::Session(SESSION));
    // 70,000 hosts appear and go, which is more than the table has room for, 5,000 at a time.
    for batch in 0..14 {
        for id in batch * 5_000..(batch + 1) * 5_000 {
            for state in [WireHostState::Ready, WireHostState::Gone] {
                writer.append(SESSION, 0, &host_message(id, state, id));
            }
        }
        writer.finish_frame();
        let bytes = writer.sendable().to_vec();
        writer.mark_sent(bytes.len());
        forwarder.receive((batch + 1) * 11 * SECOND, 1, &bytes, &mut actions);
    }
    assert!(!actions
        .iter()
        .any(|action| matches!(action, ForwarderAction::DisconnectPlanner { .. })));
    assert!(forwarder.hosts.is_empty());
    // One host more than the limit at once closes the connection.
    let mut writer = FrameWriter::default();
    writer.append_greeting(&Welcome::Session(SESSION));
    let mut forwarder = Forwarder {
        sessions: Vec::new(),
        ..forwarder
    };
    forwarder.set_planners(SECOND, vec![planner()], &mut actions);
    actions.clear();
    forwarder.tick(SECOND, &mut actions);
    for id in 0..=MAX_HOSTS as u64 {
        writer.append(SESSION, 0, &host_message(id, WireHostState::Ready, 1 << 40));
    }
    writer.finish_frame();
    forwarder.receive(SECOND, 2, writer.sendable(), &mut actions);
    assert!(actions
        .iter()
        .any(|action| matches!(action, ForwarderAction::DisconnectPlanner { connection: 2 })));
}
