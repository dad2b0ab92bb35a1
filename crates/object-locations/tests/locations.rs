//! Tests of where objects are found, depending on the responses of targets.

use rowanglade_object_locations::{ObjectKey, ObjectLocations, Observation};

const OBJECT: ObjectKey = (7, 9);

// Guards against requests that are rejected at every attempt: those that were begun before a new object was
// placed name another shard.
#[test]
fn a_new_object_is_found_where_it_was_placed_regardless_of_the_requested_shard() {
    let mut locations = ObjectLocations::new(8);
    assert_eq!(locations.find(OBJECT, None), None, "a new object may be placed on any shard");
    locations.record_served(OBJECT, None, 5);
    assert_eq!(locations.find(OBJECT, Some(2)), Some(5));
    assert_eq!(locations.find(OBJECT, Some(5)), Some(5));
    assert_eq!(
        locations.find((7, 8), Some(2)),
        Some(2),
        "an object without observations is on the requested shard"
    );
}

#[test]
fn nothing_is_stored_where_requests_and_targets_agree() {
    let mut locations = ObjectLocations::new(8);
    assert!((0..100).all(|piece| locations.record_served((1, piece), Some(3), 3).is_none()));
    assert!(locations.is_empty());
}

// The object was placed through another initiator: the first rejection shows that its requests name a stale
// shard.
#[test]
fn a_rejected_object_is_found_after_it_is_served_elsewhere() {
    let mut locations = ObjectLocations::new(8);
    locations.record_rejected(OBJECT, 2);
    assert_eq!(locations.find(OBJECT, Some(2)), Some(2), "no other shard is known yet");
    locations.record_served(OBJECT, Some(6), 6);
    assert_eq!(locations.find(OBJECT, Some(2)), Some(6));
}

#[test]
fn a_rejection_replaces_the_location_at_that_shard() {
    let mut locations = ObjectLocations::new(8);
    locations.record_served(OBJECT, None, 5);
    locations.record_rejected(OBJECT, 5);
    assert_eq!(locations.find(OBJECT, Some(2)), Some(2));
}

// A successor without the predecessor's observations had its first requests rejected for objects that the
// predecessor had placed.
#[test]
fn merged_observations_are_used_and_new_ones_are_returned_once() {
    let (mut first, mut second) = (ObjectLocations::new(8), ObjectLocations::new(8));
    first.record_served(OBJECT, None, 5);
    first.record_rejected((7, 8), 2);
    second.merge(first.iter());
    assert_eq!(second.find(OBJECT, Some(2)), Some(5));
    assert_eq!(second.iter().collect::<Vec<_>>(), first.iter().collect::<Vec<_>>());
    let observation = first.record_served((7, 8), Some(3), 3);
    assert_eq!(observation, Some(((7, 8), Observation::At(3))));
    assert_eq!(first.record_served((7, 8), Some(3), 3), None, "already recorded");
    second.merge(observation);
    assert_eq!(second.find((7, 8), Some(2)), Some(3));
}

#[test]
fn a_late_rejection_by_another_shard_does_not_replace_a_known_location() {
    let mut locations = ObjectLocations::new(8);
    locations.record_served(OBJECT, None, 5);
    locations.merge([(OBJECT, Observation::NotAt(2))]);
    assert_eq!(locations.find(OBJECT, Some(2)), Some(5));
    locations.merge([(OBJECT, Observation::NotAt(5))]);
    assert_eq!(locations.find(OBJECT, Some(2)), Some(2), "the known shard rejected it");
}

#[test]
fn beyond_the_capacity_the_oldest_objects_are_evicted() {
    let mut locations = ObjectLocations::new(4);
    for piece in 0..1_000 {
        locations.record_served((1, piece), None, 5);
        locations.record_rejected((1, piece), 3);
    }
    assert_eq!(locations.len(), 4);
    assert_eq!(locations.find((1, 995), Some(0)), Some(0));
}
