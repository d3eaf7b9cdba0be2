//! The order in which targets are homes of a shared part, the same at every daemon that knows the
//! same targets, without a message between them.

use crate::ids::hash_parts;

/// Weight of a target that is as large as all others, in percent.
const EVEN_WEIGHT_PERCENT: u32 = 100;

/// Positions of `names`, the first home first.
#[must_use]
pub fn home_order<'a>(key: u64, names: impl Iterator<Item = &'a str>) -> Vec<usize> {
    let mut scored: Vec<(usize, f64)> = names
        .map(|name| rendezvous_score(key, name, EVEN_WEIGHT_PERCENT))
        .enumerate()
        .collect();
    scored.sort_by(|left, right| right.1.total_cmp(&left.1));
    scored.into_iter().map(|(position, _)| position).collect()
}

/// Position of the first home among `names`.
#[must_use]
pub fn first_home<'a>(key: u64, names: impl Iterator<Item = &'a str>) -> Option<usize> {
    let scored = names.map(|name| rendezvous_score(key, name, EVEN_WEIGHT_PERCENT));
    let best = scored
        .enumerate()
        .max_by(|left, right| left.1.total_cmp(&right.1));
    best.map(|(position, _)| position)
}

/// Weighted rendezvous score: the greatest wins, in proportion to weight.
#[must_use]
#[expect(clippy::cast_precision_loss)]
pub fn rendezvous_score(key: u64, name: &str, weight_percent: u32) -> f64 {
    let hash = hash_parts(&[&key.to_le_bytes(), name.as_bytes()]);
    let unit = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    f64::from(weight_percent) / -unit.ln()
}
