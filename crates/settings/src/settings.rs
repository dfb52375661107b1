//! Settings as a flat map of dotted names to values.
use std::collections::BTreeMap;

use quartzhub_policy::Span;

/// The value of a setting.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    /// A number.
    Number(f64),
    /// A boolean.
    Flag(bool),
    /// A string.
    Text(String),
}

/// Settings by their dotted names; durations are in milliseconds.
#[derive(Debug, Clone, Default)]
pub struct Settings(pub BTreeMap<String, Value>);

impl Settings {
    /// Flattens a settings document: `Products[0].LatencySlo` becomes `products.0.latency_slo`.
    pub fn from_document(document: &serde_json::Value) -> Settings {
        let mut settings = Settings::default();
        settings.insert_all(String::new(), document);
        settings
    }

    fn insert_all(&mut self, name: String, value: &serde_json::Value) {
        let value = match value {
            serde_json::Value::Null => return,
            serde_json::Value::Bool(flag) => Value::Flag(*flag),
            serde_json::Value::Number(number) => Value::Number(number.as_f64().unwrap_or(f64::NAN)),
            serde_json::Value::String(text) => Value::Text(text.clone()),
            serde_json::Value::Array(items) => {
                for (i, item) in items.iter().enumerate() {
                    self.insert_all(dotted(&name, &i.to_string()), item);
                }
                return;
            }
            serde_json::Value::Object(fields) => {
                for (key, item) in fields {
                    self.insert_all(dotted(&name, &snake_case(key)), item);
                }
                return;
            }
        };
        self.0.insert(name, value);
    }

    /// Returns a finite number, or the default.
    pub fn number(&self, name: &str, default: f64) -> f64 {
        match self.0.get(name) {
            Some(Value::Number(number)) if number.is_finite() => *number,
            _ => default,
        }
    }

    /// Returns a duration given in milliseconds, or the default; never negative.
    pub fn span(&self, name: &str, default: Span) -> Span {
        Span::from_ms(self.number(name, default.as_ms()).max(0.0))
    }

    /// Returns whether a flag is present and true.
    pub fn flag(&self, name: &str) -> bool {
        matches!(self.0.get(name), Some(Value::Flag(true)))
    }

    /// Returns a string, or an empty one if the setting is missing.
    pub fn text(&self, name: &str) -> &str {
        match self.0.get(name) {
            Some(Value::Text(text)) => text,
            _ => "",
        }
    }

    /// Returns the number of nodes, or 1 if the settings do not state it.
    pub fn nodes(&self) -> f64 {
        self.number("balancers", 1.0).max(1.0)
    }

    /// Returns the number of consecutive list entries `name.0`, `name.1` and so on.
    pub fn count(&self, name: &str) -> usize {
        let exists = |i: &usize| {
            let entry = format!("{name}.{i}");
            let prefix = format!("{entry}.");
            let next = self.0.range(entry.clone()..).next();
            next.is_some_and(|(key, _)| *key == entry || key.starts_with(&prefix))
        };
        (0..).take_while(exists).count()
    }
}

fn dotted(parent: &str, part: &str) -> String {
    if parent.is_empty() {
        part.to_owned()
    } else {
        format!("{parent}.{part}")
    }
}

fn snake_case(pascal_case: &str) -> String {
    let mut out = String::new();
    for c in pascal_case.chars() {
        if c.is_ascii_uppercase() && !out.is_empty() {
            out.push('_');
        }
        out.push(c.to_ascii_lowercase());
    }
    out
}
