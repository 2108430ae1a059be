//! Tests for the classification of errors.

use super::*;

#[test]
fn errors_are_classified_by_the_side_at_fault() {
    for error in [Errno::NOBUFS, Errno::NOMEM, Errno::NFILE, Errno::MFILE] {
        assert_eq!(classify_io(error), IoFailure::LocalResources);
        assert_eq!(classify_connect(error), ConnectFailure::LocalResources);
        assert_eq!(classify_accept(error), AcceptFailure::LocalResources);
    }
    for error in [
        Errno::TIMEDOUT,
        Errno::HOSTUNREACH,
        Errno::CONNRESET,
        Errno::PIPE,
    ] {
        assert_eq!(classify_io(error), IoFailure::Disconnected);
        assert_eq!(classify_accept(error), AcceptFailure::AbortedConnection);
    }
    assert_eq!(classify_io(Errno::AGAIN), IoFailure::WouldBlock);
    assert_eq!(classify_accept(Errno::AGAIN), AcceptFailure::NoneWaiting);
    assert_eq!(
        classify_accept(Errno::CONNABORTED),
        AcceptFailure::AbortedConnection
    );
    assert_eq!(classify_connect(Errno::NETUNREACH), ConnectFailure::Route);
    assert_eq!(classify_connect(Errno::CONNREFUSED), ConnectFailure::Peer);
    assert_eq!(classify_connect(Errno::TIMEDOUT), ConnectFailure::Peer);
}

#[test]
fn transient_failures_are_retried_and_others_are_not() {
    let mut attempts = 0;
    let timeout = Duration::from_secs(20);
    let third_attempt = retry_for(timeout, || {
        attempts += 1;
        if attempts < 3 {
            Err(Errno::NFILE)
        } else {
            Ok(attempts)
        }
    });
    assert_eq!(third_attempt, Ok(3));
    assert_eq!(
        retry_for(timeout, || Err::<(), _>(Errno::ADDRINUSE)),
        Err(Errno::ADDRINUSE)
    );
    assert_eq!(
        retry_for(Duration::ZERO, || Err::<(), _>(Errno::NFILE)),
        Err(Errno::NFILE)
    );
}
