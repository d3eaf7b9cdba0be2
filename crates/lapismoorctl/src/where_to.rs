//! The `where` command.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use lapismoor_edge::{CostReport, DryRun, DryRunQuery, PlacementReport, TargetReport};
use serde_json::json;

use crate::arguments::WhereQuery;
use crate::error::CommandError;

/// Timeout of a call to a daemon.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

pub(crate) async fn where_to(
    daemon: SocketAddr,
    query: &WhereQuery,
    json: bool,
) -> Result<String, CommandError> {
    let report = ask(daemon, &to_dry_run(query))
        .await
        .map_err(|reason| CommandError::NoDryRun { daemon, reason })?;
    if json {
        return Ok(format!("{}\n", json!(report)));
    }
    Ok(render(&report))
}

fn to_dry_run(query: &WhereQuery) -> DryRunQuery {
    DryRunQuery {
        host: query.host.clone(),
        path: query.path.clone(),
        service: query.service.clone(),
        key: query.key.clone(),
        workspace: query.workspace.clone(),
        request: query.request.clone(),
        parts: query.parts.0.clone(),
    }
}

async fn ask(daemon: SocketAddr, query: &DryRunQuery) -> Result<DryRun, String> {
    let client = awc::Client::builder().timeout(CALL_TIMEOUT).finish();
    let request = client.post(format!("http://{daemon}/where"));
    let mut response = request
        .send_json(query)
        .await
        .map_err(|error| error.to_string())?;
    if !response.status().is_success() {
        return Err(format!("status {}", response.status()));
    }
    response.json().await.map_err(|error| error.to_string())
}

fn render(report: &DryRun) -> String {
    let mut text = format!("{}: {}\n", report.daemon, render_end(report));
    push_line(&mut text, &render_route(report));
    if let Some(admission) = &report.admission {
        push_line(
            &mut text,
            &format!(
                "  admission: {}, {} of {} in flight, {} queued ahead, expected wait {}, rank {}",
                admission.decision,
                admission.in_flight,
                admission.limit,
                admission.queued_ahead,
                admission
                    .expected_wait_ms
                    .map_or("without end".into(), |millis| format!("{millis} ms")),
                admission.rank,
            ),
        );
        if let Some(by_cost) = &admission.by_cost {
            push_line(&mut text, &render_cost(by_cost));
        }
    }
    if let Some(choice) = &report.choice {
        push_line(
            &mut text,
            &format!(
                "  target: {}, {}, load {:.1}, load bound {:.1}",
                choice.target, choice.reason, choice.load, choice.bound,
            ),
        );
        if let Some(source) = &choice.fetch_from {
            push_line(
                &mut text,
                &format!("  may fetch its shared part from {source}"),
            );
        }
        if choice.needs_permit {
            push_line(&mut text, "  needs a permit, which may be denied");
        }
        if let Some(limited) = &choice.limited {
            push_line(
                &mut text,
                &format!("  {limited} has no room within its limit"),
            );
        }
    }
    if let Some(placement) = &report.placement {
        push_placement(&mut text, placement);
    }
    if !report.targets.is_empty() {
        push_line(&mut text, "  targets:");
    }
    for target in &report.targets {
        push_line(&mut text, &format!("    {}", render_target(target)));
    }
    if report.targets_left_out > 0 {
        push_line(
            &mut text,
            &format!("    and {} others", report.targets_left_out),
        );
    }
    text
}

fn render_end(report: &DryRun) -> String {
    if let Some(refusal) = &report.refusal {
        let retry = refusal.retry_after_ms.map_or("no retry".into(), |millis| {
            format!("retry after {millis} ms")
        });
        return format!(
            "refused, {}, status {}, {retry}",
            refusal.name, refusal.status
        );
    }
    let target = report.choice.as_ref().map(|choice| choice.target.as_str());
    format!("goes to {}", target.unwrap_or("no target"))
}

fn render_cost(by_cost: &CostReport) -> String {
    format!(
        "    {:.0} % of its rank are sent, due in {} ms, timeout in {} ms, answer expected after {} ms, \
         work {} %",
        by_cost.sent_fraction * 100.0,
        by_cost.due_in_ms,
        by_cost.deadline_in_ms,
        by_cost.answer_time_ms,
        by_cost.work_percent,
    )
}

fn render_route(report: &DryRun) -> String {
    format!(
        "  route {}, workspace {}, service {}",
        report.route.as_deref().unwrap_or("none"),
        report.workspace.as_deref().unwrap_or("none"),
        report.service.as_deref().unwrap_or("none"),
    )
}

fn push_placement(text: &mut String, placement: &PlacementReport) {
    push_line(
        text,
        &format!(
            "  homes of part {:x}: {}, up to load {:.1}",
            placement.part, placement.homes, placement.bound,
        ),
    );
    for home in &placement.order {
        let rank = if home.is_home { "home" } else { "next" };
        let exclusion = home.exclusion.as_deref().unwrap_or("may get it");
        push_line(
            text,
            &format!(
                "    {rank} {}: load {:.1}, {exclusion}",
                home.target, home.load
            ),
        );
    }
    if !placement.cold.is_empty() {
        let cold = placement.cold.join(", ");
        push_line(text, &format!("    cold, home of other parts: {cold}"));
    }
}

fn render_target(target: &TargetReport) -> String {
    let mut text = format!("{} in {}", target.id, target.domain);
    if let Some(load) = target.load {
        write!(text, ", load {load:.1}").expect("writing to a string does not fail");
    }
    let exclusion = target.exclusion.as_deref().unwrap_or("may get it");
    write!(text, ": {exclusion}").expect("writing to a string does not fail");
    if let Some(left) = target.left_ms {
        write!(text, ", {left} ms left").expect("writing to a string does not fail");
    }
    text
}

fn push_line(text: &mut String, line: &str) {
    writeln!(text, "{line}").expect("writing to a string does not fail");
}
