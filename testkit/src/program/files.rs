//! Files and folders of their own for the processes of a test.

use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

/// A number that no one else in this process was given.
pub(super) fn unique_number() -> u32 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

fn unique_path(suffix: &str) -> PathBuf {
    let (process, number) = (std::process::id(), unique_number());
    std::env::temp_dir().join(format!("reedferry-{process}-{number}{suffix}"))
}

/// Writes this text to a new file with this extension.
pub(super) fn write_file(extension: &str, text: &str) -> PathBuf {
    let path = unique_path(&format!(".{extension}"));
    std::fs::write(&path, text).unwrap();
    path
}

/// An empty folder of its own.
pub fn folder() -> PathBuf {
    let path = unique_path("");
    std::fs::create_dir_all(&path).unwrap();
    path
}
