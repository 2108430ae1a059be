//! The buffer pool. Owns every buffer of the program: all have one size, and what is given back is
//! used again. A buffer goes back in one place, when it is dropped. The pool must never hold more
//! than its share of the memory limit; where it is empty the caller waits, so a slow peer holds up
//! only itself.

use std::cell::RefCell;
use std::rc::Rc;

/// The size of a buffer: twice the longest line, so that a whole line always fits beside the rest
/// of another.
pub const BUFFER_BYTES: usize = 8192;

struct FreeList {
    free: Vec<Box<[u8]>>,
    /// How many more may be allocated.
    allocatable: usize,
}

/// The buffers that may be taken. Clones are one pool.
#[derive(Clone)]
pub struct BufferPool(Rc<RefCell<FreeList>>);

impl BufferPool {
    /// A pool of at most so many buffers, none of which is allocated yet.
    pub fn new(max_buffers: usize) -> Self {
        BufferPool(Rc::new(RefCell::new(FreeList {
            free: Vec::new(),
            allocatable: max_buffers,
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

    /// A buffer, allocated beyond the limit where that is reached. For final answers: there are no
    /// more of these than connections.
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
    /// The bytes that wait.
    pub fn unsent(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Whether none wait.
    pub fn is_empty(&self) -> bool {
        self.start == self.end
    }

    /// Where more bytes may be put; followed by [`Buffer::commit`].
    pub fn free_space(&mut self) -> &mut [u8] {
        if self.is_empty() {
            (self.start, self.end) = (0, 0);
        }
        &mut self.bytes[self.end..]
    }

    /// So many bytes were put into the free space.
    pub fn commit(&mut self, count: usize) {
        self.end = (self.end + count).min(BUFFER_BYTES);
    }

    /// So many bytes of those that wait are done with.
    pub fn consume(&mut self, count: usize) {
        self.start = (self.start + count).min(self.end);
    }

    /// Drops all bytes that wait.
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
#[path = "pool_tests.rs"]
mod tests;
