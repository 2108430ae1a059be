//! Checks that settings do not contradict each other, and that a node can serve by them.

use crate::convert::load_metric;
use crate::document::{ReportingDocument, SettingsDocument};
use crate::error::{ReportingError, SettingsError};
use reedferry::LoadMetric;
use serde_json::Value;

/// Checks that a document has a request class, no unknown values and no mix of two shapes of deployment, which would start and
/// then do something that neither of them means.
pub(super) fn check_document(document: &SettingsDocument) -> Result<(), SettingsError> {
    if document.classes.is_empty() {
        return Err(SettingsError::NoClass);
    }
    check_values(document)?;
    check_reporting(&document.reporting, document.policy_limits.may_probe)?;
    Ok(())
}

fn check_values(document: &SettingsDocument) -> Result<(), SettingsError> {
    check_value(
        "registry_mode",
        &document.registry_mode,
        &["", "pushed", "on_request"],
    )?;
    check_value(
        "reporting.via",
        &document.reporting.source,
        &["", "silent", "piggyback", "pull"],
    )?;
    check_value("extra.mode", &document.extra.mode, &["", "proxy", "pass"])?;
    for class in &document.classes {
        check_value(
            "offerings.group",
            &class.idempotency_group,
            &["", "all", "zone", "cell"],
        )?;
    }
    Ok(())
}

fn check_value(key: &'static str, value: &str, known: &[&str]) -> Result<(), SettingsError> {
    if known.contains(&value) {
        return Ok(());
    }
    Err(SettingsError::UnknownValue {
        key,
        value: value.to_string(),
    })
}

fn check_reporting(reporting: &ReportingDocument, may_probe: bool) -> Result<(), ReportingError> {
    let by_probe = reporting.source == "pull";
    let no_reports = matches!(reporting.source.as_str(), "" | "silent");
    if by_probe && !may_probe {
        return Err(ReportingError::ProbesNotAllowed);
    }
    let is_metric = |name: &String| load_metric(name) != LoadMetric::Other;
    if by_probe && !reporting.fields.iter().any(is_metric) {
        return Err(ReportingError::NoLoadMetric);
    }
    if no_reports && !reporting.fields.is_empty() {
        return Err(ReportingError::FieldsWithoutReports);
    }
    Ok(())
}

/// Checks what a node needs in order to serve by the settings, though they can be read without it: positive objectives, deadlines
/// and attempts, and class names that can be told apart.
///
/// # Errors
/// One line that names the key.
pub fn validate(settings: &Value) -> Result<(), SettingsError> {
    let none = Vec::new();
    let classes = settings["offerings"].as_array().unwrap_or(&none);
    for (index, class) in classes.iter().enumerate() {
        let place = format!("offerings.{index}.");
        check_positive(class, &place, "contract_time")?;
        check_positive(class, &place, "expiry")?;
        let name = &class["name"];
        let has_same_name = |other: &Value| !other["name"].is_null() && other["name"] == *name;
        if classes[..index].iter().any(has_same_name) {
            return Err(SettingsError::DuplicateClass {
                class: index,
                name: name.clone(),
            });
        }
    }
    check_positive(
        &settings["policy_limits"],
        "policy_limits.",
        "most_hand_offs",
    )
}

fn check_positive(parent: &Value, place: &str, key: &str) -> Result<(), SettingsError> {
    match parent.get(key).and_then(Value::as_f64) {
        Some(value) if value <= 0.0 => Err(SettingsError::NotPositive {
            key: format!("{place}{key}"),
            value,
        }),
        _ => Ok(()),
    }
}
