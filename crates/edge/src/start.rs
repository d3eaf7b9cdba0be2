//! Puts a daemon together and runs it to its planned stop.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use actix_web::web::Payload;
use actix_web::{App, HttpRequest, HttpResponse, guard, rt, web};
use lapismoor_core::Clock;
use lapismoor_core::admission::StopPhase;
use lapismoor_core::membership::DaemonRecord;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use crate::context::Edge;
use crate::dialect::Dialect;
use crate::listeners::Listeners;
use crate::profiles;
use crate::serve;
use crate::server;
use crate::settings::EdgeSettings;
use crate::spans::Spans;
use crate::status::Status;
use crate::store::{StoreClient, announce, follow, mirror_source};

/// Time between looks at what is due: lapsed entries, idle connections.
const HOUSEKEEPING: Duration = Duration::from_millis(250);
/// Time between looks at whether the last request ended, while stopping.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Why a daemon did not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// An address cannot be had.
    #[snafu(display("cannot listen at {address} ({field}): {source}; free the port"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What it is for.
        field: &'static str,
        /// Why.
        source: std::io::Error,
    },
    /// The file for spans cannot be opened.
    #[snafu(display(
        "cannot open {} (trace file): {source}; check the path and its rights", path.display()
    ))]
    TraceFile {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// Signals cannot be received.
    #[snafu(display("cannot receive signals: {source}; check the limits of the process"))]
    Signals {
        /// Why.
        source: std::io::Error,
    },
}

/// Runs a daemon until SIGTERM or SIGINT and the planned stop that follows. Must run on a local
/// task set, as `actix_web::rt::System` gives.
///
/// # Errors
/// [`StartError`] when it cannot start.
pub async fn run(
    settings: EdgeSettings,
    listeners: Listeners,
    clock: Clock,
    dialect: Dialect,
    store: StoreClient,
) -> Result<(), StartError> {
    let spans = open_spans(&settings)?;
    let edge = Edge::new(settings, spans, clock, dialect, store.clone());
    let accepting = CancellationToken::new();
    serve_callers(&edge, listeners.callers, &accepting);
    if let Some(ready) = listeners.ready {
        serve_balancer(&edge, ready);
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
    rt::spawn(keep_house(Rc::clone(&edge)));
    log::info!(
        caller_address:% = edge.settings.caller_address,
        domain:% = edge.settings.domain;
        "started"
    );
    wait_for_stop(&edge).await?;
    stop(&edge, &accepting).await;
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
    let by_profile = web::scope("")
        .guard(guard::fn_guard(move |request| {
            profiles::handles(&for_guard, request.head())
        }))
        .configure(lapismoor_caller::routes);
    let app = App::new()
        .app_data(web::Data::new(profiles::gateway(edge)))
        .app_data(web::PayloadConfig::new(
            edge.settings.callers.max_body_bytes,
        ))
        .service(by_profile)
        .default_service(web::to(move |request: HttpRequest, payload: Payload| {
            serve::serve(Rc::clone(&for_requests), request, payload)
        }));
    let idle = edge.settings.tuning.caller_idle_timeout;
    rt::spawn(server::serve(listener, app, idle, stop.clone()));
}

fn serve_balancer(edge: &Rc<Edge>, listener: TcpListener) {
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
    let idle = edge.settings.tuning.caller_idle_timeout;
    rt::spawn(server::serve(listener, app, idle, CancellationToken::new()));
}

fn serve_metrics(edge: &Rc<Edge>, listener: TcpListener) {
    let for_metrics = Rc::clone(edge);
    let for_status = Rc::clone(edge);
    let status = web::get().to(move || {
        let status = Status::of(&for_status);
        async move { HttpResponse::Ok().json(status) }
    });
    let app = App::new().route("/status", status).route(
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
    let idle = edge.settings.tuning.caller_idle_timeout;
    rt::spawn(server::serve(listener, app, idle, CancellationToken::new()));
}

fn log_peer_error(error: &std::io::Error) {
    log::warn!(error:%; "peer_connection_failed");
}

async fn keep_house(edge: Rc<Edge>) {
    loop {
        tokio::time::sleep(HOUSEKEEPING).await;
        let now = edge.now();
        edge.connections.close_expired(now);
        edge.state.borrow_mut().ledger.sweep(now);
        let given_up = edge.state.borrow_mut().directory.sweep(now);
        for id in given_up {
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

/// Takes requests until the balancer knows, then waits for those in flight.
async fn stop(edge: &Edge, accepting: &CancellationToken) {
    let plan = edge.stop_plan();
    let began = edge.stopping_since.get().unwrap_or_else(|| edge.now());
    log::info!(in_flight = edge.in_flight.get() as u64; "stopping");
    while plan.phase(edge.now(), began, edge.in_flight.get()) != StopPhase::Exiting {
        tokio::time::sleep(STOP_POLL).await;
    }
    accepting.cancel();
    log::info!(in_flight = edge.in_flight.get() as u64; "stopped");
}
