//! The responses of the operators' API, and their encoding as HTTP/1.1.

/// A response of the operators' API.
#[derive(Debug, PartialEq)]
pub struct ApiResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The body. It is sent as JSON if it starts with a brace, and as plain text otherwise.
    pub text: String,
}

impl ApiResponse {
    /// Creates a response with this status and text.
    pub fn new(status: u16, text: impl Into<String>) -> Self {
        ApiResponse {
            status,
            text: text.into(),
        }
    }

    fn reason(&self) -> &'static str {
        match self.status {
            200 => "OK",
            400 => "Bad Request",
            404 => "Not Found",
            405 => "Method Not Allowed",
            408 => "Request Timeout",
            409 => "Conflict",
            411 => "Length Required",
            413 => "Content Too Large",
            431 => "Request Header Fields Too Large",
            503 => "Service Unavailable",
            505 => "HTTP Version Not Supported",
            _ => "",
        }
    }

    /// Encodes the response with these additional header lines, each with its line end.
    pub(super) fn to_bytes(&self, headers: &str) -> Vec<u8> {
        let ApiResponse { status, text } = self;
        let reason = self.reason();
        let length = text.len();
        let content_type = if text.starts_with('{') {
            "application/json"
        } else {
            "text/plain; charset=utf-8"
        };
        format!(
            "HTTP/1.1 {status} {reason}\r\nContent-Type: {content_type}\r\nContent-Length: {length}\r\n\
             Cache-Control: no-store\r\nConnection: close\r\n{headers}\r\n{text}"
        )
        .into_bytes()
    }
}
