//! A TCP relay whose traffic a test can drop, delay and corrupt in either direction. It ends a connection only if one
//! side has ended it or a test tells it to.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The faults of one direction. They apply to all connections of the relay.
#[derive(Default)]
pub struct RelayDirection {
    /// Whether bytes are dropped without either side noticing.
    pub cut: AtomicBool,
    /// How long each chunk is delayed, in milliseconds.
    pub delay: AtomicU64,
    /// Whether the first bytes of the next chunk are inverted, up to eight.
    pub corrupt: AtomicBool,
}

impl RelayDirection {
    /// Ends all faults.
    pub fn clear(&self) {
        self.cut.store(false, SeqCst);
        self.delay.store(0, SeqCst);
        self.corrupt.store(false, SeqCst);
    }
}

/// A relay that forwards connections from its own address to a target.
pub struct Relay {
    /// The address at which the relay listens.
    pub address: SocketAddr,
    /// The direction from the caller to the target.
    pub up: Arc<RelayDirection>,
    /// The direction from the target to the caller.
    pub down: Arc<RelayDirection>,
    to: Arc<Mutex<SocketAddr>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Relay {
    /// Starts a relay to a target.
    pub fn to(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let relay = Relay {
            address: listener.local_addr().unwrap(),
            up: Arc::default(),
            down: Arc::default(),
            to: Arc::new(Mutex::new(to)),
            open: Arc::default(),
        };
        let (up, down, to, open) = (
            relay.up.clone(),
            relay.down.clone(),
            relay.to.clone(),
            relay.open.clone(),
        );
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let Ok(target) = TcpStream::connect(*to.lock().unwrap()) else {
                    continue;
                };
                let ends = [&caller, &target].map(|stream| {
                    _ = stream.set_nodelay(true);
                    stream.try_clone().unwrap()
                });
                open.lock().unwrap().extend(ends);
                forward(
                    caller.try_clone().unwrap(),
                    target.try_clone().unwrap(),
                    up.clone(),
                );
                forward(target, caller, down.clone());
            }
        });
        relay
    }

    /// Sets the target of connections that come from now on.
    pub fn set_target(&self, to: SocketAddr) {
        *self.to.lock().unwrap() = to;
    }

    /// Closes all connections of the relay at both sides.
    pub fn close_all(&self) {
        for stream in self.open.lock().unwrap().drain(..) {
            _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Starts a thread that copies one direction of a connection until either side ends.
fn forward(mut from: TcpStream, mut to: TcpStream, direction: Arc<RelayDirection>) {
    thread::spawn(move || {
        let mut bytes = vec![0; 1 << 16];
        while let Ok(count @ 1..) = from.read(&mut bytes) {
            match direction.delay.load(SeqCst) {
                0 => {}
                millis => thread::sleep(Duration::from_millis(millis)),
            }
            if direction.cut.load(SeqCst) {
                continue;
            }
            if direction.corrupt.swap(false, SeqCst) {
                bytes[..count.min(8)]
                    .iter_mut()
                    .for_each(|byte| *byte = !*byte);
            }
            if to.write_all(&bytes[..count]).is_err() {
                break;
            }
        }
        _ = to.shutdown(Shutdown::Both);
    });
}
