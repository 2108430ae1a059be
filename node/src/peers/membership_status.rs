//! The JSON of `/status/fleet`, which shows operators this node's view of the fleet. Its keys are a public interface.

use crate::peers::Fleet;
use reedferry::Nanos;
use reedferry_membership::Member;
use serde_json::{json, Value};

impl Fleet {
    /// Returns the status as one line of JSON. `replication` is the result of
    /// [`crate::peers::RequestReplication::status`], or `None` if requests are not replicated.
    pub fn status(&self, now: Nanos, replication: Option<Value>) -> String {
        let membership = &self.membership;
        let (me, version) = (membership.info(), membership.version());
        let members: Vec<Value> = membership
            .others()
            .map(|member| member_status(now, member))
            .collect();
        let status = json!({"name": me.name, "address": me.address, "state": membership.state().label(),
            "life": version.incarnation, "word": version.sequence, "ill": membership.local_health(),
            "superseded": membership.superseded(), "digest": format!("{:016x}", membership.digest()),
            "still_ms": ms_since(now, membership.unchanged_since()), "turns": self.assignments.quota,
            "looks": self.assignments.probe_targets.len(), "wards": replication, "members": members});
        format!("{status}\n")
    }
}

fn member_status(now: Nanos, member: &Member) -> Value {
    let info = &member.info;
    json!({"name": info.name, "address": info.address, "role": info.role.label(), "zone": info.zone,
        "build": info.build, "place": info.member_index, "of": info.cluster_size, "state": member.state.label(),
        "since_ms": ms_since(now, member.since), "life": member.version.incarnation,
        "word": member.version.sequence})
}

fn ms_since(now: Nanos, then: Nanos) -> u64 {
    now.saturating_sub(then) / 1_000_000
}
