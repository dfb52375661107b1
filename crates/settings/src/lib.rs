//! Code shared by all programs that embed the policy: conversion of settings into the policy's
//! typed configuration, and tables that map names and ids to small indices.
#![deny(missing_docs)]
mod call_table;
mod endpoint_entry;
mod name_table;
mod policy_config;
mod server_table;
mod settings;
mod slab;
#[cfg(test)]
mod tests;

pub use call_table::CallTable;
pub use endpoint_entry::EndpointEntry;
pub use name_table::{index_of, NameTable};
pub use policy_config::{policy_config, products};
pub use server_table::{ServerInterner, ServerTable};
pub use settings::{Settings, Value};
