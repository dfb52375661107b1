//! Names of keys, to see whether a file read again still has all that it had.
use std::collections::BTreeSet;

/// The dotted names of all keys under one; of a list's items, those that each of them has.
pub(super) fn put_keys(under: &str, value: &serde_json::Value, into: &mut BTreeSet<String>) {
    match value {
        serde_json::Value::Object(fields) => {
            for (key, value) in fields {
                let key = format!("{under}.{key}");
                put_keys(&key, value, into);
                into.insert(key);
            }
        }
        serde_json::Value::Array(items) => {
            let of = |item| {
                let mut keys = BTreeSet::new();
                put_keys(&format!("{under}[]"), item, &mut keys);
                keys
            };
            let all = items.iter().map(of).reduce(|all, keys| &all & &keys);
            into.extend(all.unwrap_or_else(|| BTreeSet::from([format!("{under}[]")])));
        }
        _ => {}
    }
}
