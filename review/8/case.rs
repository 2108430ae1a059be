//! Two tiers, discovery that is crowded for 8 s, and a host that begins to drain meanwhile.
#[path = "../stand-ins-2/common.rs"]
mod common;
use common::*;
use std::net::SocketAddr;
use std::time::Instant;

/// The grace of a drain in the settings.
const GRACE_MS: u64 = 300;
/// A change counts as told 6 s after discovery had it and could be reached; each limit is 50 ms longer on sockets.
const TOLD_MS: u64 = 6000 + 50;

fn main() {
    run(|platform| {
        let record = platform.record.clone();
        let discovery = Discovery::start(&record);
        let hosts = Hosts::new(&record);
        let (draining, other) = (hosts.start("s-1"), hosts.start("s-2"));
        discovery.set("s-1", draining.address, "active");
        discovery.set("s-2", other.address, "active");
        let ports = free_ports(3);
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let planners = format!("[[planner]]\nname = \"p0\"\naddress = \"{}\"\n", address(ports[0]));
        for (name, listen) in [("p0", ports[1]), ("f0", ports[2])] {
            let config = Config { drain_grace: GRACE_MS, ..Config::new(name, address(listen), &discovery) };
            platform.write(&format!("{name}.json"), &config.text());
        }
        platform.write("p0.toml", &format!("papers = \"p0.json\"\n[plan]\nname = \"p0\"\n{planners}"));
        platform.write("f0.toml", &format!("papers = \"f0.json\"\n[forward]\n{planners}"));
        let file = |name: &str| platform.folder.join(name).display().to_string();
        let planner = platform.start("p0", &format!("plan --config {}", file("p0.toml")), &[]);
        if !wait_until(ms(10_000), || discovery.calls.load(std::sync::atomic::Ordering::SeqCst) > 0) {
            return Verdict::CouldNotRun(format!("the planner follows no discovery: {}", planner.log()));
        }
        let forwarder = platform.start("f0", &format!("forward --config {}", file("f0.toml")), &[]);
        if !forwarder.wait_for_log("following planner", 1, ms(10_000)) {
            return Verdict::CouldNotRun(format!("the forwarder follows no planner: {}", forwarder.log()));
        }
        sleep(500);
        let mut number = 0;
        let mut request = |clients: &mut Vec<Client>| {
            number += 1;
            let line = format!("OPEN c{number} {:x} c=chat,t=acme,d=2000", 0xa000 + number);
            let (client, answer) = ask(&record, &format!("client {number}"), address(ports[2]), &line, ms(2500));
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
            discovery.answer(Answers::Busy);
            sleep(200);
        }
        discovery.set("s-1", draining.address, "leaving");
        let changed = Instant::now();
        while changed.elapsed() < ms(7600) {
            sleep(150);
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
        let said: Vec<String> = planner.log().lines().filter(|l| l.contains("discovery call failed")).map(String::from).collect();
        platform.note(format!("the planner's log says {} times that a call failed", said.len()));
        if late.is_empty() {
            Verdict::Held
        } else {
            Verdict::Broken(format!("{} new requests went to a draining host", late.len()))
        }
    })
}
