//! The table of all host records, by index and by id.

use super::Host;
use crate::endpoint::HostId;
use crate::time::Nanos;
use std::collections::HashMap;
use std::ops::{Index, IndexMut};

/// The records of all hosts. A host keeps its index until its record is reused for another host.
#[derive(Default)]
pub(crate) struct HostTable {
    hosts: Vec<Host>,
    index_by_id: HashMap<HostId, usize>,
}

impl HostTable {
    /// Returns the index of a host's record, or `None` if the host is unknown.
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

    /// Returns the index of a host's record, and creates the record if there is none. Records of
    /// hosts that are long gone are reused, because a node runs for months. The search for one
    /// starts at `search_from`, which is set to the index of the record used.
    pub fn find_or_insert(&mut self, id: HostId, now: Nanos, search_from: &mut usize) -> usize {
        if let Some(index) = self.index(id) {
            return index;
        }
        let reusable = self
            .hosts
            .iter()
            .skip(*search_from)
            .position(|host| host.is_reusable(now));
        let index = reusable.map_or(self.hosts.len(), |offset| *search_from + offset);
        *search_from = index;
        let record = Host {
            id,
            last_listed_at: now,
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
