//! A stand-in for the discovery service. It keeps a list of hosts and answers polls and watches over HTTP, at the
//! rate and with the faults that a test sets. It answers with its list, unless a test sets another answer.

mod call;
mod history;

pub use history::{CallRecord, DiscoveryHistory, Outage};

use crate::peers::MAX_WAIT;
use call::Call;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

const REJECTION: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
/// The beginning of an answer that is never completed.
const PARTIAL_ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n{\"revision\":";

#[derive(Default)]
struct State {
    revision: u64,
    members: Vec<Member>,
    /// Answers given instead of the list, in reverse order: the last entry is the next answer.
    answer_overrides: Vec<String>,
    /// When each call was answered.
    answered: Vec<Instant>,
    /// When each call came.
    called: Vec<Instant>,
    /// The path and query of each call.
    asked: Vec<String>,
    /// When each rejected call came.
    rejected: Vec<Instant>,
    rate_limit: Option<RateLimit>,
    /// When all accepted calls will have been served; `None` before the first call under a rate limit.
    idle_from: Option<Instant>,
    down: bool,
    /// How long each call waits for its turn before it is reset; `None` if calls are answered.
    resets_calls_after: Option<Duration>,
    hang: Option<Hang>,
    /// The number of calls out of ten that are rejected.
    rejected_of_ten: usize,
    /// Incremented with each restart and outage. Calls that came before end without an answer.
    incarnation: u64,
    /// Incremented whenever watches fall silent.
    silence_count: u64,
    /// The last answer to a poll for the whole list.
    cached_list: Option<CachedList>,
    /// The outcome of each call, and when the service was down.
    history: DiscoveryHistory,
}

struct Member {
    /// The revision of the list at which the member last changed.
    revision: u64,
    entry: Value,
}

#[derive(Clone, Copy)]
struct RateLimit {
    time_per_call: Duration,
    /// How long a call may wait before it is rejected.
    max_wait: Duration,
}

/// How far calls get while the service hangs.
#[derive(Clone, Copy, PartialEq)]
enum Hang {
    BeforeAnswer,
    /// After the beginning of an answer.
    WithinAnswer,
}

/// The whole list as it was last serialized.
struct CachedList {
    incarnation: u64,
    revision: u64,
    body: Arc<str>,
}

/// How the service replies to a call.
enum Reply {
    Answer(String),
    /// An incomplete answer, after which the connection ends.
    BrokenAnswer(String),
    /// The service closes the connection without an answer.
    Close,
    /// The service resets the connection after this time.
    Reset(Duration),
    /// No answer or an incomplete one, until the service stops hanging or restarts.
    Hang {
        kind: Hang,
        incarnation: u64,
    },
    /// Nothing, until the caller ends the connection.
    Silence {
        /// The index of the call in the history.
        record: usize,
    },
}

/// A discovery service that keeps a list and answers polls and watches of it. Clones share one service.
#[derive(Clone)]
pub struct Discovery {
    /// The address at which the service listens.
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Discovery {
    /// Starts a service with an empty list on an unused port.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let discovery = Discovery {
            address: listener.local_addr().unwrap(),
            shared: Arc::default(),
        };
        discovery.accept_calls(listener, 0);
        discovery
    }

    /// Opens another address of the same service and returns it. Calls to it are recorded as calls of `caller`.
    pub fn listen_for(&self, caller: u64) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        self.accept_calls(listener, caller);
        address
    }

    fn accept_calls(&self, listener: TcpListener, caller: u64) {
        let service = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let service = service.clone();
                thread::spawn(move || service.serve(stream, caller));
            }
        });
    }

    /// Returns the outcome of each call up to now, and when the service was down.
    pub fn history(&self) -> DiscoveryHistory {
        self.state().history.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap()
    }

    fn changed(&self) -> &Condvar {
        &self.shared.1
    }

    /// From now on serves calls one by one at this rate, and rejects those that would wait longer than
    /// `max_queue_time`.
    pub fn limit_rate(&self, calls_per_second: f64, max_queue_time: Duration) {
        self.state().rate_limit = Some(RateLimit {
            time_per_call: Duration::from_secs_f64(1.0 / calls_per_second),
            max_wait: max_queue_time,
        });
    }

    /// From now on serves calls without a rate limit.
    pub fn lift_rate_limit(&self) {
        self.state().rate_limit = None;
    }

    /// Takes the service down: the connections of open watches and of new calls are closed without an answer.
    pub fn go_down(&self) {
        let mut state = self.state();
        if !std::mem::replace(&mut state.down, true) {
            let from = Instant::now();
            state.history.outages.push(Outage { from, to: None });
        }
        state.incarnation += 1;
        self.changed().notify_all();
    }

    /// Answers calls again after [`Discovery::go_down`].
    pub fn come_up(&self) {
        let mut state = self.state();
        state.down = false;
        if let Some(outage) = state.history.outages.last_mut() {
            outage.to.get_or_insert_with(Instant::now);
        }
    }

    /// From now on accepts each call, has it wait for this time and resets it, as a service with too many callers.
    pub fn reset_calls_after(&self, wait: Duration) {
        self.state().resets_calls_after = Some(wait);
    }

    /// Ends [`Discovery::reset_calls_after`]. Calls that wait already are still reset.
    pub fn stop_resetting(&self) {
        self.state().resets_calls_after = None;
    }

    /// From now on accepts calls and does not answer them; with `within_answer` begins an answer and never completes
    /// it. Watches that are already waiting are not affected.
    pub fn hang(&self, within_answer: bool) {
        self.state().hang = Some(if within_answer {
            Hang::WithinAnswer
        } else {
            Hang::BeforeAnswer
        });
    }

    /// Ends [`Discovery::hang`] and closes the connections of calls that hung.
    pub fn stop_hanging(&self) {
        self.state().hang = None;
        self.changed().notify_all();
    }

    /// Never answers the watches that wait now, but keeps their connections open. Later calls are answered.
    pub fn silence_watches(&self) {
        let mut state = self.state();
        state.silence_count += 1;
        let now = Instant::now();
        let waiting = state.history.calls.iter_mut().filter(|call| call.waiting);
        waiting.for_each(|call| _ = call.silenced_at.get_or_insert(now));
    }

    /// From now on rejects this number of calls out of ten.
    pub fn reject_of_ten(&self, of_ten: usize) {
        self.state().rejected_of_ten = of_ten;
    }

    /// Restarts the service with this list at this revision. All watches end at once, at the moment that is returned.
    pub fn restart(&self, revision: u64, members: &[Value]) -> Instant {
        let mut state = self.state();
        state.incarnation += 1;
        state.revision = revision;
        state.members = members
            .iter()
            .map(|entry| Member {
                revision,
                entry: entry.clone(),
            })
            .collect();
        self.changed().notify_all();
        Instant::now()
    }

    /// Returns when each call came, and when each rejected call came.
    pub fn seen(&self) -> (Vec<Instant>, Vec<Instant>) {
        let state = self.state();
        (state.called.clone(), state.rejected.clone())
    }

    /// Returns the path and query of each call.
    pub fn asked(&self) -> Vec<String> {
        self.state().asked.clone()
    }

    /// Adds or replaces one entry of the list and notifies watches.
    pub fn change(&self, entry: Value) {
        let mut state = self.state();
        state.revision += 1;
        let revision = state.revision;
        state
            .members
            .retain(|member| member.entry["id"] != entry["id"]);
        state.members.push(Member { revision, entry });
        self.changed().notify_all();
    }

    /// Sets the answers to the next calls, given instead of the list. After an answer without a blank line, the
    /// connection is closed.
    pub fn answer_instead(&self, answers: &[&str]) {
        let answers = answers.iter().rev();
        self.state().answer_overrides = answers.map(ToString::to_string).collect();
    }

    /// Waits until `count` calls have come. Returns for each call but the first how long after the previous answer it
    /// came.
    pub fn calls(&self, count: usize) -> Vec<Duration> {
        let deadline = Instant::now() + MAX_WAIT;
        let mut state = self.state();
        while state.called.len() < count {
            let remaining = deadline
                .checked_duration_since(Instant::now())
                .expect("too few calls came in time");
            state = self.changed().wait_timeout(state, remaining).unwrap().0;
        }
        state
            .called
            .iter()
            .skip(1)
            .zip(&state.answered)
            .map(|(called, answered)| called.saturating_duration_since(*answered))
            .collect()
    }

    fn serve(&self, mut stream: TcpStream, caller: u64) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(call) = Call::read(&mut reader) {
            match self.reply(&call, caller) {
                Reply::Answer(answer) => {
                    if stream.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
                Reply::BrokenAnswer(answer) => {
                    _ = stream.write_all(answer.as_bytes());
                    return;
                }
                Reply::Close => return,
                Reply::Reset(after) => {
                    thread::sleep(after);
                    _ = rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO));
                    return;
                }
                Reply::Hang { kind, incarnation } => {
                    if kind == Hang::WithinAnswer {
                        _ = stream.write_all(PARTIAL_ANSWER);
                    }
                    return self.wait_while_hanging(incarnation);
                }
                Reply::Silence { record } => {
                    _ = reader.read_line(&mut String::new());
                    self.state().history.calls[record].closed_at = Some(Instant::now());
                    return;
                }
            }
        }
    }

    fn wait_while_hanging(&self, incarnation: u64) {
        let hangs = |state: &mut State| state.hang.is_some() && state.incarnation == incarnation;
        drop(self.changed().wait_while(self.state(), hangs));
    }

    /// Waits until a call is to be answered and returns the reply to it.
    fn reply(&self, call: &Call, caller: u64) -> Reply {
        let mut state = self.state();
        let (now, incarnation) = (Instant::now(), state.incarnation);
        // The state stays locked until the call is rejected, hangs or is scheduled. A rate limit, a hang or a rejection
        // that a test sets after it has seen the call therefore applies only to later calls.
        let record = state.record_call(call, caller, now);
        self.changed().notify_all();
        if state.down {
            return Reply::Close;
        }
        if let Some(after) = state.resets_calls_after {
            return Reply::Reset(after);
        }
        if let Some(kind) = state.hang {
            return Reply::Hang { kind, incarnation };
        }
        let Some(served_at) = state.schedule_call(now) else {
            return Reply::Answer(REJECTION.into());
        };
        if served_at > now {
            drop(state);
            thread::sleep(served_at.saturating_duration_since(Instant::now()));
            state = self.state();
        }
        if let Some(answer) = state.answer_overrides.pop() {
            state.answered.push(Instant::now());
            return if answer.contains("\r\n\r\n") {
                Reply::Answer(answer)
            } else {
                Reply::BrokenAnswer(answer)
            };
        }
        if let Some(from) = call.from_revision {
            let silence_count = state.silence_count;
            state.history.calls[record].waiting = true;
            let unchanged =
                |state: &mut State| state.revision <= from && state.incarnation == incarnation;
            let waited = self
                .changed()
                .wait_timeout_while(state, call.hold, unchanged);
            state = waited.unwrap().0;
            state.history.calls[record].waiting = false;
            if state.silence_count != silence_count {
                return Reply::Silence { record };
            }
        }
        if state.incarnation != incarnation {
            return Reply::Close;
        }
        let body = state.list(call.from_revision);
        state.record_answer(record);
        drop(state);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        Reply::Answer(head + &*body)
    }
}

impl State {
    /// Records a call and returns the index of its record.
    fn record_call(&mut self, call: &Call, caller: u64, now: Instant) -> usize {
        self.called.push(now);
        self.asked.push(call.path.clone());
        let calls = &mut self.history.calls;
        calls.push(CallRecord::new(caller, now, call.hold));
        calls.len() - 1
    }

    /// Records that a list is about to be written in answer to a call.
    fn record_answer(&mut self, record: usize) {
        let now = Instant::now();
        self.answered.push(now);
        self.history.calls[record].answered_at = Some(now);
    }

    /// Accepts a call and returns when it will have been served, or records a rejection and returns `None`.
    fn schedule_call(&mut self, now: Instant) -> Option<Instant> {
        let is_rejected_in_turn = self.called.len() % 10 < self.rejected_of_ten;
        let idle_from = self.idle_from.unwrap_or(now).max(now);
        let max_wait = self
            .rate_limit
            .map_or(Duration::ZERO, |limit| limit.max_wait);
        if is_rejected_in_turn || idle_from > now + max_wait {
            self.rejected.push(now);
            return None;
        }
        let Some(limit) = self.rate_limit else {
            return Some(now);
        };
        let served_at = idle_from + limit.time_per_call;
        self.idle_from = Some(served_at);
        Some(served_at)
    }

    /// Returns the serialized list, or the members that changed after a revision.
    fn list(&mut self, from_revision: Option<u64>) -> Arc<str> {
        let Some(from) = from_revision else {
            return self.whole_list();
        };
        let changed = self.members.iter().filter(|member| member.revision > from);
        self.list_of(changed, false)
    }

    fn whole_list(&mut self) -> Arc<str> {
        let current = |list: &&CachedList| {
            (list.incarnation, list.revision) == (self.incarnation, self.revision)
        };
        if let Some(cached) = self.cached_list.as_ref().filter(current) {
            return cached.body.clone();
        }
        let body = self.list_of(self.members.iter(), true);
        self.cached_list = Some(CachedList {
            incarnation: self.incarnation,
            revision: self.revision,
            body: body.clone(),
        });
        body
    }

    fn list_of<'a>(&self, members: impl Iterator<Item = &'a Member>, complete: bool) -> Arc<str> {
        let entries: Vec<&Value> = members.map(|member| &member.entry).collect();
        let list = json!({"revision": self.revision, "complete": complete, "members": entries});
        Arc::from(list.to_string())
    }
}
