//! The text of an operator's file, from which an error gets its line number, and the decoding of values with a range.

use super::error::{OperatorConfigError, Problem};
use reedferry::Nanos;
use std::net::SocketAddr;
use std::ops::{Range, RangeInclusive};
use std::path::Path;
use toml::Spanned;

/// A range of byte offsets in the text.
pub(super) type Span = Range<usize>;

/// The path and the text of an operator's file.
pub(super) struct SourceFile<'a> {
    pub path: &'a Path,
    pub text: &'a str,
}

impl SourceFile<'_> {
    /// Returns the error for a problem at this place of the text.
    pub fn error(&self, span: &Span, problem: impl Into<Problem>) -> OperatorConfigError {
        let before = &self.text.as_bytes()[..span.start.min(self.text.len())];
        OperatorConfigError::Invalid {
            path: self.path.to_path_buf(),
            line: 1 + before.iter().filter(|byte| **byte == b'\n').count(),
            problem: Box::new(problem.into()),
        }
    }

    /// Decodes a duration with a unit, and checks that it is within the bounds. Returns the default if there is no text.
    pub fn duration(
        &self,
        key: &'static str,
        text: Option<&Spanned<String>>,
        default: Nanos,
        bounds: RangeInclusive<Nanos>,
    ) -> Result<Nanos, OperatorConfigError> {
        let Some(text) = text else { return Ok(default) };
        let (span, text) = (text.span(), text.get_ref().clone());
        let Ok(duration) = humantime::parse_duration(&text) else {
            return Err(self.error(&span, Problem::InvalidDuration { key, text }));
        };
        let duration = Nanos::try_from(duration.as_nanos()).unwrap_or(Nanos::MAX);
        if !bounds.contains(&duration) {
            let (min, max) = bounds.into_inner();
            let problem = Problem::DurationOutOfRange {
                key,
                text,
                min,
                max,
            };
            return Err(self.error(&span, problem));
        }
        Ok(duration)
    }

    /// Checks that a number is from 1 to `max`, inclusive. Returns the default if there is no number.
    pub fn count(
        &self,
        key: &'static str,
        count: Option<&Spanned<usize>>,
        default: usize,
        max: usize,
    ) -> Result<usize, OperatorConfigError> {
        let Some(spanned) = count else {
            return Ok(default);
        };
        let count = *spanned.get_ref();
        if !(1..=max).contains(&count) {
            return Err(self.error(
                &spanned.span(),
                Problem::CountOutOfRange { key, count, max },
            ));
        }
        Ok(count)
    }

    /// Decodes an address with a port.
    pub fn address(
        &self,
        key: &'static str,
        text: &Spanned<String>,
    ) -> Result<SocketAddr, OperatorConfigError> {
        text.get_ref().parse().map_err(|_| {
            let text_found = text.get_ref().clone();
            self.error(
                &text.span(),
                Problem::InvalidAddress {
                    key,
                    text: text_found,
                },
            )
        })
    }
}
