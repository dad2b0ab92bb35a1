//! The shards that hold objects, as observed in responses from targets.
//!
//! A request names the shard that holds its object, and a target of another shard rejects it without further
//! checks. If a client began to write a request before a new object was placed, the request names the shard
//! that was expected then and is rejected at every attempt, even though this initiator itself may have placed
//! the object a moment ago. A response from the target that served the object is proof: its shard holds the
//! object, and objects do not move. So observations take precedence over the shard that a request names.
//!
//! Only observations that can differ from requests are kept: of newly placed objects, and of objects for
//! which a request and a target once disagreed. All other objects are where requests name them. When the
//! capacity is exceeded, the oldest object is evicted; requests for it go to the shard that they name.
//!
//! During a handover, predecessor and successor exchange their observations: first all of them, then each new
//! one. An observation that arrives late or twice stems from an older response, and is corrected by the next
//! response from a target.

#![forbid(unsafe_code)]

mod locations;
mod observation;

pub use locations::ObjectLocations;
pub use observation::{ObjectKey, Observation, Shard};
