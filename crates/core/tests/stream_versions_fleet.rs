//! Streams that their callers take up at other daemons of a simulated fleet, while targets of
//! several versions serve and daemons end, start, are cut off or lose the store. Each seed is one
//! schedule.

use std::time::Duration;

use lapismoor_core::Moment;
use lapismoor_core::ids::VersionHash;
use lapismoor_core::membership::versions::service_hash;
use lapismoor_core::membership::{
    DaemonRecord, Mark, PossibleVersions, ServiceVersion, VersionHistory, store_readers,
};
use lapismoor_core::stream::origins::{decode_streams, encode_streams, record_writers};
use lapismoor_core::stream::{
    OriginSource, ResumedStream, StreamOrigin, StreamOrigins, VersionBinding, origin_holders,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const STEP: Duration = Duration::from_millis(50);
const END: Duration = Duration::from_secs(40);
/// Interval at which the list of daemons changes.
const MEMBERSHIP_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which a daemon reads the store.
const LISTING_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which streams are relayed and written.
const RECORD_INTERVAL: Duration = Duration::from_millis(300);
/// Interval at which daemons that read the store through others send theirs.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(550);
/// Age up to which a copy of the store counts as current.
const CURRENT_AGE: Duration = Duration::from_millis(2_600);
const LIFETIME: Duration = Duration::from_secs(20);
/// Streams that begin in the fleet in a step, at most.
const STREAMS_PER_STEP: u32 = 4;
const SERVICE: &str = "pool";

/// What may go wrong in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    /// Daemons are killed and start again without what they knew.
    Restarts,
    /// Some daemons reach neither others nor the store.
    CutOff,
    /// The store is away for half of the run.
    StoreAway,
    /// All daemons are killed at once, twice.
    AllKilled,
}

struct Daemon {
    record: DaemonRecord,
    origins: StreamOrigins,
    history: VersionHistory,
    /// Other daemons as it lists them. Invariant: sorted by id.
    listed: Vec<DaemonRecord>,
    /// Daemons to which it relays streams. Invariant: as follows from the list.
    relays_to: Vec<usize>,
    /// Whether it writes to the store what none of these takes.
    is_reader: bool,
    /// Versions that serve, as it lists them.
    serving: Vec<VersionHash>,
    listed_at: Option<Moment>,
    starts_at: Moment,
    cut_until: Moment,
}

/// A stream whose caller comes back.
struct Stream {
    key: u64,
    version: VersionHash,
    began_at: usize,
    ends_at: Moment,
    returns_at: Moment,
}

#[derive(Default)]
struct Store {
    serving: Vec<VersionHash>,
    marks: Vec<(ServiceVersion, Mark)>,
    records: Vec<(String, Vec<u8>)>,
    is_away: bool,
}

#[derive(Default)]
struct Counts {
    returned: u32,
    went_on: u32,
    joined: u32,
}

struct Fleet {
    rng: ChaCha8Rng,
    trouble: Trouble,
    daemons: Vec<Daemon>,
    store: Store,
    streams: Vec<Stream>,
    counts: Counts,
    /// When all daemons last started again.
    started_at: Moment,
}

fn every(now: Moment, interval: Duration, phase: usize) -> bool {
    let phase = Duration::from_millis(u64::try_from(phase).expect("few") * 17);
    let ticks = |at: Duration| (at + phase).as_millis() / interval.as_millis();
    ticks(now) != ticks(now.saturating_sub(STEP))
}

fn record(number: usize) -> DaemonRecord {
    DaemonRecord {
        id: format!("edge-{number:03}").into(),
        domain: format!("d-{}", number % 3).into(),
        incarnation: 1,
        address: "10.0.0.1:80".parse().expect("an address"),
        caller_address: None,
        operator_address: None,
        link_mbps: 1_000,
    }
}

impl Daemon {
    fn start(record: DaemonRecord, now: Moment) -> Self {
        Self {
            record,
            origins: StreamOrigins::default(),
            history: VersionHistory::default(),
            listed: Vec::new(),
            relays_to: Vec::new(),
            is_reader: false,
            serving: Vec::new(),
            listed_at: None,
            starts_at: now,
            cut_until: Moment::ZERO,
        }
    }

    fn is_up(&self, now: Moment) -> bool {
        now >= self.starts_at
    }

    fn is_reachable(&self, now: Moment) -> bool {
        self.is_up(now) && now >= self.cut_until
    }

    fn choose_relays(&mut self, all: &[DaemonRecord]) {
        let own = &self.record;
        let readers = store_readers(&self.listed);
        self.is_reader = readers.iter().any(|reader| reader.id == own.id);
        let relays: Vec<&DaemonRecord> = if self.is_reader {
            let writers = record_writers(&self.listed).into_iter();
            writers.take_while(|writer| writer.id != own.id).collect()
        } else {
            let near = readers.into_iter();
            near.filter(|reader| reader.domain == own.domain).collect()
        };
        let positions = relays.into_iter().map(|relay| {
            let found = all.binary_search_by(|one| one.id.cmp(&relay.id));
            found.expect("known")
        });
        self.relays_to = positions.collect();
    }

    fn possible(&self, now: Moment) -> PossibleVersions {
        self.history.possible(now, service_hash(SERVICE), LIFETIME)
    }

    fn has_several(&self, now: Moment) -> bool {
        self.possible(now) == PossibleVersions::Several
    }
}

impl Fleet {
    fn new(daemons: usize, seed: u64, trouble: Trouble) -> Self {
        let fleet = (0..daemons).map(|number| Daemon::start(record(number), Moment::ZERO));
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            trouble,
            daemons: fleet.collect(),
            store: Store {
                serving: vec![1],
                ..Store::default()
            },
            streams: Vec::new(),
            counts: Counts::default(),
            started_at: Moment::ZERO,
        }
    }

    fn run(mut self) -> Counts {
        let mut now = STEP;
        while now < END {
            self.change_versions(now);
            self.cause_trouble(now);
            self.read_store(now);
            self.mark_versions(now);
            self.relay_streams(now);
            self.begin_streams(now);
            self.take_up_streams(now);
            now += STEP;
        }
        self.counts
    }

    /// A second version begins, the first one ends, and a third begins.
    fn change_versions(&mut self, now: Moment) {
        let seconds = now.as_secs();
        self.store.serving = match seconds {
            0..5 => vec![1],
            5..18 => vec![1, 2],
            18..26 => vec![2],
            _ => vec![2, 3],
        };
        if self.trouble == Trouble::StoreAway {
            self.store.is_away = (8..24).contains(&seconds);
        }
    }

    fn cause_trouble(&mut self, now: Moment) {
        let count = self.daemons.len();
        match self.trouble {
            Trouble::Restarts if every(now, Duration::from_secs(1), 0) => {
                for _ in 0..count.div_ceil(20) {
                    let number = self.rng.random_range(0..count);
                    let down = Duration::from_millis(self.rng.random_range(200..3_000));
                    self.daemons[number] = Daemon::start(record(number), now + down);
                }
            }
            Trouble::CutOff if every(now, Duration::from_secs(2), 0) => {
                for _ in 0..count.div_ceil(10) {
                    let number = self.rng.random_range(0..count);
                    let time = Duration::from_millis(self.rng.random_range(500..6_000));
                    self.daemons[number].cut_until = now + time;
                }
            }
            Trouble::AllKilled if [10_000, 30_000].contains(&now.as_millis()) => {
                self.started_at = now + Duration::from_secs(1);
                for number in 0..count {
                    self.daemons[number] = Daemon::start(record(number), self.started_at);
                }
            }
            _ => {}
        }
    }

    /// Daemons read the store. A tenth of the others is missing from each list.
    fn read_store(&mut self, now: Moment) {
        if self.store.is_away {
            return;
        }
        let records: Vec<DaemonRecord> = (0..self.daemons.len()).map(record).collect();
        for (number, daemon) in self.daemons.iter_mut().enumerate() {
            let is_first = daemon.listed_at.is_none();
            let is_due = is_first || every(now, LISTING_INTERVAL, number);
            if !daemon.is_reachable(now) || !is_due {
                continue;
            }
            if is_first || every(now, MEMBERSHIP_INTERVAL, number) {
                daemon.listed.clone_from(&records);
                let rng = &mut self.rng;
                let own = &daemon.record.id;
                daemon
                    .listed
                    .retain(|one| one.id == *own || rng.random_bool(0.9));
                daemon.choose_relays(&records);
            }
            daemon.serving.clone_from(&self.store.serving);
            daemon.listed_at = Some(now);
            for (version, mark) in &self.store.marks {
                daemon.history.set_mark(now, *version, *mark);
            }
            if is_first {
                for (_, value) in &self.store.records {
                    for origin in decode_streams(value).expect("valid") {
                        daemon.origins.record(now, &origin, OriginSource::Told);
                    }
                }
            }
        }
        self.learn_versions(now);
    }

    /// A daemon that learns of a version tells the streams that it has begun.
    fn learn_versions(&mut self, now: Moment) {
        for number in 0..self.daemons.len() {
            let daemon = &mut self.daemons[number];
            let mut is_new = false;
            for version in daemon.serving.clone() {
                is_new |= daemon
                    .history
                    .record(now, ServiceVersion::new(SERVICE, version));
            }
            if is_new && daemon.is_up(now) {
                for origin in daemon.origins.own(now) {
                    self.tell(now, number, &origin);
                }
            }
        }
    }

    fn mark_versions(&mut self, now: Moment) {
        if self.store.is_away || !every(now, Duration::from_secs(1), 0) {
            return;
        }
        if !self.daemons.iter().any(|daemon| daemon.listed_at.is_some()) {
            return;
        }
        for version in [1, 2, 3] {
            let key = ServiceVersion::new(SERVICE, version);
            let is_marked = self.store.marks.iter().any(|(marked, _)| *marked == key);
            if self.store.serving.contains(&version) && !is_marked {
                self.store.marks.push((key, Mark::Serving));
            }
        }
    }

    fn tell(&mut self, now: Moment, from: usize, origin: &StreamOrigin) {
        if !self.daemons[from].is_reachable(now) {
            return;
        }
        let holders = origin_holders(origin.stream, &self.daemons[from].listed);
        let holders: Vec<String> = holders.iter().map(|one| one.id.to_string()).collect();
        for holder in holders {
            let other = self.position(&holder);
            if other != from && self.daemons[other].is_reachable(now) {
                self.daemons[other]
                    .origins
                    .record(now, origin, OriginSource::Told);
            }
        }
    }

    fn position(&self, id: &str) -> usize {
        let found = self
            .daemons
            .binary_search_by(|one| one.record.id.as_str().cmp(id));
        found.expect("known")
    }

    fn relay_streams(&mut self, now: Moment) {
        for number in 0..self.daemons.len() {
            let daemon = &self.daemons[number];
            let interval = if daemon.is_reader {
                RECORD_INTERVAL
            } else {
                EXCHANGE_INTERVAL
            };
            let is_due = every(now, interval, number) && daemon.has_several(now);
            if !is_due || !daemon.is_reachable(now) {
                continue;
            }
            let streams = daemon.origins.unfinished(now);
            let mut relays = daemon.relays_to.iter().copied();
            match relays.find(|other| self.daemons[*other].is_reachable(now)) {
                Some(other) => {
                    for origin in &streams {
                        let origins = &mut self.daemons[other].origins;
                        origins.record(now, origin, OriginSource::Relayed);
                    }
                }
                None if daemon.is_reader && !self.store.is_away => {
                    let own = daemon.record.id.to_string();
                    self.write(&own, &streams);
                }
                None => {}
            }
        }
    }

    fn write(&mut self, writer: &str, streams: &[StreamOrigin]) {
        self.store.records.retain(|(by, _)| by != writer);
        let value = encode_streams(streams);
        self.store.records.push((writer.to_owned(), value));
    }

    fn begin_streams(&mut self, now: Moment) {
        for _ in 0..self.rng.random_range(0..=STREAMS_PER_STEP) {
            let number = self.rng.random_range(0..self.daemons.len());
            let daemon = &self.daemons[number];
            if !daemon.is_up(now) || daemon.serving.is_empty() {
                continue;
            }
            let version = daemon.serving[self.rng.random_range(0..daemon.serving.len())];
            if !self.store.serving.contains(&version) {
                continue;
            }
            let key = self.rng.random();
            let origin = StreamOrigin {
                stream: key,
                version,
                lifetime: LIFETIME,
            };
            let daemon = &mut self.daemons[number];
            daemon.origins.record(now, &origin, OriginSource::Own);
            if daemon.has_several(now) {
                self.tell(now, number, &origin);
            }
            let length = Duration::from_millis(self.rng.random_range(200..3_000));
            let away = Duration::from_millis(self.rng.random_range(5..4_000));
            self.streams.push(Stream {
                key,
                version,
                began_at: number,
                ends_at: now + length,
                returns_at: now + length / 2 + away,
            });
        }
    }

    fn take_up_streams(&mut self, now: Moment) {
        for stream in self.streams.iter().filter(|stream| stream.ends_at <= now) {
            self.daemons[stream.began_at].origins.finish(stream.key);
        }
        let (returning, others) = std::mem::take(&mut self.streams)
            .into_iter()
            .partition(|stream| stream.returns_at <= now);
        self.streams = others;
        for stream in returning {
            self.take_up(now, &stream);
        }
    }

    fn take_up(&mut self, now: Moment, stream: &Stream) {
        let number = self.rng.random_range(0..self.daemons.len());
        let daemon = &self.daemons[number];
        if !daemon.is_up(now) || daemon.listed_at.is_none() {
            return;
        }
        let (mut origin, mut asked, mut answered) = (daemon.origins.find(now, stream.key), 0, 0);
        let mut others_know_several = false;
        if origin.is_none() {
            for holder in origin_holders(stream.key, &daemon.listed) {
                if holder.id == daemon.record.id {
                    continue;
                }
                asked += 1;
                let other = &self.daemons[self.position(&holder.id)];
                if daemon.is_reachable(now) && other.is_reachable(now) {
                    answered += 1;
                    others_know_several |= other.has_several(now);
                    origin = origin.or(other.origins.find(now, stream.key));
                }
            }
        }
        let resumed = ResumedStream {
            origin,
            possible: daemon.possible(now),
            has_events: true,
            asked,
            answered,
            others_know_several,
            is_list_current: daemon.listed_at.is_some_and(|at| now <= at + CURRENT_AGE),
        };
        let binding = resumed.bind(|version| daemon.serving.contains(&version));
        if let Ok(VersionBinding::Only(version)) = binding {
            self.counts.joined += u32::from(version != stream.version);
        }
        assert_ne!(binding, Ok(VersionBinding::Free), "the caller has events");
        // The users' rule counts daemons in touch, and versions that serve.
        let is_in_touch = now >= daemon.cut_until + Duration::from_secs(3)
            && now >= daemon.starts_at + Duration::from_secs(3);
        if is_in_touch && self.store.serving.contains(&stream.version) {
            self.counts.returned += 1;
            self.counts.went_on += u32::from(binding.is_ok());
        }
    }
}

/// Guards against streams that go on at another version, or are refused although they could go on.
#[test_case(6, 16, Trouble::None)]
#[test_case(80, 2, Trouble::None)]
#[test_case(195, 1, Trouble::None)]
#[test_case(6, 16, Trouble::Restarts)]
#[test_case(80, 2, Trouble::Restarts)]
#[test_case(195, 1, Trouble::Restarts)]
#[test_case(6, 16, Trouble::CutOff)]
#[test_case(80, 2, Trouble::CutOff)]
#[test_case(195, 1, Trouble::CutOff)]
#[test_case(6, 16, Trouble::StoreAway)]
#[test_case(80, 2, Trouble::StoreAway)]
#[test_case(195, 1, Trouble::StoreAway)]
#[test_case(6, 16, Trouble::AllKilled)]
#[test_case(80, 2, Trouble::AllKilled)]
#[test_case(195, 1, Trouble::AllKilled)]
fn streams_go_on_at_their_version_at_any_daemon(daemons: usize, seeds: u64, trouble: Trouble) {
    let mut total = Counts::default();
    for seed in 0..seeds {
        let counts = Fleet::new(daemons, seed, trouble).run();
        assert_eq!(counts.joined, 0, "seed {seed}");
        total.returned += counts.returned;
        total.went_on += counts.went_on;
    }
    let share = f64::from(total.went_on) / f64::from(total.returned);
    println!(
        "{daemons} daemons, {trouble:?}: {} of {} went on",
        total.went_on, total.returned
    );
    assert!(total.returned > 100, "{} returned", total.returned);
    assert!(
        share >= 0.5,
        "{} of {} went on",
        total.went_on,
        total.returned
    );
}
