//! Targets that take few requests from all daemons together while they are cold.

use std::net::SocketAddr;
use std::time::Duration;

use lapismoor_core::Moment;
use lapismoor_core::admission::target_limits::{
    PermitDesk, PermitRequest, PermitResult, TargetLimit, asks_per_permit, permit_sources,
};
use lapismoor_core::admission::{LimitNotice, Priority, RequestRate};
use lapismoor_core::ids::TargetKey;
use lapismoor_core::membership::{
    Coldness, DaemonRecord, Directory, KnownTarget, TargetEntry, TargetState, Warmth,
    is_small_fleet,
};
use lapismoor_core::routing::fleet_sample::{
    COLLECTOR_INTERVAL, merge_cold_targets, merge_limits, take_observations,
};
use lapismoor_core::routing::{
    AffinityPreference, Chooser, ColdLimit, Homes, LoadBound, PromptPart, TargetQuery,
};
use lapismoor_core::stream::VersionBinding;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const STEP: Duration = Duration::from_millis(5);
const START: Duration = Duration::from_secs(3);
const COLD_PER_S: f64 = 10.0;
/// Window in which the users count the requests that a cold target gets.
const WINDOW: Duration = Duration::from_secs(1);
/// Requests that a cold target may get in [`WINDOW`], by the users' rule.
const ALLOWED: usize = 20;
const LENGTH: Duration = Duration::from_secs(12);
/// When the target of the fleet tests is cold from.
const COLD_FROM: Moment = Duration::from_secs(4);

fn daemon(number: usize) -> DaemonRecord {
    let address: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    DaemonRecord {
        id: format!("edge-{number}").into(),
        domain: "east".into(),
        incarnation: 1,
        address,
        caller_address: None,
        operator_address: None,
        link_mbps: 1_000,
    }
}

fn rate(per_s: f64) -> RequestRate {
    RequestRate::from_per_s(per_s).expect("a rate")
}

fn priority(rank: u8) -> Priority {
    Priority {
        rank,
        workspace: "w".into(),
        weight: 1,
    }
}

fn entry(number: usize, domain: &str, cold: Duration) -> TargetEntry {
    let address = format!("127.0.0.1:{}", 9_000 + number);
    TargetEntry {
        id: format!("i-{number}").into(),
        service: "pool".into(),
        address: address.parse().expect("an address"),
        domain: domain.into(),
        version: "v1".into(),
        slots: 64,
        state: TargetState::Ready,
        started_unix_ms: Some(1),
        warmup_remaining: cold,
    }
}

fn directory() -> Directory {
    let mut directory = Directory::default();
    let limit = ColdLimit {
        start: START,
        rate: rate(COLD_PER_S),
    };
    directory.set_cold_limits(vec![("pool".into(), limit)]);
    directory
}

/// How the target becomes cold, and what daemons know of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Onset {
    /// It starts; daemons list it at different times.
    Starts,
    /// It says so in its answers, and nobody else knows.
    Answers,
    /// Its domain was dark, and its entry says so at different times.
    Returns,
}

/// How the fleet fares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    /// Daemons stop and start again: they have handed out nothing, and are not announced for a while.
    Restarts,
    /// Daemons list each other with delays.
    Lists,
    /// Daemons cannot reach each other for seconds.
    Cuts,
}

struct Daemon {
    id: String,
    directory: Directory,
    desk: PermitDesk,
    daemons: Vec<DaemonRecord>,
    /// Until when it is cut off from the others.
    away_until: Moment,
    /// From when it is announced again; zero if it is.
    announced_at: Moment,
    /// When it learns what the target's entry says.
    listed_at: Moment,
    is_listed: bool,
}

struct Fleet {
    daemons: Vec<Daemon>,
    rng: ChaCha8Rng,
    all: Vec<DaemonRecord>,
    arrivals: Vec<Moment>,
    exchanged_at: Moment,
}

impl Fleet {
    fn new(count: usize, onset: Onset, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut all: Vec<DaemonRecord> = (0..count).map(daemon).collect();
        all.sort_by(|left, right| left.id.cmp(&right.id));
        let mut daemons = Vec::new();
        for number in 0..count {
            let mut directory = directory();
            if onset != Onset::Starts {
                directory.apply(Moment::ZERO, entry(0, "east", Duration::ZERO));
            }
            let delay = Duration::from_millis(rng.random_range(20..1_500));
            daemons.push(Daemon {
                id: daemon(number).id.to_string(),
                directory,
                desk: PermitDesk::default(),
                daemons: all.clone(),
                away_until: Moment::ZERO,
                announced_at: Moment::ZERO,
                listed_at: COLD_FROM + delay,
                is_listed: false,
            });
        }
        Self {
            daemons,
            rng,
            all,
            arrivals: Vec::new(),
            exchanged_at: Moment::ZERO,
        }
    }

    fn number(id: &str) -> usize {
        let number = id.strip_prefix("edge-").and_then(|text| text.parse().ok());
        number.expect("a daemon of the simulation")
    }

    fn is_reached(&self, now: Moment, from: usize, to: usize) -> bool {
        let is_away = |number: usize| now < self.daemons[number].away_until;
        from == to || !is_away(from) && !is_away(to)
    }

    /// Sends a request from one daemon, if it has the target and a permit where it needs one.
    fn request(&mut self, now: Moment, asking: usize) -> bool {
        let one = &self.daemons[asking];
        let Some(target) = one.directory.find("i-0") else {
            return false;
        };
        if !target.needs_permit(now) {
            return true;
        }
        let limit = TargetLimit::told_cold(target.hash, target.cold_left(now), Duration::ZERO);
        let request = PermitRequest {
            limit,
            priority: priority(1),
        };
        let sources: Vec<usize> = permit_sources(limit.target, &one.daemons, &one.id)
            .iter()
            .map(|source| Self::number(&source.id))
            .collect();
        let mut asks_left = asks_per_permit(&one.daemons);
        for source in sources {
            if asks_left == 0 || !self.is_reached(now, asking, source) {
                continue;
            }
            let other = &mut self.daemons[source];
            let known = other.directory.find_by_hash(limit.target);
            let answer = other
                .desk
                .decide(now, &other.id, &other.daemons, known, &request);
            match answer.result {
                PermitResult::Granted | PermitResult::Unlimited => return true,
                PermitResult::Denied { .. } => asks_left -= 1,
                PermitResult::NotAllocator => {}
            }
        }
        false
    }

    fn answered(&mut self, now: Moment, daemon: usize, cold_left: Duration) {
        let one = &mut self.daemons[daemon];
        let Some(key) = one.directory.find("i-0").map(|target| target.key) else {
            return;
        };
        let known = one.directory.get_mut(key).expect("known");
        known.warmth.record_contact(now, START);
        if !known.warmth.record(now, now, cold_left) {
            return;
        }
        let hash = known.hash;
        let told = TargetLimit::told_cold(hash, cold_left, Duration::ZERO);
        let listed = &self.daemons[daemon].daemons;
        let others: Vec<usize> = if is_small_fleet(listed) {
            (0..self.daemons.len()).collect()
        } else {
            let own = &self.daemons[daemon].id;
            let sources = permit_sources(hash, listed, own);
            sources.iter().map(|one| Self::number(&one.id)).collect()
        };
        for other in others {
            if self.is_reached(now, daemon, other) {
                merge_cold_targets(now, &[told], &mut self.daemons[other].directory);
            }
        }
    }

    /// Lets all daemons tell each other what has changed, as the collectors do.
    fn exchange(&mut self, now: Moment) {
        if now < self.exchanged_at + COLLECTOR_INTERVAL {
            return;
        }
        let mut chooser = Chooser::new("east".into(), BOUND);
        let mut told = Vec::new();
        for one in self.daemons.iter().filter(|one| now >= one.away_until) {
            let since = self.exchanged_at;
            told.extend(take_observations(now, since, &one.directory, &mut chooser).limits);
        }
        for one in &mut self.daemons {
            if now >= one.away_until {
                merge_cold_targets(now, &told, &mut one.directory);
                let changes = merge_limits(now, &told, &mut one.directory);
                assert!(changes.is_empty(), "a cold target has no named limit");
            }
        }
        self.exchanged_at = now;
    }

    fn disturb(&mut self, now: Moment, trouble: Trouble) {
        let count = self.daemons.len();
        let number = self.rng.random_range(0..count);
        let other = daemon(self.rng.random_range(0..count));
        let one = &mut self.daemons[number];
        match trouble {
            Trouble::None => {}
            Trouble::Restarts => {
                one.desk = PermitDesk::default();
                one.daemons.retain(|known| known.id.as_str() != one.id);
                one.away_until = now + Duration::from_millis(500);
                one.announced_at = now + Duration::from_millis(1_500);
            }
            Trouble::Cuts => one.away_until = now + Duration::from_secs(3),
            Trouble::Lists => {
                let list = &mut one.daemons;
                match list.binary_search_by(|known| known.id.cmp(&other.id)) {
                    Ok(position) if list.len() * 4 > count * 3 && list.len() > 2 => {
                        list.remove(position);
                    }
                    Ok(_) => {}
                    Err(position) => list.insert(position, other),
                }
            }
        }
        one.desk.update(now, &one.id, &one.daemons);
    }

    /// Plays requests for the target that reach any daemon, `per_s` of them.
    fn play(&mut self, onset: Onset, trouble: Trouble, per_s: f64) {
        let mut answers: Vec<(Moment, usize)> = Vec::new();
        let cold_until = COLD_FROM + START;
        let mut now = Moment::ZERO;
        while now < LENGTH {
            if self.rng.random_bool(0.02) {
                self.disturb(now, trouble);
            }
            for one in &mut self.daemons {
                if one.announced_at != Moment::ZERO && now >= one.announced_at {
                    one.announced_at = Moment::ZERO;
                    one.daemons.clone_from(&self.all);
                }
                let is_due = onset != Onset::Answers && now >= one.listed_at;
                if is_due && !one.is_listed {
                    one.is_listed = true;
                    one.directory.apply(now, entry(0, "east", START));
                }
            }
            self.exchange(now);
            let is_down = onset == Onset::Returns && (2..4).contains(&now.as_secs());
            if self.rng.random_bool(per_s * STEP.as_secs_f64()) {
                let asking = self.rng.random_range(0..self.daemons.len());
                if is_down {
                    if let Some(target) = self.daemons[asking].directory.find("i-0") {
                        let key = target.key;
                        let target = self.daemons[asking].directory.get_mut(key).expect("known");
                        target.warmth.record_unreachable();
                    }
                } else if self.request(now, asking) {
                    self.arrivals.push(now);
                    answers.push((now + Duration::from_millis(20), asking));
                }
            }
            let left = cold_until.saturating_sub(now);
            let is_cold = now >= COLD_FROM && onset == Onset::Answers;
            for (at, asking) in std::mem::take(&mut answers) {
                if at > now {
                    answers.push((at, asking));
                } else {
                    let left = if is_cold { left } else { Duration::ZERO };
                    self.answered(now, asking, left);
                }
            }
            now += STEP;
        }
    }

    /// Requests in the worst window while the target was cold, from `from` on.
    fn worst_window(&self, from: Moment) -> usize {
        let cold = self.arrivals.iter();
        let cold: Vec<Moment> = cold
            .copied()
            .filter(|at| (from..COLD_FROM + START).contains(at))
            .collect();
        let windows = cold.iter().enumerate().map(|(last, end)| {
            let is_within = |at: &&Moment| **at + WINDOW > *end;
            cold[..=last].iter().rev().take_while(is_within).count()
        });
        windows.max().unwrap_or_default()
    }
}

/// Load pattern: a popular target starts in a fleet, or its domain returns: sixty requests a second
/// are meant for it, six times what it takes, while daemons learn at different times that it is there.
#[test_case(Trouble::None)]
#[test_case(Trouble::Restarts)]
#[test_case(Trouble::Lists)]
#[test_case(Trouble::Cuts)]
fn all_daemons_together_keep_the_limit_of_a_target_that_starts(trouble: Trouble) {
    for daemons in [6, 82, 195] {
        for seed in 0..8 {
            let mut fleet = Fleet::new(daemons, Onset::Starts, seed);
            fleet.play(Onset::Starts, trouble, 60.0);
            let actual = fleet.worst_window(COLD_FROM);
            assert!(
                actual <= ALLOWED,
                "{daemons} daemons, seed {seed}: {actual} in a second"
            );
        }
    }
}

/// Load pattern: a target turns cold without a start, and says so in its answers only. Daemons that
/// have not heard of it send at the usual rate, which is below the bound.
#[test_case(Trouble::None)]
#[test_case(Trouble::Restarts)]
#[test_case(Trouble::Lists)]
#[test_case(Trouble::Cuts)]
fn all_daemons_together_keep_the_limit_of_a_target_that_turns_cold(trouble: Trouble) {
    for daemons in [6, 82, 195] {
        for seed in 0..8 {
            let mut fleet = Fleet::new(daemons, Onset::Answers, seed);
            fleet.play(Onset::Answers, trouble, 6.0);
            let actual = fleet.worst_window(COLD_FROM);
            assert!(
                actual <= ALLOWED,
                "{daemons} daemons, seed {seed}: {actual} in a second"
            );
        }
    }
}

/// Load pattern: the same while sixty requests a second are meant for it: once the news has gone
/// through the fleet, with two exchanges and an answer.
#[test]
fn news_of_a_cold_target_reach_all_daemons() {
    let news = 3 * COLLECTOR_INTERVAL;
    for daemons in [6, 82, 195] {
        for seed in 0..8 {
            let mut fleet = Fleet::new(daemons, Onset::Answers, seed);
            fleet.play(Onset::Answers, Trouble::None, 60.0);
            let actual = fleet.worst_window(COLD_FROM + news);
            assert!(
                actual <= ALLOWED,
                "{daemons} daemons, seed {seed}: {actual} in a second"
            );
        }
    }
}

/// Load pattern: a domain is dark for two seconds and returns cold; daemons that tried to reach it
/// meanwhile know, and others learn it with its entries.
#[test_case(Trouble::None)]
#[test_case(Trouble::Cuts)]
fn target_of_a_domain_that_returns_gets_few_requests(trouble: Trouble) {
    for daemons in [6, 82, 195] {
        for seed in 0..8 {
            let mut fleet = Fleet::new(daemons, Onset::Returns, seed);
            fleet.play(Onset::Returns, trouble, 12.0);
            let actual = fleet.worst_window(COLD_FROM);
            assert!(
                actual <= ALLOWED,
                "{daemons} daemons, seed {seed}: {actual} in a second"
            );
        }
    }
}

/// Guards against a daemon that takes a whole limit for itself while it knows of no other one, or is
/// not announced.
#[test]
fn daemon_that_does_not_list_itself_hands_out_nothing() {
    let mut directory = directory();
    directory.apply(Moment::ZERO, entry(0, "east", START));
    let target = directory.find("i-0").expect("known");
    let request = PermitRequest {
        limit: TargetLimit::told_cold(target.hash, START, Duration::ZERO),
        priority: priority(0),
    };
    let decide = |daemons: &[DaemonRecord], ms: u64| {
        let mut desk = PermitDesk::default();
        let at = Duration::from_millis(ms);
        desk.decide(Moment::ZERO, "edge-0", daemons, Some(target), &request);
        desk.decide(at, "edge-0", daemons, Some(target), &request)
            .result
    };
    assert_eq!(decide(&[], 900), PermitResult::NotAllocator);
    assert_eq!(decide(&[daemon(1)], 900), PermitResult::NotAllocator);
    assert_eq!(decide(&[daemon(0)], 900), PermitResult::Granted);
}

/// Guards against a target that takes more than its own limit because it is also cold, or the other
/// way round.
#[test_case(1.0; "the named limit is lower")]
#[test_case(100.0; "the cold limit is lower")]
fn target_that_names_a_limit_while_it_is_cold_keeps_both(named_per_s: f64) {
    let mut directory = directory();
    directory.apply(Moment::ZERO, entry(0, "east", START));
    let key = directory.find("i-0").expect("known").key;
    let notice = LimitNotice {
        rate: Some(rate(named_per_s)),
        sent_at: Moment::ZERO,
        received_at: Moment::ZERO,
    };
    let known = directory.get_mut(key).expect("known");
    known.limit.record(Moment::ZERO, notice);
    let target = directory.get(key).expect("known");
    let mut desk = PermitDesk::default();
    let mut granted = 0.0;
    let mut now = Moment::ZERO;
    while now < START {
        let limit = TargetLimit::of(now, target).expect("a limit");
        assert!(!limit.cold_left.is_zero() && limit.rate.is_some());
        let request = PermitRequest {
            limit,
            priority: priority(0),
        };
        let answer = desk.decide(now, "edge-0", &[daemon(0)], Some(target), &request);
        granted += f64::from(u8::from(answer.result == PermitResult::Granted));
        now += STEP;
    }
    let least = named_per_s.min(COLD_PER_S);
    assert!(granted <= least * START.as_secs_f64() + 2.0, "{granted}");
    assert!(granted >= 0.5 * least * START.as_secs_f64(), "{granted}");
}

/// Load pattern: all warm targets are gone, and the cold ones get five times what they take.
#[test]
fn urgent_requests_get_the_permits_of_cold_targets_first() {
    let mut directory = directory();
    directory.apply(Moment::ZERO, entry(0, "east", Duration::from_mins(1)));
    let target = directory.find("i-0").expect("known");
    let mut desk = PermitDesk::default();
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let mut served = [0_u32; 3];
    let mut now = Moment::ZERO;
    while now < Duration::from_secs(30) {
        for rank in 0..3_u8 {
            if !rng.random_bool(16.0 * STEP.as_secs_f64()) {
                continue;
            }
            let request = PermitRequest {
                limit: TargetLimit::of(now, target).expect("cold"),
                priority: priority(rank),
            };
            let answer = desk.decide(now, "edge-0", &[daemon(0)], Some(target), &request);
            served[usize::from(rank)] += u32::from(answer.result == PermitResult::Granted);
        }
        now += STEP;
    }
    assert!(served[0] > 2 * served[1] && served[2] > 0, "{served:?}");
}

const BOUND: LoadBound = LoadBound {
    percent: 200,
    extra: 3,
};

fn home(chooser: &mut Chooser, now: Moment, directory: &Directory, part: u64) -> TargetKey {
    choose(chooser, now, directory, part).target
}

fn choose(
    chooser: &mut Chooser,
    now: Moment,
    directory: &Directory,
    part: u64,
) -> lapismoor_core::routing::Choice {
    let parts = [(part, 6_000), (9_999_999, 100)].map(|(id, tokens)| PromptPart { id, tokens });
    let query = TargetQuery {
        service: &"pool".into(),
        parts: &parts,
        version: VersionBinding::Free,
        request: part,
        tried: &[],
        may_repeat_target: false,
        preference: AffinityPreference::default(),
        priority: &Priority::default(),
        homes: Homes::default(),
        permits_denied: 0,
    };
    chooser
        .choose(now, directory, &query)
        .expect("a target in use")
}

const PARTS: u64 = 400;

fn homes(now: Moment, directory: &Directory) -> Vec<TargetKey> {
    let mut chooser = Chooser::new("east".into(), BOUND);
    (0..PARTS)
        .map(|part| home(&mut chooser, now, directory, part))
        .collect()
}

fn moved(before: &[TargetKey], after: &[TargetKey]) -> usize {
    let pairs = before.iter().zip(after);
    pairs.filter(|(left, right)| left != right).count()
}

/// Load pattern: a release replaces 27 of 60 targets at once. Guards against homes that all move to
/// targets that take few requests, and against a step when those turn warm.
#[test]
fn homes_move_to_replaced_targets_bit_by_bit() {
    let mut directory = directory();
    for number in 0..60 {
        directory.apply(Moment::ZERO, entry(number, "east", Duration::ZERO));
    }
    let start = Duration::from_secs(10);
    for number in 0..27 {
        directory.remove(start, &format!("i-{number}"));
        directory.apply(start, entry(100 + number, "east", START));
    }
    let is_new = |key: &TargetKey| {
        let known: Option<&KnownTarget> = directory.get(*key);
        known.is_some_and(|known| known.cold_rate(start).is_some())
    };
    let mut before = homes(start, &directory);
    let at_new = before.iter().filter(|key| is_new(key)).count();
    let all = usize::try_from(PARTS).expect("small") * 27 / 60;
    assert!(at_new * 2 < all, "{at_new} of {all} parts at cold targets");
    assert!(at_new > 0, "cold targets are used");
    let mut now = start;
    let mut moves = Vec::new();
    while now < start + 3 * START {
        now += Duration::from_millis(250);
        let after = homes(now, &directory);
        moves.push(moved(&before, &after));
        before = after;
    }
    let total: usize = moves.iter().sum();
    let most = moves.iter().max().copied().unwrap_or_default();
    assert!(total > all / 2, "{total} parts have moved");
    assert!(most * 4 < all, "{most} of {all} parts move at once");
    let settled = homes(now + START, &directory);
    assert_eq!(moved(&before, &settled), 0);
}

/// Load pattern: one of many targets is cold. Guards against parts whose former home is asked to
/// fetch from the target that has not read them.
#[test]
fn parts_stay_at_their_former_home_and_are_fetched_from_it() {
    let mut directory = directory();
    for number in 0..9 {
        directory.apply(Moment::ZERO, entry(number, "east", Duration::ZERO));
    }
    let now = Duration::from_secs(10);
    let before = homes(now, &directory);
    directory.apply(now, entry(9, "east", START));
    let new = directory.find("i-9").expect("known").key;
    let mut chooser = Chooser::new("east".into(), BOUND);
    let mut taken = 0;
    let later = homes(now + 3 * START, &directory);
    let to_move = (0..PARTS).zip(before.iter().zip(&later));
    for (part, (former, _)) in to_move.filter(|(_, (_, later))| **later == new) {
        let choice = choose(&mut chooser, now, &directory, part);
        if choice.target == new {
            taken += 1;
            assert_eq!(choice.fetch_from, Some(*former));
        } else {
            assert_eq!(choice.target, *former);
            assert_ne!(choice.fetch_from, Some(new));
        }
    }
    assert!(taken > 0, "it takes some parts");
}

/// Guards against one cold target by which all others are held to a part of their slots.
#[test]
fn cold_target_does_not_hold_back_the_others() {
    let mut directory = directory();
    for number in 0..3 {
        directory.apply(Moment::ZERO, entry(number, "east", Duration::ZERO));
    }
    let now = Duration::from_secs(10);
    directory.apply(now, entry(9, "east", START));
    let keys: Vec<TargetKey> = directory.targets().iter().map(|one| one.key).collect();
    for key in keys {
        let known = directory.get_mut(key).expect("known");
        if known.cold_rate(now).is_some() {
            known
                .limit
                .close(now, &Priority::default(), Duration::from_secs(1));
        }
        let load = lapismoor_core::routing::ReportedLoad {
            running: 64,
            waiting: 0,
            slots: 64,
        };
        known.load.record_report(now, &load);
    }
    let cold = directory.find("i-9").expect("known").key;
    let mut chooser = Chooser::new("east".into(), BOUND);
    for part in 0..50 {
        assert_ne!(home(&mut chooser, now, &directory, part), cold);
    }
}

/// Guards against a target without a limit of cold ones that is treated as if it had one.
#[test]
fn service_without_a_cold_limit_is_not_limited() {
    let mut directory = Directory::default();
    directory.apply(Moment::ZERO, entry(0, "east", START));
    directory.domain_may_be_cold(Moment::ZERO, "east");
    let target = directory.find("i-0").expect("known");
    assert!(!target.needs_permit(Moment::ZERO));
    assert_eq!(TargetLimit::of(Moment::ZERO, target), None);
}

/// Guards against a domain whose targets count as warm right after it was left alone.
#[test]
fn targets_of_a_domain_may_be_cold_when_its_evacuation_ends() {
    let mut directory = directory();
    directory.apply(Moment::ZERO, entry(0, "east", Duration::ZERO));
    directory.apply(Moment::ZERO, entry(1, "west", Duration::ZERO));
    let now = Duration::from_secs(20);
    directory.domain_may_be_cold(now, "east");
    let is_cold = |id: &str, at| {
        let target = directory.find(id).expect("known");
        target.cold_rate(at).is_some()
    };
    assert!(is_cold("i-0", now) && !is_cold("i-1", now));
    assert!(!is_cold("i-0", now + START));
}

#[test]
fn target_that_was_unreachable_is_cold_from_its_first_contact_on() {
    let mut warmth = Warmth::default();
    let at = Duration::from_secs;
    warmth.record_contact(at(1), START);
    assert_eq!(warmth.coldness(at(1)), None);
    warmth.record_unreachable();
    assert_eq!(warmth.coldness(at(20)), Some(Coldness::Presumed));
    assert_eq!(warmth.left(at(20), START), START);
    warmth.record_contact(at(20), START);
    warmth.record_contact(at(22), START);
    assert_eq!(warmth.left(at(22), START), Duration::from_secs(1));
    assert_eq!(warmth.coldness(at(23)), None);
}

/// Guards against words that overtake each other.
#[test]
fn only_an_answer_sent_after_the_last_word_ends_coldness() {
    let mut warmth = Warmth::default();
    let at = Duration::from_millis;
    assert!(warmth.record(at(1_000), at(1_000), START));
    warmth.record_warm(at(1_100), at(900));
    assert_eq!(warmth.coldness(at(1_100)), Some(Coldness::Told));
    warmth.record_warm(at(1_200), at(1_050));
    assert_eq!(warmth.coldness(at(1_200)), None);
    assert!(!warmth.record(at(1_300), at(1_000), START), "older news");
    assert!(warmth.record(at(1_400), at(1_300), START), "newer news");
}

/// Guards against daemons that extend a target's coldness by telling each other of it.
#[test]
fn relayed_word_does_not_extend_coldness() {
    let mut warmth = Warmth::default();
    let at = Duration::from_millis;
    warmth.record(at(1_000), at(1_000), START);
    let left = warmth.left(at(1_500), START);
    let delayed = at(1_550);
    assert!(!warmth.record(delayed, at(1_050), left));
    assert_eq!(warmth.left(at(4_000), START), Duration::ZERO);
}
