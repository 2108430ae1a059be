//! The buffer pool. It owns every buffer of the program: all have one size, and what is given back is used
//! again. A buffer goes back in one place, when its holder drops it. The pool must never hold more than
//! its share of the memory limit; where it is empty the asker waits, so a slow peer holds up only itself.

use std::cell::RefCell;
use std::rc::Rc;

/// Twice the longest line, so that a whole line always fits beside the rest of another.
pub const BUFFER_BYTES: usize = 8192;

struct FreeList {
    free: Vec<Box<[u8]>>,
    /// How many more may be made.
    allocatable: usize,
}

#[derive(Clone)]
pub struct BufferPool(Rc<RefCell<FreeList>>);

impl BufferPool {
    pub fn new(most: usize) -> Self {
        BufferPool(Rc::new(RefCell::new(FreeList {
            free: Vec::new(),
            allocatable: most,
        })))
    }

    /// A buffer, unless all are in use.
    pub fn take(&self) -> Option<Buffer> {
        let mut free_list = self.0.borrow_mut();
        let bytes = match free_list.free.pop() {
            Some(bytes) => bytes,
            None => {
                free_list.allocatable = free_list.allocatable.checked_sub(1)?;
                vec![0; BUFFER_BYTES].into_boxed_slice()
            }
        };
        Some(Buffer {
            bytes,
            start: 0,
            end: 0,
            pool: self.clone(),
        })
    }

    /// A buffer for a final answer, beyond the bound where that is reached: there are no more of these than connections.
    pub fn take_beyond_limit(&self) -> Buffer {
        self.take().unwrap_or_else(|| {
            let bytes = vec![0; BUFFER_BYTES].into_boxed_slice();
            Buffer {
                bytes,
                start: 0,
                end: 0,
                pool: self.clone(),
            }
        })
    }

    /// How many may still be taken.
    pub fn available(&self) -> usize {
        let free_list = self.0.borrow();
        free_list.free.len() + free_list.allocatable
    }
}

/// Bytes on their way: filled at one end, emptied at the other.
pub struct Buffer {
    bytes: Box<[u8]>,
    start: usize,
    end: usize,
    pool: BufferPool,
}

impl Buffer {
    pub fn unsent(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    pub fn is_empty(&self) -> bool {
        self.start == self.end
    }

    pub fn free_space(&mut self) -> &mut [u8] {
        if self.is_empty() {
            (self.start, self.end) = (0, 0);
        }
        &mut self.bytes[self.end..]
    }

    pub fn commit(&mut self, count: usize) {
        self.end = (self.end + count).min(BUFFER_BYTES);
    }

    pub fn consume(&mut self, count: usize) {
        self.start = (self.start + count).min(self.end);
    }

    pub fn clear(&mut self) {
        (self.start, self.end) = (0, 0);
    }

    /// Puts `bytes` behind what waits; false, and nothing put, where they do not fit.
    pub fn append(&mut self, bytes: &[u8]) -> bool {
        let fits = self.free_space().len() >= bytes.len();
        if fits {
            self.free_space()[..bytes.len()].copy_from_slice(bytes);
            self.commit(bytes.len());
        }
        fits
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.pool
            .0
            .borrow_mut()
            .free
            .push(std::mem::take(&mut self.bytes));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_dropped_buffer_is_used_again_and_no_more_are_made_than_allowed() {
        let pool = BufferPool::new(1);
        let mut buffer = pool.take().unwrap();
        assert!(buffer.append(b"ab") && buffer.unsent() == b"ab" && pool.take().is_none());
        assert!(!buffer.append(&[0; BUFFER_BYTES]) && buffer.unsent() == b"ab");
        buffer.consume(1);
        assert_eq!(buffer.unsent(), b"b");
        drop(buffer);
        assert!(pool.take().unwrap().is_empty() && pool.available() == 1);
        let _all = pool.take().unwrap();
        assert!(
            pool.take_beyond_limit().append(b"ERR") && pool.available() == 1,
            "kept once it was made"
        );
    }
}
