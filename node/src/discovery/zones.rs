//! The index of each zone: its position in the settings, its number if the settings name no zones, or else an
//! index of its own. Without the last kind, two zones that the settings don't name would count as one, and the
//! retry of a request could be sent to another zone than the one whose hosts drop it as a duplicate.

use std::collections::HashMap;

/// The maximum number of distinct zones that only lists name. As many indices remain for the zones of the settings.
const MAX_UNNAMED_ZONES: usize = 1 << 15;

/// The zones of the settings, and the indices of those that only lists name, assigned downwards from `u16::MAX`.
#[derive(Default)]
pub(super) struct ZoneIndex {
    configured: Vec<String>,
    listed_only: HashMap<String, u16>,
}

impl ZoneIndex {
    /// Creates the index for the zones that the settings name.
    pub(super) fn new(configured: Vec<String>) -> Self {
        ZoneIndex {
            configured,
            listed_only: HashMap::new(),
        }
    }

    /// Replaces the zones of the settings. Zones that only lists name keep their indices.
    pub(super) fn update_settings(&mut self, configured: Vec<String>) {
        self.configured = configured;
    }

    /// Returns the index of a zone, and assigns one to an unknown zone. Once [`MAX_UNNAMED_ZONES`] have been
    /// assigned, all further zones share the last index.
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
        let next = u16::MAX - self.listed_only.len().min(MAX_UNNAMED_ZONES - 1) as u16;
        match self.listed_only.get(name) {
            Some(index) => *index,
            None if self.listed_only.len() < MAX_UNNAMED_ZONES => {
                *self.listed_only.entry(name.to_string()).or_insert(next)
            }
            None => next,
        }
    }
}
