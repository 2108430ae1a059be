//! New terms while hosts are cold: their budgets are counted in turns, whose length is one of the terms.

use reedferry::*;

const START: Nanos = 86_400 * SECOND;
const COLD_HOST: HostId = HostId(1);
const WARM_HOST: HostId = HostId(2);

fn settings(overload_window: Nanos) -> BalancerSettings {
    let class = RequestClass {
        latency_objective: SECOND,
        active: true,
        ..RequestClass::default()
    };
    BalancerSettings {
        node_count: 1,
        classes: vec![class],
        max_attempts: 3,
        max_request_timeout: 2 * SECOND,
        max_poll_interval: 10 * SECOND,
        warm_up: 20 * SECOND,
        warm_up_initial_share: 0.5,
        overload_factor: 3.0,
        overload_window,
        ..BalancerSettings::default()
    }
}

struct Node {
    module: Balancer,
    now: Nanos,
    next: u64,
}

impl Node {
    fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.module.handle(self.now, event, &mut out);
        out
    }

    /// How many of so many that come now, and are taken by their host at once, are handed to the cold one.
    fn handed_to_the_cold_host(&mut self, count: usize) -> usize {
        let mut handed = 0;
        for _ in 0..count {
            self.next += 1;
            let id = RequestId(self.next);
            let incoming = IncomingRequest {
                id,
                time_left: 2 * SECOND,
                ..IncomingRequest::default()
            };
            for action in self.tell(Event::RequestArrived(incoming)) {
                let Action::StartAttempt { host, .. } = action else {
                    continue;
                };
                handed += usize::from(host == COLD_HOST);
                self.tell(Event::ConnectionEstablished { id, took: MILLI });
            }
        }
        handed
    }
}

/// Guards: a budget spent twice in one moment, and a count of turns that runs backwards, as new terms give turns another
/// length.
#[test]
fn new_terms_give_a_cold_host_no_second_budget() {
    for (before, after) in [(SECOND, 2 * SECOND), (2 * SECOND, SECOND), (SECOND, SECOND)] {
        let mut out = Vec::new();
        let module = Balancer::new(settings(before), 7, START, &mut out);
        let mut node = Node {
            module,
            now: START,
            next: 0,
        };
        let listing = |id, started| Endpoint {
            id,
            state: HostState::Ready,
            size: 1.0,
            started,
            ..Endpoint::default()
        };
        node.tell(Event::EndpointsUpdated {
            kind: EndpointUpdate::Full,
            endpoints: vec![listing(WARM_HOST, None)],
        });
        node.handed_to_the_cold_host(60);
        node.now += SECOND;
        let hosts = vec![listing(COLD_HOST, Some(node.now))];
        node.tell(Event::EndpointsUpdated {
            kind: EndpointUpdate::Delta,
            endpoints: hosts,
        });
        node.now += 3 * SECOND;
        let first = node.handed_to_the_cold_host(200);
        assert!(first > 0, "too tame");
        assert_eq!(
            node.handed_to_the_cold_host(50),
            0,
            "the budget of this turn is spent"
        );
        node.tell(Event::SettingsChanged(Box::new(settings(after)), vec![0]));
        let again = node.handed_to_the_cold_host(50);
        assert_eq!(
            again, 0,
            "from turns of {before} to turns of {after}: {first} before"
        );
        node.now += 2 * after.max(before);
        assert!(node.handed_to_the_cold_host(50) > 0, "left idle");
    }
}
