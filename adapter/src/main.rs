//! Runs instances of the decision module on the bench's wire: standard input to standard output.

mod frames;

use frames::{Fault, Frame, Reply};
use reedferry::{Action, Balancer};
use std::collections::HashMap;
use std::io::{self, BufReader, BufWriter, Read, Write};

fn main() {
    if let Err(fault) = run() {
        eprintln!("reedferry-adapter: {fault}");
        std::process::exit(1);
    }
}

/// Fills `buf`; false at a clean end of input before its first byte.
fn fill(input: &mut impl Read, buf: &mut [u8], what: &str) -> Result<bool, Fault> {
    let mut have = 0;
    while have < buf.len() {
        match input.read(&mut buf[have..]) {
            Ok(0) if have == 0 => return Ok(false),
            Ok(0) => {
                return Err(Fault(format!(
                    "input ended after {have} of {} bytes of {what}",
                    buf.len()
                )))
            }
            Ok(n) => have += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(Fault(format!("cannot read {what}: {e}"))),
        }
    }
    Ok(true)
}

fn run() -> Result<(), Fault> {
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    let mut nodes: HashMap<u32, Balancer> = HashMap::new();
    let mut out: Vec<Action> = Vec::new();
    let (mut header, mut body) = ([0u8; frames::HEADER], Vec::new());
    while fill(&mut input, &mut header, "a batch header")? {
        let (seq, now, length, count) = frames::header(&header)?;
        // Grows with what really arrives, so that a wild length does not claim the memory at once.
        body.clear();
        let got = input
            .by_ref()
            .take(length as u64)
            .read_to_end(&mut body)
            .map_err(|e| Fault(format!("cannot read batch {seq}: {e}")))?;
        if got < length {
            return Err(Fault(format!(
                "batch {seq}: input ended after {got} of {length} body bytes"
            )));
        }
        let frame = Frame::new(seq, count, &body)?;
        let mut reply = Reply::new(seq);
        for at in 0..frame.count() {
            let (node, told) = frame.event(at, now)?;
            match told {
                frames::Told::Start {
                    seed,
                    node_settings,
                } => {
                    let settings = reedferry_settings::balancer_settings(node_settings)
                        .map_err(|e| frame.fault(at, &e))?;
                    nodes.insert(node, Balancer::new(settings, seed, now, &mut out));
                }
                frames::Told::Stop => {
                    nodes.remove(&node);
                }
                frames::Told::Ignored => {}
                frames::Told::Event(event) => match nodes.get_mut(&node) {
                    Some(balancer) => balancer.handle(now, event, &mut out),
                    None => {
                        return Err(
                            frame.fault(at, &format!("instance {node} has not been started"))
                        )
                    }
                },
            }
            for action in out.drain(..) {
                reply.push(node, &action);
            }
        }
        output
            .write_all(&reply.finish())
            .and_then(|()| output.flush())
            .map_err(|e| Fault(format!("cannot write the reply: {e}")))?;
    }
    Ok(())
}
