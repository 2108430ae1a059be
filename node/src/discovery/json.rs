//! A lexer for JSON that is read as it arrives, however it is split. Owns where in the text it stands. Must
//! never keep more than one token, nor take one that is longer, or nested deeper, than its bounds.

use std::fmt;

/// The longest string, number or word.
const MAX_TOKEN_BYTES: usize = 256;
const MAX_DEPTH: usize = 16;

/// What a text is made of.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum JsonEvent<'a> {
    /// An object begins; it is the innermost container now.
    ObjectStart,
    /// The innermost container, an object, ends.
    ObjectEnd,
    /// A key of the innermost container.
    Key(&'a str),
    /// A string that is a value.
    Text(&'a str),
    /// A number, `true`, `false` or `null` as it stands.
    Bare(&'a str),
}

/// What encloses a place in the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Container {
    /// An object.
    Object,
    /// An array.
    Array,
}

/// Why a text is no JSON that can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JsonError {
    /// A bare token is not UTF-8.
    TokenNotText,
    /// A bare token is neither a number nor one of JSON's words.
    UnknownToken,
    /// A string is not UTF-8.
    StringNotText,
    /// A string contains a control character.
    ControlCharacter,
    /// A backslash is followed by an unknown character.
    UnknownEscape,
    /// An escape by code has another character than a hexadecimal digit.
    InvalidEscape,
    /// A token is longer than the bound.
    TokenTooLong,
    /// Containers are nested deeper than the bound.
    TooDeep,
    /// The outermost value is no object.
    NoObject,
    /// A character stands where it can't.
    Syntax,
}

impl JsonError {
    fn message(self) -> &'static str {
        match self {
            JsonError::TokenNotText => "a token that is no text",
            JsonError::UnknownToken => "an unknown token",
            JsonError::StringNotText => "a string that is no text",
            JsonError::ControlCharacter => "a control character in a string",
            JsonError::UnknownEscape => "an unknown escape",
            JsonError::InvalidEscape => "a wild escape",
            JsonError::TokenTooLong => "a token that is too long",
            JsonError::TooDeep => "a list that is too deep",
            JsonError::NoObject => "no object",
            JsonError::Syntax => "a list that is no JSON",
        }
    }
}

impl fmt::Display for JsonError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.message())
    }
}

impl std::error::Error for JsonError {}

/// What may come next between two tokens.
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

/// Within which token the lexer stands.
#[derive(Clone, Copy, PartialEq)]
enum TokenState {
    Between,
    Text,
    Escape,
    /// An escape by code: so many hexadecimal digits are still to come.
    Code(u8),
    Bare,
}

/// The lexer. Reports each event with the containers that enclose it, the outermost first.
pub struct JsonLexer {
    expect: Expect,
    state: TokenState,
    /// The token being read.
    token: Vec<u8>,
    /// The code of an escape being read.
    code: u32,
    /// The first half of a surrogate pair.
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
    /// Whether the outermost value is complete.
    pub fn is_complete(&self) -> bool {
        self.expect == Expect::Nothing && self.state == TokenState::Between
    }

    /// Reads one byte, and calls `on_event` for what it completes.
    ///
    /// # Errors
    /// Why the text is no JSON, or what `on_event` has to say of it.
    pub fn feed<E: From<JsonError>>(
        &mut self,
        byte: u8,
        on_event: &mut impl FnMut(&[Container], JsonEvent<'_>) -> Result<(), E>,
    ) -> Result<(), E> {
        match self.state {
            TokenState::Between => self.read_between(byte, on_event),
            TokenState::Bare
                if matches!(byte, b',' | b']' | b'}' | b' ' | b'\t' | b'\r' | b'\n') =>
            {
                self.end_bare(on_event)?;
                self.read_between(byte, on_event)
            }
            TokenState::Bare => Ok(self.keep(&[byte])?),
            TokenState::Text => match byte {
                b'"' => self.end_text(on_event),
                b'\\' => {
                    self.state = TokenState::Escape;
                    Ok(())
                }
                0..=0x1f => Err(JsonError::ControlCharacter.into()),
                _ => Ok(self.keep(&[byte])?),
            },
            TokenState::Escape => Ok(self.read_escape(byte)?),
            TokenState::Code(left) => Ok(self.read_code(byte, left)?),
        }
    }

    fn end_bare<E: From<JsonError>>(
        &mut self,
        on_event: &mut impl FnMut(&[Container], JsonEvent<'_>) -> Result<(), E>,
    ) -> Result<(), E> {
        self.state = TokenState::Between;
        let token = std::mem::take(&mut self.token);
        let text = std::str::from_utf8(&token).map_err(|_| JsonError::TokenNotText)?;
        let is_word = matches!(text, "true" | "false" | "null");
        if !is_word && !text.parse().is_ok_and(f64::is_finite) {
            return Err(JsonError::UnknownToken.into());
        }
        self.end_value(JsonEvent::Bare(text), on_event)
    }

    fn end_text<E: From<JsonError>>(
        &mut self,
        on_event: &mut impl FnMut(&[Container], JsonEvent<'_>) -> Result<(), E>,
    ) -> Result<(), E> {
        self.state = TokenState::Between;
        let token = std::mem::take(&mut self.token);
        let text = std::str::from_utf8(&token).map_err(|_| JsonError::StringNotText)?;
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
            return Err(JsonError::NoObject.into());
        }
        self.expect = Expect::CommaOrEnd;
        on_event(&self.nesting, value)
    }

    /// Reads the character behind a backslash.
    fn read_escape(&mut self, byte: u8) -> Result<(), JsonError> {
        self.state = TokenState::Text;
        let plain = match byte {
            b'"' | b'\\' | b'/' => byte,
            b'b' => 8,
            b'f' => 12,
            b'n' => b'\n',
            b'r' => b'\r',
            b't' => b'\t',
            b'u' => {
                self.state = TokenState::Code(4);
                self.code = 0;
                return Ok(());
            }
            _ => return Err(JsonError::UnknownEscape),
        };
        self.keep(&[plain])
    }

    /// Reads a digit of an escape by code.
    fn read_code(&mut self, byte: u8, left: u8) -> Result<(), JsonError> {
        let digit = char::from(byte).to_digit(16);
        self.code = self.code << 4 | digit.ok_or(JsonError::InvalidEscape)?;
        if left > 1 {
            self.state = TokenState::Code(left - 1);
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
        self.keep(character.encode_utf8(&mut [0; 4]).as_bytes())
    }

    fn keep(&mut self, bytes: &[u8]) -> Result<(), JsonError> {
        if self.token.len() + bytes.len() > MAX_TOKEN_BYTES {
            return Err(JsonError::TokenTooLong);
        }
        self.token.extend(bytes);
        Ok(())
    }

    /// Reads a byte that is part of no token.
    fn read_between<E: From<JsonError>>(
        &mut self,
        byte: u8,
        on_event: &mut impl FnMut(&[Container], JsonEvent<'_>) -> Result<(), E>,
    ) -> Result<(), E> {
        let value = matches!(self.expect, Expect::Value | Expect::ValueOrEnd);
        let innermost = self.nesting.last().copied();
        match byte {
            b' ' | b'\t' | b'\r' | b'\n' => {}
            b'{' if value => {
                self.open(Container::Object)?;
                on_event(&self.nesting, JsonEvent::ObjectStart)?;
            }
            b'[' if value => self.open(Container::Array)?,
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
            b'"' if value || matches!(self.expect, Expect::Key | Expect::KeyOrEnd) => {
                self.state = TokenState::Text;
            }
            b'-' | b'0'..=b'9' | b't' | b'f' | b'n' if value && !self.nesting.is_empty() => {
                self.state = TokenState::Bare;
                self.keep(&[byte])?;
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
            return Err(JsonError::NoObject);
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
