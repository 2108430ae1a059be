//! A crowd: idle clients that use up the descriptors of a process. They connect, every second one sends a partial
//! line, and they reconnect as soon as the process closes their connection.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// How often the clients check whether their connections were closed.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long a client waits for its connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// A crowd of idle clients at one process. They disconnect when it is dropped.
pub struct Crowd {
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Crowd {
    /// Starts `size` idle clients that connect to `address`.
    pub fn start(address: SocketAddr, size: usize) -> Crowd {
        let stopped = Arc::new(AtomicBool::new(false));
        let thread = {
            let stopped = stopped.clone();
            thread::spawn(move || {
                let mut clients: Vec<Option<TcpStream>> = (0..size).map(|_| None).collect();
                while !stopped.load(SeqCst) {
                    for (number, client) in clients.iter_mut().enumerate() {
                        if client.as_mut().is_none_or(was_closed) {
                            *client = connect(address, number % 2 == 0);
                        }
                    }
                    thread::sleep(POLL_INTERVAL);
                }
            })
        };
        Crowd {
            stopped,
            thread: Some(thread),
        }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stopped.store(true, SeqCst);
        if let Some(thread) = self.thread.take() {
            thread.join().expect("a crowd thread panicked");
        }
    }
}

fn connect(address: SocketAddr, sends_partial_line: bool) -> Option<TcpStream> {
    let mut client = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
    if sends_partial_line {
        client.write_all(b"OPEN crowd").ok()?;
    }
    client.set_nonblocking(true).ok()?;
    Some(client)
}

fn was_closed(client: &mut TcpStream) -> bool {
    let mut bytes = [0; 64];
    loop {
        match client.read(&mut bytes) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
            Err(_) => return true,
        }
    }
}
