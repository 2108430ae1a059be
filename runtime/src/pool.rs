//! The buffer pool. It owns every buffer of the program: all have one size, and what is given back is used
//! again. A buffer goes back in one place, when its holder drops it. The pool must never hold more than
//! its share of the memory limit; where it is empty the asker waits, so a slow peer holds up only itself.

use std::cell::RefCell;
use std::rc::Rc;

/// Twice the longest line, so that a whole line always fits beside the rest of another.
pub const SIZE: usize = 8192;

struct Shelf {
    spare: Vec<Box<[u8]>>,
    /// How many more may be made.
    unmade: usize,
}

#[derive(Clone)]
pub struct Pool(Rc<RefCell<Shelf>>);

impl Pool {
    pub fn new(most: usize) -> Self {
        Pool(Rc::new(RefCell::new(Shelf {
            spare: Vec::new(),
            unmade: most,
        })))
    }

    /// A buffer, unless all are in use.
    pub fn take(&self) -> Option<Buffer> {
        let mut shelf = self.0.borrow_mut();
        let bytes = match shelf.spare.pop() {
            Some(bytes) => bytes,
            None => {
                shelf.unmade = shelf.unmade.checked_sub(1)?;
                vec![0; SIZE].into_boxed_slice()
            }
        };
        Some(Buffer {
            bytes,
            from: 0,
            to: 0,
            home: self.clone(),
        })
    }

    /// A buffer for a final answer, beyond the bound where that is reached: there are no more of these than connections.
    pub fn take_for_answer(&self) -> Buffer {
        self.take().unwrap_or_else(|| {
            let bytes = vec![0; SIZE].into_boxed_slice();
            Buffer {
                bytes,
                from: 0,
                to: 0,
                home: self.clone(),
            }
        })
    }

    /// How many may still be taken.
    pub fn left(&self) -> usize {
        let shelf = self.0.borrow();
        shelf.spare.len() + shelf.unmade
    }
}

/// Bytes on their way: filled at one end, emptied at the other.
pub struct Buffer {
    bytes: Box<[u8]>,
    from: usize,
    to: usize,
    home: Pool,
}

impl Buffer {
    pub fn waiting(&self) -> &[u8] {
        &self.bytes[self.from..self.to]
    }

    pub fn is_empty(&self) -> bool {
        self.from == self.to
    }

    pub fn spare(&mut self) -> &mut [u8] {
        if self.is_empty() {
            (self.from, self.to) = (0, 0);
        }
        &mut self.bytes[self.to..]
    }

    pub fn filled(&mut self, count: usize) {
        self.to = (self.to + count).min(SIZE);
    }

    pub fn sent(&mut self, count: usize) {
        self.from = (self.from + count).min(self.to);
    }

    pub fn clear(&mut self) {
        (self.from, self.to) = (0, 0);
    }

    /// Puts `bytes` behind what waits; false, and nothing put, where they do not fit.
    pub fn put(&mut self, bytes: &[u8]) -> bool {
        let fits = self.spare().len() >= bytes.len();
        if fits {
            self.spare()[..bytes.len()].copy_from_slice(bytes);
            self.filled(bytes.len());
        }
        fits
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.home
            .0
            .borrow_mut()
            .spare
            .push(std::mem::take(&mut self.bytes));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_dropped_buffer_is_used_again_and_no_more_are_made_than_allowed() {
        let pool = Pool::new(1);
        let mut buffer = pool.take().unwrap();
        assert!(buffer.put(b"ab") && buffer.waiting() == b"ab" && pool.take().is_none());
        assert!(!buffer.put(&[0; SIZE]) && buffer.waiting() == b"ab");
        buffer.sent(1);
        assert_eq!(buffer.waiting(), b"b");
        drop(buffer);
        assert!(pool.take().unwrap().is_empty() && pool.left() == 1);
        let _all = pool.take().unwrap();
        assert!(
            pool.take_for_answer().put(b"ERR") && pool.left() == 1,
            "kept once it was made"
        );
    }
}
