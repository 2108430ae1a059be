//! A TCP connection between two processes, passed on under the faults of its links.

use super::{LinkFaults, TrafficCounts};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Instant;

/// The most bytes of one direction of a connection that are in transit.
const MAX_IN_TRANSIT_BYTES: usize = 64 << 10;
/// The most bytes that are read at a time.
const MAX_PIECE_BYTES: usize = 16 << 10;

/// A connection between two processes; what is kept by end concerns the bytes that come from it.
pub(super) struct ProxiedConnection {
    ends: [TcpStream; 2],
    /// By end: the number of its process.
    nodes: [usize; 2],
    /// By end: what is in transit, and when it is due.
    in_transit: [VecDeque<DelayedBytes>; 2],
    /// By end: whether it has closed its direction.
    closed: [bool; 2],
    /// By end: whether the other one was told that it has.
    close_forwarded: [bool; 2],
    broken: bool,
}

struct DelayedBytes {
    due: Instant,
    bytes: Vec<u8>,
}

impl ProxiedConnection {
    /// Passes on what comes between a client of one process and the process of another.
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

    /// The ends that are to be read.
    pub(super) fn readable_ends(&self) -> impl Iterator<Item = &TcpStream> {
        let readable = |end: &usize| self.accepts_from(*end);
        (0..2).filter(readable).map(|end| &self.ends[end])
    }

    /// Reads both ends and writes what is due to the other one, under the faults of the links by sender and receiver.
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

    /// Reads what an end sent, and applies the faults of its link.
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
        // Never before what was sent earlier.
        let previous = self.in_transit[end].back();
        let not_before = previous.map_or(Instant::now(), |previous| previous.due);
        let due = not_before.max(Instant::now() + delay);
        self.in_transit[end].push_back(DelayedBytes { due, bytes });
    }

    /// Writes what came from an end, and is due, to the other one.
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
