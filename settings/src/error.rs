//! The errors of invalid settings. Each is one line that names the key.

/// The reason why settings are rejected.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is not valid JSON, or a key is missing or has a value of the wrong type.
    #[error("settings: {0}")]
    Json(#[from] serde_json::Error),
    /// The list of request classes is empty.
    #[error("settings: offerings: the list of request classes is empty")]
    NoClass,
    /// The value of a key is not one of the allowed words.
    #[error("settings: {key}: unknown value {value:?}")]
    UnknownValue {
        /// The key.
        key: &'static str,
        /// The unknown value.
        value: String,
    },
    /// The idempotency of a request class is not one of the allowed words.
    #[error("settings: offerings.{class}.effect: unknown value {value:?}, expected free, guarded or single_shot")]
    UnknownIdempotency {
        /// The index of the class.
        class: usize,
        /// The unknown value.
        value: String,
    },
    /// The settings of load reports contradict each other or the limits.
    #[error("settings: {0}")]
    Reporting(#[from] ReportingError),
    /// A value that must be positive is 0 or negative.
    #[error("settings: {key}: {value} is not greater than 0")]
    NotPositive {
        /// The path of the key.
        key: String,
        /// The value.
        value: f64,
    },
    /// Two request classes have the same name.
    #[error("settings: offerings.{class}.name: duplicate name {name}")]
    DuplicateClass {
        /// The index of the later of the two classes.
        class: usize,
        /// The name as it is written in the settings.
        name: serde_json::Value,
    },
}

impl From<SettingsError> for String {
    fn from(error: SettingsError) -> Self {
        error.to_string()
    }
}

/// A contradiction in the settings of load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReportingError {
    /// Load reports come by probes, but probes are not allowed.
    #[error("reporting.via: pull needs probes, but policy_limits.may_probe is false")]
    ProbesNotAllowed,
    /// Load reports come by probes, but none of their fields is a load metric.
    #[error("reporting.fields: reporting.via = pull needs at least one of x0, util and x1")]
    NoLoadMetric,
    /// There are report fields, but hosts do not report their load.
    #[error("reporting.fields: must be empty where reporting.via is empty or silent")]
    FieldsWithoutReports,
}
