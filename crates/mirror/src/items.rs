//! Items of the store in messages.

use bytes::Bytes;
use lapismoor_core::membership::StoreItem;

use crate::mirror_capnp::item;

pub(crate) fn read_items(
    list: capnp::struct_list::Reader<'_, item::Owned>,
) -> capnp::Result<Vec<StoreItem>> {
    let read = |item: item::Reader<'_>| {
        let key = item.get_key()?.to_str()?;
        let value = item.get_value()?;
        let is_removed = item.get_is_removed();
        Ok(StoreItem {
            key: key.into(),
            value: (!is_removed).then(|| Bytes::copy_from_slice(value)),
        })
    };
    list.iter().map(read).collect()
}

/// Writes `items` to a list of the same length.
pub(crate) fn write_items(
    items: &[StoreItem],
    mut list: capnp::struct_list::Builder<'_, item::Owned>,
) {
    for (position, item) in (0..list.len()).zip(items) {
        let mut entry = list.reborrow().get(position);
        entry.set_key(item.key.as_str());
        match &item.value {
            Some(value) => entry.set_value(value),
            None => entry.set_is_removed(true),
        }
    }
}
