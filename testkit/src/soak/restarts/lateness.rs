//! How late the threads of the test kit itself run, so that the machine is not taken for the program.

use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How often the thread wakes that stands for all others.
const WAKE_INTERVAL: Duration = Duration::from_millis(5);
/// What is no lateness.
const MIN_LATENESS: Duration = Duration::from_millis(20);

/// When the test kit was late, and by how much.
type Lateness = Arc<Mutex<Vec<(Instant, Duration)>>>;

/// A thread that wakes all the time, and notes how late it does.
pub struct LatenessMonitor {
    stopped: Arc<AtomicBool>,
    noted: Lateness,
    thread: Option<JoinHandle<()>>,
}

impl LatenessMonitor {
    /// Begins to note.
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

    /// The greatest lateness up to now.
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
            thread.join().expect("the monitor panicked");
        }
    }
}
