//! A simulated fleet in front of targets that have less room than is asked for. Each daemon decides
//! alone; callers reach any daemon and return once after a refusal.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use lapismoor_core::Moment;
use lapismoor_core::admission::gate::{Admission, Gate, GateLimits, Ticket, max_wait};
use lapismoor_core::admission::{
    AnswerTimes, AnswerTiming, CostGate, Priority, RequestNeed, Shedding, TargetRooms, gate_limits,
    room_limits,
};
use lapismoor_core::ids::TargetKey;
use lapismoor_core::membership::{Directory, TargetEntry, TargetState, TrafficShare};
use lapismoor_core::routing::Service;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time between a daemon and a target, one way.
const HOP: Duration = Duration::from_millis(2);
/// Sends of one request, including those that targets reject.
const MAX_SENDS: u32 = 3;
/// Part of the time left for which a caller waits at most before it returns: one third.
const MAX_RETURN_PART: u32 = 3;
/// Time after which an impatient caller repeats.
const IMPATIENT_RETURN: Duration = Duration::from_millis(20);

/// How a daemon admits requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Fixed limits; by urgency and workspace, within half of the latency objective.
    ByUrgency,
    /// Limits by the room of the targets; by what waiting costs callers.
    ByCost,
}

/// Requests of one kind and workspace.
#[derive(Debug, Clone)]
pub struct Stream {
    pub name: &'static str,
    pub rank: u8,
    pub per_s: f64,
    pub work: Duration,
    pub objective: Duration,
    pub deadline: Duration,
    /// Times its usual rate, from and until a moment.
    pub surge: Option<(f64, Moment, Moment)>,
    /// Callers that repeat at once and often, in percent.
    pub impatient_percent: u32,
}

/// A fleet and what is asked of it.
#[derive(Debug, Clone)]
pub struct Load {
    pub daemons: usize,
    pub targets: usize,
    pub slots: usize,
    /// Requests that a target queues before it rejects.
    pub target_queue: usize,
    pub streams: Vec<Stream>,
    pub length: Duration,
    /// Number of targets that are gone, from and until a moment.
    pub gone: Option<(usize, Moment, Moment)>,
    pub seed: u64,
}

/// What became of the requests of one stream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    pub asked: u32,
    pub on_time: u32,
    pub late: u32,
    pub unserved: u32,
    /// Refusals, including those after which the caller was served.
    pub refusals: u32,
}

impl Tally {
    pub fn on_time_percent(&self) -> u32 {
        self.on_time * 100 / self.asked.max(1)
    }

    pub fn served_percent(&self) -> u32 {
        (self.on_time + self.late) * 100 / self.asked.max(1)
    }
}

#[derive(Debug, Clone)]
struct Request {
    stream: usize,
    asked_at: Moment,
    received: Moment,
    work: Duration,
    is_impatient: bool,
    returns: u32,
    sends: u32,
    daemon: usize,
    admitted_at: Moment,
    sent_at: Moment,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Ended(usize, u64, u64),
    Received(u64),
    AtTarget(u64, usize),
    GivenUp(u64),
    Gone(usize),
    Back(usize),
}

#[derive(Default)]
struct Target {
    /// Attempts that run, each by its request.
    running: Vec<(u64, u64)>,
    queued: VecDeque<u64>,
    is_gone: bool,
}

struct Daemon {
    directory: Directory,
    share: TrafficShare,
    gate: Gate,
    cost_gate: CostGate,
    rooms: TargetRooms,
    answer_times: AnswerTimes,
    shedding: Shedding,
    waiting: BTreeMap<Ticket, u64>,
}

struct Simulation<'a> {
    load: &'a Load,
    policy: Policy,
    service: Service,
    rng: ChaCha8Rng,
    events: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    number: u64,
    requests: BTreeMap<u64, Request>,
    daemons: Vec<Daemon>,
    keys: Vec<TargetKey>,
    targets: Vec<Target>,
    tallies: Vec<Tally>,
}

/// Plays a load and returns what became of each stream.
pub fn play(load: &Load, policy: Policy) -> Vec<Tally> {
    let mut simulation = Simulation::new(load, policy);
    simulation.schedule_load();
    while let Some(Reverse((now, _, event))) = simulation.events.pop() {
        simulation.handle(now, event);
    }
    simulation.tallies
}

fn directory(load: &Load) -> Directory {
    let mut directory = Directory::default();
    for number in 0..load.targets {
        let address = format!("127.0.0.1:{}", 9_000 + number);
        let entry = TargetEntry {
            id: format!("i-{number}").into(),
            service: "plain".into(),
            address: address.parse().expect("an address"),
            domain: "east".into(),
            version: "v1".into(),
            slots: u32::try_from(load.slots).expect("few slots"),
            state: TargetState::Ready,
            started_unix_ms: None,
            warmup_remaining: Duration::ZERO,
        };
        directory.apply(Moment::ZERO, entry);
    }
    directory
}

impl<'a> Simulation<'a> {
    fn new(load: &'a Load, policy: Policy) -> Self {
        let directory = directory(load);
        let keys = directory.targets().iter().map(|known| known.key).collect();
        let new_daemon = |_| {
            let mut share = TrafficShare::default();
            share.expect_even(load.daemons);
            Daemon {
                directory: directory.clone(),
                share,
                gate: Gate::default(),
                cost_gate: CostGate::default(),
                rooms: TargetRooms::default(),
                answer_times: AnswerTimes::default(),
                shedding: Shedding::default(),
                waiting: BTreeMap::new(),
            }
        };
        Self {
            policy,
            service: Service {
                name: "plain".into(),
                max_connections: 500,
                has_engines: false,
                requests_per_target: None,
                queue_limit: None,
                cold: None,
                load_bound: None,
            },
            rng: ChaCha8Rng::seed_from_u64(load.seed),
            events: BinaryHeap::new(),
            number: 0,
            requests: BTreeMap::new(),
            daemons: (0..load.daemons).map(new_daemon).collect(),
            keys,
            targets: (0..load.targets).map(|_| Target::default()).collect(),
            tallies: vec![Tally::default(); load.streams.len()],
            load,
        }
    }

    fn schedule(&mut self, at: Moment, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at, self.number, event)));
    }

    fn schedule_load(&mut self) {
        for (position, stream) in self.load.streams.iter().enumerate() {
            let mut at = Duration::ZERO;
            loop {
                let factor = stream.surge.map_or(1.0, |(factor, from, until)| {
                    if (from..until).contains(&at) {
                        factor
                    } else {
                        1.0
                    }
                });
                let gap_s = -(1.0 - self.rng.random::<f64>()).ln() / (stream.per_s * factor);
                at += Duration::from_secs_f64(gap_s);
                if at >= self.load.length {
                    break;
                }
                let work = stream.work.mul_f64(0.5 + self.rng.random::<f64>());
                let is_impatient = self.rng.random_range(0..100) < stream.impatient_percent;
                self.number += 1;
                let id = self.number;
                let request = Request {
                    stream: position,
                    asked_at: at,
                    received: at,
                    work,
                    is_impatient,
                    returns: 0,
                    sends: 0,
                    daemon: 0,
                    admitted_at: at,
                    sent_at: at,
                };
                self.requests.insert(id, request);
                self.tallies[position].asked += 1;
                self.schedule(at, Event::Received(id));
            }
        }
        if let Some((count, from, until)) = self.load.gone {
            for target in 0..count {
                self.schedule(from, Event::Gone(target));
                self.schedule(until, Event::Back(target));
            }
        }
    }

    fn handle(&mut self, now: Moment, event: Event) {
        match event {
            Event::Received(id) => self.receive(now, id),
            Event::AtTarget(id, target) => self.arrive(now, id, target),
            Event::Ended(target, attempt, id) => self.end(now, target, attempt, id),
            Event::GivenUp(id) => self.give_up(now, id),
            Event::Gone(target) => {
                self.targets[target].is_gone = true;
                let running = std::mem::take(&mut self.targets[target].running);
                let lost = running.into_iter().map(|(_, id)| id);
                let queued = std::mem::take(&mut self.targets[target].queued);
                for id in lost.chain(queued) {
                    self.finish_attempt(id, target);
                    self.unserved(now, id);
                }
            }
            Event::Back(target) => self.targets[target].is_gone = false,
        }
    }

    fn limits(&self, now: Moment, daemon: usize) -> GateLimits {
        let daemon = &self.daemons[daemon];
        let is_there = |key: &TargetKey| {
            let target = self.keys.iter().position(|known| known == key);
            target.is_some_and(|target| !self.targets[target].is_gone)
        };
        let targets = daemon.directory.targets().iter();
        let targets = targets.filter(|known| is_there(&known.key));
        match self.policy {
            Policy::ByUrgency => gate_limits(&self.service, targets, &daemon.share),
            Policy::ByCost => {
                room_limits(now, &self.service, targets, &daemon.share, &daemon.rooms)
            }
        }
    }

    fn need(&self, id: u64) -> RequestNeed {
        let request = &self.requests[&id];
        let stream = &self.load.streams[request.stream];
        let answer_times = &self.daemons[request.daemon].answer_times;
        let expected = answer_times.expected(stream.name, 1);
        RequestNeed::new(
            priority(stream),
            request.received,
            stream.objective,
            request.asked_at + stream.deadline,
            expected.as_ref(),
        )
    }

    fn receive(&mut self, now: Moment, id: u64) {
        let daemon = self.rng.random_range(0..self.load.daemons);
        let request = self.requests.get_mut(&id).expect("known");
        request.daemon = daemon;
        request.received = now;
        request.sends = 0;
        let stream = &self.load.streams[request.stream];
        let draw = self.rng.random::<f64>();
        let shedding = &mut self.daemons[daemon].shedding;
        if self.policy == Policy::ByCost
            && !shedding.admit(now, &self.service.name, stream.rank, draw)
        {
            self.refuse(now, id, Duration::from_secs(1));
            return;
        }
        let limits = self.limits(now, daemon);
        let (decision, patience) = match self.policy {
            Policy::ByUrgency => {
                let patience = max_wait(stream.objective, now, now);
                let gate = &mut self.daemons[daemon].gate;
                (
                    gate.admit(now, &limits, &priority(stream), patience),
                    patience,
                )
            }
            Policy::ByCost => {
                let need = self.need(id);
                let gate = &mut self.daemons[daemon].cost_gate;
                let patience = need.latest_start().saturating_sub(now);
                (gate.admit(now, &limits, &need), patience)
            }
        };
        match decision {
            Admission::Admit => self.start(now, id),
            Admission::Wait { ticket, .. } => {
                self.daemons[daemon].waiting.insert(ticket, id);
                self.schedule(now + patience, Event::GivenUp(id));
            }
            Admission::Refuse { retry_after } | Admission::QueueFull { retry_after } => {
                self.refuse(now, id, retry_after);
            }
        }
        self.refuse_dropped(now, daemon);
    }

    fn refuse_dropped(&mut self, now: Moment, daemon: usize) {
        for ticket in self.daemons[daemon].cost_gate.take_dropped() {
            if let Some(id) = self.daemons[daemon].waiting.remove(&ticket) {
                self.refuse(now, id, Duration::from_secs(1));
            }
        }
    }

    fn give_up(&mut self, now: Moment, id: u64) {
        let Some(daemon) = self.requests.get(&id).map(|request| request.daemon) else {
            return;
        };
        let daemon = &mut self.daemons[daemon];
        let found = daemon.waiting.iter().find(|(_, waiting)| **waiting == id);
        let Some(ticket) = found.map(|(ticket, _)| *ticket) else {
            return;
        };
        daemon.waiting.remove(&ticket);
        daemon.gate.cancel(ticket);
        daemon.cost_gate.cancel(ticket);
        self.refuse(now, id, Duration::from_secs(1));
    }

    fn start(&mut self, now: Moment, id: u64) {
        self.requests.get_mut(&id).expect("known").admitted_at = now;
        self.send(now, id, &[]);
    }

    /// Sends a request to the target with the fewest requests of its daemon.
    fn send(&mut self, now: Moment, id: u64, tried: &[usize]) {
        let request = self.requests.get_mut(&id).expect("known");
        request.sends += 1;
        request.sent_at = now;
        let daemon = &mut self.daemons[request.daemon];
        let skip = self.rng.random_range(0..self.load.targets);
        let order = (0..self.load.targets).map(|position| (position + skip) % self.load.targets);
        let usable =
            order.filter(|target| !self.targets[*target].is_gone && !tried.contains(target));
        let own = |target: &usize| {
            let known = daemon.directory.get(self.keys[*target]);
            known.map_or(0, |known| known.load.own_requests())
        };
        let Some(target) = usable.min_by_key(own) else {
            self.release(now, id);
            self.refuse(now, id, Duration::from_millis(250));
            return;
        };
        if let Some(known) = daemon.directory.get_mut(self.keys[target]) {
            known.load.record_sent();
        }
        self.schedule(now + HOP, Event::AtTarget(id, target));
    }

    fn arrive(&mut self, now: Moment, id: u64, target: usize) {
        if self.targets[target].is_gone {
            self.finish_attempt(id, target);
            self.unserved(now, id);
            return;
        }
        let load = self.load;
        let at = &mut self.targets[target];
        if at.running.len() < load.slots {
            self.run(now, id, target);
        } else if at.queued.len() < load.target_queue {
            at.queued.push_back(id);
        } else {
            self.rejected(now + HOP, id, target);
        }
    }

    fn run(&mut self, now: Moment, id: u64, target: usize) {
        self.number += 1;
        let attempt = self.number;
        self.targets[target].running.push((attempt, id));
        let work = self.requests[&id].work;
        self.schedule(now + work, Event::Ended(target, attempt, id));
    }

    fn rejected(&mut self, now: Moment, id: u64, target: usize) {
        self.showed_room(now, id, target, AnswerTiming::Rejected);
        self.finish_attempt(id, target);
        if self.requests[&id].sends < MAX_SENDS {
            self.send(now, id, &[target]);
        } else {
            self.release(now, id);
            self.refuse(now, id, Duration::from_millis(250));
        }
    }

    fn end(&mut self, now: Moment, target: usize, attempt: u64, id: u64) {
        let at = &mut self.targets[target];
        let before = at.running.len();
        at.running.retain(|(running, _)| *running != attempt);
        if at.running.len() == before {
            return;
        }
        while let Some(next) = self.targets[target].queued.pop_front() {
            let request = &self.requests[&next];
            let deadline = request.asked_at + self.load.streams[request.stream].deadline;
            if deadline > now {
                self.run(now, next, target);
                break;
            }
            self.finish_attempt(next, target);
            self.unserved(now, next);
        }
        let answered_at = now + HOP;
        let request = &self.requests[&id];
        let stream = &self.load.streams[request.stream];
        let took = answered_at.saturating_sub(request.sent_at);
        let (name, objective) = (stream.name, stream.objective);
        let times = &mut self.daemons[request.daemon].answer_times;
        times.record(name, took, 1);
        let timing = AnswerTiming::of_answer(took, objective);
        let total = answered_at.saturating_sub(request.asked_at);
        let (position, deadline) = (request.stream, stream.deadline);
        self.showed_room(answered_at, id, target, timing);
        self.finish_attempt(id, target);
        self.release(answered_at, id);
        let tally = &mut self.tallies[position];
        if total <= objective {
            tally.on_time += 1;
        } else if total <= deadline {
            tally.late += 1;
        } else {
            tally.unserved += 1;
        }
        self.requests.remove(&id);
    }

    fn showed_room(&mut self, now: Moment, id: u64, target: usize, timing: AnswerTiming) {
        let daemon = &mut self.daemons[self.requests[&id].daemon];
        let key = self.keys[target];
        let in_flight = daemon
            .directory
            .get(key)
            .map_or(1, |known| known.load.own_requests());
        daemon
            .shedding
            .record(now, &self.service.name, timing == AnswerTiming::OnTime);
        daemon.rooms.record(now, key, in_flight, timing);
    }

    fn finish_attempt(&mut self, id: u64, target: usize) {
        let daemon = &mut self.daemons[self.requests[&id].daemon];
        if let Some(known) = daemon.directory.get_mut(self.keys[target]) {
            known.load.record_ended();
        }
    }

    /// Ends the permit of a request and starts those that waited for it.
    fn release(&mut self, now: Moment, id: u64) {
        let request = &self.requests[&id];
        let number = request.daemon;
        let took = now.saturating_sub(request.admitted_at);
        let limits = self.limits(now, number);
        let daemon = &mut self.daemons[number];
        let tickets = match self.policy {
            Policy::ByUrgency => daemon.gate.release(now, &limits, took),
            Policy::ByCost => daemon.cost_gate.release(now, &limits, took),
        };
        for ticket in tickets {
            if let Some(waiting) = self.daemons[number].waiting.remove(&ticket) {
                self.start(now, waiting);
            }
        }
        self.refuse_dropped(now, number);
    }

    fn refuse(&mut self, now: Moment, id: u64, retry_after: Duration) {
        let request = self.requests.get_mut(&id).expect("known");
        let stream = &self.load.streams[request.stream];
        self.tallies[request.stream].refusals += 1;
        let left = (request.asked_at + stream.deadline).saturating_sub(now);
        let max_returns = if request.is_impatient { 4 } else { 1 };
        request.returns += 1;
        if request.returns > max_returns || left < HOP * 4 {
            self.tallies[request.stream].unserved += 1;
            self.requests.remove(&id);
            return;
        }
        let pause = if request.is_impatient {
            IMPATIENT_RETURN
        } else {
            retry_after.min(left / MAX_RETURN_PART)
        };
        self.schedule(now + pause, Event::Received(id));
    }

    /// Ends a request that no target serves.
    fn unserved(&mut self, now: Moment, id: u64) {
        self.release(now, id);
        let request = self.requests.remove(&id).expect("known");
        self.tallies[request.stream].unserved += 1;
    }
}

fn priority(stream: &Stream) -> Priority {
    Priority {
        rank: stream.rank,
        workspace: stream.name.into(),
        weight: 1,
    }
}
