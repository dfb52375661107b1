//! Reads a configuration from a file or a string, in JSON or TOML.
use std::collections::BTreeMap;
use std::path::Path;

use super::file::ConfigFile;
use super::{Config, ConfigSource, Environment};
use crate::error::ConfigError;

/// File name extension of a configuration in TOML; all other files are JSON.
const TOML_EXTENSION: &str = "toml";

impl Config {
    /// Reads and validates a file. Environment variables override its keys.
    pub fn read(file: &Path, environment: Environment) -> Result<Config, ConfigError> {
        let text = std::fs::read_to_string(file).map_err(|source| ConfigError::UnreadableFile {
            file: file.to_owned(),
            source,
        })?;
        let is_toml = file
            .extension()
            .is_some_and(|extension| extension == TOML_EXTENSION);
        let parsed = if is_toml {
            Config::parse_toml(&text, environment.clone())
        } else {
            Config::parse(&text, environment.clone())
        };
        let mut config = parsed.map_err(|error| error.in_file(file))?;
        config.source = Some(ConfigSource {
            file: file.to_owned(),
            environment,
        });
        Ok(config)
    }

    /// Parses and validates a configuration in JSON.
    pub fn parse(text: &str, environment: Environment) -> Result<Config, ConfigError> {
        let mut json = serde_json::Deserializer::from_str(text);
        let file: ConfigFile =
            serde_path_to_error::deserialize(&mut json).map_err(|error| with_key("", error))?;
        let document = serde_json::from_str(text).map_err(ConfigError::Json)?;
        Config::checked(file, &document, environment)
    }

    /// Parses and validates a configuration in TOML, which has the same keys.
    pub fn parse_toml(text: &str, environment: Environment) -> Result<Config, ConfigError> {
        let table: toml::Table = text.parse().map_err(toml_error::<toml::de::Error>)?;
        let value = serde_json::to_value(&table).map_err(toml_error)?;
        let file: ConfigFile =
            serde_path_to_error::deserialize(&value).map_err(|error| with_key("", error))?;
        let document: BTreeMap<_, _> = serde_json::from_value(value).map_err(toml_error)?;
        Config::checked(file, &document, environment)
    }
}

fn toml_error<E: std::error::Error + Send + Sync + 'static>(source: E) -> ConfigError {
    ConfigError::Toml {
        source: Box::new(source),
    }
}

/// Converts a parser's error, and adds the path of the key that caused it after `prefix`.
pub(super) fn with_key(
    prefix: &str,
    error: serde_path_to_error::Error<serde_json::Error>,
) -> ConfigError {
    let path = error.path().to_string();
    let source = error.into_inner();
    match path.as_str() {
        // The document could not be parsed at all, so no key is concerned.
        "." | "?" => ConfigError::Json(source),
        path => ConfigError::WrongType {
            key: format!("{prefix}{path}"),
            source,
        },
    }
}
