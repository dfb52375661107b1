//! quartzhub's node: the decision module on real sockets. `run` serves until it is asked to stop.
//!
//! Sockets report to the reducer and carry out its effects; the reducer alone changes state and calls the
//! module. Another protocol for clients or servers stands beside `clients` or `caches`, before the same reducer.
pub mod buffer;
pub mod caches;
pub mod clients;
pub mod clock;
pub mod config;
pub mod discovery;
pub mod effects;
pub mod http;
pub mod limits;
pub mod links;
pub mod log;
pub mod origin;
pub mod reducer;
pub mod resp;
pub mod shutdown;

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::rc::Rc;

use tokio::task::{spawn_local, LocalSet};

pub use config::{Config, Environment};

/// Runs a node on this thread until SIGTERM and until all that it has taken is answered.
pub fn run(config: Config) -> io::Result<()> {
    let limits = config.limits.clone();
    let writer = log::start(&limits);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let served = LocalSet::new().block_on(&runtime, async { serve(config, shutdown::asked()?).await });
    writer.end(&limits);
    served
}

/// The same within a `LocalSet` of the caller's, until `asked` is ready.
pub async fn serve(config: Config, asked: impl Future<Output = ()>) -> io::Result<()> {
    let clock = clock::Clock::start();
    let listener = clients::listen(config.listen, clock, &config.limits).await?;
    let listen = listener.local_addr()?;
    let hub = effects::Hub::new(reducer::Reducer::new(&config), config.limits.clone(), clock);
    hub.tell(|reducer, now| reducer.start(now));
    hub.tell(|reducer, now| reducer.list(now, &config.known, false, |unix| clock.started(unix)));
    spawn_local(effects::timer(hub.clone()));
    if let Some(from) = config.discovery {
        spawn_local(discovery::watch(hub.clone(), from, config.known.version, config.seed));
        spawn_local(discovery::reload(hub.clone(), from));
    }
    let last = Rc::new(Cell::new(clock.now()));
    spawn_local(clients::accept(hub.clone(), listener, last.clone()));
    config.passed_over.iter().for_each(|fault| crate::log!("configuration: {fault}"));
    crate::log!("{} serves on {listen}", config.name);
    shutdown::ended(hub, last, asked).await;
    Ok(())
}
