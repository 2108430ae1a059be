//! Which members are suspected of having failed, by whom, and for how long: the more members suspect it by themselves,
//! the sooner a suspect is declared dead (Lifeguard's dynamic suspicion timeout).

use crate::member::Nanos;
use std::collections::BTreeMap;

/// Members that confirm a suspicion until it needs no more of them.
const MAX_CONFIRMATIONS: usize = 3;
/// The longest timeout, in the shortest ones.
const MAX_TIMEOUT_FACTOR: f64 = 4.0;

#[derive(Clone, Debug, Hash)]
struct Suspicion {
    since: Nanos,
    accusers: Vec<u64>,
}

/// All suspicions, by the suspect's id.
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

    /// Another member suspects it too; gives whether that is new and counts.
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

    /// The member that suspected this one last; 0 where none does.
    pub fn last_accuser(&self, member: u64) -> u64 {
        let suspicion = self.by_member.get(&member);
        suspicion
            .and_then(|suspicion| suspicion.accusers.last().copied())
            .unwrap_or(0)
    }

    /// When a suspicion expires, in a fleet of so many members that are not dead.
    fn expiry(&self, alive: usize, period: Nanos) -> impl Fn(&Suspicion) -> Nanos {
        let min_timeout = (2.0 + (alive as f64).log2() / 4.0) * period as f64;
        // Those that can confirm it: this member does not wait for the suspects.
        let confirmers = MAX_CONFIRMATIONS.min(alive.saturating_sub(self.len() + 1)) as f64;
        let timeout = move |confirmations: usize| {
            if confirmers == 0.0 {
                return min_timeout as Nanos;
            }
            let part = ((confirmations as f64 + 1.0).ln() / (confirmers + 1.0).ln()).min(1.0);
            (min_timeout * (MAX_TIMEOUT_FACTOR - (MAX_TIMEOUT_FACTOR - 1.0) * part)) as Nanos
        };
        let timeouts: [Nanos; MAX_CONFIRMATIONS + 1] = std::array::from_fn(timeout);
        move |suspicion| {
            let confirmations = suspicion.accusers.len().saturating_sub(1);
            let timeout = timeouts[confirmations.min(MAX_CONFIRMATIONS)];
            suspicion.since.saturating_add(timeout)
        }
    }

    /// When the first suspicion expires.
    pub fn next_expiry(&self, alive: usize, period: Nanos) -> Option<Nanos> {
        self.by_member
            .values()
            .map(self.expiry(alive, period))
            .min()
    }

    /// The suspects whose suspicion has expired.
    pub fn expired(&self, now: Nanos, alive: usize, period: Nanos) -> Vec<u64> {
        let expiry = self.expiry(alive, period);
        self.by_member
            .iter()
            .filter(|(_, suspicion)| now >= expiry(suspicion))
            .map(|(member, _)| *member)
            .collect()
    }

    /// This member did not run for so long, and could not hear what the suspects answered.
    pub fn postpone(&mut self, by: Nanos) {
        for suspicion in self.by_member.values_mut() {
            suspicion.since = suspicion.since.saturating_add(by);
        }
    }
}

#[cfg(test)]
#[path = "suspicion_tests.rs"]
mod tests;
