//! Tells other daemons where streams began, and asks them.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use actix_web::rt;
use compact_str::{CompactString, format_compact};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use lapismoor_core::Moment;
use lapismoor_core::ids::{DaemonId, StreamKey, VersionHash};
use lapismoor_core::membership::versions::{ServiceHash, service_hash};
use lapismoor_core::membership::{DaemonRecord, PossibleVersions, ServiceVersion, VersionMark};
use lapismoor_core::stream::{
    OriginSource, StreamLookup, StreamOrigin, origin_holders, stream_lifetime,
};
use lapismoor_mirror::{MirrorClient, MirrorError};

use crate::context::{Edge, State, short_version};

/// Timeout of a call that tells or asks for streams, with the connection: a caller waits meanwhile.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of streams that are told in one call.
const MAX_TOLD: usize = 1_024;
/// Maximum number of streams that wait to be told to one daemon; beyond it, none is added.
const MAX_WAITING: usize = 16_384;
/// Timeout of streams without a route, for the time for which their versions count.
const UNKNOWN_TIMEOUT: Duration = Duration::from_secs(30);

/// Streams that wait to be told to other daemons.
#[derive(Default)]
pub struct OriginQueues {
    /// The daemons with a call in progress. Invariant: sorted by daemon.
    queues: RefCell<Vec<(DaemonId, Vec<StreamOrigin>)>>,
}

impl OriginQueues {
    /// Adds streams to the queue of a daemon. Returns whether a task has to begin to tell them.
    fn add(&self, daemon: &DaemonId, streams: &[StreamOrigin]) -> bool {
        let mut queues = self.queues.borrow_mut();
        match queues.binary_search_by(|(id, _)| id.cmp(daemon)) {
            Ok(position) => {
                let waiting = &mut queues[position].1;
                let room = MAX_WAITING.saturating_sub(waiting.len());
                waiting.extend(streams.iter().take(room));
                false
            }
            Err(position) => {
                queues.insert(position, (daemon.clone(), streams.to_vec()));
                true
            }
        }
    }

    /// Takes the streams of the next call to a daemon. Removes its queue if there is none.
    fn take(&self, daemon: &DaemonId) -> Vec<StreamOrigin> {
        let mut queues = self.queues.borrow_mut();
        let Ok(position) = queues.binary_search_by(|(id, _)| id.cmp(daemon)) else {
            return Vec::new();
        };
        let waiting = &mut queues[position].1;
        if waiting.is_empty() {
            queues.remove(position);
            return Vec::new();
        }
        let count = waiting.len().min(MAX_TOLD);
        waiting.drain(..count).collect()
    }

    fn remove(&self, daemon: &DaemonId) {
        self.queues.borrow_mut().retain(|(id, _)| id != daemon);
    }
}

/// What the daemons know of a stream that a caller takes up.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct FoundStream {
    /// Version that began it, and the daemon that knew it.
    pub origin: Option<(VersionHash, DaemonId)>,
    /// Other daemons that hold such streams.
    pub asked: usize,
    /// Those that answered.
    pub answered: usize,
    /// Whether one of them knows several versions at which it may have begun.
    pub others_know_several: bool,
}

impl Edge {
    /// Records that a stream began at a target with this version, and tells other daemons while
    /// targets of several versions serve.
    pub(crate) fn stream_began(
        self: &Rc<Self>,
        stream: StreamKey,
        version: VersionHash,
        service: &str,
        timeout: Duration,
    ) {
        let now = self.now();
        let origin = StreamOrigin {
            stream,
            version,
            lifetime: stream_lifetime(timeout),
        };
        self.state
            .borrow_mut()
            .origins
            .record(now, &origin, OriginSource::Own);
        if self.possible_versions(service) == PossibleVersions::Several {
            self.tell_streams(&[origin]);
        }
    }

    /// Records that all events of a stream were forwarded.
    pub(crate) fn stream_finished(&self, stream: StreamKey) {
        self.state.borrow_mut().origins.finish(stream);
    }

    /// Keeps where streams began at other daemons.
    pub(crate) fn keep_origins(&self, streams: &[StreamOrigin], source: OriginSource) {
        let now = self.now();
        let origins = &mut self.state.borrow_mut().origins;
        for origin in streams {
            origins.record(now, origin, source);
        }
    }

    /// What this daemon knows of a stream, for others.
    pub(crate) fn look_up_stream(&self, stream: StreamKey, service: ServiceHash) -> StreamLookup {
        let now = self.now();
        let state = self.state.borrow();
        let lifetime = state.max_stream_lifetime();
        let possible = state.versions.possible(now, service, lifetime);
        StreamLookup {
            version: state.origins.find(now, stream),
            are_several: possible == PossibleVersions::Several,
        }
    }

    /// The version that began a stream, as far as this daemon knows.
    pub(crate) fn find_origin(&self, stream: StreamKey) -> Option<VersionHash> {
        self.state.borrow().origins.find(self.now(), stream)
    }

    /// The versions at which a stream of a service may have begun.
    pub(crate) fn possible_versions(&self, service: &str) -> PossibleVersions {
        let lifetime = self.lifetime_of_streams(service);
        let state = self.state.borrow();
        state
            .versions
            .possible(self.now(), service_hash(service), lifetime)
    }

    /// Whether listed targets of a service have a version.
    pub(crate) fn serves_version(&self, service: &str, version: VersionHash) -> bool {
        let state = self.state.borrow();
        let mut targets = state.directory.listed(service);
        targets.any(|target| target.version == version)
    }

    /// Time for which callers may take up a stream of a service.
    pub(crate) fn lifetime_of_streams(&self, service: &str) -> Duration {
        let state = self.state.borrow();
        let config = state.config.get();
        let timeout = config.and_then(|config| config.resumable_timeout(service));
        stream_lifetime(timeout.unwrap_or(UNKNOWN_TIMEOUT))
    }

    /// The name of a version, for logs: its text if a target with it or its mark is known.
    pub(crate) fn version_name(&self, service: &str, version: VersionHash) -> CompactString {
        let state = self.state.borrow();
        let mut targets = state.directory.targets().iter();
        if let Some(target) = targets.find(|target| target.version == version) {
            return short_version(&target.entry.version).into();
        }
        let mark = state.version_mark(ServiceVersion::new(service, version));
        mark.map_or_else(|| format_compact!("{version:016x}"), |mark| mark.version)
    }

    /// Forgets streams and versions that no caller can take up any more.
    pub(crate) fn sweep_streams(&self, now: Moment) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        state.versions.record_listed(now, &state.directory);
        let lifetime = state.max_stream_lifetime();
        state.versions.sweep(now, lifetime);
        state.origins.sweep(now);
    }

    /// Finds where a stream began, at this daemon or at those that hold it.
    pub(crate) async fn find_stream(&self, stream: StreamKey, service: &str) -> FoundStream {
        if let Some(version) = self.find_origin(stream) {
            return FoundStream {
                origin: Some((version, self.settings.daemon.clone())),
                ..FoundStream::default()
            };
        }
        let holders = self.other_holders(stream);
        let asking = holders.iter().map(|daemon| async move {
            let service = service_hash(service);
            let answer = self.call_holder(daemon, "find", async |holder| {
                holder.find_stream(stream, service).await
            });
            (daemon, answer.await)
        });
        let mut asking: FuturesUnordered<_> = asking.collect();
        let mut found = FoundStream {
            asked: holders.len(),
            ..FoundStream::default()
        };
        while let Some((daemon, answer)) = asking.next().await {
            let Some(answer) = answer else {
                continue;
            };
            found.answered += 1;
            found.others_know_several |= answer.are_several;
            if let Some(version) = answer.version {
                found.origin = Some((version, daemon.id.clone()));
                break;
            }
        }
        found
    }

    /// Calls a daemon that holds streams, and returns its answer; `None` if it gave none.
    async fn call_holder<T>(
        &self,
        daemon: &DaemonRecord,
        call_name: &'static str,
        call: impl AsyncFnOnce(&MirrorClient) -> Result<T, MirrorError>,
    ) -> Option<T> {
        if self.peers.is_backed_off(self.now(), daemon) {
            return None;
        }
        let calling = async {
            let connection = self.peer_connection(daemon).await?;
            call(&connection).await
        };
        let reason = match tokio::time::timeout(CALL_TIMEOUT, calling).await {
            Ok(Ok(answer)) => return Some(answer),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "the daemon did not answer within the timeout".into(),
        };
        log::info!(peer:% = daemon.id, call = call_name, reason; "stream_call_not_answered");
        self.peer_failed(daemon);
        None
    }

    /// Relays streams to a daemon that writes them to the store. Returns whether it took them.
    pub(crate) async fn relay_streams(
        &self,
        daemon: &DaemonRecord,
        streams: &[StreamOrigin],
    ) -> bool {
        let relayed = self.call_holder(daemon, "relay", async |writer| {
            writer.tell_streams(streams, true).await
        });
        relayed.await.is_some()
    }

    /// Tells streams of this daemon to the daemons that hold them.
    fn tell_streams(self: &Rc<Self>, streams: &[StreamOrigin]) {
        for stream in streams {
            for daemon in self.other_holders(stream.stream) {
                if self.origin_queues.add(&daemon.id, &[*stream]) {
                    rt::spawn(tell_waiting(Rc::clone(self), daemon));
                }
            }
        }
    }

    fn other_holders(&self, stream: StreamKey) -> Vec<DaemonRecord> {
        let state = self.state.borrow();
        let holders = origin_holders(stream, &state.daemons).into_iter();
        let others = holders.filter(|daemon| daemon.id != self.settings.daemon);
        others.cloned().collect()
    }
}

impl State {
    /// The unfinished streams at this daemon, while several versions of a service are possible.
    pub(crate) fn streams_to_record(&self, now: Moment) -> Vec<StreamOrigin> {
        if self.versions.has_several(now, self.max_stream_lifetime()) {
            self.origins.unfinished(now)
        } else {
            Vec::new()
        }
    }

    /// The mark of a version in the store, if it can be read.
    pub(crate) fn version_mark(&self, key: ServiceVersion) -> Option<VersionMark> {
        let items = self.mirror.items();
        let mark_key = key.mark_key();
        let found = items.binary_search_by(|item| item.key.cmp(&mark_key));
        let value = items[found.ok()?].value.as_ref()?;
        serde_json::from_slice(value).ok()
    }

    /// Longest time for which callers may take up a stream of any service.
    pub(crate) fn max_stream_lifetime(&self) -> Duration {
        let config = self.config.get();
        let timeout = config.and_then(|config| config.longest_resumable_timeout());
        stream_lifetime(timeout.unwrap_or(UNKNOWN_TIMEOUT))
    }
}

/// Tells a daemon the streams in its queue until there are none. What comes up during a call is
/// gathered for the next one.
async fn tell_waiting(edge: Rc<Edge>, daemon: DaemonRecord) {
    loop {
        let streams = edge.origin_queues.take(&daemon.id);
        if streams.is_empty() {
            return;
        }
        let told = edge.call_holder(&daemon, "tell", async |holder| {
            holder.tell_streams(&streams, false).await
        });
        if told.await.is_none() {
            // Other daemons hold them too.
            edge.origin_queues.remove(&daemon.id);
            return;
        }
    }
}

/// Tells the streams of this daemon that began while one version served, whenever another version
/// is listed, for as long as the daemon runs.
pub(crate) async fn share_streams(edge: Rc<Edge>) {
    loop {
        edge.version_listed.notified().await;
        let own = edge.state.borrow().origins.own(edge.now());
        edge.tell_streams(&own);
    }
}
