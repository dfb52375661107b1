//! Subcommands that use the emulator: one scenario, an experiment, and the membership by itself.
use std::path::PathBuf;

use quartzhub_lab::fleet::Plan;
use quartzhub_lab::scenario::LabError;
use quartzhub_lab::stats::FIGURES;
use quartzhub_lab::sweep::Sweep;
use quartzhub_lab::{gossip, plot, run, Report, Scenario};

use super::files::{in_file, prepare_folder, read, stem};
use crate::cli::{CheckArgs, MembersArgs, RunArgs, SweepArgs};

/// Supported numbers of nodes of an emulated membership.
const MEMBERSHIP_SIZES: std::ops::RangeInclusive<usize> = 3..=8_000;

/// The kind of an input file, told by its top-level keys.
enum FileKind {
    Scenario,
    Sweep,
    Plan,
}

impl FileKind {
    fn detect(text: &str) -> FileKind {
        let table = text.parse::<toml::Table>().unwrap_or_default();
        if table.contains_key("seeds") {
            FileKind::Sweep
        } else if table.contains_key("scenario") {
            FileKind::Plan
        } else {
            FileKind::Scenario
        }
    }
}

pub fn check(args: &CheckArgs) -> Result<(), LabError> {
    let text = read(&args.file)?;
    match FileKind::detect(&text) {
        FileKind::Sweep => Sweep::parse(&text).map(drop),
        FileKind::Plan => Plan::parse(&text).map(drop),
        FileKind::Scenario => Scenario::parse(&text).map(drop),
    }
    .map_err(in_file(&args.file))?;
    println!("{}: can be played", args.file.display());
    Ok(())
}

pub fn run_scenario(args: &RunArgs) -> Result<(), LabError> {
    let scenario = Scenario::parse(&read(&args.file)?).map_err(in_file(&args.file))?;
    let folder = prepare_folder(&args.out)?;
    let policies = match &args.policies {
        Some(list) => list.split(',').map(str::to_owned).collect(),
        None => vec![scenario.policy.clone()],
    };
    let mut reports = Vec::new();
    for policy in policies {
        let scenario = Scenario {
            policy: policy.clone(),
            ..scenario.clone()
        };
        let report = run(&scenario).map_err(in_file(&args.file))?;
        println!("{}", describe(&policy, &report));
        if args.seconds {
            print!("{}", report.table_by_second());
        }
        reports.push((policy, report));
    }
    if let Some(folder) = folder {
        print_written_files(&plot::run(&folder, &stem(&args.file, "run"), &reports)?);
    }
    check_rules(&reports)
}

/// Returns an error with the history of the first offending API call if a rule was broken.
fn check_rules(reports: &[(String, Report)]) -> Result<(), LabError> {
    for (policy, report) in reports {
        if let Some(violation) = report.violations.first() {
            return Err(LabError(format!(
                "{policy}: rules broken {} times, first at {:.1} ms, {:?}: {}. {}",
                report.violation_count,
                violation.at.ms(),
                violation.rule,
                violation.description,
                violation.history
            )));
        }
    }
    Ok(())
}

fn print_written_files(files: &[PathBuf]) {
    for file in files {
        println!("drawn: {}", file.display());
    }
}

/// Formats a report's figures, and its service by product.
pub(super) fn describe(policy: &str, report: &Report) -> String {
    let figures: Vec<_> = FIGURES
        .iter()
        .filter_map(|name| Some(format!("{name} {:.4}", report.figure(name)?)))
        .collect();
    let products: Vec<_> = report
        .products
        .iter()
        .map(|(name, counts)| format!("{name} {:.4}", counts.service()))
        .collect();
    format!(
        "{policy}: {}\n  by product: {}",
        figures.join(", "),
        products.join(", ")
    )
}

pub fn sweep(args: &SweepArgs) -> Result<(), LabError> {
    let sweep = Sweep::parse(&read(&args.file)?).map_err(in_file(&args.file))?;
    let folder = prepare_folder(&args.out)?;
    let rows = sweep.run().map_err(in_file(&args.file))?;
    let table = sweep.table(&rows);
    print!("{table}");
    if let Some(folder) = folder {
        let file = folder.join("table.md");
        std::fs::write(&file, &table)
            .map_err(|error| LabError(format!("{}: {error}", file.display())))?;
        print_written_files(&plot::sweep(&folder, &sweep, &rows)?);
    }
    for row in &rows {
        if let Some(violation) = &row.first_violation {
            let point = row.point.join(" ");
            return Err(LabError(format!("{} {point}: {violation}", row.policy)));
        }
    }
    Ok(())
}

fn parse_number<T: std::str::FromStr>(flag: &str, text: &str) -> Result<T, LabError> {
    text.parse()
        .map_err(|_| LabError(format!("--{flag}: {text:?} is not a number")))
}

fn parse_sizes(text: &str) -> Result<Vec<usize>, LabError> {
    let size = |size: &str| {
        let size = size.parse().ok()?;
        MEMBERSHIP_SIZES.contains(&size).then_some(size)
    };
    let sizes: Option<Vec<usize>> = text.split(',').map(size).collect();
    sizes.ok_or_else(|| LabError(format!("--sizes: {text:?}: expected sizes from 3 to 8000")))
}

pub fn members(args: &MembersArgs) -> Result<(), LabError> {
    let sizes = parse_sizes(&args.sizes)?;
    let crashes = parse_number("crashes", &args.crashes)?;
    let hours = parse_number("hours", &args.hours)?;
    let folder = prepare_folder(&args.out)?;
    let seed = parse_number("seed", &args.seed)?;
    let rows = gossip::compare_detectors(&sizes, crashes, hours, seed);
    print!("{}", gossip::table(&rows));
    if let Some(folder) = folder {
        print_written_files(&gossip::plot(&folder, &rows)?);
    }
    Ok(())
}
