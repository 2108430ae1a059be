//! Parses the head of a request to the operators' API.

use super::response::ApiResponse;

/// The maximum length of a body. Bodies are read and ignored.
const MAX_BODY_BYTES: u64 = 64 << 10;
/// The maximum number of headers of a request.
const MAX_HEADERS: usize = 64;

/// A request of an operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ApiRequest {
    /// `GET /status`: returns whether the node accepts clients.
    Status,
    /// `GET /status/metrics`: returns all metrics.
    Metrics,
    /// `GET /status/fleet`: returns the node's view of its fleet.
    Fleet,
    /// `POST /standby`: puts the node into standby, so that its clients are migrated and it becomes empty.
    Standby,
    /// `POST /active`: ends standby, so that the node accepts clients again.
    Active,
}

/// The result of parsing the head of a request.
#[derive(Debug, PartialEq)]
pub(super) enum Parsed {
    /// The head is incomplete.
    Incomplete,
    /// The head is complete; `body_left` bytes of the body are still to be received.
    Head { request: ApiRequest, body_left: u64 },
    /// The request is invalid, whatever input follows.
    Invalid(Rejection),
}

/// The response to an invalid request.
#[derive(Debug, PartialEq)]
pub(super) struct Rejection {
    pub response: ApiResponse,
    /// Additional header lines of the response, each with its line end; empty if there are none.
    pub headers: &'static str,
}

fn invalid(status: u16, text: &str) -> Rejection {
    Rejection {
        response: ApiResponse::new(status, format!("{text}\n")),
        headers: "",
    }
}

/// Parses the head from all bytes received so far. `buffer_full` says that the buffer has no space for more, so that an incomplete
/// head is invalid.
pub(super) fn parse(bytes: &[u8], buffer_full: bool) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let head_length = match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer_full => {
            return Parsed::Invalid(invalid(431, "request head too long"));
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
        httparse::Error::TooManyHeaders => invalid(431, "too many headers, at most 64 are allowed"),
        httparse::Error::Version => invalid(505, "unsupported HTTP version, expected HTTP/1.1"),
        _ => invalid(400, "malformed HTTP/1.1 request"),
    }
}

fn body_length(headers: &[httparse::Header]) -> Result<u64, Rejection> {
    let mut length = None;
    for header in headers {
        let value = std::str::from_utf8(header.value).unwrap_or("").trim();
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(invalid(
                411,
                "Transfer-Encoding is not supported, a body needs Content-Length",
            ));
        }
        if header.name.eq_ignore_ascii_case("content-length") {
            let is_number = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
            if !is_number || length.is_some_and(|other| other != value) {
                return Err(invalid(400, "invalid Content-Length"));
            }
            length = Some(value);
        }
    }
    let length = length.map_or(0, |digits| digits.parse().unwrap_or(u64::MAX));
    if length > MAX_BODY_BYTES {
        return Err(invalid(
            413,
            "body too long, at most 65536 bytes are allowed",
        ));
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
        _ => return Err(invalid(404, "unknown path")),
    };
    if request.method != Some(method) {
        return Err(Rejection {
            headers: allow,
            ..invalid(405, &format!("{path} requires {method}"))
        });
    }
    Ok(routed)
}
