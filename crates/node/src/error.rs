//! Errors of a configuration. Each names the file and the key, or the environment variable, that it
//! is about.
use std::error::Error as StdError;
use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

use crate::peers::config::PeerConfigError;

/// Why a configuration is invalid, or a problem in it that is only logged.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file can't be read; its contents may be valid.
    #[error("{}: {source}", file.display())]
    UnreadableFile {
        /// The file that was to be read.
        file: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// The contents of the file are invalid.
    #[error("{}: {source}", file.display())]
    InFile {
        /// The file that was read.
        file: PathBuf,
        /// What is wrong with its contents.
        source: Box<ConfigError>,
    },
    /// The text is not valid JSON.
    #[error(transparent)]
    Json(serde_json::Error),
    /// The text is not valid TOML.
    #[error("{}", in_one_line(&source.to_string()))]
    Toml {
        /// The error of the parser, whose text mostly has several lines.
        source: Box<dyn StdError + Send + Sync>,
    },
    /// A key has a value of the wrong type.
    #[error("{key}: {source}")]
    WrongType {
        /// The key's path.
        key: String,
        /// The error of the parser.
        source: serde_json::Error,
    },
    /// A key has a value that is not allowed.
    #[error("{key}: {reason}")]
    InvalidValue {
        /// The key's path.
        key: String,
        /// What is wrong with the value.
        reason: String,
    },
    /// A required key is missing.
    #[error("{key}: missing")]
    MissingKey {
        /// The key's path.
        key: String,
    },
    /// An environment variable that must be an address is not one.
    #[error("{variable}: {source}")]
    InvalidAddressVariable {
        /// The variable's name.
        variable: &'static str,
        /// The invalid value.
        source: InvalidAddress,
    },
    /// `LB_INHERITED_FD` is not a number, or is the descriptor of a standard stream.
    #[error(
        "LB_INHERITED_FD: {text:?} is not a number above 2, as needed for an inherited descriptor"
    )]
    InvalidDescriptorVariable {
        /// Value of the variable.
        text: String,
    },
    /// The configuration was not read from a file, so it can't be reloaded.
    #[error("can't be reloaded, as it was not read from a file")]
    NoFile,
    /// The keys about other nodes are invalid.
    #[error(transparent)]
    Peers(#[from] PeerConfigError),
}

/// A text that must be an address and is not one.
#[derive(Debug, Error)]
#[error("{text:?} is not an address such as 127.0.0.1:6379")]
pub struct InvalidAddress {
    /// The invalid text.
    pub text: String,
}

impl ConfigError {
    /// Returns the error of a key whose value is not allowed.
    pub fn invalid_value(key: impl Into<String>, reason: impl Into<String>) -> ConfigError {
        ConfigError::InvalidValue {
            key: key.into(),
            reason: reason.into(),
        }
    }

    /// Returns the error of a required key that is missing.
    pub fn missing_key(key: impl Into<String>) -> ConfigError {
        ConfigError::MissingKey { key: key.into() }
    }

    /// Returns this error with the file in which it occurred.
    pub fn in_file(self, file: &Path) -> ConfigError {
        ConfigError::InFile {
            file: file.to_owned(),
            source: Box::new(self),
        }
    }

    /// Whether the file could not be read at all, in which case its contents may be valid.
    pub fn is_unreadable_file(&self) -> bool {
        matches!(self, ConfigError::UnreadableFile { .. })
    }
}

fn in_one_line(text: &str) -> String {
    let lines: Vec<&str> = text
        .lines()
        .map(str::trim)
        .filter(|line| !line.is_empty())
        .collect();
    lines.join(" ")
}
