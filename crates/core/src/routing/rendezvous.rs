//! The order in which targets are homes of a shared part, the same at every daemon that knows the
//! same targets, without a message between them: rendezvous hashing.

use xxhash_rust::xxh3::xxh3_64;

/// Hash of a key, against which names are scored.
#[derive(Debug, Clone, Copy)]
struct KeyHash(u64);

impl KeyHash {
    fn new(key: u64) -> Self {
        Self(xxh3_64(&key.to_le_bytes()))
    }

    /// The greatest score wins.
    fn score(self, name: &str) -> u64 {
        let mut both = [0; 16];
        both[..8].copy_from_slice(&self.0.to_le_bytes());
        both[8..].copy_from_slice(&xxh3_64(name.as_bytes()).to_le_bytes());
        xxh3_64(&both)
    }
}

/// Positions of `names`, the first home first.
#[must_use]
pub fn rendezvous_order<'a>(key: u64, names: impl Iterator<Item = &'a str>) -> Vec<usize> {
    let key = KeyHash::new(key);
    let ranked = names.map(|name| key.score(name)).enumerate();
    let mut ranked: Vec<(usize, u64)> = ranked.collect();
    ranked.sort_unstable_by(|left, right| right.1.cmp(&left.1).then(left.0.cmp(&right.0)));
    ranked.into_iter().map(|(position, _)| position).collect()
}

/// Position of the first home among `names`.
#[must_use]
pub fn rendezvous_first<'a>(key: u64, names: impl Iterator<Item = &'a str>) -> Option<usize> {
    let key = KeyHash::new(key);
    let ranked = names.map(|name| key.score(name)).enumerate();
    let best = ranked.max_by(|left, right| left.1.cmp(&right.1).then(right.0.cmp(&left.0)));
    best.map(|(position, _)| position)
}
