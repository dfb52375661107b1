//! Follows discovery by a watch, which is reopened whenever it ends. Only complete lines, empty
//! ones included, keep a watch alive.
use std::net::SocketAddr;
use std::rc::Rc;

use quartzhub_policy::Pcg;
use tokio::sync::{watch as watch_channel, Notify};
use tokio::task::{spawn_local, JoinHandle};

use crate::clock::duration;
use crate::effects::EffectExecutor;

mod backoff;
mod decoder;
mod watch;

use backoff::Backoff;
use watch::Watch;

/// The address of the discovery to follow, updated when the configuration changes it.
type DiscoveryAddress = watch_channel::Receiver<Option<SocketAddr>>;

/// Follows the discovery at `address`, and switches when the address changes; returns when the
/// sender of addresses is dropped. The watch on the previous discovery continues until the new one
/// has sent its endpoint list, so that updates never stop.
pub async fn follow(
    executor: Rc<EffectExecutor>,
    mut address: DiscoveryAddress,
    mut version: u64,
    seed: u64,
) {
    let mut current: Option<JoinHandle<()>> = None;
    loop {
        let discovery = *address.borrow_and_update();
        if let Some(discovery) = discovery {
            let updated = Rc::new(Notify::new());
            let next = spawn_local(keep_watching(
                executor.clone(),
                discovery,
                version,
                seed,
                updated.clone(),
            ));
            // Versions of another discovery are not comparable with these.
            version = 0;
            let address_changed = tokio::select! {
                () = updated.notified() => false,
                _ = address.changed() => true,
            };
            if address_changed && current.is_some() {
                next.abort();
                continue;
            }
            if let Some(previous) = current.replace(next) {
                tracing::info!("discovery: switched to {discovery}");
                previous.abort();
            }
            if address_changed {
                continue;
            }
        }
        if address.changed().await.is_err() {
            return;
        }
    }
}

/// Reopens the watch, after a backoff with jitter, whenever it has ended. Meanwhile the known
/// endpoint list stays in use.
async fn keep_watching(
    executor: Rc<EffectExecutor>,
    discovery: SocketAddr,
    mut version: u64,
    seed: u64,
    updated: Rc<Notify>,
) {
    let mut backoff = Backoff::new(&executor.limits);
    let mut rng = Pcg::new(seed);
    loop {
        let mut watch = Watch::new(
            executor.clone(),
            discovery,
            version,
            backoff.open_timeout(),
            updated.clone(),
        );
        let Err(error) = watch.run().await;
        tracing::warn!(from = %discovery, "discovery watch ended: {error}");
        let outcome = watch.outcome(version);
        version = watch.version();
        drop(watch);
        let delay = backoff.next_delay(outcome, &mut rng);
        tokio::time::sleep(duration(delay)).await;
    }
}
