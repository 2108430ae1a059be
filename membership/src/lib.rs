//! The fleet view: who is at work, as one member of a fleet knows it. SWIM's failure detection (Das, Gupta, Motivala,
//! DSN 2002) with suspicion and incarnations, Lifeguard's local health (Dadgar, Phillips, Currey, 2017), and a
//! comparison of whole views, so that parts that lost each other find together again. Events and the caller's clock
//! in, actions out, chance from a given seed. It must never do I/O, nor act on what it holds of others.

mod duties;
mod leases;
mod letters;
#[cfg(test)]
mod trials;
mod types;
mod view;

pub use duties::owner;
pub use letters::sum;
pub use types::*;
pub use view::Member;

use leases::Leases;
use letters::{Body, Claim, Head, Sheet, PARTS};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use view::{Heard, View};

/// How ill this member may hold itself, each step half a period more a round.
const ILLEST: u32 = 3;
/// Who is asked to ask a member that has not answered.
const HELPERS: usize = 3;
/// Who is told news in a period, beside those who are asked.
const TOLD: usize = 2;
/// Each so many periods one that is gone, or a seed, is asked.
const ROUNDS_TO_LOST: u32 = 4;
/// How many periods one that is gone is kept.
const KEPT: u64 = 1800;
/// Pages sent in a period.
const PAGES: u32 = 12;
/// How many look into a suspicion at once.
const LOOK_INTO: f64 = 5.0;
/// Members asked in a round by one that hears nobody.
const MOST_ASKED: usize = 64;
/// For how many periods a share is lent.
const LENT: u64 = 3;
/// What of a place's share is always its own; the rest is lent.
const OWN: f64 = 0.5;
/// After a stand-still no duty is done for so many periods: the word that it is another's may be under way.
const HOLDS_OFF: u64 = 3;
/// Members asked for others at a time.
const MOST_FAVOURS: usize = 64;

/// A member that has been asked and has not answered yet.
#[derive(Clone, Hash)]
struct Probe {
    id: u64,
    seq: u32,
    sent: Nanos,
    /// Whether helpers were asked for, and those that have said nothing yet.
    helped: bool,
    helpers: Vec<u64>,
    answered: bool,
}

/// A member asked for another.
#[derive(Clone, Hash)]
struct Favour {
    back: SocketAddr,
    theirs: u32,
    mine: u32,
    id: u64,
    until: Nanos,
}

/// Chance that can be told apart.
#[derive(Clone)]
struct Chance(ChaCha8Rng);

impl Hash for Chance {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.get_word_pos().hash(state);
    }
}

#[derive(Clone, Hash)]
pub struct Members {
    view: View,
    period: Nanos,
    seeds: Vec<SocketAddr>,
    fleet: u32,
    chance: Chance,
    /// The steady time of the start, and the system's clock then, in milliseconds.
    start: Nanos,
    unix: u64,
    /// Whom to ask, in turn, and how far that is done.
    order: Vec<u64>,
    at: usize,
    probes: Vec<Probe>,
    /// When anybody was heard last.
    heard: Nanos,
    favours: Vec<Favour>,
    next_round: Nanos,
    /// When news goes out by itself, and what a period allows is granted anew.
    next_talk: Nanos,
    rounds: u32,
    ill: u32,
    /// How late it has been woken of late, each step a period more between two talks.
    late: u32,
    seq: u32,
    pages: u32,
    compared: Option<Nanos>,
    leases: Leases,
    lending: bool,
    /// The roster before the one that counts now, until all are of that.
    before: Option<u32>,
    /// Until when no duty is done.
    off_until: Nanos,
    superseded: bool,
    /// The latest of its words by which others held it gone.
    held_gone: Option<Age>,
    /// When the first suspicion is over, and the moment asked for last.
    over: Nanos,
    due: Nanos,
    /// A planted break, for a test that looks for it.
    #[cfg(test)]
    never_refutes: bool,
}

impl Members {
    /// `unix` is the system's clock, in milliseconds.
    pub fn new(who: Who, terms: Terms, now: Nanos, unix: u64, seed: u64) -> Members {
        let mut chance = Chance(ChaCha8Rng::seed_from_u64(seed));
        let Terms {
            period,
            seeds,
            most,
            fleet,
        } = terms;
        // Members that start together do not ask in step.
        let first = now + (period as f64 / 4.0 * chance.0.random::<f64>()) as Nanos;
        let seq = chance.0.random();
        let leases = Leases::new(who.place, unix, who.roster, LENT * period, now);
        Members {
            view: View::new(who, unix, now, most),
            period: period.max(1),
            seeds,
            fleet,
            chance,
            start: now,
            unix,
            order: Vec::new(),
            at: 0,
            probes: Vec::new(),
            heard: now,
            favours: Vec::new(),
            next_round: first,
            next_talk: first,
            rounds: 0,
            ill: 0,
            late: 0,
            seq,
            pages: PAGES,
            compared: None,
            leases,
            lending: false,
            before: None,
            off_until: now,
            superseded: false,
            held_gone: None,
            over: Nanos::MAX,
            due: first,
            #[cfg(test)]
            never_refutes: false,
        }
    }

    /// The moment at which it is to be woken.
    pub fn next(&self) -> Nanos {
        self.due
    }

    pub fn me(&self) -> (&Who, Age, State) {
        (&self.view.me.who, self.view.me.age, self.view.me.state)
    }

    /// All others that it knows of.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.view.all.values()
    }

    /// What is alike for views that agree.
    pub fn digest(&self) -> u64 {
        self.view.digest()
    }

    /// Since when the view has stood still.
    pub fn still(&self) -> Nanos {
        self.view.still
    }

    /// How ill it holds itself: each step makes a round half a period longer.
    pub fn ill(&self) -> u32 {
        self.ill
    }

    /// Whether another process took its name.
    pub fn superseded(&self) -> bool {
        self.superseded
    }

    pub fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        if self.superseded {
            return;
        }
        self.mind_the_gap(now, out);
        match event {
            Event::Wake => {}
            Event::Letter { from, bytes } => self.letter(now, from, bytes, out),
            Event::Stands(state) if state.rank() == 0 && state != self.view.me.state => {
                self.view.say(now, |me| me.state = state);
            }
            Event::Stands(_) => {}
            Event::Placed { place, roster } => {
                let who = &self.view.me.who;
                if (who.place, who.roster) != (place, roster) {
                    self.before = Some(who.roster);
                    let life = self.view.me.age.life;
                    self.leases = Leases::new(place, life, roster, LENT * self.period, now);
                    self.view
                        .say(now, |me| (me.who.place, me.who.roster) = (place, roster));
                }
            }
            Event::Seeds(seeds) => self.seeds = seeds,
            Event::Lending(lending) => self.lending = lending,
            Event::Ends => {
                self.view
                    .say(now, |me| (me.state, me.who.roster) = (State::Gone, 0));
                for id in self.some(HELPERS + 1, None) {
                    self.send(id, Body::Gossip, None, out);
                }
                self.superseded = true;
            }
        }
        if !self.superseded {
            self.tick(now, out);
        }
        self.over = self.view.next_over(self.period).unwrap_or(Nanos::MAX);
        self.due = self.soonest();
    }

    fn soonest(&self) -> Nanos {
        if self.superseded {
            return Nanos::MAX;
        }
        let unasked = self.probes.iter().filter(|p| !p.answered && !p.helped);
        let probe = unasked.map(|p| p.sent + self.patience()).min();
        let favour = self.favours.iter().map(|favour| favour.until).min();
        let lease = self.leases.next().filter(|_| self.lending);
        [probe, favour, lease].into_iter().flatten().fold(
            self.next_round.min(self.next_talk).min(self.over),
            Nanos::min,
        )
    }

    /// How long a direct answer may take.
    fn patience(&self) -> Nanos {
        self.period * 3 / 10 * Nanos::from(2 + self.ill) / 2
    }

    /// The process may have stood still. Guards: others accused of not answering one who did not listen.
    fn mind_the_gap(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let late = now.saturating_sub(self.due);
        if late > self.period / 2 {
            self.probes.clear();
            self.view.wait_longer(late);
            self.worse(1);
            self.late = (self.late + 2).min(ILLEST);
            self.next_round = now;
            self.off_until = now + HOLDS_OFF * self.period;
            out.push(Action::StoodStill(late));
        }
    }

    fn worse(&mut self, by: u32) {
        self.ill = (self.ill + by).min(ILLEST);
    }

    fn tick(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let patience = self.patience();
        let late = |p: &Probe| !p.answered && !p.helped && now >= p.sent + patience;
        let waited: Vec<(usize, u64, u32)> = self
            .probes
            .iter()
            .enumerate()
            .filter(|(_, p)| late(p))
            .map(|(n, p)| (n, p.id, p.seq))
            .collect();
        for (place, id, seq) in waited {
            let helpers = self.some(HELPERS, Some(id));
            (self.probes[place].helped, self.probes[place].helpers) = (true, helpers.clone());
            for helper in helpers {
                self.send(helper, Body::Ask { seq, to: id }, None, out);
            }
        }
        let late: Vec<Favour> = self
            .favours
            .iter()
            .filter(|favour| now >= favour.until)
            .cloned()
            .collect();
        self.favours.retain(|favour| now < favour.until);
        for favour in late {
            self.send_to(
                favour.back,
                Body::Vouch {
                    seq: favour.theirs,
                    answered: false,
                },
                None,
                out,
            );
        }
        // No suspicion that has come since is over yet.
        let over = if now >= self.over {
            self.view.over(now, self.period)
        } else {
            Vec::new()
        };
        for id in over {
            if let Some(claim) = self.view.claim(id) {
                self.hear(
                    now,
                    &Claim {
                        state: State::Gone,
                        by: self.view.id,
                        ..claim
                    },
                    out,
                );
            }
        }
        if self.lending {
            self.borrow(now, out);
        }
        if now >= self.next_talk {
            self.talk(now, out);
        }
        if now >= self.next_round {
            self.judge(now, out);
            self.begin(now, out);
        }
    }

    /// Those that are at work, this member among them, by their numbers: one that is suspect is until it is gone.
    fn at_work(&self) -> impl Iterator<Item = u64> + '_ {
        let there = |held: &Member| matches!(held.state, State::Working | State::Suspect);
        let me =
            Some(self.view.id).filter(|_| self.view.me.state == State::Working && !self.superseded);
        self.view
            .all
            .iter()
            .filter(move |(_, held)| there(held))
            .map(|(id, _)| *id)
            .chain(me)
    }

    /// Where the member of a place takes letters, unless it is gone.
    pub fn address_of(&self, place: u32) -> Option<SocketAddr> {
        let roster = self.view.me.who.roster;
        let of =
            |m: &&Member| (m.who.place, m.who.roster) == (place, roster) && m.state != State::Gone;
        self.view.all.values().find(of).map(|m| m.who.address)
    }

    /// The place of the member that takes letters there, if it is of this one's roster.
    pub fn place_at(&self, address: SocketAddr) -> Option<u32> {
        let roster = self.view.me.who.roster;
        let of = |m: &&Member| m.who.address == address && m.who.roster == roster;
        self.view.all.values().find(of).map(|m| m.who.place)
    }

    /// Whether duties rest, as this member has stood still.
    pub fn holds_off(&self, now: Nanos) -> bool {
        now < self.off_until
    }

    /// Of these duties, those that are this member's to do.
    pub fn duties(&self, now: Nanos, duties: impl Iterator<Item = u64>) -> Vec<u64> {
        if self.holds_off(now) {
            return Vec::new();
        }
        let members: Vec<u64> = self.at_work().collect();
        duties
            .filter(|duty| owner(*duty, members.iter().copied()) == Some(self.view.id))
            .collect()
    }

    /// Whether all that are known, the gone too, go by one roster; those that left by their own word do not count.
    pub fn one_roster(&self) -> bool {
        self.view.one_roster(self.view.me.who.roster)
    }

    /// Asks all places to promise this member its own share and those of the gone that are its to take up.
    fn borrow(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let me = &self.view.me.who;
        let (place, roster) = (me.place, me.roster);
        let mut parts = BTreeSet::new();
        if self.one_roster() && self.view.me.state == State::Working {
            self.before = None;
            let there: BTreeSet<u32> = self
                .view
                .all
                .values()
                .filter(|m| m.state != State::Gone)
                .map(|m| m.who.place)
                .collect();
            let members: Vec<u64> = self.at_work().collect();
            let mine =
                |part: &u32| owner(u64::from(*part), members.iter().copied()) == Some(self.view.id);
            parts = (0..roster)
                .filter(|part| !there.contains(part) && *part != place)
                .filter(mine)
                .collect();
            parts.insert(place);
        }
        self.leases.want(&parts);
        if let Some((seq, parts)) = self.leases.due(now) {
            let all: Vec<u64> = self
                .view
                .all
                .keys()
                .copied()
                .filter(|id| !self.view.gone.contains(id))
                .collect();
            for id in all {
                self.send(
                    id,
                    Body::Lend {
                        seq,
                        parts: parts.clone(),
                    },
                    None,
                    out,
                );
            }
        }
    }

    /// Which places' shares this member may use now, and how much of each: half of its own whatever anybody holds to
    /// be true, and what others have lent it.
    pub fn shares(&self, now: Nanos) -> Vec<(u32, f64)> {
        let (place, roster) = (self.view.me.who.place, self.view.me.who.roster);
        if self.superseded {
            return Vec::new();
        }
        let mut shares: Vec<(u32, f64)> = self
            .leases
            .held(now)
            .filter(|part| *part < roster)
            .map(|part| (part, 1.0 - OWN))
            .collect();
        // Where rosters differ, no more of the whole than by either.
        let own = match self.before {
            Some(before) if !self.one_roster() => {
                OWN * (f64::from(roster) / f64::from(before.max(1))).min(1.0)
            }
            None if !self.one_roster() => 0.0,
            _ => OWN,
        };
        match shares.iter_mut().find(|(part, _)| *part == place) {
            Some((_, share)) => *share += own,
            None => shares.push((place, own)),
        }
        shares
    }

    /// What a period brings beside the round.
    fn talk(&mut self, now: Nanos, out: &mut Vec<Action>) {
        // Guards: members of one machine that are late since all of them are, and keep each other so by what they send
        // beside their rounds.
        self.next_talk = now + self.period * Nanos::from(1 + self.late);
        (self.pages, self.rounds) = (PAGES / (1 + self.late), self.rounds + 1);
        self.late = self.late.saturating_sub(1);
        self.view.forget(now.saturating_sub(KEPT * self.period));
        let alone = self.view.living() == 1;
        if alone || self.rounds.is_multiple_of(ROUNDS_TO_LOST) {
            self.ask_lost(out);
        }
        if self.view.has_news() {
            for id in self.some(TOLD, None) {
                self.send(id, Body::Gossip, None, out);
            }
        }
    }

    /// Asks one that is gone, or a seed that is no member, whether it is there after all.
    fn ask_lost(&mut self, out: &mut Vec<Action>) {
        let view = &self.view;
        let seeds = self
            .seeds
            .iter()
            .filter(|a| **a != view.me.who.address && view.at(**a).is_none());
        let mut lost: Vec<(SocketAddr, Option<u64>)> = seeds.map(|a| (*a, None)).collect();
        lost.extend(
            view.gone
                .iter()
                .filter_map(|id| Some((view.all.get(id)?.who.address, Some(*id)))),
        );
        if lost.is_empty() {
            return;
        }
        let (address, id) = lost[self.chance.0.random_range(0..lost.len())];
        self.send_to(address, Body::Ping { seq: 0, to: 0 }, id, out);
    }

    /// What has come of the round.
    fn judge(&mut self, now: Nanos, out: &mut Vec<Action>) {
        for probe in std::mem::take(&mut self.probes) {
            if probe.answered {
                self.ill = self.ill.saturating_sub(1);
                continue;
            }
            // Helpers that said nothing either, and are well: it may be this member that hears nobody.
            let well = |id: &&u64| {
                self.view
                    .all
                    .get(id)
                    .is_some_and(|held| held.state.rank() == 0)
            };
            let silent = probe.helpers.iter().filter(well).count() as u32;
            self.worse(silent.max(u32::from(!probe.helped)));
            self.accuse(now, probe.id, out);
        }
    }

    /// Holds a member suspect, or says so once more by itself.
    fn accuse(&mut self, now: Nanos, id: u64, out: &mut Vec<Action>) {
        let Some(claim) = self
            .view
            .claim(id)
            .filter(|claim| claim.state != State::Gone)
        else {
            return;
        };
        self.hear(
            now,
            &Claim {
                state: State::Suspect,
                by: self.view.id,
                ..claim
            },
            out,
        );
    }

    /// Asks the next in turn.
    fn begin(&mut self, now: Nanos, out: &mut Vec<Action>) {
        // One that hears nobody asks more of them at a time, to know whether anybody is left.
        let alone = now > self.heard + 2 * self.period;
        self.next_round = now + self.period * if alone { 2 } else { Nanos::from(2 + self.ill) } / 2;
        let there = |view: &View, id: &u64| {
            view.all
                .get(id)
                .is_some_and(|held| held.state != State::Gone)
        };
        if self.at >= self.order.len() {
            self.order = self
                .view
                .all
                .keys()
                .copied()
                .filter(|id| there(&self.view, id))
                .collect();
            self.at = 0;
            for n in (1..self.order.len()).rev() {
                let other = self.chance.0.random_range(0..=n);
                self.order.swap(n, other);
            }
        }
        // Where many are suspect, there may be more.
        let many = 1 + (self.view.doubted.len() / 4).min(3);
        let count = if alone {
            (self.order.len() / 4).clamp(many, MOST_ASKED)
        } else {
            many
        };
        while self.probes.len() < count && self.at < self.order.len() {
            let id = self.order[self.at];
            self.at += 1;
            if there(&self.view, &id) {
                let seq = self.fresh_seq();
                self.probes.push(Probe {
                    id,
                    seq,
                    sent: now,
                    helped: false,
                    helpers: Vec::new(),
                    answered: false,
                });
                self.send(id, Body::Ping { seq, to: id }, self.against(id), out);
            }
        }
    }

    /// A member that is suspect is told so before all else.
    fn against(&self, id: u64) -> Option<u64> {
        Some(id).filter(|id| self.view.doubted.contains_key(id))
    }

    fn fresh_seq(&mut self) -> u32 {
        // None is for those whose answer does not matter.
        self.seq = self.seq.wrapping_add(1).max(1);
        self.seq
    }

    /// So many others that are not gone, by chance.
    fn some(&mut self, count: usize, but: Option<u64>) -> Vec<u64> {
        let there = |(id, held): &(&u64, &Member)| held.state.rank() == 0 && Some(**id) != but;
        let mut all: Vec<u64> = self
            .view
            .all
            .iter()
            .filter(there)
            .map(|(id, _)| *id)
            .collect();
        let count = count.min(all.len());
        for n in 0..count {
            let other = self.chance.0.random_range(n..all.len());
            all.swap(n, other);
        }
        all.truncate(count);
        all
    }

    fn send(&mut self, id: u64, body: Body, first: Option<u64>, out: &mut Vec<Action>) {
        if let Some(to) = self.view.all.get(&id).map(|held| held.who.address) {
            self.send_to(to, body, first, out);
        }
    }

    /// Sends with it what is news; what is held of `first` before all else.
    fn send_to(&mut self, to: SocketAddr, body: Body, first: Option<u64>, out: &mut Vec<Action>) {
        let mut sheet = Sheet::new(&self.head(body));
        let first = first.and_then(|id| self.view.claim(id));
        if let Some(claim) = &first {
            sheet.add(claim);
        }
        for id in self.view.news() {
            let Some(claim) = self.view.claim(id) else {
                continue;
            };
            if first.as_ref() != Some(&claim) && !sheet.add(&claim) {
                break;
            }
            self.view.passed_on(id);
        }
        self.view.said();
        out.push(Action::Send {
            to,
            bytes: sheet.end(),
        });
    }

    fn head(&self, body: Body) -> Head {
        Head {
            fleet: self.fleet,
            me: self.view.me.clone(),
            digest: self.view.digest(),
            body,
        }
    }

    fn letter(&mut self, now: Nanos, from: SocketAddr, bytes: &[u8], out: &mut Vec<Action>) {
        let odd = |why| Action::Odd { why, from };
        let (head, claims) = match letters::read(bytes) {
            Ok(read) => read,
            Err(why) => return out.push(odd(why)),
        };
        if head.fleet != self.fleet {
            return out.push(odd("a letter of another fleet"));
        }
        if head.me.who.address != from
            || !matches!(head.me.state.rank(), 0) && head.me.state != State::Gone
        {
            return out.push(odd("a member that speaks for another address"));
        }
        let sender = view::number(&head.me.who.name);
        let heard = self.hear(now, &head.me, out);
        if self.superseded {
            return;
        }
        self.heard = now;
        let page = matches!(head.body, Body::Page { .. });
        for mut claim in claims {
            // What was settled elsewhere, maybe behind a cut, is looked into here. Guards: members of one part put out
            // by the other when the two find together.
            if page && claim.state == State::Gone && self.view.living_still(&claim) {
                (claim.state, claim.by) = (State::Suspect, 0);
            }
            self.hear(now, &claim, out);
        }
        if self.superseded {
            return;
        }
        if sender == self.view.id {
            // An older process of the same name: it hears of this one.
            if head.body != Body::Gossip {
                self.send_to(from, Body::Gossip, None, out);
            }
            return;
        }
        // Who is held gone or suspect, or was another life, hears of it, so that it can say otherwise.
        let grave = matches!(heard, Heard::Old).then_some(sender);
        match head.body {
            Body::Ping { seq, to } if to == 0 || to == self.view.id => {
                self.send_to(from, Body::Ack { seq }, grave, out);
                self.compare(now, from, head.digest, out);
            }
            Body::Ping { .. } => out.push(odd("a letter for another member")),
            Body::Ack { seq } => self.answered(sender, seq, out),
            Body::Ask { seq, to } => self.favour(now, from, seq, to, out),
            Body::Vouch { seq, answered } => {
                let Some(place) = self.probes.iter().position(|p| p.seq == seq && p.helped) else {
                    return;
                };
                let probe = &mut self.probes[place];
                probe.answered |= answered;
                probe.helpers.retain(|id| *id != sender);
                if !probe.answered && probe.helpers.is_empty() {
                    // It has answered none of them either.
                    let probe = self.probes.swap_remove(place);
                    self.accuse(now, probe.id, out);
                }
            }
            Body::Lend { seq, parts } => {
                let (who, life) = (&head.me.who, head.me.age.life);
                if who.roster == self.view.me.who.roster && who.place != self.view.me.who.place {
                    let parts = self.leases.ask(now, who.place, life, &parts);
                    self.send_to(from, Body::Lent { seq, parts }, None, out);
                }
            }
            Body::Lent { seq, parts } => {
                let who = &head.me.who;
                if who.roster == self.view.me.who.roster && who.place != self.view.me.who.place {
                    self.leases.granted(now, who.place, seq, &parts);
                }
            }
            Body::Gossip => {
                if grave.is_some() {
                    self.send_to(from, Body::Gossip, grave, out);
                }
            }
            Body::Compare { parts } => {
                let differ = |n: &usize| parts.get(*n) != self.view.parts().get(*n);
                let wanted = (0..PARTS).filter(differ).fold(0, |mask, n| mask | 1 << n);
                self.page(from, wanted, wanted, out);
            }
            Body::Page { wanted } => self.page(from, wanted, 0, out),
        }
    }

    /// Shows one whose view differs what this one's is like, once a period at the most.
    fn compare(&mut self, now: Nanos, to: SocketAddr, digest: u64, out: &mut Vec<Action>) {
        if digest == self.view.digest() || self.compared.is_some_and(|t| now < t + self.period / 2)
        {
            return;
        }
        self.compared = Some(now);
        let parts = self.view.parts().to_vec();
        let head = self.head(Body::Compare { parts });
        out.push(Action::Send {
            to,
            bytes: Sheet::new(&head).end(),
        });
    }

    /// Sends what is held in these parts, the gone too, and asks for the other's `wanted`.
    fn page(&mut self, to: SocketAddr, parts: u32, wanted: u32, out: &mut Vec<Action>) {
        let in_them = |id: &u64| parts & 1 << (id % PARTS as u64) != 0;
        let ids: Vec<u64> = self.view.all.keys().copied().filter(in_them).collect();
        let from = if ids.is_empty() {
            0
        } else {
            self.chance.0.random_range(0..ids.len())
        };
        let mut wanted = Some(wanted).filter(|w| *w != 0);
        let mut ids = ids[from..].iter().chain(&ids[..from]).copied().peekable();
        // One page at the least where the other is asked for its own.
        while self.pages > 0 && (wanted.is_some() || ids.peek().is_some()) {
            self.pages -= 1;
            let mut sheet = Sheet::new(&self.head(Body::Page {
                wanted: wanted.take().unwrap_or(0),
            }));
            while let Some(claim) = ids.peek().and_then(|id| self.view.claim(*id)) {
                if !sheet.add(&claim) {
                    break;
                }
                ids.next();
            }
            out.push(Action::Send {
                to,
                bytes: sheet.end(),
            });
        }
    }

    fn answered(&mut self, sender: u64, seq: u32, out: &mut Vec<Action>) {
        if let Some(probe) = self
            .probes
            .iter_mut()
            .find(|probe| probe.seq == seq && probe.id == sender)
        {
            probe.answered = true;
        }
        if let Some(place) = self
            .favours
            .iter()
            .position(|favour| favour.mine == seq && favour.id == sender)
        {
            let favour = self.favours.swap_remove(place);
            self.send_to(
                favour.back,
                Body::Vouch {
                    seq: favour.theirs,
                    answered: true,
                },
                None,
                out,
            );
        }
    }

    /// Asks a member for another.
    fn favour(
        &mut self,
        now: Nanos,
        back: SocketAddr,
        theirs: u32,
        id: u64,
        out: &mut Vec<Action>,
    ) {
        if self.favours.len() >= MOST_FAVOURS || !self.view.all.contains_key(&id) {
            return;
        }
        let mine = self.fresh_seq();
        self.favours.push(Favour {
            back,
            theirs,
            mine,
            id,
            until: now + self.period * 3 / 10,
        });
        self.send(id, Body::Ping { seq: mine, to: id }, self.against(id), out);
    }

    /// Takes in what is said of anyone.
    fn hear(&mut self, now: Nanos, claim: &Claim, out: &mut Vec<Action>) -> Heard {
        let clock = self.unix + now.saturating_sub(self.start) / 1_000_000;
        let id = view::number(&claim.who.name);
        let address = self.view.all.get(&id).map(|held| held.who.address);
        let heard = self.view.hear(now, claim, clock);
        match heard {
            Heard::Changed(before) => {
                let (name, to) = (claim.who.name.clone(), claim.who.address);
                if let Some(from) = address.filter(|from| *from != to) {
                    out.push(Action::Moved { name, from, to });
                }
                if before.is_none() {
                    // It is asked within the pass that is under way.
                    let place = self
                        .chance
                        .0
                        .random_range(self.at.min(self.order.len())..=self.order.len());
                    self.order.insert(place, id);
                }
                if claim.state == State::Suspect && before != Some(State::Suspect) {
                    self.look_into(id);
                }
                // What is held now may be graver than nothing: a new one that is suspect has become it at once.
                if before != Some(claim.state) {
                    let (name, address) = (claim.who.name.clone(), claim.who.address);
                    out.push(Action::Changed {
                        name,
                        address,
                        before,
                        state: claim.state,
                    });
                }
            }
            Heard::Me => self.about_me(now, claim, out),
            Heard::Odd(why) => out.push(Action::Odd {
                why,
                from: claim.who.address,
            }),
            Heard::Nothing | Heard::Old => {}
        }
        heard
    }

    /// A few of those who hear of a suspicion ask the suspect next, to find out by themselves.
    fn look_into(&mut self, id: u64) {
        let others = self.view.living().saturating_sub(2).max(1) as f64;
        if self.chance.0.random::<f64>() < LOOK_INTO / others
            && !self.probes.iter().any(|probe| probe.id == id)
        {
            let place = self.at.min(self.order.len());
            self.order.insert(place, id);
        }
    }

    /// Somebody says something of this member itself.
    fn about_me(&mut self, now: Nanos, claim: &Claim, out: &mut Vec<Action>) {
        let (mine, same) = (
            self.view.me.age,
            claim.who.address == self.view.me.who.address,
        );
        let gone = claim.state == State::Gone;
        if claim.age.life == mine.life && same {
            if gone && self.held_gone < Some(claim.age) {
                self.held_gone = Some(claim.age);
                out.push(Action::WasGone);
            }
            // A word that this member never said, or one that it does not stand by.
            if claim.age.word > mine.word || claim.age.word == mine.word && claim.state.rank() > 0 {
                #[cfg(test)]
                if self.never_refutes {
                    return;
                }
                self.worse(1);
                self.view
                    .say(now, |me| me.age.word = me.age.word.max(claim.age.word));
                // At once, the accuser first: the suspicion runs.
                let accuser = Some(claim.by).filter(|by| self.view.all.contains_key(by));
                let others = self.some(HELPERS, accuser);
                for id in accuser.into_iter().chain(others) {
                    self.send(id, Body::Gossip, None, out);
                }
            }
        } else if claim.age.life >= mine.life && (same || gone) {
            // A life before this one, under a clock that ran back since; or one that another process had and lost.
            self.view.say(now, |me| {
                me.age = Age {
                    life: claim.age.life,
                    word: u32::MAX,
                }
            });
        } else if (claim.age.life, claim.who.address) > (mine.life, self.view.me.who.address)
            && !gone
        {
            self.superseded = true;
            out.push(Action::Superseded {
                by: claim.who.address,
            });
        }
    }
}
