//! A proxy on loopback before each party, which delays, cuts and silences connections.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use demo::fleet::Link;
use demo::process::free_listener;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio_util::sync::CancellationToken;

/// Room for one read, in bytes.
const READ_BYTES: usize = 16 * 1_024;

/// What a proxy does with bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Passes them on.
    Pass,
    /// Passes them on after a while.
    Delay(Duration),
    /// Drops what the party before it answers; requests go through.
    OneWay,
    /// Refuses and drops everything.
    Dark,
}

struct Proxy {
    link: Link,
    mode: Cell<Mode>,
    /// Cancelled to reset what is open.
    open: RefCell<CancellationToken>,
    /// Cancelled to silence what is open, for good.
    speaking: RefCell<CancellationToken>,
}

/// All proxies of a fleet.
#[derive(Clone, Default)]
pub struct Proxies {
    proxies: Rc<RefCell<Vec<Rc<Proxy>>>>,
}

impl Proxies {
    /// Puts a proxy before `address`; returns where it listens.
    ///
    /// # Errors
    /// When no port is free.
    pub fn add(&self, link: Link, address: SocketAddr) -> io::Result<SocketAddr> {
        let listener = free_listener()?;
        let own = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let proxy = Rc::new(Proxy {
            link,
            mode: Cell::new(Mode::Pass),
            open: RefCell::default(),
            speaking: RefCell::default(),
        });
        self.proxies.borrow_mut().push(Rc::clone(&proxy));
        spawn_local(accept(listener, proxy, address));
        Ok(own)
    }

    /// Number of proxies.
    #[must_use]
    pub fn len(&self) -> usize {
        self.proxies.borrow().len()
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The link of a proxy.
    #[must_use]
    pub fn link(&self, number: usize) -> Link {
        self.proxies.borrow()[number].link.clone()
    }

    /// Changes what a proxy does.
    pub fn set(&self, number: usize, mode: Mode) {
        self.proxies.borrow()[number].mode.set(mode);
    }

    /// Resets the connections that are open.
    pub fn reset(&self, number: usize) {
        self.proxies.borrow()[number].open.take().cancel();
    }

    /// Silences the connections that are open; new ones work.
    pub fn silence(&self, number: usize) {
        self.proxies.borrow()[number].speaking.take().cancel();
    }
}

async fn accept(listener: TcpListener, proxy: Rc<Proxy>, address: SocketAddr) {
    loop {
        match listener.accept().await {
            Ok((caller, _)) => {
                spawn_local(connect(caller, Rc::clone(&proxy), address));
            }
            Err(error) => {
                eprintln!("a proxy cannot accept: {error}");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn connect(caller: TcpStream, proxy: Rc<Proxy>, address: SocketAddr) {
    if proxy.mode.get() == Mode::Dark {
        return reset(&caller);
    }
    let Ok(target) = TcpStream::connect(address).await else {
        return reset(&caller);
    };
    let open = proxy.open.borrow().clone();
    let speaking = proxy.speaking.borrow().clone();
    let (mut from_caller, mut to_caller) = caller.into_split();
    let (mut from_target, mut to_target) = target.into_split();
    let requests = pump(&mut from_caller, &mut to_target, &proxy, &speaking, false);
    let answers = pump(&mut from_target, &mut to_caller, &proxy, &speaking, true);
    tokio::select! {
        // A side that ends in order ends its direction only.
        (request_end, answer_end) = futures::future::join(requests, answers) => {
            if request_end.is_ok() && answer_end.is_ok() {
                return;
            }
        }
        () = open.cancelled() => {}
    }
    reset(to_caller.as_ref());
    reset(to_target.as_ref());
}

/// Moves bytes one way until they end.
async fn pump(
    from: &mut tokio::net::tcp::OwnedReadHalf,
    to: &mut tokio::net::tcp::OwnedWriteHalf,
    proxy: &Proxy,
    speaking: &CancellationToken,
    is_answer: bool,
) -> io::Result<()> {
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let count = from.read(&mut buffer).await?;
        if speaking.is_cancelled() {
            // Whoever silenced the connection hears nothing of its end either.
            std::future::pending::<()>().await;
        }
        if count == 0 {
            return to.shutdown().await;
        }
        match proxy.mode.get() {
            Mode::Pass => {}
            Mode::Delay(time) => tokio::time::sleep(time).await,
            Mode::OneWay if !is_answer => {}
            Mode::OneWay => continue,
            Mode::Dark => return Err(io::ErrorKind::ConnectionReset.into()),
        }
        to.write_all(&buffer[..count]).await?;
    }
}

fn reset(stream: &TcpStream) {
    // A stream that is gone needs no reset.
    drop(SockRef::from(stream).set_linger(Some(Duration::ZERO)));
}
