//! The longest time until a change in the store is known at each daemon, by each way on which it may
//! learn, while connections are silent, daemons stand still, or paths to the store are cut.

use std::time::Duration;

use lapismoor_core::Moment;
use lapismoor_core::membership::{DaemonRecord, Source, Sources, is_small_fleet};
use test_case::test_case;

/// Times of the daemons' settings, and of the network.
const STORE_WAIT: Duration = Duration::from_millis(1_750);
const READER_WAIT: Duration = Duration::from_secs(1);
const STORE_TIMEOUT: Duration = Duration::from_millis(700);
const MIRROR_WAIT: Duration = Duration::from_millis(400);
const MIRROR_TIMEOUT: Duration = Duration::from_millis(300);
const MAX_MIRROR_AGE: Duration = Duration::from_millis(1_500);
const RETRY_DELAY: Duration = Duration::from_millis(100);
const ROUND_TRIP: Duration = Duration::from_millis(4);
/// Time after which a copy counts as lost where nothing is wrong else.
const MAX_HEALTHY_AGE: Duration = Duration::from_millis(2_450);
/// Time after a disturbance of its connections from which a daemon keeps its bounds.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// When connections are disturbed.
const FAULT_AT: Moment = Duration::from_secs(6);
/// When the run ends.
const END: Moment = Duration::from_secs(18);
const STEP: Duration = Duration::from_millis(2);
const DOMAINS: usize = 3;

/// What is wrong from [`FAULT_AT`] on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// Connections that were open carry nothing any more; new ones work.
    OldConnectionsSilent,
    /// The readers of the first failure domain stand still.
    ReadersFrozen,
    /// The readers of the first failure domain get no answer from the store.
    ReadersCutFromStore,
    /// All readers get no answer from the store.
    AllReadersCutFromStore,
    /// The daemons of the first failure domain can't be reached by others.
    DomainCutFromDaemons,
}

#[derive(Debug, Clone)]
struct Daemon {
    sources: Sources,
    call: Option<Call>,
    next_call_at: Moment,
    is_failing: bool,
    /// Since when connections to each kind of source were opened.
    store_connected_at: Moment,
    mirror: Option<(usize, Moment)>,
    confirmed_at: Moment,
    learned_at: Option<Moment>,
}

/// A call under way.
#[derive(Debug, Clone)]
struct Call {
    source: Source,
    /// Position of the daemon that is called; `None` for the store.
    peer: Option<usize>,
    began: Moment,
    wait: Duration,
    /// Whether it is lost: no answer arrives.
    is_lost: bool,
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    /// The source answered: whether it knows the change, and until when its copy is current.
    Answered {
        is_changed: bool,
        confirmed_at: Moment,
    },
    Failed,
}

struct Fleet {
    records: Vec<DaemonRecord>,
    daemons: Vec<Daemon>,
    /// Whether each daemon reads the store for others.
    are_readers: Vec<bool>,
    fault: Fault,
    change_at: Moment,
    now: Moment,
}

impl Fleet {
    fn new(size: usize, fault: Fault, change_at: Moment, phase: Duration) -> Self {
        let record = |number: usize| DaemonRecord {
            id: format!("edge-{number}").into(),
            domain: format!("domain-{}", number % DOMAINS).into(),
            incarnation: 1,
            address: ([10, 0, 0, 1], 7_340).into(),
            caller_address: None,
            operator_address: None,
            link_mbps: 1_000,
        };
        let records: Vec<DaemonRecord> = (0..size).map(record).collect();
        let daemons: Vec<Daemon> = records
            .iter()
            .enumerate()
            .map(|(number, one)| Daemon {
                sources: Sources::new(one.id.clone(), one.domain.clone()),
                call: None,
                next_call_at: phase * u32::try_from(number % 7).expect("small"),
                is_failing: false,
                store_connected_at: Moment::ZERO,
                mirror: None,
                confirmed_at: Moment::ZERO,
                learned_at: None,
            })
            .collect();
        let are_readers = daemons
            .iter()
            .map(|one| one.sources.reads_for_others(&records));
        Self {
            are_readers: are_readers.collect(),
            records,
            daemons,
            fault,
            change_at,
            now: Moment::ZERO,
        }
    }

    fn is_faulty(&self) -> bool {
        self.now >= FAULT_AT
    }

    fn is_first_domain(&self, daemon: usize) -> bool {
        self.records[daemon].domain == self.records[0].domain
    }

    fn is_reader_of_first_domain(&self, daemon: usize) -> bool {
        self.are_readers[daemon] && self.is_first_domain(daemon)
    }

    /// Whether the rules hold for a daemon: it runs, and has a path to the store.
    fn is_in_touch(&self, daemon: usize) -> bool {
        match self.fault {
            Fault::ReadersFrozen | Fault::ReadersCutFromStore => {
                !self.is_reader_of_first_domain(daemon)
            }
            Fault::AllReadersCutFromStore => !self.are_readers[daemon],
            _ => true,
        }
    }

    fn is_frozen(&self, daemon: usize) -> bool {
        let is_frozen = self.fault == Fault::ReadersFrozen;
        is_frozen && self.is_faulty() && self.is_reader_of_first_domain(daemon)
    }

    /// Whether nothing passes between a daemon and its source.
    fn is_cut(&self, daemon: usize, peer: Option<usize>, connected_at: Moment) -> bool {
        if !self.is_faulty() {
            return false;
        }
        match self.fault {
            Fault::None => false,
            Fault::OldConnectionsSilent => connected_at < FAULT_AT,
            Fault::ReadersFrozen => peer.is_some_and(|peer| self.is_frozen(peer)),
            Fault::ReadersCutFromStore => peer.is_none() && self.is_reader_of_first_domain(daemon),
            Fault::AllReadersCutFromStore => peer.is_none() && self.are_readers[daemon],
            Fault::DomainCutFromDaemons => peer.is_some_and(|peer| {
                self.is_first_domain(daemon) != self.is_first_domain(peer)
                    || self.is_first_domain(peer)
            }),
        }
    }

    fn peer(&self, source: &Source) -> Option<usize> {
        let Source::Daemon(record) = source else {
            return None;
        };
        self.records.iter().position(|one| one.id == record.id)
    }

    fn begin_call(&mut self, daemon: usize) {
        let now = self.now;
        let source = self.daemons[daemon].sources.choose(now, &self.records);
        let peer = self.peer(&source);
        let reads_for_others = self.are_readers[daemon];
        let one = &mut self.daemons[daemon];
        let is_new = match (peer, one.mirror) {
            (Some(peer), Some((connected, _))) => peer != connected,
            (Some(_), None) => true,
            (None, _) => false,
        };
        if let (Some(peer), true) = (peer, is_new) {
            one.mirror = Some((peer, now));
        }
        let wait = match source {
            _ if one.is_failing && peer.is_none() => Duration::ZERO,
            Source::Daemon(_) => MIRROR_WAIT,
            Source::Store if reads_for_others => READER_WAIT,
            Source::Store => STORE_WAIT,
        };
        one.call = Some(Call {
            source,
            peer,
            began: now,
            wait,
            is_lost: false,
        });
    }

    /// The end of a daemon's call, if it ends now.
    fn outcome(&self, daemon: usize) -> Option<Outcome> {
        let one = &self.daemons[daemon];
        let call = one.call.as_ref()?;
        let took = self.now.saturating_sub(call.began);
        let peer = call.peer;
        let timeout = if peer.is_some() {
            MIRROR_TIMEOUT
        } else {
            STORE_TIMEOUT
        };
        if call.is_lost {
            return (took >= call.wait + timeout).then_some(Outcome::Failed);
        }
        let Some(peer) = peer else {
            let is_changed = self.now >= self.change_at + ROUND_TRIP / 2;
            let has_news = is_changed && one.learned_at.is_none();
            return (has_news || took >= call.wait + ROUND_TRIP).then_some(Outcome::Answered {
                is_changed,
                confirmed_at: self.now.saturating_sub(ROUND_TRIP / 2),
            });
        };
        let source = &self.daemons[peer];
        let has_news = source.learned_at.is_some() && one.learned_at.is_none();
        let age = self.now.saturating_sub(source.confirmed_at);
        let is_over = has_news || age > MAX_HEALTHY_AGE || took >= call.wait + ROUND_TRIP;
        if !is_over || took < ROUND_TRIP {
            return None;
        }
        if age > MAX_MIRROR_AGE {
            return Some(Outcome::Failed);
        }
        Some(Outcome::Answered {
            is_changed: source.learned_at.is_some(),
            confirmed_at: source.confirmed_at,
        })
    }

    fn end_call(&mut self, daemon: usize, outcome: Outcome) {
        let now = self.now;
        let one = &mut self.daemons[daemon];
        let call = one.call.take().expect("a call ended");
        let Outcome::Answered {
            is_changed,
            confirmed_at,
        } = outcome
        else {
            one.is_failing = true;
            if call.source == Source::Store {
                one.store_connected_at = now;
            } else {
                one.mirror = None;
            }
            if call.is_lost {
                one.sources.record_silence(now, call.source.clone());
            } else {
                one.sources.record_failure(now, call.source.clone());
            }
            let next = one.sources.choose(now, &self.records);
            let is_same = next == call.source;
            one.next_call_at = now + if is_same { RETRY_DELAY } else { Duration::ZERO };
            return;
        };
        one.sources.record_answer(&call.source);
        one.is_failing = false;
        one.confirmed_at = one.confirmed_at.max(confirmed_at);
        if is_changed {
            one.learned_at.get_or_insert(now);
        }
        one.next_call_at = now;
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        for daemon in 0..self.daemons.len() {
            if self.is_frozen(daemon) {
                continue;
            }
            if self.daemons[daemon].call.is_none() && now >= self.daemons[daemon].next_call_at {
                self.begin_call(daemon);
            }
            let peer = self.daemons[daemon].call.as_ref().map(|call| call.peer);
            if let Some(peer) = peer {
                let connected_at = match peer {
                    Some(_) => self.daemons[daemon].mirror.map_or(now, |(_, at)| at),
                    None => self.daemons[daemon].store_connected_at,
                };
                let is_cut = self.is_cut(daemon, peer, connected_at);
                if let Some(call) = &mut self.daemons[daemon].call {
                    call.is_lost |= is_cut;
                }
            }
            let Some(outcome) = self.outcome(daemon) else {
                continue;
            };
            self.end_call(daemon, outcome);
        }
    }
}

/// Guards against daemons that learn of a change later than their callers may rely on, whichever
/// source they read, and whichever of the steps is silent, frozen or cut.
#[test_case(6, Duration::from_secs(2), Fault::None; "6 daemons, no fault")]
#[test_case(6, Duration::from_secs(2), Fault::OldConnectionsSilent; "6 daemons, silent connections")]
#[test_case(6, Duration::from_secs(2), Fault::DomainCutFromDaemons; "6 daemons, domain cut off")]
#[test_case(195, Duration::from_secs(3), Fault::None; "195 daemons, no fault")]
#[test_case(195, Duration::from_secs(3), Fault::OldConnectionsSilent; "195 daemons, silent connections")]
#[test_case(195, Duration::from_secs(3), Fault::ReadersFrozen; "195 daemons, readers frozen")]
#[test_case(195, Duration::from_secs(3), Fault::ReadersCutFromStore; "195 daemons, readers without the store")]
#[test_case(195, Duration::from_secs(3), Fault::AllReadersCutFromStore; "195 daemons, all readers without the store")]
#[test_case(195, Duration::from_secs(3), Fault::DomainCutFromDaemons; "195 daemons, domain cut off")]
#[test_case(400, Duration::from_secs(3), Fault::OldConnectionsSilent; "400 daemons, silent connections")]
#[test_case(400, Duration::from_secs(3), Fault::ReadersFrozen; "400 daemons, readers frozen")]
#[test_case(400, Duration::from_secs(3), Fault::AllReadersCutFromStore; "400 daemons, all readers without the store")]
fn change_is_known_in_time(size: usize, bound: Duration, fault: Fault) {
    let mut longest = Duration::ZERO;
    let after_fault = [0, 100, 700, 1_500, 2_300];
    for (round, after_ms) in after_fault.into_iter().enumerate() {
        let change_at = FAULT_AT + Duration::from_millis(after_ms);
        let phase = Duration::from_millis(37 * (round as u64 + 1));
        let mut fleet = Fleet::new(size, fault, change_at, phase);
        assert_eq!(is_small_fleet(&fleet.records), size < 13);
        let until = change_at + Duration::from_secs(5);
        while fleet.now < until.min(END) {
            fleet.step();
        }
        let disturbs_all = fault == Fault::OldConnectionsSilent;
        let due = if disturbs_all {
            (change_at + bound).max(FAULT_AT + CONTACT_TIME)
        } else {
            change_at + bound
        };
        for daemon in (0..size).filter(|daemon| fleet.is_in_touch(*daemon)) {
            let learned_at = fleet.daemons[daemon].learned_at.unwrap_or(END);
            longest = longest.max(learned_at.saturating_sub(change_at));
            assert!(
                learned_at <= due,
                "daemon {daemon}: {:?} after a change {after_ms} ms after the fault",
                learned_at.saturating_sub(change_at)
            );
        }
    }
    println!("{size} daemons, {fault:?}: {longest:?} at most");
}
