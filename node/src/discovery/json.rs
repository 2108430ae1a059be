//! An incremental lexer for JSON, which reads a text byte by byte. It keeps at most one token, and rejects tokens and
//! nesting beyond its bounds.

use std::fmt;

/// The maximum length of a string or literal, in bytes.
const MAX_TOKEN_BYTES: usize = 256;
/// The maximum number of nested containers.
const MAX_DEPTH: usize = 16;

/// An element of a JSON text.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum JsonEvent<'a> {
    /// An object begins and is now the innermost container.
    ObjectStart,
    /// The innermost container, which is an object, ends.
    ObjectEnd,
    /// A key of the innermost container.
    Key(&'a str),
    /// A string that is a value.
    Text(&'a str),
    /// The unconverted text of a number, `true`, `false` or `null`.
    Literal(&'a str),
}

/// The kind of a container that encloses a position in the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Container {
    /// An object.
    Object,
    /// An array.
    Array,
}

/// The reason why a JSON text is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JsonError {
    /// A literal is not UTF-8.
    LiteralNotUtf8,
    /// A literal is neither a finite number nor `true`, `false` or `null`.
    InvalidLiteral,
    /// A string is not UTF-8.
    StringNotUtf8,
    /// A string contains a control character.
    ControlCharacter,
    /// A backslash is followed by an unknown character.
    UnknownEscape,
    /// A `\u` escape contains a character that is not a hexadecimal digit.
    InvalidUnicodeEscape,
    /// A token is longer than [`MAX_TOKEN_BYTES`].
    TokenTooLong,
    /// Containers are nested deeper than [`MAX_DEPTH`].
    TooDeep,
    /// The outermost value is not an object.
    NotAnObject,
    /// A character is not allowed at its position.
    Syntax,
}

impl JsonError {
    fn message(self) -> &'static str {
        match self {
            JsonError::LiteralNotUtf8 => "literal is not UTF-8",
            JsonError::InvalidLiteral => "literal is not a number, true, false or null",
            JsonError::StringNotUtf8 => "string is not UTF-8",
            JsonError::ControlCharacter => "control character in a string",
            JsonError::UnknownEscape => "unknown escape sequence in a string",
            JsonError::InvalidUnicodeEscape => "unicode escape is not four hexadecimal digits",
            JsonError::TokenTooLong => "string or literal longer than 256 bytes",
            JsonError::TooDeep => "nested deeper than 16 levels",
            JsonError::NotAnObject => "outermost value is not an object",
            JsonError::Syntax => "invalid JSON syntax",
        }
    }
}

impl fmt::Display for JsonError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.message())
    }
}

impl std::error::Error for JsonError {}

/// What is allowed next between two tokens.
#[derive(Clone, Copy, PartialEq)]
enum Expect {
    Value,
    ValueOrEnd,
    Key,
    KeyOrEnd,
    Colon,
    CommaOrEnd,
    Nothing,
}

/// The position of the lexer relative to the current token.
#[derive(Clone, Copy, PartialEq)]
enum TokenState {
    Between,
    Text,
    Escape,
    /// In a `\u` escape, of which this many hexadecimal digits are left.
    UnicodeEscape(u8),
    Literal,
}

/// An incremental lexer. It reports each event with the enclosing containers, the outermost first.
pub struct JsonLexer {
    expect: Expect,
    state: TokenState,
    /// The token being read.
    token: Vec<u8>,
    /// The code unit of the `\u` escape being read.
    code: u32,
    /// The first half of a surrogate pair; `None` if no pair has begun.
    high_surrogate: Option<u32>,
    nesting: Vec<Container>,
}

impl Default for JsonLexer {
    fn default() -> Self {
        JsonLexer {
            expect: Expect::Value,
            state: TokenState::Between,
            token: Vec::new(),
            code: 0,
            high_surrogate: None,
            nesting: Vec::new(),
        }
    }
}

impl JsonLexer {
    /// Returns whether the outermost value is complete.
    pub fn is_complete(&self) -> bool {
        self.expect == Expect::Nothing && self.state == TokenState::Between
    }

    /// Reads one byte, and calls `on_event` for each element that it completes.
    ///
    /// # Errors
    /// Returns the reason why the text is rejected, or the error of `on_event`.
    pub fn feed<E: From<JsonError>>(
        &mut self,
        byte: u8,
        on_event: &mut impl FnMut(&[Container], JsonEvent<'_>) -> Result<(), E>,
    ) -> Result<(), E> {
        match self.state {
            TokenState::Between => self.read_between(byte, on_event),
            TokenState::Literal
                if matches!(byte, b',' | b']' | b'}' | b' ' | b'\t' | b'\r' | b'\n') =>
            {
                self.end_literal(on_event)?;
                self.read_between(byte, on_event)
            }
            TokenState::Literal => Ok(self.append_to_token(&[byte])?),
            TokenState::Text => match byte {
                b'"' => self.end_text(on_event),
                b'\\' => {
                    self.state = TokenState::Escape;
                    Ok(())
                }
                0..=0x1f => Err(JsonError::ControlCharacter.into()),
                _ => Ok(self.append_to_token(&[byte])?),
            },
            TokenState::Escape => Ok(self.read_escape(byte)?),
            TokenState::UnicodeEscape(left) => Ok(self.read_unicode_digit(byte, left)?),
        }
    }

    fn end_literal<E: From<JsonError>>(
        &mut self,
        on_event: &mut impl FnMut(&[Container], JsonEvent<'_>) -> Result<(), E>,
    ) -> Result<(), E> {
        self.state = TokenState::Between;
        let token = std::mem::take(&mut self.token);
        let text = std::str::from_utf8(&token).map_err(|_| JsonError::LiteralNotUtf8)?;
        let is_keyword = matches!(text, "true" | "false" | "null");
        if !is_keyword && !text.parse().is_ok_and(f64::is_finite) {
            return Err(JsonError::InvalidLiteral.into());
        }
        self.end_value(JsonEvent::Literal(text), on_event)
    }

    fn end_text<E: From<JsonError>>(
        &mut self,
        on_event: &mut impl FnMut(&[Container], JsonEvent<'_>) -> Result<(), E>,
    ) -> Result<(), E> {
        self.state = TokenState::Between;
        let token = std::mem::take(&mut self.token);
        let text = std::str::from_utf8(&token).map_err(|_| JsonError::StringNotUtf8)?;
        if matches!(self.expect, Expect::Key | Expect::KeyOrEnd) {
            self.expect = Expect::Colon;
            return on_event(&self.nesting, JsonEvent::Key(text));
        }
        self.end_value(JsonEvent::Text(text), on_event)
    }

    fn end_value<E: From<JsonError>>(
        &mut self,
        value: JsonEvent<'_>,
        on_event: &mut impl FnMut(&[Container], JsonEvent<'_>) -> Result<(), E>,
    ) -> Result<(), E> {
        if self.nesting.is_empty() {
            return Err(JsonError::NotAnObject.into());
        }
        self.expect = Expect::CommaOrEnd;
        on_event(&self.nesting, value)
    }

    /// Reads the character after a backslash.
    fn read_escape(&mut self, byte: u8) -> Result<(), JsonError> {
        self.state = TokenState::Text;
        let character = match byte {
            b'"' | b'\\' | b'/' => byte,
            b'b' => 8,
            b'f' => 12,
            b'n' => b'\n',
            b'r' => b'\r',
            b't' => b'\t',
            b'u' => {
                self.state = TokenState::UnicodeEscape(4);
                self.code = 0;
                return Ok(());
            }
            _ => return Err(JsonError::UnknownEscape),
        };
        self.append_to_token(&[character])
    }

    /// Reads a digit of a `\u` escape.
    fn read_unicode_digit(&mut self, byte: u8, left: u8) -> Result<(), JsonError> {
        let digit = char::from(byte).to_digit(16);
        self.code = self.code << 4 | digit.ok_or(JsonError::InvalidUnicodeEscape)?;
        if left > 1 {
            self.state = TokenState::UnicodeEscape(left - 1);
            return Ok(());
        }
        self.state = TokenState::Text;
        let code = match (self.high_surrogate.take(), self.code) {
            (_, code @ 0xd800..=0xdbff) => {
                self.high_surrogate = Some(code);
                return Ok(());
            }
            (Some(high), code @ 0xdc00..=0xdfff) => {
                0x10000 + ((high - 0xd800) << 10) + (code - 0xdc00)
            }
            (_, code) => code,
        };
        let character = char::from_u32(code).unwrap_or(char::REPLACEMENT_CHARACTER);
        self.append_to_token(character.encode_utf8(&mut [0; 4]).as_bytes())
    }

    fn append_to_token(&mut self, bytes: &[u8]) -> Result<(), JsonError> {
        if self.token.len() + bytes.len() > MAX_TOKEN_BYTES {
            return Err(JsonError::TokenTooLong);
        }
        self.token.extend(bytes);
        Ok(())
    }

    /// Reads a byte outside of tokens.
    fn read_between<E: From<JsonError>>(
        &mut self,
        byte: u8,
        on_event: &mut impl FnMut(&[Container], JsonEvent<'_>) -> Result<(), E>,
    ) -> Result<(), E> {
        let value_allowed = matches!(self.expect, Expect::Value | Expect::ValueOrEnd);
        let innermost = self.nesting.last().copied();
        match byte {
            b' ' | b'\t' | b'\r' | b'\n' => {}
            b'{' if value_allowed => {
                self.open(Container::Object)?;
                on_event(&self.nesting, JsonEvent::ObjectStart)?;
            }
            b'[' if value_allowed => self.open(Container::Array)?,
            b'}' if innermost == Some(Container::Object)
                && matches!(self.expect, Expect::KeyOrEnd | Expect::CommaOrEnd) =>
            {
                on_event(&self.nesting, JsonEvent::ObjectEnd)?;
                self.close();
            }
            b']' if innermost == Some(Container::Array)
                && matches!(self.expect, Expect::ValueOrEnd | Expect::CommaOrEnd) =>
            {
                self.close();
            }
            b',' if self.expect == Expect::CommaOrEnd => {
                self.expect = if innermost == Some(Container::Object) {
                    Expect::Key
                } else {
                    Expect::Value
                };
            }
            b':' if self.expect == Expect::Colon => self.expect = Expect::Value,
            b'"' if value_allowed || matches!(self.expect, Expect::Key | Expect::KeyOrEnd) => {
                self.state = TokenState::Text;
            }
            b'-' | b'0'..=b'9' | b't' | b'f' | b'n'
                if value_allowed && !self.nesting.is_empty() =>
            {
                self.state = TokenState::Literal;
                self.append_to_token(&[byte])?;
            }
            _ => return Err(JsonError::Syntax.into()),
        }
        Ok(())
    }

    fn open(&mut self, container: Container) -> Result<(), JsonError> {
        if self.nesting.len() >= MAX_DEPTH {
            return Err(JsonError::TooDeep);
        }
        if self.nesting.is_empty() && container != Container::Object {
            return Err(JsonError::NotAnObject);
        }
        self.nesting.push(container);
        self.expect = match container {
            Container::Object => Expect::KeyOrEnd,
            Container::Array => Expect::ValueOrEnd,
        };
        Ok(())
    }

    fn close(&mut self) {
        self.nesting.pop();
        self.expect = if self.nesting.is_empty() {
            Expect::Nothing
        } else {
            Expect::CommaOrEnd
        };
    }
}
