//! Helpers that play plans of the fleet rig with the programs built in the workspace.
use std::path::{Path, PathBuf};

use quartzhub_lab::fleet::{play, Outcome, Plan, Programs};

/// Returns the path of the laboratory's program.
pub fn lab_program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_quartzhub-lab"))
}

/// Returns the programs of the rig; the node program is in the folder of the laboratory's.
pub fn programs() -> Programs {
    Programs {
        node: lab_program().with_file_name("quartzhub"),
        args: Vec::new(),
        lab: lab_program(),
    }
}

/// Reads the example plan with this file name.
pub fn example_plan(name: &str) -> Plan {
    let file = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples/fleet")
        .join(name);
    Plan::parse(&std::fs::read_to_string(file).expect("a file")).expect("a plan")
}

/// Plays a plan, and asserts that no rule is broken and no expectation missed.
pub fn assert_holds(plan: &Plan) -> Outcome {
    let outcome = play(plan, &programs(), None).expect("played");
    assert_eq!(
        outcome.failures(),
        Vec::<String>::new(),
        "\n{}",
        outcome.table()
    );
    outcome
}
