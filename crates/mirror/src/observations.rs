//! Observations of targets and requests in messages.

use std::time::Duration;

use lapismoor_core::routing::{FleetSample, Observations, PartRequests, PartShare, TargetLoad};

use crate::limits::{read_limits, write_limits};
use crate::mirror_capnp::{fleet_sample, observations, part, service_parts, target_load};
use crate::streams::{read_streams, write_streams};

type Loads<'a> = capnp::struct_list::Reader<'a, target_load::Owned>;
type Parts<'a> = capnp::struct_list::Reader<'a, service_parts::Owned>;

pub(crate) fn read_observations(message: observations::Reader<'_>) -> capnp::Result<Observations> {
    let to_requests = |one: part::Reader<'_>| PartRequests {
        part: one.get_id(),
        requests: one.get_number(),
    };
    Ok(Observations {
        loads: read_loads(message.get_loads()?),
        requests: read_parts(message.get_requests()?, to_requests)?,
        limits: read_limits(message.get_limits()?),
        streams: read_streams(message.get_streams()?),
    })
}

pub(crate) fn write_observations(
    observations: &Observations,
    mut message: observations::Builder<'_>,
) {
    write_loads(
        &observations.loads,
        message.reborrow().init_loads(length(&observations.loads)),
    );
    write_parts(
        &observations.requests,
        message
            .reborrow()
            .init_requests(length(&observations.requests)),
        |one| (one.part, one.requests),
    );
    write_limits(
        &observations.limits,
        message.reborrow().init_limits(length(&observations.limits)),
    );
    write_streams(
        &observations.streams,
        message.init_streams(length(&observations.streams)),
    );
}

pub(crate) fn read_sample(message: fleet_sample::Reader<'_>) -> capnp::Result<FleetSample> {
    let to_share = |one: part::Reader<'_>| PartShare {
        part: one.get_id(),
        millionths: one.get_number(),
    };
    Ok(FleetSample {
        loads: read_loads(message.get_loads()?),
        popular: read_parts(message.get_popular()?, to_share)?,
        limits: read_limits(message.get_limits()?),
    })
}

pub(crate) fn write_sample(sample: &FleetSample, mut message: fleet_sample::Builder<'_>) {
    write_loads(
        &sample.loads,
        message.reborrow().init_loads(length(&sample.loads)),
    );
    write_parts(
        &sample.popular,
        message.reborrow().init_popular(length(&sample.popular)),
        |one| (one.part, one.millionths),
    );
    write_limits(&sample.limits, message.init_limits(length(&sample.limits)));
}

fn read_loads(loads: Loads<'_>) -> Vec<TargetLoad> {
    let read = |load: target_load::Reader<'_>| TargetLoad {
        target: load.get_target(),
        requests: load.get_requests().into(),
        age: Duration::from_millis(load.get_age_ms().into()),
    };
    loads.iter().map(read).collect()
}

fn write_loads(
    loads: &[TargetLoad],
    mut list: capnp::struct_list::Builder<'_, target_load::Owned>,
) {
    for (position, load) in (0..list.len()).zip(loads) {
        let mut entry = list.reborrow().get(position);
        entry.set_target(load.target);
        entry.set_requests(u16::try_from(load.requests).unwrap_or(u16::MAX));
        entry.set_age_ms(u16::try_from(load.age.as_millis()).unwrap_or(u16::MAX));
    }
}

fn read_parts<T>(
    services: Parts<'_>,
    read: impl Fn(part::Reader<'_>) -> T,
) -> capnp::Result<Vec<(u32, Vec<T>)>> {
    let read_service = |service: service_parts::Reader<'_>| {
        let parts = service.get_parts()?;
        Ok((service.get_service(), parts.iter().map(&read).collect()))
    };
    services.iter().map(read_service).collect()
}

fn write_parts<T>(
    services: &[(u32, Vec<T>)],
    mut list: capnp::struct_list::Builder<'_, service_parts::Owned>,
    to_numbers: impl Fn(&T) -> (u64, u32),
) {
    for (position, (service, parts)) in (0..list.len()).zip(services) {
        let mut entry = list.reborrow().get(position);
        entry.set_service(*service);
        let mut out = entry.init_parts(length(parts));
        for (position, part) in (0..out.len()).zip(parts) {
            let (id, number) = to_numbers(part);
            let mut entry = out.reborrow().get(position);
            entry.set_id(id);
            entry.set_number(number);
        }
    }
}

fn length<T>(list: &[T]) -> u32 {
    u32::try_from(list.len()).unwrap_or(u32::MAX)
}
