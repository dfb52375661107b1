//! Traces of the decisions, read by people.
mod common;
mod crowds;
mod fleet;
mod lists;
mod rules;
mod traces;
