//! A forwarder as a planner sees one, without clients or hosts: it speaks the frames of the link at full speed,
//! for measurements of a planner alone. It never be taken for a forwarder: it keeps no rule.

use reedferry_control_plane::frames::{
    self, ForwarderMessage, Hello, PlacementRequest, PlannerMessage, PriorAttempts, Reader, Tally,
    Welcome, Writer,
};
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub struct Speaker {
    stream: TcpStream,
    reader: Reader,
    writer: Writer,
    tally: Tally,
    session: u64,
    beat: u64,
    next: u64,
}

/// What an request asks for in these measurements.
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
        let (reader, mut writer, tally) = (Reader::default(), Writer::default(), Tally::default());
        writer.greet(&Hello {
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
        speaker.put(&ForwarderMessage::Follow { standing: 0 });
        speaker.put(&ForwarderMessage::StateSyncComplete);
        speaker.send()?;
        Ok(speaker)
    }

    fn put(&mut self, note: &ForwarderMessage) {
        self.writer.put(self.session, self.beat, note);
    }

    fn send(&mut self) -> Result<(), String> {
        self.writer.seal();
        let count = self.writer.waiting().len();
        self.stream
            .write_all(self.writer.waiting())
            .map_err(|e| e.to_string())?;
        self.writer.sent(count);
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
                match frames::greeting(body)? {
                    Welcome::Session(number) => *session = number,
                    Welcome::Refused(why) => return Err(frames::LinkError::Refused(why)),
                }
                return Ok(());
            }
            let (head, mut notes) = frames::piece(body)?;
            tally.take(&head, *session)?;
            while let Some(note) = notes.take()? {
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
                asked: asked(id),
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
            step: 0,
            asked: asked(id),
            past: PriorAttempts::default(),
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

    /// Has so many requests decided, `window` of them at once, each open until so many have come behind it.
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
                    step: 0,
                    asked: asked(id),
                    past: PriorAttempts::default(),
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
                        step: 0,
                        came: frames::WireOutcome::Completed,
                        over: true,
                    });
                }
            }
        }
        Ok(handed)
    }
}
