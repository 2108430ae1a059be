//! The front load balancer: sends each client to a random node, and notices the end of a node only after a delay.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A load balancer in front of the nodes. Clones share their backends.
#[derive(Clone, Default)]
pub struct Front(Arc<Mutex<Vec<Backend>>>);

struct Backend {
    address: SocketAddr,
    /// When the backend stops receiving clients; `None` while no end is known.
    removed_at: Option<Instant>,
}

impl Front {
    /// Adds a backend, which receives clients from now on.
    pub(super) fn add(&self, address: SocketAddr) {
        self.0.lock().unwrap().push(Backend {
            address,
            removed_at: None,
        });
    }

    /// Stops sending clients to the backends with this address from the time `at` on.
    pub(super) fn remove_at(&self, address: SocketAddr, at: Instant) {
        self.0
            .lock()
            .unwrap()
            .iter_mut()
            .filter(|backend| backend.address == address)
            .for_each(|backend| backend.removed_at = Some(at));
    }

    /// Returns the address of a random backend, or `None` if there is none.
    pub(super) fn pick(&self, rng: &mut ChaCha8Rng) -> Option<SocketAddr> {
        let mut backends = self.0.lock().unwrap();
        backends.retain(|backend| backend.removed_at.is_none_or(|at| at > Instant::now()));
        (!backends.is_empty()).then(|| backends[rng.random_range(0..backends.len())].address)
    }
}
