//! Which failures to read a file may pass, and what is done about them at the start.

use super::*;

#[derive(Clone, Debug, PartialEq)]
enum LoadError {
    Busy,
    Wrong(&'static str),
}

impl MayBeTransient for LoadError {
    fn is_transient(&self) -> bool {
        *self == LoadError::Busy
    }
}

#[test]
fn a_missing_file_is_permanent_and_what_fails_for_a_moment_is_retried_at_the_start() {
    assert!(
        matches!(read(Path::new("/nowhere/at/all")), Err(error) if !error.is_transient() && error.to_string().contains("nowhere"))
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
    let mut wrong = || {
        attempts += 1;
        Err::<(), _>(LoadError::Wrong("no such key"))
    };
    assert_eq!(
        retry_at_start(Duration::from_secs(20), &mut wrong),
        Err(LoadError::Wrong("no such key"))
    );
    assert_eq!(attempts, 1);
}
