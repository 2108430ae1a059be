//! Suspicions: which members are suspected of having failed, by whom and since when. The more members suspect one
//! independently, the sooner it is declared dead (Lifeguard's dynamic suspicion timeout).

use crate::member::Nanos;
use std::collections::BTreeMap;

/// The number of confirmations after which further ones no longer shorten the timeout.
const MAX_CONFIRMATIONS: usize = 3;
/// The ratio of the longest suspicion timeout to the shortest.
const MAX_TIMEOUT_FACTOR: f64 = 4.0;

#[derive(Clone, Debug, Hash)]
struct Suspicion {
    since: Nanos,
    accusers: Vec<u64>,
}

/// All current suspicions, by the suspect's id.
#[derive(Clone, Default, Hash)]
pub(crate) struct Suspicions {
    by_member: BTreeMap<u64, Suspicion>,
}

impl Suspicions {
    pub fn start(&mut self, now: Nanos, member: u64, accuser: u64) {
        let suspicion = Suspicion {
            since: now,
            accusers: vec![accuser],
        };
        self.by_member.insert(member, suspicion);
    }

    pub fn clear(&mut self, member: u64) {
        self.by_member.remove(&member);
    }

    /// Records that another member suspects this one as well. Returns whether the accuser is new and counts towards the
    /// timeout.
    pub fn confirm(&mut self, member: u64, accuser: u64) -> bool {
        let Some(suspicion) = self.by_member.get_mut(&member) else {
            return false;
        };
        let accusers = &mut suspicion.accusers;
        let counts = accusers.len() <= MAX_CONFIRMATIONS && !accusers.contains(&accuser);
        if counts {
            accusers.push(accuser);
        }
        counts
    }

    pub fn contains(&self, member: u64) -> bool {
        self.by_member.contains_key(&member)
    }

    pub fn len(&self) -> usize {
        self.by_member.len()
    }

    /// Returns the id of the latest accuser, or 0 if the member is not suspected.
    pub fn last_accuser(&self, member: u64) -> u64 {
        let suspicion = self.by_member.get(&member);
        suspicion
            .and_then(|suspicion| suspicion.accusers.last().copied())
            .unwrap_or(0)
    }

    /// Returns a function that computes when a suspicion expires. `alive` is the number of members that are not dead,
    /// this one included.
    fn expiry(&self, alive: usize, period: Nanos) -> impl Fn(&Suspicion) -> Nanos {
        let min_timeout = (2.0 + (alive as f64).log2() / 4.0) * period as f64;
        // The number of members that can still confirm a suspicion. Suspects are not waited for.
        let confirmers = MAX_CONFIRMATIONS.min(alive.saturating_sub(self.len() + 1)) as f64;
        let timeout = move |confirmations: usize| {
            if confirmers == 0.0 {
                return min_timeout as Nanos;
            }
            let fraction = ((confirmations as f64 + 1.0).ln() / (confirmers + 1.0).ln()).min(1.0);
            (min_timeout * (MAX_TIMEOUT_FACTOR - (MAX_TIMEOUT_FACTOR - 1.0) * fraction)) as Nanos
        };
        let timeouts: [Nanos; MAX_CONFIRMATIONS + 1] = std::array::from_fn(timeout);
        move |suspicion| {
            let confirmations = suspicion.accusers.len().saturating_sub(1);
            let timeout = timeouts[confirmations.min(MAX_CONFIRMATIONS)];
            suspicion.since.saturating_add(timeout)
        }
    }

    /// Returns when the earliest suspicion expires, or `None` if there is none.
    pub fn next_expiry(&self, alive: usize, period: Nanos) -> Option<Nanos> {
        self.by_member
            .values()
            .map(self.expiry(alive, period))
            .min()
    }

    /// Returns the ids of the suspects whose suspicion has expired.
    pub fn expired(&self, now: Nanos, alive: usize, period: Nanos) -> Vec<u64> {
        let expiry = self.expiry(alive, period);
        self.by_member
            .iter()
            .filter(|(_, suspicion)| now >= expiry(suspicion))
            .map(|(member, _)| *member)
            .collect()
    }

    /// Extends all suspicions by the length of a stall, during which this member could not receive the suspects'
    /// answers.
    pub fn postpone(&mut self, by: Nanos) {
        for suspicion in self.by_member.values_mut() {
            suspicion.since = suspicion.since.saturating_add(by);
        }
    }
}

#[cfg(test)]
#[path = "suspicion_tests.rs"]
mod tests;
