//! A TCP relay that a test can cut, delay and corrupt in either direction. It ends a connection only where one side
//! did, or where it is told to.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The faults of one direction.
#[derive(Default)]
pub struct RelayDirection {
    /// Bytes are dropped, and neither side learns it.
    pub cut: AtomicBool,
    /// By how many milliseconds each piece is delayed.
    pub delay: AtomicU64,
    /// The next piece has its first bytes inverted.
    pub garble: AtomicBool,
}

impl RelayDirection {
    /// Ends all faults.
    pub fn clear(&self) {
        self.cut.store(false, SeqCst);
        self.delay.store(0, SeqCst);
        self.garble.store(false, SeqCst);
    }
}

/// A relay from an address of its own to another one.
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    /// The direction from who connected to where the relay leads.
    pub up: Arc<RelayDirection>,
    /// The direction back.
    pub down: Arc<RelayDirection>,
    to: Arc<Mutex<SocketAddr>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Relay {
    /// Starts a relay that leads to this address.
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

    /// Where connections lead from now on.
    pub fn set_target(&self, to: SocketAddr) {
        *self.to.lock().unwrap() = to;
    }

    /// Ends what is open, at both sides.
    pub fn close_all(&self) {
        for stream in self.open.lock().unwrap().drain(..) {
            _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Copies one direction of a connection, until either side ends.
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
            if direction.garble.swap(false, SeqCst) {
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
