//! Scripted peers: clients and hosts that send and expect lines as a test tells them. No read waits longer than
//! [`MAX_WAIT`]. Peers that run on their own are in [`crate::simulated`].

use crate::spawn_guard::Closing;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};

/// How long a test waits for an event before it fails.
pub const MAX_WAIT: Duration = Duration::from_secs(20);

/// One end of a connection that carries lines.
pub struct Peer {
    /// The connection itself.
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
    /// Dropped after the sockets, which are closed while it is held.
    closing: Option<Closing>,
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.closing = Some(Closing::begin());
    }
}

impl Peer {
    /// Wraps a connection. Reads time out after [`MAX_WAIT`].
    pub fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
        stream.set_nodelay(true).unwrap();
        Peer {
            reader: BufReader::new(stream.try_clone().unwrap()),
            stream,
            closing: None,
        }
    }

    /// Connects to this address.
    pub fn connect(address: SocketAddr) -> Self {
        Peer::new(TcpStream::connect(address).unwrap())
    }

    /// Sends text without adding a line end.
    pub fn write(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).unwrap();
    }

    /// Sends a line.
    pub fn send_line(&mut self, line: &str) {
        self.write(&format!("{line}\r\n"));
    }

    /// Returns the next line without its line end, or how the connection ended: `end` or `reset`.
    pub fn receive_line(&mut self) -> String {
        let mut line = Vec::new();
        match self.reader.read_until(b'\n', &mut line) {
            Ok(0) => "end".into(),
            Ok(_) => String::from_utf8(line)
                .unwrap()
                .trim_end_matches("\r\n")
                .to_string(),
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => "reset".into(),
            Err(e) => panic!("no line received: {e}"),
        }
    }

    /// Asserts that the next line is `wanted`.
    pub fn expect_line(&mut self, wanted: &str) {
        assert_eq!(self.receive_line(), wanted);
    }

    /// Reads `count` bytes.
    pub fn bytes(&mut self, count: usize) -> Vec<u8> {
        let mut all = vec![0; count];
        self.reader.read_exact(&mut all).unwrap();
        all
    }

    /// Shuts this side of the connection down for writing.
    pub fn end_sending(&self) {
        self.stream.shutdown(Shutdown::Write).unwrap();
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        rustix::net::sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO)).unwrap();
    }
}

/// Hosts that a test controls: each hands the connections that it accepts to the test.
pub struct Hosts {
    /// The address at which each host listens.
    pub addresses: Vec<SocketAddr>,
    arrivals: Receiver<(usize, Peer)>,
    sender: Sender<(usize, Peer)>,
}

impl Hosts {
    /// Starts `count` hosts.
    pub fn start(count: usize) -> Self {
        let (sender, arrivals) = channel();
        let mut hosts = Hosts {
            addresses: Vec::new(),
            arrivals,
            sender,
        };
        (0..count).for_each(|_| hosts.add());
        hosts
    }

    /// Starts one more host.
    pub fn add(&mut self) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (number, sender) = (self.addresses.len(), self.sender.clone());
        self.addresses.push(listener.local_addr().unwrap());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if sender.send((number, Peer::new(stream))).is_err() {
                    return;
                }
            }
        });
    }

    /// Waits for the next connection to any host. Returns the number of the host and the connection.
    pub fn accept(&self) -> (usize, Peer) {
        self.arrivals
            .recv_timeout(MAX_WAIT)
            .expect("no connection reached a host in time")
    }

    /// Returns the next connection if one comes within 100 ms, as [`Hosts::accept`] does, or `None`.
    pub fn accept_soon(&self) -> Option<(usize, Peer)> {
        self.arrivals.recv_timeout(Duration::from_millis(100)).ok()
    }

    /// Returns all hosts as entries of the endpoint list, in phase `active`.
    pub fn members(&self) -> Value {
        let all = self.addresses.iter().enumerate();
        all.map(|(n, a)| member(n, &a.to_string(), "active"))
            .collect()
    }
}

/// Returns a host as an entry of the endpoint list, in this phase.
pub fn member(number: usize, address: &str, phase: &str) -> Value {
    json!({"id": format!("s-{number}"), "host_port": address, "locality": "a", "flavor": "m", "cell": 0,
        "phase": phase, "size": 1.0, "up_since_ms": 0})
}

/// Returns an address at which nothing listens.
pub fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

/// Returns a listener whose backlog is full, and the connection that fills it. Further connections are only
/// established once that one has been accepted.
pub fn full_listener() -> (TcpListener, TcpStream) {
    use rustix::net::{bind, listen, socket, AddressFamily, SocketType};
    let listener = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    bind(&listener, &SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    listen(&listener, 0).unwrap();
    let listener = TcpListener::from(listener);
    let first = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (listener, first)
}

/// The request line of a client in the text protocol.
pub const OPEN: &str = "OPEN 9b1f 7f3a c=chat,t=acme,d=2000,g=5c0f";

/// Polls a condition until it holds, and panics with `what` after [`MAX_WAIT`]. For conditions that no read can wait
/// for.
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + MAX_WAIT;
    while !holds() {
        assert!(Instant::now() < until, "{what}");
        thread::yield_now();
    }
}
