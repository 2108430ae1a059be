//! A single node whose lists are pushed, discovery that is slow for 3 s, and a host that begins to drain meanwhile.
#[path = "../stand-ins-2/common.rs"]
mod common;
use common::*;
use std::net::SocketAddr;
use std::time::Instant;

/// The grace of a drain in the settings.
const GRACE_MS: u64 = 300;
/// Where lists are pushed, what discovery has counts as told at once; each limit is 50 ms longer on sockets.
const TOLD_MS: u64 = 50;
/// How long discovery is slow.
const BUSY_MS: u64 = 3000;

fn main() {
    run(|platform| {
        let record = platform.record.clone();
        let discovery = Discovery::start(&record);
        let hosts = Hosts::new(&record);
        let (draining, other) = (hosts.start("s-1"), hosts.start("s-2"));
        discovery.set("s-1", draining.address, "active");
        discovery.set("s-2", other.address, "active");
        let ports = free_ports(1);
        let listen = SocketAddr::from(([127, 0, 0, 1], ports[0]));
        let config = Config { drain_grace: GRACE_MS, registry_mode: "pushed".to_string(), ..Config::new("n0", listen, &discovery) };
        let file = platform.write("n0.json", &config.text());
        // The known list is one revision old, so the node's first call is answered at once.
        discovery.set("s-2", other.address, "active");
        let node = platform.start("n0", "", &[("GW_CONFIG", file.display().to_string())]);
        if !node.wait_for_log("started", 1, ms(10_000)) {
            return Verdict::CouldNotRun(format!("the node did not start: {}", node.log()));
        }
        if !wait_until(ms(12_000), || discovery.calls.load(std::sync::atomic::Ordering::SeqCst) > 0) {
            return Verdict::CouldNotRun("the node follows no discovery".into());
        }
        sleep(4000);
        let mut number = 0;
        let mut request = |clients: &mut Vec<Client>| {
            number += 1;
            let line = format!("OPEN c{number} {:x} c=chat,t=acme,d=2000", 0xa000 + number);
            let (client, answer) = ask(&record, &format!("client {number}"), listen, &line, ms(2500));
            clients.extend(client);
            answer
        };
        let mut clients = Vec::new();
        for _ in 0..6 {
            if !request(&mut clients).is_some_and(|answer| answer.starts_with("UP")) {
                return Verdict::CouldNotRun("requests are not served before the disruption".into());
            }
        }
        if trouble() {
            discovery.answer(Answers::Slow);
            sleep(200);
        }
        discovery.set("s-1", draining.address, "leaving");
        let changed = Instant::now();
        while changed.elapsed() < ms(BUSY_MS - 400) {
            sleep(50);
            if changed.elapsed() > ms(TOLD_MS + GRACE_MS) {
                request(&mut clients);
            }
        }
        discovery.answer(Answers::Lists);
        sleep(300);
        let late: Vec<u128> = hosts
            .arrivals
            .lock()
            .unwrap()
            .iter()
            .filter(|a| a.host == "s-1")
            .filter_map(|a| a.at.checked_duration_since(changed))
            .filter(|after| *after > ms(TOLD_MS + GRACE_MS))
            .map(|after| after.as_millis())
            .collect();
        platform.note(format!("new requests at s-1 after it was told and the grace, ms after the change: {late:?}"));
        let said: Vec<String> = node.log().lines().filter(|l| l.contains("discovery call failed")).map(String::from).collect();
        platform.note(format!("the node's log says {} times that a call failed", said.len()));
        if late.is_empty() {
            Verdict::Held
        } else {
            Verdict::Broken(format!("{} new requests went to a draining host", late.len()))
        }
    })
}
