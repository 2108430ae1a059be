//! Checks the expectations of a scenario.

use super::parsing::{host, number};
use super::Player;
use reedferry::*;

impl Player {
    /// Checks an expectation. Returns false where the words are not an expectation.
    pub(super) fn expect(&mut self, words: &[&str]) -> bool {
        let request = || RequestId(number(words[1]) as u64);
        match words[0] {
            "sends" => self.expect_attempt(request(), words[2]),
            "rejects" => {
                self.expect_action(|a| matches!(a, Action::Reject { id, .. } if *id == request()));
            }
            "fails" => {
                self.expect_action(|a| matches!(a, Action::Fail { id } if *id == request()));
            }
            "migrates" => {
                self.expect_action(|a| matches!(a, Action::Migrate { id } if *id == request()));
            }
            "cancels" => self.expect_action(
                |a| matches!(a, Action::CancelAttempt { id, .. } if *id == request()),
            ),
            "requests-list" => {
                self.expect_action(|a| matches!(a, Action::WatchEndpoints | Action::PollEndpoints));
            }
            "logs" => {
                let start = words[1..].join(" ");
                self.expect_action(|a| matches!(a, Action::Log(line) if line.starts_with(&start)));
            }
            "no-action" => self.expect_nothing(),
            "attempts" => {
                let attempts = self.attempts.remove(&host(words[1]).0).unwrap_or(0);
                expect_within(attempts as usize, &words[2..], words);
            }
            "connections" => expect_within(self.connections_at(words[1]).len(), &words[2..], words),
            "unserved" => {
                let unserved = |request: &&super::Request| request.answered && !request.established;
                let count = self.requests.values().filter(unserved).count();
                expect_within(count, &words[1..], words);
            }
            "probes" => expect_within(std::mem::take(&mut self.probes), &words[1..], words),
            "gossip-messages" => {
                let count = std::mem::take(&mut self.gossip_messages);
                expect_within(count, &words[1..], words);
            }
            "hosts-used" => {
                let used = std::mem::take(&mut self.attempts).len();
                expect_within(used, &words[1..], words);
            }
            _ => return false,
        }
        true
    }

    fn expect_action(&self, is_expected: impl Fn(&Action) -> bool) {
        assert!(
            self.actions.iter().any(is_expected),
            "expected action not among {:?}",
            self.actions
        );
    }

    fn expect_attempt(&self, request: RequestId, hosts: &str) {
        let hosts: Vec<HostId> = hosts.split('|').map(host).collect();
        self.expect_action(|action| {
            matches!(action, Action::StartAttempt { id, host, .. }
                if *id == request && hosts.contains(host))
        });
    }

    fn expect_nothing(&self) {
        let is_passive = |a: &Action| matches!(a, Action::SetTimer { .. } | Action::Log(_));
        assert!(
            self.actions.iter().all(is_passive),
            "unexpected action among {:?}",
            self.actions
        );
    }
}

/// Checks a count against its inclusive bounds.
fn expect_within(count: usize, bounds: &[&str], step: &[&str]) {
    let (min, max) = (number(bounds[0]) as usize, number(bounds[1]) as usize);
    assert!(
        (min..=max).contains(&count),
        "count {count} is out of bounds in step: {}",
        step.join(" ")
    );
}
