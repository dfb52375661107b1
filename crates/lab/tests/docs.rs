//! Runs the commands shown in the README and the docs and compares their output with the text, and
//! checks that the configurations shown there are valid.
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

#[test]
fn commands_in_docs_print_the_documented_output() {
    // Paths on the pages are relative to the repository's root.
    std::env::set_current_dir(root()).expect("the repository's root is a folder");
    let lab = PathBuf::from(env!("CARGO_BIN_EXE_quartzhub-lab"));
    let node = lab.with_file_name("quartzhub");
    let cases = trycmd::TestCases::new();
    cases
        .register_bin("quartzhub-lab", lab.as_path())
        .register_bin("quartzhub", node.as_path());
    cases.case("README.md").case("docs/*.md");
}

/// The JSON keys shown on a page are merged into the example configuration, together with the
/// settings that they require.
#[test]
fn configurations_in_docs_are_valid() {
    let example = std::fs::read_to_string(root().join("examples/node.json"))
        .expect("the example is readable");
    let mut checked = 0;
    for page in ["docs/membership.md", "docs/coordination.md", "README.md"] {
        let text = std::fs::read_to_string(root().join(page)).expect("the page is readable");
        for block in text.split("```json\n").skip(1) {
            let block = block.split("```").next().unwrap_or_default();
            let mut config: serde_json::Value =
                serde_json::from_str(&example).expect("the example is valid JSON");
            let keys: serde_json::Value =
                serde_json::from_str(&format!("{{{block}}}")).expect("the page shows valid JSON");
            config["peer_listen"] = "127.0.0.1:7946".into();
            config["peers"] = serde_json::json!(["127.0.0.1:7946", "127.0.0.1:7947"]);
            config["settings"]["Me"] = 0.into();
            config["settings"]["Caps"]["Peers"] = true.into();
            for (key, value) in keys.as_object().expect("a JSON object") {
                config[key] = value.clone();
            }
            let read = quartzhub_node::Config::parse(
                &config.to_string(),
                quartzhub_node::Environment::default(),
            );
            let read = read.unwrap_or_else(|error| panic!("{page}: {error}"));
            assert!(
                read.ignored_errors.is_empty(),
                "{page}: {:?}",
                read.ignored_errors
            );
            checked += 1;
        }
    }
    assert!(checked > 0, "no page shows a configuration");
}
