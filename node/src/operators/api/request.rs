//! Parsing the head of a request to the operators' API.

use super::response::ApiResponse;

/// The longest body of a request, none of which means anything.
const MAX_BODY_BYTES: u64 = 64 << 10;
const MAX_HEADERS: usize = 64;

/// What operators ask for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ApiRequest {
    /// Whether the node takes clients.
    Status,
    /// All metrics.
    Metrics,
    /// The node's view of its fleet.
    Fleet,
    /// Empty the node.
    Standby,
    /// Take clients again.
    Active,
}

/// How far a request has been read.
#[derive(Debug, PartialEq)]
pub(super) enum Parsed {
    /// The head is incomplete.
    Incomplete,
    /// The head is complete, and so much of the body is still to come.
    Head { request: ApiRequest, body_left: u64 },
    /// It will never be a valid request.
    Invalid(Rejection),
}

/// The response to an invalid request.
#[derive(Debug, PartialEq)]
pub(super) struct Rejection {
    pub response: ApiResponse,
    /// Header lines that the response has besides the usual ones.
    pub headers: &'static str,
}

fn invalid(status: u16, text: &str) -> Rejection {
    Rejection {
        response: ApiResponse::new(status, format!("{text}\n")),
        headers: "",
    }
}

/// Parses the head from all that has come; `buffer_full` where no more can come.
pub(super) fn parse(bytes: &[u8], buffer_full: bool) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let head_length = match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer_full => {
            return Parsed::Invalid(invalid(431, "a head that is too long"));
        }
        Ok(httparse::Status::Partial) => return Parsed::Incomplete,
        Err(error) => return Parsed::Invalid(parse_error(error)),
    };
    let routed =
        body_length(request.headers).and_then(|body_length| Ok((body_length, route(&request)?)));
    match routed {
        Ok((body_length, request)) => Parsed::Head {
            request,
            body_left: body_length.saturating_sub((bytes.len() - head_length) as u64),
        },
        Err(rejection) => Parsed::Invalid(rejection),
    }
}

fn parse_error(error: httparse::Error) -> Rejection {
    match error {
        httparse::Error::TooManyHeaders => invalid(431, "too many headers"),
        httparse::Error::Version => invalid(505, "HTTP/1.1 is spoken here"),
        _ => invalid(400, "not a call of HTTP/1.1"),
    }
}

fn body_length(headers: &[httparse::Header]) -> Result<u64, Rejection> {
    let mut length = None;
    for header in headers {
        let value = std::str::from_utf8(header.value).unwrap_or("").trim();
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(invalid(411, "a body needs a Content-Length"));
        }
        if header.name.eq_ignore_ascii_case("content-length") {
            let is_number = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
            if !is_number || length.is_some_and(|other| other != value) {
                return Err(invalid(400, "a wild Content-Length"));
            }
            length = Some(value);
        }
    }
    let length = length.map_or(0, |digits| digits.parse().unwrap_or(u64::MAX));
    if length > MAX_BODY_BYTES {
        return Err(invalid(413, "a body that is too long"));
    }
    Ok(length)
}

fn route(request: &httparse::Request) -> Result<ApiRequest, Rejection> {
    let path = request.path.unwrap_or("").split('?').next().unwrap_or("");
    let (routed, method, allow) = match path {
        "/status" => (ApiRequest::Status, "GET", "Allow: GET\r\n"),
        "/status/metrics" => (ApiRequest::Metrics, "GET", "Allow: GET\r\n"),
        "/status/fleet" => (ApiRequest::Fleet, "GET", "Allow: GET\r\n"),
        "/standby" => (ApiRequest::Standby, "POST", "Allow: POST\r\n"),
        "/active" => (ApiRequest::Active, "POST", "Allow: POST\r\n"),
        _ => return Err(invalid(404, "no such path")),
    };
    if request.method != Some(method) {
        return Err(Rejection {
            headers: allow,
            ..invalid(405, &format!("{path} takes {method}"))
        });
    }
    Ok(routed)
}
