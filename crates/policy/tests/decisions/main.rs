//! Traces of the decisions, read by people.
mod cold_start;
mod common;
mod crowds;
mod fleet;
mod lists;
mod paths;
mod rules;
mod traces;
