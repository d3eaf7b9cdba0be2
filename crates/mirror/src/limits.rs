//! Limits of targets, and permits for requests to them, in messages.

use std::time::Duration;

use lapismoor_core::admission::Priority;
use lapismoor_core::admission::target_limits::{
    PermitAnswer, PermitRequest, PermitResult, RequestRate, TargetLimit,
};

use crate::mirror_capnp::{permit_answer, permit_request, target_limit};

type LimitList = target_limit::Owned;

pub(crate) fn read_limits(limits: capnp::struct_list::Reader<'_, LimitList>) -> Vec<TargetLimit> {
    limits.iter().map(read_limit).collect()
}

pub(crate) fn write_limits(
    limits: &[TargetLimit],
    mut list: capnp::struct_list::Builder<'_, LimitList>,
) {
    for (position, limit) in (0..list.len()).zip(limits) {
        write_limit(limit, list.reborrow().get(position));
    }
}

fn read_limit(message: target_limit::Reader<'_>) -> TargetLimit {
    let rate = RequestRate::from_per_million_s(message.get_per_million_s());
    TargetLimit {
        target: message.get_target(),
        rate: message.get_is_limited().then_some(rate),
        age: Duration::from_millis(message.get_age_ms().into()),
        round_trip: Duration::from_millis(message.get_round_trip_ms().into()),
        cold_left: Duration::from_millis(message.get_cold_left_ms().into()),
    }
}

fn write_limit(limit: &TargetLimit, mut message: target_limit::Builder<'_>) {
    message.set_target(limit.target);
    message.set_is_limited(limit.rate.is_some());
    message.set_per_million_s(limit.rate.map_or(0, RequestRate::per_million_s));
    message.set_age_ms(millis(limit.age));
    message.set_round_trip_ms(millis(limit.round_trip));
    message.set_cold_left_ms(millis(limit.cold_left));
}

pub(crate) fn read_request(message: permit_request::Reader<'_>) -> capnp::Result<PermitRequest> {
    Ok(PermitRequest {
        limit: read_limit(message.get_limit()?),
        priority: Priority {
            rank: message.get_rank(),
            workspace: message.get_workspace()?.to_str()?.into(),
            weight: message.get_weight(),
        },
    })
}

pub(crate) fn write_request(request: &PermitRequest, mut message: permit_request::Builder<'_>) {
    write_limit(&request.limit, message.reborrow().init_limit());
    message.set_rank(request.priority.rank);
    message.set_workspace(request.priority.workspace.as_str());
    message.set_weight(request.priority.weight);
}

pub(crate) fn read_answer(message: permit_answer::Reader<'_>) -> capnp::Result<PermitAnswer> {
    let wait = Duration::from_millis(message.get_wait_ms().into());
    let result = match message.get_result()? {
        permit_answer::Result::Granted => PermitResult::Granted,
        permit_answer::Result::Denied => PermitResult::Denied { wait },
        permit_answer::Result::Unlimited => PermitResult::Unlimited,
        permit_answer::Result::NotAllocator => PermitResult::NotAllocator,
    };
    Ok(PermitAnswer {
        result,
        limit: read_limit(message.get_limit()?),
    })
}

pub(crate) fn write_answer(answer: &PermitAnswer, mut message: permit_answer::Builder<'_>) {
    let result = match answer.result {
        PermitResult::Granted => permit_answer::Result::Granted,
        PermitResult::Denied { wait } => {
            message.set_wait_ms(millis(wait));
            permit_answer::Result::Denied
        }
        PermitResult::Unlimited => permit_answer::Result::Unlimited,
        PermitResult::NotAllocator => permit_answer::Result::NotAllocator,
    };
    message.set_result(result);
    write_limit(&answer.limit, message.init_limit());
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
