//! Puts a daemon together and runs it to its planned stop.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use actix::{Actor, Addr};
use actix_web::dev::ServerHandle;
use actix_web::{App, HttpServer, web};
use lapismoor_caller::Gateway;
use lapismoor_core::event::{CallerEvent, Event};
use lapismoor_core::{Clock, Daemon};
use lapismoor_engine::Engines;
use lapismoor_peer::{Links, Traffic};
use lapismoor_platform::{KeyValue, Vms};
use lapismoor_service::Services;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot};

use crate::node::{Node, NodeEvent, NodeParts, NodeSubmission};
use crate::settings::Settings;
use crate::shared::Shared;
use lapismoor_edge::spans::Spans;

/// How long callers may take to read answers after the last request ended, in seconds.
const LINGER_S: u64 = 30;
/// Time after which an unused connection of a caller is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// Why a daemon did not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address cannot be had.
    #[snafu(display(
        "cannot listen at {address} ({field}): {source}; free the port or change the setting"
    ))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Its field in the settings.
        field: &'static str,
        /// Why.
        source: std::io::Error,
    },
    /// The file for spans cannot be opened.
    #[snafu(display(
        "cannot open {} (trace_file): {source}; check the path and its rights", path.display()
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

/// Runs a daemon until SIGTERM or SIGINT and the planned stop that follows.
///
/// # Errors
/// [`StartError`] when it cannot start.
pub async fn run(settings: Settings) -> Result<(), StartError> {
    let peer_address = settings.core.peer_address;
    let listener = TcpListener::bind(peer_address).await.context(ListenSnafu {
        address: peer_address,
        field: "core.peer_address",
    })?;
    let shared = Arc::new(Shared::default());
    let (exit, exited) = oneshot::channel();
    let spans = open_spans(&settings)?;
    let node = start_node(&settings, listener, Arc::clone(&shared), exit, spans);
    let callers = serve_callers(&settings, &node, &shared)?;
    let operators = serve_operators(&settings, &shared)?;
    log::info!(
        caller_address:% = settings.caller_address,
        operator_address:% = settings.core.operator_address;
        "daemon started"
    );
    stop_on_signal(node)?;
    let _ = exited.await;
    log::info!("nothing is in flight any more; leaving");
    callers.stop(true).await;
    operators.stop(false).await;
    Ok(())
}

fn start_node(
    settings: &Settings,
    listener: TcpListener,
    shared: Arc<Shared>,
    exit: oneshot::Sender<()>,
    spans: Option<Spans>,
) -> Addr<Node> {
    let own = settings.core.daemon.clone();
    let traffic = Rc::new(Traffic::default());
    let (peer_sender, peer_events) = mpsc::unbounded_channel();
    let listening = lapismoor_peer::listen(
        listener,
        own.clone(),
        peer_sender.clone(),
        Rc::clone(&traffic),
    );
    actix::spawn(async move {
        if let Err(error) = listening.await {
            log::error!(error:%; "other daemons can no longer connect; restart this daemon");
        }
    });
    let call_timeout = Duration::from_millis(settings.core.lease.call_timeout_ms);
    let platform = &settings.platform;
    Node::new(NodeParts {
        daemon: Daemon::new(settings.core.clone(), rand::random()),
        clock: Clock::system(),
        links: Links::new(own, peer_sender, Rc::clone(&traffic)),
        peer_events,
        traffic,
        key_value: KeyValue::new(platform.key_value_address, call_timeout),
        vms: Vms::new(platform.vm_list_address, call_timeout),
        engines: Engines::new(settings.target_connections),
        services: Services::new(settings.target_connections),
        shared,
        report_timeout: Duration::from_millis(settings.core.targets.report_timeout_ms),
        exit,
        spans,
    })
    .start()
}

fn open_spans(settings: &Settings) -> Result<Option<Spans>, StartError> {
    let Some(path) = &settings.trace_file else {
        return Ok(None);
    };
    let spans = Spans::to_file(path, &settings.core.daemon);
    spans.map(Some).context(TraceFileSnafu { path })
}

fn serve_callers(
    settings: &Settings,
    node: &Addr<Node>,
    shared: &Arc<Shared>,
) -> Result<ServerHandle, StartError> {
    let gateway = gateway(settings, node, shared);
    let payload = web::PayloadConfig::new(settings.caller.max_body_bytes);
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(gateway.clone()))
            .app_data(payload.clone())
            .configure(lapismoor_caller::routes)
    })
    .workers(settings.caller.workers)
    .max_connections(settings.caller.max_connections)
    .keep_alive(KEEP_ALIVE)
    .shutdown_timeout(LINGER_S)
    .disable_signals()
    .bind(settings.caller_address)
    .context(ListenSnafu {
        address: settings.caller_address,
        field: "caller_address",
    })?
    .run();
    let handle = server.handle();
    actix::spawn(server);
    Ok(handle)
}

fn gateway(settings: &Settings, node: &Addr<Node>, shared: &Arc<Shared>) -> Gateway {
    let for_config = Arc::clone(shared);
    let for_ready = Arc::clone(shared);
    let for_submit = node.clone();
    let for_gone = node.clone();
    Gateway {
        settings: settings.caller.clone(),
        config: Arc::new(move || for_config.config()),
        is_ready: Arc::new(move || for_ready.is_ready()),
        submit: Arc::new(move |submission| for_submit.do_send(NodeSubmission(submission))),
        gone: Arc::new(move |caller| {
            for_gone.do_send(NodeEvent(Event::Caller(CallerEvent::Gone { caller })));
        }),
        next_caller: Arc::new(AtomicU64::new(1)),
    }
}

fn serve_operators(settings: &Settings, shared: &Arc<Shared>) -> Result<ServerHandle, StartError> {
    let shared = Arc::clone(shared);
    let source = lapismoor_operator::StatusSource::new(move || shared.status());
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(source.clone()))
            .configure(lapismoor_operator::routes)
    })
    .workers(1)
    .disable_signals()
    .bind(settings.core.operator_address)
    .context(ListenSnafu {
        address: settings.core.operator_address,
        field: "core.operator_address",
    })?
    .run();
    let handle = server.handle();
    actix::spawn(server);
    Ok(handle)
}

fn stop_on_signal(node: Addr<Node>) -> Result<(), StartError> {
    let mut terminate = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(SignalsSnafu)?;
    actix::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        log::info!("planned stop begins");
        node.do_send(NodeEvent(Event::Stop));
    });
    Ok(())
}
