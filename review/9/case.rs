//! Two tiers, and a new configuration that gives a class a stricter effect, taken up by the forwarder first.
#[path = "../stand-ins-2/common.rs"]
mod common;
use common::*;
use std::net::SocketAddr;

fn main() {
    run(|platform| {
        let record = platform.record.clone();
        let discovery = Discovery::start(&record);
        let hosts = Hosts::new(&record);
        let handles = [hosts.start("s-1"), hosts.start("s-2")];
        for (cell, host) in handles.iter().enumerate() {
            discovery.set_in_cell(&host.name, host.address, "active", cell as u32);
        }
        let ports = free_ports(3);
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let planners = format!("[[planner]]\nname = \"p0\"\naddress = \"{}\"\n", address(ports[0]));
        let write = |platform: &Platform, offerings: &str| {
            for (name, listen) in [("p0", ports[1]), ("f0", ports[2])] {
                let config = Config { offerings: offerings.to_string(), ..Config::new(name, address(listen), &discovery) };
                platform.write(&format!("{name}.json"), &config.text());
            }
        };
        platform.write("p0.toml", &format!("papers = \"p0.json\"\n[plan]\nname = \"p0\"\n{planners}"));
        platform.write("f0.toml", &format!("papers = \"f0.json\"\n[forward]\n{planners}"));
        let file = |name: &str| platform.folder.join(name).display().to_string();
        let (plan, forward) = (format!("plan --config {}", file("p0.toml")), format!("forward --config {}", file("f0.toml")));

        // The old configuration: the class may run again anywhere.
        write(platform, &offering("order", "free", 2000));
        let mut planner = platform.start("p0", &plan, &[]);
        let forwarder = platform.start("f0", &forward, &[]);
        if !forwarder.wait_for_log("following planner", 1, ms(10_000)) {
            return Verdict::CouldNotRun(format!("the forwarder follows no planner: {}", forwarder.log()));
        }
        sleep(500);
        let (client, answer) = ask(&record, "client a", address(ports[2]), "OPEN a1 00aa c=order,t=acme,d=2000", ms(2500));
        if !answer.is_some_and(|answer| answer.starts_with("UP")) {
            return Verdict::CouldNotRun("requests are not served".into());
        }
        drop(client);

        // The new one: only the hosts of one cell drop each other's repeats.
        record.note("new configuration: `order` becomes `guarded`, group `cell`, window 5 s");
        write(platform, &offering_in_group("order", "guarded", "cell", 2000));
        if !trouble() {
            platform.signal(&planner, TERM);
            sleep(1200);
            planner = platform.start("p0", &plan, &[]);
            if !planner.wait_for_log("started", 1, ms(5000)) {
                return Verdict::CouldNotRun("the planner did not start again".into());
            }
        }
        platform.signal(&forwarder, TERM);
        if !wait_until(ms(4000), || platform.exited(&forwarder).is_some()) {
            return Verdict::CouldNotRun("the forwarder did not stop".into());
        }
        let forwarder = platform.start("f0", &forward, &[]);
        if !forwarder.wait_for_log("started", 1, ms(5000)) {
            return Verdict::CouldNotRun("the forwarder did not start again".into());
        }
        sleep(1500);
        for host in &handles {
            host.behave(Host::BreaksOnce, &record);
        }
        let mut outside = 0;
        for n in 0..5 {
            let key = format!("b{n}");
            let line = format!("OPEN c{n} {key} c=order,t=acme,d=2000");
            ask(&record, &format!("client {n}"), address(ports[2]), &line, ms(2500));
            let arrivals = hosts.with_key(&key);
            let repeated = arrivals.iter().skip(1).filter(|a| a.host != arrivals[0].host).count();
            if repeated > 0 {
                record.note(format!("key {key}: may have run at {}, sent again to {}", arrivals[0].host, arrivals[1].host));
            }
            outside += repeated;
        }
        record.note(format!("log of the forwarder: {}", forwarder.log().lines().filter(|l| l.contains("planner")).collect::<Vec<_>>().join(" | ")));
        let _ = planner;
        if outside > 0 {
            Verdict::Broken(format!("{outside} requests that may have run were sent again to a host of another cell"))
        } else {
            Verdict::Held
        }
    })
}
