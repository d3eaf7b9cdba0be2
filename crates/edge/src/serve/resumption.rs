//! Streams that callers take up again: they go on only at the software version that began them.

use std::time::Duration;

use lapismoor_core::admission::Refusal;
use lapismoor_core::ids::VersionHash;
use lapismoor_core::membership::PossibleVersions;
use lapismoor_core::stream::VersionBinding;

use super::job::Job;
use super::report;
use crate::streams::FoundStream;

/// Time after which daemons that don't know a stream are asked once more: the one that began it may
/// just be telling them.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(40);
/// Delay before a retry of a caller whose stream a daemon may know that did not answer.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Binds a stream that the caller takes up to the version that began it.
///
/// # Errors
/// [`Refusal`] if that version is not known, or no target has it.
pub(super) async fn bind_to_origin(job: &Job) -> Result<(), Refusal> {
    let envelope = &job.request.envelope;
    let is_taken_up = envelope.resumes.is_some() || envelope.last_event.is_some();
    if !is_taken_up || !job.request.route.is_resumable() {
        return Ok(());
    }
    let found = find(job).await;
    let known = match &found.origin {
        Some((version, _)) => Some(*version),
        None => only_possible(job, &found)?,
    };
    report::stream_taken_up(job, &found, known);
    let Some(version) = known else {
        // Without an event there is nothing that another version would not fit.
        if envelope.last_event.is_none() {
            return Ok(());
        }
        let is_incomplete = found.answered < found.asked;
        return Err(Refusal::StreamOriginUnknown {
            retry_after: is_incomplete.then_some(RETRY_AFTER),
        });
    };
    job.version.set(VersionBinding::Only(version));
    if job.serves_version() {
        Ok(())
    } else {
        Err(Refusal::StreamVersionGone)
    }
}

/// Finds where the stream began that the caller names.
async fn find(job: &Job) -> FoundStream {
    let resumes = job.request.envelope.resumes.as_deref();
    let Some(resumes) = resumes.filter(|resumes| !resumes.is_empty()) else {
        return FoundStream::default();
    };
    let stream = job.stream_key(resumes);
    let found = job.edge.find_stream(stream).await;
    let possible = job.edge.possible_versions(&job.request.service);
    if found.origin.is_some() || possible != PossibleVersions::Several {
        return found;
    }
    tokio::time::sleep(ASK_AGAIN_AFTER).await;
    job.edge.find_stream(stream).await
}

/// The version at which a stream of unknown origin must have begun, if there is only one. Another
/// daemon may know of more if this one reaches neither the store nor others.
///
/// # Errors
/// [`Refusal::NoTarget`] if there is no target.
fn only_possible(job: &Job, found: &FoundStream) -> Result<Option<VersionHash>, Refusal> {
    match job.edge.possible_versions(&job.request.service) {
        PossibleVersions::None => Err(Refusal::NoTarget),
        PossibleVersions::One(version) => {
            let is_informed = found.answered > 0 || job.edge.has_current_list();
            Ok(is_informed.then_some(version))
        }
        PossibleVersions::Several => Ok(None),
    }
}
