//! The node config on which tests base theirs.

use crate::peers::Hosts;
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Returns the config of a node that knows `hosts` at its start and calls discovery at `discovery`.
pub fn node_config(hosts: &Hosts, discovery: SocketAddr) -> Value {
    node_config_of(hosts.members(), discovery)
}

/// Like [`node_config`], with these members of the endpoint list instead of hosts.
pub fn node_config_of(members: Value, discovery: SocketAddr) -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512},
        "known": {"revision": 0, "complete": true, "members": members},
        "settings": {"balancers": 1, "index": 0, "zone": 0, "zones": ["a"], "round": 4.0,
            "offerings": [{"name": "chat", "contract_time": 500.0, "expiry": 2000.0, "effect": "free",
                "group": "all", "payoff": 1.0}],
            "tenants": [{"name": "acme"}],
            "contract": {"ask_within": 1000.0, "cold": 1000.0, "cold_from": 0.5, "drain_grace": 300.0,
                "tip_after": 1000.0, "tip_multiple": 3.0},
            "policy_limits": {"cancel": true, "connect_timeout": 250.0, "max_retry_after": 1000.0,
                "may_probe": true, "most_hand_offs": 3, "retry_after": true},
            "registry_mode": "on_request", "extra": {"message_aim": [100.0], "mode": "proxy"}}})
}
