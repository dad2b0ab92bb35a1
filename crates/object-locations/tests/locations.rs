//! Tests of where objects are found, by what targets answered.

use rowanglade_object_locations::{ObjectKey, ObjectLocations, Observation};

const OBJECT: ObjectKey = (7, 9);

// Requests begun before an object was placed named another shard, and were turned away again and again.
#[test]
fn a_new_object_is_found_where_it_was_placed_whatever_a_request_says() {
    let mut locations = ObjectLocations::new(8);
    assert_eq!(locations.find(OBJECT, None), None, "a new object may go anywhere");
    locations.record_served(OBJECT, None, 5);
    assert_eq!(locations.find(OBJECT, Some(2)), Some(5));
    assert_eq!(locations.find(OBJECT, Some(5)), Some(5));
    assert_eq!(locations.find((7, 8), Some(2)), Some(2), "another object is where its request says");
}

#[test]
fn where_requests_and_targets_agree_nothing_is_kept() {
    let mut locations = ObjectLocations::new(8);
    assert!((0..100).all(|piece| locations.record_served((1, piece), Some(3), 3).is_none()));
    assert!(locations.is_empty());
}

// Placed through another initiator: the first that is turned away shows that its word is stale.
#[test]
fn an_object_that_was_turned_away_is_found_once_it_is_served() {
    let mut locations = ObjectLocations::new(8);
    locations.record_rejected(OBJECT, 2);
    assert_eq!(locations.find(OBJECT, Some(2)), Some(2), "nobody knows better yet");
    locations.record_served(OBJECT, Some(6), 6);
    assert_eq!(locations.find(OBJECT, Some(2)), Some(6));
}

#[test]
fn what_was_seen_wrongly_is_given_up_when_a_target_says_so() {
    let mut locations = ObjectLocations::new(8);
    locations.record_served(OBJECT, None, 5);
    locations.record_rejected(OBJECT, 5);
    assert_eq!(locations.find(OBJECT, Some(2)), Some(2));
}

// A successor began without them: its first requests for what the predecessor had placed were turned away.
#[test]
fn what_another_process_saw_is_known_here_and_told_once() {
    let (mut first, mut second) = (ObjectLocations::new(8), ObjectLocations::new(8));
    first.record_served(OBJECT, None, 5);
    first.record_rejected((7, 8), 2);
    second.merge(first.iter());
    assert_eq!(second.find(OBJECT, Some(2)), Some(5));
    assert_eq!(second.iter().collect::<Vec<_>>(), first.iter().collect::<Vec<_>>());
    let observation = first.record_served((7, 8), Some(3), 3);
    assert_eq!(observation, Some(((7, 8), Observation::At(3))));
    assert_eq!(first.record_served((7, 8), Some(3), 3), None, "no news");
    second.merge(observation);
    assert_eq!(second.find((7, 8), Some(2)), Some(3));
}

#[test]
fn late_news_that_a_shard_lacks_an_object_does_not_hide_where_it_is() {
    let mut locations = ObjectLocations::new(8);
    locations.record_served(OBJECT, None, 5);
    locations.merge([(OBJECT, Observation::NotAt(2))]);
    assert_eq!(locations.find(OBJECT, Some(2)), Some(5));
    locations.merge([(OBJECT, Observation::NotAt(5))]);
    assert_eq!(locations.find(OBJECT, Some(2)), Some(2), "it was turned away there");
}

#[test]
fn beyond_their_number_the_oldest_are_forgotten() {
    let mut locations = ObjectLocations::new(4);
    for piece in 0..1_000 {
        locations.record_served((1, piece), None, 5);
        locations.record_rejected((1, piece), 3);
    }
    assert_eq!(locations.len(), 4);
    assert_eq!(locations.find((1, 995), Some(0)), Some(0));
}
