//! The buffer pool, which owns all buffers of the program. All buffers have the same size and
//! return to the pool for reuse when they are dropped. The number of buffers is limited so that the
//! pool stays within its share of the memory limit. A caller that finds the pool empty has to wait,
//! so a slow peer delays only its own connection.

use std::cell::RefCell;
use std::rc::Rc;

/// The size of a buffer, in bytes: twice that of the longest line, so that a whole line always fits
/// behind the rest of another.
pub const BUFFER_BYTES: usize = 8192;

struct FreeList {
    free: Vec<Box<[u8]>>,
    /// The number of buffers that may still be allocated.
    allocatable: usize,
}

/// A pool of buffers. Clones share the same buffers.
#[derive(Clone)]
pub struct BufferPool(Rc<RefCell<FreeList>>);

impl BufferPool {
    /// Creates a pool of at most `max_buffers` buffers, each allocated when it is first needed.
    pub fn new(max_buffers: usize) -> Self {
        BufferPool(Rc::new(RefCell::new(FreeList {
            free: Vec::new(),
            allocatable: max_buffers,
        })))
    }

    /// Returns an empty buffer, or `None` if all buffers are in use.
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

    /// Returns an empty buffer and allocates it beyond the limit if all buffers are in use. This is
    /// meant for final answers, of which there are no more than connections.
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

    /// Returns the number of buffers that [`BufferPool::take`] can still return.
    pub fn available(&self) -> usize {
        let free_list = self.0.borrow();
        free_list.free.len() + free_list.allocatable
    }
}

/// A buffer for bytes in transit: they are appended at the end and consumed from the front.
pub struct Buffer {
    bytes: Box<[u8]>,
    start: usize,
    end: usize,
    pool: BufferPool,
}

impl Buffer {
    /// Returns the bytes that were written and not yet consumed.
    pub fn unsent(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Returns whether there are no unsent bytes.
    pub fn is_empty(&self) -> bool {
        self.start == self.end
    }

    /// Returns the space for more bytes. After writing there, call [`Buffer::commit`].
    pub fn free_space(&mut self) -> &mut [u8] {
        if self.is_empty() {
            (self.start, self.end) = (0, 0);
        }
        &mut self.bytes[self.end..]
    }

    /// Adds the first `count` bytes of the free space to the unsent bytes.
    pub fn commit(&mut self, count: usize) {
        self.end = (self.end + count).min(BUFFER_BYTES);
    }

    /// Removes the first `count` unsent bytes.
    pub fn consume(&mut self, count: usize) {
        self.start = (self.start + count).min(self.end);
    }

    /// Discards all unsent bytes.
    pub fn clear(&mut self) {
        (self.start, self.end) = (0, 0);
    }

    /// Appends `bytes` to the unsent bytes and returns `true`. If they do not fit, appends nothing
    /// and returns `false`.
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
