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
pub mod reload;
pub mod resp;
pub mod shutdown;

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::rc::Rc;

use tokio::sync::{watch, Notify};
use tokio::task::{spawn_local, LocalSet};

pub use config::{Config, Environment};

/// Runs a node on this thread until SIGTERM and until all that it has taken is answered. SIGHUP has the
/// configuration read again.
pub fn run(config: Config) -> io::Result<()> {
    let limits = config.limits.clone();
    let writer = log::start(&limits);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let served = LocalSet::new().block_on(&runtime, async {
        let again = Rc::new(Notify::new());
        spawn_local(reload::hangups(again.clone())?);
        serve(config, shutdown::asked()?, again).await
    });
    writer.end(&limits);
    served
}

/// The same within a `LocalSet` of the caller's, until `asked` is ready; `again`: the configuration is to be
/// read again.
pub async fn serve(mut config: Config, asked: impl Future<Output = ()>, again: Rc<Notify>) -> io::Result<()> {
    let clock = clock::Clock::start();
    let listener = clients::listen(config.listen, clock, &config.limits).await?;
    let listen = listener.local_addr()?;
    let hub = effects::Hub::new(reducer::Reducer::new(&config), config.limits.clone(), clock);
    hub.tell(|reducer, now| reducer.start(now));
    let known = std::mem::take(&mut config.known);
    hub.tell(|reducer, now| reducer.list(now, &known, false, |unix| clock.started(unix)));
    spawn_local(effects::timer(hub.clone()));
    let (named, discovery) = watch::channel(config.discovery);
    spawn_local(discovery::follow(hub.clone(), discovery.clone(), known.version, config.seed));
    spawn_local(discovery::reload(hub.clone(), discovery));
    let last = Rc::new(Cell::new(clock.now()));
    spawn_local(clients::accept(hub.clone(), listener, last.clone()));
    config.passed_over.iter().for_each(|fault| crate::log!("configuration: {fault}"));
    crate::log!("{} serves on {listen}", config.name);
    spawn_local(reload::follow(config, again, named));
    shutdown::ended(hub, last, asked).await;
    Ok(())
}
