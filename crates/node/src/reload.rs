//! SIGHUP: the configuration is read again, and what may change while the node runs does.
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{watch, Notify};

use crate::config::Config;
use crate::effects::Hub;

/// Passes each SIGHUP on; from the call on, it no longer ends the process.
pub fn hangups(again: Rc<Notify>) -> io::Result<impl Future<Output = ()>> {
    let mut hangup = signal(SignalKind::hangup())?;
    Ok(async move {
        while hangup.recv().await.is_some() {
            again.notify_one();
        }
    })
}

/// Reads the configuration again whenever it is asked for, and names the discovery that is to be followed.
pub async fn follow(
    hub: Rc<Hub>,
    mut config: Config,
    again: Rc<Notify>,
    discovery: watch::Sender<Option<SocketAddr>>,
) {
    loop {
        again.notified().await;
        let read = config.read_again();
        hub.tell(|reducer, now| {
            reducer.configured(read.is_ok());
            if read.as_ref().is_ok_and(|again| again.settings) {
                reducer.retune(now, &config.settings);
            }
        });
        match read {
            Ok(again) => {
                let what = if again.settings { ", with other settings" } else { "" };
                tracing::info!("configuration read again{what}");
                config.passed_over.iter().for_each(|fault| tracing::warn!("configuration: {fault}"));
                again
                    .at_restart
                    .iter()
                    .for_each(|key| tracing::info!("configuration: {key}: changes at a restart only"));
                let now = config.discovery;
                discovery.send_if_modified(|named| std::mem::replace(named, now) != now);
            }
            // Guards against a fault in a new file that would take the node out of service.
            Err(fault) => tracing::warn!("configuration: {fault}; the one before is kept"),
        }
    }
}
