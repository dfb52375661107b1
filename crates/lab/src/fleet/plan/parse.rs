//! Parsing of a plan file, with defaults for missing keys. Error messages name the key.
use serde::Deserialize;

use super::{Expect, Fault, Plan};
use crate::scenario::{one_line, LabError, Scenario};

/// The keys of a plan file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PlanFile {
    #[serde(default)]
    title: String,
    #[serde(default)]
    scenario: toml::Table,
    #[serde(default = "default_front_late_ms")]
    front_late_ms: f64,
    #[serde(default)]
    absent: Vec<usize>,
    #[serde(default)]
    settings: toml::Table,
    #[serde(default)]
    config: toml::Table,
    block: Option<String>,
    #[serde(default, rename = "fault")]
    faults: Vec<Fault>,
    #[serde(default)]
    expect: Expect,
}

fn default_front_late_ms() -> f64 {
    DEFAULT_FRONT_LATE_MS
}

/// Default of the plan's `front_late_ms`, in milliseconds.
const DEFAULT_FRONT_LATE_MS: f64 = 1_000.0;

impl Plan {
    /// Parses and checks a plan; errors name the key.
    pub fn parse(text: &str) -> Result<Plan, LabError> {
        let table: toml::Table = text
            .parse()
            .map_err(|e: toml::de::Error| LabError(one_line(&e)))?;
        let file: PlanFile =
            serde_path_to_error::deserialize(toml::Value::Table(table)).map_err(|e| {
                let key = e.path().to_string();
                let problem = e.inner().message().to_owned();
                LabError(match key.as_str() {
                    "." => problem,
                    _ => format!("{key}: {problem}"),
                })
            })?;
        let scenario = Scenario::from_value(toml::Value::Table(file.scenario))
            .map_err(|LabError(problem)| LabError(format!("scenario.{problem}")))?;
        let json =
            |table: toml::Table| serde_json::to_value(table).map_err(|e| LabError(e.to_string()));
        let plan = Plan {
            title: file.title,
            scenario,
            front_late_ms: file.front_late_ms,
            absent: file.absent,
            settings: json(file.settings)?,
            config: json(file.config)?,
            block: file.block,
            faults: file.faults,
            expect: file.expect,
        };
        plan.check()?;
        Ok(plan)
    }
}
