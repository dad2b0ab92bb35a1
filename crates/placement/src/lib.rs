//! Which shard holds a piece of data, as the answers of targets show it.
//!
//! A request names the shard that holds its data, and a target of another shard turns it away unseen. A client that
//! has begun to write its request before a new object was placed names the shard it then expected, and is turned away
//! at every attempt, though the initiator itself may have placed the object a moment ago. What a target served is
//! proof: its shard holds the data, and data does not move. So what was seen here wins over what a request says.
//!
//! Only what is worth it is kept: where new objects were placed, and objects for which a request and a target once
//! disagreed. All else is where requests say it is. The oldest are forgotten beyond a number; a request for them goes
//! where it says, as it would without this.
//!
//! Two processes of one initiator, of which one replaces the other, tell each other what they see: all of it at once,
//! and then each piece of news. Whatever is told late or twice is news of an older answer, and the next answer of a
//! target puts it right.

#![forbid(unsafe_code)]

use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};

/// A volume and a piece of its data.
pub type Object = (u64, u64);
pub type Shard = u32;

/// What was seen of an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Seen {
    /// A target of this shard served it.
    At(Shard),
    /// A target of this shard turned it away; who has it was not seen.
    NotAt(Shard),
}

/// What was seen of objects.
#[derive(Debug)]
pub struct Places {
    most: usize,
    seen: HashMap<Object, Seen>,
    /// Their objects, in the order in which they were first seen.
    order: VecDeque<Object>,
}

impl Places {
    /// Keeps so many objects in mind.
    pub fn new(most: usize) -> Places {
        Places { most, seen: HashMap::new(), order: VecDeque::new() }
    }

    /// The shard to ask for an object of which the request says that `told` has it. None: a new object.
    pub fn find(&self, object: Object, told: Option<Shard>) -> Option<Shard> {
        match (told, self.seen.get(&object)) {
            (Some(_), Some(Seen::At(shard))) => Some(*shard),
            _ => told,
        }
    }

    /// A target of `shard` served a request for it that named `told`.
    /// What it returns is news, to another process too.
    pub fn served(&mut self, object: Object, told: Option<Shard>, shard: Shard) -> Option<(Object, Seen)> {
        if told == Some(shard) && !self.seen.contains_key(&object) {
            return None;
        }
        self.keep(object, Seen::At(shard))
    }

    /// A target of `shard` turned a request for it away as none of its business.
    pub fn turned_away(&mut self, object: Object, shard: Shard) -> Option<(Object, Seen)> {
        self.keep(object, Seen::NotAt(shard))
    }

    /// All of it, the oldest first.
    pub fn all(&self) -> impl Iterator<Item = (Object, Seen)> {
        self.order.iter().filter_map(|object| Some((*object, *self.seen.get(object)?)))
    }

    /// Another process saw this.
    pub fn learn(&mut self, news: impl IntoIterator<Item = (Object, Seen)>) {
        for (object, seen) in news {
            // Where it was placed says more than that one shard does not have it.
            let known = matches!((self.seen.get(&object), seen), (Some(Seen::At(at)), Seen::NotAt(not)) if *at != not);
            if !known {
                self.keep(object, seen);
            }
        }
    }

    pub fn len(&self) -> usize {
        self.seen.len()
    }

    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    fn keep(&mut self, object: Object, seen: Seen) -> Option<(Object, Seen)> {
        let before = self.seen.insert(object, seen);
        if before.is_none() {
            self.order.push_back(object);
            if self.order.len() > self.most
                && let Some(oldest) = self.order.pop_front()
            {
                self.seen.remove(&oldest);
            }
        }
        (before != Some(seen)).then_some((object, seen))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const OBJECT: Object = (7, 9);

    // Requests begun before an object was placed named another shard, and were turned away again and again.
    #[test]
    fn a_new_object_is_found_where_it_was_placed_whatever_a_request_says() {
        let mut places = Places::new(8);
        assert_eq!(places.find(OBJECT, None), None, "a new object may go anywhere");
        places.served(OBJECT, None, 5);
        assert_eq!(places.find(OBJECT, Some(2)), Some(5));
        assert_eq!(places.find(OBJECT, Some(5)), Some(5));
        assert_eq!(places.find((7, 8), Some(2)), Some(2), "another object is where its request says");
    }

    #[test]
    fn where_requests_and_targets_agree_nothing_is_kept() {
        let mut places = Places::new(8);
        assert!((0..100).all(|piece| places.served((1, piece), Some(3), 3).is_none()));
        assert!(places.is_empty());
    }

    // Placed through another initiator: the first that is turned away shows that its word is stale.
    #[test]
    fn an_object_that_was_turned_away_is_found_once_it_is_served() {
        let mut places = Places::new(8);
        places.turned_away(OBJECT, 2);
        assert_eq!(places.find(OBJECT, Some(2)), Some(2), "nobody knows better yet");
        places.served(OBJECT, Some(6), 6);
        assert_eq!(places.find(OBJECT, Some(2)), Some(6));
    }

    #[test]
    fn what_was_seen_wrongly_is_given_up_when_a_target_says_so() {
        let mut places = Places::new(8);
        places.served(OBJECT, None, 5);
        places.turned_away(OBJECT, 5);
        assert_eq!(places.find(OBJECT, Some(2)), Some(2));
    }

    // A successor began without them: its first requests for what the predecessor had placed were turned away.
    #[test]
    fn what_another_process_saw_is_known_here_and_told_once() {
        let (mut first, mut second) = (Places::new(8), Places::new(8));
        first.served(OBJECT, None, 5);
        first.turned_away((7, 8), 2);
        second.learn(first.all());
        assert_eq!(second.find(OBJECT, Some(2)), Some(5));
        assert_eq!(second.all().collect::<Vec<_>>(), first.all().collect::<Vec<_>>());
        let news = first.served((7, 8), Some(3), 3);
        assert_eq!(news, Some(((7, 8), Seen::At(3))));
        assert_eq!(first.served((7, 8), Some(3), 3), None, "no news");
        second.learn(news);
        assert_eq!(second.find((7, 8), Some(2)), Some(3));
    }

    #[test]
    fn late_news_that_a_shard_lacks_an_object_does_not_hide_where_it_is() {
        let mut places = Places::new(8);
        places.served(OBJECT, None, 5);
        places.learn([(OBJECT, Seen::NotAt(2))]);
        assert_eq!(places.find(OBJECT, Some(2)), Some(5));
        places.learn([(OBJECT, Seen::NotAt(5))]);
        assert_eq!(places.find(OBJECT, Some(2)), Some(2), "it was turned away there");
    }

    #[test]
    fn beyond_their_number_the_oldest_are_forgotten() {
        let mut places = Places::new(4);
        for piece in 0..1_000 {
            places.served((1, piece), None, 5);
            places.turned_away((1, piece), 3);
        }
        assert_eq!(places.len(), 4);
        assert_eq!(places.find((1, 995), Some(0)), Some(0));
    }
}
