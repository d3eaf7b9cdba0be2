//! Rendezvous hashing: ranks names by a hash of key and name, so that all daemons that know the
//! same names compute the same ranking without communication. It determines the homes of shared
//! prompt parts.

use xxhash_rust::xxh3::xxh3_64;

/// Hash of a key, computed once to score many names.
#[derive(Debug, Clone, Copy)]
struct KeyHash(u64);

impl KeyHash {
    fn new(key: u64) -> Self {
        Self(xxh3_64(&key.to_le_bytes()))
    }

    /// Score of a name for this key; the highest score ranks first.
    fn score(self, name: &str) -> u64 {
        let mut key_and_name = [0; 16];
        key_and_name[..8].copy_from_slice(&self.0.to_le_bytes());
        key_and_name[8..].copy_from_slice(&xxh3_64(name.as_bytes()).to_le_bytes());
        xxh3_64(&key_and_name)
    }
}

/// Returns the positions of `names` by descending score for `key`; the first is the first home.
#[must_use]
pub fn rendezvous_order<'a>(key: u64, names: impl Iterator<Item = &'a str>) -> Vec<usize> {
    let key = KeyHash::new(key);
    let ranked = names.map(|name| key.score(name)).enumerate();
    let mut ranked: Vec<(usize, u64)> = ranked.collect();
    ranked.sort_unstable_by(|left, right| right.1.cmp(&left.1).then(left.0.cmp(&right.0)));
    ranked.into_iter().map(|(position, _)| position).collect()
}

/// Returns the position of the name with the highest score for `key`, without sorting; `None` if
/// `names` is empty.
#[must_use]
pub fn rendezvous_first<'a>(key: u64, names: impl Iterator<Item = &'a str>) -> Option<usize> {
    let key = KeyHash::new(key);
    let ranked = names.map(|name| key.score(name)).enumerate();
    let best = ranked.max_by(|left, right| left.1.cmp(&right.1).then(right.0.cmp(&left.0)));
    best.map(|(position, _)| position)
}
