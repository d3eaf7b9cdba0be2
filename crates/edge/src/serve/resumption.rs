//! Streams that callers take up again: they go on only at the software version that began them.

use std::time::Duration;

use lapismoor_core::admission::Refusal;
use lapismoor_core::membership::PossibleVersions;
use lapismoor_core::stream::ResumedStream;

use super::job::Job;
use super::report;
use crate::streams::FoundStream;

/// Time after which daemons that don't know a stream are asked once more: the one that began it may
/// just be telling them.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(40);

/// Binds a stream that the caller takes up to the version that began it.
///
/// # Errors
/// [`Refusal`] if no target may get it.
pub(super) async fn bind_to_origin(job: &Job) -> Result<(), Refusal> {
    let envelope = &job.request.envelope;
    let is_taken_up = envelope.resumes.is_some() || envelope.last_event.is_some();
    if !is_taken_up || !job.request.route.is_resumable() {
        return Ok(());
    }
    let found = find(job).await;
    let resumed = ResumedStream {
        origin: found.origin.as_ref().map(|(version, _)| *version),
        possible: job.edge.possible_versions(&job.request.service),
        has_events: envelope.last_event.is_some(),
        asked: found.asked,
        answered: found.answered,
        others_know_several: found.others_know_several,
        is_list_current: job.edge.has_current_list(),
    };
    report::stream_taken_up(job, &found, resumed.version());
    let binding = resumed.bind(|version| job.edge.serves_version(&job.request.service, version));
    job.version.set(binding?);
    Ok(())
}

/// Finds where the stream began that the caller names.
async fn find(job: &Job) -> FoundStream {
    let resumes = job.request.envelope.resumes.as_deref();
    let Some(resumes) = resumes.filter(|resumes| !resumes.is_empty()) else {
        return FoundStream::default();
    };
    let stream = job.stream_key(resumes);
    let found = job.edge.find_stream(stream, &job.request.service).await;
    let possible = job.edge.possible_versions(&job.request.service);
    let are_several = possible == PossibleVersions::Several || found.others_know_several;
    if found.origin.is_some() || !are_several {
        return found;
    }
    tokio::time::sleep(ASK_AGAIN_AFTER).await;
    job.edge.find_stream(stream, &job.request.service).await
}
