use super::inbound::STATE_SYNC_TIMEOUT;
use super::*;
use crate::codec::{self, FrameReader, FrameWriter};
use crate::messages::{
    ForwarderMessage, Hello, PlacementRequest, PlannerMessage, PriorAttempts, WireHostState,
};
use reedferry::{HostId, HostState, RequestClass};

const START: Nanos = 1_000 * SECOND;
const CONNECTION: u32 = 1;

const REQUEST: PlacementRequest = PlacementRequest {
    class: 0,
    key: None,
    group: None,
    usual_load: None,
    time_left: SECOND,
};

/// The request of a connection that was already open when it was reported.
const OPEN_REQUEST: PlacementRequest = PlacementRequest {
    time_left: 0,
    ..REQUEST
};

/// A planner with one forwarder that follows it.
struct LinkedPlanner {
    planner: Planner,
    writer: FrameWriter,
    reader: FrameReader,
    session: u64,
}

fn ready_host(id: u64, started: Option<Nanos>) -> (Endpoint, HostEntry) {
    let endpoint = Endpoint {
        id: HostId(id),
        state: HostState::Ready,
        size: 1.0,
        started,
        ..Endpoint::default()
    };
    let entry = HostEntry {
        id,
        name: format!("s{id}"),
        address: None,
        state: WireHostState::Ready,
        list_version: 1,
    };
    (endpoint, entry)
}

fn config() -> PlannerConfig {
    PlannerConfig {
        name: "p".into(),
        balancer_settings: BalancerSettings {
            classes: vec![RequestClass::default()],
            ..BalancerSettings::default()
        },
        zone_count: 1,
        planner_index: 0,
        planner_count: 1,
        fingerprint: 1,
        silence_timeout: 60 * SECOND,
        settle_time: 0,
        max_requests_per_forwarder: 1000,
    }
}

impl LinkedPlanner {
    /// Creates a planner that knows hosts of these ids and start times.
    fn new(hosts: &[(u64, Option<Nanos>)]) -> Self {
        let mut out = Vec::new();
        let mut planner = Planner::new(config(), 1, START, &mut out);
        let (endpoints, entries) = hosts
            .iter()
            .map(|(id, started)| ready_host(*id, *started))
            .unzip();
        planner.update_hosts(START, EndpointUpdate::Full, endpoints, entries, &mut out);
        planner.accept(START, CONNECTION, &mut out);
        let mut linked = LinkedPlanner {
            planner,
            writer: FrameWriter::default(),
            reader: FrameReader::default(),
            session: 0,
        };
        linked.writer.append_greeting(&Hello {
            name: "f".into(),
            planner: "p".into(),
            zone: 0,
            epoch: 1,
            fingerprint: 1,
        });
        linked.turn(START);
        let (_, session) = linked.planner.sessions.iter().next().unwrap();
        linked.session = session.number.unwrap();
        linked.send(&ForwarderMessage::Follow {
            open_connections: 0,
        });
        linked
    }

    fn send(&mut self, message: &ForwarderMessage) {
        self.writer.append(self.session, 1, message);
    }

    fn request_placement(&mut self, id: u64) {
        self.send(&ForwarderMessage::RequestPlacement {
            id,
            decision_sequence: 0,
            request: REQUEST,
            prior_attempts: PriorAttempts::default(),
        });
    }

    fn report_open_connection(&mut self, id: u64, host: u64) {
        self.send(&ForwarderMessage::OpenConnection {
            id,
            request: OPEN_REQUEST,
            host,
        });
    }

    /// Passes the bytes of the sent messages to the planner and lets it decide.
    fn deliver(&mut self, now: Nanos, out: &mut Vec<PlannerAction>) {
        self.writer.finish_frame();
        let bytes = self.writer.sendable().to_vec();
        self.writer.mark_sent(bytes.len());
        self.planner.receive(now, CONNECTION, &bytes, out);
        self.planner.decide(now, out);
    }

    /// Delivers the sent messages and returns the planner's answers.
    fn turn(&mut self, now: Nanos) -> Vec<PlannerMessage> {
        self.deliver(now, &mut Vec::new());
        let answer = self.planner.outgoing(CONNECTION).to_vec();
        self.planner.mark_sent(CONNECTION, answer.len());
        let (mut messages, session) = (Vec::new(), self.session);
        let result = self.reader.feed(&answer, |body| {
            if session > 0 {
                let (_, mut decoder) = codec::decode_frame(body)?;
                while let Some(message) = decoder.next_message()? {
                    messages.push(message);
                }
            }
            Ok(())
        });
        result.unwrap();
        messages
    }
}

fn attempts_at(messages: &[PlannerMessage], wanted: u64) -> usize {
    messages
        .iter()
        .filter(|m| matches!(m, PlannerMessage::StartAttempt { host, .. } if *host == wanted))
        .count()
}

#[test]
fn a_restarted_planner_avoids_warming_hosts_during_its_first_overload_window() {
    // Stands for a planner that was killed and restarted at once, and does not know how much of the warming host's
    // quota is used.
    let mut linked = LinkedPlanner::new(&[(1, Some(START)), (2, None), (3, None)]);
    for id in 0..200 {
        linked.report_open_connection(10_000 + id, 2 + id % 2);
    }
    linked.send(&ForwarderMessage::StateSyncComplete);
    let mut attempts = [0; 2];
    for id in 0..600 {
        linked.request_placement(id);
        let now = START + 4 * id * MILLI;
        let messages = linked.turn(now);
        attempts[usize::from(now >= START + SECOND)] += attempts_at(&messages, 1);
        linked.send(&ForwarderMessage::RequestClosed { id });
    }
    assert!(attempts[0] == 0 && attempts[1] > 0, "{attempts:?}");
}

/// Guards against a planner that places requests on hosts that may drain, or leaves forwarders a plan with such hosts.
#[test]
fn a_planner_whose_list_may_be_stale_starts_no_attempt_and_sends_an_empty_plan() {
    let mut linked = LinkedPlanner::new(&[(1, None), (2, None)]);
    linked.send(&ForwarderMessage::StateSyncComplete);
    let plan_hosts = |messages: &[PlannerMessage]| {
        messages.iter().rev().find_map(|message| match message {
            PlannerMessage::Plan { hosts, .. } => Some(hosts.len()),
            _ => None,
        })
    };
    let mut now = START;
    for (id, stale) in [(1, false), (2, true), (3, false)] {
        linked.planner.set_endpoints_stale(stale);
        linked.request_placement(id);
        let mut messages = linked.turn(now);
        now += SECOND;
        messages.extend(linked.turn(now));
        let attempts = attempts_at(&messages, 1) + attempts_at(&messages, 2);
        assert_eq!(attempts, usize::from(!stale), "{messages:?}");
        let rejected = messages
            .iter()
            .any(|message| matches!(message, PlannerMessage::Reject { .. }));
        assert_eq!(rejected, stale, "{messages:?}");
        assert_eq!(plan_hosts(&messages) == Some(0), stale, "{messages:?}");
    }
}

/// Returns the versions of the hosts and of the announcements that all hosts were sent, 0 for a list of a file.
fn sent_versions(messages: &[PlannerMessage]) -> Vec<u64> {
    messages
        .iter()
        .filter_map(|message| match message {
            PlannerMessage::Host(entry) => Some(entry.list_version),
            PlannerMessage::HostsComplete { list_version } => Some(*list_version),
            _ => None,
        })
        .collect()
}

/// Guards against a planner that passes the list of its file on as if the list service had sent it.
#[test]
fn hosts_from_the_planners_file_have_no_version_until_the_service_confirms_them() {
    let mut linked = LinkedPlanner::new(&[]);
    let out = &mut Vec::new();
    let (endpoints, entries) = (1..=2).map(|id| ready_host(id, None)).unzip();
    let planner = &mut linked.planner;
    planner.update_hosts(START, EndpointUpdate::Cached, endpoints, entries, out);
    assert_eq!(sent_versions(&linked.turn(START)), [0, 0, 0]);
    // The service sends the changes since the revision of the file, which are none.
    let planner = &mut linked.planner;
    planner.confirm_hosts(7);
    planner.update_hosts(START, EndpointUpdate::Delta, Vec::new(), Vec::new(), out);
    assert_eq!(sent_versions(&linked.turn(START + MILLI)), [7, 7, 7]);
    linked.planner.confirm_hosts(8);
    assert_eq!(sent_versions(&linked.turn(START + 2 * MILLI)), []);
}

/// Guards against hosts that are reported as gone by the version of a list service that was replaced.
#[test]
fn a_host_that_a_new_service_does_not_list_is_gone_by_the_version_of_that_service() {
    let mut linked = LinkedPlanner::new(&[]);
    let out = &mut Vec::new();
    for (version, ids) in [(90, 1..=2), (3, 1..=1)] {
        let entry_of = |id| {
            let (endpoint, entry) = ready_host(id, None);
            let list_version = version;
            (
                endpoint,
                HostEntry {
                    list_version,
                    ..entry
                },
            )
        };
        let (endpoints, entries) = ids.map(entry_of).unzip();
        linked.planner.confirm_hosts(version);
        linked
            .planner
            .update_hosts(START, EndpointUpdate::Full, endpoints, entries, out);
    }
    let messages = linked.turn(START);
    let gone = messages.iter().find_map(|message| match message {
        PlannerMessage::Host(entry) if entry.state == WireHostState::Gone => Some(entry),
        _ => None,
    });
    assert_eq!(
        gone.map(|entry| (entry.id, entry.list_version)),
        Some((2, 3))
    );
}

#[test]
fn hosts_that_are_gone_are_removed_from_the_table() {
    let mut linked = LinkedPlanner::new(&[(1, None)]);
    for n in 2..5_000 {
        for state in [HostState::Ready, HostState::Gone] {
            let (mut endpoint, mut entry) = ready_host(n, None);
            (endpoint.state, entry.state) = (state, state.into());
            linked.planner.update_hosts(
                START + n,
                EndpointUpdate::Delta,
                vec![endpoint],
                vec![entry],
                &mut Vec::new(),
            );
            linked.turn(START + n);
        }
        let hosts = &linked.planner.hosts;
        assert!(hosts.records.len() <= 3 && hosts.changes.len() <= 3);
    }
}

#[test]
fn a_forwarder_that_reads_nothing_is_disconnected_at_the_backlog_limit() {
    let mut linked = LinkedPlanner::new(&[(1, None)]);
    linked.send(&ForwarderMessage::StateSyncComplete);
    linked.turn(START);
    let (mut actions, mut max_backlog) = (Vec::new(), 0);
    for n in 0..800 {
        // The forwarder follows anew each time, which drops its records, so that only the unsent bytes grow.
        linked.send(&ForwarderMessage::Follow {
            open_connections: 0,
        });
        linked.send(&ForwarderMessage::StateSyncComplete);
        (0..500).for_each(|id| linked.request_placement(n * 500 + id));
        linked.deliver(START + n * MILLI, &mut actions);
        max_backlog = max_backlog.max(linked.planner.outgoing(CONNECTION).len());
    }
    assert!(
        max_backlog > 0 && max_backlog < MAX_BACKLOG_BYTES + (1 << 20),
        "{max_backlog}"
    );
    linked.planner.decide(START + SECOND, &mut actions);
    let disconnect = PlannerAction::Disconnect {
        connection: CONNECTION,
    };
    let disconnects = actions.iter().filter(|a| **a == disconnect).count();
    let logged = |action: &&PlannerAction| matches!(action, PlannerAction::Log(text) if text.ends_with("why=too many unsent bytes"));
    assert_eq!(
        (
            disconnects,
            actions.iter().filter(logged).count(),
            linked.planner.request_count()
        ),
        (1, 1, 0)
    );
}

#[test]
fn nothing_is_placed_while_a_forwarder_still_reports_its_open_connections() {
    let mut linked = LinkedPlanner::new(&[(1, None), (2, None)]);
    (0..20).for_each(|id| linked.report_open_connection(10_000 + id, 1));
    linked.request_placement(1);
    let first = linked.turn(START);
    let second = linked.turn(START + 100 * MILLI);
    assert_eq!(attempts_at(&first, 1) + attempts_at(&second, 2), 0);
    // A forwarder that never completes its state sync is waited for only until the timeout.
    linked.request_placement(3);
    linked.turn(START + STATE_SYNC_TIMEOUT - 100 * MILLI);
    let placed = linked.turn(START + STATE_SYNC_TIMEOUT);
    assert_eq!(attempts_at(&placed, 2), 1);
    linked.request_placement(2);
    linked.send(&ForwarderMessage::StateSyncComplete);
    let placed = linked.turn(START + STATE_SYNC_TIMEOUT);
    assert_eq!(attempts_at(&placed, 2), 1);
}
