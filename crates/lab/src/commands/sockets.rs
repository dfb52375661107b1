//! Subcommands that run real nodes or send load to them.
use std::path::{Path, PathBuf};

use quartzhub_lab::fleet::{event_log, play, Outcome, Plan, Programs};
use quartzhub_lab::scenario::LabError;
use quartzhub_lab::{load as load_generator, Scenario};

use super::emulate::describe;
use super::files::{in_file, prepare_folder, read, stem};
use crate::cli::{CompareArgs, FleetArgs, LoadArgs};

pub fn load(args: &LoadArgs) -> Result<(), LabError> {
    let scenario = Scenario::parse(&read(&args.file)?).map_err(in_file(&args.file))?;
    let node = args
        .node
        .parse()
        .map_err(|_| LabError(format!("--node: {:?} is not an address", args.node)))?;
    let connections = args.connections.parse().map_err(|_| {
        LabError(format!(
            "--connections: {:?} is not a number",
            args.connections
        ))
    })?;
    load_generator::check_bounds(&scenario, node, connections)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| LabError(error.to_string()))?;
    let report = tokio::task::LocalSet::new()
        .block_on(&runtime, load_generator::load(&scenario, node, connections))?;
    println!("{}", load_generator::summary_line(&report));
    Ok(())
}

pub fn compare(args: &CompareArgs) -> Result<(), LabError> {
    let scenario = Scenario::parse(&read(&args.file)?).map_err(in_file(&args.file))?;
    let comparison = load_generator::compare(&scenario).map_err(in_file(&args.file))?;
    let (emulated, real) = (&comparison.emulated, &comparison.real);
    println!("{}", describe("emulated", emulated));
    println!(
        "real: {}; hit ratio {:.4}, attempts to the origin {}",
        load_generator::summary_line(real),
        comparison.real_hit_ratio,
        comparison.real_origin_attempts
    );
    println!(
        "difference: service {:+.4}, hit ratio {:+.4}, p50 {:+.1} ms",
        real.all.service() - emulated.all.service(),
        comparison.real_hit_ratio - emulated.hit_ratio(),
        (real.latency.value_at_quantile(0.5) as f64
            - emulated.latency.value_at_quantile(0.5) as f64)
            / 1000.0
    );
    Ok(())
}

/// A plan and the file that it was read from.
struct PlanFile {
    plan: Plan,
    file: PathBuf,
}

/// Runs plans, prints their results and writes their files.
struct PlanRunner {
    programs: Programs,
    /// Output folder, if files are to be written.
    folder: Option<PathBuf>,
    /// There are several runs: each is one row of a table and has its own folder.
    is_series: bool,
}

impl PlanRunner {
    /// Runs a plan once and returns its failures.
    fn run(
        &self,
        PlanFile { plan, file }: &PlanFile,
        play_index: usize,
    ) -> Result<Vec<String>, LabError> {
        let mut name = stem(file, "fleet");
        let mut folder = self.folder.clone();
        if self.is_series {
            name = format!("{name}-{play_index}");
            folder = folder.map(|folder| folder.join(&name));
        }
        let outcome = play(plan, &self.programs, folder.as_deref()).map_err(in_file(file))?;
        if self.is_series {
            println!("{}", outcome.summary_row(&name));
        } else {
            print!(
                "{}\n{}",
                event_log::format_events(&outcome.events),
                outcome.table()
            );
        }
        if let Some(folder) = folder {
            let written_files = outcome.write_files(plan, &folder, &name)?;
            for file in written_files.iter().filter(|_| !self.is_series) {
                println!("kept: {}", file.display());
            }
        }
        let failures = outcome.failures().into_iter();
        Ok(failures
            .map(|failure| format!("{name}: {failure}"))
            .collect())
    }
}

fn read_plan(file: &Path) -> Result<PlanFile, LabError> {
    let plan = Plan::parse(&read(file)?).map_err(in_file(file))?;
    let file = file.to_owned();
    Ok(PlanFile { plan, file })
}

pub fn fleet(args: &FleetArgs) -> Result<(), LabError> {
    let plans = args
        .files
        .iter()
        .map(|file| read_plan(file))
        .collect::<Result<Vec<_>, _>>()?;
    let plays = args.plays.parse().ok().filter(|plays: &usize| *plays > 0);
    let plays = plays.ok_or_else(|| LabError("--plays: a number above 0 is needed".to_owned()))?;
    let folder = prepare_folder(&args.out)?;
    let lab = std::env::current_exe().map_err(|error| LabError(error.to_string()))?;
    let default_node = || lab.with_file_name("quartzhub");
    let runner = PlanRunner {
        programs: Programs {
            node: args.program.clone().unwrap_or_else(default_node),
            args: Vec::new(),
            lab,
        },
        folder,
        is_series: plays > 1 || plans.len() > 1,
    };
    if runner.is_series {
        println!("{}", Outcome::summary_heading());
    }
    let mut failures = Vec::new();
    for plan in &plans {
        for play_index in 0..plays {
            failures.extend(runner.run(plan, play_index)?);
        }
    }
    match &failures[..] {
        [] => Ok(()),
        failures => Err(LabError(failures.join("\n"))),
    }
}
