//! Unique files and folders for the processes that tests start.

use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

/// Returns a number that is unique in this process.
pub(super) fn unique_number() -> u32 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

fn unique_path(suffix: &str) -> PathBuf {
    let (process, number) = (std::process::id(), unique_number());
    std::env::temp_dir().join(format!("reedferry-{process}-{number}{suffix}"))
}

/// Writes `text` to a new file with this extension and returns its path.
pub(super) fn write_file(extension: &str, text: &str) -> PathBuf {
    let path = unique_path(&format!(".{extension}"));
    std::fs::write(&path, text).unwrap();
    path
}

/// Creates a new empty folder and returns its path.
pub fn folder() -> PathBuf {
    let path = unique_path("");
    std::fs::create_dir_all(&path).unwrap();
    path
}
