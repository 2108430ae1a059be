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
    expiry: Nanos,
    out: Option<(HostId, Nanos)>,
    hand_offs: u32,
    may_have_run: bool,
    begun: bool,
    answered: bool,
    irreversible: bool,
}

struct Play {
    charter: Charter,
    node: Option<Balancer>,
    now: Nanos,
    wakes: Vec<(Nanos, u64)>,
    actions: Vec<Action>,
    standing: BTreeMap<u64, Standing>,
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
            charter: Charter::default(),
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
            self.node = Some(Balancer::new(self.charter.clone(), 11, self.now, &mut out));
        }
        self.node
            .as_mut()
            .unwrap()
            .handle(self.now, event, &mut out);
        for action in out {
            self.hold(&action);
            self.actions.push(action.clone());
            match action {
                Action::HandOff { id, host, .. } if self.auto.contains(&host) => {
                    self.begun(id.0, 20 * MILLI)
                }
                Action::HandOff { id, host, .. } if self.shut.contains(&host) => {
                    self.end(id.0, Ending::Refused, false);
                }
                Action::Move { id } => self.end(id.0, Ending::CalledOff, true),
                _ => {}
            }
        }
    }

    /// The rules that hold in every scenario.
    fn hold(&mut self, action: &Action) {
        match action {
            Action::HandOff {
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
                    *until > self.now && *until <= taken.expiry,
                    "limit of {} past its expiry",
                    id.0
                );
                assert_eq!(
                    self.standing.get(&host.0),
                    Some(&Standing::Ready),
                    "sent to a host not ready"
                );
                assert!(
                    taken.hand_offs < self.charter.most_hand_offs,
                    "too many hand-offs of {}",
                    id.0
                );
                (taken.out, taken.hand_offs) = (Some((*host, *until)), taken.hand_offs + 1);
                *self.counts.entry(host.0).or_insert(0) += 1;
            }
            Action::Dismiss { id, .. } | Action::GiveUp { id } => {
                let taken = self
                    .taken
                    .get_mut(&id.0)
                    .expect("an answer to what was never taken");
                assert!(!taken.answered, "{} answered twice", id.0);
                assert!(self.now <= taken.expiry, "{} answered too late", id.0);
                let dismissed = matches!(action, Action::Dismiss { .. });
                assert!(
                    !(dismissed && taken.irreversible && taken.may_have_run),
                    "{} dismissed",
                    id.0
                );
                taken.answered = true;
            }
            Action::WakeAt { time, mark } => self.wakes.push((*time, *mark)),
            Action::Probe { .. } => {
                assert!(self.charter.probe_for_gauges, "a probe without leave");
                self.looked += 1;
            }
            Action::Tell { message } => {
                assert!(
                    self.charter.peers && message.len() <= word::LONGEST,
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
                    self.tell(Event::Timer { mark: w.1 });
                }
                (_, Some(l)) => self.end(l.1, Ending::TimedOut, false),
                _ => unreachable!(),
            }
        }
        self.now = until;
        for (id, taken) in &self.taken {
            assert!(
                taken.answered || taken.begun || self.now <= taken.expiry,
                "{id} was lost"
            );
        }
    }

    fn begun(&mut self, id: u64, took: Nanos) {
        let taken = self.taken.get_mut(&id).unwrap();
        (taken.begun, taken.answered) = (true, true);
        self.tell(Event::Begun {
            id: AttachmentId(id),
            took,
        });
    }

    fn end(&mut self, id: u64, ending: Ending, over: bool) {
        let taken = self.taken.get_mut(&id).unwrap();
        let (host, _) = taken.out.take().expect("no hand-off is out");
        taken.may_have_run |= !ending.never_ran();
        taken.answered |= over;
        let hand_off = taken.hand_offs - 1;
        self.tell(Event::Ended {
            id: AttachmentId(id),
            hand_off,
            host,
            over,
            ending,
            gauges: Vec::new(),
        });
    }

    fn arrive(&mut self, id: u64, words: &[&str], on: Option<HostId>) {
        let mut arrival = Arrival {
            id: AttachmentId(id),
            time_left: 2 * SECOND,
            ..Arrival::default()
        };
        let mut past = Past::default();
        for (key, value) in pairs(words) {
            match key {
                "left" => arrival.time_left = ms(value),
                "offering" => arrival.offering = num(value) as usize,
                "key" => arrival.key = Some(num(value) as u64),
                "group" => arrival.group = Some(num(value) as u64),
                "load" => arrival.usual_load = Some(num(value)),
                "midway" => arrival.midway = true,
                "past" => past.hand_offs = num(value) as u32,
                "ran" => {
                    let (at, ago) = value.split_once('@').expect("a host and how long ago");
                    past.ran = Some((host(at), self.now - ms(ago)));
                }
                "tried" => past.tried = value.split('|').map(host).collect(),
                _ => panic!("unknown word {key}"),
            }
        }
        let irreversible = self
            .charter
            .offerings
            .get(arrival.offering)
            .is_some_and(|o| o.effect == Effect::Irreversible);
        let expiry = self.now + arrival.time_left;
        let (hand_offs, may_have_run) = (past.hand_offs, past.ran.is_some());
        self.taken.insert(
            id,
            Taken {
                expiry,
                irreversible,
                hand_offs,
                may_have_run,
                ..Taken::default()
            },
        );
        match on {
            Some(host) => {
                let taken = self.taken.get_mut(&id).unwrap();
                (taken.begun, taken.answered, taken.out) = (true, true, Some((host, Nanos::MAX)));
                taken.hand_offs = 1;
                self.tell(Event::Standing(arrival, host));
            }
            None if past.hand_offs > 0 => self.tell(Event::TakenUp(arrival, past)),
            None => self.tell(Event::Arrived(arrival)),
        }
    }

    fn roll(&mut self, kind: &str, entries: &[&str]) {
        let kind = match kind {
            "full" => RollKind::Full,
            "changes" => RollKind::Changes,
            "cached" => RollKind::Cached,
            "failed" => RollKind::Failed,
            _ => panic!("unknown roll {kind}"),
        };
        if matches!(kind, RollKind::Full | RollKind::Cached) {
            self.standing.clear();
        }
        let mut hosts = Vec::new();
        for entry in entries {
            let (name, rest) = entry.split_once(':').unwrap_or((entry, "ready"));
            let mut listing = Listing {
                id: host(name),
                standing: Standing::Ready,
                size: 1.0,
                ..Listing::default()
            };
            for (key, value) in pairs(&rest.split(',').collect::<Vec<_>>()) {
                match key {
                    "ready" => {}
                    "draining" => listing.standing = Standing::Draining,
                    "gone" => listing.standing = Standing::Gone,
                    "size" => listing.size = num(value),
                    "zone" => listing.zone = num(value) as u16,
                    "cell" => listing.cell = num(value) as u64,
                    "started" => listing.started = Some(START + ms(value)),
                    _ => panic!("unknown word {key}"),
                }
            }
            self.standing.insert(listing.id.0, listing.standing);
            hosts.push(listing);
        }
        self.tell(Event::Roll { kind, hosts });
    }

    fn charter(&mut self, words: &[&str]) {
        let c = &mut self.charter;
        for (key, value) in pairs(words) {
            match key {
                "nodes" => c.nodes = num(value) as u32,
                "node" => c.node = num(value) as u32,
                "hand-offs" => c.most_hand_offs = num(value) as u32,
                "advice" => c.longest_advice = ms(value),
                "call-off" => c.may_call_off = true,
                "on-request" => c.roll_on_request = true,
                "cold" => c.cold = ms(value),
                "cold-from" => c.cold_from = num(value),
                "groups" => c.groups = true,
                "pass" => c.pass = true,
                "gathers" => c.gathers = true,
                "probes" => (c.probe_for_gauges, c.gauges) = (true, vec![Gauge::Busy, Gauge::Load]),
                "peers" => c.peers = true,
                "cross-zone" => c.cross_zone_charge = num(value),
                "moves" => c.move_charge = num(value),
                _ => panic!("unknown word {key}"),
            }
        }
    }

    fn offering(&mut self, words: &[&str]) {
        let mut offering = Offering::default();
        for (key, value) in pairs(words) {
            match (key, value) {
                ("effect", "redoable") => offering.effect = Effect::Redoable,
                ("effect", "labelled") => offering.effect = Effect::Labelled,
                ("effect", "irreversible") => offering.effect = Effect::Irreversible,
                ("circle", "all") => offering.circle = Circle::All,
                ("circle", "zone") => offering.circle = Circle::Zone,
                ("circle", "cell") => offering.circle = Circle::Cell,
                ("window", _) => offering.window = ms(value),
                ("payoff", _) => offering.payoff = num(value),
                ("contract", _) => offering.contract_time = ms(value),
                ("message", _) => offering.message_time = ms(value),
                _ => panic!("unknown word {key}={value}"),
            }
        }
        self.charter.offerings.push(offering);
    }

    fn saw(&self, test: impl Fn(&Action) -> bool) {
        assert!(
            self.actions.iter().any(test),
            "not among {:?}",
            self.actions
        );
    }

    fn step(&mut self, words: &[&str]) {
        let id = |n: usize| AttachmentId(num(words[n]) as u64);
        match words[0] {
            "charter" => self.charter(&words[1..]),
            "offering" => self.offering(&words[1..]),
            "auto" => self.auto = words[1..].iter().map(|w| host(w)).collect(),
            "shut" => self.shut = words[1..].iter().map(|w| host(w)).collect(),
            "sends" => {
                let hosts: Vec<HostId> = words[2].split('|').map(host).collect();
                let want = id(1);
                self.saw(
                    |a| matches!(a, Action::HandOff { id, host, .. } if *id == want && hosts.contains(host)),
                );
            }
            "dismisses" => self.saw(|a| matches!(a, Action::Dismiss { id: x, .. } if *x == id(1))),
            "gives-up" => self.saw(|a| matches!(a, Action::GiveUp { id: x } if *x == id(1))),
            "moves" => self.saw(|a| matches!(a, Action::Move { id: x } if *x == id(1))),
            "calls-off" => self.saw(|a| matches!(a, Action::CallOff { id: x, .. } if *x == id(1))),
            "asks" => self.saw(|a| matches!(a, Action::FollowRoll | Action::AskRoll)),
            "logs" => self.saw(|a| matches!(a, Action::Log(text) if text.starts_with(words[1]))),
            "quiet" => {
                let idle = |a: &Action| matches!(a, Action::WakeAt { .. } | Action::Log(_));
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
                            "done" => (Ending::Done, true),
                            "error" => (Ending::Error, false),
                            "refused" => (Ending::Refused, false),
                            "unconnected" => (Ending::Unconnected, false),
                            "broken" => (Ending::Broken, self.taken[&id(2).0].begun),
                            _ => panic!("unknown ending {}", words[3]),
                        };
                        self.end(id(2).0, ending, over);
                    }
                    "left" => {
                        self.taken.get_mut(&id(2).0).unwrap().answered = true;
                        self.tell(Event::Left { id: id(2) });
                    }
                    "breaks" => {
                        let at = |t: &Taken| {
                            t.begun && t.out.is_some_and(|(on, _)| on == host(words[2]))
                        };
                        let held = self.taken.iter().filter(|(_, t)| at(t)).map(|(id, _)| *id);
                        let some: Vec<u64> = held.take(num(words[3]) as usize).collect();
                        some.into_iter()
                            .for_each(|id| self.end(id, Ending::Broken, true));
                    }
                    "turns" => {
                        let share = |word: &&str| {
                            word.split_once(':')
                                .map(|(of, part)| (num(of) as u32, num(part)))
                        };
                        self.tell(Event::Turns(words[2..].iter().filter_map(share).collect()));
                    }
                    "looks" => self.tell(Event::Looks(
                        words[2..].iter().map(|name| host(name)).collect(),
                    )),
                    "leaving" => {
                        let (from, by) = (self.now + ms(words[2]), self.now + ms(words[3]));
                        self.tell(Event::Leaving { from, by });
                    }
                    "report" => {
                        let silent = words[3] == "silent";
                        let ending = if silent {
                            Ending::TimedOut
                        } else {
                            Ending::Done
                        };
                        let load = |text: &str| if text == "nan" { f64::NAN } else { num(text) };
                        let gauges = if silent {
                            Vec::new()
                        } else {
                            vec![1.0, load(words[3])]
                        };
                        self.tell(Event::Probed {
                            host: host(words[2]),
                            ending,
                            gauges,
                        });
                    }
                    "heard" => {
                        self.tell(Event::Heard {
                            message: word::encode(host(words[2]), num(words[3])),
                        });
                    }
                    "heard-bytes" => {
                        let byte = |n| u8::from_str_radix(&words[2][n..n + 2], 16).unwrap();
                        self.tell(Event::Heard {
                            message: (0..words[2].len()).step_by(2).map(byte).collect(),
                        });
                    }
                    "load" => self.tell(Event::LoadNow {
                        id: id(2),
                        load: num(words[3]),
                    }),
                    "slow" => self.tell(Event::MessageTime {
                        host: host(words[2]),
                        time: ms(words[3]),
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
