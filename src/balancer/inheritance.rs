//! Hot restart: exports the state that a process leaves to its successor, and inherits the state of
//! its predecessor.

use super::Balancer;
use crate::endpoint::HostId;
use crate::host::Host;
use crate::inherited_state::InheritedState;
use crate::messages::{HistoryMessage, HostMessage, Message, RequestMessage};
use crate::request::{IncomingRequest, PriorAttempts};
use crate::time::Nanos;

impl Balancer {
    /// Returns the state that the successor of this process inherits.
    pub fn export_state(&self) -> InheritedState {
        let listed = self.hosts.iter().filter(|host| host.listed);
        InheritedState {
            hosts: listed.map(Host::snapshot).collect(),
            setup_failure_rate: self.setup_failures.rate(),
            late_message_rate: self.load_shedding.late_rate(),
            ..self.history.export()
        }
    }

    pub(super) fn inherit_state(&mut self, mut state: Box<InheritedState>) {
        for snapshot in std::mem::take(&mut state.hosts) {
            if let Some(host) = self.hosts.index(snapshot.id) {
                self.send_host(host, HostMessage::SnapshotInherited(Box::new(snapshot)));
            }
        }
        self.send_request(RequestMessage::StateInherited(state));
    }

    pub(super) fn state_inherited(&mut self, state: Box<InheritedState>) {
        self.setup_failures.inherit(state.setup_failure_rate);
        self.load_shedding.inherit(state.late_message_rate);
        let inherited = HistoryMessage::StateInherited(state);
        self.messages.push_back(Message::History(inherited));
    }

    pub(super) fn connection_found(
        &mut self,
        incoming: IncomingRequest,
        host: HostId,
        since: Nanos,
    ) {
        if let Some(host) = self.hosts.index(host) {
            self.send_request(RequestMessage::ConnectionFound {
                incoming,
                host,
                since,
            });
        }
    }

    pub(super) fn request_taken_over(&mut self, incoming: IncomingRequest, prior: &PriorAttempts) {
        // If the group of the first host is unknown, the request gets host index 0 and time 0,
        // which stand for a first attempt whose repeat window is over. Otherwise a repeat might be
        // sent to a host outside the group that would drop it.
        let may_have_run = prior.may_have_run.map(|(id, sent_at)| {
            let known = self.hosts.index(id);
            known
                .filter(|&host| self.hosts[host].same_group_since(sent_at))
                .map_or((0, 0), |host| (host, sent_at))
        });
        let tried = prior.tried_hosts.iter();
        let tried_hosts = tried.filter_map(|id| self.hosts.index(*id)).collect();
        self.send_request(RequestMessage::TakenOver {
            incoming,
            attempts: prior.attempts,
            may_have_run,
            tried_hosts,
        });
    }
}
