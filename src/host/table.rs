//! The records of all hosts, by index and by id.

use super::Host;
use crate::endpoint::HostId;
use crate::time::Nanos;
use std::collections::HashMap;
use std::ops::{Index, IndexMut};

/// The records of all hosts. A record keeps its index for as long as it is that of the same host.
#[derive(Default)]
pub(crate) struct HostTable {
    hosts: Vec<Host>,
    index_by_id: HashMap<HostId, usize>,
}

impl HostTable {
    /// The index of a known host's record.
    pub fn index(&self, id: HostId) -> Option<usize> {
        self.index_by_id.get(&id).copied()
    }

    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    pub fn get(&self, index: usize) -> Option<&Host> {
        self.hosts.get(index)
    }

    pub fn iter(&self) -> std::slice::Iter<'_, Host> {
        self.hosts.iter()
    }

    /// The index of a host's record, a new one where there is none. The record of a host long gone
    /// is reused, as a node runs for months. The search starts at `search_from`, which moves on to
    /// the record taken.
    pub fn find_or_insert(&mut self, id: HostId, now: Nanos, search_from: &mut usize) -> usize {
        if let Some(index) = self.index(id) {
            return index;
        }
        let forgotten = self
            .hosts
            .iter()
            .skip(*search_from)
            .position(|host| host.is_forgotten(now));
        let index = forgotten.map_or(self.hosts.len(), |offset| *search_from + offset);
        *search_from = index;
        let record = Host {
            id,
            gone_since: now,
            ..Host::default()
        };
        if let Some(old) = self.hosts.get_mut(index) {
            let old = std::mem::replace(old, record);
            self.index_by_id.remove(&old.id);
        } else {
            self.hosts.push(record);
        }
        self.index_by_id.insert(id, index);
        index
    }
}

impl Index<usize> for HostTable {
    type Output = Host;

    fn index(&self, index: usize) -> &Host {
        &self.hosts[index]
    }
}

impl IndexMut<usize> for HostTable {
    fn index_mut(&mut self, index: usize) -> &mut Host {
        &mut self.hosts[index]
    }
}
