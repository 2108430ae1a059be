//! The front: distributes clients over nodes at random, and notices late that a node has ended.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Distributes clients over nodes, and notices late that one has ended.
#[derive(Clone, Default)]
pub struct Front(Arc<Mutex<Vec<Backend>>>);

struct Backend {
    address: SocketAddr,
    /// From when on it is left out.
    removed_at: Option<Instant>,
}

impl Front {
    /// Sends clients to this address from now on.
    pub(super) fn add(&self, address: SocketAddr) {
        self.0.lock().unwrap().push(Backend {
            address,
            removed_at: None,
        });
    }

    /// Sends no more clients to this address from that moment on.
    pub(super) fn remove_at(&self, address: SocketAddr, at: Instant) {
        self.0
            .lock()
            .unwrap()
            .iter_mut()
            .filter(|backend| backend.address == address)
            .for_each(|backend| backend.removed_at = Some(at));
    }

    /// A random backend, if there is any.
    pub(super) fn pick(&self, rng: &mut ChaCha8Rng) -> Option<SocketAddr> {
        let mut backends = self.0.lock().unwrap();
        backends.retain(|backend| backend.removed_at.is_none_or(|at| at > Instant::now()));
        (!backends.is_empty()).then(|| backends[rng.random_range(0..backends.len())].address)
    }
}
