//! SIGTERM: the node takes what still comes, answers all of it, and ends.
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::rc::Rc;

use quartzhub_policy::Time;
use tokio::signal::unix::{signal, SignalKind};

use crate::clock::duration;
use crate::effects::Hub;
use crate::reducer::Reducer;

/// Ready once the process is asked to stop; from the call on, SIGTERM and SIGINT no longer end it at once.
pub fn asked() -> io::Result<impl Future<Output = ()>> {
    let (mut term, mut int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    Ok(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
    })
}

/// Waits until the node is asked to stop, and then for the end. `last`: when the last connection was taken.
pub async fn ended(hub: Rc<Hub>, last: Rc<Cell<Time>>, asked: impl Future<Output = ()>) {
    asked.await;
    crate::log!("asked to stop with {} API calls open", hub.ask(Reducer::open_calls));
    let asked = hub.clock.now();
    hub.tell(|reducer, now| reducer.stop(now));
    loop {
        tokio::time::sleep(duration(hub.limits.stop_look)).await;
        let now = hub.clock.now();
        let quiet = now - last.get() >= hub.limits.stop_quiet && now - asked >= hub.limits.stop_accept;
        if quiet {
            // Those that came last and asked nothing.
            hub.tell(|reducer, now| reducer.stop(now));
        }
        let done = hub.ask(Reducer::open_calls) == 0 && hub.clients.borrow().is_empty();
        if quiet && done || now - asked >= hub.limits.stop_longest {
            crate::log!("stopped with {} API calls open", hub.ask(Reducer::open_calls));
            return;
        }
    }
}
