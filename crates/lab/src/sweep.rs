//! Experiments: a scenario, varied keys and seeds. All combinations run in parallel; the table
//! shows means over the seeds with their confidence intervals.
mod mean;
#[cfg(test)]
mod tests;

use std::fmt::Write as _;

use rayon::prelude::*;
use serde::Deserialize;

use crate::emulator::{run, POLICIES};
use crate::scenario::{parse_document, LabError, Scenario};
use crate::stats::{Report, FIGURES};
pub use mean::{mean, Mean};

/// An experiment, as an experiment file defines it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sweep {
    /// Title of its plots.
    #[serde(default)]
    pub title: String,
    /// The scenario that all runs are based on.
    #[serde(default)]
    pub scenario: toml::Table,
    /// Seeds; each point runs with each policy and each seed.
    pub seeds: Vec<u64>,
    /// The policies that are compared.
    pub policies: Vec<String>,
    /// The figures shown in the table.
    pub figures: Vec<String>,
    /// The varied keys; all combinations of their values are run.
    #[serde(default, rename = "vary")]
    pub varied: Vec<Vary>,
}

/// One dotted key of the scenario, and the values that it takes in turn.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vary {
    /// Path of the key with dots between its parts, such as `caches.count`.
    pub key: String,
    /// The values in turn.
    pub values: Vec<toml::Value>,
}

/// Most runs of one experiment.
const MAX_RUNS: usize = 100_000;

/// Results of one policy at one point of the experiment, over all seeds.
#[derive(Debug, Clone)]
pub struct Row {
    /// Values of the varied keys, as written in the file.
    pub point: Vec<String>,
    /// The policy of the runs.
    pub policy: String,
    /// Means in the order of the experiment's figures.
    pub means: Vec<Mean>,
    /// Number of violations in all runs.
    pub violation_count: u64,
    /// The first violation found in the runs.
    pub first_violation: Option<String>,
}

/// A point of the experiment and a policy: the input of a row of the table.
struct RowInput {
    point: Vec<toml::Value>,
    policy: String,
}

/// Returns the first name that is not in `known`.
fn find_unknown<'a>(names: &'a [String], known: &[&str]) -> Option<&'a String> {
    names.iter().find(|name| !known.contains(&name.as_str()))
}

impl Sweep {
    /// Parses an experiment and checks it, including the scenario of every point.
    pub fn parse(text: &str) -> Result<Sweep, LabError> {
        let sweep: Sweep = parse_document(text)?;
        sweep.check()?;
        Ok(sweep)
    }

    fn check(&self) -> Result<(), LabError> {
        let empty = [
            ("seeds", self.seeds.is_empty()),
            ("policies", self.policies.is_empty()),
            ("figures", self.figures.is_empty()),
        ];
        if let Some((key, _)) = empty.iter().find(|key| key.1) {
            return Err(LabError(format!("{key}: at least one is needed")));
        }
        if let Some(policy) = find_unknown(&self.policies, &POLICIES) {
            return Err(LabError(format!(
                "policies: {policy:?} is none of {}",
                POLICIES.join(", ")
            )));
        }
        if let Some(figure) = find_unknown(&self.figures, &FIGURES) {
            return Err(LabError(format!(
                "figures: {figure:?} is none of {}",
                FIGURES.join(", ")
            )));
        }
        for (index, vary) in self.varied.iter().enumerate() {
            if vary.values.is_empty() {
                return Err(LabError(format!(
                    "vary[{index}].values: at least one is needed"
                )));
            }
        }
        if self.run_count().is_none_or(|runs| runs > MAX_RUNS) {
            return Err(LabError(format!("vary: more than {MAX_RUNS} runs")));
        }
        // Without this, an invalid point would only be found after hours of runs.
        self.points().into_iter().try_for_each(|point| {
            self.scenario_at(&point, self.seeds[0], &self.policies[0])
                .map(drop)
        })
    }

    /// Number of runs; none if it does not fit into a `usize`.
    fn run_count(&self) -> Option<usize> {
        let runs_per_point = self.seeds.len() * self.policies.len();
        let mut values = self.varied.iter().map(|vary| vary.values.len());
        let points = values.try_fold(1usize, |points, values| points.checked_mul(values));
        points?.checked_mul(runs_per_point)
    }

    /// All combinations of the values; the last key varies fastest.
    fn points(&self) -> Vec<Vec<toml::Value>> {
        self.varied.iter().fold(vec![Vec::new()], |points, vary| {
            let extended = |point: &Vec<toml::Value>| {
                let point = point.clone();
                vary.values
                    .iter()
                    .map(move |value| [&point[..], std::slice::from_ref(value)].concat())
            };
            points.iter().flat_map(extended).collect()
        })
    }

    fn scenario_at(
        &self,
        point: &[toml::Value],
        seed: u64,
        policy: &str,
    ) -> Result<Scenario, LabError> {
        let mut table = toml::Value::Table(self.scenario.clone());
        for (vary, value) in self.varied.iter().zip(point) {
            set_value(&mut table, &vary.key, value.clone())
                .map_err(|error| LabError(format!("vary: {}: {error}", vary.key)))?;
        }
        let mut scenario = Scenario::from_value(table)?;
        scenario.seed = seed;
        scenario.policy = policy.to_owned();
        Ok(scenario)
    }

    /// Runs the experiment; returns a row for each point and policy.
    pub fn run(&self) -> Result<Vec<Row>, LabError> {
        let inputs = self.points().into_iter().flat_map(|point| {
            self.policies.iter().map(move |policy| RowInput {
                point: point.clone(),
                policy: policy.clone(),
            })
        });
        let inputs: Vec<_> = inputs.collect();
        inputs.par_iter().map(|input| self.run_row(input)).collect()
    }

    fn run_row(&self, input: &RowInput) -> Result<Row, LabError> {
        let reports = self
            .seeds
            .par_iter()
            .map(|seed| run(&self.scenario_at(&input.point, *seed, &input.policy)?))
            .collect::<Result<Vec<Report>, LabError>>()?;
        let mean_of = |figure: &String| {
            let values = reports.iter().filter_map(|report| report.figure(figure));
            mean(&values.collect::<Vec<f64>>())
        };
        let first_violation = reports.iter().find_map(|report| report.violations.first());
        Ok(Row {
            point: input.point.iter().map(toml::Value::to_string).collect(),
            policy: input.policy.clone(),
            means: self.figures.iter().map(mean_of).collect(),
            violation_count: reports.iter().map(|report| report.violation_count).sum(),
            first_violation: first_violation.map(|violation| {
                format!(
                    "{:?}: {} {}",
                    violation.rule, violation.description, violation.history
                )
            }),
        })
    }

    /// Formats the rows as a Markdown table.
    pub fn table(&self, rows: &[Row]) -> String {
        let mut out = String::new();
        let keys = self.varied.iter().map(|vary| vary.key.as_str());
        let headings: Vec<&str> = keys
            .chain(["policy"])
            .chain(self.figures.iter().map(String::as_str))
            .collect();
        let _ = writeln!(out, "| {} | rules |", headings.join(" | "));
        let _ = writeln!(out, "|{}", " --- |".repeat(headings.len() + 1));
        for row in rows {
            let means = row
                .means
                .iter()
                .map(|mean| format!("{:.4} ± {:.4}", mean.value, mean.half_width));
            let cells: Vec<String> = row
                .point
                .iter()
                .cloned()
                .chain([row.policy.clone()])
                .chain(means)
                .collect();
            let rules = if row.violation_count == 0 {
                "kept".to_owned()
            } else {
                format!("broken {} times", row.violation_count)
            };
            let _ = writeln!(out, "| {} | {rules} |", cells.join(" | "));
        }
        out
    }
}

/// Sets the value of a dotted key; in `fault.0.share`, `0` is the index in a list.
fn set_value(table: &mut toml::Value, key: &str, value: toml::Value) -> Result<(), &'static str> {
    let mut target = table;
    let parts: Vec<&str> = key.split('.').collect();
    for (position, part) in parts.iter().enumerate() {
        let is_last = position + 1 == parts.len();
        target = match target {
            toml::Value::Table(fields) => {
                let new = toml::Value::Table(toml::Table::new());
                fields.entry(*part).or_insert(new)
            }
            toml::Value::Array(items) => {
                let index: usize = part.parse().map_err(|_| "a list index must be a number")?;
                items.get_mut(index).ok_or("list index out of range")?
            }
            _ => return Err("no such key"),
        };
        if is_last {
            *target = value;
            return Ok(());
        }
    }
    Err("empty key")
}
