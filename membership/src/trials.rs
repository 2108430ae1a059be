//! Fleets of cores in simulated time: a way between them that loses, doubles and delays, cuts, processes that end and
//! stand still; and a walk through what can happen to three of them.

use crate::*;
use reedferry_model_checker::{walk, Bounds, World};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

const P: Nanos = SECOND;
/// Days of one kind, each by a seed of its own.
const SEEDS: u64 = 2;
const UNIX: u64 = 1_790_000_000_000;

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + node as u16))
}

fn who(node: usize) -> Who {
    let (zone, build) = (format!("z{}", node % 3), "1".to_string());
    let name = format!("n{node}");
    Who {
        name,
        address: address(node),
        role: Role::Node,
        zone,
        build,
        place: node as u32,
        roster: 0,
    }
}

fn one(node: usize, now: Nanos, seeds: &[usize]) -> Members {
    let seeds = seeds.iter().map(|seed| address(*seed)).collect();
    let terms = Terms {
        period: P,
        seeds,
        most: 10_000,
        fleet: 7,
    };
    Members::new(
        who(node),
        terms,
        now,
        UNIX + now / 1_000_000,
        node as u64 + now,
    )
}

/// What is under way, the soonest first: when, which in order, whence, whither.
type Way = BinaryHeap<Reverse<(Nanos, u64, usize, usize, Vec<u8>)>>;

struct Net {
    now: Nanos,
    nodes: Vec<Option<Members>>,
    /// Those that stand still, and until when.
    still: Vec<Nanos>,
    wakes: BinaryHeap<Reverse<(Nanos, usize)>>,
    way: Way,
    rng: ChaCha8Rng,
    loss: f64,
    double: f64,
    longest: Nanos,
    /// Which parts a cut has made.
    part: Vec<usize>,
    cut: Vec<(usize, usize)>,
    sent: u64,
    /// When, at whom, of whom, what.
    seen: Vec<(Nanos, usize, usize, State)>,
    was_gone: Vec<usize>,
}

impl Net {
    /// Members that know each other already, or each its seeds alone.
    fn new(count: usize, settled: bool, seed: u64) -> Net {
        let mut nodes: Vec<Members> = (0..count).map(|node| one(node, 0, &[0, 1, 2])).collect();
        if settled {
            let all: Vec<_> = nodes
                .iter()
                .map(|one| (Arc::new(one.view.me.who.clone()), one.view.me.age))
                .collect();
            nodes.iter_mut().for_each(|one| one.view.knows(&all));
        }
        let wakes = nodes
            .iter()
            .enumerate()
            .map(|(node, one)| Reverse((one.next(), node)))
            .collect();
        Net {
            now: 0,
            nodes: nodes.into_iter().map(Some).collect(),
            still: vec![0; count],
            wakes,
            way: Way::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss: 0.0,
            double: 0.0,
            longest: 5 * SECOND / 1000,
            part: vec![0; count],
            cut: Vec::new(),
            sent: 0,
            seen: Vec::new(),
            was_gone: Vec::new(),
        }
    }

    fn handle(&mut self, node: usize, event: Event) {
        let Some(one) = &mut self.nodes[node] else {
            return;
        };
        let mut out = Vec::new();
        one.handle(self.now, event, &mut out);
        self.wakes.push(Reverse((one.next(), node)));
        for action in out {
            match action {
                Action::Send { to, bytes } => {
                    assert!(bytes.len() <= LONGEST_LETTER);
                    self.sent += 1;
                    let to = to.port() as usize - 1000;
                    let copies = 1 + usize::from(self.rng.random_bool(self.double));
                    for _ in 0..copies {
                        let cut =
                            self.part[node] != self.part[to] || self.cut.contains(&(node, to));
                        if cut || self.rng.random_bool(self.loss) {
                            continue;
                        }
                        let at = self.now + self.rng.random_range(SECOND / 1000..=self.longest);
                        self.way
                            .push(Reverse((at, self.sent, node, to, bytes.clone())));
                    }
                }
                Action::Changed { name, state, .. } => {
                    self.seen
                        .push((self.now, node, name[1..].parse().unwrap(), state));
                }
                Action::WasGone => self.was_gone.push(node),
                Action::Moved { .. }
                | Action::StoodStill(_)
                | Action::Superseded { .. }
                | Action::Odd { .. } => {}
            }
        }
    }

    fn run(&mut self, until: Nanos) {
        loop {
            let letter = self.way.peek().map_or(Nanos::MAX, |Reverse(next)| next.0);
            let wake = self.wakes.peek().map_or(Nanos::MAX, |Reverse(next)| next.0);
            if letter.min(wake) > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(letter.min(wake));
            if letter <= wake {
                let Some(Reverse((at, order, from, to, bytes))) = self.way.pop() else {
                    return;
                };
                if self.still[to] > at {
                    self.way
                        .push(Reverse((self.still[to], order, from, to, bytes)));
                } else {
                    self.handle(
                        to,
                        Event::Letter {
                            from: address(from),
                            bytes: &bytes,
                        },
                    );
                }
            } else if let Some(Reverse((at, node))) = self.wakes.pop() {
                let due = self.nodes[node].as_ref().map_or(Nanos::MAX, Members::next);
                if self.still[node] > at && due == at {
                    // What has come is read first when it goes on.
                    self.wakes.push(Reverse((self.still[node] + 1, node)));
                } else if due <= at {
                    self.handle(node, Event::Wake);
                }
            }
        }
    }

    fn kill(&mut self, node: usize) {
        self.nodes[node] = None;
    }

    fn alike(&self) -> bool {
        let mut digests = self.nodes.iter().flatten().map(Members::digest);
        let first = digests.next();
        digests.all(|digest| Some(digest) == first)
    }

    /// Runs until all views agree; gives how many periods that took.
    fn settle(&mut self, most: u64) -> f64 {
        let from = self.now;
        while !self.alike() {
            assert!(
                self.now < from + most * P,
                "views differ after {most} periods"
            );
            self.run(self.now + P / 10);
        }
        (self.now - from) as f64 / P as f64
    }

    /// Who held one of the living gone.
    fn wronged(&self) -> Vec<(Nanos, usize, usize, State)> {
        let wrong = |(_, _, of, state): &&(_, _, usize, State)| {
            *state == State::Gone && self.nodes[*of].is_some()
        };
        self.seen.iter().filter(wrong).copied().collect()
    }

    /// In periods: when the death was first seen by anyone, and when all held it gone.
    fn death(&self, of: usize, at: Nanos) -> (f64, f64) {
        let of_it = |state: &[State]| -> Vec<(Nanos, usize)> {
            let seen = self
                .seen
                .iter()
                .filter(|s| s.2 == of && s.0 >= at && state.contains(&s.3));
            seen.map(|s| (s.0 - at, s.1)).collect()
        };
        let first = of_it(&[State::Suspect, State::Gone])
            .first()
            .map_or(f64::INFINITY, |s| s.0 as f64 / P as f64);
        let gone = of_it(&[State::Gone]);
        let living = self.nodes.iter().flatten().count();
        assert_eq!(
            gone.len(),
            living,
            "{:?} {gone:?}",
            of_it(&[State::Suspect])
        );
        (
            first,
            gone.last().map_or(f64::INFINITY, |s| s.0 as f64 / P as f64),
        )
    }
}

/// Guards: a death that is found late, known late to some, or that has others held gone as well.
#[test]
fn a_death_is_found_soon_and_known_to_all_as_the_fleet_grows() {
    for count in sizes(&[20, 60, 200, 1000]) {
        let mut found = Vec::new();
        for seed in 0..if count > 200 { 1 } else { 7 } {
            let mut net = Net::new(count, true, seed);
            net.run(3 * P + seed * P / 7);
            let (dead, at) = ((seed as usize * 3 + 1) % count, net.now);
            net.kill(dead);
            let within = 2.0 + 2.0 * (count as f64).log2();
            net.run(at + (within * P as f64) as Nanos);
            let (first, all) = net.death(dead, at);
            assert!(all <= within, "{count}: known to all after {all}");
            assert!(net.wronged().is_empty(), "{count}: {:?}", net.wronged());
            println!("{count}: found after {first:.1}, known to all after {all:.1}");
            found.push(first);
        }
        found.sort_by(f64::total_cmp);
        assert!(
            found[found.len() / 2] <= 2.0,
            "{count}: found after {found:?}"
        );
    }
}

/// The sizes that a test plays, and those that `REEDFERRY_MEMBERS` names beside: `REEDFERRY_MEMBERS=5000 cargo test
/// --release -p reedferry-membership death -- --nocapture`, which takes gigabytes.
fn sizes(usual: &[usize]) -> Vec<usize> {
    let more = std::env::var("REEDFERRY_MEMBERS").unwrap_or_default();
    usual
        .iter()
        .copied()
        .chain(more.split(',').filter_map(|n| n.parse().ok()))
        .collect()
}

/// Guards: views that take longer and longer to agree as the fleet grows.
#[test]
fn views_agree_soon_after_a_cut_as_the_fleet_grows() {
    for count in sizes(&[20, 60, 200]) {
        let mut net = Net::new(count, true, 1);
        net.run(3 * P);
        net.part = (0..count).map(|node| node % 2).collect();
        net.run(net.now + 10 * P);
        net.part = vec![0; count];
        let before = net.sent;
        let took = net.settle(60);
        let letters = (net.sent - before) as f64 / took / count as f64;
        println!(
            "{count}: alike after {took:.1} periods, {letters:.1} letters a member and period"
        );
        assert!(took <= 10.0 || count > 200, "{count}: {took}");
    }
}

/// Guards: a cost that grows with the fleet, and one that goes on though nothing happens.
#[test]
fn letters_a_member_are_level_while_nothing_happens() {
    let a_member = |count: usize| {
        let mut net = Net::new(count, true, 1);
        net.run(4 * P);
        let before = net.sent;
        net.run(24 * P);
        assert!(net.seen.is_empty() && net.alike());
        (net.sent - before) as f64 / 20.0 / count as f64
    };
    let (few, many) = (a_member(20), a_member(200));
    assert!(
        (few / many - 1.0).abs() < 0.1 && many < 2.5,
        "{few} and {many} letters a period"
    );
}

#[test]
fn half_are_killed_at_once_and_all_but_one_and_they_come_back() {
    let mut net = Net::new(20, true, 2);
    net.run(3 * P);
    (0..10).for_each(|node| net.kill(node * 2));
    net.run(net.now + 30 * P);
    assert!(
        net.wronged().is_empty() && net.alike(),
        "{:?}",
        net.wronged()
    );
    assert!(net
        .nodes
        .iter()
        .flatten()
        .all(|one| one.view.living() == 10));
    (0..9).for_each(|node| net.kill(node * 2 + 1));
    net.run(net.now + 40 * P);
    assert_eq!(net.nodes[19].as_ref().unwrap().view.living(), 1);
    for node in 0..19 {
        net.nodes[node] = Some(one(node, net.now, &[0, 1, 19]));
        net.handle(node, Event::Wake);
    }
    assert!(net.settle(20) <= 15.0);
    net.run(net.now + 10 * P);
    assert!(
        net.alike()
            && net
                .nodes
                .iter()
                .flatten()
                .all(|one| one.view.living() == 20)
    );
}

/// Guards: parts that stay apart after a cut, or that put each other's members out once more when they meet.
#[test]
fn parts_settle_on_themselves_and_find_together_after_the_cut() {
    let splits: [fn(usize) -> usize; 3] = [|n| n / 10, |n| usize::from(n == 19), |n| n % 3];
    for (number, split) in splits.into_iter().enumerate() {
        for (periods, seed) in [2, 30]
            .into_iter()
            .flat_map(|p| (0..SEEDS).map(move |s| (p, s)))
        {
            let mut net = Net::new(20, true, 3 + seed);
            net.run(3 * P);
            net.part = (0..20).map(split).collect();
            net.run(net.now + periods * P);
            if periods == 30 {
                for (node, one) in net.nodes.iter().flatten().enumerate() {
                    let there = (0..20).filter(|other| split(*other) == split(node)).count();
                    assert_eq!(one.view.living(), there, "split {number}: node {node}");
                }
            }
            net.part = vec![0; 20];
            net.seen.clear();
            let took = net.settle(20);
            net.run(net.now + 10 * P);
            let whole = net
                .nodes
                .iter()
                .flatten()
                .all(|one| one.view.living() == 20);
            assert!(net.alike() && whole, "split {number} for {periods}");
            assert!(took <= 10.0, "split {number} for {periods}: {took}");
            let apart = net
                .wronged()
                .iter()
                .filter(|(_, at, of, _)| split(*at) == split(*of))
                .count();
            assert_eq!(
                apart,
                0,
                "split {number} for {periods}: {:?}",
                net.wronged()
            );
        }
    }
}

/// Guards: members put out because two do not hear each other, or one does not hear another.
#[test]
fn a_pair_that_is_cut_and_one_way_that_is_deaf_put_nobody_out() {
    let mut net = Net::new(20, true, 4);
    net.cut = vec![(3, 4), (4, 3), (7, 8)];
    net.run(60 * P);
    assert!(net.wronged().is_empty(), "{:?}", net.wronged());
}

#[test]
fn one_that_stands_still_for_less_than_the_suspicion_stays_and_for_more_comes_back_by_a_new_word() {
    let mut net = Net::new(20, true, 5);
    net.run(3 * P);
    net.still[5] = net.now + 3 * P;
    net.run(net.now + 20 * P);
    assert!(net.wronged().is_empty() && net.alike());
    let before = net.nodes[5].as_ref().unwrap().me().1;
    let mine = |net: &Net| net.nodes[5].as_ref().unwrap().duties(net.now, 0..200).len();
    assert!(mine(&net) > 0);
    net.still[5] = net.now + 25 * P;
    net.run(net.now + 25 * P);
    assert_eq!(net.wronged().len(), 19);
    net.seen.clear();
    net.run(net.now + P / 10);
    assert_eq!(
        mine(&net),
        0,
        "it goes on with duties that others have taken up"
    );
    assert!(net.settle(20) <= 10.0);
    net.run(net.now + 10 * P);
    assert!(
        net.alike() && net.wronged().is_empty(),
        "it accused nobody when it went on: {:?}",
        net.wronged()
    );
    assert!(mine(&net) > 0);
    assert!(net.nodes[5].as_ref().unwrap().me().1 > before && net.was_gone == [5]);
}

/// Guards: a minute in which a fifth is lost, some doubled, all out of order, that puts somebody out.
#[test]
fn a_lossy_minute_puts_nobody_out() {
    for (count, seed) in (0..SEEDS).map(|s| (20, 6 + s)).chain([(60, 8)]) {
        let mut net = Net::new(count, true, seed);
        (net.loss, net.double, net.longest) = (0.2, 0.1, P / 5);
        net.run(300 * P);
        assert!(net.wronged().is_empty(), "{count}: {:?}", net.wronged());
    }
}

#[test]
fn one_that_runs_a_tenth_of_the_time_accuses_nobody_wrongly() {
    let mut net = Net::new(20, true, 9);
    net.run(3 * P);
    for step in 0..300 {
        let from = 3 * P + step * P / 5;
        net.still[6] = from + P * 9 / 50;
        net.run(from + P / 5);
    }
    let wronged: Vec<_> = net
        .wronged()
        .into_iter()
        .filter(|(_, _, of, _)| *of != 6)
        .collect();
    assert!(wronged.is_empty(), "{wronged:?}");
}

#[test]
fn one_that_starts_again_from_nothing_is_the_same_member_at_once() {
    let mut net = Net::new(20, true, 10);
    net.run(3 * P);
    net.kill(8);
    net.run(net.now + 2 * P);
    net.nodes[8] = Some(one(8, net.now, &[0, 1, 2]));
    net.handle(8, Event::Wake);
    assert!(net.settle(20) <= 10.0);
    net.run(net.now + 30 * P);
    assert!(
        net.wronged().is_empty() && net.alike(),
        "{:?}",
        net.wronged()
    );
    // With a clock that ran back, too.
    net.kill(8);
    net.run(net.now + 2 * P);
    let mut back = one(8, net.now, &[0, 1, 2]);
    back.view.say(net.now, |me| {
        me.age = Age {
            life: UNIX - 1000,
            word: 0,
        }
    });
    net.nodes[8] = Some(back);
    net.handle(8, Event::Wake);
    assert!(net.settle(20) <= 10.0);
    net.run(net.now + 30 * P);
    assert!(
        net.wronged().is_empty()
            && net.alike()
            && net.nodes[8].as_ref().unwrap().view.living() == 20
    );
}

#[test]
fn hundreds_start_within_a_second_with_three_seeds_of_which_two_are_dead() {
    let mut net = Net::new(200, false, 11);
    (1..3).for_each(|node| net.kill(node));
    net.run(P);
    let took = net.settle(30);
    net.run(net.now + 5 * P);
    assert!(
        net.nodes
            .iter()
            .flatten()
            .all(|one| one.view.living() == 198),
        "after {took}"
    );
    assert!(
        took <= 14.0 && net.wronged().is_empty(),
        "settled after {took} periods"
    );
}

/// Guards: members of one busy machine that are late since all of them are, and keep each other so by what they send beside
/// their rounds.
#[test]
fn a_member_that_is_woken_late_talks_less_until_it_is_woken_in_time() {
    let mut net = Net::new(10, true, 3);
    let mut one = net.nodes[0].take().unwrap();
    let (period, mut talks) = (one.period, Vec::new());
    for wake in 0..80 {
        let before = one.next_talk;
        let now = one.next() + if wake < 12 { period } else { 0 };
        one.handle(now, Event::Wake, &mut Vec::new());
        if one.next_talk != before {
            talks.push((one.next_talk - now, one.pages));
        }
    }
    assert!(
        talks.iter().any(|talk| *talk == (4 * period, PAGES / 4)),
        "{talks:?}"
    );
    assert_eq!(talks.last(), Some(&(period, PAGES)), "late for ever");
}

/// Guards: a member that leaves by its own word taken for one that died, and one whose state others do not learn.
#[test]
fn what_a_member_says_of_itself_is_known_to_all() {
    let mut net = Net::new(20, true, 12);
    net.run(3 * P);
    net.handle(4, Event::Stands(State::Standby));
    net.handle(5, Event::Stands(State::Leaving));
    assert!(net.settle(10) <= 8.0);
    net.run(net.now + P);
    net.handle(5, Event::Ends);
    net.kill(5);
    net.run(net.now + 8 * P);
    let count = |of: usize, state: State| {
        net.seen
            .iter()
            .filter(|s| (s.2, s.3) == (of, state))
            .count()
    };
    assert_eq!(
        [
            count(4, State::Standby),
            count(5, State::Leaving),
            count(5, State::Gone)
        ],
        [19; 3]
    );
    assert_eq!(count(5, State::Suspect), 0);
}

/// Guards: two processes under one name that put each other out for ever.
#[test]
fn of_two_under_one_name_the_one_that_started_later_counts() {
    let mut net = Net::new(21, true, 13);
    net.kill(20);
    net.run(20 * P);
    let mut twin = one(3, net.now, &[0, 1]);
    twin.view.say(net.now, |me| {
        (me.who.address, me.age.word) = (address(20), u32::MAX);
    });
    net.nodes[20] = Some(twin);
    net.handle(20, Event::Wake);
    net.run(net.now + 20 * P);
    assert!(
        net.nodes[3].as_ref().unwrap().superseded()
            && !net.nodes[20].as_ref().unwrap().superseded()
    );
    let held = |one: &Members| {
        one.others()
            .find(|m| m.who.name == "n3")
            .map(|m| (m.who.address, m.state))
    };
    let others: Vec<_> = net
        .nodes
        .iter()
        .flatten()
        .filter(|one| !one.superseded())
        .filter_map(held)
        .collect();
    assert!(
        others.len() == 19 && others.iter().all(|h| *h == (address(20), State::Working)),
        "{others:?}"
    );
}

/// Guards: memory that strangers fill, members put out by noise, and a word that no member can outdo.
#[test]
fn strangers_noise_and_leaps_change_nothing_but_a_line() {
    let mut rng = ChaCha8Rng::seed_from_u64(14);
    let terms = Terms {
        period: P,
        seeds: Vec::new(),
        most: 4,
        fleet: 7,
    };
    let mut me = Members::new(who(0), terms, 0, UNIX, 1);
    let mut out = Vec::new();
    let mut odd = |me: &mut Members, from: usize, bytes: &[u8]| {
        out.clear();
        me.handle(
            1,
            Event::Letter {
                from: address(from),
                bytes,
            },
            &mut out,
        );
        out.iter()
            .filter(|a| matches!(a, Action::Odd { .. }))
            .count()
    };
    let letter = |one: &Members, body: Body, claims: &[Claim]| {
        let mut sheet = Sheet::new(&one.head(body));
        claims.iter().for_each(|claim| assert!(sheet.add(claim)));
        sheet.end()
    };
    for _ in 0..500 {
        let noise: Vec<u8> = (0..rng.random_range(0..1300))
            .map(|_| rng.random())
            .collect();
        assert_eq!(odd(&mut me, 9, &noise), 1);
    }
    let (friend, other) = (one(1, 0, &[]), one(2, 0, &[]));
    let well = letter(&friend, Body::Ping { seq: 1, to: 0 }, &[]);
    for cut in 0..well.len() {
        assert_eq!(odd(&mut me, 1, &well[..cut]), 1, "cut short at {cut}");
    }
    assert_eq!(odd(&mut me, 2, &well), 1, "from another address");
    for place in 0..well.len() * 8 {
        let mut garbled = well.clone();
        garbled[place / 8] ^= 1 << (place % 8);
        assert_eq!(odd(&mut me, 1, &garbled), 1, "bit {place} flipped");
    }
    let mut newer = well.clone();
    newer[0] += 1;
    assert_eq!(odd(&mut me, 1, &newer), 1, "another version");
    assert_eq!(me.view.living(), 1);
    assert_eq!(odd(&mut me, 1, &well), 0);
    // A word that can't be outdone is outdone by another life, and one of the far future is not believed.
    let mut leap = me.view.me.clone();
    (leap.age.word, leap.state) = (u32::MAX, State::Gone);
    let mut future = other.view.me.clone();
    future.age.life += 7 * 24 * 3600 * 1000;
    assert_eq!(
        odd(
            &mut me,
            1,
            &letter(&friend, Body::Gossip, &[leap.clone(), future])
        ),
        1
    );
    assert!(me.view.me.age > leap.age && me.view.me.state == State::Working);
    // Beyond the bound nobody is kept, but where somebody is gone.
    for node in 10..20 {
        odd(
            &mut me,
            1,
            &letter(&friend, Body::Gossip, &[one(node, 0, &[]).view.me.clone()]),
        );
    }
    assert_eq!(me.view.all.len(), 4);
    let mut gone = one(11, 0, &[]).view.me.clone();
    gone.state = State::Gone;
    odd(
        &mut me,
        1,
        &letter(
            &friend,
            Body::Gossip,
            &[gone, one(30, 0, &[]).view.me.clone()],
        ),
    );
    assert!(me.view.all.len() == 4 && me.others().any(|m| m.who.name == "n30"));
    // What was said an hour ago changes nothing of what is held now.
    let mut later = friend.clone();
    later.view.say(1, |_| {});
    odd(&mut me, 1, &letter(&later, Body::Gossip, &[]));
    let mut doubted = friend.view.me.clone();
    doubted.state = State::Suspect;
    let before = me.digest();
    odd(&mut me, 1, &letter(&friend, Body::Gossip, &[doubted]));
    assert_eq!(me.digest(), before);
}

#[derive(Clone, Copy, PartialEq)]
enum Planted {
    Nothing,
    NoRefuting,
    NoLapsing,
}

/// Three members, what is under way between them, and how many faults may still happen.
#[derive(Clone)]
struct Three {
    now: Nanos,
    nodes: Vec<Option<Members>>,
    way: Vec<(usize, usize, Vec<u8>)>,
    losses: u32,
    doubles: u32,
    restarts: u32,
    /// The latest word of each that anyone has held.
    ages: [[Age; 3]; 3],
    wrong: Option<String>,
}

#[derive(Clone, Debug)]
enum Step {
    Wake(usize),
    Deliver(usize),
    Lose(usize),
    Double(usize),
    Restart(usize),
    Kill(usize),
}

impl Three {
    fn new(planted: Planted) -> Three {
        let mut net = Net::new(3, true, 1);
        for one in net.nodes.iter_mut().flatten() {
            one.never_refutes = planted == Planted::NoRefuting;
            one.view.never_lapses = planted == Planted::NoLapsing;
        }
        let ages = [[Age::default(); 3]; 3];
        Three {
            now: 0,
            nodes: net.nodes,
            way: Vec::new(),
            losses: 4,
            doubles: 1,
            restarts: 1,
            ages,
            wrong: None,
        }
    }

    fn handle(&mut self, node: usize, event: Event) {
        let Some(one) = &mut self.nodes[node] else {
            return;
        };
        let mut out = Vec::new();
        one.handle(self.now, event, &mut out);
        for action in out {
            if let Action::Send { to, bytes } = action {
                self.way.push((node, to.port() as usize - 1000, bytes));
            }
        }
        for held in one.others() {
            let of: usize = held.who.name[1..].parse().unwrap();
            let latest = &mut self.ages[node][of];
            if held.age < *latest {
                self.wrong = Some(format!("n{node} holds n{of} by an older word"));
            }
            *latest = held.age;
        }
    }

    fn wake(&mut self, node: usize) {
        self.now = self
            .now
            .max(self.nodes[node].as_ref().map_or(self.now, Members::next));
        self.handle(node, Event::Wake);
    }

    fn deliver(&mut self, place: usize) {
        let (from, to, bytes) = self.way.remove(place);
        self.handle(
            to,
            Event::Letter {
                from: address(from),
                bytes: &bytes,
            },
        );
    }

    /// The soonest of those that want to be woken.
    fn soonest(&self) -> Option<usize> {
        (0..3)
            .filter(|n| self.nodes[*n].is_some())
            .min_by_key(|n| self.nodes[*n].as_ref().map(Members::next))
    }
}

impl World for Three {
    type Step = Step;

    fn steps(&self) -> Vec<Step> {
        let mut steps: Vec<Step> = self.soonest().map(Step::Wake).into_iter().collect();
        // Each of the first few may come first; the way is no longer than that for long.
        for place in 0..self.way.len().min(3) {
            steps.push(Step::Deliver(place));
            steps.extend((self.losses > 0).then_some(Step::Lose(place)));
            steps.extend((self.doubles > 0).then_some(Step::Double(place)));
        }
        if self.restarts > 0 {
            steps.extend([Step::Restart(2), Step::Kill(2)]);
        }
        steps
    }

    fn take(&mut self, step: &Step) {
        match *step {
            Step::Wake(node) => self.wake(node),
            Step::Deliver(place) => self.deliver(place),
            Step::Lose(place) => {
                self.way.remove(place);
                self.losses -= 1;
            }
            Step::Double(place) => {
                let again = self.way[place].clone();
                self.way.push(again);
                self.doubles -= 1;
            }
            Step::Restart(node) => {
                (self.nodes[node], self.restarts) =
                    (Some(one(node, self.now + SECOND / 100, &[0, 1, 2])), 0);
                self.ages[node] = [Age::default(); 3];
            }
            Step::Kill(node) => (self.nodes[node], self.restarts) = (None, 0),
        }
    }

    fn mark(&self) -> u64 {
        let mut hash = xxhash_rust::xxh3::Xxh3::new();
        (
            &self.nodes,
            &self.way,
            self.losses,
            self.doubles,
            self.restarts,
        )
            .hash(&mut hash);
        hash.finish()
    }

    /// Whatever has happened: if all letters come from here on, those that answer hold each other to be there, those
    /// that don't are held gone, and views agree. Of most worlds this is looked at in a part.
    fn wrong(&self) -> Option<String> {
        if self.wrong.is_some() || !self.mark().is_multiple_of(48) {
            return self.wrong.clone();
        }
        let mut world = self.clone();
        for _ in 0..4000 {
            if world.way.is_empty() {
                let next = world.soonest()?;
                if world.nodes[next].as_ref()?.next() > self.now + 40 * P {
                    break;
                }
                world.wake(next);
            } else {
                world.deliver(0);
            }
        }
        let living: Vec<&Members> = world.nodes.iter().flatten().collect();
        let digest = living[0].digest();
        let alike = living
            .iter()
            .all(|one| one.digest() == digest && one.view.living() == living.len());
        (!alike).then(|| {
            let of = |one: &&Members| {
                one.others()
                    .map(|m| (m.who.name.clone(), m.state, m.age))
                    .collect::<Vec<_>>()
            };
            format!(
                "views differ for ever: {:?}",
                living.iter().map(of).collect::<Vec<_>>()
            )
        })
    }
}

const BOUNDS: Bounds = Bounds {
    depth: 14,
    worlds: 30_000,
};

/// Guards: a member that answers held gone for ever, words that run back, views that exchange all and differ.
#[test]
fn no_order_of_losses_doubles_and_a_restart_keeps_three_members_apart() {
    match walk(Three::new(Planted::Nothing), BOUNDS) {
        Ok(walked) => assert!(walked.worlds >= 20_000, "{walked:?}"),
        Err(found) => panic!("{}: {:?}", found.why, found.steps),
    }
}

/// Guards: a search that finds nothing whatever is broken.
#[test]
fn planted_breaks_are_found() {
    for planted in [Planted::NoRefuting, Planted::NoLapsing] {
        assert!(walk(Three::new(planted), BOUNDS).is_err());
    }
}

/// Three members that want each other's shares, with what is under way between them and a clock that steps.
#[derive(Clone)]
struct Lenders {
    now: Nanos,
    all: Vec<Option<Leases>>,
    way: Vec<(usize, usize, Word)>,
    restarts: u32,
    doubles: u32,
}

#[derive(Clone, Debug, Hash)]
enum Word {
    Ask(u64, u32, Vec<u32>),
    Yes(u32, Vec<u32>),
}

#[derive(Clone, Debug)]
enum Lending {
    /// Time passes; who is due asks.
    Pass,
    Deliver(usize),
    Double(usize),
    Restart(usize),
}

const LENGTH: Nanos = 48;

impl Lenders {
    /// Long after they started; the first two want the share of place 0.
    fn new(planted: impl Fn(&mut Leases)) -> Lenders {
        let one = |place: u32| {
            let mut leases = Leases::new(place, 1, 3, LENGTH, 0);
            planted(&mut leases);
            if place < 2 {
                leases.want(&BTreeSet::from([0]));
            }
            Some(leases)
        };
        Lenders {
            now: 10 * LENGTH,
            all: (0..3).map(one).collect(),
            way: Vec::new(),
            restarts: 1,
            doubles: 1,
        }
    }
}

impl World for Lenders {
    type Step = Lending;

    fn steps(&self) -> Vec<Lending> {
        let mut steps = vec![Lending::Pass];
        // What stays under way for ever is lost.
        for place in 0..self.way.len().min(5) {
            steps.push(Lending::Deliver(place));
            steps.extend((self.doubles > 0).then_some(Lending::Double(place)));
        }
        steps.extend((self.restarts > 0).then_some(Lending::Restart(2)));
        steps
    }

    fn take(&mut self, step: &Lending) {
        match *step {
            Lending::Pass => {
                self.now += LENGTH / 2;
                for place in 0..3 {
                    if let Some((seq, parts)) =
                        self.all[place].as_mut().and_then(|one| one.due(self.now))
                    {
                        // Each has its own voice; the third place decides.
                        self.way.push((place, 2, Word::Ask(1, seq, parts)));
                    }
                }
            }
            Lending::Deliver(place) | Lending::Double(place) => {
                let (from, to, word) = match step {
                    Lending::Deliver(_) => self.way.remove(place),
                    _ => {
                        self.doubles -= 1;
                        self.way[place].clone()
                    }
                };
                let Some(one) = &mut self.all[to] else { return };
                match word {
                    Word::Ask(life, seq, parts) => {
                        let granted = one.ask(self.now, from as u32, life, &parts);
                        self.way.push((to, from, Word::Yes(seq, granted)));
                    }
                    Word::Yes(seq, parts) => one.granted(self.now, from as u32, seq, &parts),
                }
            }
            Lending::Restart(place) => {
                let planted = self.all[place].as_ref().is_some_and(|one| one.forgets);
                let mut fresh = Leases::new(place as u32, 2, 3, LENGTH, self.now);
                fresh.forgets = planted;
                (self.all[place], self.restarts) = (Some(fresh), 0);
            }
        }
    }

    fn mark(&self) -> u64 {
        let mut hash = xxhash_rust::xxh3::Xxh3::new();
        (self.now, &self.all, &self.way, self.restarts, self.doubles).hash(&mut hash);
        hash.finish()
    }

    fn wrong(&self) -> Option<String> {
        let holders = self
            .all
            .iter()
            .flatten()
            .filter(|one| one.holds(self.now, 0))
            .count();
        (holders > 1).then(|| format!("{holders} hold one share"))
    }
}

const LENDING: Bounds = Bounds {
    depth: 13,
    worlds: 40_000,
};

/// Guards: a share of the budget of cold hosts used by two, by any order of losses, doubles, delays and a restart.
#[test]
fn no_share_is_ever_lent_to_two() {
    match walk(Lenders::new(|_| {}), LENDING) {
        Ok(walked) => assert!(walked.worlds >= 30_000, "{walked:?}"),
        Err(found) => panic!("{}: {:?}", found.why, found.steps),
    }
}

/// Guards: a search that does not find a member that forgets its promises, or one that counts them from the answer.
#[test]
fn planted_breaks_of_lending_are_found() {
    assert!(walk(Lenders::new(|one| one.forgets = true), LENDING).is_err());
    assert!(walk(
        Lenders::new(|one| one.counts_from_the_answer = true),
        LENDING
    )
    .is_err());
}

/// Guards: shares of the dead that stay unused; more than the whole in any part of a fleet, whatever it believes.
#[test]
fn shares_of_the_gone_are_lent_and_never_more_than_the_whole_is_used() {
    let mut net = Net::new(6, true, 21);
    for node in 0..6 {
        net.nodes[node].as_mut().unwrap().view.me.who.roster = 6;
    }
    let whole = |net: &Net| -> f64 {
        let of = |one: &Members| {
            one.shares(net.now)
                .iter()
                .map(|(_, share)| share)
                .sum::<f64>()
        };
        net.nodes.iter().flatten().map(of).sum::<f64>() / 6.0
    };
    let mut most: f64 = 0.0;
    let mut run = |net: &mut Net, periods: u64| {
        for _ in 0..periods * 10 {
            net.run(net.now + P / 10);
            most = most.max(whole(net));
        }
        whole(net)
    };
    run(&mut net, 6);
    // They all learn of the roster that they share.
    (0..6).for_each(|node| {
        net.handle(
            node,
            Event::Placed {
                place: node as u32,
                roster: 7,
            },
        );
    });
    (0..6).for_each(|node| {
        net.handle(
            node,
            Event::Placed {
                place: node as u32,
                roster: 6,
            },
        );
    });
    (0..6).for_each(|node| net.handle(node, Event::Lending(true)));
    let near = |share: f64, wanted: f64| {
        assert!((share - wanted).abs() < 1e-9, "{share} used, not {wanted}");
    };
    near(run(&mut net, 12), 1.0);
    net.kill(2);
    near(run(&mut net, 20), 0.5 * 5.0 / 6.0 + 0.5);
    // The smaller part uses its own halves alone; the larger one what is lent, too.
    net.part = vec![0, 0, 0, 1, 1, 1];
    near(run(&mut net, 20), 0.5 * 5.0 / 6.0);
    net.part = vec![0, 0, 0, 0, 0, 1];
    near(run(&mut net, 30), 0.5 * 5.0 / 6.0 + 0.5);
    net.part = vec![0; 6];
    run(&mut net, 15);
    // One that goes on after six periods has its lease run out on its own clock.
    net.still[4] = net.now + 6 * P;
    run(&mut net, 12);
    // A roster that shrinks behind a cut, and grows again.
    net.part = vec![0, 0, 0, 0, 1, 1];
    run(&mut net, 5);
    (0..2).for_each(|node| {
        net.handle(
            node,
            Event::Placed {
                place: node as u32,
                roster: 4,
            },
        );
    });
    run(&mut net, 10);
    (0..2).for_each(|node| {
        net.handle(
            node,
            Event::Placed {
                place: node as u32,
                roster: 6,
            },
        );
    });
    net.part = vec![0; 6];
    run(&mut net, 30);
    assert!(
        most <= 1.0 + 1e-9,
        "{most} of the whole were used at a time"
    );
}
