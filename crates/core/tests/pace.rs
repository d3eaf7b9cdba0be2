//! Targets on shared hosts turn 2.5 times slower for parts of a second, and demand differs by
//! failure domain.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use lapismoor_core::Moment;
use lapismoor_core::admission::Priority;
use lapismoor_core::ids::TargetKey;
use lapismoor_core::membership::{Directory, TargetEntry, TargetState};
use lapismoor_core::routing::fleet_sample::{
    COLLECTOR_INTERVAL, EXCHANGE_INTERVAL, apply_sample, collected_observations, fleet_sample,
    merge_observations, take_observations,
};
use lapismoor_core::routing::pace::{PaceView, TypicalTime, rejection_pace};
use lapismoor_core::routing::{
    AffinityPreference, Chooser, Homes, LoadBound, PromptPart, ReportedLoad, TargetQuery,
};
use lapismoor_core::stream::VersionBinding;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const DOMAINS: [&str; 3] = ["east", "west", "north"];
const SLOTS: usize = 6;
const QUEUE: usize = 24;
const WORK: Duration = Duration::from_millis(30);
const OBJECTIVE: Duration = Duration::from_millis(200);
/// Way to a target in another failure domain and back.
const FAR: Duration = Duration::from_millis(10);
const SPELL: Duration = Duration::from_millis(600);
const LENGTH: Duration = Duration::from_secs(20);

fn at(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

fn entry(number: u16, domain: &str) -> TargetEntry {
    TargetEntry {
        id: format!("i-{number}").into(),
        started_unix_ms: Some(1),
        address: ([10, 0, 0, 1], 8_000 + number).into(),
        service: "pool".into(),
        domain: domain.into(),
        version: "v1".into(),
        slots: 6,
        state: TargetState::Ready,
        warmup_remaining: Duration::ZERO,
    }
}

struct Daemon {
    directory: Directory,
    chooser: Chooser,
}

impl Daemon {
    fn new(domain: &str, targets: u16) -> Self {
        let bound = LoadBound {
            percent: 200,
            extra: 3,
        };
        let mut directory = Directory::default();
        for number in 0..targets {
            let domain = DOMAINS[usize::from(number) % DOMAINS.len()];
            directory.apply(Moment::ZERO, entry(number, domain));
        }
        Self {
            directory,
            chooser: Chooser::new(domain.into(), bound),
        }
    }

    fn choose(&mut self, now: Moment, request: u64, parts: &[PromptPart]) -> TargetKey {
        let query = TargetQuery {
            service: &"pool".into(),
            parts,
            version: VersionBinding::Free,
            request,
            tried: &[],
            may_repeat_target: false,
            preference: AffinityPreference::default(),
            priority: &Priority::default(),
            homes: Homes::default(),
            permits_denied: 0,
        };
        let choice = self.chooser.choose(now, &self.directory, &query);
        choice.expect("a target").target
    }
}

/// How the pace of the targets varies.
#[derive(Clone, Copy)]
enum Pattern {
    /// 15 % of the targets are 2.5 times slower for 600 ms.
    Noise,
    /// The three targets have different speeds for good.
    ThreeSpeeds,
    /// Targets are even; the demand of two failure domains swings in opposite phase.
    Waves,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    End {
        target: usize,
    },
    Answer {
        daemon: usize,
        target: usize,
        sent_at: Moment,
    },
    Rejection {
        daemon: usize,
        target: usize,
    },
    Report {
        daemon: usize,
        collector: usize,
    },
    Relay {
        from: usize,
        to: usize,
    },
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Waiting {
    daemon: usize,
    sent_at: Moment,
}

#[derive(Default)]
struct Server {
    running: VecDeque<(Moment, Waiting)>,
    waiting: VecDeque<Waiting>,
}

struct Fleet {
    daemons: Vec<Daemon>,
    servers: Vec<Server>,
    events: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    count: u64,
    rng: ChaCha8Rng,
    pattern: Pattern,
    /// Slow spells by target.
    is_slow: Vec<Vec<bool>>,
    /// Whether daemons observe the pace of targets.
    observes: bool,
    asked: u32,
    bad: u32,
    /// Requests at the fullest target over the mean, at each arrival.
    skews: Vec<f64>,
}

/// What callers and targets saw.
#[derive(Debug, Default)]
struct Outcome {
    /// Share of the requests that is late or rejected.
    bad: f64,
    /// Median and 99th percentile of the requests at the fullest target over the mean.
    skew_p50: f64,
    skew_p99: f64,
}

impl Fleet {
    fn new(daemons: usize, pattern: Pattern, observes: bool, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let spells = LENGTH.as_millis() / SPELL.as_millis() + 10;
        let mut spell = || (0..spells).map(|_| rng.random_range(0..100) < 15).collect();
        Self {
            is_slow: (0..DOMAINS.len()).map(|_| spell()).collect(),
            daemons: (0..daemons)
                .map(|number| Daemon::new(DOMAINS[number % DOMAINS.len()], 3))
                .collect(),
            servers: DOMAINS.iter().map(|_| Server::default()).collect(),
            events: BinaryHeap::new(),
            count: 0,
            rng,
            pattern,
            observes,
            asked: 0,
            bad: 0,
            skews: Vec::new(),
        }
    }

    fn schedule(&mut self, at: Moment, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at, self.count, event)));
    }

    fn pace(&self, now: Moment, target: usize) -> f64 {
        match self.pattern {
            Pattern::Noise => {
                let spell = usize::try_from(now.as_millis() / SPELL.as_millis()).expect("small");
                if self.is_slow[target][spell] {
                    2.5
                } else {
                    1.0
                }
            }
            Pattern::ThreeSpeeds => [0.7, 1.0, 2.5][target],
            Pattern::Waves => 1.0,
        }
    }

    fn draw_daemon(&mut self, now: Moment) -> usize {
        let domain = match self.pattern {
            Pattern::Noise | Pattern::ThreeSpeeds => self.rng.random_range(0..DOMAINS.len()),
            Pattern::Waves => {
                let wave = f64::sin(now.as_secs_f64() * std::f64::consts::TAU / 10.0);
                let drawn = self.rng.random::<f64>();
                if drawn < 1.0 / 3.0 {
                    2
                } else {
                    usize::from(self.rng.random::<f64>() < 0.5 + 0.45 * wave)
                }
            }
        };
        let in_domain = self.daemons.len().div_ceil(DOMAINS.len());
        let daemon = domain + DOMAINS.len() * self.rng.random_range(0..in_domain);
        daemon.min(self.daemons.len() - 1)
    }

    /// Plays `per_s` requests per second on average.
    fn play(mut self, per_s: f64) -> Outcome {
        self.schedule(Moment::ZERO, Event::Arrival);
        self.schedule_exchanges();
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            match event {
                Event::Arrival if now < LENGTH => {
                    let gap = -f64::ln(1.0 - self.rng.random::<f64>()) / per_s;
                    self.schedule(now + Duration::from_secs_f64(gap), Event::Arrival);
                    self.arrive(now);
                }
                Event::End { target } => self.end(now, target),
                Event::Answer {
                    daemon,
                    target,
                    sent_at,
                } => self.answer(now, daemon, target, sent_at),
                Event::Rejection { daemon, target } => self.reject(now, daemon, target),
                Event::Report { daemon, collector } if now < LENGTH => {
                    let since = now.saturating_sub(EXCHANGE_INTERVAL);
                    let own = &mut self.daemons[daemon];
                    let told = take_observations(now, since, &own.directory, &mut own.chooser);
                    self.exchange(now, since, &told, (daemon, collector));
                    self.schedule(now + EXCHANGE_INTERVAL, event);
                }
                Event::Relay { from, to } if now < LENGTH => {
                    let since = now.saturating_sub(COLLECTOR_INTERVAL);
                    let told = collected_observations(now, since, &self.daemons[from].directory);
                    self.exchange(now, since, &told, (from, to));
                    self.schedule(now + COLLECTOR_INTERVAL, event);
                }
                Event::Arrival | Event::Report { .. } | Event::Relay { .. } => {}
            }
        }
        self.skews.sort_by(f64::total_cmp);
        Outcome {
            bad: f64::from(self.bad) / f64::from(self.asked),
            skew_p50: self.skews[self.skews.len() / 2],
            skew_p99: self.skews[self.skews.len() * 99 / 100],
        }
    }

    fn arrive(&mut self, now: Moment) {
        let daemon = self.draw_daemon(now);
        self.asked += 1;
        let held = |server: &Server| server.running.len() + server.waiting.len();
        let held = self
            .servers
            .iter()
            .map(held)
            .map(|held| u32::try_from(held).expect("small"));
        let (sum, most) = held.fold((0, 0), |(sum, most), one| (sum + one, most.max(one)));
        let mean = f64::from(sum) / 3.0;
        self.skews.push(f64::from(most) / mean.max(1.0));
        let own = &mut self.daemons[daemon];
        let key = own.choose(now, self.count.wrapping_mul(0x9E37_79B9_7F4A_7C15), &[]);
        own.directory
            .get_mut(key)
            .expect("listed")
            .load
            .record_sent();
        let target = usize::try_from(key).expect("small") - 1;
        let request = Waiting {
            daemon,
            sent_at: now,
        };
        if self.servers[target].running.len() < SLOTS {
            self.start(now, target, request);
        } else if self.servers[target].waiting.len() < QUEUE {
            self.servers[target].waiting.push_back(request);
        } else {
            self.schedule(
                now + Self::way(daemon, target),
                Event::Rejection { daemon, target },
            );
        }
    }

    fn way(daemon: usize, target: usize) -> Duration {
        if daemon % DOMAINS.len() == target {
            Duration::ZERO
        } else {
            FAR
        }
    }

    fn start(&mut self, now: Moment, target: usize, request: Waiting) {
        let work = WORK.mul_f64(self.pace(now, target) * (0.5 + self.rng.random::<f64>()));
        self.servers[target]
            .running
            .push_back((now + work, request));
        self.schedule(now + work, Event::End { target });
    }

    fn end(&mut self, now: Moment, target: usize) {
        let running = &mut self.servers[target].running;
        let position = running.iter().position(|(end, _)| *end <= now);
        let (_, ended) = running.remove(position.expect("running")).expect("running");
        let back = Self::way(ended.daemon, target);
        let (daemon, sent_at) = (ended.daemon, ended.sent_at);
        self.schedule(
            now + back,
            Event::Answer {
                daemon,
                target,
                sent_at,
            },
        );
        if let Some(next) = self.servers[target].waiting.pop_front() {
            self.start(now, target, next);
        }
    }

    fn answer(&mut self, now: Moment, daemon: usize, target: usize, sent_at: Moment) {
        let time = now.saturating_sub(sent_at);
        self.bad += u32::from(time > OBJECTIVE);
        let way = Self::way(daemon, target);
        let key = u64::try_from(target).expect("small") + 1;
        let own = &mut self.daemons[daemon];
        let load = &mut own.directory.get_mut(key).expect("listed").load;
        load.record_ended();
        load.record_connected(way);
        if self.observes {
            own.chooser
                .record_answer_time(now, &mut own.directory, key, time);
        }
    }

    fn reject(&mut self, now: Moment, daemon: usize, target: usize) {
        self.bad += 1;
        let key = u64::try_from(target).expect("small") + 1;
        let load = &mut self.daemons[daemon]
            .directory
            .get_mut(key)
            .expect("listed")
            .load;
        load.record_ended();
        if self.observes {
            load.pace.record(now, rejection_pace());
        }
    }

    /// The first daemons are collectors, two of each failure domain.
    fn schedule_exchanges(&mut self) {
        let (domains, daemons) = (DOMAINS.len(), self.daemons.len());
        for daemon in 2 * domains..daemons {
            let collector = daemon % (2 * domains);
            let phase = EXCHANGE_INTERVAL.mul_f64(self.rng.random());
            self.schedule(phase, Event::Report { daemon, collector });
        }
        for from in 0..2 * domains.min(daemons / 2) {
            let phase = COLLECTOR_INTERVAL.mul_f64(self.rng.random());
            for to in (0..domains).filter(|to| *to != from && daemons > 2 * domains) {
                self.schedule(phase, Event::Relay { from, to });
            }
        }
    }

    fn exchange(
        &mut self,
        now: Moment,
        since: Moment,
        told: &lapismoor_core::routing::Observations,
        (from, to): (usize, usize),
    ) {
        let collector = &mut self.daemons[to];
        let (directory, chooser) = (&mut collector.directory, &mut collector.chooser);
        merge_observations(now, told, directory, chooser);
        let sample = fleet_sample(now, since, directory, chooser);
        let own = &mut self.daemons[from];
        apply_sample(now, sample, &mut own.directory, &mut own.chooser);
    }
}

/// Means over five days.
fn means(daemons: usize, pattern: Pattern, per_s: f64, observes: bool) -> Outcome {
    let mut mean = Outcome::default();
    for seed in 1..=5 {
        let day = Fleet::new(daemons, pattern, observes, seed).play(per_s);
        mean.bad += day.bad / 5.0;
        mean.skew_p50 += day.skew_p50 / 5.0;
        mean.skew_p99 += day.skew_p99 / 5.0;
    }
    mean
}

/// Daemons that see only their own requests all stay with the target of their failure domain,
/// whatever its pace.
#[test_case(6, Pattern::ThreeSpeeds, 300.0; "three speeds, 6 daemons")]
#[test_case(88, Pattern::ThreeSpeeds, 300.0; "three speeds, 88 daemons")]
#[test_case(195, Pattern::ThreeSpeeds, 300.0; "three speeds, 195 daemons")]
#[test_case(6, Pattern::Waves, 450.0; "waves, 6 daemons")]
#[test_case(88, Pattern::Waves, 450.0; "waves, 88 daemons")]
#[test_case(195, Pattern::Waves, 450.0; "waves, 195 daemons")]
fn slow_plain_target_is_left_in_part(daemons: usize, pattern: Pattern, per_s: f64) {
    let before = means(daemons, pattern, per_s, false);
    let actual = means(daemons, pattern, per_s, true);
    assert!(
        actual.bad <= before.bad / 2.0,
        "{actual:?}, without pace {before:?}"
    );
}

/// Spells are mostly over before many daemons know of them: what arrives late, up to 0.6 s old, must not send
/// all of them to the target that was quickest then.
#[test_case(6; "6 daemons")]
#[test_case(88; "88 daemons")]
#[test_case(195; "195 daemons")]
fn late_reports_of_short_spells_draw_no_herd(daemons: usize) {
    let before = means(daemons, Pattern::Noise, 330.0, false);
    let actual = means(daemons, Pattern::Noise, 330.0, true);
    assert!(
        actual.bad <= before.bad,
        "{actual:?}, without pace {before:?}"
    );
    assert!(
        actual.skew_p50 <= before.skew_p50,
        "{actual:?}, without pace {before:?}"
    );
    assert!(
        actual.skew_p99 <= before.skew_p99,
        "{actual:?}, without pace {before:?}"
    );
}

/// A figure that arrived late must not draw requests about when the target is as usual again.
#[test_case(100, 1.4; "one tenth of a second")]
#[test_case(500, 1.2; "half a second")]
#[test_case(2_000, 1.02; "two seconds")]
fn observation_counts_less_with_age(age_ms: u64, expected_below: f64) {
    let mut pace = PaceView::default();
    pace.record_relayed(at(5_000), at(5_000 - age_ms), 250);
    let actual = pace.factor(at(5_000));
    assert!(actual > 1.0 && actual < expected_below + 0.2, "{actual}");
    assert!((pace.factor(at(15_000)) - 1.0).abs() < 0.001);
}

#[test]
fn moment_of_slowness_does_not_move_shared_parts() {
    let mut pace = PaceView::default();
    for ms in (0..15_000).step_by(100) {
        pace.record(at(ms), if ms < 14_400 { 100 } else { 250 });
    }
    let (moment, lasting) = (pace.factor(at(15_000)), pace.lasting_factor(at(15_000)));
    assert!(moment > 1.5 && lasting < 1.25, "{moment} {lasting}");
    for ms in (15_000..21_000).step_by(100) {
        pace.record(at(ms), 250);
    }
    assert!(pace.lasting_factor(at(21_000)) > 2.0);
}

#[test]
fn liar_neither_empties_a_target_nor_draws_all_requests() {
    for (percent, least, most) in [(1, 0.5, 1.0), (u16::MAX, 1.0, 4.0)] {
        let mut pace = PaceView::default();
        for ms in 0..100 {
            pace.record(at(ms), percent);
        }
        let actual = pace.factor(at(100));
        assert!((least..=most).contains(&actual), "{percent}: {actual}");
    }
}

#[test]
fn older_observation_of_another_daemon_is_ignored() {
    let mut pace = PaceView::default();
    pace.record(at(1_000), 100);
    pace.record_relayed(at(1_100), at(600), 250);
    assert!((pace.factor(at(1_100)) - 1.0).abs() < f64::EPSILON);
}

#[test]
fn answer_times_show_a_pace_once_the_typical_time_is_known() {
    let mut typical = TypicalTime::default();
    let actual: Vec<_> = (0..9).map(|_| typical.record(at(30))).collect();
    assert_eq!((actual[2], actual[3]), (None, Some(100)));
    assert_eq!(typical.record(at(75)), Some(250));
}

#[test]
fn pace_is_told_with_the_load_and_alone() {
    let (mut from, mut to) = (Daemon::new("east", 3), Daemon::new("east", 3));
    let report = ReportedLoad {
        running: 5,
        waiting: 1,
        slots: 6,
    };
    let load = &mut from.directory.get_mut(1).expect("listed").load;
    load.record_report(at(100), &report);
    load.pace.record(at(100), 250);
    let load = &mut from.directory.get_mut(2).expect("listed").load;
    load.pace.record(at(100), 300);
    let told = take_observations(at(200), at(0), &from.directory, &mut from.chooser);
    let actual: Vec<_> = told
        .loads
        .iter()
        .map(|one| (one.requests, one.pace_percent))
        .collect();
    assert_eq!(actual, [(6, Some(250)), (0, Some(300))]);
    merge_observations(at(200), &told, &mut to.directory, &mut to.chooser);
    let target = |key| &to.directory.get(key).expect("listed").load;
    assert!(target(1).pace.factor(at(200)) > 1.2 && target(2).pace.factor(at(200)) > 1.2);
    assert!(target(1).has_report() && !target(2).has_report());
}

#[test]
fn new_incarnation_has_no_pace() {
    let mut daemon = Daemon::new("east", 1);
    let load = &mut daemon.directory.get_mut(1).expect("listed").load;
    load.pace.record(at(100), 250);
    let mut restarted = entry(0, "east");
    restarted.started_unix_ms = Some(2);
    daemon.directory.apply(at(200), restarted);
    let actual = daemon.directory.find("i-0").expect("listed");
    assert_eq!(actual.load.pace.percent(at(200)), None);
}

/// A quarter of the traffic uses one part, whose home has been slow for seconds.
#[test_case(250, false; "lasting slowness")]
#[test_case(100, true; "as usual")]
fn home_that_stays_slow_is_left_above_its_room(percent: u16, stays: bool) {
    let mut daemon = Daemon::new("east", 12);
    let parts = [(4, 6_000), (99, 100)].map(|(id, tokens)| PromptPart { id, tokens });
    let home = daemon.choose(at(0), 1, &parts);
    for target in 1..=12 {
        let running = if target == home { 10 } else { 6 };
        let load = &mut daemon.directory.get_mut(target).expect("listed").load;
        let report = ReportedLoad {
            running,
            waiting: 0,
            slots: 32,
        };
        load.record_report(at(6_000), &report);
        for ms in (0..6_000).step_by(100) {
            load.pace
                .record(at(ms), if target == home { percent } else { 100 });
        }
    }
    let actual = daemon.choose(at(6_000), 2, &parts);
    assert_eq!(actual == home, stays);
}
