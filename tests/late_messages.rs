//! A host whose messages came late once: it is cut for that once, and gets its share again when it is well.

use reedferry::*;
use std::collections::HashMap;

const START: Nanos = 86_400 * SECOND;
const HOSTS: [HostId; 3] = [HostId(1), HostId(2), HostId(3)];
const ONCE_LATE: HostId = HOSTS[2];
const WANTED: Nanos = 100 * MILLI;
const LATE: Nanos = 63 * MILLI;
/// Messages count as late for no longer than this after the last that was.
const LATE_FOR: Nanos = 3 * SECOND;

/// One node, its connections by their host, and when it wants to be woken.
struct Node {
    module: Balancer,
    now: Nanos,
    next: u64,
    wakes: Vec<(Nanos, u64)>,
    held: HashMap<RequestId, HostId>,
}

impl Node {
    fn start() -> Self {
        let class = RequestClass {
            latency_objective: SECOND,
            message_latency_objective: WANTED,
            ..RequestClass::default()
        };
        let settings = BalancerSettings {
            node_count: 1,
            classes: vec![class],
            max_attempts: 3,
            max_request_timeout: 2 * SECOND,
            max_retry_after: SECOND,
            ..BalancerSettings::default()
        };
        let mut out = Vec::new();
        let module = Balancer::new(settings, 7, START, &mut out);
        let (wakes, held) = (Vec::new(), HashMap::new());
        let mut node = Node {
            module,
            now: START,
            next: 0,
            wakes,
            held,
        };
        node.carry_out(out);
        let listing = |id| Endpoint {
            id,
            state: HostState::Ready,
            size: 1.0,
            ..Endpoint::default()
        };
        node.tell(Event::EndpointsUpdated {
            kind: EndpointUpdate::Full,
            endpoints: HOSTS.map(listing).to_vec(),
        });
        node
    }

    fn tell(&mut self, event: Event) {
        let mut out = Vec::new();
        self.module.handle(self.now, event, &mut out);
        self.carry_out(out);
    }

    /// Each hand-off is taken at once; who is to move leaves.
    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::StartAttempt { id, host, .. } => {
                    self.held.insert(id, host);
                    self.tell(Event::ConnectionEstablished { id, took: MILLI });
                }
                Action::Migrate { id } => self.leaves(id),
                Action::SetTimer { time, timer: mark } => self.wakes.push((time, mark)),
                _ => {}
            }
        }
    }

    fn leaves(&mut self, id: RequestId) {
        let Some(host) = self.held.remove(&id) else {
            return;
        };
        let (attempt, ending, load_metrics) = (0, AttemptOutcome::Completed, Vec::new());
        self.tell(Event::AttemptEnded {
            id,
            attempt,
            host,
            request_over: true,
            ending,
            load_metrics,
        });
    }

    fn held_at(&self, host: HostId) -> Vec<RequestId> {
        let mut held: Vec<_> = self
            .held
            .iter()
            .filter(|(_, at)| **at == host)
            .map(|(id, _)| *id)
            .collect();
        held.sort_by_key(|id| id.0);
        held
    }

    /// All but so many of a host's connections end.
    fn all_leave_but(&mut self, left: usize, host: HostId) {
        for id in self.held_at(host).into_iter().skip(left) {
            self.leaves(id);
        }
    }

    fn come(&mut self, count: u64) {
        for _ in 0..count {
            self.next += 1;
            let id = RequestId(self.next);
            self.tell(Event::RequestArrived(IncomingRequest {
                id,
                time_left: 2 * SECOND,
                ..IncomingRequest::default()
            }));
        }
    }

    fn pass(&mut self, span: Nanos) {
        let until = self.now + span;
        while let Some(next) = self
            .wakes
            .iter()
            .copied()
            .min()
            .filter(|(time, _)| *time <= until)
        {
            self.wakes.retain(|wake| *wake != next);
            self.now = self.now.max(next.0);
            self.tell(Event::TimerFired { timer: next.1 });
        }
        self.now = until;
    }

    fn was_late(&mut self) {
        self.tell(Event::MessageLatency {
            host: ONCE_LATE,
            latency: LATE,
        });
    }
}

/// Guards: a host cut a second time for the same late message when its clients have left, to next to nothing, and kept
/// nearly empty for long after it is well.
#[test]
fn a_host_is_cut_once_for_one_late_message() {
    let mut node = Node::start();
    node.come(60);
    assert_eq!(node.held_at(ONCE_LATE).len(), 20);
    node.was_late();
    node.pass(SECOND);
    let cut = node.held_at(ONCE_LATE).len();
    assert!((16..20).contains(&cut), "not cut, or by much: {cut}");
    node.all_leave_but(0, ONCE_LATE);
    node.pass(LATE_FOR);
    node.come(16);
    let held = node.held_at(ONCE_LATE).len();
    assert!(
        held >= 12,
        "{held} of 16 at a host that is well and holds nothing, beside two with 20 each"
    );
}

/// Guards: the one connection of a nearly empty host that was late once taken for all that the host bears.
#[test]
fn a_nearly_empty_host_is_not_held_to_the_little_that_it_has() {
    for left in [0, 1] {
        let mut node = Node::start();
        node.come(60);
        node.all_leave_but(left, ONCE_LATE);
        node.was_late();
        node.pass(LATE_FOR);
        node.come(16);
        let held = node.held_at(ONCE_LATE).len();
        assert!(
            held >= 12,
            "with {left} before: {held} of 16 at a host that is well, beside two with 20 each"
        );
    }
}
