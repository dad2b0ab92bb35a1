//! Stores observations, and derives an object's shard from them.

use crate::{ObjectKey, Observation, Shard};
use std::collections::{HashMap, VecDeque};

/// The observations of objects, with a limited number of objects.
#[derive(Debug)]
pub struct ObjectLocations {
    capacity: usize,
    observations: HashMap<ObjectKey, Observation>,
    /// The observed objects, in the order of their first observation.
    insertion_order: VecDeque<ObjectKey>,
}

impl ObjectLocations {
    /// Creates an empty store for up to `capacity` objects.
    pub fn new(capacity: usize) -> ObjectLocations {
        ObjectLocations { capacity, observations: HashMap::new(), insertion_order: VecDeque::new() }
    }

    /// The shard to which a request for the object is sent, if the request names the shard `requested`.
    /// `None`: the object is new.
    pub fn find(&self, object: ObjectKey, requested: Option<Shard>) -> Option<Shard> {
        match (requested, self.observations.get(&object)) {
            (Some(_), Some(Observation::At(shard))) => Some(*shard),
            _ => requested,
        }
    }

    /// Records that a target of `shard` served a request that named `requested`. Returns the observation if
    /// it is new, to be sent to the other process of a handover.
    pub fn record_served(
        &mut self,
        object: ObjectKey,
        requested: Option<Shard>,
        shard: Shard,
    ) -> Option<(ObjectKey, Observation)> {
        let agrees = requested == Some(shard);
        if agrees && !self.observations.contains_key(&object) {
            return None;
        }
        self.insert(object, Observation::At(shard))
    }

    /// Records that a target of `shard` rejected a request because the shard does not hold the object.
    /// Returns the observation if it is new, to be sent to the other process of a handover.
    pub fn record_rejected(&mut self, object: ObjectKey, shard: Shard) -> Option<(ObjectKey, Observation)> {
        self.insert(object, Observation::NotAt(shard))
    }

    /// All observations, oldest object first.
    pub fn iter(&self) -> impl Iterator<Item = (ObjectKey, Observation)> {
        self.insertion_order.iter().filter_map(|object| Some((*object, *self.observations.get(object)?)))
    }

    /// Adds observations of another process.
    ///
    /// They may be out of date. An observation that a shard does not hold an object says nothing about
    /// another shard that is known to hold it, and does not replace that location.
    pub fn merge(&mut self, observations: impl IntoIterator<Item = (ObjectKey, Observation)>) {
        for (object, observation) in observations {
            let known = self.observations.get(&object);
            let is_weaker = matches!(
                (known, observation),
                (Some(Observation::At(holder)), Observation::NotAt(other)) if *holder != other
            );
            if !is_weaker {
                self.insert(object, observation);
            }
        }
    }

    /// The number of objects with an observation.
    pub fn len(&self) -> usize {
        self.observations.len()
    }

    /// Whether there are no observations.
    pub fn is_empty(&self) -> bool {
        self.observations.is_empty()
    }

    /// Stores an observation, evicting the oldest object if the capacity is exceeded. Returns it if it is
    /// new.
    fn insert(&mut self, object: ObjectKey, observation: Observation) -> Option<(ObjectKey, Observation)> {
        let before = self.observations.insert(object, observation);
        if before.is_none() {
            self.insertion_order.push_back(object);
            self.evict_oldest();
        }
        (before != Some(observation)).then_some((object, observation))
    }

    fn evict_oldest(&mut self) {
        if self.insertion_order.len() > self.capacity
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.observations.remove(&oldest);
        }
    }
}
