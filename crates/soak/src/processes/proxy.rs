//! Loopback proxies before the processes of a fleet, which delay, reset and stall connections.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use demo::fleet::Link;
use demo::process::free_listener;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio_util::sync::CancellationToken;

/// Size of the buffer for one read.
const READ_BUFFER_BYTES: usize = 16 * 1_024;

/// How a proxy handles bytes and new connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Forwards bytes at once.
    Pass,
    /// Forwards bytes after a delay.
    Delay(Duration),
    /// Forwards requests and drops answers.
    DropAnswers,
    /// Resets new connections, and open ones with their next bytes.
    Reject,
}

struct Proxy {
    link: Link,
    /// Address on which it listens.
    address: SocketAddr,
    /// When it dropped answers, or held back what a stalled connection sent.
    losses: RefCell<Vec<Instant>>,
    mode: Cell<Mode>,
    /// Cancelled to reset the open connections; later ones get a new token.
    reset_token: RefCell<CancellationToken>,
    /// Cancelled to stall the open connections for good; later ones get a new token.
    stall_token: RefCell<CancellationToken>,
}

/// All proxies of a fleet, numbered in the order they were added.
#[derive(Clone, Default)]
pub struct Proxies {
    proxies: Rc<RefCell<Vec<Rc<Proxy>>>>,
}

impl Proxies {
    /// Starts a proxy that forwards to `address` and returns the address on which it listens.
    ///
    /// # Errors
    /// If no port is free or the listener cannot be set up.
    pub fn add(&self, link: Link, address: SocketAddr) -> io::Result<SocketAddr> {
        let listener = free_listener()?;
        let proxy_address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let proxy = Rc::new(Proxy {
            link,
            address: proxy_address,
            losses: RefCell::default(),
            mode: Cell::new(Mode::Pass),
            reset_token: RefCell::default(),
            stall_token: RefCell::default(),
        });
        self.proxies.borrow_mut().push(Rc::clone(&proxy));
        spawn_local(accept(listener, proxy, address));
        Ok(proxy_address)
    }

    /// Number of proxies.
    #[must_use]
    pub fn len(&self) -> usize {
        self.proxies.borrow().len()
    }

    /// Whether there are no proxies.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The link that a proxy is on.
    #[must_use]
    pub fn link(&self, index: usize) -> Link {
        self.proxies.borrow()[index].link.clone()
    }

    /// Whether the proxy at `address` dropped or held back bytes, or the end of a connection, in a
    /// period.
    #[must_use]
    pub fn has_lost(&self, address: SocketAddr, from: Instant, until: Instant) -> bool {
        let proxies = self.proxies.borrow();
        let mut losing = proxies.iter().filter(|proxy| proxy.address == address);
        losing.any(|proxy| {
            let losses = proxy.losses.borrow();
            losses.iter().any(|at| (from..=until).contains(at))
        })
    }

    /// Sets the mode, which also applies to open connections.
    pub fn set_mode(&self, index: usize, mode: Mode) {
        self.proxies.borrow()[index].mode.set(mode);
    }

    /// Resets the open connections; new ones work.
    pub fn reset_connections(&self, index: usize) {
        self.proxies.borrow()[index].reset_token.take().cancel();
    }

    /// Stops forwarding on the open connections without closing them; new ones work.
    pub fn stall_connections(&self, index: usize) {
        self.proxies.borrow()[index].stall_token.take().cancel();
    }
}

async fn accept(listener: TcpListener, proxy: Rc<Proxy>, address: SocketAddr) {
    loop {
        match listener.accept().await {
            Ok((caller, _)) => {
                spawn_local(forward(caller, Rc::clone(&proxy), address));
            }
            Err(error) => {
                eprintln!("proxy cannot accept a connection: {error}");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn forward(caller: TcpStream, proxy: Rc<Proxy>, address: SocketAddr) {
    if proxy.mode.get() == Mode::Reject {
        return reset(&caller);
    }
    let Ok(target) = TcpStream::connect(address).await else {
        return reset(&caller);
    };
    let reset_token = proxy.reset_token.borrow().clone();
    let stall_token = proxy.stall_token.borrow().clone();
    let (mut from_caller, mut to_caller) = caller.into_split();
    let (mut from_target, mut to_target) = target.into_split();
    let copy_requests = copy_bytes(
        &mut from_caller,
        &mut to_target,
        &proxy,
        &stall_token,
        false,
    );
    let copy_answers = copy_bytes(&mut from_target, &mut to_caller, &proxy, &stall_token, true);
    tokio::select! {
        // An orderly end of one direction leaves the other open; an error ends both at once.
        end = futures::future::try_join(copy_requests, copy_answers) => {
            if end.is_ok() {
                return;
            }
        }
        () = reset_token.cancelled() => {}
    }
    reset(to_caller.as_ref());
    reset(to_target.as_ref());
}

/// Copies bytes in one direction until the stream ends, applying the proxy's mode.
async fn copy_bytes(
    from: &mut tokio::net::tcp::OwnedReadHalf,
    to: &mut tokio::net::tcp::OwnedWriteHalf,
    proxy: &Proxy,
    stall_token: &CancellationToken,
    is_answer: bool,
) -> io::Result<()> {
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer).await;
        if stall_token.is_cancelled() {
            proxy.losses.borrow_mut().push(Instant::now());
            // A stalled connection does not forward its end either.
            std::future::pending::<()>().await;
        }
        let length = read?;
        if length == 0 {
            return to.shutdown().await;
        }
        match proxy.mode.get() {
            Mode::Pass => {}
            Mode::Delay(delay) => tokio::time::sleep(delay).await,
            Mode::DropAnswers if !is_answer => {}
            Mode::DropAnswers => {
                proxy.losses.borrow_mut().push(Instant::now());
                continue;
            }
            Mode::Reject => return Err(io::ErrorKind::ConnectionReset.into()),
        }
        to.write_all(&buffer[..length]).await?;
    }
}

fn reset(stream: &TcpStream) {
    // With zero linger, closing the socket sends a reset. A socket that is already gone needs none.
    drop(SockRef::from(stream).set_linger(Some(Duration::ZERO)));
}
