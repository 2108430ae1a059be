//! Decodes the settings of a node: into the [`BalancerSettings`] of the decision core, and into the [`NodeSettings`] of the
//! program around it. The adapter and the node share this package. It must never accept settings that contradict each other.

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

/// The settings of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// For the decision core.
    pub balancer: BalancerSettings,
    /// For the rest of the program.
    pub node: NodeSettings,
}

impl Settings {
    /// Decodes JSON text.
    ///
    /// # Errors
    /// One line that names the key.
    pub fn from_json(text: &[u8]) -> Result<Settings, SettingsError> {
        Settings::from_value(serde_json::from_slice(text)?)
    }

    /// Decodes a JSON value.
    ///
    /// # Errors
    /// One line that names the key.
    pub fn from_value(mut value: serde_json::Value) -> Result<Settings, SettingsError> {
        strip_nulls(&mut value);
        let document = SettingsDocument::deserialize(value)?;
        validation::check_document(&document)?;
        document.into_settings()
    }
}

/// Removes nulls: a null says the same as a missing key.
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

/// Decodes the settings of the decision core alone.
///
/// # Errors
/// One line that names the key.
pub fn balancer_settings(text: &[u8]) -> Result<BalancerSettings, SettingsError> {
    Settings::from_json(text).map(|settings| settings.balancer)
}
