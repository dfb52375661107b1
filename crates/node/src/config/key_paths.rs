//! Paths of all keys of a document. A reload uses them to detect a truncated file, which has lost
//! some of them.
use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

/// Key whose content is not compared, as servers join and leave the list.
const KNOWN_SERVERS: &str = "known";

/// Returns the paths of all keys of a document, except those within the list of known servers.
pub(super) fn document_key_paths(document: &BTreeMap<String, Value>) -> BTreeSet<String> {
    let mut paths = BTreeSet::new();
    for (key, value) in document {
        paths.insert(key.clone());
        if key != KNOWN_SERVERS {
            add_key_paths(key, value, &mut paths);
        }
    }
    paths
}

/// Adds the paths of all keys below `parent`. For the items of a list, adds the paths that all
/// items have.
fn add_key_paths(parent: &str, value: &Value, paths: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                let path = format!("{parent}.{key}");
                add_key_paths(&path, value, paths);
                paths.insert(path);
            }
        }
        Value::Array(items) => {
            let item_path = format!("{parent}[]");
            let item_paths = |item| {
                let mut paths = BTreeSet::new();
                add_key_paths(&item_path, item, &mut paths);
                paths
            };
            let common = items
                .iter()
                .map(item_paths)
                .reduce(|common, paths| &common & &paths);
            // An empty list gets a path of its own, which distinguishes it from a missing list.
            paths.extend(common.unwrap_or_else(|| BTreeSet::from([item_path])));
        }
        _ => {}
    }
}
