//! Hosts that accept each request at once. What they do on the open connection depends on the id of the request.

use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

/// The bytes that one write of a host carries that sends at full speed.
const BURST_REPEATS: usize = 200;

/// Hosts that serve on threads of their own.
pub struct PressureHosts {
    addresses: Vec<SocketAddr>,
}

impl PressureHosts {
    /// Starts `count` hosts.
    pub fn start(count: usize) -> Self {
        let addresses = (0..count).map(|_| {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let address = listener.local_addr().unwrap();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    thread::spawn(move || serve(stream));
                }
            });
            address
        });
        PressureHosts {
            addresses: addresses.collect(),
        }
    }

    /// Returns the hosts as entries of the endpoint list.
    pub fn members(&self) -> Vec<Value> {
        let members = self.addresses.iter().enumerate();
        members
            .map(|(number, address)| crate::member(number, &address.to_string(), "active"))
            .collect()
    }

    /// Returns the endpoint list at this revision.
    pub fn list(&self, revision: u64) -> Value {
        json!({"revision": revision, "complete": true, "members": self.members()})
    }
}

/// Serves one connection: sends `LOAD` at full speed for the id `load`, long lines for the id `pour`, and reads what
/// comes otherwise.
fn serve(mut stream: TcpStream) {
    let Ok(reader) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(reader);
    let mut line = String::new();
    if !matches!(reader.read_line(&mut line), Ok(1..)) || stream.write_all(b"UP 1\r\n").is_err() {
        return;
    }
    let burst = match line.split(' ').nth(1) {
        Some("load") => "LOAD 0.5\r\n".repeat(BURST_REPEATS),
        Some("pour") => format!("{}\r\n", "y".repeat(2000)).repeat(BURST_REPEATS),
        _ => String::new(),
    };
    while !burst.is_empty() && stream.write_all(burst.as_bytes()).is_ok() {}
    _ = std::io::copy(&mut reader, &mut std::io::sink());
}
