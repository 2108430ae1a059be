//! Dissemination: every message carries updates about members. Received claims are merged into the member table, and
//! false claims about this member itself are refuted.

use crate::event::Action;
use crate::failure_detector::INDIRECT_PROBES;
use crate::member::{MemberState, MemberVersion, Nanos};
use crate::member_table::{member_id, MergeOutcome};
use crate::membership::Membership;
use crate::message::{self, MemberClaim, MessageBody, MessageError, MessageHeader, MessageWriter};
use std::net::SocketAddr;

/// The number of members that updates are sent to in a gossip round, besides those that are probed.
const GOSSIP_FANOUT: usize = 2;

impl Membership {
    /// Sends pending updates to a few random members.
    pub(crate) fn send_updates(&mut self, out: &mut Vec<Action>) {
        if self.table.has_updates() {
            for id in self.random_members(GOSSIP_FANOUT, None) {
                self.send(id, MessageBody::Gossip, None, out);
            }
        }
    }

    /// Returns up to `count` healthy members other than `except`, chosen at random.
    pub(crate) fn random_members(&mut self, count: usize, except: Option<u64>) -> Vec<u64> {
        let members = self.table.members.iter();
        let healthy = members
            .filter(|(id, member)| member.state.is_healthy() && Some(**id) != except)
            .map(|(id, _)| *id)
            .collect();
        self.random.choose(healthy, count)
    }

    pub(crate) fn send(
        &mut self,
        id: u64,
        body: MessageBody,
        first: Option<u64>,
        out: &mut Vec<Action>,
    ) {
        if let Some(to) = self.table.get(id).map(|member| member.info.address) {
            self.send_to(to, body, first, out);
        }
    }

    /// Sends a message with as many pending updates as fit, after the claim about `first` if that is given.
    pub(crate) fn send_to(
        &mut self,
        to: SocketAddr,
        body: MessageBody,
        first: Option<u64>,
        out: &mut Vec<Action>,
    ) {
        let mut writer = MessageWriter::new(&self.header(body));
        let first = first.and_then(|id| self.table.claim(id));
        if let Some(claim) = &first {
            writer.push(claim);
        }
        for id in self.table.updates() {
            let Some(claim) = self.table.claim(id) else {
                continue;
            };
            let is_written = first.as_ref() == Some(&claim);
            if !is_written && !writer.push(&claim) {
                break;
            }
            self.table.mark_sent(id);
        }
        self.table.mark_self_sent();
        let bytes = writer.finish();
        out.push(Action::Send { to, bytes });
    }

    pub(crate) fn header(&self, body: MessageBody) -> MessageHeader {
        MessageHeader {
            fleet_id: self.fleet_id,
            sender: self.table.me.clone(),
            digest: self.table.digest(),
            body,
        }
    }

    /// Handles a received datagram.
    pub(crate) fn on_message(
        &mut self,
        now: Nanos,
        from: SocketAddr,
        bytes: &[u8],
        out: &mut Vec<Action>,
    ) {
        let (header, claims) = match self.read_message(from, bytes) {
            Ok(message) => message,
            Err(reason) => return out.push(Action::MessageDropped { reason, from }),
        };
        let outcome = self.merge(now, &header.sender, out);
        if self.is_inactive {
            return;
        }
        self.detector.last_heard = now;
        let is_page = matches!(header.body, MessageBody::TablePage { .. });
        for claim in claims {
            self.merge_received(now, claim, is_page, out);
        }
        if self.is_inactive {
            return;
        }
        let sender = member_id(&header.sender.info.name);
        if sender != self.table.my_id {
            let is_stale = outcome == MergeOutcome::Stale;
            self.on_body(now, from, &header, is_stale, out);
        } else if header.body != MessageBody::Gossip {
            // An older process of the same name sent this. It is told of this one, so that it learns that it is
            // superseded.
            self.send_to(from, MessageBody::Gossip, None, out);
        }
    }

    fn read_message(
        &self,
        from: SocketAddr,
        bytes: &[u8],
    ) -> Result<(MessageHeader, Vec<MemberClaim>), MessageError> {
        let (header, claims) = message::read(bytes)?;
        if header.fleet_id != self.fleet_id {
            return Err(MessageError::OtherFleet);
        }
        let sender = &header.sender;
        if sender.info.address != from || sender.state == MemberState::Suspect {
            return Err(MessageError::WrongAddress);
        }
        Ok((header, claims))
    }

    /// Merges a claim from a message. A death in a table page, which the sender may have concluded in another partition
    /// of the network, becomes a suspicion that is checked here. Without this, the members of one partition would be
    /// declared dead by the other when the two merge.
    fn merge_received(
        &mut self,
        now: Nanos,
        mut claim: MemberClaim,
        is_page: bool,
        out: &mut Vec<Action>,
    ) {
        if is_page && claim.state == MemberState::Dead && self.table.knows_alive(&claim) {
            claim.state = MemberState::Suspect;
            claim.accuser = 0;
        }
        self.merge(now, &claim, out);
    }

    /// Handles the body of a message. `is_stale` means that the sender is known to be dead or suspect, or under a later
    /// version; the answer tells it so, so that it can refute this.
    fn on_body(
        &mut self,
        now: Nanos,
        from: SocketAddr,
        header: &MessageHeader,
        is_stale: bool,
        out: &mut Vec<Action>,
    ) {
        let sender = member_id(&header.sender.info.name);
        let refutable = is_stale.then_some(sender);
        match &header.body {
            MessageBody::Ping { sequence, target }
                if *target == 0 || *target == self.table.my_id =>
            {
                let sequence = *sequence;
                self.send_to(from, MessageBody::Ack { sequence }, refutable, out);
                self.send_digests(now, from, header.digest, out);
            }
            MessageBody::Ping { .. } => out.push(Action::MessageDropped {
                reason: MessageError::OtherMember,
                from,
            }),
            MessageBody::Ack { sequence } => self.on_ack(sender, *sequence, out),
            MessageBody::PingRequest { sequence, target } => {
                self.on_ping_request(now, from, *sequence, *target, out);
            }
            MessageBody::PingResult { sequence, answered } => {
                self.on_ping_result(now, sender, *sequence, *answered, out);
            }
            MessageBody::LeaseRequest { sequence, shares } => {
                self.on_lease_request(now, &header.sender, *sequence, shares, out);
            }
            MessageBody::LeaseGrant { sequence, shares } => {
                self.on_lease_grant(&header.sender, *sequence, shares);
            }
            MessageBody::Gossip => {
                if refutable.is_some() {
                    self.send_to(from, MessageBody::Gossip, refutable, out);
                }
            }
            MessageBody::Digests { partitions } => self.on_digests(from, partitions, out),
            MessageBody::TablePage { requested } => self.send_pages(from, *requested, 0, out),
        }
    }

    /// Merges a claim about any member, and reports or answers what follows from it.
    pub(crate) fn merge(
        &mut self,
        now: Nanos,
        claim: &MemberClaim,
        out: &mut Vec<Action>,
    ) -> MergeOutcome {
        let id = member_id(&claim.info.name);
        let address = self.table.get(id).map(|member| member.info.address);
        let outcome = self.table.merge(now, claim, self.unix_ms(now));
        match outcome {
            MergeOutcome::Changed(previous) => {
                let to = claim.info.address;
                if let Some(from) = address.filter(|from| *from != to) {
                    let name = claim.info.name.clone();
                    out.push(Action::MemberMoved { name, from, to });
                }
                self.on_member_changed(id, claim, previous, out);
            }
            MergeOutcome::AboutSelf => self.on_claim_about_self(now, claim, out),
            MergeOutcome::Invalid(reason) => out.push(Action::MessageDropped {
                reason,
                from: claim.info.address,
            }),
            MergeOutcome::Unchanged | MergeOutcome::Stale => {}
        }
        outcome
    }

    fn on_member_changed(
        &mut self,
        id: u64,
        claim: &MemberClaim,
        previous: Option<MemberState>,
        out: &mut Vec<Action>,
    ) {
        if previous.is_none() {
            let position = self
                .random
                .index_inclusive(self.detector.remaining_positions());
            self.detector.insert_into_probe_order(position, id);
        }
        if claim.state == MemberState::Suspect && previous != Some(MemberState::Suspect) {
            self.maybe_check_suspect(id);
        }
        if previous != Some(claim.state) {
            out.push(Action::MemberChanged {
                name: claim.info.name.clone(),
                address: claim.info.address,
                previous,
                state: claim.state,
            });
        }
    }

    /// Handles a claim about this member itself, which may stem from another process of the same name.
    fn on_claim_about_self(&mut self, now: Nanos, claim: &MemberClaim, out: &mut Vec<Action>) {
        let me = &self.table.me;
        let address = claim.info.address;
        let same_address = address == me.info.address;
        let (incarnation, mine) = (claim.version.incarnation, me.version.incarnation);
        let is_dead = claim.state == MemberState::Dead;
        if incarnation == mine && same_address {
            self.on_claim_about_this_incarnation(now, claim, out);
        } else if incarnation >= mine && (same_address || is_dead) {
            // An earlier run of this process had an incarnation that is not lower, as the system clock was set back
            // since; or another process had it and is dead. This member moves on to a higher incarnation.
            self.table.announce(now, |me| {
                me.version = MemberVersion {
                    incarnation,
                    sequence: u32::MAX,
                };
            });
        } else if (incarnation, address) > (mine, me.info.address) && !is_dead {
            self.is_inactive = true;
            out.push(Action::Superseded { by: address });
        }
    }

    fn on_claim_about_this_incarnation(
        &mut self,
        now: Nanos,
        claim: &MemberClaim,
        out: &mut Vec<Action>,
    ) {
        if claim.state == MemberState::Dead && self.declared_dead < Some(claim.version) {
            self.declared_dead = Some(claim.version);
            out.push(Action::DeclaredDead);
        }
        let mine = self.table.me.version.sequence;
        let sequence = claim.version.sequence;
        // A version that this member never announced, or a state that it is not in.
        if sequence > mine || sequence == mine && !claim.state.is_healthy() {
            self.refute(now, claim, out);
        }
    }

    /// Refutes a claim by announcing a later version. The accuser is told first, as the suspicion's timeout is running.
    fn refute(&mut self, now: Nanos, claim: &MemberClaim, out: &mut Vec<Action>) {
        self.detector.degrade_local_health(1);
        self.table.announce(now, |me| {
            me.version.sequence = me.version.sequence.max(claim.version.sequence);
        });
        let accuser = Some(claim.accuser).filter(|id| self.table.get(*id).is_some());
        let others = self.random_members(INDIRECT_PROBES, accuser);
        for id in accuser.into_iter().chain(others) {
            self.send(id, MessageBody::Gossip, None, out);
        }
    }
}
