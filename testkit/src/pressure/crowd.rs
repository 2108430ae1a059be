//! Crowds: many connections of one thread, each of which writes its text in small pieces, as fast as it is told.

use super::{line_of_many_fields, Pressure, PressureTarget};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::thread;
use std::time::{Duration, Instant};

/// The number of bytes that a client with an open connection sends without a line end.
const ENDLESS_LINE_BYTES: usize = 1 << 20;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
const IDLE_WAIT: Duration = Duration::from_millis(1);

/// What the members of a crowd do.
struct Behavior {
    address: SocketAddr,
    size: usize,
    text: Vec<u8>,
    piece_bytes: usize,
    interval: Duration,
    /// The number of bytes after which a member writes nothing more and stays.
    stops_after: usize,
    reads: bool,
}

/// One member of a crowd.
struct Member {
    stream: TcpStream,
    written: usize,
    next_write: Instant,
}

impl Behavior {
    /// Clients that write a first line of many fields slowly.
    fn slow_heads(target: PressureTarget) -> Self {
        let line = line_of_many_fields().into_bytes();
        Behavior {
            address: target.clients,
            size: 800,
            piece_bytes: 30,
            interval: Duration::from_millis(50),
            stops_after: line.len(),
            text: line,
            reads: true,
        }
    }

    /// Clients that write such a line in pieces of this size, a hundred a second.
    fn small_pieces(target: PressureTarget, piece_bytes: usize) -> Self {
        Behavior {
            size: 200,
            piece_bytes,
            interval: Duration::from_millis(10),
            ..Behavior::slow_heads(target)
        }
    }

    /// Clients that write this text at once and stay.
    fn at_once(target: PressureTarget, size: usize, text: Vec<u8>) -> Self {
        Behavior {
            size,
            piece_bytes: text.len(),
            stops_after: text.len(),
            text,
            ..Behavior::slow_heads(target)
        }
    }

    /// Clients with open connections that send a long line without an end.
    fn endless_lines(target: PressureTarget) -> Self {
        let mut text = target.open_line("endless").into_bytes();
        text.resize(text.len() + ENDLESS_LINE_BYTES, b'x');
        Behavior {
            piece_bytes: 16 << 10,
            interval: Duration::from_millis(2),
            ..Behavior::at_once(target, 100, text)
        }
    }

    /// Callers of the operators' endpoint that write this text at once and stay.
    fn api_calls(target: PressureTarget, text: Vec<u8>) -> Self {
        Behavior {
            address: target.operators.unwrap_or(target.clients),
            ..Behavior::at_once(target, 300, text)
        }
    }

    fn of(pressure: Pressure, target: PressureTarget) -> Self {
        let api_head = b"POST /drain HTTP/1.1\r\nHost: it\r\n";
        match pressure {
            Pressure::FieldAPacket => Behavior::small_pieces(target, ",1ff=1".len()),
            Pressure::ByteAPacket => Behavior::small_pieces(target, 1),
            Pressure::HalfHeads => {
                let mut half = line_of_many_fields().into_bytes();
                half.truncate(half.len() / 2);
                Behavior::at_once(target, 800, half)
            }
            Pressure::EndlessLines => Behavior::endless_lines(target),
            Pressure::UnreadAnswers => Behavior {
                reads: false,
                ..Behavior::at_once(target, 100, target.open_line("pour").into_bytes())
            },
            Pressure::HalfApiHeads => Behavior::api_calls(target, [&api_head[..], b"X-"].concat()),
            Pressure::SlowApiBodies => {
                let text = [
                    api_head,
                    &b"Content-Length: 9999\r\n\r\n"[..],
                    &[b'x'; 5000],
                ];
                Behavior {
                    piece_bytes: 100,
                    ..Behavior::api_calls(target, text.concat())
                }
            }
            _ => Behavior::slow_heads(target),
        }
    }
}

/// Runs a crowd until `stop` is set. Counts the bytes written.
pub(super) fn run(
    pressure: Pressure,
    target: PressureTarget,
    stop: &AtomicBool,
    played: &AtomicU64,
) {
    let behavior = Behavior::of(pressure, target);
    let mut members: Vec<Option<Member>> = (0..behavior.size).map(|_| None).collect();
    while !stop.load(SeqCst) {
        for member in &mut members {
            if member.is_none() {
                *member = connect(behavior.address);
            }
            let goes_on = member
                .as_mut()
                .is_some_and(|member| member.advance(&behavior, played));
            if !goes_on {
                *member = None;
            }
        }
        thread::sleep(IDLE_WAIT);
    }
}

fn connect(address: SocketAddr) -> Option<Member> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_nonblocking(true).ok()?;
    Some(Member {
        stream,
        written: 0,
        next_write: Instant::now(),
    })
}

impl Member {
    /// Writes the next piece if it is due. Returns whether the connection goes on.
    fn advance(&mut self, behavior: &Behavior, played: &AtomicU64) -> bool {
        let now = Instant::now();
        if now < self.next_write {
            return true;
        }
        self.next_write = now + behavior.interval;
        if behavior.reads {
            match self.stream.read(&mut [0; 4096]) {
                Ok(0) => return false,
                Err(error) if error.kind() != ErrorKind::WouldBlock => return false,
                _ => {}
            }
        }
        let end = behavior
            .stops_after
            .min(self.written + behavior.piece_bytes);
        match self.stream.write(&behavior.text[self.written..end]) {
            Ok(count) => {
                self.written += count;
                played.fetch_add(count as u64, SeqCst);
                true
            }
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        }
    }
}
