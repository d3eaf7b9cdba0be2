//! The actor that owns a daemon's decisions: events in, actions out.

mod actions;
mod attempts;
mod callers;
mod status;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, ActorContext, Addr, AsyncContext, Context, Handler, Message, StreamHandler};
use lapismoor_caller::{CallerAnswer, Demand, Submission};
use lapismoor_core::event::{CallerEvent, Event, Identity};
use lapismoor_core::ids::CallerId;
use lapismoor_core::request::Request;
use lapismoor_core::{Action, Clock, Daemon};
use lapismoor_engine::{Engines, Flow};
use lapismoor_peer::{Links, PeerEvent, Sink, Traffic};
use lapismoor_platform::{KeyValue, Vms};
use lapismoor_service::Services;
use opentelemetry::trace::SpanKind;
use tokio::sync::{mpsc, oneshot};
use tokio_stream::wrappers::UnboundedReceiverStream;

use crate::shared::Shared;
use lapismoor_edge::spans::{Hop, Spans};

use attempts::Attempts;
use callers::Callers;

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(50);
/// Time between two publications of the status.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);

/// An event from another thread or task.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct NodeEvent(pub(crate) Event);

/// A caller's demand.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) struct NodeSubmission(pub(crate) Submission);

/// What the actor works with.
pub(crate) struct NodeParts {
    pub(crate) daemon: Daemon,
    pub(crate) clock: Clock,
    pub(crate) links: Links,
    pub(crate) peer_events: mpsc::UnboundedReceiver<PeerEvent>,
    pub(crate) traffic: Rc<Traffic>,
    pub(crate) key_value: KeyValue,
    pub(crate) vms: Vms,
    pub(crate) engines: Engines,
    pub(crate) services: Services,
    pub(crate) shared: Arc<Shared>,
    pub(crate) report_timeout: Duration,
    pub(crate) exit: oneshot::Sender<()>,
    pub(crate) spans: Option<Spans>,
}

/// The actor.
pub(crate) struct Node {
    daemon: Daemon,
    clock: Clock,
    links: Links,
    peer_events: Option<mpsc::UnboundedReceiver<PeerEvent>>,
    traffic: Rc<Traffic>,
    key_value: KeyValue,
    vms: Vms,
    engines: Engines,
    services: Services,
    shared: Arc<Shared>,
    report_timeout: Duration,
    exit: Option<oneshot::Sender<()>>,
    callers: Callers,
    attempts: Attempts,
    published_revision: u64,
    spans: Option<Spans>,
}

impl Node {
    pub(crate) fn new(parts: NodeParts) -> Self {
        Self {
            daemon: parts.daemon,
            clock: parts.clock,
            links: parts.links,
            peer_events: Some(parts.peer_events),
            traffic: parts.traffic,
            key_value: parts.key_value,
            vms: parts.vms,
            engines: parts.engines,
            services: parts.services,
            shared: parts.shared,
            report_timeout: parts.report_timeout,
            exit: Some(parts.exit),
            callers: Callers::default(),
            attempts: Attempts::default(),
            published_revision: 0,
            spans: parts.spans,
        }
    }

    /// Takes an event and all that follows from it within this daemon.
    fn drive(&mut self, event: Event, context: &mut Context<Self>) {
        let address = context.address();
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            for action in self.daemon.handle(self.clock.now(), event) {
                self.carry_out(action, &address, &mut events);
            }
        }
        self.publish();
    }

    fn publish(&mut self) {
        self.shared.set_ready(self.daemon.is_ready());
        let Some(accepted) = self.daemon.config() else {
            return;
        };
        if accepted.revision != self.published_revision {
            self.published_revision = accepted.revision;
            log::info!(revision = accepted.revision; "configuration in force");
            self.shared.set_config(Some(Arc::clone(accepted)));
        }
    }

    /// Starts the span of a request's hop, and puts the request under it.
    fn start_hop(
        &self,
        name: &'static str,
        kind: SpanKind,
        request: Arc<Request>,
    ) -> (Arc<Request>, Option<Hop>) {
        let Some(spans) = &self.spans else {
            return (request, None);
        };
        let parent = request.traceparent.as_deref().unwrap_or_default();
        let hop = spans.start(name, kind, parent);
        let mut request = Request::clone(&request);
        request.traceparent = Some(hop.traceparent());
        (Arc::new(request), Some(hop))
    }

    /// A request that another daemon's caller sent under a ticket of this one.
    fn relayed(
        &mut self,
        event: CallerEvent,
        caller: CallerId,
        sink: Sink,
        done: oneshot::Sender<()>,
        context: &mut Context<Self>,
    ) {
        let (sender, mut answers) = mpsc::unbounded_channel();
        let flow = Arc::new(Flow::default());
        self.callers.add(caller, sender, Arc::clone(&flow));
        let address = context.address();
        actix::spawn(async move {
            let sent_whole = callers::send_to_sink(&mut answers, &flow, &sink).await;
            flow.release();
            if !sent_whole {
                address.do_send(NodeEvent(Event::Caller(CallerEvent::Gone { caller })));
            }
            drop(done);
        });
        self.drive(Event::Caller(event), context);
    }
}

impl Actor for Node {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        if let Some(events) = self.peer_events.take() {
            context.add_stream(UnboundedReceiverStream::new(events));
        }
        context.run_interval(TICK, |node, context| node.drive(Event::Tick, context));
        context.run_interval(STATUS_INTERVAL, |node, _| {
            node.attempts.drop_finished();
            node.publish_status();
        });
    }
}

impl Handler<NodeEvent> for Node {
    type Result = ();

    fn handle(&mut self, NodeEvent(event): NodeEvent, context: &mut Self::Context) {
        if let Event::Caller(CallerEvent::Gone { caller }) = &event {
            self.callers.remove(*caller);
        }
        self.drive(event, context);
    }
}

impl Handler<NodeSubmission> for Node {
    type Result = ();

    fn handle(&mut self, submission: NodeSubmission, context: &mut Self::Context) {
        let NodeSubmission(submission) = submission;
        let caller = submission.caller;
        self.callers
            .add(caller, submission.answers, submission.flow);
        let event = match submission.demand {
            Demand::Request { request, identity } => {
                let (request, hop) = self.start_hop("request", SpanKind::Server, request);
                self.callers.set_hop(caller, hop);
                CallerEvent::Submit {
                    caller,
                    request,
                    identity,
                }
            }
            Demand::Ticket { workspace } => CallerEvent::IssueTicket { caller, workspace },
        };
        self.drive(Event::Caller(event), context);
    }
}

impl StreamHandler<PeerEvent> for Node {
    fn handle(&mut self, event: PeerEvent, context: &mut Self::Context) {
        match event {
            PeerEvent::Message { from, message } => {
                self.drive(Event::Peer { from, message }, context);
            }
            PeerEvent::Lost { peer } => {
                log::warn!(peer = peer.as_str(); "connection to a daemon lost");
                self.drive(Event::PeerLost { peer }, context);
            }
            PeerEvent::Relayed {
                ticket,
                request,
                sink,
                done,
            } => {
                let caller = self.callers.next_relayed();
                let (request, hop) = self.start_hop("relayed request", SpanKind::Server, request);
                let event = CallerEvent::Submit {
                    caller,
                    request,
                    identity: Identity::Ticket(ticket),
                };
                self.relayed(event, caller, sink, done, context);
                self.callers.set_hop(caller, hop);
            }
        }
    }

    fn finished(&mut self, context: &mut Self::Context) {
        context.stop();
    }
}

/// Sends an event to the actor from a task of its thread.
fn tell(address: &Addr<Node>, event: Event) {
    address.do_send(NodeEvent(event));
}

/// Where a daemon listens, for actions that name it.
fn address_of(daemon: &Daemon, peer: &str) -> Option<SocketAddr> {
    daemon.peer_address(peer)
}

/// The end of a caller's answer.
fn is_end(answer: &CallerAnswer) -> bool {
    use lapismoor_core::answer::AnswerPart;
    !matches!(
        answer,
        CallerAnswer::Part(AnswerPart::Head { .. } | AnswerPart::Data(_))
    )
}

/// Says whether an action is worth a line in the log.
fn is_notable(action: &Action) -> bool {
    matches!(
        action,
        Action::Resume { .. } | Action::ResetPeer { .. } | Action::Exit
    )
}
