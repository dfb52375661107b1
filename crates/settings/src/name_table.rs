//! Names of products, tenants, zones and machine kinds from the settings, and their indices.
use quartzhub_policy::{Endpoint, ServerIndex};

use crate::endpoint_entry::EndpointEntry;
use crate::settings::Settings;

/// Returns the index of a name in `names`, or `usize::MAX` if it is missing.
pub fn index_of(names: &[String], name: Option<&str>) -> usize {
    names
        .iter()
        .position(|known| Some(known.as_str()) == name)
        .unwrap_or(usize::MAX)
}

/// The names in the settings, in their order.
#[derive(Debug, Default)]
pub struct NameTable {
    /// Names of products.
    pub products: Vec<String>,
    /// Names of tenants.
    pub tenants: Vec<String>,
    /// Names of zones, including those of earlier settings.
    pub zones: Vec<String>,
    /// Names of machine kinds.
    pub kinds: Vec<String>,
}

impl NameTable {
    /// Returns the names in these settings.
    pub fn new(settings: &Settings) -> NameTable {
        let names = |list: &str, field: &str| {
            let name = |i| settings.text(&format!("{list}.{i}{field}")).to_owned();
            (0..settings.count(list)).map(name).collect()
        };
        NameTable {
            products: names("products", ".name"),
            tenants: names("projects", ".name"),
            zones: names("localities", ""),
            kinds: names("kinds", ""),
        }
    }

    /// Replaces the names with those of other settings. A zone keeps its index, even if it is no
    /// longer named: otherwise a server known by that index would appear to be in another zone,
    /// although repeats of a call may be discarded only within its zone.
    pub fn update(&mut self, settings: &Settings) {
        let NameTable {
            products,
            tenants,
            zones,
            kinds,
        } = NameTable::new(settings);
        self.products = products;
        self.tenants = tenants;
        self.kinds = kinds;
        for zone in zones {
            if !self.zones.contains(&zone) {
                self.zones.push(zone);
            }
        }
    }

    /// Converts an entry of the endpoint list for the policy.
    pub fn endpoint<'a>(&self, server: ServerIndex, entry: EndpointEntry<'a>) -> Endpoint<'a> {
        Endpoint {
            server,
            id: entry.id,
            zone: index_of(&self.zones, entry.zone) as u32,
            kind: index_of(&self.kinds, entry.kind) as u32,
            cell: entry.cell.unwrap_or(u32::MAX),
            state: entry.state,
            scale: entry.scale.unwrap_or(1.0),
            started: entry.started,
        }
    }
}
