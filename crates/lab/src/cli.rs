//! The program's command line: subcommands, arguments and help texts.
use std::convert::Infallible;
use std::path::PathBuf;

use clap::builder::PossibleValuesParser;
use clap::{Args, Parser, Subcommand};
use quartzhub_lab::fleet::faulty_node;

/// Tests quartzhub's policy in emulated fleets and on real processes
#[derive(Debug, Parser)]
#[command(name = "quartzhub-lab", version, arg_required_else_help = false)]
pub struct Arguments {
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Runs a scenario's clients against a real node on loopback
    Load(LoadArgs),
    /// Runs a scenario of one node in the emulator and on a real node with stub servers on loopback
    Compare(CompareArgs),
    /// Runs plans: several processes of the built program, with stub servers and faults on loopback
    Fleet(FleetArgs),
    /// Emulates the membership at several fleet sizes, beside a plain failure detector
    Members(MembersArgs),
    /// Executes a command that is killed when its parent process ends
    #[command(hide = true)]
    Guard(GuardArgs),
    /// Runs a faulty node that breaks a rule, to test that the rig detects it
    #[command(hide = true, alias = "wicked")]
    FaultyNode(FaultyNodeArgs),
    /// Runs one scenario in the emulator
    Run(RunArgs),
    /// Runs an experiment in the emulator
    Sweep(SweepArgs),
    /// Validates a scenario, an experiment or a plan
    Check(CheckArgs),
}

/// Accepts any text as a path; a missing file is reported when it is read.
fn path(text: &str) -> Result<PathBuf, Infallible> {
    Ok(PathBuf::from(text))
}

#[derive(Debug, Args)]
pub struct OutArgs {
    /// folder for plots and tables; created if missing
    #[arg(long, value_name = "FOLDER", value_parser = path)]
    pub out: Option<PathBuf>,
}

#[derive(Debug, Args)]
pub struct LoadArgs {
    /// a scenario
    #[arg(value_name = "FILE", value_parser = path)]
    pub file: PathBuf,
    /// the node's address, such as 127.0.0.1:7000
    #[arg(long, value_name = "ADDR")]
    pub node: String,
    /// client connections to the node
    #[arg(long, value_name = "N", default_value = "64")]
    pub connections: String,
}

#[derive(Debug, Args)]
pub struct CompareArgs {
    /// a scenario
    #[arg(value_name = "FILE", value_parser = path)]
    pub file: PathBuf,
}

#[derive(Debug, Args)]
pub struct FleetArgs {
    /// one or more plans
    #[arg(value_name = "FILE", required = true, num_args = 1.., value_parser = path)]
    pub files: Vec<PathBuf>,
    /// runs of each plan; for more than one run in all, only a table is printed
    #[arg(long, value_name = "N", default_value = "1")]
    pub plays: String,
    /// the node's program; by default quartzhub in the folder of this program
    #[arg(long, value_name = "FILE", value_parser = path)]
    pub program: Option<PathBuf>,
    #[command(flatten)]
    pub out: OutArgs,
}

#[derive(Debug, Args)]
pub struct MembersArgs {
    #[arg(long, value_name = "N,N", default_value = "8,32,128,512")]
    pub sizes: String,
    #[arg(long, value_name = "N", default_value = "40")]
    pub crashes: String,
    /// node-hours without a crash in which false removals are counted
    #[arg(long, value_name = "H", default_value = "20")]
    pub hours: String,
    #[arg(long, value_name = "N", default_value = "1")]
    pub seed: String,
    #[command(flatten)]
    pub out: OutArgs,
}

#[derive(Debug, Args)]
pub struct GuardArgs {
    #[arg(value_name = "parent")]
    pub parent: String,
    #[arg(
        value_name = "command",
        required = true,
        num_args = 1..,
        trailing_var_arg = true,
        allow_hyphen_values = true
    )]
    pub command: Vec<String>,
}

#[derive(Debug, Args)]
pub struct FaultyNodeArgs {
    #[arg(
        value_name = "misbehavior",
        value_parser = PossibleValuesParser::new(faulty_node::MISBEHAVIORS)
    )]
    pub misbehavior: String,
}

#[derive(Debug, Args)]
pub struct RunArgs {
    /// a scenario
    #[arg(value_name = "FILE", value_parser = path)]
    pub file: PathBuf,
    /// policies to run instead of the scenario's
    #[arg(long, value_name = "A,B")]
    pub policies: Option<String>,
    /// also print, for each second, where attempts went
    #[arg(long)]
    pub seconds: bool,
    #[command(flatten)]
    pub out: OutArgs,
}

#[derive(Debug, Args)]
pub struct SweepArgs {
    /// an experiment
    #[arg(value_name = "FILE", value_parser = path)]
    pub file: PathBuf,
    #[command(flatten)]
    pub out: OutArgs,
}

#[derive(Debug, Args)]
pub struct CheckArgs {
    /// a scenario, an experiment or a plan
    #[arg(value_name = "FILE", value_parser = path)]
    pub file: PathBuf,
}
