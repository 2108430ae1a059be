//! Floods: one connection that sends as fast as its socket takes it, and requests under ever new names.

use super::{Pressure, PressureTarget};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::thread;
use std::time::Duration;

/// The number of threads that send requests under new names.
pub(super) const REQUEST_THREADS: usize = 4;
/// How many times a short text is repeated in one write.
const REPEATS: usize = 200;
const TIMEOUT: Duration = Duration::from_millis(500);
/// The last digits of the names of every second request.
const EVEN_DIGITS: [char; 8] = ['0', '2', '4', '6', '8', 'a', 'c', 'e'];
const RETRY_WAIT: Duration = Duration::from_millis(5);

/// Runs a flood until `stop` is set. Counts the bytes written, or the requests and datagrams sent.
pub(super) fn run(
    pressure: Pressure,
    target: PressureTarget,
    thread: usize,
    stop: &AtomicBool,
    played: &AtomicU64,
) {
    let mut number = 0;
    while !stop.load(SeqCst) {
        number += 1;
        let name = format!("{thread:x}a{number:x}");
        let outcome = match pressure {
            Pressure::Pings => write_on(target, "", &b"PING\r\n".repeat(REPEATS), stop, played),
            Pressure::EmptyLines => write_on(target, "", &b"\r\n".repeat(REPEATS), stop, played),
            Pressure::Garbage => {
                write_on(target, "", &b"\xff\x00\x80".repeat(REPEATS), stop, played)
            }
            Pressure::FirstLines => {
                let lines = target.open_line(&name).repeat(REPEATS);
                write_on(target, "", lines.as_bytes(), stop, played)
            }
            Pressure::SmallLines => {
                let first_line = target.open_line(&name);
                write_on(target, &first_line, &b"x\r\n".repeat(REPEATS), stop, played)
            }
            Pressure::LoadReports => {
                let first_line = target.open_line("load");
                write_on(target, &first_line, b"", stop, played)
            }
            Pressure::NewClasses => request(target, &name, &name, played),
            Pressure::PeerDatagrams => send_datagrams(target, played),
            _ => request(target, &name, target.class, played),
        };
        if outcome.is_err() {
            thread::sleep(RETRY_WAIT);
        }
    }
}

/// Opens a connection and writes `text` on it over and over until it ends. With a `first_line`, the connection is
/// opened at a host first, and what comes back is read. Without `text`, only reads.
fn write_on(
    target: PressureTarget,
    first_line: &str,
    text: &[u8],
    stop: &AtomicBool,
    played: &AtomicU64,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(target.clients)?;
    stream.set_write_timeout(Some(TIMEOUT))?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    if !first_line.is_empty() {
        stream.write_all(first_line.as_bytes())?;
        let mut answer = String::new();
        BufReader::new(&stream).read_line(&mut answer)?;
    }
    let mut input = [0; 64 << 10];
    while !stop.load(SeqCst) {
        if text.is_empty() {
            match stream.read(&mut input)? {
                0 => return Ok(()),
                count => played.fetch_add(count as u64, SeqCst),
            };
        } else {
            stream.write_all(text)?;
            played.fetch_add(text.len() as u64, SeqCst);
            discard_input(&stream, &mut input)?;
        }
    }
    Ok(())
}

/// Reads what has arrived, without waiting.
fn discard_input(mut stream: &TcpStream, input: &mut [u8]) -> std::io::Result<()> {
    stream.set_nonblocking(true)?;
    let read = stream.read(input);
    stream.set_nonblocking(false)?;
    match read {
        Ok(0) => Err(std::io::ErrorKind::ConnectionAborted.into()),
        Err(error) if error.kind() != std::io::ErrorKind::WouldBlock => Err(error),
        _ => Ok(()),
    }
}

/// Sends one request under a new name and reads its answer.
fn request(
    target: PressureTarget,
    name: &str,
    class: &str,
    played: &AtomicU64,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(target.clients)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    // Every second request is of a tenant that does not exist.
    let tenant = if name.ends_with(EVEN_DIGITS) {
        name
    } else {
        "acme"
    };
    let line = format!("OPEN {name} {name} c={class},t={tenant},d=400,g={name}\r\n");
    stream.write_all(line.as_bytes())?;
    played.fetch_add(1, SeqCst);
    BufReader::new(&stream).read_line(&mut String::new())?;
    Ok(())
}

fn send_datagrams(target: PressureTarget, played: &AtomicU64) -> std::io::Result<()> {
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    let address = target.peers.unwrap_or(target.clients);
    for number in 0..REPEATS {
        let datagram = vec![number as u8; 1 + number * 7 % 1400];
        if socket.send_to(&datagram, address).is_ok() {
            played.fetch_add(1, SeqCst);
        }
    }
    Ok(())
}
