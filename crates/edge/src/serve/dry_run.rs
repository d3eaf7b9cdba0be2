//! Explains where a request would go now, and why, without sending it. The steps are those of
//! requests that are served; nothing is counted, queued or taken.

use std::rc::Rc;

use actix_http::header::HeaderMap;
use actix_http::{Method, Uri};
use bytes::Bytes;
use compact_str::CompactString;
use lapismoor_core::Moment;
use lapismoor_core::admission::Refusal;
use lapismoor_core::ids::{DaemonId, FailureDomain, ServiceId, TargetId, TargetKey, WorkspaceId};
use lapismoor_core::membership::Directory;
use lapismoor_core::routing::{
    AffinityPreference, Choice, PartPlacement, Preview, PromptPart, TargetPreview,
};
use serde::{Deserialize, Serialize};

use super::admitted_request::AdmittedRequest;
use super::job::{ASKS_NO_PERMIT, first_query, overload_reason, permit_priority, permit_request};
use super::run::refusal_without_target;
use super::{RouteKey, authorize, find_workspace, priority};
use crate::admission::{PermitPreview, PermitRequest};
use crate::context::Edge;
use crate::dialect::Envelope;
use crate::millis::millis;

/// Targets listed in a report: the first ones by id of those that may get the request, then of the
/// others.
const MAX_TARGETS: usize = 64;
/// Homes listed in a report.
const MAX_HOMES: usize = 8;
/// Exclusion of a home that has too much load.
const ABOVE_BOUND: &str = "above_bound";

/// The request to be explained.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DryRunQuery {
    /// Host that the caller names.
    #[serde(default)]
    pub host: CompactString,
    /// Path of the request.
    pub path: CompactString,
    /// Service instead of the one that the route selects.
    #[serde(default)]
    pub service: Option<ServiceId>,
    /// Key of the caller.
    #[serde(default)]
    pub key: Option<CompactString>,
    /// Workspace of the caller, instead of a key.
    #[serde(default)]
    pub workspace: Option<WorkspaceId>,
    /// Id of the request, which breaks ties.
    #[serde(default)]
    pub request: CompactString,
    /// Ids and lengths in tokens of the parts of its prompt.
    #[serde(default)]
    pub parts: Vec<(u64, u32)>,
}

/// Where a request would go now.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DryRun {
    /// The daemon that was asked.
    pub daemon: DaemonId,
    /// Route of the request, if one matches.
    pub route: Option<CompactString>,
    /// Workspace of the caller, if the route needs a key.
    pub workspace: Option<WorkspaceId>,
    /// Service that would get the request.
    pub service: Option<ServiceId>,
    /// Why the request would be refused; `None` if it would be sent, or queued and then sent.
    pub refusal: Option<RefusalReport>,
    /// What admission would decide.
    pub admission: Option<AdmissionReport>,
    /// The target that would get the request, whatever admission decides.
    pub choice: Option<ChoiceReport>,
    /// Homes of its shared prompt part.
    pub placement: Option<PlacementReport>,
    /// Targets of the service, those first that may get the request.
    pub targets: Vec<TargetReport>,
    /// Targets that are left out.
    pub targets_left_out: usize,
}

/// Refusal of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalReport {
    /// Name, as in logs and metrics.
    pub name: CompactString,
    /// HTTP status code.
    pub status: u16,
    /// Delay before a retry, in milliseconds; `None` if a retry cannot succeed.
    pub retry_after_ms: Option<u64>,
}

/// What admission would decide.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AdmissionReport {
    /// `admit`, `queued`, `refused`, or `turned_away` in favour of more urgent requests.
    pub decision: CompactString,
    /// Rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// Requests of the service in flight at this daemon.
    pub in_flight: usize,
    /// Maximum number of them for the rank of the request.
    pub limit: usize,
    /// Queued requests that would be sent before it.
    pub queued_ahead: usize,
    /// Expected wait in the queue, in milliseconds; `None` if as much arrives as ends.
    pub expected_wait_ms: Option<u64>,
    /// `None` if the configuration sets the number of requests per target.
    pub by_cost: Option<CostReport>,
}

/// By what a service is admitted to whose targets show their room by their answers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CostReport {
    /// Fraction of the requests of this rank that are sent.
    pub sent_fraction: f64,
    /// Time until the answer is late, in milliseconds.
    pub due_in_ms: u64,
    /// Time until the timeout of the route, in milliseconds.
    pub deadline_in_ms: u64,
    /// Time that the answer is expected to take, in milliseconds.
    pub answer_time_ms: u64,
    /// Work of the request, in percent of the average of its route.
    pub work_percent: u32,
}

/// The chosen target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChoiceReport {
    /// Id of the target.
    pub target: TargetId,
    /// `Home`, `FurtherHome`, `Spilled` or `LeastLoaded`.
    pub reason: CompactString,
    /// Target from which it may fetch the shared part.
    pub fetch_from: Option<TargetId>,
    /// Estimated requests in flight there.
    pub load: f64,
    /// Load bound of the service's targets.
    pub bound: f64,
    /// Whether the target names a limit or is cold, so that a permit is asked for before the request is sent.
    pub needs_permit: bool,
    /// Target that would have been chosen if it had room within its limit.
    pub limited: Option<TargetId>,
}

/// Homes of a shared prompt part.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlacementReport {
    /// Identifier of the part.
    pub part: u64,
    /// Number of homes that the part has now.
    pub homes: usize,
    /// Load at which a home no longer gets the request.
    pub bound: f64,
    /// The first targets in the order in which they are homes.
    pub order: Vec<HomeReport>,
    /// Targets that are last in the order because they are cold.
    pub cold: Vec<TargetId>,
}

/// A target as a home of a part.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HomeReport {
    /// Id of the target.
    pub target: TargetId,
    /// Whether the part has it as a home now.
    pub is_home: bool,
    /// Estimated requests in flight there.
    pub load: f64,
    /// Why it does not get the request; as in [`TargetReport`], `above_bound`.
    pub exclusion: Option<CompactString>,
}

/// A target of the service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Id of the target.
    pub id: TargetId,
    /// Failure domain of the target.
    pub domain: FailureDomain,
    /// Estimated requests in flight; `None` if it cannot get the request at all.
    pub load: Option<f64>,
    /// Why it does not get the request; `failing` if it gets it only when no other target can.
    pub exclusion: Option<CompactString>,
    /// Time until it may, in milliseconds, if it is known.
    pub left_ms: Option<u64>,
}

impl DryRun {
    /// Explains where a request would go now.
    #[must_use]
    pub fn of(edge: &Rc<Edge>, query: DryRunQuery) -> Self {
        let mut report = Self {
            daemon: edge.settings.daemon.clone(),
            ..Self::default()
        };
        report.fill(edge, query);
        log::info!(
            route = report.route.as_deref(),
            service = report.service.as_deref(),
            target = report.choice.as_ref().map(|choice| choice.target.as_str()),
            refusal = report.refusal.as_ref().map(|refusal| refusal.name.as_str());
            "where_asked"
        );
        report
    }

    fn fill(&mut self, edge: &Rc<Edge>, query: DryRunQuery) {
        let now = edge.now();
        let request = match admit(edge, query, now) {
            Ok(request) => request,
            Err(refusal) => return self.refuse(&refusal),
        };
        self.route = Some(request.route.name.clone());
        self.workspace.clone_from(&request.workspace);
        self.service = Some(request.service.clone());
        let permit_request = permit_request(edge, &request);
        let admission = edge.preview_permit(&permit_request);
        self.admission = Some(admission_report(now, &admission, &permit_request));
        let permit_priority = permit_priority(&request);
        let no_target = {
            let state = edge.state.borrow();
            let mut query = first_query(&request, &permit_priority);
            let mut overloads = state.overloads.clone();
            let is_overload = !overloads.admit(now, &request.service, &permit_priority);
            let preview = state.chooser.preview(now, &state.directory, &query);
            self.add_targets(&preview);
            self.placement = preview
                .placement
                .as_ref()
                .map(|placement| placement_report(placement, &preview.targets));
            let choice = preview.choice.as_ref().ok();
            self.choice = choice.map(|choice| choice_report(now, choice, &state.directory));
            query.permits_denied = ASKS_NO_PERMIT;
            let without_permit = || {
                let chooser = &state.chooser;
                let preview = chooser.preview(now, &state.directory, &query);
                overload_reason(preview.choice, |target| edge.names_limit(target))
            };
            let overload = is_overload.then(without_permit).flatten();
            overload.or(preview.choice.err())
        };
        if let Some(refusal) = admission.refusal() {
            self.refuse(&refusal);
        } else if let Some(reason) = no_target {
            let service = &request.service;
            self.refuse(&refusal_without_target(&reason, |left| {
                edge.preview_limit_retry_after(service, left)
            }));
        }
    }

    fn refuse(&mut self, refusal: &Refusal) {
        self.refusal = Some(RefusalReport {
            name: refusal.name().into(),
            status: refusal.status(),
            retry_after_ms: refusal.retry_after().map(millis),
        });
    }

    fn add_targets(&mut self, preview: &Preview<'_>) {
        let mut targets: Vec<&TargetPreview<'_>> = preview.targets.iter().collect();
        targets.sort_by_key(|target| target.exclusion.is_some());
        self.targets_left_out = targets.len().saturating_sub(MAX_TARGETS);
        let listed = targets.iter().take(MAX_TARGETS);
        self.targets = listed
            .map(|preview| TargetReport {
                id: preview.target.entry.id.clone(),
                domain: preview.target.entry.domain.clone(),
                load: preview.load,
                exclusion: preview.exclusion.map(|exclusion| exclusion.name().into()),
                left_ms: preview
                    .exclusion
                    .and_then(|exclusion| exclusion.left())
                    .map(millis),
            })
            .collect();
    }
}

/// Finds route, workspace and service as for a request that is served.
fn admit(
    edge: &Rc<Edge>,
    query: DryRunQuery,
    received: Moment,
) -> Result<AdmittedRequest, Refusal> {
    let parts = query.parts.into_iter();
    let envelope = Envelope {
        id: query.request,
        key: query.key,
        parts: parts
            .map(|(id, tokens)| PromptPart { id, tokens })
            .collect(),
        ..Envelope::default()
    };
    let workspace = query.workspace;
    let route_key = RouteKey::new(&query.host, &query.path);
    let authorized = authorize(edge, route_key, |config| match workspace {
        None => find_workspace(edge, config, &envelope),
        Some(name) => {
            let workspace = config.workspace_named(&name).cloned();
            workspace.ok_or(Refusal::UnknownKey)
        }
    })?;
    let service = query.service;
    let service = service.unwrap_or_else(|| super::service(&authorized.route, &envelope));
    let priority = priority(&authorized);
    let (workspace, workspace_homes) = match authorized.workspace {
        Some(workspace) => (Some(workspace.name), workspace.home_regions),
        None => (None, Vec::new()),
    };
    Ok(AdmittedRequest {
        config_version: authorized.config.version(),
        host: route_key.host(),
        service,
        priority,
        workspace,
        workspace_homes,
        route: authorized.route,
        preference: AffinityPreference::default(),
        method: Method::GET,
        uri: Uri::default(),
        headers: HeaderMap::default(),
        envelope,
        body: Bytes::new(),
        received,
        arrived: received,
    })
}

fn admission_report(
    now: Moment,
    admission: &PermitPreview,
    request: &PermitRequest<'_>,
) -> AdmissionReport {
    let need = &request.need;
    let gate = &admission.gate;
    let by_cost = admission.by_cost.as_ref();
    let by_cost = by_cost.map(|by_cost| CostReport {
        sent_fraction: by_cost.sent_fraction,
        due_in_ms: millis(need.due_at.saturating_sub(now)),
        deadline_in_ms: millis(need.deadline.saturating_sub(now)),
        answer_time_ms: millis(need.answer_time),
        work_percent: need.work_percent,
    });
    AdmissionReport {
        decision: admission.decision().into(),
        rank: need.priority.rank,
        by_cost,
        in_flight: gate.in_flight,
        limit: gate.limit,
        queued_ahead: gate.ahead,
        expected_wait_ms: gate.expected_wait.map(millis),
    }
}

fn choice_report(now: Moment, choice: &Choice, directory: &Directory) -> ChoiceReport {
    let id = |key: TargetKey| directory.get(key).map(|target| target.entry.id.clone());
    let target = directory.get(choice.target);
    ChoiceReport {
        target: id(choice.target).unwrap_or_default(),
        reason: compact_str::format_compact!("{:?}", choice.reason),
        fetch_from: choice.fetch_from.and_then(id),
        load: choice.load,
        bound: choice.bound,
        needs_permit: target.is_some_and(|target| target.needs_permit(now)),
        limited: choice.limited.and_then(id),
    }
}

fn placement_report(placement: &PartPlacement, targets: &[TargetPreview<'_>]) -> PlacementReport {
    let find = |key: &TargetKey| targets.iter().find(|one| one.target.key == *key);
    let listed = placement.order.iter().filter_map(find).take(MAX_HOMES);
    let cold = placement.cold.iter().filter_map(find).take(MAX_HOMES);
    let to_report = |(rank, preview): (usize, &TargetPreview<'_>)| {
        let load = preview.load.unwrap_or_default();
        let above = (load >= placement.bound).then_some(ABOVE_BOUND);
        let exclusion = preview.exclusion.map(|exclusion| exclusion.name());
        HomeReport {
            target: preview.target.entry.id.clone(),
            is_home: rank < placement.homes,
            load,
            exclusion: exclusion.or(above).map(CompactString::from),
        }
    };
    PlacementReport {
        part: placement.part,
        homes: placement.homes,
        bound: placement.bound,
        order: listed.enumerate().map(to_report).collect(),
        cold: cold
            .map(|preview| preview.target.entry.id.clone())
            .collect(),
    }
}
