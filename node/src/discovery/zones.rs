//! The index of each zone: by the settings, by its number where these name none, or one of its own. Without
//! the last, two zones that the settings do not name would be taken for one, and a retry would be sent out of
//! the zone that drops it.

use std::collections::HashMap;

/// Zones that lists alone name and that are told apart; as many indices are left to the settings.
const MAX_UNNAMED_ZONES: usize = 1 << 15;

/// The zones of the settings, and indices for those that lists alone name, from the last down.
#[derive(Default)]
pub(super) struct ZoneIndex {
    configured: Vec<String>,
    others: HashMap<String, u16>,
}

impl ZoneIndex {
    /// The index of the zones of these settings.
    pub(super) fn new(configured: Vec<String>) -> Self {
        ZoneIndex {
            configured,
            others: HashMap::new(),
        }
    }

    /// Goes by the zones of other settings; those that lists alone name keep their indices.
    pub(super) fn update_settings(&mut self, configured: Vec<String>) {
        self.configured = configured;
    }

    /// The index of a zone, which becomes known by this.
    pub(super) fn index(&mut self, name: &str) -> u16 {
        let by_number = || {
            name.parse()
                .ok()
                .filter(|n| self.configured.is_empty() && *n < MAX_UNNAMED_ZONES)
        };
        let by_name = self.configured.iter().position(|zone| zone == name);
        if let Some(index) = by_name.or_else(by_number) {
            return index as u16;
        }
        let next = u16::MAX - self.others.len().min(MAX_UNNAMED_ZONES - 1) as u16;
        match self.others.get(name) {
            Some(index) => *index,
            None if self.others.len() < MAX_UNNAMED_ZONES => {
                *self.others.entry(name.to_string()).or_insert(next)
            }
            None => next,
        }
    }
}
