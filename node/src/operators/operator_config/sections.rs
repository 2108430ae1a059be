//! The sections and keys of an operator's file, as they are written in TOML. Fields have the names that the code uses; `rename`
//! gives the key where it differs. `expecting` fixes the texts of type errors, which users see.

use serde::Deserialize;
use std::path::PathBuf;
use toml::Spanned;

/// The whole file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(expecting = "struct Sheet")]
pub(super) struct FileSections {
    #[serde(rename = "papers")]
    pub node_config: Spanned<PathBuf>,
    pub node: Option<Spanned<NodeSection>>,
    pub forward: Option<Spanned<ForwardSection>>,
    pub plan: Option<Spanned<PlanSection>>,
    #[serde(default, rename = "planner")]
    pub planners: Vec<Spanned<PlannerSection>>,
    #[serde(default, rename = "peer")]
    pub peers: Vec<Spanned<PeerSection>>,
    pub fleet: Option<Spanned<FleetSection>>,
}

/// The section `[node]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(expecting = "struct NodeSheet")]
pub(super) struct NodeSection {
    #[serde(rename = "messages")]
    pub gossip_address: Option<Spanned<String>>,
}

/// One entry of `[[peer]]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(expecting = "struct PeerSheet")]
pub(super) struct PeerSection {
    pub address: Spanned<String>,
}

/// The section `[fleet]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(expecting = "struct FleetSheet")]
pub(super) struct FleetSection {
    pub address: Spanned<String>,
    pub listen: Option<Spanned<String>>,
    pub name: Option<String>,
    pub seeds: Vec<Spanned<String>>,
    pub period: Option<Spanned<String>>,
    #[serde(rename = "most")]
    pub max_members: Option<Spanned<usize>>,
    #[serde(rename = "wards")]
    pub replication: Option<ReplicationSection>,
}

/// The section `[fleet.wards]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(expecting = "struct WardSheet")]
pub(super) struct ReplicationSection {
    #[serde(rename = "life")]
    pub retention: Option<Spanned<String>>,
    #[serde(rename = "within")]
    pub majority_timeout: Option<Spanned<String>>,
    #[serde(rename = "most")]
    pub max_records: Option<Spanned<usize>>,
}

/// The section `[forward]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(expecting = "struct ForwardSheet")]
pub(super) struct ForwardSection {
    pub lease: Option<Spanned<String>>,
    #[serde(rename = "decide_within")]
    pub decision_timeout: Option<Spanned<String>>,
    #[serde(rename = "most_asked")]
    pub max_awaiting_decision: Option<Spanned<usize>>,
    #[serde(rename = "settle")]
    pub failback_delay: Option<Spanned<String>>,
}

/// The section `[plan]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(expecting = "struct PlanSheet")]
pub(super) struct PlanSection {
    pub name: Spanned<String>,
    pub listen: Option<Spanned<String>>,
    #[serde(rename = "silent")]
    pub silence_timeout: Option<Spanned<String>>,
    #[serde(rename = "settle")]
    pub settle_time: Option<Spanned<String>>,
    #[serde(rename = "most_held")]
    pub max_requests_per_forwarder: Option<Spanned<usize>>,
}

/// One entry of `[[planner]]`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(expecting = "struct PlannerSheet")]
pub(super) struct PlannerSection {
    pub name: String,
    pub address: Spanned<String>,
}
