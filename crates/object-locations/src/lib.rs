//! Which shard holds an object, as the responses of targets show it.
//!
//! A request names the shard that holds its object, and a target of another shard rejects it without a look at
//! it. A client that began to write its request before a new object was placed names the shard that it then
//! expected, and is rejected at every attempt, though the initiator itself may have placed the object a moment
//! ago. What a target served is proof: its shard holds the object, and objects do not move. So what was
//! observed here wins over what a request says.
//!
//! Only what is worth it is kept: where new objects were placed, and objects for which a request and a target
//! once disagreed. All else is where requests say it is. The oldest are forgotten beyond a number; a request
//! for them goes where it says, as it would without this.
//!
//! In a handover, predecessor and successor send each other what they observe: all of it at once, and then each
//! new observation. One that arrives late or twice is of an older response, and the next response of a target
//! corrects it.

#![forbid(unsafe_code)]

mod locations;
mod observation;

pub use locations::ObjectLocations;
pub use observation::{ObjectKey, Observation, Shard};
