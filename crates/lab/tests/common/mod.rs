//! Runs plans of the fleet rig with the programs built in this workspace.
use std::path::{Path, PathBuf};

use quartzhub_lab::fleet::{play, Outcome, Plan, Programs};

/// Returns the path of the laboratory's program.
pub fn lab() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_quartzhub-lab"))
}

/// Returns the paths of the node's program, which is in the same folder as the laboratory's, and of
/// the laboratory's.
pub fn programs() -> Programs {
    Programs {
        node: lab().with_file_name("quartzhub"),
        args: Vec::new(),
        lab: lab(),
    }
}

/// Reads a plan from the examples by its file name.
pub fn plan(name: &str) -> Plan {
    let file = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples/fleet")
        .join(name);
    Plan::parse(&std::fs::read_to_string(file).expect("the plan is readable"))
        .expect("the plan is valid")
}

/// Runs a plan and asserts that no rule is broken and all expectations are met.
pub fn assert_holds(plan: &Plan) -> Outcome {
    let outcome = play(plan, &programs(), None).expect("the plan runs");
    assert_eq!(
        outcome.failures(),
        Vec::<String>::new(),
        "\n{}",
        outcome.table()
    );
    outcome
}
