//! A TCP connection between two processes, which is proxied with the faults of the links between them.

use super::{LinkFaults, TrafficCounts};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Instant;

/// The maximum number of bytes in transit in one direction of a connection.
const MAX_IN_TRANSIT_BYTES: usize = 64 << 10;
/// The maximum number of bytes of a piece, which is what one read returns.
const MAX_PIECE_BYTES: usize = 16 << 10;

/// A connection between two processes. Its state is kept by end, and concerns the bytes that come from that end.
pub(super) struct ProxiedConnection {
    ends: [TcpStream; 2],
    /// By end: the number of its process.
    nodes: [usize; 2],
    /// By end: the pieces in transit, in the order in which they are due.
    in_transit: [VecDeque<DelayedBytes>; 2],
    /// By end: whether it has closed its sending direction.
    closed: [bool; 2],
    /// By end: whether its close was forwarded to the other end.
    close_forwarded: [bool; 2],
    broken: bool,
}

struct DelayedBytes {
    due: Instant,
    bytes: Vec<u8>,
}

impl ProxiedConnection {
    /// Creates a proxied connection between the two ends. `nodes` are the numbers of the processes at these ends.
    pub(super) fn new(ends: [TcpStream; 2], nodes: [usize; 2]) -> Self {
        for end in &ends {
            _ = end
                .set_nonblocking(true)
                .and_then(|()| end.set_nodelay(true));
        }
        ProxiedConnection {
            ends,
            nodes,
            in_transit: Default::default(),
            closed: [false; 2],
            close_forwarded: [false; 2],
            broken: false,
        }
    }

    pub(super) fn is_over(&self) -> bool {
        self.broken || self.close_forwarded == [true, true]
    }

    pub(super) fn has_bytes_in_transit(&self) -> bool {
        self.bytes_in_transit(0) + self.bytes_in_transit(1) > 0
    }

    fn bytes_in_transit(&self, end: usize) -> usize {
        let delayed = self.in_transit[end].iter();
        delayed.map(|delayed| delayed.bytes.len()).sum()
    }

    fn accepts_from(&self, end: usize) -> bool {
        !self.closed[end] && self.bytes_in_transit(end) < MAX_IN_TRANSIT_BYTES
    }

    /// Returns the ends from which the proxy would read.
    pub(super) fn readable_ends(&self) -> impl Iterator<Item = &TcpStream> {
        let readable = |end: &usize| self.accepts_from(*end);
        (0..2).filter(readable).map(|end| &self.ends[end])
    }

    /// Reads from both ends and writes to each what is due. `link_faults` holds the faults by sender and receiver.
    pub(super) fn pass(
        &mut self,
        link_faults: &[Vec<LinkFaults>],
        rng: &mut ChaCha8Rng,
        traffic: &mut TrafficCounts,
    ) {
        for end in 0..2 {
            let faults = link_faults[self.nodes[end]][self.nodes[1 - end]];
            self.read(end, faults, rng, traffic);
            self.write_due(end);
        }
    }

    /// Reads one piece from an end and applies the faults of its link. Reads nothing while the link is cut.
    fn read(
        &mut self,
        end: usize,
        link_faults: LinkFaults,
        rng: &mut ChaCha8Rng,
        traffic: &mut TrafficCounts,
    ) {
        let mut buffer = [0; MAX_PIECE_BYTES];
        if link_faults.cut || !self.accepts_from(end) {
            return;
        }
        let mut bytes = match self.ends[end].read(&mut buffer) {
            Ok(0) => return self.closed[end] = true,
            Ok(count) => buffer[..count].to_vec(),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return,
            Err(_) => return self.broken = true,
        };
        let mut happens = |share: f64| share > 0.0 && rng.random::<f64>() < share;
        if happens(link_faults.corrupt) {
            let middle = bytes.len() / 2;
            bytes[middle] ^= 0x55;
            traffic.corrupted += 1;
        } else if happens(link_faults.truncate) {
            bytes.truncate(bytes.len() / 2);
            self.broken = true;
            traffic.truncated += 1;
        }
        traffic.delayed += u64::from(!link_faults.delay.is_zero());
        let delay = link_faults.delay.mul_f64(rng.random());
        // Random delays must not reorder the bytes of a connection.
        let previous = self.in_transit[end].back();
        let not_before = previous.map_or(Instant::now(), |previous| previous.due);
        let due = not_before.max(Instant::now() + delay);
        self.in_transit[end].push_back(DelayedBytes { due, bytes });
    }

    /// Writes what came from one end and is due to the other end, and then forwards a close.
    fn write_due(&mut self, end: usize) {
        let receiver = 1 - end;
        while let Some(DelayedBytes { due, bytes }) = self.in_transit[end].front_mut() {
            if *due > Instant::now() {
                return;
            }
            match self.ends[receiver].write(bytes) {
                Ok(count) if count == bytes.len() => _ = self.in_transit[end].pop_front(),
                Ok(count) => _ = bytes.drain(..count),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(_) => return self.broken = true,
            }
        }
        if self.closed[end] && !std::mem::replace(&mut self.close_forwarded[end], true) {
            _ = self.ends[receiver].shutdown(Shutdown::Write);
        }
    }
}
