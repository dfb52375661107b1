//! The fleet rig: runs several node processes on loopback against stub caches, a stub origin and
//! stub discovery, under load from clients. Every link goes through a proxy or relay that injects
//! network faults on a schedule. The rules are checked against the attempts that the servers
//! executed and the responses that the clients received.
use std::net::TcpListener;
use std::path::{Path, PathBuf};

use tokio::runtime::Builder;
use tokio::task::LocalSet;

use crate::scenario::LabError;

mod addresses;
mod configuration;
pub mod datagrams;
pub mod discovery;
pub mod event_log;
pub mod faulty_node;
mod in_flight;
pub mod link;
mod operators;
mod outcome;
pub mod plan;
pub mod process;
mod process_log;
pub mod proxy;
mod rig;
pub mod timeline;

use addresses::AddressBlock;
pub use outcome::Outcome;
pub use plan::Plan;
pub use process::Programs;
use rig::Rig;

/// Plays a plan. Logs and configurations are kept in the folder `out`, if one is given.
pub fn play(plan: &Plan, programs: &Programs, out: Option<&Path>) -> Result<Outcome, LabError> {
    check_programs_exist(programs)?;
    let block = AddressBlock::claim(plan.block.as_deref())?;
    check_addresses_free(plan, &block)?;
    let folder = match out {
        Some(out) => out.to_owned(),
        None => temporary_folder(&block),
    };
    std::fs::create_dir_all(&folder).map_err(io_error(&folder.display().to_string()))?;
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(io_error("runtime of the rig"))?;
    let outcome = LocalSet::new().block_on(&runtime, Rig::play(plan, programs, &block, &folder));
    if out.is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    outcome
}

fn check_programs_exist(programs: &Programs) -> Result<(), LabError> {
    match [&programs.node, &programs.lab]
        .into_iter()
        .find(|program| !program.is_file())
    {
        Some(missing) => Err(LabError(format!("{}: not built", missing.display()))),
        None => Ok(()),
    }
}

/// Checks that each address on which a node will listen for TCP connections is free.
fn check_addresses_free(plan: &Plan, block: &AddressBlock) -> Result<(), LabError> {
    for node in 0..plan.scenario.nodes {
        for addr in [block.clients(node), block.admin(node)] {
            TcpListener::bind(addr).map_err(io_error(&addr.to_string()))?;
        }
    }
    Ok(())
}

fn temporary_folder(block: &AddressBlock) -> PathBuf {
    std::env::temp_dir().join(format!(
        "quartzhub-fleet-{}-{}",
        std::process::id(),
        block.name()
    ))
}

/// Returns a conversion of I/O errors that puts the file or address concerned first.
fn io_error(subject: &str) -> impl FnOnce(std::io::Error) -> LabError {
    let subject = subject.to_owned();
    move |e| LabError(format!("{subject}: {e}"))
}
