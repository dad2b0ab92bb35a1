//! The observations that are kept, and the shard that follows from them.

use crate::{ObjectKey, Observation, Shard};
use std::collections::{HashMap, VecDeque};

/// What has been observed of objects.
#[derive(Debug)]
pub struct ObjectLocations {
    capacity: usize,
    observations: HashMap<ObjectKey, Observation>,
    /// Their objects, in the order in which they were first observed.
    insertion_order: VecDeque<ObjectKey>,
}

impl ObjectLocations {
    /// Keeps observations of up to `capacity` objects.
    pub fn new(capacity: usize) -> ObjectLocations {
        ObjectLocations { capacity, observations: HashMap::new(), insertion_order: VecDeque::new() }
    }

    /// The shard to which a request for the object goes, where the request names `requested`. None: a new
    /// object.
    pub fn find(&self, object: ObjectKey, requested: Option<Shard>) -> Option<Shard> {
        match (requested, self.observations.get(&object)) {
            (Some(_), Some(Observation::At(shard))) => Some(*shard),
            _ => requested,
        }
    }

    /// Notes that a target of `shard` served a request which named `requested`. Returns the observation if it
    /// is new, for the other process of a handover.
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

    /// Notes that a target of `shard` rejected a request for the object, as it does not hold it. Returns the
    /// observation if it is new, for the other process of a handover.
    pub fn record_rejected(&mut self, object: ObjectKey, shard: Shard) -> Option<(ObjectKey, Observation)> {
        self.insert(object, Observation::NotAt(shard))
    }

    /// All observations, those of the oldest object first.
    pub fn iter(&self) -> impl Iterator<Item = (ObjectKey, Observation)> {
        self.insertion_order.iter().filter_map(|object| Some((*object, *self.observations.get(object)?)))
    }

    /// Takes over what another process observed.
    ///
    /// An observation may be late. That a shard does not hold an object says nothing against another shard
    /// that is known to hold it, so it does not replace that.
    pub fn merge(&mut self, observations: impl IntoIterator<Item = (ObjectKey, Observation)>) {
        for (object, observation) in observations {
            let known = self.observations.get(&object);
            let says_less = matches!(
                (known, observation),
                (Some(Observation::At(holder)), Observation::NotAt(other)) if *holder != other
            );
            if !says_less {
                self.insert(object, observation);
            }
        }
    }

    /// Of how many objects there are observations.
    pub fn len(&self) -> usize {
        self.observations.len()
    }

    /// Whether there are no observations.
    pub fn is_empty(&self) -> bool {
        self.observations.is_empty()
    }

    /// Keeps an observation, and forgets the oldest object beyond the capacity. Returns it if it is new.
    fn insert(&mut self, object: ObjectKey, observation: Observation) -> Option<(ObjectKey, Observation)> {
        let before = self.observations.insert(object, observation);
        if before.is_none() {
            self.insertion_order.push_back(object);
            self.forget_oldest();
        }
        (before != Some(observation)).then_some((object, observation))
    }

    fn forget_oldest(&mut self) {
        if self.insertion_order.len() > self.capacity
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.observations.remove(&oldest);
        }
    }
}
