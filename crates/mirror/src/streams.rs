//! Origins of streams in messages.

use std::time::Duration;

use lapismoor_core::stream::StreamOrigin;

use crate::mirror_capnp::stream_origin;

type OriginList = stream_origin::Owned;

pub(crate) fn read_streams(
    streams: capnp::struct_list::Reader<'_, OriginList>,
) -> Vec<StreamOrigin> {
    let to_origin = |message: stream_origin::Reader<'_>| StreamOrigin {
        stream: message.get_stream(),
        version: message.get_version(),
        lifetime: Duration::from_millis(message.get_lifetime_ms().into()),
    };
    streams.iter().map(to_origin).collect()
}

pub(crate) fn write_streams(
    streams: &[StreamOrigin],
    mut list: capnp::struct_list::Builder<'_, OriginList>,
) {
    for (position, origin) in (0..list.len()).zip(streams) {
        let mut message = list.reborrow().get(position);
        message.set_stream(origin.stream);
        message.set_version(origin.version);
        let lifetime_ms = u32::try_from(origin.lifetime.as_millis());
        message.set_lifetime_ms(lifetime_ms.unwrap_or(u32::MAX));
    }
}
