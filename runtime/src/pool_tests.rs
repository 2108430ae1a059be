//! Tests for the buffer pool.

use super::*;

#[test]
fn a_dropped_buffer_is_reused_and_no_more_are_allocated_than_allowed() {
    let pool = BufferPool::new(1);
    let mut buffer = pool.take().unwrap();
    assert!(buffer.append(b"ab") && buffer.unsent() == b"ab" && pool.take().is_none());
    assert!(!buffer.append(&[0; BUFFER_BYTES]) && buffer.unsent() == b"ab");
    buffer.consume(1);
    assert_eq!(buffer.unsent(), b"b");
    drop(buffer);
    assert!(pool.take().unwrap().is_empty() && pool.available() == 1);
    let _last = pool.take().unwrap();
    assert!(
        pool.take_beyond_limit().append(b"ERR") && pool.available() == 1,
        "a buffer beyond the limit stays in the pool after it is dropped"
    );
}
