//! How long a node waits for a set-up before it asks another host: a store that all set-ups share is late for all of them, and
//! asking anew makes that worse.

use reedferry::*;

const START: Nanos = 86_400 * SECOND;
const CONTRACT: Nanos = 300 * MILLI;
const EXPIRY: Nanos = 3 * SECOND;
const HOSTS: u64 = 20;

/// One node of a fleet.
struct Node {
    module: Balancer,
    next: u64,
}

impl Node {
    fn start(load_from_probes: bool) -> Self {
        let class = RequestClass {
            latency_objective: CONTRACT,
            ..RequestClass::default()
        };
        let settings = BalancerSettings {
            node_count: 300,
            classes: vec![class],
            max_attempts: 3,
            max_request_timeout: EXPIRY,
            max_retry_after: SECOND,
            load_from_probes,
            ..BalancerSettings::default()
        };
        let mut out = Vec::new();
        let mut module = Balancer::new(settings, 7, START, &mut out);
        let listing = |id| Endpoint {
            id: HostId(id),
            state: HostState::Ready,
            size: 1.0,
            ..Endpoint::default()
        };
        let hosts = (1..=HOSTS).map(listing).collect();
        module.handle(
            START,
            Event::EndpointsUpdated {
                kind: EndpointUpdate::Full,
                endpoints: hosts,
            },
            &mut out,
        );
        Node { module, next: 0 }
    }

    /// How long the set-up of a request that comes now is waited for; it succeeds, and the client leaves.
    fn waits_at(&mut self, now: Nanos) -> Nanos {
        self.next += 1;
        let id = RequestId(self.next);
        let incoming = IncomingRequest {
            id,
            time_left: EXPIRY,
            ..IncomingRequest::default()
        };
        let mut out = Vec::new();
        self.module
            .handle(now, Event::RequestArrived(incoming), &mut out);
        let waits = out.iter().find_map(|action| match action {
            Action::StartAttempt { until, host, .. } => Some((until - now, *host)),
            _ => None,
        });
        let (waits, host) = waits.expect("it is handed to a host");
        let ended = Event::AttemptEnded {
            id,
            attempt: 0,
            host,
            request_over: true,
            ending: AttemptOutcome::Completed,
            load_metrics: Vec::new(),
        };
        for event in [Event::ConnectionEstablished { id, took: MILLI }, ended] {
            self.module.handle(now + MILLI, event, &mut Vec::new());
        }
        waits
    }
}

/// Guards: a store that is late for all, asked three times over for each request by nodes that see too few set-ups to notice
/// that all are late.
#[test]
fn a_node_that_sees_few_set_ups_waits_for_each_before_it_asks_another_host() {
    for (probes, least) in [(true, 5 * CONTRACT), (false, 8 * CONTRACT)] {
        let mut node = Node::start(probes);
        for second in 1..5 {
            let waits = node.waits_at(START + second * SECOND);
            assert!(
                waits >= least && waits < EXPIRY,
                "{waits} ns with probes {probes}"
            );
        }
    }
}

/// Guards: requests that wait long at a host that hangs, by a node that sees from many others that set-ups are quick.
#[test]
fn a_node_that_sees_many_set_ups_asks_another_host_soon() {
    for probes in [true, false] {
        let mut node = Node::start(probes);
        let waits: Vec<Nanos> = (0..400)
            .map(|n| node.waits_at(START + SECOND + n * 5 * MILLI))
            .collect();
        assert!(
            waits[399] < 2 * CONTRACT,
            "{} ns with probes {probes}",
            waits[399]
        );
    }
}
