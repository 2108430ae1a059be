//! The text of an operator's file, by which an error names its line, and the values that have a range.

use super::error::{OperatorConfigError, Problem};
use reedferry::Nanos;
use std::net::SocketAddr;
use std::ops::{Range, RangeInclusive};
use std::path::Path;
use toml::Spanned;

/// Where something stands in the text, in bytes.
pub(super) type Span = Range<usize>;

/// A file's path and text.
pub(super) struct SourceFile<'a> {
    pub path: &'a Path,
    pub text: &'a str,
}

impl SourceFile<'_> {
    /// The error at a place of the text.
    pub fn error(&self, span: &Span, problem: impl Into<Problem>) -> OperatorConfigError {
        let before = &self.text.as_bytes()[..span.start.min(self.text.len())];
        OperatorConfigError::Invalid {
            path: self.path.to_path_buf(),
            line: 1 + before.iter().filter(|byte| **byte == b'\n').count(),
            problem: Box::new(problem.into()),
        }
    }

    /// A duration with its unit, within these bounds.
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

    /// A number of 1 to `max`.
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

    /// An address with its port.
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
