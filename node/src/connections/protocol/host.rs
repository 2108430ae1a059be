//! The lines that a host sends: its answer to a request, load reports, the announcement of an end or a
//! migration, and the answer to a probe.

/// The meaning of a line from a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HostMessage {
    /// `UP`: the host has accepted the request.
    Accepted,
    /// `BUSY`: the host rejects the request for now.
    Busy,
    /// `ERR`: the request failed.
    Err,
    /// `BYE`: the host closes the connection in order.
    Bye,
    /// `MOVE`: the client should connect elsewhere.
    Migrate,
    /// `LOAD`: the current load of the connection at the host, as a share of a core.
    Load(f64),
    /// `PONG`: the answer to a health check or load probe.
    Pong,
    /// Any other line, which is meant for the client.
    Other,
}

impl HostMessage {
    /// Parses a line, given without its CRLF. The beginning of a long line is enough.
    pub fn parse(line: &[u8]) -> HostMessage {
        let mut words = line.split(|&b| b == b' ');
        let command = words.next().unwrap_or(b"");
        match command {
            b"UP" => HostMessage::Accepted,
            b"BUSY" => HostMessage::Busy,
            b"ERR" => HostMessage::Err,
            b"BYE" => HostMessage::Bye,
            b"MOVE" => HostMessage::Migrate,
            b"PONG" => HostMessage::Pong,
            b"LOAD" => words
                .next()
                .and_then(|word| std::str::from_utf8(word).ok())
                .and_then(|word| word.parse::<f64>().ok())
                // The line states microseconds of work per second.
                .filter(|load| (0.0..1e12).contains(load))
                .map_or(HostMessage::Other, |load| HostMessage::Load(load / 1e6)),
            _ => HostMessage::Other,
        }
    }
}

/// Parses the load report that follows the first word of a host's answer to a probe. Returns the values in
/// the order of `names`, or an empty list if a value is missing or not finite. The values are given as
/// `name=value` or `name:value` in any order, or without names in the order of `names`.
pub fn parse_load_report(line: &[u8], names: &[String]) -> Vec<f64> {
    let text = std::str::from_utf8(line).unwrap_or("");
    let words = || {
        text.split([' ', ',', ';', '{', '}', '"'])
            .skip(1)
            .filter(|word| !word.is_empty())
    };
    let finite = |word: &str| word.parse::<f64>().ok().filter(|value| value.is_finite());
    let named = |wanted: &str| {
        let mut pairs = words().filter_map(|word| word.split_once(['=', ':']));
        pairs
            .find(|(name, _)| *name == wanted)
            .and_then(|(_, value)| finite(value))
    };
    let by_name: Option<Vec<f64>> = names.iter().map(|name| named(name)).collect();
    let by_position = || {
        words()
            .take(names.len())
            .map(finite)
            .collect::<Option<Vec<f64>>>()
    };
    by_name
        .or_else(|| by_position().filter(|values| values.len() == names.len()))
        .unwrap_or_default()
}
