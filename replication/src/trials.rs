//! What can happen to one irreversible attachment that its client brings to two members, with three guardians that are
//! members too: every order of letters that come, are lost or come twice, one death and start from nothing, one pause.

use super::*;
use reedferry_model_checker::{walk, Bounds, World};
use std::hash::{Hash, Hasher};
use xxhash_rust::xxh3::Xxh3;

const KEY: u64 = 5;
const LIFE: Nanos = 1000;
const WITHIN: Nanos = 100;

#[derive(Clone, Hash)]
struct One {
    keeper: Keeper,
    guardian: Guardian,
    /// It has been told to go ahead and has not sent yet: it may pause there.
    about_to: bool,
}

#[derive(Clone)]
struct Site {
    now: Nanos,
    all: Vec<One>,
    /// Questions under way; one that stays there is lost.
    way: Vec<(usize, usize, Question)>,
    /// How often the client may still come, by member.
    comes: [u32; 2],
    losses: u32,
    doubles: u32,
    restarts: u32,
    sent: u32,
}

#[derive(Clone, Debug)]
enum Step {
    Comes(usize),
    /// A guardian takes a question, and its answer comes, or is lost; or the question comes once more later.
    Deliver(usize),
    Unanswered(usize),
    Double(usize),
    /// A member that may, hands the attachment off.
    Sends(usize),
    Restart(usize),
}

impl Site {
    fn new(faults: [u32; 3], plant: impl Fn(&mut One)) -> Site {
        let [losses, doubles, restarts] = faults;
        let one = |place: u32| {
            let keeper = Keeper::new(Holder { place, life: 1 }, 3, WITHIN);
            let mut one = One {
                keeper,
                guardian: Guardian::new(0, LIFE, 100),
                about_to: false,
            };
            plant(&mut one);
            one
        };
        let all = (0..3).map(one).collect();
        Site {
            now: 10 * LIFE,
            all,
            way: Vec::new(),
            comes: [1, 1],
            losses,
            doubles,
            restarts,
            sent: 0,
        }
    }

    fn ask(&mut self, from: usize, question: Question) {
        for to in guardians(KEY, 3) {
            self.way.push((from, to as usize, question.clone()));
        }
    }

    fn came(&mut self, at: usize, outcome: Option<Outcome>) {
        match outcome {
            Some(Outcome::Owned { record, .. }) if record.history.is_empty() && !record.over => {
                let record = Record {
                    history: vec![1],
                    over: false,
                };
                if let Some(question) = self.all[at].keeper.keep(self.now, KEY, record) {
                    self.ask(at, question);
                }
            }
            // It may have run: it is given up.
            Some(Outcome::Owned { .. }) => self.all[at].keeper.drop(KEY),
            Some(Outcome::Written { .. }) => self.all[at].about_to = true,
            Some(Outcome::Again { question, .. }) => self.ask(at, question),
            _ => {}
        }
    }
}

impl World for Site {
    type Step = Step;

    fn steps(&self) -> Vec<Step> {
        let mut steps: Vec<Step> = (0..2)
            .filter(|n| self.comes[*n] > 0)
            .map(Step::Comes)
            .collect();
        for place in 0..self.way.len().min(6) {
            steps.push(Step::Deliver(place));
            steps.extend((self.losses > 0).then_some(Step::Unanswered(place)));
            steps.extend((self.doubles > 0).then_some(Step::Double(place)));
        }
        steps.extend((0..2).filter(|n| self.all[*n].about_to).map(Step::Sends));
        steps.extend((0..3).filter(|_| self.restarts > 0).map(Step::Restart));
        steps
    }

    fn take(&mut self, step: &Step) {
        match *step {
            Step::Comes(at) => {
                self.comes[at] -= 1;
                let question = self.all[at].keeper.claim(self.now, KEY);
                self.ask(at, question);
            }
            Step::Deliver(place) | Step::Unanswered(place) | Step::Double(place) => {
                let (from, to, question) = match step {
                    Step::Double(_) => {
                        self.doubles -= 1;
                        self.way[place].clone()
                    }
                    _ => self.way.remove(place),
                };
                let answer = self.all[to].guardian.answer(self.now, &question);
                if let Step::Unanswered(_) = step {
                    self.losses -= 1;
                    return;
                }
                let outcome = self.all[from].keeper.heard(self.now, to as u32, answer);
                self.came(from, outcome);
            }
            Step::Sends(at) => {
                self.all[at].about_to = false;
                self.sent += 1;
            }
            Step::Restart(at) => {
                let one = &mut self.all[at];
                one.keeper = Keeper {
                    held: BTreeMap::new(),
                    ..one.keeper.clone()
                };
                one.keeper.me.life = 2;
                one.keeper.number = 0;
                let wards = BTreeMap::new();
                one.guardian = Guardian {
                    born: self.now,
                    wards,
                    ..one.guardian.clone()
                };
                (one.about_to, self.restarts) = (false, 0);
                // Its client comes again, there or elsewhere.
                self.comes[at.min(1)] += 1;
            }
        }
    }

    fn mark(&self) -> u64 {
        // In whichever order they went: any may come first.
        let of = |letter: &(usize, usize, Question)| {
            let mut hash = Xxh3::new();
            letter.hash(&mut hash);
            hash.finish()
        };
        let mut way: Vec<u64> = self.way.iter().map(of).collect();
        way.sort_unstable();
        let left = (
            self.comes,
            self.losses,
            self.doubles,
            self.restarts,
            self.sent,
        );
        let mut hash = Xxh3::new();
        (self.now, &self.all, way, left).hash(&mut hash);
        hash.finish()
    }

    fn wrong(&self) -> Option<String> {
        (self.sent > 1).then(|| format!("handed off {} times", self.sent))
    }
}

const BOUNDS: Bounds = Bounds {
    depth: 40,
    worlds: 60_000,
};

/// Guards: an effect that is had twice, by any order of two claims, questions and answers lost, a question that comes
/// twice, a restart from nothing and a pause between the word to go ahead and the hand-off.
#[test]
fn what_is_irreversible_is_handed_off_once_whatever_happens() {
    for faults in [[0, 0, 0], [1, 0, 0], [0, 1, 0], [0, 0, 1]] {
        match walk(Site::new(faults, |_| {}), BOUNDS) {
            // Two hand-offs take twelve steps where nothing is lost; one more with a restart, which is tried apart.
            Ok(walked) => assert!(walked.whole || walked.depth >= 10, "{faults:?}: {walked:?}"),
            Err(found) => panic!("{faults:?}: {}: {:?}", found.why, found.steps),
        }
    }
}

/// One hands off by the voices of some guardians; then, after a restart of a guardian, the other tries with some.
fn one_after_the_other(
    plant: impl Fn(&mut One),
    first: &[usize],
    restart: Option<usize>,
    then: &[usize],
) -> u32 {
    let mut site = Site::new([0, 0, 1], plant);
    let order = guardians(KEY, 3);
    let run = |site: &mut Site, who: usize, reach: &[usize]| {
        site.comes = [1, 1];
        site.take(&Step::Comes(who));
        let reached =
            |(_, to, _): &(usize, usize, Question)| reach.iter().any(|n| order[*n] as usize == *to);
        while let Some(place) = site.way.iter().position(reached) {
            site.take(&Step::Deliver(place));
        }
        if site.all[who].about_to {
            site.take(&Step::Sends(who));
        }
        site.way.clear();
    };
    run(&mut site, 0, first);
    restart
        .into_iter()
        .for_each(|n| site.take(&Step::Restart(order[n] as usize)));
    run(&mut site, 1, then);
    site.sent
}

/// Guards: a proof that holds whatever is broken.
#[test]
fn planted_breaks_are_found() {
    assert_eq!(one_after_the_other(|_| {}, &[0, 1], None, &[1, 2]), 1);
    assert_eq!(one_after_the_other(|_| {}, &[0, 1], Some(1), &[1, 2]), 1);
    assert_eq!(
        one_after_the_other(|one| one.guardian.forgets = true, &[0, 1], Some(1), &[1, 2]),
        2
    );
    let find = |faults, plant: fn(&mut One)| {
        let found = walk(Site::new(faults, plant), BOUNDS);
        assert!(found.is_err(), "{found:?}");
    };
    find([0, 0, 0], |one| one.keeper.needs_no_majority = true);
    find([0, 0, 0], |one| one.guardian.takes_any_term = true);
}

/// Guards: a guardian whose memory fills without end, and one that drops what it promised for what is new.
#[test]
fn a_full_guardian_refuses_what_is_new_and_keeps_what_it_has_for_its_life() {
    let mut guardian = Guardian::new(0, LIFE, 2);
    let term = |number| Term {
        number,
        holder: Holder { place: 0, life: 1 },
    };
    let claim = |key, number| Question::Claim {
        key,
        term: term(number),
    };
    assert!(
        matches!(
            guardian.answer(10, &claim(1, 1)),
            Answer::Refused { by: None, .. }
        ),
        "it has just started"
    );
    let now = LIFE + 1;
    let record = Record {
        history: vec![7],
        over: false,
    };
    assert!(matches!(
        guardian.answer(now, &claim(1, 1)),
        Answer::Granted { .. }
    ));
    let keep = Question::Keep {
        key: 1,
        term: term(1),
        seq: 4,
        record: record.clone(),
    };
    assert!(matches!(
        guardian.answer(now, &keep),
        Answer::Kept { seq: 4, .. }
    ));
    assert!(matches!(
        guardian.answer(now, &claim(2, 1)),
        Answer::Granted { .. }
    ));
    assert!(matches!(
        guardian.answer(now, &claim(3, 1)),
        Answer::Refused { by: None, .. }
    ));
    let long = Record {
        history: vec![0; LONGEST_HISTORY + 1],
        over: false,
    };
    let long = Question::Keep {
        key: 2,
        term: term(1),
        seq: 5,
        record: long,
    };
    assert!(matches!(
        guardian.answer(now, &long),
        Answer::Refused { .. }
    ));
    let (kept, now) = (Some((term(1), record, 30)), now + 30);
    assert_eq!(
        guardian.answer(now, &claim(1, 2)),
        Answer::Granted {
            key: 1,
            term: term(2),
            kept
        }
    );
    assert_eq!(
        guardian.answer(now, &keep),
        Answer::Refused {
            key: 1,
            term: term(1),
            by: Some(term(2))
        }
    );
    guardian.sweep(now + LIFE);
    assert_eq!(guardian.count(), 0);
}

/// Guards: wards that all lie with a few members, or with others for each who asks.
#[test]
fn every_key_has_three_guardians_and_all_places_keep_their_part() {
    let mut kept = [0; 20];
    for key in 0..4000u64 {
        let three = guardians(key, 20);
        assert!(
            three.len() == 3
                && three[0] != three[1]
                && three[1] != three[2]
                && three[0] != three[2]
        );
        three.iter().for_each(|place| kept[*place as usize] += 1);
    }
    assert!(
        kept.iter().all(|count| (450..=750).contains(count)),
        "{kept:?}"
    );
    assert_eq!((guardians(1, 2).len(), guardians(1, 1)), (2, vec![0]));
}
