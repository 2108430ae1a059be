//! The reload of a running node's configuration: the discovery address, the settings and parts of the fleet configuration take
//! effect; changes to everything else take effect at the next start.

use super::config_source::{LoadError, LoadedConfig};
use super::Node;
use crate::discovery::hosts::ListSource;
use crate::discovery::list::EndpointList;
use crate::operators::config_files::MayBeTransient;
use crate::operators::node_config::{MissingKey, NodeConfig};
use crate::peers::GossipConfig;
use reedferry::Event;
use reedferry_settings::{reload, Settings};
use slog::{info, warn};

/// The reason why a configuration is not applied.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    /// The configuration can't be read or is invalid.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The configuration lacks a key that the current one has.
    #[error(transparent)]
    MissingKey(#[from] MissingKey),
}

impl Node<'_> {
    /// Reloads the configuration if a signal asks for it, or if the previous reload failed because of a transient error.
    pub(super) fn reload_if_asked(&mut self) {
        if !self.reload_signal.take() && !std::mem::take(&mut self.reload_pending) {
            return;
        }
        let loaded = match self.config_source.load() {
            // Retries after a transient error, because otherwise the new settings would never be applied.
            Err(error) if error.is_transient() => return self.postpone_reload(&error),
            other => other.map_err(ReloadError::from),
        };
        // Rejects a file that is incomplete or invalid, because a partly written file could end the node or misconfigure it.
        let checked = loaded.and_then(|loaded| {
            self.node_config.check_complete(&loaded.node_config)?;
            Ok(loaded)
        });
        self.context.metrics.record_reload(checked.is_ok());
        match checked {
            Ok(loaded) => self.apply(loaded),
            Err(error) => {
                warn!(self.context.log, "configuration not reloaded"; "why" => %error);
            }
        }
    }

    fn postpone_reload(&mut self, error: &LoadError) {
        self.context.record_transient_failure("open");
        if self.context.request_lines.allow(self.context.now) {
            warn!(self.context.log, "configuration reload is retried soon"; "why" => %error);
        }
        self.reload_pending = true;
    }

    /// Applies a configuration that has been checked.
    fn apply(&mut self, loaded: LoadedConfig) {
        let LoadedConfig {
            mut node_config,
            gossip_config,
        } = loaded;
        let mut kept = self.node_config.parts_kept_until_restart(&node_config);
        if !self.apply_peers(gossip_config.as_ref(), &node_config) {
            kept.push("peers");
            node_config.balancer_settings.gossip_enabled =
                self.node_config.balancer_settings.gossip_enabled;
        }
        if !kept.is_empty() {
            warn!(self.context.log, "kept until the next start"; "parts" => kept.join(" "));
        }
        info!(self.context.log, "configuration reloaded"; "discovery" => %node_config.discovery);
        self.apply_settings(&mut node_config);
        let discovery_moved = node_config.discovery != self.node_config.discovery;
        self.node_config = node_config;
        if discovery_moved {
            self.discovery
                .switch_service(&mut self.context, self.node_config.discovery);
        }
    }

    /// Applies the changes to the peers that a running node supports, and returns whether the whole peer configuration is in
    /// effect.
    fn apply_peers(
        &mut self,
        gossip_config: Option<&GossipConfig>,
        node_config: &NodeConfig,
    ) -> bool {
        let fleet_config = gossip_config.and_then(|c| c.fleet.as_ref());
        let (Some(fleet), Some(fleet_config)) = (&mut self.fleet, fleet_config) else {
            return gossip_config == self.gossip_config.as_ref();
        };
        let settings = &node_config.balancer_settings;
        fleet.reload(
            &mut self.context,
            fleet_config,
            settings.node_index,
            settings.node_count,
        )
    }

    /// Applies new settings. Requests in flight keep their request class. Sets the settings in `fresh` to those in effect.
    fn apply_settings(&mut self, fresh: &mut NodeConfig) {
        let NodeConfig {
            balancer_settings,
            node_settings,
            ..
        } = &mut self.node_config;
        let zones_changed = node_settings.zones != fresh.node_settings.zones;
        let changed_classes = reload::apply(
            balancer_settings,
            node_settings,
            Settings {
                balancer: fresh.balancer_settings.clone(),
                node: fresh.node_settings.clone(),
            },
            |class| self.connections.uses_class(class),
        );
        fresh.balancer_settings = balancer_settings.clone();
        fresh.node_settings = node_settings.clone();
        let context = &mut self.context;
        context.settings = node_settings.clone();
        context.classes = balancer_settings.classes.clone();
        context.metrics.add_classes(&node_settings.classes);
        context.hosts.update_settings(
            node_settings.zones.clone(),
            balancer_settings.shortest_message_latency_objective(),
        );
        self.discovery
            .update_settings(balancer_settings, node_settings.drain_grace);
        context.events.push(Event::SettingsChanged(
            Box::new(balancer_settings.clone()),
            changed_classes,
        ));
        if zones_changed {
            self.reapply_endpoint_list();
        }
    }

    /// Applies the endpoint list again, with the new zone indices. It includes former hosts to which requests may still refer:
    /// otherwise the zone in which a request may have run would keep its old index, and a retry would be matched against the
    /// zone that has this index now.
    fn reapply_endpoint_list(&mut self) {
        let context = &mut self.context;
        let members = [context.hosts.members(), context.hosts.former_members()].concat();
        let list = EndpointList {
            revision: self.discovery.revision().unwrap_or(0),
            complete: true,
            members,
        };
        let event = context
            .hosts
            .apply_list(context.now, list, ListSource::Cached, &context.log);
        context.events.push(event);
    }
}
