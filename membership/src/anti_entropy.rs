//! Anti-entropy: members whose tables differ exchange the differing partitions, and lost members are pinged
//! periodically, so that partitions of the network merge again.

use crate::event::Action;
use crate::member::Nanos;
use crate::membership::Membership;
use crate::message::{MessageBody, MessageWriter, TABLE_PARTITIONS};
use crate::table_digest::partition_of;
use std::net::SocketAddr;

/// The maximum number of table pages that are sent in a period.
pub(crate) const PAGES_PER_PERIOD: u32 = 12;
/// The number of gossip rounds between two pings to lost members.
const ROUNDS_PER_LOST_PING: u32 = 4;

#[derive(Clone, Hash)]
pub(crate) struct AntiEntropy {
    /// The number of pages that may still be sent before the next gossip round.
    pub page_budget: u32,
    /// When digests were last sent, or `None` if never.
    digests_sent_at: Option<Nanos>,
}

impl AntiEntropy {
    pub fn new() -> AntiEntropy {
        AntiEntropy {
            page_budget: PAGES_PER_PERIOD,
            digests_sent_at: None,
        }
    }

    /// Refills the page budget for the next gossip round. A member that lags may send less.
    pub fn refill(&mut self, lag: u32) {
        self.page_budget = PAGES_PER_PERIOD / (1 + lag);
    }
}

impl Membership {
    /// Pings a lost member, chosen at random, as it may be reachable again. A lost member is a dead one, or a seed
    /// address at which no live member is known. This happens every [`ROUNDS_PER_LOST_PING`] rounds, and in every round
    /// while no other member is alive.
    pub(crate) fn ping_lost_member(&mut self, round: u32, out: &mut Vec<Action>) {
        let is_alone = self.table.alive_count() == 1;
        if !is_alone && !round.is_multiple_of(ROUNDS_PER_LOST_PING) {
            return;
        }
        let lost = self.lost_members();
        if lost.is_empty() {
            return;
        }
        let (address, id) = lost[self.random.index(0..lost.len())];
        let ping = MessageBody::Ping {
            sequence: 0,
            target: 0,
        };
        self.send_to(address, ping, id, out);
    }

    /// Returns the addresses of all lost members, with the ids of those that are known.
    fn lost_members(&self) -> Vec<(SocketAddr, Option<u64>)> {
        let table = &self.table;
        let is_lost = |seed: &&SocketAddr| {
            **seed != table.me.info.address && table.alive_at(**seed).is_none()
        };
        let seeds = self.seeds.iter().filter(is_lost);
        let dead = table.dead.iter();
        let address_of = |id: &u64| Some((table.get(*id)?.info.address, Some(*id)));
        seeds
            .map(|seed| (*seed, None))
            .chain(dead.filter_map(address_of))
            .collect()
    }

    /// Sends this member's partition digests to a member whose table differs, at most twice in a period in total.
    pub(crate) fn send_digests(
        &mut self,
        now: Nanos,
        to: SocketAddr,
        their_digest: u64,
        out: &mut Vec<Action>,
    ) {
        let sent_at = self.anti_entropy.digests_sent_at;
        let is_too_soon = sent_at.is_some_and(|sent_at| now < sent_at + self.period / 2);
        if their_digest == self.table.digest() || is_too_soon {
            return;
        }
        self.anti_entropy.digests_sent_at = Some(now);
        let partitions = self.table.partition_digests().to_vec();
        let header = self.header(MessageBody::Digests { partitions });
        let bytes = MessageWriter::new(&header).finish();
        out.push(Action::Send { to, bytes });
    }

    /// Compares received digests with this member's own, and sends and requests the partitions that differ.
    pub(crate) fn on_digests(
        &mut self,
        from: SocketAddr,
        partitions: &[u32],
        out: &mut Vec<Action>,
    ) {
        let mine = self.table.partition_digests();
        let differing = (0..TABLE_PARTITIONS)
            .filter(|n| partitions.get(*n) != mine.get(*n))
            .fold(0, |mask, n| mask | 1 << n);
        self.send_pages(from, differing, differing, out);
    }

    /// Sends the members in `partitions`, dead ones included, and asks the receiver for its members in `requested`.
    /// Both are bit masks.
    pub(crate) fn send_pages(
        &mut self,
        to: SocketAddr,
        partitions: u32,
        requested: u32,
        out: &mut Vec<Action>,
    ) {
        let is_included = |id: &u64| partitions & 1 << partition_of(*id) != 0;
        let members = self.table.members.keys().copied();
        let mut ids: Vec<u64> = members.filter(is_included).collect();
        if !ids.is_empty() {
            let first = self.random.index(0..ids.len());
            ids.rotate_left(first);
        }
        let mut request = Some(requested).filter(|mask| *mask != 0);
        let mut ids = ids.into_iter().peekable();
        // At least one page is sent if partitions are requested, even if there are no members to send.
        while self.anti_entropy.page_budget > 0 && (request.is_some() || ids.peek().is_some()) {
            self.anti_entropy.page_budget -= 1;
            let header = self.header(MessageBody::TablePage {
                requested: request.take().unwrap_or(0),
            });
            let mut writer = MessageWriter::new(&header);
            while let Some(claim) = ids.peek().and_then(|id| self.table.claim(*id)) {
                if !writer.push(&claim) {
                    break;
                }
                ids.next();
            }
            let bytes = writer.finish();
            out.push(Action::Send { to, bytes });
        }
    }
}
