//! Decodes the settings of a node into the [`BalancerSettings`] of the decision core and the [`NodeSettings`] of the program
//! around it. The adapter and the node both use this crate. It must never accept settings that contradict each other.

mod convert;
mod document;
mod error;
mod node_settings;
pub mod reload;
mod validation;

pub use convert::nanos;
pub use error::{ReportingError, SettingsError};
pub use node_settings::NodeSettings;
pub use validation::validate;

use document::SettingsDocument;
use reedferry::BalancerSettings;
use serde::Deserialize;

/// The decoded settings of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The settings of the decision core.
    pub balancer: BalancerSettings,
    /// The settings of the rest of the program.
    pub node: NodeSettings,
}

impl Settings {
    /// Decodes and checks settings from JSON text.
    ///
    /// # Errors
    /// Returns an error of one line that names the key, or the place of a syntax error.
    pub fn from_json(text: &[u8]) -> Result<Settings, SettingsError> {
        Settings::from_value(serde_json::from_slice(text)?)
    }

    /// Decodes and checks settings from a JSON value.
    ///
    /// # Errors
    /// Returns an error of one line that names the key.
    pub fn from_value(mut value: serde_json::Value) -> Result<Settings, SettingsError> {
        strip_nulls(&mut value);
        let document = SettingsDocument::deserialize(value)?;
        validation::check_document(&document)?;
        document.into_settings()
    }
}

/// Removes all keys whose value is null, because a null means the same as a missing key.
fn strip_nulls(value: &mut serde_json::Value) {
    match value {
        serde_json::Value::Object(map) => {
            map.retain(|_, v| !v.is_null());
            map.values_mut().for_each(strip_nulls);
        }
        serde_json::Value::Array(list) => list.iter_mut().for_each(strip_nulls),
        _ => {}
    }
}

/// Decodes and checks settings from JSON text, and returns only those of the decision core.
///
/// # Errors
/// Returns an error of one line that names the key, or the place of a syntax error.
pub fn balancer_settings(text: &[u8]) -> Result<BalancerSettings, SettingsError> {
    Settings::from_json(text).map(|settings| settings.balancer)
}
