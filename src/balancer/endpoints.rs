//! Applies updates of the endpoint list and computes the schedule on which it is polled.

use super::Balancer;
use crate::endpoint::{Endpoint, EndpointUpdate};
use crate::endpoint_poller::PollSchedule;
use crate::host::{is_large_fleet, Host};
use crate::messages::{HostMessage, Message, PollerMessage};
use crate::settings::BalancerSettings;
use crate::time::Nanos;

impl Balancer {
    pub(super) fn update_endpoints(
        &mut self,
        now: Nanos,
        kind: EndpointUpdate,
        endpoints: Vec<Endpoint>,
    ) {
        self.messages
            .push_back(Message::Poller(PollerMessage::Updated(kind)));
        if kind == EndpointUpdate::Failed {
            return;
        }
        let first_list = !self.received_endpoints;
        let mut listed = vec![false; self.hosts.len()];
        let mut search_from = 0;
        for endpoint in endpoints {
            let host = self
                .hosts
                .find_or_insert(endpoint.id, now, &mut search_from);
            if let Some(listed) = listed.get_mut(host) {
                *listed = true;
            }
            let listed = HostMessage::Listed {
                endpoint,
                first_list,
            };
            self.send_host(host, listed);
        }
        if kind != EndpointUpdate::Delta {
            for host in (0..listed.len()).filter(|&host| !listed[host]) {
                self.send_host(host, HostMessage::Unlisted);
            }
        }
        self.received_endpoints = true;
    }

    pub(super) fn poll_schedule(&self) -> PollSchedule {
        PollSchedule {
            max_poll_interval: self.settings.max_poll_interval,
            position: fleet_position(&self.settings),
            has_hosts: self.hosts.iter().any(Host::is_ready),
        }
    }
}

/// Returns the node's position in a large fleet, from 0 to 1, and `None` in a small fleet. Just
/// above the size of a small fleet the positions cover only a small part of that range; they cover
/// nearly all of it as the fleet grows.
fn fleet_position(settings: &BalancerSettings) -> Option<f64> {
    let max_small_fleet_nodes = settings.warm_up as f64 / settings.overload_window.max(1) as f64;
    let nodes = f64::from(settings.node_count.max(1));
    let position = (f64::from(settings.node_index) + 0.5) / nodes
        * (1.0 - (max_small_fleet_nodes / nodes).powi(2));
    is_large_fleet(settings).then_some(position)
}
