//! Usual clients beside bad ones, whose first lines have as many fields as fit into 4 KiB.
#[path = "../stand-ins-2/common.rs"]
mod common;
use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How many bad clients there are at a time.
fn bad_clients() -> usize {
    std::env::var("BAD").ok().and_then(|n| n.parse().ok()).unwrap_or(300)
}
/// How long they go on.
const BAD_MS: u64 = 10_000;
/// How long a usual client waits for its answer.
const EXPIRY_MS: u64 = 800;
/// A request is lost if it has no answer half a second after its time; on sockets 50 ms more.
const LOST_MS: u64 = EXPIRY_MS + 500 + 50;

/// A first line of a class that does not exist, with about 940 fields, each under a name of its own. It is under 4 KiB long.
fn bad_line(number: usize) -> String {
    let mut line = format!("OPEN bad{number} 7f3a c=none,t=acme,d=2000");
    let letters = || ('b'..='z').chain('B'..='Z');
    'all: for first in letters() {
        for second in letters() {
            if line.len() + 4 > 4000 {
                break 'all;
            }
            line.push_str(&format!(",{first}{second}="));
        }
    }
    if std::env::var("SHORT").is_ok() {
        line = format!("OPEN bad{number} 7f3a c=none,t=acme,d=2000");
    }
    line + "\r\n"
}

fn main() {
    run(|platform| {
        let record = platform.record.clone();
        let discovery = Discovery::start(&record);
        let hosts = Hosts::new(&record);
        for name in ["s-1", "s-2"] {
            let host = hosts.start(name);
            discovery.set(name, host.address, "active");
        }
        let listen = SocketAddr::from(([127, 0, 0, 1], free_ports(1)[0]));
        let config = Config { offerings: offering("chat", "free", EXPIRY_MS), ..Config::new("n0", listen, &discovery) };
        let file = platform.write("n0.json", &config.text());
        let node = platform.start("n0", "", &[("GW_CONFIG", file.display().to_string())]);
        if !node.wait_for_log("started", 1, ms(10_000)) {
            return Verdict::CouldNotRun(format!("the node did not start: {}", node.log()));
        }
        sleep(1000);
        let mut number = 0;
        let mut start_usual = |joined: &mut Vec<std::thread::JoinHandle<(u32, Option<u128>, String)>>| {
            number += 1;
            let (record, n) = (record.clone(), number);
            joined.push(std::thread::spawn(move || {
                let sent = Instant::now();
                let line = format!("OPEN c{n} {:x} c=chat,t=acme,d={EXPIRY_MS}", 0xa000 + n);
                let (client, answer) = ask(&record, &format!("client {n}"), listen, &line, ms(8000));
                let after = sent.elapsed().as_millis();
                sleep(200);
                drop(client);
                (n, answer.is_some().then_some(after), answer.unwrap_or_default())
            }));
        };
        let mut usual = Vec::new();
        for _ in 0..3 {
            start_usual(&mut usual);
            sleep(200);
        }
        let (stop, lines) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        if trouble() {
            record.note(format!("{} bad clients begin, first lines of {} bytes", bad_clients(), bad_line(100).len()));
            for number in 0..bad_clients() {
                let (stop, lines) = (stop.clone(), lines.clone());
                std::thread::spawn(move || {
                    let line = bad_line(100 + number);
                    while !stop.load(Ordering::SeqCst) {
                        // The same again as soon as it is turned away; it reads what it is sent.
                        let Ok(mut stream) = TcpStream::connect(listen) else { continue };
                        let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
                        if stream.write_all(line.as_bytes()).is_ok() {
                            let mut answer = Vec::new();
                            let _ = stream.read_to_end(&mut answer);
                            lines.fetch_add(1, Ordering::SeqCst);
                        }
                    }
                });
            }
        }
        let begun = Instant::now();
        while begun.elapsed() < ms(BAD_MS) {
            start_usual(&mut usual);
            sleep(200);
        }
        let answered = lines.load(Ordering::SeqCst);
        record.note(format!("bad clients were turned away {answered} times in {BAD_MS} ms"));
        let mut ends: Vec<(u32, Option<u128>, String)> = Vec::new();
        for thread in usual {
            ends.extend(thread.join().ok());
        }
        stop.store(true, Ordering::SeqCst);
        let lost = ends.iter().filter(|(_, after, _)| after.is_none_or(|after| after > u128::from(LOST_MS))).count();
        let slowest = ends.iter().filter_map(|(_, after, _)| *after).max();
        record.note(format!(
            "{} usual requests, {lost} without an answer {LOST_MS} ms after they were sent, slowest answer {slowest:?} ms",
            ends.len()
        ));
        if lost > 0 {
            Verdict::Broken(format!("{lost} of {} usual requests were lost", ends.len()))
        } else {
            Verdict::Held
        }
    })
}
