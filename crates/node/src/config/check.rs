//! Validates the keys of a file and the variables of the environment, and fills in defaults.
use std::collections::BTreeMap;
use std::hash::{BuildHasher, Hasher};

use quartzhub_settings::Settings;
use serde_json::Value;

use super::environment::{ADMIN_VARIABLE, DISCOVERY_VARIABLE, LISTEN_VARIABLE};
use super::file::ConfigFile;
use super::key_paths::document_key_paths;
use super::read::with_key;
use super::settings::checked_settings;
use super::values::{address_variable, descriptor_variable};
use super::{Config, EndpointListUpdate, Environment};
use crate::error::ConfigError;
use crate::limits::{Limits, MachineLimits};
use crate::peers::config::PeerConfig;

/// Least memory that the configuration may give a node, in megabytes.
const MIN_MEMORY_MB: f64 = 16.0;
/// Least number of sockets that the configuration may give a node.
const MIN_SOCKETS: usize = 32;

impl Config {
    /// Builds a configuration from the known keys of a file, `file`, and from all of its keys,
    /// `document`.
    pub(super) fn checked(
        mut file: ConfigFile,
        document: &BTreeMap<String, Value>,
        environment: Environment,
    ) -> Result<Config, ConfigError> {
        let mut ignored_errors = Vec::new();
        let listen = address_variable(LISTEN_VARIABLE, environment.listen)?.or(file.listen);
        let settings = checked_settings(&file.settings, &mut ignored_errors)?;
        let known = known_endpoints(std::mem::take(&mut file.known), &mut ignored_errors);
        check_machine_limits(
            &mut file.limits,
            environment.max_descriptors,
            &mut ignored_errors,
        )?;
        let descriptor = environment
            .inherited_descriptor
            .map(descriptor_variable)
            .transpose()?;
        let admin_address =
            address_variable(ADMIN_VARIABLE, environment.admin_listen)?.or(file.ops);
        let membership = checked_membership(&file, &settings, &mut ignored_errors)?;
        let mut limits = Limits::new(file.limits, &settings);
        if descriptor.is_some() {
            limits = limits.with_shared_listener();
        }
        if admin_address.is_some() {
            limits = limits.with_admin_connections();
        }
        Ok(Config {
            name: environment.name.unwrap_or(file.name),
            listen: listen.ok_or_else(|| ConfigError::missing_key("listen"))?,
            admin_listen: admin_address,
            inherited_descriptor: descriptor,
            discovery: address_variable(DISCOVERY_VARIABLE, environment.discovery)?
                .or(file.discovery),
            seed: file.seed.unwrap_or_else(random_seed),
            settings,
            known_endpoints: known,
            limits,
            membership,
            ignored_errors,
            machine_limits: file.limits,
            key_paths: document_key_paths(document),
            source: None,
            discovery_in_file: file.discovery,
        })
    }
}

/// Returns the endpoint list that the node starts with. A malformed list is ignored, so that an old
/// list does not keep the node from starting: discovery has a newer one.
fn known_endpoints(list: Value, ignored_errors: &mut Vec<ConfigError>) -> EndpointListUpdate {
    if list.is_null() {
        return EndpointListUpdate::default();
    }
    serde_path_to_error::deserialize(list).unwrap_or_else(|error| {
        ignored_errors.push(with_key("known.", error));
        EndpointListUpdate::default()
    })
}

/// Rejects limits that are too small, and lowers a number of sockets that is above what the process
/// may open.
fn check_machine_limits(
    limits: &mut MachineLimits,
    max_descriptors: Option<usize>,
    ignored_errors: &mut Vec<ConfigError>,
) -> Result<(), ConfigError> {
    let MachineLimits { memory_mb, sockets } = *limits;
    if memory_mb.is_nan() || memory_mb < MIN_MEMORY_MB {
        let reason = format!("{memory_mb} is less than the minimum of {MIN_MEMORY_MB}");
        return Err(ConfigError::invalid_value("limits.memory_mb", reason));
    }
    if sockets < MIN_SOCKETS {
        let reason = format!("{sockets} is less than the minimum of {MIN_SOCKETS}");
        return Err(ConfigError::invalid_value("limits.sockets", reason));
    }
    if let Some(max) = max_descriptors.filter(|max| *max < sockets) {
        let reason = format!("{sockets} is more than the process may open; lowered to {max}");
        ignored_errors.push(ConfigError::invalid_value("limits.sockets", reason));
        limits.sockets = max;
    }
    Ok(())
}

fn checked_membership(
    file: &ConfigFile,
    settings: &Settings,
    ignored_errors: &mut Vec<ConfigError>,
) -> Result<Option<PeerConfig>, ConfigError> {
    let membership = PeerConfig::checked(
        file.membership,
        file.peer_listen,
        &file.peers,
        file.fleet.clone(),
        &file.membership_without,
        settings,
        ignored_errors,
    )?;
    if file.shared && membership.is_none() {
        ignored_errors.push(ConfigError::invalid_value(
            "shared",
            "ignored, as membership is off",
        ));
    }
    Ok(membership.map(|peers| PeerConfig {
        coordination: file.shared,
        ..peers
    }))
}

/// Returns a random seed, for a configuration that gives none.
fn random_seed() -> u64 {
    std::collections::hash_map::RandomState::new()
        .build_hasher()
        .finish()
}
