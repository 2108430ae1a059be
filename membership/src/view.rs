//! What one member holds of all others: who there is, in which state, by which word, and what is news. It owns what
//! counts when two words differ. It must never send anything nor ask anybody.

use crate::letters::{Claim, PARTS};
use crate::types::*;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use xxhash_rust::xxh3::{xxh3_64, Xxh3};

/// How far in the future a life may lie: clocks differ.
const AHEAD: u64 = 24 * 3600 * 1000;
/// Who says the same by itself until a suspicion needs no more of them.
const ENOUGH: usize = 3;
/// Under what a claim takes in a letter.
const SHORTEST_CLAIM: usize = 16;

pub(crate) fn number(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Another member, as it is held.
#[derive(Clone, Debug, Hash)]
pub struct Member {
    pub who: Arc<Who>,
    pub age: Age,
    pub state: State,
    pub since: Nanos,
    /// How often it has been passed on.
    told: u32,
}

/// Since when a member is suspect, and to whom.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Doubt {
    from: Nanos,
    by: Vec<u64>,
}

/// What came of a claim.
#[derive(Debug, PartialEq)]
pub(crate) enum Heard {
    Nothing,
    /// It is older than what is held.
    Old,
    /// No state before for one that is new.
    Changed(Option<State>),
    /// It is about this member itself.
    Me,
    Odd(&'static str),
}

#[derive(Clone, Hash)]
pub(crate) struct View {
    pub me: Claim,
    pub id: u64,
    pub all: BTreeMap<u64, Member>,
    /// What is news, by how often it was passed on and the member's number. Guards: a letter whose cost grows with all that
    /// is news, of which it holds a little.
    fresh: BTreeSet<(u32, u64)>,
    /// Who is suspect and who is gone, by their numbers.
    pub doubted: BTreeMap<u64, Doubt>,
    pub gone: BTreeSet<u64>,
    /// How many are held to go by each number of places. Guards: a look at every member in each turn of the program.
    rosters: BTreeMap<u32, usize>,
    /// How often this member's own word has been passed on.
    told: u32,
    parts: [u32; PARTS],
    /// Since when nothing has changed.
    pub still: Nanos,
    most: usize,
    /// A planted break, for a test that looks for it.
    #[cfg(test)]
    pub never_lapses: bool,
}

fn trace(id: u64, age: Age, state: State) -> u32 {
    let mut hash = Xxh3::new();
    (id, age, state).hash(&mut hash);
    hash.finish() as u32
}

impl View {
    pub fn new(who: Who, life: u64, now: Nanos, most: usize) -> View {
        let id = number(&who.name);
        let me = Claim {
            who,
            age: Age { life, word: 0 },
            state: State::Working,
            by: 0,
        };
        let (fresh, doubted, gone, rosters) = Default::default();
        let (all, parts) = (BTreeMap::new(), [0; PARTS]);
        let mut view = View {
            me,
            id,
            all,
            fresh,
            doubted,
            gone,
            rosters,
            told: 0,
            parts,
            still: now,
            most,
            #[cfg(test)]
            never_lapses: false,
        };
        view.count(id, view.me.age, view.me.state, true);
        view
    }

    /// Puts one word into what tells views apart, or takes it out. The gone are left out: each forgets them alone.
    fn count(&mut self, id: u64, age: Age, state: State, in_it: bool) {
        if state != State::Gone {
            let (part, trace) = (&mut self.parts[id as usize % PARTS], trace(id, age, state));
            *part = if in_it {
                part.wrapping_add(trace)
            } else {
                part.wrapping_sub(trace)
            };
        }
    }

    pub fn parts(&self) -> &[u32; PARTS] {
        &self.parts
    }

    pub fn digest(&self) -> u64 {
        let mut hash = Xxh3::new();
        self.parts.hash(&mut hash);
        hash.finish()
    }

    /// How many are not gone, this member among them.
    pub fn living(&self) -> usize {
        self.all.len() + 1 - self.gone.len()
    }

    /// Says something else of this member, by a new word.
    pub fn say(&mut self, now: Nanos, say: impl FnOnce(&mut Claim)) {
        self.count(self.id, self.me.age, self.me.state, false);
        say(&mut self.me);
        self.me.age = self.me.age.next();
        (self.told, self.still) = (0, now);
        self.count(self.id, self.me.age, self.me.state, true);
    }

    /// Takes in what is said of a member; `known` is the latest life that the system's clock allows.
    pub fn hear(&mut self, now: Nanos, claim: &Claim, clock: u64) -> Heard {
        let id = number(&claim.who.name);
        if id == self.id {
            return Heard::Me;
        }
        if claim.age.life > clock.saturating_add(AHEAD) {
            return Heard::Odd("a life of the far future");
        }
        let Some(held) = self.all.get_mut(&id) else {
            if claim.state == State::Gone {
                return Heard::Nothing;
            }
            if self.all.len() >= self.most && !self.forget_one() {
                return Heard::Odd("more members than may be kept");
            }
            let who = Arc::new(claim.who.clone());
            let (age, state) = (claim.age, State::Working);
            self.goes_by(who.roster, true);
            self.all.insert(
                id,
                Member {
                    who,
                    age,
                    state,
                    since: now,
                    told: 0,
                },
            );
            self.count(id, age, state, true);
            self.turn(now, id, claim);
            return Heard::Changed(None);
        };
        if held.who.name != claim.who.name {
            return Heard::Odd("two names of one number");
        }
        let newer = claim.age > held.age;
        if newer && claim.age.life == held.age.life && claim.who.address != held.who.address {
            return Heard::Odd("two addresses in one life");
        }
        let graver = claim.age == held.age && claim.state.rank() > held.state.rank();
        if newer || graver {
            let before = held.state;
            self.turn(now, id, claim);
            return Heard::Changed(Some(before));
        }
        if claim.age < held.age {
            return Heard::Old;
        }
        let doubt = self
            .doubted
            .get_mut(&id)
            .filter(|_| claim.state == State::Suspect);
        if let Some(doubt) =
            doubt.filter(|doubt| doubt.by.len() <= ENOUGH && !doubt.by.contains(&claim.by))
        {
            doubt.by.push(claim.by);
            // Another who found it out by itself is news.
            self.fresh.remove(&(held.told, id));
            held.told = 0;
            self.fresh.insert((0, id));
        }
        if held.state.rank() > claim.state.rank() {
            Heard::Old
        } else {
            Heard::Nothing
        }
    }

    /// Whether the member of a claim is held to be there, by that word.
    pub fn living_still(&self, claim: &Claim) -> bool {
        self.all
            .get(&number(&claim.who.name))
            .is_some_and(|m| m.state.rank() < 2 && m.age == claim.age)
    }

    /// Holds of a member what a claim says.
    fn turn(&mut self, now: Nanos, id: u64, claim: &Claim) {
        let Some(held) = self.all.get_mut(&id) else {
            return;
        };
        let (age, state, told, roster) = (held.age, held.state, held.told, held.who.roster);
        if *held.who != claim.who {
            held.who = Arc::new(claim.who.clone());
        }
        (held.age, held.state, held.told) = (claim.age, claim.state, 0);
        if state != claim.state {
            held.since = now;
        }
        self.goes_by(roster, false);
        self.goes_by(claim.who.roster, true);
        self.count(id, age, state, false);
        self.count(id, claim.age, claim.state, true);
        self.fresh.remove(&(told, id));
        self.fresh.insert((0, id));
        self.still = now;
        match claim.state {
            State::Suspect => {
                _ = self.doubted.insert(
                    id,
                    Doubt {
                        from: now,
                        by: vec![claim.by],
                    },
                );
            }
            _ => _ = self.doubted.remove(&id),
        }
        match claim.state {
            State::Gone => _ = self.gone.insert(id),
            _ => _ = self.gone.remove(&id),
        }
    }

    /// Counts a member that goes by so many places, or counts it no more.
    fn goes_by(&mut self, roster: u32, in_it: bool) {
        let count = self.rosters.entry(roster).or_default();
        *count = if in_it {
            *count + 1
        } else {
            count.saturating_sub(1)
        };
        if *count == 0 {
            self.rosters.remove(&roster);
        }
    }

    /// Whether all that are known, the gone too, go by this number of places; those that left by their own word do not
    /// count.
    pub fn one_roster(&self, roster: u32) -> bool {
        self.rosters.keys().all(|of| *of == roster || *of == 0)
    }

    /// What is held of a member, to pass it on; the accuser's number where this member can vouch for one.
    pub fn claim(&self, id: u64) -> Option<Claim> {
        if id == self.id {
            return Some(self.me.clone());
        }
        let held = self.all.get(&id)?;
        let by = self
            .doubted
            .get(&id)
            .and_then(|doubt| doubt.by.last().copied())
            .unwrap_or(0);
        Some(Claim {
            who: (*held.who).clone(),
            age: held.age,
            state: held.state,
            by,
        })
    }

    /// How often a piece of news is passed on.
    fn often(&self) -> u32 {
        2 * (self.living() as f64 + 1.0).log2().ceil() as u32 + 2
    }

    /// News, what was passed on least often first, no more than a letter holds; each counts as passed on once more when
    /// it is taken.
    pub fn news(&self) -> Vec<u64> {
        self.fresh
            .iter()
            .take(LONGEST_LETTER / SHORTEST_CLAIM)
            .map(|(_, id)| *id)
            .collect()
    }

    pub fn has_news(&self) -> bool {
        !self.fresh.is_empty() || self.told < self.often()
    }

    /// It went out in a letter.
    pub fn passed_on(&mut self, id: u64) {
        let often = self.often();
        if let Some(held) = self.all.get_mut(&id) {
            if self.fresh.remove(&(held.told, id)) && held.told + 1 < often {
                self.fresh.insert((held.told + 1, id));
            }
            held.told = held.told.saturating_add(1);
        }
    }

    /// This member's own word went out in a letter, as it does in each.
    pub fn said(&mut self) {
        self.told = self.told.saturating_add(1);
    }

    /// How long a suspicion lasts, by how many say it: the shorter the more found it out by themselves.
    fn lasts(&self, period: Nanos) -> impl Fn(&Doubt) -> Nanos {
        let living = self.living() as f64;
        let shortest = (2.0 + living.log2() / 4.0) * period as f64;
        // Those who could have found it out too: this one does not wait for the suspect.
        let enough = ENOUGH.min(self.living().saturating_sub(self.doubted.len() + 1)) as f64;
        let lasts = move |others: usize| {
            if enough == 0.0 {
                return shortest as Nanos;
            }
            let part = ((others as f64 + 1.0).ln() / (enough + 1.0).ln()).min(1.0);
            (shortest * (4.0 - 3.0 * part)) as Nanos
        };
        // No more say so than are counted.
        let all: [Nanos; ENOUGH + 1] = std::array::from_fn(lasts);
        move |doubt| all[doubt.by.len().saturating_sub(1).min(ENOUGH)]
    }

    /// When the first suspicion is over.
    pub fn next_over(&self, period: Nanos) -> Option<Nanos> {
        #[cfg(test)]
        if self.never_lapses {
            return None;
        }
        let lasts = self.lasts(period);
        self.doubted
            .values()
            .map(|doubt| doubt.from.saturating_add(lasts(doubt)))
            .min()
    }

    /// Those whose suspicion is over.
    pub fn over(&self, now: Nanos, period: Nanos) -> Vec<u64> {
        #[cfg(test)]
        if self.never_lapses {
            return Vec::new();
        }
        let lasts = self.lasts(period);
        let over = |doubt: &Doubt| now >= doubt.from.saturating_add(lasts(doubt));
        self.doubted
            .iter()
            .filter(|(_, doubt)| over(doubt))
            .map(|(id, _)| *id)
            .collect()
    }

    /// This member stood still: what others answered meanwhile it could not hear.
    pub fn wait_longer(&mut self, by: Nanos) {
        self.doubted
            .values_mut()
            .for_each(|doubt| doubt.from = doubt.from.saturating_add(by));
    }

    /// Knows these for long.
    #[cfg(test)]
    pub fn knows(&mut self, all: &[(Arc<Who>, Age)]) {
        for (who, age) in all {
            let (id, state) = (number(&who.name), State::Working);
            if id != self.id {
                self.count(id, *age, state, true);
                self.goes_by(who.roster, true);
                self.all.insert(
                    id,
                    Member {
                        who: who.clone(),
                        age: *age,
                        state,
                        since: 0,
                        told: u32::MAX,
                    },
                );
            }
        }
        self.told = u32::MAX;
    }

    /// Lets go of those who have been gone since then or longer.
    pub fn forget(&mut self, since: Nanos) {
        let old = |id: &&u64| self.all.get(id).is_none_or(|held| held.since <= since);
        for id in self.gone.iter().filter(old).copied().collect::<Vec<_>>() {
            self.drop_one(id);
        }
    }

    /// Makes room, where somebody is gone.
    fn forget_one(&mut self) -> bool {
        let first = self
            .gone
            .iter()
            .min_by_key(|id| self.all.get(id).map(|held| held.since))
            .copied();
        first.into_iter().for_each(|id| self.drop_one(id));
        first.is_some()
    }

    fn drop_one(&mut self, id: u64) {
        if let Some(held) = self.all.remove(&id) {
            self.goes_by(held.who.roster, false);
            self.fresh.remove(&(held.told, id));
        }
        self.gone.remove(&id);
    }

    /// Whether that is where a member that is not gone takes letters.
    pub fn at(&self, address: SocketAddr) -> Option<u64> {
        self.all
            .iter()
            .find(|(_, m)| m.who.address == address && m.state != State::Gone)
            .map(|(id, _)| *id)
    }
}
