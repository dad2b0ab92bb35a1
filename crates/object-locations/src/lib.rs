//! Which shard holds a piece of data, as the answers of targets show it.
//!
//! A request names the shard that holds its data, and a target of another shard turns it away unseen. A
//! client that has begun to write its request before a new object was placed names the shard it then
//! expected, and is turned away at every attempt, though the initiator itself may have placed the object a
//! moment ago. What a target served is proof: its shard holds the data, and data does not move. So what was
//! seen here wins over what a request says.
//!
//! Only what is worth it is kept: where new objects were placed, and objects for which a request and a target
//! once disagreed. All else is where requests say it is. The oldest are forgotten beyond a number; a request
//! for them goes where it says, as it would without this.
//!
//! Two processes of one initiator, of which one replaces the other, tell each other what they see: all of it
//! at once, and then each piece of news. Whatever arrives late or twice is news of an older answer, and the
//! next answer of a target puts it right.

#![forbid(unsafe_code)]

use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};

/// A volume and a piece of its data.
pub type Object = (u64, u64);
/// A shard's number.
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
    /// Remembers up to `most` objects.
    pub fn new(most: usize) -> Places {
        Places { most, seen: HashMap::new(), order: VecDeque::new() }
    }

    /// The shard to ask for an object, where the request names `requested` for it. None: a new object.
    pub fn find(&self, object: Object, requested: Option<Shard>) -> Option<Shard> {
        match (requested, self.seen.get(&object)) {
            (Some(_), Some(Seen::At(shard))) => Some(*shard),
            _ => requested,
        }
    }

    /// Notes that a target of `shard` served a request which named `requested`. Returns what is new about the
    /// object, for the other process.
    pub fn served(
        &mut self,
        object: Object,
        requested: Option<Shard>,
        shard: Shard,
    ) -> Option<(Object, Seen)> {
        if requested == Some(shard) && !self.seen.contains_key(&object) {
            return None;
        }
        self.keep(object, Seen::At(shard))
    }

    /// Notes that a target of `shard` turned a request for the object away, as it does not hold it. Returns
    /// what is new about the object, for the other process.
    pub fn turned_away(&mut self, object: Object, shard: Shard) -> Option<(Object, Seen)> {
        self.keep(object, Seen::NotAt(shard))
    }

    /// All that was seen, the oldest object first.
    pub fn all(&self) -> impl Iterator<Item = (Object, Seen)> {
        self.order.iter().filter_map(|object| Some((*object, *self.seen.get(object)?)))
    }

    /// Takes over what another process saw.
    pub fn learn(&mut self, news: impl IntoIterator<Item = (Object, Seen)>) {
        for (object, seen) in news {
            // Where it was placed says more than that one shard does not have it.
            let known = matches!((self.seen.get(&object), seen), (Some(Seen::At(at)), Seen::NotAt(not)) if *at != not);
            if !known {
                self.keep(object, seen);
            }
        }
    }

    /// How many objects are remembered.
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    /// Whether no object is remembered.
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
