//! Why settings can't be used. Each error is one line that names the key.

/// Settings that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// They are no JSON, or a key is missing or of another type.
    #[error("settings: {0}")]
    Json(#[from] serde_json::Error),
    /// There is no request class.
    #[error("settings: no offering is listed")]
    NoClass,
    /// A key has a value that does not exist.
    #[error("settings: {key}: unknown word {value:?}")]
    UnknownValue {
        /// The key.
        key: &'static str,
        /// What stands there.
        value: String,
    },
    /// The idempotency of a request class does not exist.
    #[error("settings: offering {class} has the unknown effect {value:?}")]
    UnknownIdempotency {
        /// The index of the class.
        class: usize,
        /// What stands there.
        value: String,
    },
    /// The settings of load reports contradict each other.
    #[error("settings: {0}")]
    Reporting(#[from] ReportingError),
    /// A value that must be positive is not.
    #[error("settings: {key}: {value} is not over 0")]
    NotPositive {
        /// The key with its place.
        key: String,
        /// What stands there.
        value: f64,
    },
    /// Two request classes have the same name.
    #[error("settings: offerings.{class}.name: {name} stands there twice")]
    DuplicateClass {
        /// The index of the second one.
        class: usize,
        /// Their name, as it stands there.
        name: serde_json::Value,
    },
}

impl From<SettingsError> for String {
    fn from(error: SettingsError) -> Self {
        error.to_string()
    }
}

/// How the settings of load reports contradict each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReportingError {
    /// Reports are to come by probes, which are not allowed.
    #[error("reporting.via: reports by probe, but policy_limits.may_probe is false")]
    ProbesNotAllowed,
    /// Reports are to come by probes, and none of their fields is a load metric.
    #[error("reporting.fields: reports by probe with neither x0, util nor x1 among them")]
    NoLoadMetric,
    /// There are report fields, but no way to get them.
    #[error("reporting.fields: report fields, but reporting.via names no way to get them")]
    FieldsWithoutReports,
}
