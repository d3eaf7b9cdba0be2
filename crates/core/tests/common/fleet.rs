//! A simulated fleet: daemons that choose alone, targets that cache shared parts, and callers that
//! reach any daemon.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::time::Duration;

use lapismoor_core::Moment;
use lapismoor_core::admission::Priority;
use lapismoor_core::ids::TargetKey;
use lapismoor_core::membership::{Directory, LearnedFrom, TargetEntry, TargetState};
use lapismoor_core::routing::fleet_sample::{
    COLLECTOR_INTERVAL, EXCHANGE_INTERVAL, apply_sample, collected_observations, fleet_sample,
    merge_observations, take_observations,
};
use lapismoor_core::routing::{
    AffinityPreference, Chooser, Homes, LoadBound, Observations, PromptPart, Regions, ReportedLoad,
    TargetQuery,
};
use lapismoor_core::stream::VersionBinding;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const BOUND: LoadBound = LoadBound {
    percent: 200,
    extra: 3,
};
/// Prompt tokens that a target reads in a millisecond.
const TOKENS_PER_MS: u32 = 38;
/// Length of the windows in which the load bound is judged.
const WINDOW: Duration = Duration::from_secs(5);

/// Time from the acknowledgement of an evacuation after which nothing reaches the domain.
pub const EVACUATE_WITHIN: Duration = Duration::from_secs(5);
/// Number of failure domains.
const DOMAINS: usize = 5;
/// Daemons of a fleet of this size or less don't exchange observations.
const LARGEST_FLEET_WITHOUT_COLLECTORS: usize = 12;

/// A kind of chat.
#[derive(Debug, Clone)]
pub struct Kind {
    /// Share of the traffic, in percent.
    pub percent: u32,
    /// Number of shared parts.
    pub parts: u64,
    /// Length of a shared part.
    pub part_tokens: u32,
    /// Time from the first to the last token.
    pub generation: Duration,
}

/// A part that draws much of the traffic of a kind for a while.
#[derive(Debug, Clone)]
pub struct HotPart {
    pub kind: usize,
    /// Share of the requests of the kind, in percent.
    pub percent: u32,
    pub from: Moment,
    pub until: Moment,
}

/// Load pattern to play.
#[derive(Debug, Clone)]
pub struct Traffic {
    pub per_s: u32,
    pub length: Duration,
    pub kinds: Vec<Kind>,
    pub hot: Option<HotPart>,
}

impl Traffic {
    /// Three kinds of chats with as many shared parts as one request per part in two seconds gives.
    pub fn even(per_s: u32) -> Self {
        let kind = |percent, parts_per_request_s: u32, part_tokens, generation_ms| Kind {
            percent,
            parts: u64::from(per_s * percent * parts_per_request_s / 1_000).max(4),
            part_tokens,
            generation: Duration::from_millis(generation_ms),
        };
        Self {
            per_s,
            length: Duration::from_secs(10),
            kinds: vec![
                kind(33, 20, 8_600, 300),
                kind(41, 30, 2_000, 130),
                kind(26, 13, 600, 1_700),
            ],
            hot: None,
        }
    }
}

/// What the targets saw.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Time of each request, and whether its target held more than the bound.
    arrivals: Vec<(Moment, bool)>,
    /// Reads of a part that another target had read before.
    pub repeated_reads: usize,
    /// Reads of a part that no target had read before.
    pub first_reads: usize,
    /// Time of each request to a failure domain whose evacuation had been acknowledged.
    pub to_evacuated: Vec<Moment>,
}

impl Outcome {
    /// Greatest share of requests to targets above the bound in a window, from 0 to 1. Windows with
    /// fewer than 20 such requests count as zero.
    pub fn worst_over_bound(&self) -> f64 {
        let mut worst: f64 = 0.0;
        let (mut first, mut over) = (0, 0);
        for (position, (at, is_over)) in self.arrivals.iter().enumerate() {
            over += usize::from(*is_over);
            while self.arrivals[first].0 + WINDOW <= *at {
                over -= usize::from(self.arrivals[first].1);
                first += 1;
            }
            let is_full = *at >= WINDOW;
            if is_full && over >= 20 {
                worst = worst.max(ratio(over, position + 1 - first));
            }
        }
        worst
    }

    /// Reads of shared parts that a fleet with one home per part would not need, per request.
    pub fn repeated_per_request(&self) -> f64 {
        ratio(self.repeated_reads, self.arrivals.len())
    }
}

fn ratio(part: usize, whole: usize) -> f64 {
    let count = |number| f64::from(u32::try_from(number).expect("small"));
    count(part) / count(whole.max(1))
}

struct Target {
    cached: BTreeSet<u64>,
    in_flight: u32,
    /// When it has read all prompts that it was sent.
    reading_until: Moment,
}

struct Daemon {
    chooser: Chooser,
    directory: Directory,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    FirstToken {
        daemon: usize,
        target: TargetKey,
    },
    End {
        daemon: usize,
        target: TargetKey,
    },
    /// The store acknowledges the evacuation of a failure domain.
    Evacuate {
        domain: u32,
    },
    /// A daemon learns of an evacuation. Its copy was `age_ms` old before.
    Learn {
        daemon: usize,
        domain: u32,
        age_ms: u64,
        is_starting: bool,
    },
    /// A daemon sends its observations to a collector.
    Report {
        daemon: usize,
        collector: usize,
    },
    /// A collector tells another one what it has collected.
    Relay {
        from: usize,
        to: usize,
    },
}

/// The fleet and the state of its targets.
pub struct Fleet {
    daemons: Vec<Daemon>,
    targets: Vec<Target>,
    events: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    event_count: u64,
    rng: ChaCha8Rng,
    /// Failure domains whose evacuation has been acknowledged.
    evacuated: Vec<u32>,
}

impl Fleet {
    /// A fleet that knows nothing yet.
    pub fn new(daemons: u32, targets: u16, seed: u64) -> Self {
        let daemon = |number: u32| Daemon {
            chooser: Chooser::new(domain(number), BOUND),
            directory: directory(targets),
        };
        let target = |_| Target {
            cached: BTreeSet::new(),
            in_flight: 0,
            reading_until: Moment::ZERO,
        };
        Self {
            daemons: (0..daemons).map(daemon).collect(),
            targets: (0..targets).map(target).collect(),
            events: BinaryHeap::new(),
            event_count: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            evacuated: Vec::new(),
        }
    }

    /// Evacuates a failure domain at `at`. Daemons follow within `spread`; every tenth one is cut off
    /// for a while, and follows `cut_off` later.
    pub fn evacuate(&mut self, at: Moment, domain: u32, spread: Duration, cut_off: Duration) {
        self.schedule(at, Event::Evacuate { domain });
        for daemon in 0..self.daemons.len() {
            let mut delay = spread.mul_f64(self.rng.random());
            if daemon % 10 == 9 {
                delay += cut_off;
            }
            // The copy was last confirmed shortly before the evacuation.
            let age = delay + spread.mul_f64(self.rng.random());
            let event = Event::Learn {
                daemon,
                domain,
                age_ms: u64::try_from(age.as_millis()).expect("short"),
                is_starting: daemon % 10 == 5,
            };
            self.schedule(at + delay, event);
        }
    }

    fn learn(&mut self, now: Moment, number: usize, evacuated: u32, age: Duration, starts: bool) {
        let learned_from = if starts {
            LearnedFrom::FirstList
        } else {
            LearnedFrom::Change
        };
        let evacuations = &mut self.daemons[number].directory.evacuations;
        let not_before = now.saturating_sub(age);
        evacuations.begin(now, &domain(evacuated), learned_from, not_before);
    }

    fn is_evacuated(&self, target: usize) -> bool {
        let domain = u32::try_from(target).expect("small") % 5;
        self.evacuated.contains(&domain)
    }

    /// Plays the traffic.
    pub fn run(&mut self, traffic: &Traffic) -> Outcome {
        let mut outcome = Outcome::default();
        let mut read_anywhere = BTreeSet::new();
        self.schedule(Moment::ZERO, Event::Arrival);
        self.schedule_exchanges();
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            match event {
                Event::Arrival if now < traffic.length => {
                    let gap_s = -f64::ln(1.0 - self.rng.random::<f64>()) / f64::from(traffic.per_s);
                    self.schedule(now + Duration::from_secs_f64(gap_s), Event::Arrival);
                    self.arrive(now, traffic, &mut outcome, &mut read_anywhere);
                }
                Event::Evacuate { domain } => self.evacuated.push(domain),
                Event::Learn {
                    daemon,
                    domain,
                    age_ms,
                    is_starting,
                } => self.learn(
                    now,
                    daemon,
                    domain,
                    Duration::from_millis(age_ms),
                    is_starting,
                ),
                Event::Report { daemon, collector } if now < traffic.length => {
                    let since = now.saturating_sub(EXCHANGE_INTERVAL);
                    let own = &mut self.daemons[daemon];
                    let observed = take_observations(now, since, &own.directory, &mut own.chooser);
                    self.exchange(now, since, &observed, (daemon, collector));
                    self.schedule(now + EXCHANGE_INTERVAL, event);
                }
                Event::Relay { from, to } if now < traffic.length => {
                    let since = now.saturating_sub(COLLECTOR_INTERVAL);
                    let observed =
                        collected_observations(now, since, &self.daemons[from].directory);
                    self.exchange(now, since, &observed, (from, to));
                    self.schedule(now + COLLECTOR_INTERVAL, event);
                }
                Event::Arrival | Event::Report { .. } | Event::Relay { .. } => {}
                Event::FirstToken { daemon, target } => self.report(now, daemon, target),
                Event::End { daemon, target } => {
                    self.target(target).in_flight -= 1;
                    let known = self.daemons[daemon].directory.get_mut(target);
                    known.expect("listed").load.record_ended();
                }
            }
        }
        outcome
    }

    fn arrive(
        &mut self,
        now: Moment,
        traffic: &Traffic,
        outcome: &mut Outcome,
        read_anywhere: &mut BTreeSet<u64>,
    ) {
        let (kind, part) = self.draw_part(now, traffic);
        let kind = &traffic.kinds[kind];
        let daemon = self.rng.random_range(0..self.daemons.len());
        let target = self.choose(now, daemon, part, kind.part_tokens);
        let total: u32 = self.targets.iter().map(|target| target.in_flight).sum();
        let mean = f64::from(total) / ratio(self.targets.len(), 1);
        if self.is_evacuated(usize::try_from(target).expect("small") - 1) {
            outcome.to_evacuated.push(now);
        }
        let at_target = self.target(target);
        let is_over = f64::from(at_target.in_flight) > 2.0 * mean + 3.0;
        outcome.arrivals.push((now, is_over));
        let is_cached = !at_target.cached.insert(part);
        let read_tokens = if is_cached { 400 } else { kind.part_tokens };
        let reading = Duration::from_millis(u64::from(read_tokens / TOKENS_PER_MS));
        at_target.reading_until = at_target.reading_until.max(now) + reading;
        at_target.in_flight += 1;
        let first_token = at_target.reading_until;
        if !is_cached && !read_anywhere.insert(part) {
            outcome.repeated_reads += 1;
        } else if !is_cached {
            outcome.first_reads += 1;
        }
        // Lengths of answers vary; the mean of this factor is one.
        let length = -f64::ln(1.0 - self.rng.random::<f64>());
        let end = first_token + kind.generation.mul_f64(length.min(4.0));
        self.schedule(first_token, Event::FirstToken { daemon, target });
        self.schedule(end, Event::End { daemon, target });
    }

    /// Draws a kind and one of its parts. Earlier parts are somewhat more popular.
    fn draw_part(&mut self, now: Moment, traffic: &Traffic) -> (usize, u64) {
        let mut drawn = self.rng.random_range(0..100);
        let mut kind = 0;
        while drawn >= traffic.kinds[kind].percent {
            drawn -= traffic.kinds[kind].percent;
            kind += 1;
        }
        let is_hot = |hot: &&HotPart| hot.kind == kind && (hot.from..hot.until).contains(&now);
        if let Some(hot) = traffic.hot.as_ref().filter(is_hot)
            && self.rng.random_range(0..100) < hot.percent
        {
            return (kind, 999_999);
        }
        let parts = f64::from(u32::try_from(traffic.kinds[kind].parts).expect("small"));
        // The inverse of a distribution with density proportional to rank^-0.3.
        let rank = (parts * self.rng.random::<f64>().powf(1.0 / 0.7)).floor();
        let part = Duration::from_secs_f64(rank).as_secs();
        (
            kind,
            100_000 * (u64::try_from(kind).expect("small") + 1) + part,
        )
    }

    fn choose(&mut self, now: Moment, daemon: usize, part: u64, tokens: u32) -> TargetKey {
        let parts = [(part, tokens), (self.event_count, 400)];
        let query = TargetQuery {
            service: &"pool".into(),
            parts: &parts.map(|(id, tokens)| PromptPart { id, tokens }),
            version: VersionBinding::Free,
            request: self.event_count,
            tried: &[],
            may_repeat_target: false,
            preference: AffinityPreference::default(),
            priority: &Priority::default(),
            homes: Homes::default(),
            permits_denied: 0,
        };
        let daemon = &mut self.daemons[daemon];
        let choice = daemon.chooser.choose(now, &daemon.directory, &query);
        let target = choice.expect("a target").target;
        let known = daemon.directory.get_mut(target);
        known.expect("listed").load.record_sent();
        target
    }

    /// The target reports its load with the first token of an answer.
    fn report(&mut self, now: Moment, daemon: usize, target: TargetKey) {
        let load = ReportedLoad {
            running: self.target(target).in_flight,
            waiting: 0,
            slots: 32,
        };
        let known = self.daemons[daemon].directory.get_mut(target);
        known.expect("listed").load.record_report(now, &load);
    }

    /// The first daemons are collectors, two of each failure domain.
    fn schedule_exchanges(&mut self) {
        let daemons = self.daemons.len();
        if daemons <= LARGEST_FLEET_WITHOUT_COLLECTORS {
            return;
        }
        for daemon in 2 * DOMAINS..daemons {
            let collector = daemon % (2 * DOMAINS);
            let phase = EXCHANGE_INTERVAL.mul_f64(self.rng.random());
            self.schedule(phase, Event::Report { daemon, collector });
        }
        for from in 0..2 * DOMAINS {
            let phase = COLLECTOR_INTERVAL.mul_f64(self.rng.random());
            for to in 0..DOMAINS {
                let is_second_of_domain = from == to + DOMAINS;
                if is_second_of_domain || (from < DOMAINS && from != to) {
                    self.schedule(phase, Event::Relay { from, to });
                }
            }
        }
    }

    fn exchange(
        &mut self,
        now: Moment,
        since: Moment,
        observed: &Observations,
        (from, to): (usize, usize),
    ) {
        let collector = &mut self.daemons[to];
        let (directory, chooser) = (&mut collector.directory, &mut collector.chooser);
        merge_observations(now, observed, directory, chooser);
        let sample = fleet_sample(now, since, directory, chooser);
        let own = &mut self.daemons[from];
        apply_sample(now, sample, &mut own.directory, &mut own.chooser);
    }

    fn target(&mut self, key: TargetKey) -> &mut Target {
        &mut self.targets[usize::try_from(key).expect("small") - 1]
    }

    fn schedule(&mut self, at: Moment, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }
}

fn domain(number: u32) -> lapismoor_core::ids::FailureDomain {
    ["east", "west", "north", "south", "middle"][usize::try_from(number % 5).expect("small")].into()
}

/// Lists the targets in the same order at each daemon, so that their keys are equal.
fn directory(targets: u16) -> Directory {
    let mut directory = Directory::new(Regions::default(), EVACUATE_WITHIN);
    for number in 0..targets {
        let entry = TargetEntry {
            id: format!("i-{number}").into(),
            started_unix_ms: None,
            address: ([10, 0, 0, 1], 8_000 + number).into(),
            service: "pool".into(),
            domain: domain(number.into()),
            version: "v1".into(),
            slots: 32,
            state: TargetState::Ready,
            warmup_remaining: Duration::ZERO,
        };
        directory.apply(Moment::ZERO, entry);
    }
    directory
}
