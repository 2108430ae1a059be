//! Scripted peers: clients and hosts that send and expect lines as a test tells them. Every wait is a read of
//! [`MAX_WAIT`] at the longest. Peers that act by themselves are in [`crate::simulated`].

use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};

/// How long a test waits for anything before it fails.
pub const MAX_WAIT: Duration = Duration::from_secs(20);

/// One end of a connection that speaks lines.
pub struct Peer {
    /// The connection itself.
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Peer {
    /// Speaks lines on this connection.
    pub fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
        stream.set_nodelay(true).unwrap();
        Peer {
            reader: BufReader::new(stream.try_clone().unwrap()),
            stream,
        }
    }

    /// Connects to this address.
    pub fn connect(address: SocketAddr) -> Self {
        Peer::new(TcpStream::connect(address).unwrap())
    }

    /// Sends text as it is.
    pub fn write(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).unwrap();
    }

    /// Sends a line.
    pub fn send_line(&mut self, line: &str) {
        self.write(&format!("{line}\r\n"));
    }

    /// The next line, or how the connection ended: `end` or `reset`.
    pub fn receive_line(&mut self) -> String {
        let mut line = Vec::new();
        match self.reader.read_until(b'\n', &mut line) {
            Ok(0) => "end".into(),
            Ok(_) => String::from_utf8(line)
                .unwrap()
                .trim_end_matches("\r\n")
                .to_string(),
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => "reset".into(),
            Err(e) => panic!("waited for a line: {e}"),
        }
    }

    /// Expects the next line to be this one.
    pub fn expect_line(&mut self, wanted: &str) {
        assert_eq!(self.receive_line(), wanted);
    }

    /// Reads so many bytes.
    pub fn bytes(&mut self, count: usize) -> Vec<u8> {
        let mut all = vec![0; count];
        self.reader.read_exact(&mut all).unwrap();
        all
    }

    /// Ends this side of the connection in order.
    pub fn end_sending(&self) {
        self.stream.shutdown(Shutdown::Write).unwrap();
    }

    /// Ends the connection by a reset.
    pub fn reset(self) {
        rustix::net::sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO)).unwrap();
    }
}

/// Hosts that do what the test tells them: each hands what it accepts to the test.
pub struct Hosts {
    /// Where each host listens.
    pub addresses: Vec<SocketAddr>,
    arrivals: Receiver<(usize, Peer)>,
    sender: Sender<(usize, Peer)>,
}

impl Hosts {
    /// Starts so many hosts.
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

    /// Starts one more.
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

    /// The next connection to any of them, and to which.
    pub fn accept(&self) -> (usize, Peer) {
        self.arrivals
            .recv_timeout(MAX_WAIT)
            .expect("no connection came to a host")
    }

    /// A connection that is there, or comes very soon.
    pub fn accept_soon(&self) -> Option<(usize, Peer)> {
        self.arrivals.recv_timeout(Duration::from_millis(100)).ok()
    }

    /// All hosts as entries of the endpoint list, active.
    pub fn members(&self) -> Value {
        let all = self.addresses.iter().enumerate();
        all.map(|(n, a)| member(n, &a.to_string(), "active"))
            .collect()
    }
}

/// A host as an entry of the endpoint list, in this phase.
pub fn member(number: usize, address: &str, phase: &str) -> Value {
    json!({"id": format!("s-{number}"), "host_port": address, "locality": "a", "flavor": "m", "cell": 0,
        "phase": phase, "size": 1.0, "up_since_ms": 0})
}

/// An address at which nobody listens.
pub fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

/// A host's listener with no room: connections to it come up only once the one that is in the way, the first, was accepted.
pub fn full_listener() -> (TcpListener, TcpStream) {
    use rustix::net::{bind, listen, socket, AddressFamily, SocketType};
    let listener = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    bind(&listener, &SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    listen(&listener, 0).unwrap();
    let listener = TcpListener::from(listener);
    let first = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (listener, first)
}

/// A client's request in the text protocol.
pub const OPEN: &str = "OPEN 9b1f 7f3a c=chat,t=acme,d=2000,g=5c0f";

/// Tries until it holds, for what shows itself by nothing that could be read.
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + MAX_WAIT;
    while !holds() {
        assert!(Instant::now() < until, "{what}");
        thread::yield_now();
    }
}
