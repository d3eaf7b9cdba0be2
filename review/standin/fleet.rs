//! Engines, daemons and the record of a case.

use std::fs::File;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{send, serve, Request, Response};
use crate::store::Store;

/// Interval at which an engine writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// The events of a chat's answer.
const EVENTS: &str = "id: 1\ndata: {\"id\":\"c\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"dim the hall\"},\
                      \"finish_reason\":null}]}\n\nid: 2\ndata: {\"id\":\"c\",\"choices\":[{\"index\":0,\"delta\":{},\
                      \"finish_reason\":\"stop\"}]}\n\nid: 3\ndata: [DONE]\n\n";

/// Writes what happens, with the seconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self {
            file,
            started_at: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let seconds = self.started_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("not poisoned");
        drop(writeln!(file, "{seconds:8.3} {text}"));
    }
}

/// A request that an engine ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub service: String,
    pub method: String,
    /// Path and query, as the engine got them.
    pub target: String,
    pub body: String,
}

/// What all engines ran, in order.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    pub fn all(&self) -> Vec<Run> {
        self.0.lock().expect("not poisoned").clone()
    }
}

/// Starts an engine of a service, which works on each request for `work`, and keeps its entry in the
/// store.
pub fn start_engine(
    store: &Store,
    record: &Record,
    runs: &Runs,
    service: &str,
    id: &str,
    work: Duration,
) {
    start_losing_engine(store, record, runs, service, id, work, 0);
}

/// Starts an engine like [`start_engine`] that loses the answer of each request with a number that `loses`
/// divides, after it ran the request; of none if it is 0.
pub fn start_losing_engine(
    store: &Store,
    record: &Record,
    runs: &Runs,
    service: &str,
    id: &str,
    work: Duration,
    loses: usize,
) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let (for_answers, for_record) = (runs.clone(), record.clone());
    let (own_id, own_service) = (id.to_owned(), service.to_owned());
    let ran = AtomicUsize::new(0);
    serve(
        listener,
        Arc::new(move |request: Request| {
            let response = answer(
                &for_answers,
                &for_record,
                &own_service,
                &own_id,
                work,
                &request,
            );
            let has_run = !response.header("lapismoor-response-seal").is_empty();
            if has_run
                && loses > 0
                && (ran.fetch_add(1, Ordering::Relaxed) + 1).is_multiple_of(loses)
            {
                for_record.line(&format!(
                    "engine {own_id} loses the answer and closes the connection"
                ));
                return None;
            }
            Some(response)
        }),
    );
    let (store, key, service) = (store.clone(), format!("servers/{id}"), service.to_owned());
    let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let born = born.expect("after 1970").as_millis();
    let entry = move |sequence: u64| {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"east\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{born}}}"
        )
    };
    store.put(&key, &entry(1));
    std::thread::spawn(move || {
        for sequence in 2.. {
            std::thread::sleep(HEARTBEAT);
            store.put(&key, &entry(sequence));
        }
    });
}

fn answer(
    runs: &Runs,
    record: &Record,
    service: &str,
    id: &str,
    work: Duration,
    request: &Request,
) -> Response {
    if request.target == "/healthz" {
        return Response::new(200, "").with("Lapismoor-Instance-Id", id);
    }
    let request_id = request.header("lapismoor-request-id").to_owned();
    let wanted = request.header("lapismoor-target-instance");
    if !wanted.is_empty() && wanted != id {
        let response = Response::new(421, "").with("Lapismoor-Not-Executed", "1");
        return response.with("Lapismoor-Request-Id", &request_id);
    }
    let run = Run {
        service: service.into(),
        method: request.method.clone(),
        target: request.target.clone(),
        body: String::from_utf8_lossy(&request.body).into_owned(),
    };
    record.line(&format!(
        "engine {id} of {service} runs {} {} id={request_id} tenant={} body={:?}",
        run.method,
        run.target,
        request.header("lapismoor-tenant"),
        run.body
    ));
    runs.0.lock().expect("not poisoned").push(run);
    std::thread::sleep(work);
    let response = if request.target == "/v1/chat/completions" {
        Response::new(200, EVENTS).with("Content-Type", "text/event-stream")
    } else {
        Response::new(200, format!("answer of {service} to {request_id}"))
    };
    response.with("Lapismoor-Request-Id", &request_id).with(
        "Lapismoor-Response-Seal",
        &format!("seal.{id}.{request_id}"),
    )
}

/// A daemon as a process of its own. It is killed when dropped.
pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Child,
}

/// A loopback address of this process's own for the daemon with this number: the port of its metrics is
/// fixed.
fn own_ip(number: u8) -> IpAddr {
    let pid = std::process::id();
    let bytes = [
        127,
        20 + (pid / 250 % 200) as u8,
        (pid % 250) as u8,
        10 + number,
    ];
    IpAddr::V4(Ipv4Addr::from(bytes))
}

fn free_port(ip: IpAddr) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("bound")
}

impl Daemon {
    /// Starts `lapismoord platform`, as the deploy file does.
    pub fn start(
        root: &Path,
        directory: &Path,
        store: &Store,
        number: u8,
    ) -> std::io::Result<Self> {
        let ip = own_ip(number);
        let (front, ready, peers) = (free_port(ip), free_port(ip), free_port(ip).port());
        let name = format!("edge-east-{number}");
        let text = format!(
            "node_name = \"{name}\"\nrole = \"edge\"\nmachine_class = \"edge\"\nserves = [\"edge\"]\n\
             ip = \"{ip}\"\nzone = \"east\"\nregion = \"south\"\ninternal_ports = [{peers}, {}]\n\
             heartbeat_ms = 1200\ndiscovery = \"platform\"\nentry = \"virtual_ip\"\n\
             [zones]\neast = \"south\"\n\
             [listen]\nfront_addr = \"{front}\"\nready = \"{ready}\"\n\
             [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\n\
             [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\n\
             drain_ms = 2000\ngrace_s = 8\nlost_ms = 200\nconfig_apply_ms = 2000\nrollback_slack_ms = 250\n\
             outer_ms = 5000\nstrict_revoke = true\nrevoke_ms = 5000\nretry_budget_ratio = 0.2\n\
             budget_window_s = 10\nretry_slack = 54\nrecover_s = 12\npass_ms = 120\nreuse_window_s = 10\ncap_x = 2\n\
             [platform]\naddress = \"{}\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\n\
             history_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n",
            peers.saturating_add(15),
            store.address
        );
        let settings = directory.join(format!("{name}.toml"));
        std::fs::write(&settings, text)?;
        let log = directory.join(format!("{name}.log"));
        let process = spawn(root, &settings, &log)?;
        Ok(Self {
            name,
            front,
            ready,
            settings,
            log,
            process,
        })
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        drop(self.process.kill());
        drop(self.process.wait());
    }

    /// Starts the process again after [`Self::kill`], with the same settings.
    pub fn start_again(&mut self, root: &Path) -> std::io::Result<()> {
        self.process = spawn(root, &self.settings, &self.log)?;
        Ok(())
    }

    /// Whether the platform's readiness check succeeds.
    pub fn is_ready(&self) -> bool {
        let request = Request {
            method: "GET".into(),
            target: "/v1/ready".into(),
            headers: vec![("Host".into(), "ready".into())],
            body: Vec::new(),
        };
        send(self.ready, &request, Duration::from_secs(1))
            .is_ok_and(|response| response.status == 200)
    }

    pub fn wait_until_ready(&self) -> std::io::Result<()> {
        let until = Instant::now() + Duration::from_secs(20);
        while !self.is_ready() {
            if Instant::now() > until {
                return Err(std::io::Error::other(format!("{} is not ready", self.name)));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(root: &Path, settings: &Path, log: &Path) -> std::io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    Command::new(root.join("target/release/lapismoord"))
        .arg("platform")
        .env("LAPISMOOR_NODE_FILE", settings)
        .current_dir(root)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}
