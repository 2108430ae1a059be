//! Tells when the client of a request is known to have its final answer. Having sent the answer is not enough: a client
//! that has been cut off never gets it, and sends its request again.

use super::connection::Connection;
use super::Connections;
use reedferry::RequestId;
use reedferry_runtime::{Buffer, Socket};

/// What is known about the answer to a request when its connection goes on or ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerReceipt {
    /// The client has the answer.
    Received(RequestId),
    /// The connection has ended, and the client may not have the answer.
    Unconfirmed(RequestId),
}

/// Whether a client has the answer to its request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ReceiptState {
    /// It is not known to have it.
    #[default]
    Unknown,
    /// It has it.
    Received,
    /// It has it, and this has been reported.
    Reported,
}

impl ReceiptState {
    /// Records that the client has the answer.
    pub(super) fn receive(&mut self) {
        if *self == ReceiptState::Unknown {
            *self = ReceiptState::Received;
        }
    }
}

/// The receipts that nobody has taken yet.
#[derive(Debug, Default)]
pub(super) struct AnswerReceipts {
    /// Whether receipts are kept.
    enabled: bool,
    queued: Vec<AnswerReceipt>,
}

impl AnswerReceipts {
    fn push(&mut self, receipt: AnswerReceipt) {
        if self.enabled {
            self.queued.push(receipt);
        }
    }

    /// Reports what is known of a connection that has been removed.
    pub(super) fn report_removed(&mut self, connection: &Connection) {
        let id = connection.incoming.id;
        self.push(match connection.receipt {
            ReceiptState::Unknown => AnswerReceipt::Unconfirmed(id),
            ReceiptState::Received | ReceiptState::Reported => AnswerReceipt::Received(id),
        });
    }
}

/// Returns whether a client that has ended its sending in order has acknowledged all that was sent to it. A client that
/// closes its connection before the answer arrives acknowledges nothing of it, and one that closes without having read
/// it resets the connection. `ended` tells whether this side has ended its sending as well, which is acknowledged like
/// one more byte and after all others.
fn has_acknowledged_all(socket: &Socket, ended: bool) -> bool {
    let allowed = usize::from(ended);
    socket
        .unacknowledged_bytes()
        .is_ok_and(|count| count <= allowed)
}

impl Connection {
    /// Records that the client has ended its sending in order after the answer was queued.
    pub(super) fn on_client_finished(&mut self) {
        let all_sent = self.to_client.buffer.as_ref().is_none_or(Buffer::is_empty);
        let Some(client) = &self.client else { return };
        if all_sent && has_acknowledged_all(&client.socket, self.to_client.finished) {
            self.receipt.receive();
        }
    }
}

impl Connections {
    /// Has receipts kept from now on for [`Connections::take_answer_receipts`].
    pub fn enable_answer_receipts(&mut self) {
        self.answer_receipts.enabled = true;
    }

    /// Takes the receipts since the last call.
    pub fn take_answer_receipts(&mut self) -> Vec<AnswerReceipt> {
        std::mem::take(&mut self.answer_receipts.queued)
    }

    /// Reports once that the client of an open connection has its answer.
    pub(super) fn report_received_answer(&mut self, slot: usize) {
        let connection = &mut self.slab[slot];
        if connection.receipt == ReceiptState::Received {
            connection.receipt = ReceiptState::Reported;
            let receipt = AnswerReceipt::Received(connection.incoming.id);
            self.answer_receipts.push(receipt);
        }
    }
}
