//! The validated configuration of the messages between nodes.
use std::collections::BTreeSet;
use std::net::SocketAddr;

use quartzhub_membership::config::FEATURE_NAMES;
use quartzhub_membership::DisabledFeatures;
use quartzhub_settings::Settings;
use thiserror::Error;

use crate::error::ConfigError;

/// Most nodes of a fleet, as the entries of datagrams have a bounded size.
const MAX_PEERS: usize = 8_192;

/// Name of the fleet if the configuration gives none.
const DEFAULT_FLEET: &str = "quartzhub";

/// Addresses of the nodes of the fleet, and the index of this node among them.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerConfig {
    /// Address at which this node receives datagrams.
    pub listen: SocketAddr,
    /// Addresses of all nodes including this one, in the order of their ids.
    pub peers: Vec<SocketAddr>,
    /// Index of this node in `peers`.
    pub me: u16,
    /// Name of the fleet. Datagrams of other fleets are dropped.
    pub fleet: String,
    /// Whether nodes exchange load reports and leases.
    pub coordination: bool,
    /// Features of membership that a test disables.
    pub disabled: DisabledFeatures,
}

/// Why the configuration of the messages between nodes is invalid, or a problem in it that is only
/// logged.
#[derive(Debug, Error)]
pub enum PeerConfigError {
    /// The settings forbid messages between nodes, so membership stays off.
    #[error("membership: stays off, as settings.Caps.Peers does not allow messages between nodes")]
    NotPermitted,
    /// A feature is disabled, as only tests do.
    #[error("membership_without: {0} is disabled; for tests only")]
    FeatureDisabled(String),
    /// No address to receive datagrams at is given.
    #[error("peer_listen: an address to receive datagrams at is needed for membership")]
    NoListenAddress,
    /// The list of the nodes' addresses is missing, empty or too long.
    #[error(
        "peers: a list of 1 to {MAX_PEERS} addresses, one for each node, is needed for membership"
    )]
    NoPeers,
    /// An entry of the list is not an address.
    #[error("peers[{index}]: {value} is not an address such as 127.0.0.1:7946")]
    NotAnAddress {
        /// Index of the entry.
        index: usize,
        /// Value of the entry.
        value: serde_json::Value,
    },
    /// The settings don't say which of the addresses belongs to this node.
    #[error("settings.Me: the index of this node in peers is needed for membership")]
    NoOwnIndex,
    /// Two nodes have the same address.
    #[error("peers: more than one node has the same address")]
    DuplicateAddress,
    /// A feature to disable is unknown.
    #[error("membership_without[{index}]: {name:?} is not one of {}", FEATURE_NAMES.join(", "))]
    UnknownFeature {
        /// Index of the entry.
        index: usize,
        /// Name of the feature.
        name: String,
    },
}

impl PeerConfig {
    /// Validates the keys of a configuration file; `requested` is the key `membership`. Returns
    /// `None` if membership is off.
    pub fn checked(
        requested: bool,
        listen: Option<SocketAddr>,
        peers: &serde_json::Value,
        fleet: Option<String>,
        disabled: &[String],
        settings: &Settings,
        ignored_errors: &mut Vec<ConfigError>,
    ) -> Result<Option<PeerConfig>, ConfigError> {
        if !requested {
            return Ok(None);
        }
        if !settings.flag("caps.peers") {
            ignored_errors.push(PeerConfigError::NotPermitted.into());
            return Ok(None);
        }
        let listen = listen.ok_or(PeerConfigError::NoListenAddress)?;
        let peers = parse_peers(peers)?;
        let me = own_index(settings, &peers)?;
        let distinct: BTreeSet<_> = peers.iter().collect();
        if distinct.len() < peers.len() {
            return Err(PeerConfigError::DuplicateAddress.into());
        }
        let disabled_features = parse_disabled(disabled)?;
        for name in disabled {
            ignored_errors.push(PeerConfigError::FeatureDisabled(name.clone()).into());
        }
        Ok(Some(PeerConfig {
            listen,
            peers,
            me,
            fleet: fleet.unwrap_or_else(|| DEFAULT_FLEET.to_owned()),
            coordination: false,
            disabled: disabled_features,
        }))
    }
}

fn parse_peers(peers: &serde_json::Value) -> Result<Vec<SocketAddr>, PeerConfigError> {
    let peers = peers
        .as_array()
        .filter(|peers| (1..=MAX_PEERS).contains(&peers.len()))
        .ok_or(PeerConfigError::NoPeers)?;
    let parse = |(index, value): (usize, &serde_json::Value)| {
        value
            .as_str()
            .and_then(|text| text.parse().ok())
            .ok_or_else(|| PeerConfigError::NotAnAddress {
                index,
                value: value.clone(),
            })
    };
    peers.iter().enumerate().map(parse).collect()
}

fn own_index(settings: &Settings, peers: &[SocketAddr]) -> Result<u16, PeerConfigError> {
    let index = settings.number("me", -1.0);
    if index < 0.0 || index as usize >= peers.len() {
        return Err(PeerConfigError::NoOwnIndex);
    }
    Ok(index as u16)
}

fn parse_disabled(names: &[String]) -> Result<DisabledFeatures, PeerConfigError> {
    let mut disabled = DisabledFeatures::default();
    for (index, name) in names.iter().enumerate() {
        if !disabled.disable(name) {
            return Err(PeerConfigError::UnknownFeature {
                index,
                name: name.clone(),
            });
        }
    }
    Ok(disabled)
}
