//! A request that must not run twice, in a fleet with request records, after a new configuration.
#[path = "../stand-ins-2/common.rs"]
mod common;
use common::*;
use std::net::SocketAddr;
use std::time::Instant;

const LIFE_MS: u64 = 8000;

fn old_classes() -> String {
    [offering("chat", "free", 2000), offering("pay", "single_shot", 2000)].join(",")
}

/// The class `news` is new; `chat` and `pay` are as before.
fn new_classes() -> String {
    [offering("chat", "free", 2000), offering("news", "free", 2000), offering("pay", "single_shot", 2000)].join(",")
}

fn main() {
    run(|platform| {
        let record = platform.record.clone();
        let discovery = Discovery::start(&record);
        let hosts = Hosts::new(&record);
        let host = hosts.start("s-1");
        discovery.set("s-1", host.address, "active");
        let ports = free_ports(9);
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let write = |platform: &Platform, n: usize, offerings: String| {
            let config = Config {
                ops: Some(address(ports[3 + n])),
                balancers: 3,
                index: n,
                peers: true,
                offerings,
                ..Config::new(&format!("n{n}"), address(ports[n]), &discovery)
            };
            platform.write(&format!("n{n}.json"), &config.text());
            platform.write(
                &format!("n{n}.toml"),
                &format!(
                    "papers = \"n{n}.json\"\n[fleet]\naddress = \"{}\"\nseeds = [{}]\nperiod = \"200ms\"\n[fleet.wards]\nlife = \"{LIFE_MS}ms\"\nwithin = \"200ms\"\n",
                    address(ports[6 + n]),
                    (0..3).filter(|other| *other != n).map(|other| format!("\"{}\"", address(ports[6 + other])))
                        .collect::<Vec<_>>().join(", ")
                ),
            )
        };
        let start = |platform: &Platform, n: usize| {
            let arguments = format!("node --config {}", platform.folder.join(format!("n{n}.toml")).display());
            platform.start(&format!("n{n}"), &arguments, &[])
        };
        let alive = |n: usize| {
            call(address(ports[3 + n]), "/status/fleet")
                .map_or(0, |body| body.matches("at work").count())
        };
        let mut nodes = Vec::new();
        for n in 0..3 {
            write(platform, n, old_classes());
            nodes.push(start(platform, n));
        }
        for node in &nodes {
            if !node.wait_for_log("started", 1, ms(10_000)) {
                return Verdict::CouldNotRun(format!("{} did not start: {}", node.name, node.log()));
            }
        }
        // A node that starts has no vote for `life`.
        sleep(LIFE_MS + 2000);
        platform.note(format!("fleet view of n0: {:?}", call(address(ports[3]), "/status/fleet")));
        let _ = alive;
        let (client, answer) = ask(&record, "client a at n0", address(ports[0]), "OPEN a1 00aa c=pay,t=acme,d=2000", ms(2500));
        if !answer.is_some_and(|answer| answer.starts_with("UP")) {
            return Verdict::CouldNotRun("the fleet does not serve the class that must not run twice".into());
        }
        drop(client);
        if trouble() {
            platform.note("new configuration: a class `news` between `chat` and `pay`, both unchanged");
            for n in 0..3 {
                write(platform, n, new_classes());
                platform.signal(&nodes[n], HUP);
                if !nodes[n].wait_for_log("configuration reloaded", 1, ms(5000)) {
                    return Verdict::CouldNotRun(format!("{} did not reload", nodes[n].name));
                }
            }
            sleep(1500);
        }
        host.behave(Host::Hangs, &record);
        let mut client = match Client::connect(&record, "client b at n0", address(ports[0])) {
            Ok(client) => client,
            Err(error) => return Verdict::CouldNotRun(error.to_string()),
        };
        client.send("OPEN b1 00bb c=pay,t=acme,d=2000");
        if !wait_until(ms(1500), || hosts.with_key("00bb").len() == 1) {
            return Verdict::CouldNotRun("the request did not reach its host".into());
        }
        let sent = Instant::now();
        platform.signal(&nodes[0], KILL);
        client.receive(ms(2000));
        nodes[0] = start(platform, 0);
        if !nodes[0].wait_for_log("started", 1, ms(5000)) {
            return Verdict::CouldNotRun("n0 did not start again".into());
        }
        // The client comes again, through the front, until it has an answer that is final, or until `life` is nearly over.
        let mut last = None;
        sleep(1000);
        for n in 1.. {
            if sent.elapsed() > ms(LIFE_MS - 2500) {
                break;
            }
            let line = format!("OPEN b{} 00bb c=pay,t=acme,d=2000,r=1,again=1", n + 1);
            let (_, answer) = ask(&record, "client b at n0", address(ports[0]), &line, ms(2500));
            last = answer;
            if !last.as_deref().is_some_and(|answer| answer.starts_with("BUSY")) {
                break;
            }
            sleep(400);
        }
        let arrivals = hosts.with_key("00bb");
        platform.note(format!(
            "the request with key 00bb reached its host {} times, {} ms after the first time at the latest; last answer {last:?}",
            arrivals.len(),
            arrivals.last().map_or(0, |a| a.at.duration_since(arrivals[0].at).as_millis())
        ));
        if arrivals.len() > 1 {
            return Verdict::Broken(format!("a request that must not run twice reached its host {} times", arrivals.len()));
        }
        if !last.is_some_and(|answer| answer.starts_with("ERR")) {
            return Verdict::CouldNotRun("the second request had no final answer that tells".into());
        }
        Verdict::Held
    })
}
