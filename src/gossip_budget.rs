//! The bytes that a node may gossip: they grow with the attempts it makes.

/// Bytes earned by each attempt, over all receivers.
const BYTES_PER_ATTEMPT: f64 = 512.0;
/// How many bytes may be saved up.
const MAX_BYTES: f64 = 16.0 * BYTES_PER_ATTEMPT;

/// The bytes that may still be gossiped, over all receivers.
pub(crate) struct GossipBudget {
    bytes: f64,
}

impl GossipBudget {
    /// A full budget.
    pub fn new() -> Self {
        GossipBudget { bytes: MAX_BYTES }
    }

    pub fn allows(&self, bytes: f64) -> bool {
        self.bytes >= bytes
    }

    pub fn spend(&mut self, bytes: f64) {
        self.bytes -= bytes;
    }

    pub fn attempt_started(&mut self) {
        self.bytes = (self.bytes + BYTES_PER_ATTEMPT).min(MAX_BYTES);
    }
}
