//! Macros for the sets of derives that types of this crate share.

/// Derives the traits of a plain value: debug output, cloning and equality.
macro_rules! value {
    ($($item:item)*) => { $(#[derive(Debug, Clone, PartialEq, Eq)] $item)* };
}

/// Derives the traits of a small value that is copied, serialized, and used as a map or sort key.
macro_rules! key {
    ($($item:item)*) => {
        $(#[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )] $item)*
    };
}

/// Derives the traits of a part of a JSON document; unknown fields are rejected.
macro_rules! document {
    ($($item:item)*) => {
        $(#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
        #[serde(deny_unknown_fields)]
        $item)*
    };
}
