//! A stand-in for the discovery service: keeps a list of hosts and answers polls and watches over HTTP, as many a
//! second as a test allows, with faults as a test sets them. It serves nothing but its list, unless a test sets another
//! answer.

use crate::peers::MAX_WAIT;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const TURNED_AWAY: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

#[derive(Default)]
struct Kept {
    revision: u64,
    members: Vec<(u64, Value)>,
    /// Answers given in place of the list, the next one last.
    instead: Vec<String>,
    /// When each watch was answered and when each call came.
    answered: Vec<Instant>,
    called: Vec<Instant>,
    /// What each call asked for.
    asked: Vec<String>,
    /// How long one call takes it, and how much work may wait before it turns calls away; when it is free.
    work: Option<(Duration, Duration)>,
    free: Option<Instant>,
    down: bool,
    /// Takes calls and answers none; with the head of an answer, or with nothing.
    hangs: Option<bool>,
    /// Of ten calls so many are turned away.
    refuses: usize,
    turned_away: Vec<Instant>,
    /// Grows with each start: what was begun before ends. Grows whenever watches fall silent.
    life: u64,
    mute: u64,
    /// The whole list as it was last written, and of which life and revision.
    whole: Option<((u64, u64), Arc<str>)>,
}

/// Discovery: keeps a list and answers watches on it.
#[derive(Clone)]
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    kept: Arc<(Mutex<Kept>, Condvar)>,
}

impl Discovery {
    /// Starts an empty list service on a port of its own.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let discovery = Discovery {
            address: listener.local_addr().unwrap(),
            kept: Arc::default(),
        };
        let serving = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let one = serving.clone();
                thread::spawn(move || one.serve(stream));
            }
        });
        discovery
    }

    /// From now on it works calls off in turn, so many a second, and turns away what would wait longer than that.
    pub fn bound(&self, a_second: f64, queue: Duration) {
        self.kept.0.lock().unwrap().work = Some((Duration::from_secs_f64(1.0 / a_second), queue));
    }

    /// It is down: watches end, and no call is answered.
    pub fn go_down(&self) {
        let mut kept = self.kept.0.lock().unwrap();
        (kept.down, kept.life) = (true, kept.life + 1);
        self.kept.1.notify_all();
    }

    /// Answers calls again after [`Discovery::go_down`].
    pub fn come_up(&self) {
        self.kept.0.lock().unwrap().down = false;
    }

    /// From now on it takes calls and answers none, or begins an answer and goes silent; watches stand.
    pub fn hang(&self, begins: bool) {
        self.kept.0.lock().unwrap().hangs = Some(begins);
    }

    /// Watches that wait now are never answered, and stay open; later calls are.
    pub fn fall_silent(&self) {
        self.kept.0.lock().unwrap().mute += 1;
    }

    /// It is well again: what hung ends.
    pub fn stop_hanging(&self) {
        let mut kept = self.kept.0.lock().unwrap();
        kept.hangs = None;
        self.kept.1.notify_all();
    }

    /// It works off calls as fast as it can again.
    pub fn unbound(&self) {
        self.kept.0.lock().unwrap().work = None;
    }

    /// Turns away so many of ten calls.
    pub fn turn_away(&self, of_ten: usize) {
        self.kept.0.lock().unwrap().refuses = of_ten;
    }

    /// It starts anew with this list at this revision: all watches end at one moment, which it gives.
    pub fn restart(&self, revision: u64, members: &[Value]) -> Instant {
        let mut kept = self.kept.0.lock().unwrap();
        (kept.life, kept.revision) = (kept.life + 1, revision);
        kept.members = members
            .iter()
            .map(|member| (revision, member.clone()))
            .collect();
        self.kept.1.notify_all();
        Instant::now()
    }

    /// When each call came, and when one was turned away.
    pub fn seen(&self) -> (Vec<Instant>, Vec<Instant>) {
        let kept = self.kept.0.lock().unwrap();
        (kept.called.clone(), kept.turned_away.clone())
    }

    /// What each call asked for.
    pub fn asked(&self) -> Vec<String> {
        self.kept.0.lock().unwrap().asked.clone()
    }

    /// Changes one entry of the list, which watches are told of.
    pub fn change(&self, member: Value) {
        let mut kept = self.kept.0.lock().unwrap();
        kept.revision += 1;
        let revision = kept.revision;
        kept.members.retain(|(_, m)| m["id"] != member["id"]);
        kept.members.push((revision, member));
        self.kept.1.notify_all();
    }

    /// Has the next calls answered so in place of the list.
    pub fn answer_instead(&self, answers: &[&str]) {
        self.kept.0.lock().unwrap().instead = answers
            .iter()
            .rev()
            .map(std::string::ToString::to_string)
            .collect();
    }

    /// Waits until so many calls have come, and says how long after the last answer each followed.
    pub fn calls(&self, count: usize) -> Vec<Duration> {
        let until = Instant::now() + MAX_WAIT;
        let mut kept = self.kept.0.lock().unwrap();
        while kept.called.len() < count {
            let left = until
                .checked_duration_since(Instant::now())
                .expect("too few calls came");
            kept = self.kept.1.wait_timeout(kept, left).unwrap().0;
        }
        kept.called
            .iter()
            .skip(1)
            .zip(&kept.answered)
            .map(|(c, a)| c.saturating_duration_since(*a))
            .collect()
    }

    #[expect(
        clippy::too_many_lines,
        reason = "one call, in the order in which it passes through the service"
    )]
    fn serve(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        loop {
            let mut request = String::new();
            while !request.ends_with("\r\n\r\n") {
                if !matches!(reader.read_line(&mut request), Ok(1..)) {
                    return;
                }
            }
            let path = request.split(' ').nth(1).unwrap();
            let figure = |name: &str| -> Option<u64> {
                path.split(['?', '&'])
                    .find_map(|p| p.strip_prefix(name))
                    .map(|v| v.parse().unwrap())
            };
            let (from, hold) = (figure("from="), figure("hold_ms=").unwrap_or(0));
            let mut kept = self.kept.0.lock().unwrap();
            let (came, life) = (Instant::now(), kept.life);
            kept.called.push(came);
            kept.asked.push(path.to_string());
            self.kept.1.notify_all();
            if kept.down {
                return;
            }
            if let Some(begins) = kept.hangs {
                if begins {
                    _ = stream.write_all(
                        b"HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n{\"revision\":",
                    );
                }
                drop(
                    self.kept
                        .1
                        .wait_while(kept, |k| k.hangs.is_some() && k.life == life),
                );
                return;
            }
            let refused = kept.called.len() % 10 < kept.refuses;
            let (each, queue) = kept.work.unwrap_or_default();
            let free = kept.free.unwrap_or(came).max(came);
            if refused || free > came + queue {
                kept.turned_away.push(came);
                drop(kept);
                if stream.write_all(TURNED_AWAY.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if !each.is_zero() {
                kept.free = Some(free + each);
                drop(kept);
                // Its work takes time; nobody waits here for anything else to happen.
                thread::sleep((free + each).saturating_duration_since(Instant::now()));
                kept = self.kept.0.lock().unwrap();
            }
            if let Some(instead) = kept.instead.pop() {
                kept.answered.push(Instant::now());
                drop(kept);
                if stream.write_all(instead.as_bytes()).is_err() || !instead.contains("\r\n\r\n") {
                    return;
                }
                continue;
            }
            if let Some(from) = from {
                let wait = Duration::from_millis(hold);
                let mute = kept.mute;
                let same = |k: &mut Kept| k.revision <= from && k.life == life;
                kept = self.kept.1.wait_timeout_while(kept, wait, same).unwrap().0;
                if kept.mute != mute {
                    drop(kept);
                    // Whoever waits here is heard no more; the connection ends when the other side ends it.
                    _ = reader.read_line(&mut request);
                    return;
                }
            }
            if kept.life != life {
                return;
            }
            let body = match (from, &kept.whole) {
                (None, Some((of, body))) if *of == (kept.life, kept.revision) => body.clone(),
                _ => {
                    let news = kept
                        .members
                        .iter()
                        .filter(|(r, _)| from.is_none_or(|from| *r > from));
                    let members: Vec<&Value> = news.map(|(_, m)| m).collect();
                    let list = json!({"revision": kept.revision, "complete": from.is_none(), "members": members});
                    Arc::from(list.to_string())
                }
            };
            if from.is_none() {
                kept.whole = Some(((kept.life, kept.revision), body.clone()));
            }
            kept.answered.push(Instant::now());
            drop(kept);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            if stream.write_all((head + &*body).as_bytes()).is_err() {
                return;
            }
        }
    }
}
