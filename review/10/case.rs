//! Two tiers: a planner dies and starts again while a host drains.
#[path = "../stand-ins-2/common.rs"]
mod common;
use common::*;
use std::net::SocketAddr;
use std::time::Instant;

/// The grace of a drain in the settings, and the 50 ms that each limit is longer on sockets.
const GRACE_MS: u64 = 300;
const SLACK_MS: u64 = 50;

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
        let plan = format!("plan --config {}", file("p0.toml"));
        let planner = platform.start("p0", &plan, &[]);
        let forwarder = platform.start("f0", &format!("forward --config {}", file("f0.toml")), &[]);
        if !forwarder.wait_for_log("following planner", 1, ms(10_000)) {
            return Verdict::CouldNotRun(format!("the forwarder follows no planner: {}", forwarder.log()));
        }
        sleep(2000);
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
        discovery.set("s-1", draining.address, "leaving");
        if !forwarder.wait_for_log("host drains", 1, ms(2000)) {
            return Verdict::CouldNotRun("the forwarder was not told of the drain".into());
        }
        let told = Instant::now();
        record.note("the forwarder's log says that s-1 drains");
        sleep(11_000);
        for _ in 0..3 {
            request(&mut clients);
        }
        if trouble() {
            platform.signal(&planner, KILL);
            platform.start("p0", &plan, &[]);
        }
        let died = Instant::now();
        while died.elapsed() < ms(3000) {
            request(&mut clients);
            sleep(20);
        }
        let late: Vec<u128> = hosts
            .arrivals
            .lock()
            .unwrap()
            .iter()
            .filter(|a| a.host == "s-1")
            .filter_map(|a| a.at.checked_duration_since(told))
            .filter(|after| *after > ms(GRACE_MS + SLACK_MS))
            .map(|after| after.as_millis())
            .collect();
        record.note(format!("new requests at s-1, ms after the forwarder was told that it drains: {late:?}"));
        if late.is_empty() {
            Verdict::Held
        } else {
            Verdict::Broken(format!("{} new requests went to a host of whose drain the forwarder had been told", late.len()))
        }
    })
}
