//! What the fleet assigns to this node: a part of the slow-start quota, and hosts to probe. It owns what the balancer was
//! told last.

use crate::context::Context;
use crate::peers::Fleet;
use reedferry::{Event, HostId};
use reedferry_membership as membership;
use slog::info;

/// What the balancer was told last.
#[derive(Default)]
pub struct Assignments {
    /// The members whose quota this node uses, and how much of each.
    pub quota: Vec<(u32, f64)>,
    /// The hosts that this node probes.
    pub probe_targets: Vec<u64>,
    assigned_by: Option<AssignedBy>,
    lending: bool,
}

/// What probe targets follow from.
#[derive(Clone, Copy, PartialEq)]
struct AssignedBy {
    members_digest: u64,
    endpoint_lists: u64,
}

impl Fleet {
    /// Before anything is decided in a turn: tells the balancer of its quota. Without this, a node that stood still goes
    /// on with quota that others have taken over.
    pub fn refresh_quota(&mut self, context: &mut Context) {
        if context.now > self.membership.next_wakeup() {
            self.handle(context, membership::Event::TimerFired);
        }
        let quota: Vec<(u32, f64)> = self
            .membership
            .quota_shares(context.now)
            .into_iter()
            .map(|share| (share.member_index, share.fraction))
            .collect();
        if quota == self.assignments.quota {
            return;
        }
        if self.lines.allow(context.now) {
            info!(context.log, "slow-start quota"; "of" => format!("{quota:?}"));
        }
        context
            .events
            .push(Event::SlowStartSlotsAssigned(quota.clone()));
        self.assignments.quota = quota;
    }

    /// Whether any quota is shared now, and whether this node probes hosts for their load.
    pub fn update_assignments(&mut self, context: &mut Context, shares_quota: bool, probes: bool) {
        let lent_before = std::mem::replace(&mut self.assignments.lending, shares_quota);
        if lent_before != shares_quota {
            let event = membership::Event::QuotaLendingChanged(shares_quota);
            self.handle(context, event);
        }
        let assigned_by = (!self.membership.holds_off(context.now)).then(|| AssignedBy {
            members_digest: self.membership.digest(),
            endpoint_lists: context.hosts.list_count,
        });
        let is_unchanged = assigned_by.is_some() && assigned_by == self.assignments.assigned_by;
        if probes && !is_unchanged {
            let targets = self
                .membership
                .owned_shards(context.now, context.hosts.ids());
            self.assign_probe_targets(context, targets);
            self.assignments.assigned_by = assigned_by;
        }
    }

    pub(super) fn assign_probe_targets(&mut self, context: &mut Context, targets: Vec<u64>) {
        let assigned_by = self.assignments.assigned_by;
        let lists_changed =
            assigned_by.is_none_or(|by| by.endpoint_lists != context.hosts.list_count);
        // The balancer hears of new hosts though none of them is this node's to probe.
        if targets != self.assignments.probe_targets || lists_changed {
            let hosts = targets.iter().copied().map(HostId).collect();
            context.events.push(Event::ProbeTargetsAssigned(hosts));
            self.assignments.probe_targets = targets;
        }
    }
}
