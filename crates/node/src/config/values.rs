//! Parses the values of keys and environment variables.
use std::net::SocketAddr;

use serde::de::{Deserialize, Deserializer, Error as _};

use crate::error::{ConfigError, InvalidAddress};

/// Highest descriptor of the standard streams.
const LAST_STANDARD_STREAM: i32 = 2;
/// Radix in which the seed is written.
const SEED_RADIX: u32 = 16;

/// Deserializes an address; an empty string means none.
pub(super) fn address<'de, D: Deserializer<'de>>(from: D) -> Result<Option<SocketAddr>, D::Error> {
    let text = Option::<String>::deserialize(from)?;
    text.filter(|text| !text.is_empty())
        .map(|text| parse_address(text).map_err(D::Error::custom))
        .transpose()
}

/// Deserializes a seed in hexadecimal digits.
pub(super) fn seed<'de, D: Deserializer<'de>>(from: D) -> Result<Option<u64>, D::Error> {
    let text = Option::<String>::deserialize(from)?;
    let parse = |text: String| {
        u64::from_str_radix(&text, SEED_RADIX).map_err(|_| {
            D::Error::custom(format!(
                "{text:?} is not a number of up to 16 hexadecimal digits"
            ))
        })
    };
    text.map(parse).transpose()
}

/// Parses the address in an environment variable.
pub(super) fn address_variable(
    variable: &'static str,
    value: Option<String>,
) -> Result<Option<SocketAddr>, ConfigError> {
    value
        .map(parse_address)
        .transpose()
        .map_err(|source| ConfigError::InvalidAddressVariable { variable, source })
}

/// Parses the descriptor of a listening socket, which must not be a standard stream.
pub(super) fn descriptor_variable(text: String) -> Result<i32, ConfigError> {
    text.parse()
        .ok()
        .filter(|number| *number > LAST_STANDARD_STREAM)
        .ok_or(ConfigError::InvalidDescriptorVariable { text })
}

fn parse_address(text: String) -> Result<SocketAddr, InvalidAddress> {
    text.parse().map_err(|_| InvalidAddress { text })
}
