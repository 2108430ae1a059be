//! A forwarder as a planner sees one, without clients or hosts: it speaks the frames of the link at full speed,
//! for measurements of a planner alone. It must never be taken for a forwarder: it keeps no rule.

use reedferry_control_plane::codec::{self, FrameReader, FrameWriter, SequenceCheck};
use reedferry_control_plane::messages::{
    ForwarderMessage, Hello, PlacementRequest, PlannerMessage, PriorAttempts, Welcome, WireOutcome,
};
use reedferry_control_plane::LinkError;
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub struct Speaker {
    stream: TcpStream,
    reader: FrameReader,
    writer: FrameWriter,
    tally: SequenceCheck,
    session: u64,
    beat: u64,
    next: u64,
}

/// What an attachment asks for in these measurements.
pub fn asked(id: u64) -> PlacementRequest {
    PlacementRequest {
        class: 0,
        key: Some(id % 4096 + 1),
        group: None,
        usual_load: None,
        time_left: 2_000_000_000,
    }
}

impl Speaker {
    /// # Errors
    /// Whatever ends the connection, or that the planner will not have it.
    pub fn follow(
        address: SocketAddr,
        planner: &str,
        name: &str,
        fingerprint: u64,
    ) -> Result<Self, String> {
        let stream = TcpStream::connect(address).map_err(|e| e.to_string())?;
        stream.set_nodelay(true).map_err(|e| e.to_string())?;
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .map_err(|e| e.to_string())?;
        let (reader, mut writer, tally) = (FrameReader::default(), FrameWriter::default(), SequenceCheck::default());
        writer.append_greeting(&Hello {
            name: name.into(),
            planner: planner.into(),
            zone: 0,
            epoch: 1,
            fingerprint,
        });
        let mut speaker = Speaker {
            stream,
            reader,
            writer,
            tally,
            session: 0,
            beat: 0,
            next: 0,
        };
        speaker.send()?;
        while speaker.session == 0 {
            speaker.hear(&mut |_| {})?;
        }
        speaker.put(&ForwarderMessage::Follow { open_connections: 0 });
        speaker.put(&ForwarderMessage::StateSyncComplete);
        speaker.send()?;
        Ok(speaker)
    }

    fn put(&mut self, note: &ForwarderMessage) {
        self.writer.append(self.session, self.beat, note);
    }

    fn send(&mut self) -> Result<(), String> {
        self.writer.finish_frame();
        let count = self.writer.sendable().len();
        self.stream
            .write_all(self.writer.sendable())
            .map_err(|e| e.to_string())?;
        self.writer.mark_sent(count);
        Ok(())
    }

    fn hear(&mut self, each: &mut impl FnMut(PlannerMessage)) -> Result<(), String> {
        let mut bytes = [0; 1 << 16];
        let count = self.stream.read(&mut bytes).map_err(|e| e.to_string())?;
        if count == 0 {
            return Err("the planner ended the connection".into());
        }
        let Speaker { session, tally, .. } = self;
        let heard = self.reader.feed(&bytes[..count], |body| {
            if *session == 0 {
                match codec::decode_greeting(body)? {
                    Welcome::Session(number) => *session = number,
                    Welcome::Refused(why) => return Err(LinkError::Refused(why)),
                }
                return Ok(());
            }
            let (head, mut notes) = codec::decode_frame(body)?;
            tally.accept(&head, *session)?;
            while let Some(note) = notes.next_message()? {
                each(note);
            }
            Ok(())
        });
        heard.map_err(|e| e.to_string())
    }

    /// Tells of so many open connections, spread over the hosts, and waits until the planner has read them.
    ///
    /// # Errors
    /// Whatever ends the connection.
    pub fn stand(&mut self, count: u64, hosts: &[u64]) -> Result<(), String> {
        for n in 0..count {
            self.next += 1;
            let (id, host) = (self.next, hosts[(n % hosts.len() as u64) as usize]);
            self.put(&ForwarderMessage::OpenConnection {
                id,
                request: asked(id),
                host,
            });
            if n % 1024 == 0 {
                self.send()?;
            }
        }
        // What is asked behind them is decided behind them.
        self.next += 1;
        let id = self.next;
        self.put(&ForwarderMessage::RequestPlacement {
            id,
            decision_sequence: 0,
            request: asked(id),
            prior_attempts: PriorAttempts::default(),
        });
        self.send()?;
        let mut decided = false;
        while !decided {
            self.hear(&mut |note| {
                decided |= matches!(
                    note,
                    PlannerMessage::StartAttempt { .. } | PlannerMessage::Reject { .. }
                );
            })?;
        }
        Ok(())
    }

    /// Has so many attachments decided, `window` of them at once, each open until so many have come behind it.
    /// Tells how many were handed to a host.
    ///
    /// # Errors
    /// Whatever ends the connection.
    pub fn decide(&mut self, count: u64, window: u64, open: usize) -> Result<u64, String> {
        let first = self.next;
        let (mut answered, mut handed, mut standing) = (0, 0, VecDeque::new());
        while answered < count {
            while self.next - first < count && self.next - first - answered < window {
                self.next += 1;
                let id = self.next;
                self.put(&ForwarderMessage::RequestPlacement {
                    id,
                    decision_sequence: 0,
                    request: asked(id),
                    prior_attempts: PriorAttempts::default(),
                });
            }
            self.send()?;
            let mut news = Vec::new();
            self.hear(&mut |note| news.push(note))?;
            for note in news {
                match note {
                    PlannerMessage::StartAttempt { id, .. } => {
                        (answered, handed) = (answered + 1, handed + 1);
                        self.put(&ForwarderMessage::ConnectionEstablished {
                            id,
                            took: 1_000_000,
                        });
                        standing.push_back(id);
                    }
                    PlannerMessage::Reject { .. } | PlannerMessage::Fail { .. } => answered += 1,
                    _ => {}
                }
            }
            while standing.len() > open {
                if let Some(id) = standing.pop_front() {
                    self.put(&ForwarderMessage::AttemptEnded {
                        id,
                        decision_sequence: 0,
                        outcome: WireOutcome::Completed,
                        request_over: true,
                    });
                }
            }
        }
        Ok(handed)
    }
}
