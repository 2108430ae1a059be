//! Work in hand that survives its node: the record of one attachment by its key, kept by three guardians of a fixed
//! roster, each by its own clock. Who owns it does so under a term that a majority of them granted, and what may run
//! is with a majority before it does (Lamport, "Paxos Made Simple", 2001: a claim is its first phase, a record its
//! second). Questions and answers in, answers and outcomes out, no I/O. It must never know what a history says, nor
//! decide what becomes of an attachment.

use reedferry_membership::{owner, Nanos};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A member of the roster, and which life of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    pub place: u32,
    pub life: u64,
}

/// Who owns a ward; of two the higher one counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term {
    pub number: u64,
    pub holder: Holder,
}

/// What is known of an attachment, in the caller's own form; and whether it has had its answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    pub history: Vec<u8>,
    pub over: bool,
}

/// The longest history that is kept.
pub const LONGEST_HISTORY: usize = 256;
/// How often a claim is made anew where a higher term went before.
const TRIES: u32 = 2;
/// Guardians of a ward.
const GUARDIANS: usize = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Question {
    /// May this be the term from here on, and what is on record?
    Claim { key: u64, term: Term },
    /// Put this on record under that term.
    Keep {
        key: u64,
        term: Term,
        seq: u32,
        record: Record,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// Yes; with what was put on record last, under which term, and how long ago.
    Granted {
        key: u64,
        term: Term,
        kept: Option<(Term, Record, Nanos)>,
    },
    Kept {
        key: u64,
        term: Term,
        seq: u32,
    },
    /// No: that term counts, or there is no room or no voice here.
    Refused {
        key: u64,
        term: Term,
        by: Option<Term>,
    },
}

/// The places that keep a ward: by its key alone, so that all who ask find the same.
pub fn guardians(key: u64, roster: u32) -> Vec<u32> {
    let mut left: Vec<u64> = (0..u64::from(roster)).collect();
    let mut chosen = Vec::new();
    while let Some(next) = owner(key, left.iter().copied()).filter(|_| chosen.len() < GUARDIANS) {
        left.retain(|place| *place != next);
        chosen.push(next as u32);
    }
    chosen
}

#[derive(Clone, Hash)]
struct Ward {
    promised: Term,
    kept: Option<(Term, Record)>,
    /// When that was.
    since: Nanos,
    until: Nanos,
}

/// What one member keeps for others. It has no disk.
#[derive(Clone, Hash)]
pub struct Guardian {
    born: Nanos,
    /// How long a record matters.
    life: Nanos,
    most: usize,
    wards: BTreeMap<u64, Ward>,
    /// Planted breaks, for tests that look for them.
    #[cfg(test)]
    forgets: bool,
    #[cfg(test)]
    takes_any_term: bool,
}

impl Guardian {
    pub fn new(now: Nanos, life: Nanos, most: usize) -> Guardian {
        Guardian {
            born: now,
            life,
            most,
            wards: BTreeMap::new(),
            #[cfg(test)]
            forgets: false,
            #[cfg(test)]
            takes_any_term: false,
        }
    }

    /// How many records it keeps.
    pub fn count(&self) -> usize {
        self.wards.len()
    }

    /// Lets go of what matters no more.
    pub fn sweep(&mut self, now: Nanos) {
        self.wards.retain(|_, ward| now < ward.until);
    }

    /// Whether it may know less than it was told: a process that starts has forgotten what one before it kept.
    fn fresh(&self, now: Nanos) -> bool {
        #[cfg(test)]
        if self.forgets {
            return false;
        }
        now < self.born.saturating_add(self.life)
    }

    pub fn answer(&mut self, now: Nanos, question: &Question) -> Answer {
        let (Question::Claim { key, term } | Question::Keep { key, term, .. }) = question;
        let (key, term) = (*key, *term);
        let known = self.wards.get(&key);
        // Guards: a second hand-off of what is irreversible, as the guardian of the first has forgotten it.
        if self.fresh(now) || known.is_none() && self.wards.len() >= self.most {
            return Answer::Refused {
                key,
                term,
                by: None,
            };
        }
        #[cfg(test)]
        let higher = known.filter(|ward| ward.promised > term && !self.takes_any_term);
        #[cfg(not(test))]
        let higher = known.filter(|ward| ward.promised > term);
        if let Some(ward) = higher {
            return Answer::Refused {
                key,
                term,
                by: Some(ward.promised),
            };
        }
        let until = now.saturating_add(self.life);
        let ward = self.wards.entry(key).or_insert(Ward {
            promised: term,
            kept: None,
            since: now,
            until,
        });
        (ward.promised, ward.until) = (ward.promised.max(term), until);
        match question {
            Question::Claim { .. } => {
                let age = now.saturating_sub(ward.since);
                let kept = ward.kept.clone().map(|(by, record)| (by, record, age));
                Answer::Granted { key, term, kept }
            }
            Question::Keep { seq, record, .. } if record.history.len() <= LONGEST_HISTORY => {
                (ward.kept, ward.since) = (Some((term, record.clone())), now);
                Answer::Kept {
                    key,
                    term,
                    seq: *seq,
                }
            }
            Question::Keep { .. } => Answer::Refused {
                key,
                term,
                by: None,
            },
        }
    }
}

/// What came of a ward that this member wants.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// It is this member's under a term, with what was on record, and for how long at the guardian that said so.
    Owned {
        key: u64,
        record: Record,
        age: Nanos,
    },
    /// What was to be put on record is with a majority.
    Written { key: u64 },
    /// A term that went before was higher: the claim by a new one is to go out.
    Again { key: u64, question: Question },
    /// Another one owns it by a higher term.
    Lost { key: u64 },
    /// No majority answered in time.
    NoMajority { key: u64 },
}

#[derive(Clone, Hash)]
enum Stage {
    Claiming {
        granted: BTreeMap<u32, Option<(Term, Record, Nanos)>>,
    },
    Owned,
    Writing {
        seq: u32,
        kept: Vec<u32>,
    },
}

#[derive(Clone, Hash)]
struct Held {
    term: Term,
    stage: Stage,
    refused: Vec<u32>,
    tries: u32,
    until: Nanos,
}

/// The wards that this member owns or wants.
#[derive(Clone, Hash)]
pub struct Keeper {
    me: Holder,
    roster: u32,
    /// How long a majority may take.
    within: Nanos,
    held: BTreeMap<u64, Held>,
    /// The highest number seen of a key that was lost.
    seq: u32,
    number: u64,
    #[cfg(test)]
    needs_no_majority: bool,
}

impl Keeper {
    pub fn new(me: Holder, roster: u32, within: Nanos) -> Keeper {
        Keeper {
            me,
            roster,
            within,
            held: BTreeMap::new(),
            seq: 0,
            number: 0,
            #[cfg(test)]
            needs_no_majority: false,
        }
    }

    fn enough(&self, key: u64, count: usize) -> bool {
        #[cfg(test)]
        if self.needs_no_majority {
            return count > 0;
        }
        2 * count > guardians(key, self.roster).len()
    }

    /// Wants a ward: the question to its guardians. One that is held already is claimed anew.
    pub fn claim(&mut self, now: Nanos, key: u64) -> Question {
        self.number += 1;
        let term = Term {
            number: self.number,
            holder: self.me,
        };
        let stage = Stage::Claiming {
            granted: BTreeMap::new(),
        };
        self.held.insert(
            key,
            Held {
                term,
                stage,
                refused: Vec::new(),
                tries: 0,
                until: now + self.within,
            },
        );
        Question::Claim { key, term }
    }

    /// Puts this on record of a ward that it owns, before anything runs by it.
    pub fn keep(&mut self, now: Nanos, key: u64, record: Record) -> Option<Question> {
        self.seq = self.seq.wrapping_add(1);
        let (seq, until) = (self.seq, now + self.within);
        let held = self
            .held
            .get_mut(&key)
            .filter(|held| !matches!(held.stage, Stage::Claiming { .. }))?;
        (held.stage, held.until) = (
            Stage::Writing {
                seq,
                kept: Vec::new(),
            },
            until,
        );
        held.refused.clear();
        Some(Question::Keep {
            key,
            term: held.term,
            seq,
            record,
        })
    }

    /// Wants it no more.
    pub fn drop(&mut self, key: u64) {
        self.held.remove(&key);
    }

    pub fn owns(&self, key: u64) -> bool {
        self.held
            .get(&key)
            .is_some_and(|held| !matches!(held.stage, Stage::Claiming { .. }))
    }

    /// When the next one's time is over.
    pub fn next(&self) -> Option<Nanos> {
        let waits = self
            .held
            .values()
            .filter(|held| !matches!(held.stage, Stage::Owned));
        waits.map(|held| held.until).min()
    }

    /// Those that no majority answered in time.
    pub fn due(&mut self, now: Nanos) -> Vec<Outcome> {
        let late = |held: &Held| !matches!(held.stage, Stage::Owned) && now >= held.until;
        let keys: Vec<u64> = self
            .held
            .iter()
            .filter(|(_, held)| late(held))
            .map(|(key, _)| *key)
            .collect();
        keys.iter().for_each(|key| _ = self.held.remove(key));
        keys.into_iter()
            .map(|key| Outcome::NoMajority { key })
            .collect()
    }

    /// A place has answered. What comes after its time, of another term or of no guardian, is nothing.
    pub fn heard(&mut self, now: Nanos, place: u32, answer: Answer) -> Option<Outcome> {
        let (Answer::Granted { key, term, .. }
        | Answer::Kept { key, term, .. }
        | Answer::Refused { key, term, .. }) = answer;
        if let Answer::Refused { by: Some(by), .. } = answer {
            // The next claim is to be above it, within reason: one place can't use the numbers up.
            self.number = self.number.max(by.number.min(self.number + 1024));
        }
        let guardians = guardians(key, self.roster);
        let held = self
            .held
            .get_mut(&key)
            .filter(|held| held.term == term && now < held.until)?;
        if !guardians.contains(&place) {
            return None;
        }
        match (answer, &mut held.stage) {
            (Answer::Granted { kept, .. }, Stage::Claiming { granted }) => {
                granted.insert(place, kept);
                let count = granted.len();
                let latest = granted
                    .values()
                    .flatten()
                    .max_by_key(|(term, _, age)| (*term, *age));
                let (record, age) = latest
                    .map(|(_, record, age)| (record.clone(), *age))
                    .unwrap_or_default();
                if !self.enough(key, count) {
                    return None;
                }
                self.held.get_mut(&key)?.stage = Stage::Owned;
                Some(Outcome::Owned { key, record, age })
            }
            (Answer::Kept { seq, .. }, Stage::Writing { seq: wanted, kept }) if seq == *wanted => {
                if !kept.contains(&place) {
                    kept.push(place);
                }
                let count = kept.len();
                if !self.enough(key, count) {
                    return None;
                }
                self.held.get_mut(&key)?.stage = Stage::Owned;
                Some(Outcome::Written { key })
            }
            // The one who was at it before may be gone; two that are at it together do not go on for ever.
            (Answer::Refused { by: Some(_), .. }, Stage::Claiming { granted })
                if held.tries < TRIES =>
            {
                granted.clear();
                held.refused.clear();
                held.tries += 1;
                self.number += 1;
                held.term = Term {
                    number: self.number,
                    holder: self.me,
                };
                Some(Outcome::Again {
                    key,
                    question: Question::Claim {
                        key,
                        term: held.term,
                    },
                })
            }
            (Answer::Refused { by: Some(_), .. }, _) => {
                self.held.remove(&key);
                Some(Outcome::Lost { key })
            }
            (Answer::Refused { .. }, _) => {
                if !held.refused.contains(&place) {
                    held.refused.push(place);
                }
                // Those that have no voice leave too few.
                let count = guardians.len() - held.refused.len();
                if 2 * count > guardians.len() {
                    return None;
                }
                self.held.remove(&key);
                Some(Outcome::NoMajority { key })
            }
            _ => None,
        }
    }
}

#[cfg(test)]
mod trials;
