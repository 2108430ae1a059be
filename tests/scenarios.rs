//! Plays every file of `tests/scenarios` through the decision module. The notation, one step a line:
//!
//!     charter KEY=VALUE ...          terms of the node, before anything else
//!     offering KEY=VALUE ...         one more offering
//!     MS roll KIND HOST[:WORD,KEY=VALUE...] ...   a roll: full, changes, cached or failed
//!     MS arrive ID KEY=VALUE ...     an attachment; MS arrive A-B EVERY KEY=VALUE ... many of them
//!     MS arrive ID past=N ran=HOST@MS tried=HOST|HOST ...   taken up from another node, with its hand-offs,
//!                                    the first that may have run and how long ago, and where it was
//!     MS open ID HOST KEY=VALUE ...  a connection open before the start
//!     MS begun ID [TOOK] | MS ended ID HOW | MS left ID | MS load ID CORES | MS slow HOST MS | MS wait
//!     MS report HOST LOAD|silent     a probe of the host comes back with its load, or with no answer in time
//!     MS heard HOST LOAD             another node tells of the host
//!     MS heard-bytes HEX             another node sends anything else
//!     MS leaving FROM BY             the node stops: both times counted from then
//!     MS breaks HOST N               so many open connections break there, or all of them by a large N
//!     auto HOST ... | shut HOST ...  set-ups there stand, or are refused, at once from now on
//!     sends ID HOST[|HOST] | dismisses ID | gives-up ID | moves ID | asks | calls-off ID | quiet
//!     count HOST MIN MAX             hand-offs to the host since the last count of it
//!     held HOST MIN MAX              connections that stand at the host, or anywhere by the name all
//!     turned-away MIN MAX            attachments answered so far that no host took
//!     looked MIN MAX | told MIN MAX  probes sent, and messages to other nodes, since the last such count
//!     used MIN MAX                   hosts with hand-offs since the last such count
//!
//! Expectations speak of the actions since the last event. Throughout, the runner lets hand-offs
//! time out at their limit and holds the four rules: one answer, in time; one hand-off out; nothing
//! new to hosts that drain or are gone; nothing again for an irreversible that may have run.

use reedferry::*;
use std::collections::BTreeMap;
use std::path::Path;

/// The clock has no special starting value: a day is as good as zero.
const START: Nanos = 86_400 * SECOND;

#[derive(Default)]
struct Taken {
    deadline: Nanos,
    out: Option<(HostId, Nanos)>,
    attempts: u32,
    may_have_run: bool,
    begun: bool,
    answered: bool,
    irreversible: bool,
}

struct Play {
    settings: BalancerSettings,
    node: Option<Balancer>,
    now: Nanos,
    wakes: Vec<(Nanos, u64)>,
    actions: Vec<Action>,
    standing: BTreeMap<u64, HostState>,
    auto: Vec<HostId>,
    shut: Vec<HostId>,
    counts: BTreeMap<u64, u32>,
    taken: BTreeMap<u64, Taken>,
    looked: usize,
    told: usize,
}

fn host(name: &str) -> HostId {
    HostId(name.bytes().fold(0, |n, b| n * 256 + u64::from(b)))
}

fn num(text: &str) -> f64 {
    text.parse()
        .unwrap_or_else(|_| panic!("not a number: {text}"))
}

fn ms(text: &str) -> Nanos {
    (num(text) * 1e6) as Nanos
}

fn pairs<'a>(words: &[&'a str]) -> Vec<(&'a str, &'a str)> {
    words
        .iter()
        .map(|w| w.split_once('=').unwrap_or((w, "1")))
        .collect()
}

impl Play {
    fn new() -> Self {
        Play {
            settings: BalancerSettings::default(),
            node: None,
            now: START,
            wakes: Vec::new(),
            actions: Vec::new(),
            standing: BTreeMap::new(),
            auto: Vec::new(),
            shut: Vec::new(),
            counts: BTreeMap::new(),
            taken: BTreeMap::new(),
            looked: 0,
            told: 0,
        }
    }

    fn tell(&mut self, event: Event) {
        let mut out = Vec::new();
        if self.node.is_none() {
            self.node = Some(Balancer::new(self.settings.clone(), 11, self.now, &mut out));
        }
        self.node
            .as_mut()
            .unwrap()
            .handle(self.now, event, &mut out);
        for action in out {
            self.hold(&action);
            self.actions.push(action.clone());
            match action {
                Action::StartAttempt { id, host, .. } if self.auto.contains(&host) => {
                    self.begun(id.0, 20 * MILLI);
                }
                Action::StartAttempt { id, host, .. } if self.shut.contains(&host) => {
                    self.end(id.0, AttemptOutcome::Rejected, false);
                }
                Action::Migrate { id } => self.end(id.0, AttemptOutcome::Cancelled, true),
                _ => {}
            }
        }
    }

    /// The rules that hold in every scenario.
    fn hold(&mut self, action: &Action) {
        match action {
            Action::StartAttempt {
                id, host, until, ..
            } => {
                let taken = self
                    .taken
                    .get_mut(&id.0)
                    .expect("a hand-off of what was never taken");
                assert!(!taken.answered, "hand-off of {} after its answer", id.0);
                assert!(taken.out.is_none(), "two hand-offs of {} at once", id.0);
                assert!(
                    !(taken.irreversible && taken.may_have_run),
                    "{} may run twice",
                    id.0
                );
                assert!(
                    *until > self.now && *until <= taken.deadline,
                    "limit of {} past its expiry",
                    id.0
                );
                assert_eq!(
                    self.standing.get(&host.0),
                    Some(&HostState::Ready),
                    "sent to a host not ready"
                );
                assert!(
                    taken.attempts < self.settings.max_attempts,
                    "too many hand-offs of {}",
                    id.0
                );
                (taken.out, taken.attempts) = (Some((*host, *until)), taken.attempts + 1);
                *self.counts.entry(host.0).or_insert(0) += 1;
            }
            Action::Reject { id, .. } | Action::Fail { id } => {
                let taken = self
                    .taken
                    .get_mut(&id.0)
                    .expect("an answer to what was never taken");
                assert!(!taken.answered, "{} answered twice", id.0);
                assert!(self.now <= taken.deadline, "{} answered too late", id.0);
                let dismissed = matches!(action, Action::Reject { .. });
                assert!(
                    !(dismissed && taken.irreversible && taken.may_have_run),
                    "{} dismissed",
                    id.0
                );
                taken.answered = true;
            }
            Action::SetTimer { time, timer: mark } => self.wakes.push((*time, *mark)),
            Action::Probe { .. } => {
                assert!(self.settings.load_from_probes, "a probe without leave");
                self.looked += 1;
            }
            Action::Gossip { message } => {
                assert!(
                    self.settings.gossip_enabled && message.len() <= gossip::MAX_MESSAGE_BYTES,
                    "told without leave, or too long"
                );
                self.told += 1;
            }
            _ => {}
        }
    }

    /// Lets time pass: timers ring and hand-offs reach their limits.
    fn pass(&mut self, until: Nanos) {
        loop {
            let wake = self.wakes.iter().copied().min();
            let limit = self
                .taken
                .iter()
                .filter(|(_, t)| !t.begun)
                .filter_map(|(id, t)| Some((t.out?.1, *id)));
            let limit = limit.min();
            let next = wake
                .map_or(Nanos::MAX, |w| w.0)
                .min(limit.map_or(Nanos::MAX, |l| l.0));
            if next > until {
                break;
            }
            self.now = self.now.max(next);
            match (wake, limit) {
                (Some(w), l) if l.is_none_or(|l| w.0 <= l.0) => {
                    self.wakes.retain(|x| *x != w);
                    self.tell(Event::TimerFired { timer: w.1 });
                }
                (_, Some(l)) => self.end(l.1, AttemptOutcome::TimedOut, false),
                _ => unreachable!(),
            }
        }
        self.now = until;
        for (id, taken) in &self.taken {
            assert!(
                taken.answered || taken.begun || self.now <= taken.deadline,
                "{id} was lost"
            );
        }
    }

    fn begun(&mut self, id: u64, took: Nanos) {
        let taken = self.taken.get_mut(&id).unwrap();
        (taken.begun, taken.answered) = (true, true);
        self.tell(Event::ConnectionEstablished {
            id: RequestId(id),
            took,
        });
    }

    fn end(&mut self, id: u64, ending: AttemptOutcome, over: bool) {
        let taken = self.taken.get_mut(&id).unwrap();
        let (host, _) = taken.out.take().expect("no hand-off is out");
        taken.may_have_run |= !ending.never_ran();
        taken.answered |= over;
        let attempt = taken.attempts - 1;
        self.tell(Event::AttemptEnded {
            id: RequestId(id),
            attempt,
            host,
            request_over: over,
            ending,
            load_metrics: Vec::new(),
        });
    }

    fn arrive(&mut self, id: u64, words: &[&str], on: Option<HostId>) {
        let mut incoming = IncomingRequest {
            id: RequestId(id),
            time_left: 2 * SECOND,
            ..IncomingRequest::default()
        };
        let mut past = PriorAttempts::default();
        for (key, value) in pairs(words) {
            match key {
                "left" => incoming.time_left = ms(value),
                "offering" => incoming.class = num(value) as usize,
                "key" => incoming.key = Some(num(value) as u64),
                "group" => incoming.group = Some(num(value) as u64),
                "load" => incoming.usual_load = Some(num(value)),
                "midway" => incoming.mid_stream = true,
                "past" => past.attempts = num(value) as u32,
                "ran" => {
                    let (at, ago) = value.split_once('@').expect("a host and how long ago");
                    past.may_have_run = Some((host(at), self.now - ms(ago)));
                }
                "tried" => past.tried_hosts = value.split('|').map(host).collect(),
                _ => panic!("unknown word {key}"),
            }
        }
        let irreversible = self
            .settings
            .classes
            .get(incoming.class)
            .is_some_and(|o| o.idempotency == Idempotency::NonIdempotent);
        let deadline = self.now + incoming.time_left;
        let (attempts, may_have_run) = (past.attempts, past.may_have_run.is_some());
        self.taken.insert(
            id,
            Taken {
                deadline,
                irreversible,
                attempts,
                may_have_run,
                ..Taken::default()
            },
        );
        match on {
            Some(host) => {
                let taken = self.taken.get_mut(&id).unwrap();
                (taken.begun, taken.answered, taken.out) = (true, true, Some((host, Nanos::MAX)));
                taken.attempts = 1;
                self.tell(Event::ConnectionFound(incoming, host));
            }
            None if past.attempts > 0 => self.tell(Event::RequestTakenOver(incoming, past)),
            None => self.tell(Event::RequestArrived(incoming)),
        }
    }

    fn roll(&mut self, kind: &str, entries: &[&str]) {
        let kind = match kind {
            "full" => EndpointUpdate::Full,
            "changes" => EndpointUpdate::Delta,
            "cached" => EndpointUpdate::Cached,
            "failed" => EndpointUpdate::Failed,
            _ => panic!("unknown roll {kind}"),
        };
        if matches!(kind, EndpointUpdate::Full | EndpointUpdate::Cached) {
            self.standing.clear();
        }
        let mut hosts = Vec::new();
        for entry in entries {
            let (name, rest) = entry.split_once(':').unwrap_or((entry, "ready"));
            let mut listing = Endpoint {
                id: host(name),
                state: HostState::Ready,
                size: 1.0,
                ..Endpoint::default()
            };
            for (key, value) in pairs(&rest.split(',').collect::<Vec<_>>()) {
                match key {
                    "ready" => {}
                    "draining" => listing.state = HostState::Draining,
                    "gone" => listing.state = HostState::Gone,
                    "size" => listing.size = num(value),
                    "zone" => listing.zone = num(value) as u16,
                    "cell" => listing.cell = num(value) as u64,
                    "started" => listing.started = Some(START + ms(value)),
                    _ => panic!("unknown word {key}"),
                }
            }
            self.standing.insert(listing.id.0, listing.state);
            hosts.push(listing);
        }
        self.tell(Event::EndpointsUpdated {
            kind,
            endpoints: hosts,
        });
    }

    fn settings(&mut self, words: &[&str]) {
        let c = &mut self.settings;
        for (key, value) in pairs(words) {
            match key {
                "nodes" => c.node_count = num(value) as u32,
                "node" => c.node_index = num(value) as u32,
                "hand-offs" => c.max_attempts = num(value) as u32,
                "advice" => c.max_retry_after = ms(value),
                "call-off" => c.may_cancel = true,
                "on-request" => c.endpoints_are_polled = true,
                "cold" => c.warm_up = ms(value),
                "cold-from" => c.warm_up_initial_share = num(value),
                "groups" => c.groups_enabled = true,
                "pass" => c.passthrough = true,
                "gathers" => c.centralized = true,
                "probes" => {
                    (c.load_from_probes, c.load_metrics) =
                        (true, vec![LoadMetric::Utilization, LoadMetric::Load]);
                }
                "peers" => c.gossip_enabled = true,
                "cross-zone" => c.cross_zone_cost = num(value),
                "moves" => c.migration_cost = num(value),
                _ => panic!("unknown word {key}"),
            }
        }
    }

    fn class(&mut self, words: &[&str]) {
        let mut class = RequestClass::default();
        for (key, value) in pairs(words) {
            match (key, value) {
                ("effect", "redoable") => class.idempotency = Idempotency::Idempotent,
                ("effect", "labelled") => class.idempotency = Idempotency::WithKey,
                ("effect", "irreversible") => class.idempotency = Idempotency::NonIdempotent,
                ("circle", "all") => class.idempotency_group = IdempotencyGroup::All,
                ("circle", "zone") => class.idempotency_group = IdempotencyGroup::Zone,
                ("circle", "cell") => class.idempotency_group = IdempotencyGroup::Cell,
                ("window", _) => class.idempotency_window = ms(value),
                ("payoff", _) => class.priority_weight = num(value),
                ("contract", _) => class.latency_objective = ms(value),
                ("message", _) => class.message_latency_objective = ms(value),
                _ => panic!("unknown word {key}={value}"),
            }
        }
        self.settings.classes.push(class);
    }

    fn saw(&self, test: impl Fn(&Action) -> bool) {
        assert!(
            self.actions.iter().any(test),
            "not among {:?}",
            self.actions
        );
    }

    fn step(&mut self, words: &[&str]) {
        let id = |n: usize| RequestId(num(words[n]) as u64);
        match words[0] {
            "charter" => self.settings(&words[1..]),
            "offering" => self.class(&words[1..]),
            "auto" => self.auto = words[1..].iter().map(|w| host(w)).collect(),
            "shut" => self.shut = words[1..].iter().map(|w| host(w)).collect(),
            "sends" => {
                let hosts: Vec<HostId> = words[2].split('|').map(host).collect();
                let want = id(1);
                self.saw(
                    |a| matches!(a, Action::StartAttempt { id, host, .. } if *id == want && hosts.contains(host)),
                );
            }
            "dismisses" => self.saw(|a| matches!(a, Action::Reject { id: x, .. } if *x == id(1))),
            "gives-up" => self.saw(|a| matches!(a, Action::Fail { id: x } if *x == id(1))),
            "moves" => self.saw(|a| matches!(a, Action::Migrate { id: x } if *x == id(1))),
            "calls-off" => {
                self.saw(|a| matches!(a, Action::CancelAttempt { id: x, .. } if *x == id(1)));
            }
            "asks" => self.saw(|a| matches!(a, Action::WatchEndpoints | Action::PollEndpoints)),
            "logs" => {
                let line = words[1..].join(" ");
                self.saw(|a| matches!(a, Action::Log(text) if text.starts_with(&line)));
            }
            "quiet" => {
                let idle = |a: &Action| matches!(a, Action::SetTimer { .. } | Action::Log(_));
                assert!(
                    self.actions.iter().all(idle),
                    "not quiet: {:?}",
                    self.actions
                );
            }
            "count" => {
                let count = self.counts.remove(&host(words[1]).0).unwrap_or(0);
                let (least, most) = (num(words[2]) as u32, num(words[3]) as u32);
                assert!(
                    (least..=most).contains(&count),
                    "{count} hand-offs to {}",
                    words[1]
                );
            }
            "held" => {
                let at = |t: &&Taken| {
                    t.begun
                        && t.out
                            .is_some_and(|(on, _)| words[1] == "all" || on == host(words[1]))
                };
                let held = self.taken.values().filter(at).count();
                let (least, most) = (num(words[2]) as usize, num(words[3]) as usize);
                assert!(
                    (least..=most).contains(&held),
                    "{held} held at {}",
                    words[1]
                );
            }
            "turned-away" => {
                let away = self
                    .taken
                    .values()
                    .filter(|t| t.answered && !t.begun)
                    .count();
                let (least, most) = (num(words[1]) as usize, num(words[2]) as usize);
                assert!((least..=most).contains(&away), "{away} turned away");
            }
            "looked" | "told" => {
                let count = std::mem::take(if words[0] == "told" {
                    &mut self.told
                } else {
                    &mut self.looked
                });
                let (least, most) = (num(words[1]) as usize, num(words[2]) as usize);
                assert!((least..=most).contains(&count), "{} {count}", words[0]);
            }
            "used" => {
                let used = std::mem::take(&mut self.counts).len();
                assert!(
                    (num(words[1]) as usize..=num(words[2]) as usize).contains(&used),
                    "{used} hosts used"
                );
            }
            _ => {
                self.actions.clear();
                self.pass(START + ms(words[0]));
                match words[1] {
                    "wait" => {}
                    "roll" => self.roll(words[2], &words[3..]),
                    "open" => self.arrive(id(2).0, &words[4..], Some(host(words[3]))),
                    "arrive" => match words[2].split_once('-') {
                        Some((from, to)) => {
                            for n in num(from) as u64..=num(to) as u64 {
                                self.arrive(n, &words[4..], None);
                                self.pass(self.now + ms(words[3]));
                            }
                        }
                        None => self.arrive(id(2).0, &words[3..], None),
                    },
                    "begun" => self.begun(id(2).0, words.get(3).map_or(20 * MILLI, |w| ms(w))),
                    "ended" => {
                        let (ending, over) = match words[3] {
                            "done" => (AttemptOutcome::Completed, true),
                            "error" => (AttemptOutcome::Error, false),
                            "refused" => (AttemptOutcome::Rejected, false),
                            "unconnected" => (AttemptOutcome::ConnectFailed, false),
                            "broken" => {
                                (AttemptOutcome::ConnectionLost, self.taken[&id(2).0].begun)
                            }
                            _ => panic!("unknown ending {}", words[3]),
                        };
                        self.end(id(2).0, ending, over);
                    }
                    "left" => {
                        self.taken.get_mut(&id(2).0).unwrap().answered = true;
                        self.tell(Event::ClientLeft { id: id(2) });
                    }
                    "breaks" => {
                        let at = |t: &Taken| {
                            t.begun && t.out.is_some_and(|(on, _)| on == host(words[2]))
                        };
                        let held = self.taken.iter().filter(|(_, t)| at(t)).map(|(id, _)| *id);
                        let some: Vec<u64> = held.take(num(words[3]) as usize).collect();
                        some.into_iter()
                            .for_each(|id| self.end(id, AttemptOutcome::ConnectionLost, true));
                    }
                    "turns" => {
                        let share = |word: &&str| {
                            word.split_once(':')
                                .map(|(of, part)| (num(of) as u32, num(part)))
                        };
                        self.tell(Event::SlowStartSlotsAssigned(
                            words[2..].iter().filter_map(share).collect(),
                        ));
                    }
                    "looks" => self.tell(Event::ProbeTargetsAssigned(
                        words[2..].iter().map(|name| host(name)).collect(),
                    )),
                    "leaving" => {
                        let (from, by) = (self.now + ms(words[2]), self.now + ms(words[3]));
                        self.tell(Event::ShutdownStarted { from, by });
                    }
                    "report" => {
                        let silent = words[3] == "silent";
                        let ending = if silent {
                            AttemptOutcome::TimedOut
                        } else {
                            AttemptOutcome::Completed
                        };
                        let load = |text: &str| if text == "nan" { f64::NAN } else { num(text) };
                        let load_metrics = if silent {
                            Vec::new()
                        } else {
                            vec![1.0, load(words[3])]
                        };
                        self.tell(Event::ProbeEnded {
                            host: host(words[2]),
                            ending,
                            load_metrics,
                        });
                    }
                    "heard" => {
                        self.tell(Event::GossipReceived {
                            message: gossip::encode(host(words[2]), num(words[3])),
                        });
                    }
                    "heard-bytes" => {
                        let byte = |n| u8::from_str_radix(&words[2][n..n + 2], 16).unwrap();
                        self.tell(Event::GossipReceived {
                            message: (0..words[2].len()).step_by(2).map(byte).collect(),
                        });
                    }
                    "load" => self.tell(Event::LoadMeasured {
                        id: id(2),
                        load: num(words[3]),
                    }),
                    "slow" => self.tell(Event::MessageLatency {
                        host: host(words[2]),
                        latency: ms(words[3]),
                    }),
                    other => panic!("unknown step {other}"),
                }
            }
        }
    }
}

#[test]
fn scenarios() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let mut files: Vec<_> = std::fs::read_dir(folder)
        .unwrap()
        .map(|f| f.unwrap().path())
        .collect();
    files.sort();
    assert!(!files.is_empty());
    for file in files {
        let mut play = Play::new();
        for (n, line) in std::fs::read_to_string(&file).unwrap().lines().enumerate() {
            let words: Vec<&str> = line.split('#').next().unwrap().split_whitespace().collect();
            if !words.is_empty() {
                eprintln!("{}:{} {line}", file.display(), n + 1);
                play.step(&words);
            }
        }
        let end = play.now + 60 * SECOND;
        play.pass(end);
    }
}
