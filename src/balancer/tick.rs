//! The regular work of a balancer, which no event from outside triggers.

use super::fleet_estimate::FleetEstimate;
use super::{Balancer, TICK_TIMER};
use crate::action::Action;
use crate::hashing::hash_to_unit_interval;
use crate::host::{uses_client_slots, Host};
use crate::intervals::{LOOK_AHEAD_STEP, TICK_INTERVAL};
use crate::messages::{HistoryMessage, HostMessage, Message, PollerMessage, RequestMessage};
use crate::time::Nanos;

impl Balancer {
    pub(super) fn tick(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer {
            time: now + TICK_INTERVAL,
            timer: TICK_TIMER,
        });
        self.ticks += 1;
        let fleet = self.estimate_fleet(now);
        self.send_request(RequestMessage::Tick);
        let open_requests = self.requests.len() as f64;
        let tick = HistoryMessage::Tick { open_requests };
        self.messages.push_back(Message::History(tick));
        if self.settings.endpoints_are_polled {
            self.messages
                .push_back(Message::Poller(PollerMessage::Tick));
        }
        self.migrate_to_warming_hosts(now, &fleet);
        for host in 0..self.hosts.len() {
            self.tick_host(now, host, &fleet);
        }
    }

    fn tick_host(&mut self, now: Nanos, index: usize, fleet: &FleetEstimate) {
        let host = &self.hosts[index];
        let idle = host.is_idle();
        let (mean_load, healthy_share) = (fleet.mean_load, fleet.healthy_share);
        if self.settings.load_from_probes && host.probe_is_due(now, &self.settings) {
            self.send_host(index, HostMessage::Probe);
        }
        if idle {
            return;
        }
        if self.ticks.is_multiple_of(LOOK_AHEAD_STEP / TICK_INTERVAL) {
            self.send_host(index, HostMessage::EvaluatePlacements { mean_load });
        }
        self.send_host(
            index,
            HostMessage::Tick {
                mean_load,
                healthy_share,
            },
        );
    }

    /// Migrates the clients whose slot at a warming host has just started. Any node to which they
    /// reconnect places them there until the host has its share. Because connections are
    /// long-lived, a zone that came back, or hosts that replaced most others, would otherwise be
    /// idle for minutes beside overloaded ones.
    fn migrate_to_warming_hosts(&mut self, now: Nanos, fleet: &FleetEstimate) {
        let warming = self.warming_hosts(now);
        if warming.is_empty() {
            return;
        }
        let slot_started = |host: &Host, key: u64| {
            let zone_size = if self.is_local(host) {
                fleet.local_size
            } else {
                fleet.slow_start.total_size
            };
            let fair_share = host.endpoint.size / zone_size;
            let key_position = hash_to_unit_interval(key, host.id.0);
            key_position < fair_share
                && host.client_slot_started(
                    now,
                    Some(key),
                    TICK_INTERVAL,
                    &fleet.slow_start,
                    &self.settings,
                )
        };
        let is_warm = |host: &&Host| !host.is_warming_up(now, &self.settings);
        let mut due = Vec::new();
        for host in self.hosts.iter().filter(is_warm) {
            for connection in &host.connections {
                let Some(key) = connection.key.filter(|_| connection.established) else {
                    continue;
                };
                if warming.iter().any(|host| slot_started(host, key)) {
                    due.push(connection.slot);
                }
            }
        }
        for slot in due {
            self.send_request(RequestMessage::Migrate { slot });
        }
    }

    /// Returns the warming hosts to which clients are migrated: those of all zones if a host of
    /// this node's zone is warming up, because that zone is then short of warm hosts. Otherwise, and
    /// where clients have no slots, there are none.
    fn warming_hosts(&self, now: Nanos) -> Vec<&Host> {
        if !uses_client_slots(&self.settings) {
            return Vec::new();
        }
        let is_warming = |host: &&Host| {
            host.is_ready()
                && !host.ejection.is_active(now)
                && host.is_warming_up(now, &self.settings)
        };
        let warming: Vec<&Host> = self.hosts.iter().filter(is_warming).collect();
        if warming.iter().any(|host| self.is_local(host)) {
            warming
        } else {
            Vec::new()
        }
    }

    /// Returns whether the host is in this node's zone.
    pub(super) fn is_local(&self, host: &Host) -> bool {
        host.endpoint.zone == self.settings.zone
    }
}
