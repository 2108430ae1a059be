//! The fleet's assignments to this node: shares of the slow-start quota, and hosts to probe. This module remembers what the
//! balancer was told last, and tells it only of changes.

use crate::context::Context;
use crate::peers::Fleet;
use reedferry::{Event, HostId};
use reedferry_membership as membership;
use slog::info;

/// The assignments that the balancer was told last.
#[derive(Default)]
pub struct Assignments {
    /// The indices of the members whose quota this node uses, and the fraction of each.
    pub quota: Vec<(u32, f64)>,
    /// The ids of the hosts that this node probes.
    pub probe_targets: Vec<u64>,
    /// The inputs from which the probe targets were computed; `None` if they must be computed again.
    probe_inputs: Option<ProbeTargetInputs>,
    /// Whether this node last requested leases on slow-start quota.
    shares_quota: bool,
}

/// The inputs that determine the probe targets.
#[derive(Clone, Copy, PartialEq)]
struct ProbeTargetInputs {
    /// The digest of the member table.
    members_digest: u64,
    /// The number of endpoint lists applied so far.
    list_count: u64,
}

impl Fleet {
    /// Tells the balancer of its slow-start quota if that has changed. Called in each turn before any decision, because a
    /// node that was stalled would otherwise still use quota that other members have taken over.
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
        if self.log_limit.allow(context.now) {
            info!(context.log, "slow-start quota"; "of" => format!("{quota:?}"));
        }
        context
            .events
            .push(Event::SlowStartSlotsAssigned(quota.clone()));
        self.assignments.quota = quota;
    }

    /// Updates the quota leases and the probe targets. `shares_quota` tells whether this node currently needs leases on
    /// slow-start quota, and `probes` whether it probes hosts for their load.
    pub fn update_assignments(&mut self, context: &mut Context, shares_quota: bool, probes: bool) {
        let shared_before = std::mem::replace(&mut self.assignments.shares_quota, shares_quota);
        if shared_before != shares_quota {
            let event = membership::Event::QuotaLendingChanged(shares_quota);
            self.handle(context, event);
        }
        let probe_inputs = (!self.membership.holds_off(context.now)).then(|| ProbeTargetInputs {
            members_digest: self.membership.digest(),
            list_count: context.hosts.list_count,
        });
        let is_unchanged = probe_inputs.is_some() && probe_inputs == self.assignments.probe_inputs;
        if probes && !is_unchanged {
            let targets = self
                .membership
                .owned_shards(context.now, context.hosts.ids());
            self.assign_probe_targets(context, targets);
            self.assignments.probe_inputs = probe_inputs;
        }
    }

    pub(super) fn assign_probe_targets(&mut self, context: &mut Context, targets: Vec<u64>) {
        let probe_inputs = self.assignments.probe_inputs;
        let lists_changed =
            probe_inputs.is_none_or(|inputs| inputs.list_count != context.hosts.list_count);
        // Also tells the balancer after a new endpoint list, even if no new host is assigned to this node.
        if targets != self.assignments.probe_targets || lists_changed {
            let hosts = targets.iter().copied().map(HostId).collect();
            context.events.push(Event::ProbeTargetsAssigned(hosts));
            self.assignments.probe_targets = targets;
        }
    }
}
