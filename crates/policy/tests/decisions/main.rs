//! Tests of the policy's decisions, mostly by comparing traces of its actions with expected ones.
mod attempts;
mod cache_selection;
mod common;
mod deployment_rules;
mod endpoint_lists;
mod fleet;
mod load_shedding;
mod origin_limit;
mod overload_detection;
mod reconfigure;
mod rules;
mod servers;
mod slow_start_fleet;
mod slow_start_restart;
mod zone_paths;
