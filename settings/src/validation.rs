//! Checks that settings do not contradict each other, and that a node can serve clients with them.

use crate::convert::load_metric;
use crate::document::{ReportingDocument, SettingsDocument};
use crate::error::{ReportingError, SettingsError};
use reedferry::LoadMetric;
use serde_json::Value;

/// Checks that a document has a request class, no unknown values, and no options that belong to different deployment modes. A
/// node with such a mix would start, and then behave as neither of the modes intends.
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

fn check_value(key: &'static str, value: &str, allowed: &[&str]) -> Result<(), SettingsError> {
    if allowed.contains(&value) {
        return Ok(());
    }
    Err(SettingsError::UnknownValue {
        key,
        value: value.to_string(),
    })
}

fn check_reporting(reporting: &ReportingDocument, may_probe: bool) -> Result<(), ReportingError> {
    let uses_probes = reporting.source == "pull";
    let no_reports = matches!(reporting.source.as_str(), "" | "silent");
    if uses_probes && !may_probe {
        return Err(ReportingError::ProbesNotAllowed);
    }
    let is_load_metric = |name: &String| load_metric(name) != LoadMetric::Other;
    if uses_probes && !reporting.fields.iter().any(is_load_metric) {
        return Err(ReportingError::NoLoadMetric);
    }
    if no_reports && !reporting.fields.is_empty() {
        return Err(ReportingError::FieldsWithoutReports);
    }
    Ok(())
}

/// Checks what a node needs in order to serve clients, but what decoding does not require: positive objectives, deadlines and
/// attempt limits, and unique class names.
///
/// # Errors
/// Returns an error of one line that names the key.
pub fn validate(settings: &Value) -> Result<(), SettingsError> {
    let no_classes = Vec::new();
    let classes = settings["offerings"].as_array().unwrap_or(&no_classes);
    for (index, class) in classes.iter().enumerate() {
        let parent_path = format!("offerings.{index}.");
        check_positive(class, &parent_path, "contract_time")?;
        check_positive(class, &parent_path, "expiry")?;
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

fn check_positive(parent: &Value, parent_path: &str, key: &str) -> Result<(), SettingsError> {
    match parent.get(key).and_then(Value::as_f64) {
        Some(value) if value <= 0.0 => Err(SettingsError::NotPositive {
            key: format!("{parent_path}{key}"),
            value,
        }),
        _ => Ok(()),
    }
}
