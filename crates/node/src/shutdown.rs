//! SIGTERM: the node serves on while it may, answers all that it takes, and ends.
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::rc::Rc;

use quartzhub_policy::Time;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::JoinHandle;

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
/// Guards against a node that is of no use from SIGTERM on, although its clients have no other yet: it serves
/// those that it has for nearly as long as it is given. `handed_over`: what takes clients from a socket that the
/// next process serves already; it ends at once, and clients are closed between answers from then on, so that
/// they go to the next.
pub async fn ended(
    hub: Rc<Hub>,
    last: Rc<Cell<Time>>,
    asked: impl Future<Output = ()>,
    handed_over: Option<JoinHandle<()>>,
) {
    asked.await;
    let open = hub.ask(Reducer::open_calls);
    tracing::info!(open, "asked to stop with {open} API calls open");
    let asked = hub.clock.now();
    let limits = &hub.ask(|reducer| reducer.limits().clone());
    hub.tell(|reducer, _| reducer.answer_all_by(asked + limits.stop_answered));
    let shared = handed_over.is_some();
    if let Some(accepting) = handed_over {
        accepting.abort();
        // What it holds is closed by its end, so that no connection comes to where nobody reads it.
        let _ = accepting.await;
    }
    loop {
        tokio::time::sleep(duration(limits.stop_look)).await;
        let now = hub.clock.now();
        if shared || now - asked >= limits.stop_serve {
            hub.tell(|reducer, now| reducer.stop(now));
        }
        // Guards against clients whose next command always comes in time: at the end of the process it would be cut off.
        if now - asked >= limits.stop_part {
            hub.clients.borrow().values().for_each(|client| client.part());
        }
        let quiet = shared || now - last.get() >= limits.stop_quiet && now - asked >= limits.stop_accept;
        let done = hub.ask(Reducer::open_calls) == 0 && hub.clients.borrow().is_empty();
        if quiet && done || now - asked >= limits.stop_longest {
            let open = hub.ask(Reducer::open_calls);
            tracing::info!(open, "stopped with {open} API calls open");
            return;
        }
    }
}
