//! The parts of the node that a host's record may use while it handles a message.

use crate::action::Action;
use crate::connection_history::ConnectionHistory;
use crate::gossip_budget::GossipBudget;
use crate::messages::{HistoryMessage, Message, MessageQueue, RequestMessage};
use crate::request_table::RequestTable;
use crate::settings::BalancerSettings;
use crate::setup_failures::SetupFailures;

/// The rest of the node: the parts to read, and the queues for messages and actions.
pub(crate) struct HostContext<'a> {
    pub settings: &'a BalancerSettings,
    pub history: &'a ConnectionHistory,
    pub requests: &'a RequestTable,
    pub setup_failures: &'a SetupFailures,
    pub gossip_budget: &'a GossipBudget,
    pub messages: &'a mut MessageQueue,
    pub actions: &'a mut Vec<Action>,
    /// A random number from 0 to 1 for this message.
    pub random: f64,
    /// The number of this node's connections that a warm host can sustain per unit of size; 0
    /// unless the host is warming up.
    pub connections_per_size: f64,
}

impl HostContext<'_> {
    pub(super) fn migrate(&mut self, slot: usize) {
        self.send_request(RequestMessage::Migrate { slot });
    }

    pub(super) fn send_request(&mut self, message: RequestMessage) {
        self.messages.push_back(Message::Request(message));
    }

    pub(super) fn update_history(&mut self, message: HistoryMessage) {
        self.messages.push_back(Message::History(message));
    }
}
