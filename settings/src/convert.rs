//! Converts the settings from the form of the document into the form that the program uses.

use crate::document::{LimitsDocument, RequestClassDocument, SettingsDocument};
use crate::error::SettingsError;
use crate::node_settings::NodeSettings;
use crate::Settings;
use reedferry::{
    BalancerSettings, Idempotency, IdempotencyGroup, LoadMetric, Nanos, RequestClass, SECOND,
};

const NANOS_PER_MS: f64 = 1e6;
/// The maximum of a decoded duration: twice this value still fits into [`Nanos`], so that sums do not overflow.
const MAX_NANOS: f64 = 9e18;
/// The connect timeout where the settings give none, or 0.
const DEFAULT_CONNECT_TIMEOUT: Nanos = SECOND / 4;

/// Converts milliseconds to nanoseconds, rounded, and clamped to a range from 0 to 9e18 in which a sum of two does not overflow.
pub fn nanos(ms: f64) -> Nanos {
    (ms * NANOS_PER_MS).round().clamp(0.0, MAX_NANOS) as Nanos
}

/// Returns the quantity that a field of a load report measures.
pub(super) fn load_metric(name: &str) -> LoadMetric {
    match name {
        "x0" => LoadMetric::Load,
        "util" => LoadMetric::Utilization,
        "x1" => LoadMetric::Backlog,
        _ => LoadMetric::Other,
    }
}

impl SettingsDocument {
    /// Converts a document that [`check_document`](crate::validation::check_document) has accepted.
    pub(super) fn into_settings(self) -> Result<Settings, SettingsError> {
        let classes = self.request_classes()?;
        let balancer = self.balancer_settings(classes);
        let node = NodeSettings {
            max_request_timeout: balancer.max_request_timeout,
            connect_timeout: connect_timeout(&self.policy_limits),
            drain_grace: nanos(self.contract.drain_grace),
            active: vec![true; self.classes.len()],
            classes: self.classes.into_iter().map(|class| class.name).collect(),
            tenants: self.tenants.into_iter().map(|tenant| tenant.name).collect(),
            zones: self.zones,
            load_metrics: self.reporting.fields,
        };
        Ok(Settings { balancer, node })
    }

    fn request_classes(&self) -> Result<Vec<RequestClass>, SettingsError> {
        let message_objectives = &self.extra.message_latency_objectives;
        self.classes
            .iter()
            .enumerate()
            .map(|(index, class)| {
                let message_objective = message_objectives.get(index).copied().flatten();
                request_class(index, class, message_objective)
            })
            .collect()
    }

    fn balancer_settings(&self, classes: Vec<RequestClass>) -> BalancerSettings {
        let limits = &self.policy_limits;
        let contract = &self.contract;
        let max_deadline = self
            .classes
            .iter()
            .map(|class| class.deadline)
            .fold(0.0, f64::max);
        BalancerSettings {
            max_request_timeout: nanos(max_deadline),
            node_index: self.node_index,
            node_count: self.node_count.max(1),
            zone: self.zone,
            centralized: false,
            min_call_interval: nanos(self.min_call_interval),
            classes,
            max_attempts: limits.max_attempts,
            may_cancel: limits.may_cancel,
            max_retry_after: if limits.retry_after {
                nanos(limits.max_retry_after)
            } else {
                0
            },
            endpoints_are_polled: self.registry_mode == "on_request",
            max_poll_interval: nanos(contract.max_poll_interval),
            warm_up: nanos(contract.warm_up),
            warm_up_initial_share: contract.warm_up_initial_share,
            overload_factor: contract.overload_factor,
            overload_window: nanos(contract.overload_window),
            passthrough: self.extra.mode == "pass",
            groups_enabled: self.extra.groups_enabled,
            cross_zone_cost: self.costs.cross_zone,
            migration_cost: self.costs.migration,
            load_from_probes: limits.may_probe && self.reporting.source == "pull",
            gossip_enabled: limits.gossip_enabled,
            load_metrics: self
                .reporting
                .fields
                .iter()
                .map(|name| load_metric(name))
                .collect(),
            slow_start_slots: Vec::new(),
        }
    }
}

fn request_class(
    index: usize,
    class: &RequestClassDocument,
    message_objective: Option<f64>,
) -> Result<RequestClass, SettingsError> {
    let idempotency = match class.idempotency.as_str() {
        "free" => Idempotency::Idempotent,
        "guarded" => Idempotency::WithKey,
        "single_shot" => Idempotency::NonIdempotent,
        other => {
            return Err(SettingsError::UnknownIdempotency {
                class: index,
                value: other.to_string(),
            })
        }
    };
    let idempotency_group = match class.idempotency_group.as_str() {
        "zone" => IdempotencyGroup::Zone,
        "cell" => IdempotencyGroup::Cell,
        _ => IdempotencyGroup::All,
    };
    Ok(RequestClass {
        idempotency,
        idempotency_group,
        idempotency_window: nanos(class.idempotency_window),
        priority_weight: class.priority_weight,
        latency_objective: nanos(class.latency_objective),
        message_latency_objective: nanos(message_objective.unwrap_or(class.latency_objective)),
        active: true,
    })
}

fn connect_timeout(limits: &LimitsDocument) -> Nanos {
    match nanos(limits.connect_timeout) {
        0 => DEFAULT_CONNECT_TIMEOUT,
        timeout => timeout,
    }
}

#[cfg(test)]
#[path = "convert_tests.rs"]
mod tests;
