//! Runs instances of the decision core for a simulator. The adapter reads batches of events from
//! standard input and writes a reply with the resulting actions to standard output for each batch.

mod batch;
mod error;
mod fields;
#[cfg(test)]
#[path = "hex_tests.rs"]
mod hex;
mod reply;

use batch::{Batch, Command, Header, HEADER_BYTES};
use error::{AdapterError, RecordError};
use reedferry::{Action, Balancer, Nanos};
use reply::Reply;
use std::collections::HashMap;
use std::io::{self, BufReader, BufWriter, Read, Write};

/// The size of the input buffer and of the output buffer, in bytes.
const BUFFER_BYTES: usize = 1 << 16;

fn main() {
    if let Err(error) = run() {
        eprintln!("reedferry-adapter: {error}");
        std::process::exit(1);
    }
}

fn run() -> Result<(), AdapterError> {
    let mut input = BufReader::with_capacity(BUFFER_BYTES, io::stdin().lock());
    let mut output = BufWriter::with_capacity(BUFFER_BYTES, io::stdout().lock());
    let mut instances = Instances::default();
    let mut body = Vec::new();
    while let Some(header) = read_header(&mut input)? {
        read_body(&mut input, &header, &mut body)?;
        let batch = Batch::new(header.batch, header.records, &body)?;
        let mut reply = Reply::new(header.batch);
        for index in 0..batch.len() {
            instances.handle(&batch, index, header.now, &mut reply)?;
        }
        output
            .write_all(&reply.finish())
            .and_then(|()| output.flush())
            .map_err(AdapterError::WriteReply)?;
    }
    Ok(())
}

/// Reads the next header, or returns `None` at the end of the input.
fn read_header(input: &mut impl Read) -> Result<Option<Header>, AdapterError> {
    let mut bytes = [0; HEADER_BYTES];
    let mut received = 0;
    while received < HEADER_BYTES {
        match input.read(&mut bytes[received..]) {
            Ok(0) if received == 0 => return Ok(None),
            Ok(0) => {
                return Err(AdapterError::TruncatedHeader {
                    received,
                    expected: HEADER_BYTES,
                })
            }
            Ok(count) => received += count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(AdapterError::ReadHeader(error)),
        }
    }
    Header::decode(&bytes).map(Some)
}

/// Reads the body that follows a header. The buffer grows with the bytes that arrive, so a wrong
/// length in the header does not allocate that much memory at once.
fn read_body(
    input: &mut impl Read,
    header: &Header,
    body: &mut Vec<u8>,
) -> Result<(), AdapterError> {
    body.clear();
    let received = input
        .take(header.body_bytes as u64)
        .read_to_end(body)
        .map_err(|source| AdapterError::ReadBody {
            batch: header.batch,
            source,
        })?;
    if received < header.body_bytes {
        return Err(AdapterError::TruncatedBody {
            batch: header.batch,
            received,
            expected: header.body_bytes,
        });
    }
    Ok(())
}

/// The running instances of the decision core, by the simulator's instance numbers.
#[derive(Default)]
struct Instances {
    balancers: HashMap<u32, Balancer>,
    actions: Vec<Action>,
}

impl Instances {
    /// Executes the operation of a record and appends the resulting actions to the reply.
    fn handle(
        &mut self,
        batch: &Batch,
        index: usize,
        now: Nanos,
        reply: &mut Reply,
    ) -> Result<(), AdapterError> {
        let (instance, command) = batch.command(index)?;
        match command {
            Command::Start { seed, settings } => {
                let settings =
                    reedferry_settings::balancer_settings(settings).map_err(|error| {
                        batch.record_error(index, RecordError::Settings(error.to_string()))
                    })?;
                let balancer = Balancer::new(settings, seed, now, &mut self.actions);
                self.balancers.insert(instance, balancer);
            }
            Command::Stop => _ = self.balancers.remove(&instance),
            Command::Event(event) => {
                let Some(balancer) = self.balancers.get_mut(&instance) else {
                    return Err(batch.record_error(index, RecordError::NotStarted(instance)));
                };
                balancer.handle(now, event, &mut self.actions);
            }
            Command::Ignore => {}
        }
        for action in self.actions.drain(..) {
            reply.push(instance, &action);
        }
        Ok(())
    }
}
