//! Starts a daemon's tasks and runs it until its graceful shutdown is complete.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use actix_web::web::Payload;
use actix_web::{App, HttpRequest, HttpResponse, guard, rt, web};
use lapismoor_core::Clock;
use lapismoor_core::admission::{ConnectionPhase, StopPhase};
use lapismoor_core::membership::DaemonRecord;
use lapismoor_mirror::PeerPlace;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use crate::connections::Connections;
use crate::context::Edge;
use crate::crash_watch::watch_targets;
use crate::dialect::Dialect;
use crate::in_flight;
use crate::listeners::Listeners;
use crate::paths::probe_paths;
use crate::profiles;
use crate::serve;
use crate::serve::dry_run::{DryRun, DryRunQuery};
use crate::server;
use crate::settings::EdgeSettings;
use crate::spans::Spans;
use crate::status::Status;
use crate::store::{
    StoreClient, announce, exchange_between_collectors, exchange_observations, follow,
    mark_versions, mirror_source, record_streams, share_suspects, sweep_evacuations,
};
use crate::streams::share_streams;

/// Interval between removals of expired entries and idle connections.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which a stopping daemon checks whether it may exit.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Error when starting a daemon.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// An address cannot be bound.
    #[snafu(display(
        "cannot listen on {address} ({field}): {source}; check that the address is local and the port is free"
    ))]
    Listen {
        /// Address that was tried.
        address: SocketAddr,
        /// Setting that holds the address.
        field: &'static str,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The trace file cannot be opened.
    #[snafu(display(
        "cannot open {} (trace file): {source}; check the path and its permissions", path.display()
    ))]
    TraceFile {
        /// Path from the settings.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The signal handlers cannot be installed.
    #[snafu(display("cannot install signal handlers: {source}; check the process limits"))]
    Signals {
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Runs a daemon until SIGTERM or SIGINT, then shuts it down gracefully. Must run on a local task
/// set, such as that of `actix_web::rt::System`.
///
/// # Errors
/// [`StartError`] if the trace file, the peer listener or the signal handlers fail.
pub async fn run(
    settings: EdgeSettings,
    listeners: Listeners,
    clock: Clock,
    dialect: Dialect,
    store: StoreClient,
) -> Result<(), StartError> {
    let spans = open_spans(&settings)?;
    let edge = Edge::new(settings, spans, clock, dialect, store.clone());
    let stop_accepting = CancellationToken::new();
    serve_callers(&edge, listeners.callers, &stop_accepting);
    if let Some(ready) = listeners.ready {
        serve_readiness(&edge, ready);
    }
    serve_metrics(&edge, listeners.metrics);
    let peer_address = listeners.peers.local_addr().context(ListenSnafu {
        address: edge.settings.peer_address,
        field: "peer_address",
    })?;
    rt::spawn(lapismoor_mirror::serve(
        listeners.peers,
        mirror_source(&edge),
        log_peer_error,
        peer_places(&edge),
        edge.peer_bytes.clone(),
    ));
    let record = DaemonRecord {
        id: edge.settings.daemon.clone(),
        domain: edge.settings.domain.clone(),
        incarnation: edge.incarnation(),
        address: peer_address,
        caller_address: Some(edge.settings.caller_address),
        operator_address: Some(edge.settings.metrics_address),
        link_mbps: edge.settings.link_mbps,
    };
    rt::spawn(follow(Rc::clone(&edge), store.clone()));
    rt::spawn(announce(Rc::clone(&edge), store, record));
    rt::spawn(profiles::rewrite_records(Rc::clone(&edge)));
    rt::spawn(share_suspects(Rc::clone(&edge)));
    rt::spawn(watch_targets(Rc::clone(&edge)));
    rt::spawn(probe_paths(Rc::clone(&edge)));
    rt::spawn(exchange_observations(Rc::clone(&edge)));
    rt::spawn(exchange_between_collectors(Rc::clone(&edge)));
    rt::spawn(share_streams(Rc::clone(&edge)));
    rt::spawn(record_streams(Rc::clone(&edge)));
    rt::spawn(mark_versions(Rc::clone(&edge)));
    rt::spawn(run_housekeeping(Rc::clone(&edge)));
    log::info!(
        caller_address:% = edge.settings.caller_address,
        domain:% = edge.settings.domain;
        "started"
    );
    wait_for_stop(&edge).await?;
    stop(&edge, &stop_accepting).await;
    Ok(())
}

fn open_spans(settings: &EdgeSettings) -> Result<Option<Spans>, StartError> {
    let Some(path) = &settings.trace_file else {
        return Ok(None);
    };
    let spans = Spans::to_file(path, &settings.daemon);
    spans.map(Some).context(TraceFileSnafu { path })
}

fn serve_callers(edge: &Rc<Edge>, listener: TcpListener, stop: &CancellationToken) {
    let for_requests = Rc::clone(edge);
    let for_guard = Rc::clone(edge);
    let profile_scope = web::scope("")
        .guard(guard::fn_guard(move |request| {
            profiles::handles(&for_guard, request.head())
        }))
        .configure(lapismoor_caller::routes);
    let for_count = Rc::clone(edge);
    let app = App::new()
        .wrap_fn(move |request, service| in_flight::count(&for_count, request, service))
        .app_data(web::Data::new(profiles::gateway(edge)))
        .service(profile_scope)
        .default_service(web::to(move |request: HttpRequest, payload: Payload| {
            serve::serve(Rc::clone(&for_requests), request, payload)
        }));
    let idle_timeout = edge.settings.tuning.caller_idle_timeout;
    rt::spawn(server::serve(
        listener,
        app,
        Rc::clone(&edge.caller_connections),
        idle_timeout,
        stop.clone(),
    ));
}

fn serve_readiness(edge: &Rc<Edge>, listener: TcpListener) {
    let for_ready = Rc::clone(edge);
    let app = App::new().route(
        edge.dialect.ready_path,
        web::get().to(move || {
            let is_ready = for_ready.is_ready();
            async move {
                if is_ready {
                    HttpResponse::Ok().finish()
                } else {
                    HttpResponse::ServiceUnavailable().finish()
                }
            }
        }),
    );
    let idle_timeout = edge.settings.tuning.caller_idle_timeout;
    rt::spawn(server::serve(
        listener,
        app,
        Connections::of_descriptors(edge.descriptors.operators),
        idle_timeout,
        CancellationToken::new(),
    ));
}

fn serve_metrics(edge: &Rc<Edge>, listener: TcpListener) {
    let for_metrics = Rc::clone(edge);
    let for_status = Rc::clone(edge);
    let for_dry_run = Rc::clone(edge);
    let dry_run = web::post().to(move |query: web::Json<DryRunQuery>| {
        let report = DryRun::of(&for_dry_run, query.into_inner());
        async move { HttpResponse::Ok().json(report) }
    });
    let status = web::get().to(move || {
        let status = Status::of(&for_status);
        async move { HttpResponse::Ok().json(status) }
    });
    let app = App::new().route("/status", status);
    let app = app.route("/where", dry_run).route(
        "/metrics",
        web::get().to(move || {
            let text = for_metrics.metrics.render();
            async move {
                match text {
                    Ok(text) => HttpResponse::Ok().content_type("text/plain").body(text),
                    Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
                }
            }
        }),
    );
    let idle_timeout = edge.settings.tuning.caller_idle_timeout;
    rt::spawn(server::serve(
        listener,
        app,
        Connections::of_descriptors(edge.descriptors.operators),
        idle_timeout,
        CancellationToken::new(),
    ));
}

/// Bounds the connections that other daemons open.
fn peer_places(edge: &Edge) -> impl Fn() -> Option<PeerPlace> + use<> {
    let connections = Connections::of_descriptors(edge.descriptors.peers);
    move || {
        let lease = connections.open()?;
        Some(PeerPlace {
            closed: lease.closed(),
            begin: Box::new(move || lease.set_phase(ConnectionPhase::Serving)),
        })
    }
}

fn log_peer_error(error: &std::io::Error) {
    log::warn!(error:%; "peer_connection_failed");
}

async fn run_housekeeping(edge: Rc<Edge>) {
    loop {
        tokio::time::sleep(HOUSEKEEPING_INTERVAL).await;
        let now = edge.now();
        edge.connections.close_expired(now);
        edge.peers.close_idle(now);
        edge.sweep_streams(now);
        edge.state.borrow_mut().ledger.sweep(now);
        let (expired, refuted) = {
            let mut state = edge.state.borrow_mut();
            let state = &mut *state;
            let confirmed_at = state.freshness.confirmed_at();
            let stable_since = state.store_stable_since;
            let directory = &state.directory;
            let refuted = state
                .suspects
                .settle(now, confirmed_at, stable_since, |target| {
                    directory.is_listed(target)
                });
            let expired = state.directory.sweep(now);
            let directory = &state.directory;
            state
                .reach
                .sweep(now, |target| directory.get(target).is_some());
            (expired, refuted)
        };
        edge.metrics
            .record_buffered("request", edge.request_buffers.used_bytes());
        edge.metrics
            .record_buffered("answer", edge.answer_buffers.used_bytes());
        edge.close_expired_connections();
        edge.report_warmth();
        sweep_evacuations(&edge, now);
        edge.clear_answered();
        for interruption in refuted {
            let target = &interruption.target.id;
            edge.log_refuted(interruption.fingerprint, target, "still_listed");
        }
        for id in expired {
            log::info!(target:% = id; "target_given_up");
        }
    }
}

async fn wait_for_stop(edge: &Edge) -> Result<(), StartError> {
    let mut terminate = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(SignalsSnafu)?;
    let mut hangup = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => log::info!("settings_kept"),
        }
    }
    edge.stopping_since.set(Some(edge.now()));
    edge.stopping.cancel();
    Ok(())
}

/// Accepts requests until the load balancer sends none, then waits for those in flight.
async fn stop(edge: &Edge, stop_accepting: &CancellationToken) {
    let plan = edge.stop_plan();
    let stop_began = edge.stopping_since.get().unwrap_or_else(|| edge.now());
    log::info!(in_flight = edge.in_flight.count() as u64; "stopping");
    let in_flight = || edge.in_flight.count() + edge.state.borrow().relay_slots.in_use();
    loop {
        match plan.phase(edge.now(), stop_began, in_flight()) {
            StopPhase::Exiting => break,
            StopPhase::Answering => edge.giving_up.cancel(),
            StopPhase::Accepting | StopPhase::Draining => {}
        }
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
    stop_accepting.cancel();
    edge.in_flight.report_exit(edge.now());
    log::info!(in_flight = edge.in_flight.count() as u64; "stopped");
}
