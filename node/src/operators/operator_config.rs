//! The operator's file: in which role the program runs, and the terms of that role. It owns the form of
//! that file, its units and what contradicts what. It must never let a program start, or go on with, a
//! file that is not in order throughout: whatever is wrong is one line that names the place and what
//! would be right.

use crate::operators::files;
use crate::operators::node_config::NodeConfig;
use crate::peers::{FleetConfig, GossipConfig, ReplicationConfig};
use reedferry::{Nanos, MILLI, SECOND};
use reedferry_control_plane::PlannerAddress;
use serde::Deserialize;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use toml::Spanned;

/// What a planner's word is under the grace for drains, where the file does not say.
const MARGIN: Nanos = 50 * MILLI;
const SHORTEST_LEASE: Nanos = 40 * MILLI;
const LONGEST_LEASE: Nanos = 2 * SECOND;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Sheet {
    #[serde(rename = "papers")]
    node_config: Spanned<PathBuf>,
    #[serde(rename = "node")]
    node: Option<Spanned<NodeSheet>>,
    #[serde(rename = "forward")]
    forward: Option<Spanned<ForwardSheet>>,
    #[serde(rename = "plan")]
    plan: Option<Spanned<PlanSheet>>,
    #[serde(default)]
    #[serde(rename = "planner")]
    planner: Vec<Spanned<PlannerSheet>>,
    #[serde(default)]
    #[serde(rename = "peer")]
    peer: Vec<Spanned<PeerSheet>>,
    #[serde(rename = "fleet")]
    fleet: Option<Spanned<FleetSheet>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NodeSheet {
    #[serde(rename = "messages")]
    messages: Option<Spanned<String>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PeerSheet {
    #[serde(rename = "address")]
    address: Spanned<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FleetSheet {
    #[serde(rename = "address")]
    address: Spanned<String>,
    #[serde(rename = "listen")]
    listen: Option<Spanned<String>>,
    #[serde(rename = "name")]
    name: Option<String>,
    #[serde(rename = "seeds")]
    seeds: Vec<Spanned<String>>,
    #[serde(rename = "period")]
    period: Option<Spanned<String>>,
    #[serde(rename = "most")]
    most: Option<Spanned<usize>>,
    #[serde(rename = "wards")]
    wards: Option<WardSheet>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct WardSheet {
    #[serde(rename = "life")]
    life: Option<Spanned<String>>,
    #[serde(rename = "within")]
    within: Option<Spanned<String>>,
    #[serde(rename = "most")]
    most: Option<Spanned<usize>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ForwardSheet {
    #[serde(rename = "lease")]
    lease: Option<Spanned<String>>,
    #[serde(rename = "decide_within")]
    decide_within: Option<Spanned<String>>,
    #[serde(rename = "most_asked")]
    most_asked: Option<Spanned<usize>>,
    #[serde(rename = "settle")]
    settle: Option<Spanned<String>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PlanSheet {
    #[serde(rename = "name")]
    name: Spanned<String>,
    #[serde(rename = "listen")]
    listen: Option<Spanned<String>>,
    #[serde(rename = "silent")]
    silent: Option<Spanned<String>>,
    #[serde(rename = "settle")]
    settle: Option<Spanned<String>>,
    #[serde(rename = "most_held")]
    most_held: Option<Spanned<usize>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PlannerSheet {
    #[serde(rename = "name")]
    name: String,
    #[serde(rename = "address")]
    address: Spanned<String>,
}

/// The terms of a forwarder.
#[derive(Clone, Debug, PartialEq)]
pub struct Forwards {
    pub lease: Nanos,
    pub decide_within: Nanos,
    pub most_asked: usize,
    pub settle: Nanos,
}

/// The terms of a planner.
#[derive(Clone, Debug, PartialEq)]
pub struct Plans {
    pub name: String,
    pub place: u32,
    pub listen: SocketAddr,
    pub silent: Nanos,
    pub settle: Nanos,
    pub most_held: usize,
}

#[derive(Debug, PartialEq)]
pub enum Role {
    Node(Option<GossipConfig>),
    Forward(Forwards),
    Plan(Plans),
}

impl Role {
    /// The command that starts it.
    pub fn word(&self) -> &'static str {
        match self {
            Role::Node(_) => "node",
            Role::Forward(_) => "forward",
            Role::Plan(_) => "plan",
        }
    }
}

pub struct OperatorConfig {
    pub node_config: NodeConfig,
    pub node_config_path: PathBuf,
    pub role: Role,
    pub planners: Vec<PlannerAddress>,
}

/// The text of a file, to name places in it by line.
struct Text<'a> {
    path: &'a Path,
    text: &'a str,
}

type Span = std::ops::Range<usize>;

impl Text<'_> {
    fn wrong(&self, span: Span, what: impl std::fmt::Display) -> String {
        let before = &self.text.as_bytes()[..span.start.min(self.text.len())];
        let line = 1 + before.iter().filter(|b| **b == b'\n').count();
        format!("{}:{line}: {what}", self.path.display())
    }

    fn span(
        &self,
        name: &str,
        text: Option<Spanned<String>>,
        or: Nanos,
        range: (Nanos, Nanos),
    ) -> Result<Nanos, String> {
        let Some(text) = text else { return Ok(or) };
        let (at, text) = (text.span(), text.into_inner());
        let shown =
            |n: Nanos| humantime::format_duration(std::time::Duration::from_nanos(n)).to_string();
        let span = humantime::parse_duration(&text).map_err(|_| {
            self.wrong(
                at.clone(),
                format!("{name} is {text:?}, not a time with its unit, such as \"250ms\""),
            )
        })?;
        let span = Nanos::try_from(span.as_nanos()).unwrap_or(Nanos::MAX);
        if !(range.0..=range.1).contains(&span) {
            let (least, most) = (shown(range.0), shown(range.1));
            return Err(self.wrong(
                at,
                format!("{name} is {text}, not between {least} and {most}"),
            ));
        }
        Ok(span)
    }

    fn count(
        &self,
        name: &str,
        count: Option<Spanned<usize>>,
        or: usize,
        most: usize,
    ) -> Result<usize, String> {
        match count {
            Some(count) if !(1..=most).contains(count.get_ref()) => {
                let what = format!("{name} is {}, not between 1 and {most}", count.get_ref());
                Err(self.wrong(count.span(), what))
            }
            Some(count) => Ok(count.into_inner()),
            None => Ok(or),
        }
    }

    fn address(&self, name: &str, text: &Spanned<String>) -> Result<SocketAddr, String> {
        let what = || {
            format!(
                "{name} {:?} is no address with a port, such as \"127.0.0.1:7000\"",
                text.get_ref()
            )
        };
        text.get_ref()
            .parse()
            .map_err(|_| self.wrong(text.span(), what()))
    }
}

/// The peers that a node's messages go to, by its papers, where its own come and go, and their addresses.
/// Neither without the other: leave to tell with nobody to reach, or peers without leave, is a mix of two
/// shapes of deployment.
///
/// # Errors
/// What is wrong, and at which of the peers where it is one of them.
pub fn reach(
    node_config: &NodeConfig,
    at: Option<SocketAddr>,
    peers: &[SocketAddr],
) -> Result<Option<GossipConfig>, (Option<usize>, String)> {
    if !node_config.balancer_settings.gossip_enabled {
        return match (at, peers) {
            (None, []) => Ok(None),
            _ => Err((
                None,
                "peers without leave: policy_limits.peers in the papers is false".into(),
            )),
        };
    }
    let Some(at) = at else {
        return Err((
            None,
            "policy_limits.peers: messages in [node] of an operator's file is missing".into(),
        ));
    };
    if peers.is_empty() {
        return Err((
            None,
            "policy_limits.peers: messages are allowed and there is no [[peer]]".into(),
        ));
    }
    for (n, peer) in peers.iter().enumerate() {
        let wrong = |what: &str| Err((Some(n), format!("peer {peer} {what}")));
        if peer.port() == 0 || peer.ip().is_unspecified() || peer.is_ipv4() != at.is_ipv4() {
            return wrong("cannot be reached from messages");
        }
        if *peer == at {
            return wrong("is this node itself");
        }
        if peers[..n].contains(peer) {
            return wrong("stands here twice");
        }
        if n + 1 >= node_config.balancer_settings.node_count as usize {
            return wrong("is one too many: settings.balancers counts this node and all its peers");
        }
    }
    Ok(Some(GossipConfig {
        listen: at,
        peers: peers.to_vec(),
        fleet: None,
    }))
}

impl OperatorConfig {
    /// # Errors
    /// One line with the file, the line and what would be right there.
    pub fn read(path: &Path) -> Result<OperatorConfig, String> {
        let text = String::from_utf8(files::read(path)?)
            .map_err(|_| format!("cannot read {}: no text", path.display()))?;
        OperatorConfig::decode(path, &text)
    }

    fn decode(path: &Path, text: &str) -> Result<OperatorConfig, String> {
        let text = Text { path, text };
        let sheet: Sheet = toml::from_str(text.text).map_err(|e| {
            let first = e
                .message()
                .lines()
                .next()
                .unwrap_or("cannot be read")
                .to_string();
            text.wrong(e.span().unwrap_or(0..0), first)
        })?;
        let at = sheet.node_config.span();
        let node_config_path = path
            .parent()
            .unwrap_or(Path::new("."))
            .join(sheet.node_config.into_inner());
        let node_config = NodeConfig::read_at(&node_config_path)
            .map_err(|e| text.wrong(at.clone(), String::from(e)))?;
        let planners = Self::planners(&text, &sheet.planner)?;
        let grace = node_config.node_settings.drain_grace;
        let mut roles: Vec<Span> = [
            sheet.node.as_ref().map(Spanned::span),
            sheet.forward.as_ref().map(Spanned::span),
            sheet.plan.as_ref().map(Spanned::span),
        ]
        .into_iter()
        .flatten()
        .collect();
        roles.sort_by_key(|span| span.start);
        if let [_, second, ..] = &roles[..] {
            return Err(text.wrong(
                second.clone(),
                "a second role; one of [node], [forward] and [plan] is wanted",
            ));
        }
        let messages = sheet
            .node
            .as_ref()
            .and_then(|part| part.get_ref().messages.as_ref());
        let messages = messages.map(|m| text.address("messages", m)).transpose()?;
        let peers: Vec<SocketAddr> = sheet
            .peer
            .iter()
            .map(|p| text.address("address", &p.get_ref().address))
            .collect::<Result<_, _>>()?;
        let single = sheet.forward.is_none() && sheet.plan.is_none();
        let fleet_at = sheet.fleet.as_ref().map(Spanned::span);
        let fleet = sheet
            .fleet
            .map(|part| Self::fleet(&text, part, &node_config))
            .transpose()?;
        if let (Some(fleet_at), true) = (
            &fleet_at,
            !single || messages.is_some() || !peers.is_empty(),
        ) {
            let what =
                "fleet: only a node takes part, with neither messages nor [[peer]]: members are its peers";
            return Err(text.wrong(fleet_at.clone(), what));
        }
        if let (false, Some(peer)) = (single, sheet.peer.first()) {
            return Err(text.wrong(
                peer.span(),
                "peer: only a node has peers; planners hear their forwarders",
            ));
        }
        if !single && node_config.balancer_settings.gossip_enabled {
            return Err(text.wrong(
                at,
                "policy_limits.peers: forwarders and planners send no messages",
            ));
        }
        let role = match (sheet.forward, sheet.plan) {
            (Some(part), _) => {
                let (span, part) = (part.span(), part.into_inner());
                if planners.is_empty() {
                    return Err(text.wrong(span, "a forwarder needs a [[planner]] or more"));
                }
                Role::Forward(Self::forwards(&text, span, part, grace)?)
            }
            (None, Some(part)) => Role::Plan(Self::plans(&text, part.into_inner(), &planners)?),
            (None, None) => {
                if let Some(planner) = sheet.planner.first() {
                    return Err(text.wrong(
                        planner.span(),
                        "a node follows no planner; [forward] or [plan] is wanted",
                    ));
                }
                let place = |n: Option<usize>| {
                    let named = n
                        .or((!sheet.peer.is_empty()).then_some(0))
                        .map(|n| sheet.peer[n].span());
                    named
                        .or(sheet.node.as_ref().map(Spanned::span))
                        .unwrap_or(at.clone())
                };
                let correspondence = match fleet {
                    Some(fleet) => Some(GossipConfig {
                        listen: fleet.listen,
                        peers,
                        fleet: Some(fleet),
                    }),
                    None => {
                        let reach = reach(&node_config, messages, &peers);
                        reach.map_err(|(n, why)| text.wrong(place(n), why))?
                    }
                };
                Role::Node(correspondence)
            }
        };
        Ok(OperatorConfig {
            node_config,
            node_config_path,
            role,
            planners,
        })
    }

    fn fleet(
        text: &Text,
        sheet: Spanned<FleetSheet>,
        node_config: &NodeConfig,
    ) -> Result<FleetConfig, String> {
        let (span, part) = (sheet.span(), sheet.into_inner());
        if !node_config.balancer_settings.gossip_enabled {
            return Err(text.wrong(span, "fleet: policy_limits.peers in the papers is false"));
        }
        let address = text.address("address", &part.address)?;
        let listen = part
            .listen
            .as_ref()
            .map(|l| text.address("listen", l))
            .transpose()?
            .unwrap_or(address);
        let reached = |at: SocketAddr| at.port() != 0 && !at.ip().is_unspecified();
        if !reached(address) || listen.is_ipv4() != address.is_ipv4() {
            return Err(text.wrong(
                part.address.span(),
                format!("address {address} can't be reached by others"),
            ));
        }
        let mut seeds = Vec::new();
        for seed in &part.seeds {
            let at = text.address("seed", seed)?;
            if !reached(at) || at.is_ipv4() != address.is_ipv4() || seeds.contains(&at) {
                return Err(text.wrong(
                    seed.span(),
                    format!("seed {at} can't be reached, or stands here twice"),
                ));
            }
            seeds.push(at);
        }
        let name = part.name.unwrap_or_default();
        if [&name, &node_config.name]
            .into_iter()
            .any(|n| n.len() > reedferry_membership::MAX_NAME_BYTES)
            || node_config.name.is_empty()
        {
            return Err(text.wrong(
                span,
                "a fleet's name has 64 bytes at most, a node's 1 to 64",
            ));
        }
        let period = text.span("period", part.period, SECOND, (50 * MILLI, 60 * SECOND))?;
        let most = text.count("most", part.most, 1024, 1 << 16)?;
        let wards = part.wards.map(|part| {
            let life = text.span("life", part.life, 60 * SECOND, (SECOND, 3600 * SECOND))?;
            let within = text.span("within", part.within, 50 * MILLI, (5 * MILLI, SECOND))?;
            let most = text.count("most", part.most, 1 << 16, 1 << 22)?;
            Ok::<_, String>(ReplicationConfig {
                retention: life,
                majority_timeout: within,
                max_records: most,
            })
        });
        let wards = wards.transpose()?;
        Ok(FleetConfig {
            address,
            listen,
            name,
            seeds,
            period,
            max_members: most,
            replication: wards,
        })
    }

    fn planners(
        text: &Text,
        sheets: &[Spanned<PlannerSheet>],
    ) -> Result<Vec<PlannerAddress>, String> {
        let (mut names, mut addresses, mut planners) = (HashSet::new(), HashSet::new(), Vec::new());
        for sheet in sheets {
            let PlannerSheet { name, address: at } = sheet.get_ref();
            let address = text.address("address", at)?;
            if name.is_empty() || name.len() > reedferry_control_plane::frames::LONGEST_NAME {
                return Err(text.wrong(sheet.span(), "a planner's name has 1 to 256 bytes"));
            }
            if !names.insert(name.clone()) || !addresses.insert(address) {
                return Err(text.wrong(
                    sheet.span(),
                    format!("planner {name:?} or its address stands here twice"),
                ));
            }
            planners.push(PlannerAddress {
                name: name.clone(),
                address,
            });
        }
        Ok(planners)
    }

    fn forwards(
        text: &Text,
        span: Span,
        part: ForwardSheet,
        grace: Nanos,
    ) -> Result<Forwards, String> {
        let most = grace.saturating_sub(MILLI).min(LONGEST_LEASE);
        let usual = grace.saturating_sub(MARGIN).min(LONGEST_LEASE);
        if usual < SHORTEST_LEASE {
            let grace = grace / MILLI;
            let what = format!(
                "the papers grant {grace} ms for drains; a planner's word needs 90 ms or more"
            );
            return Err(text.wrong(span, what));
        }
        // A word that holds as long as the grace or longer would let new work reach a host that drains.
        let lease = text.span("lease", part.lease, usual, (SHORTEST_LEASE, most))?;
        let least = lease + lease / 4;
        let decide_within = text.span(
            "decide_within",
            part.decide_within,
            least + lease / 4,
            (least, 30 * SECOND),
        )?;
        let settle = text.span("settle", part.settle, 2 * SECOND, (0, 600 * SECOND))?;
        let most_asked = text.count("most_asked", part.most_asked, 1024, 1 << 20)?;
        Ok(Forwards {
            lease,
            decide_within,
            most_asked,
            settle,
        })
    }

    fn plans(text: &Text, part: PlanSheet, planners: &[PlannerAddress]) -> Result<Plans, String> {
        let place = planners.iter().position(|p| p.name == *part.name.get_ref());
        let place = place.ok_or_else(|| {
            let what = format!("{:?} is none of the [[planner]] below", part.name.get_ref());
            text.wrong(part.name.span(), what)
        })?;
        let listen = match &part.listen {
            Some(listen) => text.address("listen", listen)?,
            None => planners[place].address,
        };
        Ok(Plans {
            name: part.name.into_inner(),
            place: place as u32,
            listen,
            silent: text.span("silent", part.silent, SECOND, (100 * MILLI, 60 * SECOND))?,
            settle: text.span("settle", part.settle, 50 * MILLI, (0, 5 * SECOND))?,
            most_held: text.count("most_held", part.most_held, 1 << 16, 1 << 24)?,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const PLANNERS: &str = "[[planner]]\nname = \"p0\"\naddress = \"127.0.0.1:7000\"\n";

    fn read(text: &str) -> Result<OperatorConfig, String> {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy");
        OperatorConfig::decode(&folder.join("x.toml"), text)
    }

    fn wrong(text: &str) -> (usize, String) {
        let why = read(text).err().expect("it was taken");
        let rest = why
            .split("x.toml:")
            .nth(1)
            .unwrap_or_else(|| panic!("no place: {why}"));
        let (line, what) = rest.split_once(": ").unwrap();
        (line.parse().unwrap(), what.to_string())
    }

    #[test]
    fn the_annotated_examples_are_valid_and_say_what_they_are_for() {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy");
        for word in ["node", "forward", "plan"] {
            let operator_config =
                OperatorConfig::read(&folder.join(format!("{word}.example.toml"))).unwrap();
            assert_eq!(operator_config.role.word(), word);
        }
    }

    #[test]
    fn times_have_units_and_a_lease_is_under_the_grace() {
        let head = "papers = \"papers.example.json\"\n[forward]\n";
        let role = |text: &str| read(&format!("{head}{text}{PLANNERS}")).map(|a| a.role);
        let usual = Forwards {
            lease: 250 * MILLI,
            decide_within: 375 * MILLI,
            most_asked: 1024,
            settle: 2 * SECOND,
        };
        assert_eq!(role(""), Ok(Role::Forward(usual)));
        for (text, why) in [
            (
                "lease = \"300ms\"\n",
                "lease is 300ms, not between 40ms and 299ms",
            ),
            ("lease = \"250\"\n", "not a time with its unit"),
            ("lease = 250\n", "invalid type"),
            (
                "lease = \"200ms\"\ndecide_within = \"100ms\"\n",
                "decide_within is 100ms",
            ),
            ("most_asked = 0\n", "between 1 and"),
            ("leese = \"200ms\"\n", "unknown field"),
        ] {
            let (line, what) = wrong(&format!("{head}{text}{PLANNERS}"));
            assert!(
                what.contains(why) && line == 2 + text.lines().count(),
                "{line}: {what}"
            );
        }
    }

    /// A node's file, with papers of five nodes that give leave to send messages or not.
    fn among(name: &str, leave: bool, text: &str) -> Result<OperatorConfig, String> {
        let folder =
            std::env::temp_dir().join(format!("reedferry-articles-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy/papers.example.json");
        let mut node_config: serde_json::Value =
            serde_json::from_slice(&std::fs::read(example).unwrap()).unwrap();
        node_config["settings"]["balancers"] = 4.into();
        node_config["settings"]["policy_limits"]["peers"] = leave.into();
        std::fs::write(folder.join("papers.json"), node_config.to_string()).unwrap();
        let read = OperatorConfig::decode(
            &folder.join("x.toml"),
            &format!("papers = \"papers.json\"\n{text}"),
        );
        std::fs::remove_dir_all(&folder).unwrap();
        read
    }

    /// Guards: a node that is allowed to tell and reaches nobody, or reaches whom it may not tell.
    #[test]
    fn messages_and_peers_come_together_or_not_at_all() {
        let node = "[node]\nmessages = \"127.0.0.1:7100\"\n";
        let peer = |at: &str| format!("[[peer]]\naddress = \"{at}\"\n");
        let (one, two) = (peer("127.0.0.1:7101"), peer("127.0.0.1:7102"));
        let good = among("good", true, &format!("{node}{one}{two}")).unwrap();
        let Role::Node(Some(correspondence)) = good.role else {
            panic!("no correspondence")
        };
        assert_eq!(
            (correspondence.listen.port(), correspondence.peers.len()),
            (7100, 2)
        );
        assert_eq!(
            among("none", false, "[node]\n").unwrap().role,
            Role::Node(None)
        );
        let forward = format!("[forward]\n{PLANNERS}");
        for (leave, text, why) in [
            (
                true,
                "[node]\n".into(),
                "policy_limits.peers: messages in [node]",
            ),
            (true, one.clone(), "policy_limits.peers: messages in [node]"),
            (
                true,
                node.to_string(),
                "policy_limits.peers: messages are allowed and there is no [[peer]]",
            ),
            (
                false,
                format!("{node}{one}"),
                "policy_limits.peers in the papers is false",
            ),
            (
                false,
                node.to_string(),
                "policy_limits.peers in the papers is false",
            ),
            (
                false,
                one.clone(),
                "policy_limits.peers in the papers is false",
            ),
            (
                true,
                format!("{node}{}", peer("over there")),
                "address \"over there\" is no address",
            ),
            (
                true,
                format!("{node}{}", peer("127.0.0.1")),
                "is no address",
            ),
            (
                true,
                format!("{node}{}", peer("127.0.0.1:0")),
                "cannot be reached",
            ),
            (
                true,
                format!("{node}{}", peer("0.0.0.0:7101")),
                "cannot be reached",
            ),
            (
                true,
                format!("{node}{}", peer("[::1]:7101")),
                "cannot be reached",
            ),
            (true, format!("{node}{one}{one}"), "stands here twice"),
            (
                true,
                format!("{node}{}", peer("127.0.0.1:7100")),
                "is this node itself",
            ),
            (
                true,
                format!(
                    "{node}{one}{two}{}{}",
                    peer("127.0.0.1:1"),
                    peer("127.0.0.1:2")
                ),
                "one too many",
            ),
            (
                true,
                node.replace("7100", "x"),
                "messages \"127.0.0.1:x\" is no address",
            ),
            (
                true,
                forward.clone(),
                "policy_limits.peers: forwarders and planners",
            ),
            (
                false,
                format!("{forward}{one}"),
                "peer: only a node has peers",
            ),
        ] {
            let got = among("bad", leave, &text)
                .err()
                .unwrap_or_else(|| panic!("taken: {text}"));
            assert!(
                got.contains(why) && got.contains("x.toml:") && !got.contains('\n'),
                "{got}"
            );
        }
    }

    /// Guards: a node that takes part in a fleet without leave, or under an address that nobody can reach.
    #[test]
    fn a_fleet_has_leave_and_addresses_that_can_be_reached() {
        let fleet = |more: &str| {
            format!("[fleet]\naddress = \"127.0.0.1:7400\"\nseeds = [\"127.0.0.1:7401\"]\n{more}")
        };
        let good = among("fleet", true, &fleet("period = \"200ms\"\n")).unwrap();
        let Role::Node(Some(GossipConfig {
            fleet: Some(node_settings),
            ..
        })) = good.role
        else {
            panic!("no fleet")
        };
        assert_eq!(
            (
                node_settings.listen,
                node_settings.period,
                node_settings.max_members
            ),
            (node_settings.address, 200 * MILLI, 1024)
        );
        let peer = "[[peer]]\naddress = \"127.0.0.1:7101\"\n";
        for (leave, text, why) in [
            (
                false,
                fleet(""),
                "policy_limits.peers in the papers is false",
            ),
            (true, fleet(peer), "neither messages nor [[peer]]"),
            (
                true,
                format!("[node]\nmessages = \"127.0.0.1:7100\"\n{}", fleet("")),
                "neither messages nor [[peer]]",
            ),
            (
                true,
                fleet("").replace("7400", "0"),
                "can't be reached by others",
            ),
            (
                true,
                fleet("").replace("7401", "0"),
                "seed 127.0.0.1:0 can't be reached",
            ),
            (
                true,
                fleet("").replace("\"127.0.0.1:7401\"", "\"[::1]:7401\""),
                "can't be reached",
            ),
            (
                true,
                fleet("period = \"1ms\"\n"),
                "period is 1ms, not between 50ms",
            ),
            (true, fleet("most = 0\n"), "most is 0, not between 1"),
            (true, fleet("perod = \"1s\"\n"), "unknown field"),
        ] {
            let got = among("bad-fleet", leave, &text)
                .err()
                .unwrap_or_else(|| panic!("taken: {text}"));
            assert!(
                got.contains(why) && got.contains("x.toml:") && !got.contains('\n'),
                "{got}"
            );
        }
    }

    #[test]
    fn contradictions_are_refused_at_their_line() {
        let head = "papers = \"papers.example.json\"\n";
        assert_eq!(wrong(&format!("{head}[forward]\n")).0, 2);
        assert_eq!(wrong(&format!("{head}{PLANNERS}")).0, 2);
        assert_eq!(
            wrong(&format!("{head}[plan]\nname = \"p9\"\n{PLANNERS}")).0,
            3
        );
        assert_eq!(
            wrong(&format!(
                "{head}[plan]\nname = \"p0\"\n[forward]\n{PLANNERS}"
            ))
            .0,
            4
        );
        assert_eq!(
            wrong(&format!("{head}[forward]\n{PLANNERS}{PLANNERS}")).0,
            6
        );
        assert_eq!(wrong("papers = \"no such.json\"\n").0, 1);
        assert_eq!(
            wrong(&format!(
                "{head}[forward]\n{}",
                PLANNERS.replace("127.0.0.1", "here")
            ))
            .0,
            5
        );
    }
}

#[cfg(test)]
#[path = "operator_config_keys_tests.rs"]
mod keys_tests;
