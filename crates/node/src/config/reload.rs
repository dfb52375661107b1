//! Rereads the configuration file while the node runs.
use std::collections::BTreeSet;

use super::Config;
use crate::error::ConfigError;

#[cfg(test)]
mod tests;

/// What a reload changed.
#[derive(Debug, PartialEq)]
pub struct ReloadSummary {
    /// Changed keys that take effect only after a restart.
    pub needs_restart: Vec<String>,
    /// Whether settings changed; these take effect at once.
    pub settings_changed: bool,
}

impl Config {
    /// Rereads the file, validates all of it, and applies what may change while the node runs.
    /// Environment variables override the file as they did at the start, except that a change of
    /// `discovery` in the file takes precedence. After an error nothing has changed. Every key that
    /// the file had before must still be present; otherwise a truncated file would be applied.
    pub fn reload(&mut self) -> Result<ReloadSummary, ConfigError> {
        let source = self.source.as_ref().ok_or(ConfigError::NoFile)?;
        let new = Config::read(&source.file, source.environment.clone())?;
        if let Some(key) = lost_key_path(&self.key_paths, &new.key_paths) {
            return Err(ConfigError::missing_key(key).in_file(&source.file));
        }
        let needs_restart = self.changes_that_need_a_restart(&new);
        let settings_changed = self.settings.0 != new.settings.0;
        if new.discovery_in_file != self.discovery_in_file {
            self.discovery_in_file = new.discovery_in_file;
            self.discovery = new.discovery_in_file;
        }
        self.ignored_errors = new.ignored_errors;
        self.settings = new.settings;
        Ok(ReloadSummary {
            needs_restart,
            settings_changed,
        })
    }

    fn changes_that_need_a_restart(&self, new: &Config) -> Vec<String> {
        let mut changed = Vec::new();
        let mut compare = |key: &str, differs: bool| {
            if differs {
                changed.push(key.to_owned());
            }
        };
        compare("name", new.name != self.name);
        compare("listen", new.listen != self.listen);
        compare("ops", new.admin_listen != self.admin_listen);
        compare("limits", new.machine_limits != self.machine_limits);
        compare("membership", new.membership != self.membership);
        changed
    }
}

/// Returns the first key path in `old` that is missing from `new`.
fn lost_key_path<'a>(old: &'a BTreeSet<String>, new: &'a BTreeSet<String>) -> Option<&'a String> {
    // A list may become empty, as the list of tenants does when the last tenant is removed.
    let is_in_emptied_list = |key: &str| {
        key.match_indices("[]")
            .any(|(start, brackets)| new.contains(&key[..start + brackets.len()]))
    };
    old.difference(new)
        .find(|key| !is_in_emptied_list(key) && !key.ends_with("[]"))
}
