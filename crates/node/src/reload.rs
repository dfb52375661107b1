//! Reload at SIGHUP: rereads the configuration and applies what may change while the node runs.
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{watch, Notify};

use crate::clock::duration;
use crate::config::{Config, ReloadSummary};
use crate::effects::EffectExecutor;
use crate::error::ConfigError;

/// Returns a future that notifies `requested` at each SIGHUP. From this call on, SIGHUP no longer
/// terminates the process.
pub fn forward_hangup_signals(requested: Rc<Notify>) -> io::Result<impl Future<Output = ()>> {
    let mut hangup = signal(SignalKind::hangup())?;
    Ok(async move {
        while hangup.recv().await.is_some() {
            requested.notify_one();
        }
    })
}

/// Reloads the configuration at each request, and sends the address of discovery if it has changed.
pub async fn run(
    executor: Rc<EffectExecutor>,
    mut config: Config,
    requested: Rc<Notify>,
    discovery: watch::Sender<Option<SocketAddr>>,
) {
    loop {
        requested.notified().await;
        let result = reload_with_retries(&executor, &mut config).await;
        executor.report(|reducer, now| {
            reducer.on_config_reload(result.is_ok());
            if result
                .as_ref()
                .is_ok_and(|summary| summary.settings_changed)
            {
                reducer.reconfigure(now, &config.settings);
            }
        });
        match result {
            Ok(summary) => {
                log_summary(&summary, &config);
                let address = config.discovery;
                discovery
                    .send_if_modified(|current| std::mem::replace(current, address) != address);
            }
            // An error in a new file must not take the node out of service.
            Err(error) => tracing::warn!("configuration: {error}; the previous one stays in force"),
        }
    }
}

/// Reloads the configuration. Retries while the file can't be read, as it may be in the middle of
/// being replaced, or the system may be out of descriptors or memory for a moment.
async fn reload_with_retries(
    executor: &EffectExecutor,
    config: &mut Config,
) -> Result<ReloadSummary, ConfigError> {
    let mut result = config.reload();
    for _ in 0..executor.limits.reload_retries {
        if !result.as_ref().is_err_and(ConfigError::is_unreadable_file) {
            break;
        }
        tokio::time::sleep(duration(executor.limits.reload_retry_interval)).await;
        result = config.reload();
    }
    result
}

fn log_summary(summary: &ReloadSummary, config: &Config) {
    let settings = if summary.settings_changed {
        ", with other settings"
    } else {
        ""
    };
    tracing::info!("configuration reloaded{settings}");
    for error in &config.ignored_errors {
        tracing::warn!("configuration: {error}");
    }
    for key in &summary.needs_restart {
        tracing::info!("configuration: {key}: takes effect at a restart only");
    }
}
