//! The wire's frames: batches in, replies out.

use reedferry::{
    Action, AttemptOutcome, Endpoint, EndpointUpdate, Event, HostId, HostState, IncomingRequest,
    Nanos, RequestId,
};
use reedferry_settings::nanos;
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
    Start { seed: u64, node_settings: &'a [u8] },
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
/// A figure that is no number, or no finite one, counts as nothing.
fn finite(figure: f64) -> f64 {
    if figure.is_finite() {
        figure
    } else {
        0.0
    }
}
fn f32_at(from: &[u8], at: usize) -> f64 {
    finite(f64::from(f32::from_be_bytes(bytes(from, at))))
}
fn f64_at(from: &[u8], at: usize) -> f64 {
    f64::from_be_bytes(bytes(from, at))
}
fn host_at(from: &[u8], at: usize) -> HostId {
    HostId(u64::from(u32_at(from, at)) << 16 | u64::from(u16_at(from, at + 4)))
}
fn gauges_at(from: &[u8], at: usize) -> Vec<f64> {
    (0..usize::from(from[at]).min(4))
        .map(|n| f32_at(from, at + 1 + 4 * n))
        .collect()
}

/// The batch's number, its clock, the bytes and the records that follow.
pub fn header(from: &[u8; HEADER]) -> Result<(u32, Nanos, usize, usize), Fault> {
    let (seq, clock) = (u32_at(from, 0), f64_at(from, 4));
    if !clock.is_finite() || clock < 0.0 {
        return Err(Fault(format!("batch {seq}: the clock reads {clock}")));
    }
    Ok((
        seq,
        nanos(clock),
        u32_at(from, 12) as usize,
        u32_at(from, 16) as usize,
    ))
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
            return Err(Fault(format!(
                "batch {seq}: {count} records take {size} bytes, body has {have}"
            )));
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
        let (from, length) = (
            u32_at(record, field) as usize,
            u32_at(record, field + 4) as usize,
        );
        let end = length
            .checked_mul(unit)
            .and_then(|size| size.checked_add(from));
        end.and_then(|end| self.tail.get(from..end)).ok_or_else(|| {
            let have = self.tail.len();
            self.fault(
                at,
                &format!("field at byte {field} points at {from}+{length}, tail has {have} bytes"),
            )
        })
    }

    fn arrival(r: &[u8]) -> IncomingRequest {
        let marks = u16_at(r, 44);
        let some = |n: u64| (n != 0).then_some(n);
        IncomingRequest {
            id: RequestId(u64::from(u32_at(r, 5))),
            class: usize::from(r[9]),
            key: some(u64_at(r, 12)),
            time_left: nanos(f64_at(r, 20)),
            // The hint counts work a second in milliseconds; the module counts cores.
            usual_load: (marks & 1 != 0).then(|| finite(f64_at(r, 28)).max(0.0) / 1e3),
            group: some(u64_at(r, 36)),
            mid_stream: marks & 8 != 0,
        }
    }

    fn roll(&self, at: usize, r: &[u8]) -> Result<Event, Fault> {
        let kind = match r[5] {
            0 => EndpointUpdate::Failed,
            2 => EndpointUpdate::Delta,
            3 => EndpointUpdate::Cached,
            4 => EndpointUpdate::Full,
            other => return Err(self.fault(at, &format!("unknown list kind {other}"))),
        };
        let mut hosts = Vec::new();
        for entry in self.tail(at, r, 10, ENTRY)?.chunks_exact(ENTRY) {
            let started = f64_at(entry, 16);
            hosts.push(Endpoint {
                id: host_at(entry, 0),
                zone: u16_at(entry, 6),
                cell: u16_at(entry, 9).into(),
                state: match entry[11] {
                    0 => HostState::Gone,
                    1 => HostState::Ready,
                    2 => HostState::Draining,
                    other => return Err(self.fault(at, &format!("unknown host state {other}"))),
                },
                size: f32_at(entry, 12),
                started: (started > 0.0).then(|| nanos(started)),
            });
        }
        Ok(Event::EndpointsUpdated {
            kind,
            endpoints: hosts,
        })
    }

    /// Event number `at`, and the instance that it is for.
    pub fn event(&self, at: usize, _now: Nanos) -> Result<(u32, Told<'a>), Fault> {
        let records: &'a [u8] = self.records;
        let r = &records[at * RECORD..(at + 1) * RECORD];
        let id = RequestId(u64::from(u32_at(r, 5)));
        let told = match r[0] {
            0 => Told::Start {
                seed: u64_at(r, 5),
                node_settings: self.tail(at, r, 13, 1)?,
            },
            1 => Told::Event(self.roll(at, r)?),
            2 => Told::Event(Event::RequestArrived(Self::arrival(r))),
            3 => Told::Event(Event::ConnectionEstablished {
                id,
                took: nanos(f64_at(r, 16)),
            }),
            4 => Told::Event(Event::AttemptEnded {
                id,
                attempt: u32::from(r[25]),
                host: host_at(r, 17),
                request_over: r[23] != 0,
                ending: self.ending(at, r[24])?,
                load_metrics: gauges_at(r, 26),
            }),
            5 => Told::Event(Event::ClientLeft { id }),
            6 => Told::Event(Event::TimerFired {
                timer: u64_at(r, 5),
            }),
            7 => Told::Event(Event::ProbeEnded {
                host: host_at(r, 14),
                ending: self.ending(at, r[13])?,
                load_metrics: gauges_at(r, 20),
            }),
            8 => Told::Event(Event::GossipReceived {
                message: self.tail(at, r, 7, 1)?.to_vec(),
            }),
            9 => Told::Stop,
            10 => Told::Event(Event::ConnectionFound(Self::arrival(r), host_at(r, 46))),
            11 => match r[16] {
                1 => Told::Event(Event::LoadMeasured {
                    id,
                    load: f32_at(r, 17) / 1e6,
                }),
                2 => Told::Event(Event::MessageLatency {
                    host: host_at(r, 10),
                    latency: nanos(f32_at(r, 17)),
                }),
                _ => Told::Ignored,
            },
            other => return Err(self.fault(at, &format!("unknown event code {other}"))),
        };
        Ok((u32_at(r, 1), told))
    }

    fn ending(&self, at: usize, code: u8) -> Result<AttemptOutcome, Fault> {
        Ok(match code {
            0 => AttemptOutcome::Completed,
            1 => AttemptOutcome::Error,
            2 => AttemptOutcome::Rejected,
            3 => AttemptOutcome::TimedOut,
            4 => AttemptOutcome::ConnectFailed,
            5 => AttemptOutcome::ConnectionLost,
            6 => AttemptOutcome::Cancelled,
            7 => AttemptOutcome::NeverSent,
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
        Reply {
            seq,
            count: 0,
            records: Vec::new(),
            tail: Vec::new(),
        }
    }

    pub fn push(&mut self, node: u32, action: &Action) {
        let start = self.records.len();
        let r = &mut self.records;
        let mut open = |code: u8| {
            r.push(code);
            r.extend(node.to_be_bytes());
        };
        let ms = |time: Nanos| (time as f64 / 1e6).to_be_bytes();
        let name = |id: &RequestId| (id.0 as u32).to_be_bytes();
        let address = |host: &HostId| host.0.to_be_bytes();
        match action {
            Action::StartAttempt {
                id, host, until, ..
            } => {
                open(5);
                r.extend(name(id));
                r.extend(&address(host)[2..]);
                r.extend(ms(*until));
            }
            Action::Reject {
                id,
                retry_after: wait,
            } => {
                open(1);
                r.extend(name(id));
                r.extend(ms(*wait));
            }
            Action::Fail { id } => {
                open(3);
                r.extend(name(id));
            }
            Action::Migrate { id } => {
                open(11);
                r.extend(name(id));
            }
            Action::CancelAttempt { id, attempt } => {
                open(8);
                r.extend(name(id));
                r.push(*attempt as u8);
            }
            Action::SetTimer { time, timer: mark } => {
                open(6);
                r.extend(ms(*time));
                r.extend(mark.to_be_bytes());
            }
            Action::PollEndpoints => open(2),
            Action::WatchEndpoints => {
                open(10);
                r.push(1);
            }
            Action::Probe { host } => {
                open(4);
                r.extend(&address(host)[2..]);
            }
            Action::Gossip { message } => {
                open(9);
                r.extend([0xff; 4]);
                r.extend((self.tail.len() as u32).to_be_bytes());
                r.extend((message.len() as u32).to_be_bytes());
                self.tail.extend(message);
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

#[cfg(test)]
mod tests {
    use super::*;

    fn hex(text: &str) -> Vec<u8> {
        let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
        digits
            .chunks(2)
            .map(|d| u8::from_str_radix(std::str::from_utf8(d).unwrap(), 16).unwrap())
            .collect()
    }

    /// A record or frame part, filled up with zeros.
    fn padded(text: &str, size: usize) -> Vec<u8> {
        let mut all = hex(text);
        all.resize(size, 0);
        all
    }

    fn told(body: &[u8], at: usize) -> (u32, Event) {
        match Frame::new(1, body.len() / RECORD, body)
            .unwrap()
            .event(at, 0)
            .unwrap()
        {
            (node, Told::Event(event)) => (node, event),
            other => panic!("{other:?}"),
        }
    }

    #[test]
    fn decodes_the_worked_batch() {
        let head = hex("0000000c 40c06e2000000000 000000a8 00000003")
            .try_into()
            .unwrap();
        assert_eq!(header(&head).unwrap(), (12, 8_412_250_000, 168, 3));
        let mut body = padded(
            "02 00000003 5d3a91c4 00 0000 91f03b7c55d20a64 406e000000000000 4028000000000000
                2b8e6401d9f37c10 0001",
            RECORD,
        );
        body.extend(padded("06 00000003 000000000000004d", RECORD));
        body.extend(padded("05 00000005 0e6f2b19", RECORD));
        let (node, Event::RequestArrived(arrival)) = told(&body, 0) else {
            panic!()
        };
        assert_eq!(
            (node, arrival.id, arrival.time_left),
            (3, RequestId(0x5d3a91c4), 240_000_000)
        );
        assert_eq!(
            (arrival.usual_load, arrival.mid_stream),
            (Some(0.012), false)
        );
        assert!(matches!(
            told(&body, 1),
            (3, Event::TimerFired { timer: 77 })
        ));
        assert!(matches!(
            told(&body, 2),
            (
                5,
                Event::ClientLeft {
                    id: RequestId(0x0e6f2b19)
                }
            )
        ));
    }

    #[test]
    fn decodes_the_worked_records() {
        let mut body = padded("01 00000003 03 00000029 00000000 00000002", RECORD);
        body.extend(hex(
            "0a124a07 1f43 0000 00 0000 01 3f800000 0000000000000000",
        ));
        body.extend(hex(
            "0a9011f2 1f6c 0001 00 0000 01 3fc00000 40b7d40000000000",
        ));
        let frame = Frame::new(1, 1, &body).unwrap();
        let (
            3,
            Told::Event(Event::EndpointsUpdated {
                kind,
                endpoints: hosts,
            }),
        ) = frame.event(0, 0).unwrap()
        else {
            panic!()
        };
        assert_eq!(
            (kind, hosts.len(), hosts[1].zone, hosts[1].size),
            (EndpointUpdate::Cached, 2, 1, 1.5)
        );
        assert_eq!(
            (hosts[0].started, hosts[1].started),
            (None, Some(6_100_000_000))
        );

        let ended = padded(
            "04 00000003 5d3a91c4 4032800000000000 0a124a07 1f43 01 00 00 00",
            RECORD,
        );
        let (
            _,
            Event::AttemptEnded {
                host,
                request_over: over,
                ending,
                attempt,
                ..
            },
        ) = told(&ended, 0)
        else {
            panic!()
        };
        assert_eq!(
            (host, over, ending, attempt),
            (HostId(0x0a12_4a07_1f43), true, AttemptOutcome::Completed, 0)
        );
        let begun = padded(
            "03 00000003 5d3a91c4 00 0a124a07 1f43 4022800000000000",
            RECORD,
        );
        assert!(matches!(
            told(&begun, 0).1,
            Event::ConnectionEstablished {
                took: 9_250_000,
                ..
            }
        ));
        let note = padded("0b 00000003 5d3a91c4 00 0a124a07 1f43 01 3f000000", RECORD);
        assert!(matches!(told(&note, 0).1, Event::LoadMeasured { load, .. } if load == 0.5e-6));
        let probed = padded("07 00000003 3ff6666666666666 00 0a9011f2 1f6c 00", RECORD);
        assert!(matches!(
            told(&probed, 0).1,
            Event::ProbeEnded {
                ending: AttemptOutcome::Completed,
                ..
            }
        ));
        let open = "0a 00000003 0e6f2b19 00 0000 91f03b7c55d20a64 406e000000000000 4028000000000000
            2b8e6401d9f37c10 0001 0a9011f2 1f6c";
        let (_, Event::ConnectionFound(_, on)) = told(&padded(open, RECORD), 0) else {
            panic!()
        };
        assert_eq!(on, HostId(0x0a90_11f2_1f6c));
    }

    #[test]
    fn encodes_the_worked_reply() {
        let mut reply = Reply::new(12);
        let (id, host) = (RequestId(0x5d3a91c4), HostId(0x0a12_4a07_1f43));
        reply.push(
            3,
            &Action::StartAttempt {
                id,
                host,
                until: 8_492_250_000,
                by: u64::MAX,
            },
        );
        reply.push(
            3,
            &Action::SetTimer {
                time: 8_912_250_000,
                timer: 77,
            },
        );
        reply.push(5, &Action::Log("two servers known".into()));
        let mut wanted = hex("0000000c 00000003 00000059");
        wanted.extend(padded(
            "05 00000003 5d3a91c4 0a124a07 1f43 40c0962000000000",
            24,
        ));
        wanted.extend(padded("06 00000003 40c1682000000000 000000000000004d", 24));
        wanted.extend(padded("00 00000005 00000000 00000011", 24));
        wanted.extend(hex("74776f2073657276657273206b6e6f776e"));
        assert_eq!(reply.finish(), wanted);
    }

    #[test]
    fn messages_between_nodes_come_and_go_as_worked() {
        let mut body = padded("08 00000003 0002 00000000 00000004", RECORD);
        body.extend(hex("68692037"));
        let frame = Frame::new(1, 1, &body).unwrap();
        let (3, Told::Event(Event::GossipReceived { message })) = frame.event(0, 0).unwrap() else {
            panic!()
        };
        assert_eq!(message, b"hi 7");
        let mut reply = Reply::new(1);
        reply.push(3, &Action::Gossip { message });
        let mut wanted = hex("00000001 00000001 0000001c");
        wanted.extend(padded("09 00000003 ffffffff 00000000 00000004", 24));
        wanted.extend(hex("68692037"));
        assert_eq!(reply.finish(), wanted);
    }

    #[test]
    fn encodes_the_other_worked_actions() {
        let (id, host) = (RequestId(0x0e6f2b19), HostId(0x0a90_11f2_1f6c));
        for (action, wanted) in [
            (
                Action::Reject {
                    id,
                    retry_after: 250_000_000,
                },
                "01 00000003 0e6f2b19 406f400000000000",
            ),
            (Action::Fail { id }, "03 00000003 0e6f2b19"),
            (Action::Migrate { id }, "0b 00000003 0e6f2b19"),
            (
                Action::CancelAttempt { id, attempt: 1 },
                "08 00000003 0e6f2b19 01",
            ),
            (Action::PollEndpoints, "02 00000003"),
            (Action::WatchEndpoints, "0a 00000003 01"),
            (Action::Probe { host }, "04 00000003 0a9011f2 1f6c"),
        ] {
            let mut reply = Reply::new(1);
            reply.push(3, &action);
            assert_eq!(reply.finish()[12..], padded(wanted, 24), "{action:?}");
        }
    }

    #[test]
    fn says_what_is_malformed_and_where() {
        assert!(header(
            &hex("00000001 7ff8000000000000 00000000 00000000")
                .try_into()
                .unwrap()
        )
        .is_err());
        assert!(Frame::new(1, 2, &[0; RECORD]).is_err());
        for (record, what) in [
            ("63 00000003", "unknown event code 99"),
            ("01 00000003 09", "unknown list kind 9"),
            ("01 00000003 04 00000001 00000000 00000003", "points at 0+3"),
            (
                "01 00000003 04 00000001 ffffffff ffffffff",
                "tail has 0 bytes",
            ),
            (
                "04 00000003 00000001 0000000000000000 00000000 0000 00 09",
                "unknown outcome 9",
            ),
        ] {
            let body = padded(record, RECORD);
            let fault = Frame::new(7, 1, &body)
                .unwrap()
                .event(0, 0)
                .unwrap_err()
                .to_string();
            assert!(
                fault.starts_with("batch 7, record 0: ") && fault.contains(what),
                "{fault}"
            );
        }
        assert!(reedferry_settings::balancer_settings(b"{")
            .unwrap_err()
            .starts_with("settings: "));
        let bare = br#"{"balancers": 1, "index": 0, "offerings": [], "policy_limits": {"most_hand_offs": 1},
            "contract": {"cold": 1, "cold_from": 1, "tip_after": 1, "tip_multiple": 1}}"#;
        assert!(reedferry_settings::balancer_settings(bare)
            .unwrap_err()
            .contains("no offering"));
        assert!(reedferry_settings::balancer_settings(b"{\"balancers\": 1}")
            .unwrap_err()
            .contains("missing field"));
    }
}
