//! When the lines of a client were forwarded that its host has not answered yet. A client may send any number of lines
//! and a host may answer none, so lines are counted in groups, of which there are only so many.

use reedferry::Nanos;
use std::collections::VecDeque;

/// The maximum number of groups of one connection. Lines beyond it are counted with the last group.
const MAX_GROUPS: usize = 64;

/// Lines that count as forwarded at the same time.
#[derive(Clone, Copy, Debug, PartialEq)]
struct LineGroup {
    sent_at: Nanos,
    count: u64,
}

/// The unanswered lines of one connection, the oldest first.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct UnansweredLines {
    groups: VecDeque<LineGroup>,
}

impl UnansweredLines {
    /// Records a line that is forwarded now. The last group takes its time, so that no line counts as waiting for
    /// longer than it has.
    pub(super) fn push(&mut self, now: Nanos) {
        let is_full = self.groups.len() >= MAX_GROUPS;
        match self.groups.back_mut() {
            Some(last) if is_full || last.sent_at == now => {
                last.sent_at = now;
                last.count += 1;
            }
            _ => self.groups.push_back(LineGroup {
                sent_at: now,
                count: 1,
            }),
        }
    }

    /// Removes the oldest line, which is answered now, and returns when it was forwarded.
    pub(super) fn pop(&mut self) -> Option<Nanos> {
        let oldest = self.groups.front_mut()?;
        let sent_at = oldest.sent_at;
        oldest.count -= 1;
        if oldest.count == 0 {
            self.groups.pop_front();
        }
        Some(sent_at)
    }

    /// Returns when the oldest line was forwarded; `None` if all are answered.
    pub(super) fn oldest(&self) -> Option<Nanos> {
        self.groups.front().map(|group| group.sent_at)
    }

    /// Returns the number of lines.
    pub(super) fn count(&self) -> u64 {
        self.groups.iter().map(|group| group.count).sum()
    }

    /// Returns when each line was forwarded, the oldest first.
    pub(super) fn times(&self) -> impl Iterator<Item = Nanos> + '_ {
        let times_of = |group: &LineGroup| std::iter::repeat_n(group.sent_at, group.count as usize);
        self.groups.iter().flat_map(times_of)
    }
}

impl FromIterator<Nanos> for UnansweredLines {
    fn from_iter<T: IntoIterator<Item = Nanos>>(times: T) -> Self {
        let mut lines = UnansweredLines::default();
        times.into_iter().for_each(|time| lines.push(time));
        lines
    }
}

#[cfg(test)]
#[path = "unanswered_lines_tests.rs"]
mod tests;
