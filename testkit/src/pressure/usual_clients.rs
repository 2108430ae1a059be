//! Usual clients beside the pressure. Each sends a request at a fixed interval and records its answer.

use super::PressureTarget;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The number of usual clients.
const CLIENTS: usize = 2;
/// The time between two requests of a client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(30);
/// How long a client waits for its answer, which is longer than its request's deadline.
const MAX_WAIT: Duration = Duration::from_secs(4);

/// How one request was served.
struct UsualRequest {
    answer: Option<String>,
    took: Duration,
}

/// Clients that run until [`UsualClients::end`].
pub struct UsualClients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<UsualRequest>>>,
}

/// How usual clients were served.
#[derive(Clone, Debug)]
pub struct UsualSummary {
    /// The number of requests.
    pub requests: usize,
    /// The number of requests that a host accepted.
    pub served: usize,
    /// The number of requests without an answer.
    pub unanswered: usize,
    /// The time within which 99 of 100 requests were answered.
    pub p99: Duration,
    /// The longest time to an answer.
    pub worst: Duration,
}

impl UsualClients {
    /// Starts the clients.
    pub fn start(target: PressureTarget) -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..CLIENTS).map(|_| {
            let stop = stop.clone();
            thread::spawn(move || {
                let mut requests = Vec::new();
                while !stop.load(SeqCst) {
                    let number = NEXT.fetch_add(1, SeqCst);
                    requests.push(request(target, &format!("fa{number:x}")));
                    thread::sleep(REQUEST_INTERVAL);
                }
                requests
            })
        });
        let threads = threads.collect();
        UsualClients { stop, threads }
    }

    /// Stops the clients and returns how they were served.
    pub fn end(self) -> UsualSummary {
        self.stop.store(true, SeqCst);
        let mut requests: Vec<UsualRequest> = Vec::new();
        for thread in self.threads {
            requests.extend(thread.join().expect("a usual client panicked"));
        }
        requests.sort_by_key(|request| request.took);
        let took_at = |share: f64| {
            let last = requests.len().saturating_sub(1);
            let index = (last as f64 * share) as usize;
            requests.get(index).map_or(Duration::ZERO, |r| r.took)
        };
        let is_served = |r: &&UsualRequest| r.answer.as_ref().is_some_and(|a| a.starts_with("UP"));
        UsualSummary {
            requests: requests.len(),
            served: requests.iter().filter(is_served).count(),
            unanswered: requests.iter().filter(|r| r.answer.is_none()).count(),
            p99: took_at(0.99),
            worst: took_at(1.0),
        }
    }
}

/// Sends a request and waits for its answer.
fn request(target: PressureTarget, id: &str) -> UsualRequest {
    let started = Instant::now();
    let answer = exchange(target, id)
        .ok()
        .filter(|answer| !answer.is_empty());
    UsualRequest {
        answer,
        took: started.elapsed(),
    }
}

fn exchange(target: PressureTarget, id: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(target.clients)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(MAX_WAIT))?;
    stream.write_all(target.open_line(id).as_bytes())?;
    let mut answer = String::new();
    BufReader::new(&stream).read_line(&mut answer)?;
    Ok(answer)
}
