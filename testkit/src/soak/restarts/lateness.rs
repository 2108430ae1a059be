//! Measures how late the threads of the test kit itself run, so that violations caused by a busy machine can be told
//! from faults of the program.

use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The sleep time of the measuring thread, whose lateness stands for that of all threads.
const WAKE_INTERVAL: Duration = Duration::from_millis(5);
/// The least lateness that is recorded.
const MIN_LATENESS: Duration = Duration::from_millis(20);

/// When the thread should have woken, and how much later it did.
type Lateness = Arc<Mutex<Vec<(Instant, Duration)>>>;

/// A thread that wakes regularly and records how late it does, until the monitor is dropped.
pub struct LatenessMonitor {
    stopped: Arc<AtomicBool>,
    noted: Lateness,
    thread: Option<JoinHandle<()>>,
}

impl LatenessMonitor {
    /// Starts the thread.
    pub fn start() -> LatenessMonitor {
        let (stopped, noted) = (Arc::new(AtomicBool::new(false)), Lateness::default());
        let thread = {
            let (stopped, noted) = (stopped.clone(), noted.clone());
            thread::spawn(move || {
                while !stopped.load(SeqCst) {
                    let due = Instant::now() + WAKE_INTERVAL;
                    thread::sleep(WAKE_INTERVAL);
                    let late = Instant::now().saturating_duration_since(due);
                    if late >= MIN_LATENESS {
                        noted.lock().unwrap().push((due, late));
                    }
                }
            })
        };
        LatenessMonitor {
            stopped,
            noted,
            thread: Some(thread),
        }
    }

    /// Returns the greatest lateness up to now, or zero if none was recorded.
    pub fn greatest(&self) -> Duration {
        let noted = self.noted.lock().unwrap();
        noted
            .iter()
            .map(|(_, late)| *late)
            .max()
            .unwrap_or_default()
    }
}

impl Drop for LatenessMonitor {
    fn drop(&mut self) {
        self.stopped.store(true, SeqCst);
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the monitor thread panicked");
        }
    }
}
