//! Usual clients beside hundreds of bad ones that send at full speed: bad input may end its own connection alone.

use reedferry_testkit::program::node_config_of;
use reedferry_testkit::simulated::{Hosts, InvariantChecker};
use reedferry_testkit::{Discovery, Node, Peer};
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The number of bad clients at a time.
const BAD_CLIENTS: usize = 300;
/// How long the bad clients go on.
const BAD_TIME: Duration = Duration::from_secs(4);
/// The timeout of a usual request.
const TIMEOUT_MS: u64 = 800;
/// A request without an answer this long after it was sent is lost: its timeout, half a second and the slack on sockets.
const LOST_AFTER: Duration = Duration::from_millis(TIMEOUT_MS + 500 + 50);
/// The time between two usual requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);
/// The length of the bad clients' line, close to the longest that is allowed.
const LINE_BYTES: usize = 4000;

/// Returns the first line of a class that does not exist, with about 940 fields, each of its own name.
fn line_of_many_fields(number: usize) -> String {
    const FIELD_BYTES: usize = ",xx=".len();
    let letters = || ('b'..='z').chain('B'..='Z');
    let mut line = format!("OPEN bad{number} 7f3a c=none,t=acme,d=2000");
    for (first, second) in letters().flat_map(|first| letters().map(move |second| (first, second)))
    {
        if line.len() + FIELD_BYTES > LINE_BYTES {
            break;
        }
        line.push_str(&format!(",{first}{second}="));
    }
    line + "\r\n"
}

/// Sends the line, reads to the end of the connection and comes again, until `stop` is set. Counts the answers.
fn send_repeatedly(node: SocketAddr, line: &str, stop: &AtomicBool, rejected: &AtomicUsize) {
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(node) else {
            continue;
        };
        stream.set_read_timeout(Some(BAD_TIME)).unwrap();
        let mut answer = Vec::new();
        if stream.write_all(line.as_bytes()).is_ok() && stream.read_to_end(&mut answer).is_ok() {
            assert_eq!(answer, b"ERR\r\n");
            rejected.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Sends a usual request. Returns its answer and how long it took.
fn request(node: SocketAddr, number: usize) -> (String, Duration) {
    let sent_at = Instant::now();
    let mut client = Peer::connect(node);
    client.send_line(&format!(
        "OPEN c{number} {number:x} c=free,t=acme,d={TIMEOUT_MS}"
    ));
    (client.receive_line(), sent_at.elapsed())
}

/// Guards against usual requests that are lost because each line of hundreds of bad clients costs milliseconds of the
/// event loop.
#[test]
fn usual_requests_are_answered_in_time_beside_hundreds_of_lines_with_many_fields() {
    let (checker, discovery) = (InvariantChecker::default(), Discovery::start());
    let hosts = Hosts::start(2, &checker);
    let mut node_config = node_config_of(hosts.members(), discovery.address);
    node_config["limits"]["sockets"] = json!(1024);
    node_config["settings"]["offerings"][0]["name"] = json!("free");
    let node = Node::start(&node_config);
    let (stop, rejected) = (AtomicBool::new(false), AtomicUsize::new(0));
    let answers: Vec<(String, Duration)> = thread::scope(|scope| {
        for number in 0..BAD_CLIENTS {
            let (stop, rejected) = (&stop, &rejected);
            scope.spawn(move || {
                send_repeatedly(node.address, &line_of_many_fields(number), stop, rejected);
            });
        }
        let started = Instant::now();
        let mut requests = Vec::new();
        while started.elapsed() < BAD_TIME {
            let number = requests.len();
            requests.push(scope.spawn(move || request(node.address, number)));
            thread::sleep(REQUEST_INTERVAL);
        }
        let answers: Vec<_> = requests
            .into_iter()
            .map(thread::ScopedJoinHandle::join)
            .collect();
        stop.store(true, Ordering::Relaxed);
        answers.into_iter().map(Result::unwrap).collect()
    });
    let late: Vec<_> = answers
        .iter()
        .filter(|(_, took)| *took > LOST_AFTER)
        .collect();
    let rejected = rejected.into_inner();
    assert!(
        late.is_empty(),
        "{} of {}: {late:?}, {rejected} lines rejected",
        late.len(),
        answers.len()
    );
    let served = answers
        .iter()
        .filter(|(answer, _)| answer.starts_with("UP"))
        .count();
    assert!(
        served * 2 > answers.len(),
        "{served} of {}: {answers:?}",
        answers.len()
    );
    assert!(
        rejected >= BAD_CLIENTS,
        "only {rejected} lines rejected: too tame"
    );
}
