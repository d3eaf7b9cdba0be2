//! Accepts connections of callers. All of them are served on the daemon's thread.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpService;
use actix_service::{IntoServiceFactory, Service, ServiceFactory, ServiceFactoryExt, map_config};
use actix_web::body::MessageBody;
use actix_web::dev::{AppConfig, ServiceRequest, ServiceResponse};
use actix_web::{App, Error, rt};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::caller_connection::{CallerConnection, ConnectionState};
use crate::connections::{ConnectionLease, Connections};

/// Time within which a caller must close its side of the connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a failed accept, so that file descriptors can become free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Bytes that the server buffers of an answer before the socket has taken some.
const WRITE_BUFFER_BYTES: usize = 8 << 10;
/// Size of the system's receive buffer of a connection, in bytes. It bounds what callers send that is not read.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;
/// Size of the system's send buffer of a connection, in bytes.
const SEND_BUFFER_BYTES: usize = 64 << 10;

/// Serves `app` on `listener` until `stop` is cancelled. Open connections are still served. Those that have to
/// give way to others are closed.
pub(crate) async fn serve<F, B>(
    listener: TcpListener,
    app: App<F>,
    connections: Rc<Connections>,
    idle_timeout: Duration,
    stop: CancellationToken,
) where
    F: ServiceFactory<
            ServiceRequest,
            Config = (),
            Response = ServiceResponse<B>,
            Error = Error,
            InitError = (),
        > + 'static,
    F::Future: 'static,
    B: MessageBody + 'static,
{
    let app = map_config(app.into_factory(), |()| AppConfig::default());
    let http = HttpService::build()
        .on_connect_ext(CallerConnection::attach)
        .keep_alive(idle_timeout)
        // Heads that are late are closed with the other connections that have used up their time.
        .client_request_timeout(Duration::ZERO)
        .h1_write_buffer_size(WRITE_BUFFER_BYTES)
        .client_disconnect_timeout(CLOSE_TIMEOUT)
        .h1_allow_half_closed(false)
        .h1(app.map_err(|error| error.error_response()));
    let Ok(service) = http.new_service(()).await else {
        log::error!("http_service_not_started");
        return;
    };
    let service = Rc::new(service);
    if let Err(error) = limit_buffers(&listener) {
        log::warn!(error:%; "socket_buffers_not_limited");
    }
    while let Some((stream, peer)) = accept(&listener, &stop).await {
        let Some(lease) = connections.open() else {
            continue;
        };
        // Lets the connections go that give way to this one.
        tokio::task::yield_now().await;
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(peer:%, error:%; "caller_socket_option_failed");
        }
        let service = Rc::clone(&service);
        rt::spawn(until_closed(lease, async move |lease| {
            // A connection without a request needs no server.
            drop(stream.readable().await);
            let connection = CallerConnection::new(stream, ConnectionState::new(lease));
            if let Err(error) = service.call((connection, Some(peer))).await {
                log::debug!(peer:%, error:%; "caller_connection_ended");
            }
        }));
    }
}

/// Serves a connection until it ends or has to be closed.
async fn until_closed(lease: ConnectionLease, serve: impl AsyncFnOnce(ConnectionLease)) {
    let closed = lease.closed();
    tokio::select! {
        biased;
        () = closed.cancelled() => {}
        () = serve(lease) => {}
    }
}

/// Limits the system's buffers of the connections that `listener` accepts.
fn limit_buffers(listener: &TcpListener) -> std::io::Result<()> {
    let socket = SockRef::from(listener);
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)
}

async fn accept(
    listener: &TcpListener,
    stop: &CancellationToken,
) -> Option<(TcpStream, SocketAddr)> {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return None,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok(connection) => return Some(connection),
            Err(error) => {
                log::warn!(error:%; "accept_failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
