//! Handles load reports of hosts, which arrive in responses, probes, and the gossip of other nodes.

use super::Balancer;
use crate::endpoint::HostId;
use crate::gossip;
use crate::messages::HostMessage;
use crate::request::AttemptOutcome;
use crate::settings::LoadMetric;

/// The load assumed for a host that does not answer a probe.
const UNRESPONSIVE_LOAD: f64 = 2.0;
/// The exclusive upper bound of a valid value in a load report.
const MAX_METRIC_VALUE: f64 = 1e3;

impl Balancer {
    /// Handles the values of a load report. `default_load` is used if they contain no valid load.
    pub(super) fn load_report_received(
        &mut self,
        host: usize,
        values: &[f64],
        default_load: Option<f64>,
    ) {
        let position = |metric| self.settings.load_metrics.iter().position(|&m| m == metric);
        let value = |position: usize| {
            let value = values.get(position).copied();
            value.filter(|value| (0.0..MAX_METRIC_VALUE).contains(value))
        };
        let load = position(LoadMetric::Load)
            .or(position(LoadMetric::Utilization))
            .and_then(value)
            .or(default_load);
        let backlog = position(LoadMetric::Backlog).and_then(value);
        if let Some(load) = load {
            let from_gossip = false;
            self.send_host(host, HostMessage::LoadReported { load, from_gossip });
        }
        if let Some(seconds) = backlog {
            self.send_host(host, HostMessage::BacklogReported(seconds));
        }
    }

    pub(super) fn probe_ended(
        &mut self,
        host: HostId,
        outcome: AttemptOutcome,
        load_metrics: &[f64],
    ) {
        let Some(host) = self.hosts.index(host) else {
            return;
        };
        // Only a timeout says something about the host's load: a probe may also fail because too
        // many run at once or because a connection broke.
        let unresponsive = outcome == AttemptOutcome::TimedOut;
        let default_load = unresponsive.then_some(UNRESPONSIVE_LOAD);
        self.load_report_received(host, load_metrics, default_load);
    }

    /// Handles the load that another node gossips about a host in this node's endpoint list.
    pub(super) fn gossip_received(&mut self, message: &[u8]) {
        let Some((tag, load)) = gossip::decode(message) else {
            return;
        };
        let has_tag = |&index: &usize| {
            let host = &self.hosts[index];
            host.listed && gossip::host_tag(host.id) == tag
        };
        let mut matching = (0..self.hosts.len()).filter(has_tag);
        // A message is ignored if two hosts have its tag, because it could be about either of them.
        if let (Some(host), None) = (matching.next(), matching.next()) {
            let from_gossip = true;
            self.send_host(host, HostMessage::LoadReported { load, from_gossip });
        }
    }

    pub(super) fn assign_probe_targets(&mut self, targets: &[HostId]) {
        for host in 0..self.hosts.len() {
            let assigned = targets.contains(&self.hosts[host].id);
            self.send_host(host, HostMessage::ProbeAssigned(assigned));
        }
    }
}
