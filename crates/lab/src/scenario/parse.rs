//! Parsing of TOML documents, with errors that name the key.
use serde::de::DeserializeOwned;

use super::{LabError, Scenario};

impl Scenario {
    /// Parses a scenario and checks its values.
    pub fn parse(text: &str) -> Result<Scenario, LabError> {
        Scenario::from_value(parse_table(text)?)
    }

    /// Converts a TOML value to a scenario and checks its values.
    pub fn from_value(value: toml::Value) -> Result<Scenario, LabError> {
        let scenario: Scenario = deserialize_value(value)?;
        scenario.check()?;
        Ok(scenario)
    }
}

/// Parses a TOML document into its type.
pub fn parse_document<T: DeserializeOwned>(text: &str) -> Result<T, LabError> {
    deserialize_value(parse_table(text)?)
}

fn parse_table(text: &str) -> Result<toml::Value, LabError> {
    let table: Result<toml::Table, _> = text.parse();
    table
        .map(toml::Value::Table)
        .map_err(|error| LabError(one_line(&error)))
}

fn deserialize_value<T: DeserializeOwned>(value: toml::Value) -> Result<T, LabError> {
    serde_path_to_error::deserialize(value).map_err(|error| {
        let key = error.path().to_string();
        let cause = error.inner().message();
        LabError(if key == "." {
            cause.to_owned()
        } else {
            format!("{key}: {cause}")
        })
    })
}

/// Formats a parse error, with its position in the document, in one line.
pub fn one_line(error: &toml::de::Error) -> String {
    error
        .to_string()
        .lines()
        .map(str::trim)
        .filter(|line| !line.is_empty())
        .collect::<Vec<_>>()
        .join(" ")
}
