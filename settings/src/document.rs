//! The settings as they are written in JSON. Fields have the names that the code uses; `rename` gives the key where it differs.
//! Durations are in milliseconds. `expecting` fixes the texts of type errors, which users see.

use serde::Deserialize;

/// The whole document.
#[derive(Deserialize)]
#[serde(expecting = "struct Text")]
pub(super) struct SettingsDocument {
    #[serde(rename = "balancers")]
    pub node_count: u32,
    #[serde(rename = "index")]
    pub node_index: u32,
    #[serde(default)]
    pub zone: u16,
    #[serde(default, rename = "round")]
    pub min_call_interval: f64,
    #[serde(rename = "offerings")]
    pub classes: Vec<RequestClassDocument>,
    #[serde(default, rename = "charges")]
    pub costs: CostsDocument,
    pub contract: ContractDocument,
    pub policy_limits: LimitsDocument,
    #[serde(default)]
    pub registry_mode: String,
    #[serde(default)]
    pub reporting: ReportingDocument,
    #[serde(default)]
    pub extra: ExtraDocument,
    #[serde(default)]
    pub zones: Vec<String>,
    #[serde(default)]
    pub tenants: Vec<TenantDocument>,
}

/// A tenant.
#[derive(Deserialize)]
#[serde(expecting = "struct Tenant")]
pub(super) struct TenantDocument {
    pub name: String,
}

/// A request class.
#[derive(Deserialize)]
#[serde(expecting = "struct Kind")]
pub(super) struct RequestClassDocument {
    #[serde(default)]
    pub name: String,
    #[serde(rename = "contract_time")]
    pub latency_objective: f64,
    #[serde(default, rename = "expiry")]
    pub deadline: f64,
    #[serde(rename = "effect")]
    pub idempotency: String,
    #[serde(default, rename = "group")]
    pub idempotency_group: String,
    #[serde(rename = "payoff")]
    pub priority_weight: f64,
    #[serde(default, rename = "repeat_window")]
    pub idempotency_window: f64,
}

/// The costs of cross-zone connections and of migrations.
#[derive(Deserialize, Default)]
#[serde(default)]
#[serde(expecting = "struct Charges")]
pub(super) struct CostsDocument {
    pub cross_zone: f64,
    #[serde(rename = "moves")]
    pub migration: f64,
}

/// The guaranteed behaviour of hosts.
#[derive(Deserialize)]
#[serde(expecting = "struct Contract")]
pub(super) struct ContractDocument {
    #[serde(default, rename = "ask_within")]
    pub max_poll_interval: f64,
    #[serde(rename = "cold")]
    pub warm_up: f64,
    #[serde(rename = "cold_from")]
    pub warm_up_initial_share: f64,
    #[serde(default)]
    pub drain_grace: f64,
    #[serde(rename = "tip_after")]
    pub overload_window: f64,
    #[serde(rename = "tip_multiple")]
    pub overload_factor: f64,
}

/// The limits on what the node may do.
#[derive(Deserialize)]
#[serde(expecting = "struct Limits")]
pub(super) struct LimitsDocument {
    #[serde(default, rename = "cancel")]
    pub may_cancel: bool,
    #[serde(default)]
    pub connect_timeout: f64,
    #[serde(default)]
    pub max_retry_after: f64,
    #[serde(default)]
    pub may_probe: bool,
    #[serde(default, rename = "peers")]
    pub gossip_enabled: bool,
    #[serde(rename = "most_hand_offs")]
    pub max_attempts: u32,
    #[serde(default)]
    pub retry_after: bool,
}

/// The values of load reports, and how hosts deliver the reports.
#[derive(Deserialize, Default)]
#[serde(default)]
#[serde(expecting = "struct Reporting")]
pub(super) struct ReportingDocument {
    pub fields: Vec<String>,
    #[serde(rename = "via")]
    pub source: String,
}

/// Additional options.
#[derive(Deserialize, Default)]
#[serde(default)]
#[serde(expecting = "struct Extra")]
pub(super) struct ExtraDocument {
    #[serde(rename = "groups")]
    pub groups_enabled: bool,
    #[serde(rename = "message_aim")]
    pub message_latency_objectives: Vec<Option<f64>>,
    pub mode: String,
}
