//! A TCP relay that a test can cut, delay and corrupt in either direction. It ends a connection only where one side
//! did, or where it is told to.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What happens to the bytes of one way.
#[derive(Default)]
pub struct Lane {
    /// They vanish, and neither side is told.
    pub cut: AtomicBool,
    /// Each piece comes so many milliseconds late.
    pub delay: AtomicU64,
    /// The next piece has its first bytes turned over.
    pub garble: AtomicBool,
}

impl Lane {
    /// Takes all faults away.
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
    /// From who connected to where it leads, and back.
    pub up: Arc<Lane>,
    /// The way back.
    pub down: Arc<Lane>,
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
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(*to.lock().unwrap()) else {
                    continue;
                };
                let both = [&near, &far].map(|s| {
                    _ = s.set_nodelay(true);
                    s.try_clone().unwrap()
                });
                open.lock().unwrap().extend(both);
                pass(
                    near.try_clone().unwrap(),
                    far.try_clone().unwrap(),
                    up.clone(),
                );
                pass(far, near, down.clone());
            }
        });
        relay
    }

    /// Where connections lead from now on.
    pub fn lead_to(&self, to: SocketAddr) {
        *self.to.lock().unwrap() = to;
    }

    /// Ends what is open, at both sides.
    pub fn end_all(&self) {
        for stream in self.open.lock().unwrap().drain(..) {
            _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, lane: Arc<Lane>) {
    thread::spawn(move || {
        let mut bytes = vec![0; 1 << 16];
        while let Ok(count @ 1..) = from.read(&mut bytes) {
            match lane.delay.load(SeqCst) {
                0 => {}
                late => thread::sleep(Duration::from_millis(late)),
            }
            if lane.cut.load(SeqCst) {
                continue;
            }
            if lane.garble.swap(false, SeqCst) {
                bytes[..count.min(8)].iter_mut().for_each(|b| *b = !*b);
            }
            if to.write_all(&bytes[..count]).is_err() {
                break;
            }
        }
        _ = to.shutdown(Shutdown::Both);
    });
}
