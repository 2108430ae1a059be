//! What a host sends: its answer to a request, its load, that it closes or wants the client elsewhere, and
//! the load report that answers a health check.

/// What a line from a host says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HostMessage {
    /// `UP`: it has accepted the request.
    Accepted,
    /// `BUSY`: it rejects the request for now.
    Busy,
    /// `ERR`: the request failed.
    Err,
    /// `BYE`: it ends the connection in order.
    Bye,
    /// `MOVE`: the client is to connect again.
    Migrate,
    /// `LOAD`: its load now, as a share of a core.
    Load(f64),
    /// `PONG`: the answer to a health check.
    Pong,
    /// Any other line, which is for the client.
    Other,
}

impl HostMessage {
    /// Reads a line, or as much of it as was kept, given without its CRLF.
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
                // In microseconds of work a second.
                .filter(|load| (0.0..1e12).contains(load))
                .map_or(HostMessage::Other, |load| HostMessage::Load(load / 1e6)),
            _ => HostMessage::Other,
        }
    }
}

/// The values of a load report behind a host's answer, in the order of `names`; empty where one is
/// missing. They stand as `name=value` or `name:value`, or bare in that order.
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
