//! The wire's frames: batches in, replies out.

use crate::terms::nanos;
use reedferry::{Action, Arrival, AttachmentId, Ending, Event, HostId, Listing, Nanos, RollKind, Standing};
use std::fmt;

pub const HEADER: usize = 20;
const RECORD: usize = 56;
const ENTRY: usize = 24;

/// What is wrong with the input, and where.
#[derive(Debug)]
pub struct Fault(pub String);

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

#[derive(Debug)]
pub enum Told<'a> {
    Start { seed: u64, terms: &'a [u8] },
    Stop,
    Event(Event),
    Ignored,
}

fn bytes<const N: usize>(from: &[u8], at: usize) -> [u8; N] {
    from[at..at + N].try_into().expect("a slice of N bytes")
}
fn u16_at(from: &[u8], at: usize) -> u16 {
    u16::from_be_bytes(bytes(from, at))
}
fn u32_at(from: &[u8], at: usize) -> u32 {
    u32::from_be_bytes(bytes(from, at))
}
fn u64_at(from: &[u8], at: usize) -> u64 {
    u64::from_be_bytes(bytes(from, at))
}
fn f32_at(from: &[u8], at: usize) -> f64 {
    f64::from(f32::from_be_bytes(bytes(from, at)))
}
fn f64_at(from: &[u8], at: usize) -> f64 {
    f64::from_be_bytes(bytes(from, at))
}
fn host_at(from: &[u8], at: usize) -> HostId {
    HostId(u64::from(u32_at(from, at)) << 16 | u64::from(u16_at(from, at + 4)))
}
fn gauges_at(from: &[u8], at: usize) -> Vec<f64> {
    (0..usize::from(from[at]).min(4)).map(|n| f32_at(from, at + 1 + 4 * n)).collect()
}

/// The batch's number, its clock, the bytes and the records that follow.
pub fn header(from: &[u8; HEADER]) -> Result<(u32, Nanos, usize, usize), Fault> {
    let (seq, clock) = (u32_at(from, 0), f64_at(from, 4));
    if !clock.is_finite() || clock < 0.0 {
        return Err(Fault(format!("batch {seq}: the clock reads {clock}")));
    }
    Ok((seq, nanos(clock), u32_at(from, 12) as usize, u32_at(from, 16) as usize))
}

pub struct Frame<'a> {
    seq: u32,
    records: &'a [u8],
    tail: &'a [u8],
}

impl<'a> Frame<'a> {
    pub fn new(seq: u32, count: usize, body: &'a [u8]) -> Result<Self, Fault> {
        let size = count.saturating_mul(RECORD);
        if size > body.len() {
            let have = body.len();
            return Err(Fault(format!("batch {seq}: {count} records take {size} bytes, body has {have}")));
        }
        let (records, tail) = body.split_at(size);
        Ok(Frame { seq, records, tail })
    }

    pub fn count(&self) -> usize {
        self.records.len() / RECORD
    }

    pub fn fault(&self, at: usize, what: &str) -> Fault {
        Fault(format!("batch {}, record {at}: {what}", self.seq))
    }

    /// The piece of the tail that a field points at, `unit` bytes for each of its length.
    fn tail(&self, at: usize, record: &[u8], field: usize, unit: usize) -> Result<&'a [u8], Fault> {
        let (from, length) = (u32_at(record, field) as usize, u32_at(record, field + 4) as usize);
        let end = length.checked_mul(unit).and_then(|size| size.checked_add(from));
        end.and_then(|end| self.tail.get(from..end)).ok_or_else(|| {
            let have = self.tail.len();
            self.fault(at, &format!("field at byte {field} points at {from}+{length}, tail has {have} bytes"))
        })
    }

    fn arrival(r: &[u8]) -> Arrival {
        let marks = u16_at(r, 44);
        let some = |n: u64| (n != 0).then_some(n);
        Arrival {
            id: AttachmentId(u64::from(u32_at(r, 5))),
            offering: usize::from(r[9]),
            tenant: usize::from(u16_at(r, 10)),
            key: some(u64_at(r, 12)),
            time_left: nanos(f64_at(r, 20)),
            // The hint counts work a second in milliseconds; the module counts cores.
            usual_load: (marks & 1 != 0).then(|| f64_at(r, 28) / 1e3),
            group: some(u64_at(r, 36)),
            midway: marks & 8 != 0,
        }
    }

    fn roll(&self, at: usize, r: &[u8]) -> Result<Event, Fault> {
        let kind = match r[5] {
            0 => RollKind::Failed,
            2 => RollKind::Changes,
            3 => RollKind::Cached,
            4 => RollKind::Full,
            other => return Err(self.fault(at, &format!("unknown list kind {other}"))),
        };
        let mut hosts = Vec::new();
        for entry in self.tail(at, r, 10, ENTRY)?.chunks_exact(ENTRY) {
            let started = f64_at(entry, 16);
            hosts.push(Listing {
                id: host_at(entry, 0),
                zone: u16_at(entry, 6),
                cell: u16_at(entry, 9),
                standing: match entry[11] {
                    0 => Standing::Gone,
                    1 => Standing::Ready,
                    2 => Standing::Draining,
                    other => return Err(self.fault(at, &format!("unknown host state {other}"))),
                },
                size: f32_at(entry, 12),
                started: (started > 0.0).then(|| nanos(started)),
            });
        }
        Ok(Event::Roll { kind, hosts })
    }

    /// Event number `at`, and the instance that it is for.
    pub fn event(&self, at: usize, _now: Nanos) -> Result<(u32, Told<'a>), Fault> {
        let records: &'a [u8] = self.records;
        let r = &records[at * RECORD..(at + 1) * RECORD];
        let id = AttachmentId(u64::from(u32_at(r, 5)));
        let told = match r[0] {
            0 => Told::Start { seed: u64_at(r, 5), terms: self.tail(at, r, 13, 1)? },
            1 => Told::Event(self.roll(at, r)?),
            2 => Told::Event(Event::Arrived(Self::arrival(r))),
            3 => Told::Event(Event::Begun { id, took: nanos(f64_at(r, 16)) }),
            4 => Told::Event(Event::Ended {
                id,
                hand_off: u32::from(r[25]),
                host: host_at(r, 17),
                over: r[23] != 0,
                ending: self.ending(at, r[24])?,
                gauges: gauges_at(r, 26),
            }),
            5 => Told::Event(Event::Left { id }),
            6 => Told::Event(Event::Timer { mark: u64_at(r, 5) }),
            7 => Told::Event(Event::Probed {
                host: host_at(r, 14),
                ending: self.ending(at, r[13])?,
                gauges: gauges_at(r, 20),
            }),
            8 => {
                self.tail(at, r, 7, 1)?;
                Told::Ignored
            }
            9 => Told::Stop,
            10 => Told::Event(Event::Standing(Self::arrival(r), host_at(r, 46))),
            11 => match r[16] {
                1 => Told::Event(Event::LoadNow { id, load: f32_at(r, 17) / 1e6 }),
                2 => Told::Event(Event::MessageTime { host: host_at(r, 10), time: nanos(f32_at(r, 17)) }),
                _ => Told::Ignored,
            },
            other => return Err(self.fault(at, &format!("unknown event code {other}"))),
        };
        Ok((u32_at(r, 1), told))
    }

    fn ending(&self, at: usize, code: u8) -> Result<Ending, Fault> {
        Ok(match code {
            0 => Ending::Done,
            1 => Ending::Error,
            2 => Ending::Refused,
            3 => Ending::TimedOut,
            4 => Ending::Unconnected,
            5 => Ending::Broken,
            6 => Ending::CalledOff,
            7 => Ending::NeverSent,
            other => return Err(self.fault(at, &format!("unknown outcome {other}"))),
        })
    }
}

pub struct Reply {
    seq: u32,
    count: u32,
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    pub fn new(seq: u32) -> Self {
        Reply { seq, count: 0, records: Vec::new(), tail: Vec::new() }
    }

    pub fn push(&mut self, node: u32, action: &Action) {
        let start = self.records.len();
        let r = &mut self.records;
        let mut open = |code: u8| {
            r.push(code);
            r.extend(node.to_be_bytes());
        };
        let ms = |time: Nanos| (time as f64 / 1e6).to_be_bytes();
        let name = |id: &AttachmentId| (id.0 as u32).to_be_bytes();
        let address = |host: &HostId| host.0.to_be_bytes();
        match action {
            Action::HandOff { id, host, until } => {
                open(5);
                r.extend(name(id));
                r.extend(&address(host)[2..]);
                r.extend(ms(*until));
            }
            Action::Dismiss { id, wait } => {
                open(1);
                r.extend(name(id));
                r.extend(ms(*wait));
            }
            Action::GiveUp { id } => {
                open(3);
                r.extend(name(id));
            }
            Action::Move { id } => {
                open(11);
                r.extend(name(id));
            }
            Action::CallOff { id, hand_off } => {
                open(8);
                r.extend(name(id));
                r.push(*hand_off as u8);
            }
            Action::WakeAt { time, mark } => {
                open(6);
                r.extend(ms(*time));
                r.extend(mark.to_be_bytes());
            }
            Action::AskRoll => open(2),
            Action::FollowRoll => {
                open(10);
                r.push(1);
            }
            Action::Probe { host } => {
                open(4);
                r.extend(&address(host)[2..]);
            }
            Action::Log(text) => {
                open(0);
                r.extend((self.tail.len() as u32).to_be_bytes());
                r.extend((text.len() as u32).to_be_bytes());
                self.tail.extend(text.as_bytes());
            }
        }
        self.records.resize(start + 24, 0);
        self.count += 1;
    }

    pub fn finish(self) -> Vec<u8> {
        let mut all = Vec::with_capacity(12 + self.records.len() + self.tail.len());
        all.extend(self.seq.to_be_bytes());
        all.extend(self.count.to_be_bytes());
        all.extend(((self.records.len() + self.tail.len()) as u32).to_be_bytes());
        all.extend(self.records);
        all.extend(self.tail);
        all
    }
}
