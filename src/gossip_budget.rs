//! Limits the gossip that a node sends in proportion to the attempts that it makes.

/// The bytes that each attempt adds to the budget, over all receivers.
const BYTES_PER_ATTEMPT: f64 = 512.0;
/// The maximum of the budget, in bytes.
const MAX_BYTES: f64 = 16.0 * BYTES_PER_ATTEMPT;

/// The number of bytes that the node may still gossip, over all receivers.
pub(crate) struct GossipBudget {
    bytes: f64,
}

impl GossipBudget {
    /// Creates a full budget.
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
