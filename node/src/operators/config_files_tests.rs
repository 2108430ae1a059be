//! Tests which read errors are transient, and that only those are retried at the start.

use super::*;

#[derive(Clone, Debug, PartialEq)]
enum LoadError {
    Busy,
    Invalid(&'static str),
}

impl MayBeTransient for LoadError {
    fn is_transient(&self) -> bool {
        *self == LoadError::Busy
    }
}

#[test]
fn only_transient_errors_are_retried_and_a_missing_file_is_permanent() {
    assert!(
        matches!(read(Path::new("/no/such/file")), Err(error) if !error.is_transient() && error.to_string().contains("/no/such/file"))
    );
    let mut attempts = 0;
    let third = retry_at_start(Duration::from_secs(20), || {
        attempts += 1;
        if attempts < 3 {
            Err(LoadError::Busy)
        } else {
            Ok(attempts)
        }
    });
    assert_eq!(third, Ok(3));
    let mut attempts = 0;
    let mut fail = || {
        attempts += 1;
        Err::<(), _>(LoadError::Invalid("no such key"))
    };
    assert_eq!(
        retry_at_start(Duration::from_secs(20), &mut fail),
        Err(LoadError::Invalid("no such key"))
    );
    assert_eq!(attempts, 1);
}
