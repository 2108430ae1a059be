//! The messages to the other process of a hot restart that its channel has not taken yet.

use super::ChannelError;
use reedferry_runtime::Socket;
use std::collections::VecDeque;

/// Encoded messages in the order in which they are sent.
#[derive(Default)]
pub(super) struct OutgoingMessages {
    queue: VecDeque<Vec<u8>>,
}

impl OutgoingMessages {
    /// Adds a message.
    pub fn push(&mut self, message: Vec<u8>) {
        self.queue.push_back(message);
    }

    /// Returns whether all messages are sent.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Drops the messages that are not sent yet.
    pub fn clear(&mut self) {
        self.queue.clear();
    }

    /// Sends messages until none is left or the channel returns an error.
    ///
    /// # Errors
    /// Returns the error of the channel. The message that it did not take stays the next one.
    pub fn flush(&mut self, channel: &Socket) -> Result<(), ChannelError> {
        while let Some(message) = self.queue.front() {
            channel
                .send_with_descriptors(message, &[])
                .map_err(|error| ChannelError::of(error, "sendmsg"))?;
            self.queue.pop_front();
        }
        Ok(())
    }
}
