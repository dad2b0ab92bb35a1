//! Relations between sets of targets that also cover targets that are not listed yet.

use crate::addresses::AddressSet;
use crate::target::TargetSelector;
use std::collections::BTreeSet;

pub(super) fn is_subset<T: Ord>(a: &Option<BTreeSet<T>>, b: &Option<BTreeSet<T>>) -> bool {
    match (a, b) {
        (_, None) => true,
        (None, Some(_)) => false,
        (Some(a), Some(b)) => a.is_subset(b),
    }
}

pub(super) fn are_disjoint<T: Ord>(a: &Option<BTreeSet<T>>, b: &Option<BTreeSet<T>>) -> bool {
    matches!((a, b), (Some(a), Some(b)) if a.is_disjoint(b))
}

fn addresses_within(a: &Option<AddressSet>, b: &Option<AddressSet>) -> bool {
    match (a, b) {
        (_, None) => true,
        (None, Some(_)) => false,
        (Some(a), Some(b)) => a.is_within(b),
    }
}

fn addresses_disjoint(a: &Option<AddressSet>, b: &Option<AddressSet>) -> bool {
    matches!((a, b), (Some(a), Some(b)) if !a.overlaps(b))
}

/// Whether the attributes, except names, of every target of the shard in `a` are also selected by `b`.
pub(super) fn attributes_within(a: &TargetSelector, b: &TargetSelector, shard: Option<u32>) -> bool {
    let shards = match shard {
        Some(shard) => b.may_hold_shard(shard),
        None => is_subset(&a.shards, &b.shards),
    };
    shards
        && is_subset(&a.zones, &b.zones)
        && is_subset(&a.kinds, &b.kinds)
        && addresses_within(&a.addresses, &b.addresses)
}

/// Whether no target of the shard can be in both sets, judged by attributes other than names.
pub(super) fn attributes_disjoint(a: &TargetSelector, b: &TargetSelector, shard: Option<u32>) -> bool {
    let lacks_shard = |selector: &TargetSelector| shard.is_some_and(|shard| !selector.may_hold_shard(shard));
    lacks_shard(a)
        || lacks_shard(b)
        || are_disjoint(&a.shards, &b.shards)
        || are_disjoint(&a.zones, &b.zones)
        || are_disjoint(&a.kinds, &b.kinds)
        || addresses_disjoint(&a.addresses, &b.addresses)
}
