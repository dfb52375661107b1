//! Traces of the decisions, read by people.
mod common;
mod crowds;
mod rules;
mod traces;
