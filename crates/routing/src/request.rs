//! The attributes of a request that routes match on.

use std::fmt;
use std::net::IpAddr;

/// The front that a request came through.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Front {
    /// The platform's HTTP.
    Http,
    /// The iSCSI-style front.
    Iscsi,
}

/// The attributes of a request that routes match on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteRequest<'a> {
    /// The front that it came through.
    pub front: Front,
    /// The client's address; none where the front does not know it.
    pub client: Option<IpAddr>,
    /// The name of its class.
    pub class: &'a str,
    /// The name of its volume's QoS plan.
    pub plan: Option<&'a str>,
    /// Whether it writes.
    pub write: bool,
    /// The volume that it reads or writes.
    pub volume: u64,
    /// The shard that holds the object; none for a new object.
    pub shard: Option<u32>,
}

impl fmt::Display for RouteRequest<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let front = if self.front == Front::Http { "http" } else { "iscsi" };
        write!(f, "class {} volume {:016x} front {front}", self.class, self.volume)?;
        match self.shard {
            Some(shard) => write!(f, " shard {shard}")?,
            None => f.write_str(" new object")?,
        }
        if let Some(plan) = self.plan {
            write!(f, " plan {plan}")?;
        }
        match self.client {
            Some(client) => write!(f, " client {client}"),
            None => Ok(()),
        }
    }
}
