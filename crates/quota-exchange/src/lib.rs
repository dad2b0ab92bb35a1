//! What the instances of a fleet tell each other, and what follows from it. Datagrams and times come in,
//! datagrams and changes of an instance's own stores go out; there are no sockets and no clock here.
//!
//! [`exchange`] moves units of limited volumes from instances that do not need them to those that lack them;
//! [`wire`] is the form of the datagrams.
#![forbid(unsafe_code)]

pub mod exchange;
pub mod wire;

pub use exchange::{Exchange, Message, Nonce, Peer, Store};
pub use wire::{Key, Malformed, decode, encode};
