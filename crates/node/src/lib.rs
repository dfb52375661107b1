//! The node of quartzhub: runs the policy on real sockets. `run` serves until the process is asked
//! to stop.
//!
//! Tasks that own sockets report events to the reducer and carry out its effects. Only the reducer
//! changes state and calls the policy. A further protocol for clients or servers would be a module
//! next to `clients` or `caches`, and use the same reducer.
#![deny(missing_docs)]
pub mod accept_failures;
pub mod admin;
pub mod attempt_response;
pub mod buffer;
pub mod caches;
pub mod client_handle;
pub mod clients;
pub mod clock;
pub mod commands;
pub mod config;
pub mod discovery;
pub mod effects;
pub mod error;
pub mod http;
pub mod limits;
pub mod log;
pub mod memory_budget;
pub mod messages;
pub mod metrics;
pub mod origin;
pub mod peers;
pub mod reducer;
pub mod reload;
pub mod resp;
pub mod service;
pub mod shared_ids;
pub mod shutdown;
pub mod socket_activation;
pub mod system;
pub mod upstreams;

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

use quartzhub_policy::Span;
use tokio::sync::{watch, Notify};
use tokio::task::{spawn_local, LocalSet};

use clients::Acceptor;
use clock::{duration, Clock};
pub use config::{Config, Environment};
use effects::EffectExecutor;
use peers::Peers;
use reducer::Reducer;
use shared_ids::SharedIds;

/// Runs a node on this thread until SIGTERM or SIGINT, and then until all accepted API calls have
/// their final response. SIGHUP reloads the configuration.
pub fn run(config: Config) -> io::Result<()> {
    let inherited = config
        .inherited_descriptor
        .map(socket_activation::listener)
        .transpose()?;
    let limits = config.limits.clone();
    let log_writer = log::start_writer(&limits);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let result = LocalSet::new().block_on(&runtime, async {
        let reload_requested = Rc::new(Notify::new());
        spawn_local(reload::forward_hangup_signals(reload_requested.clone())?);
        let stop = shutdown::stop_signal()?;
        serve(config, inherited, stop, reload_requested).await
    });
    log_writer.finish(&limits);
    result
}

/// Runs a node within a `LocalSet` of the caller until `stop` is ready. A notification of
/// `reload_requested` reloads the configuration. `inherited` is a listening socket that other
/// processes accept from as well; it replaces the node's own.
pub async fn serve(
    mut config: Config,
    inherited: Option<std::net::TcpListener>,
    stop: impl Future<Output = ()>,
    reload_requested: Rc<Notify>,
) -> io::Result<()> {
    let mut stop = std::pin::pin!(stop);
    let clock = Clock::start();
    let listener_is_shared = inherited.is_some();
    let known_version = config.known_endpoints.version;
    let executor = start_reducer(&mut config, clock);
    let peers = start_peers(&config, &executor).await?;
    start_admin(&config, &executor, peers.as_ref()).await?;
    let discovery = start_discovery(&config, &executor, known_version);
    if !wait_for_initial_state(&config, &executor, peers.as_deref(), stop.as_mut()).await {
        return Ok(());
    }
    let Some(listener) = listen(&config, inherited, clock, stop.as_mut()).await? else {
        return Ok(());
    };
    let listen = listener.local_addr()?;
    if listener_is_shared {
        share_ids(&executor, listen);
    }
    let acceptor = Acceptor::start(executor.clone(), listener);
    report_listening(&config, &executor, listen);
    spawn_local(reload::run(
        executor.clone(),
        config,
        reload_requested,
        discovery,
    ));
    let stop_then_leave = async {
        stop.await;
        if let Some(peers) = &peers {
            peers.leave();
        }
    };
    shutdown::run(executor, stop_then_leave, acceptor, listener_is_shared).await;
    Ok(())
}

/// Shares the ids of calls that must not be executed twice with the process before or after this one.
fn share_ids(executor: &EffectExecutor, listen: SocketAddr) {
    match SharedIds::open(listen, executor.limits.id_memory) {
        Ok(shared_ids) => drop(executor.shared_ids.set(shared_ids)),
        Err(error) => {
            tracing::warn!(%error, "ids can't be shared with another process: {error}");
        }
    }
}

/// Starts the reducer with the endpoint list of the configuration, and its timer.
fn start_reducer(config: &mut Config, clock: Clock) -> Rc<EffectExecutor> {
    let executor = EffectExecutor::new(Reducer::new(config), config.limits.clone(), clock);
    executor.sample_wall_clock();
    executor.report(|reducer, now| reducer.start(now));
    let mut endpoints = std::mem::take(&mut config.known_endpoints);
    // The list of the configuration is always complete: no other servers are known yet.
    endpoints.full = true;
    executor.report(|reducer, now| {
        reducer.on_endpoint_list(now, &endpoints, |unix_ms| {
            executor.server_start_time(now, unix_ms)
        })
    });
    spawn_local(effects::timer(executor.clone()));
    executor
}

/// Starts communication with the other nodes, if membership is on.
async fn start_peers(
    config: &Config,
    executor: &Rc<EffectExecutor>,
) -> io::Result<Option<Rc<Peers>>> {
    let Some(peer_config) = config.membership.clone() else {
        return Ok(None);
    };
    let peers = Peers::open(peer_config, config.seed, executor.clock, &executor.limits).await?;
    spawn_local(peers.clone().run(executor.clone()));
    Ok(Some(peers))
}

/// Starts the admin API, if the configuration has an address for it.
async fn start_admin(
    config: &Config,
    executor: &Rc<EffectExecutor>,
    peers: Option<&Rc<Peers>>,
) -> io::Result<()> {
    let Some(address) = config.admin_listen else {
        return Ok(());
    };
    let listener = clients::listen(address, executor.clock, &config.limits).await?;
    tracing::info!("admin API listens on {}", listener.local_addr()?);
    spawn_local(admin::accept(executor.clone(), listener, peers.cloned()));
    Ok(())
}

/// Starts watching discovery. An address sent by the returned sender replaces the current one.
fn start_discovery(
    config: &Config,
    executor: &Rc<EffectExecutor>,
    known_version: u64,
) -> watch::Sender<Option<SocketAddr>> {
    let (discovery, changes) = watch::channel(config.discovery);
    spawn_local(discovery::follow(
        executor.clone(),
        changes,
        known_version,
        config.seed,
    ));
    discovery
}

/// Reports to the reducer and logs that clients are accepted, and logs the ignored errors of the
/// configuration.
fn report_listening(config: &Config, executor: &Rc<EffectExecutor>, listen: SocketAddr) {
    executor.report(|reducer, _| reducer.on_listening());
    for error in &config.ignored_errors {
        tracing::warn!("configuration: {error}");
    }
    tracing::info!(node = config.name, %listen, "{} serves on {listen}", config.name);
}

/// Waits for the first update of discovery and the first datagram of a peer, each for a limited
/// time. Returns false if the node is asked to stop meanwhile.
async fn wait_for_initial_state(
    config: &Config,
    executor: &Rc<EffectExecutor>,
    peers: Option<&Peers>,
    mut stop: Pin<&mut impl Future<Output = ()>>,
) -> bool {
    let limits = &executor.limits;
    // Without this, the node would send requests to a server that has drained since the configured
    // list was written: from the start of the process the node counts as notified of all that
    // discovery has.
    if config.discovery.is_some() {
        let first_update = executor.wait_for_first_discovery_update();
        let limit = limits.first_endpoint_list_timeout;
        if !ready_or_timed_out(first_update, limit, stop.as_mut()).await {
            return false;
        }
    }
    // Without this, the node would send requests to a server that operators drained while this
    // process was down: the first datagram of a peer carries the drain overrides.
    if let Some(peers) = peers {
        let limit = limits.first_peer_timeout;
        if !ready_or_timed_out(peers.wait_for_contact(), limit, stop).await {
            peers.leave();
            return false;
        }
    }
    true
}

/// Waits for `event` for at most `limit`. Returns false if `stop` is ready first.
async fn ready_or_timed_out(
    event: impl Future<Output = ()>,
    limit: Span,
    stop: Pin<&mut impl Future<Output = ()>>,
) -> bool {
    tokio::select! {
        _ = tokio::time::timeout(duration(limit), event) => true,
        () = stop => false,
    }
}

/// Returns the socket that clients are accepted from, or `None` if the node is asked to stop before
/// it listens.
async fn listen(
    config: &Config,
    inherited: Option<std::net::TcpListener>,
    clock: Clock,
    stop: Pin<&mut impl Future<Output = ()>>,
) -> io::Result<Option<tokio::net::TcpListener>> {
    match inherited {
        Some(listener) => tokio::net::TcpListener::from_std(listener).map(Some),
        // Listening is the last step of the start, as every client that connects must get a
        // response. A process that is asked to stop before this step exits at once, as it has
        // accepted nothing.
        None => tokio::select! {
            listener = clients::listen(config.listen, clock, &config.limits) => listener.map(Some),
            () = stop => Ok(None),
        },
    }
}
