//! The attributes of a request that routes match on.

use std::fmt;
use std::net::IpAddr;

/// The front that received a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Front {
    /// The platform's HTTP front.
    Http,
    /// The iSCSI-style front.
    Iscsi,
}

/// The attributes of a request that routes match on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteRequest<'a> {
    /// The front that received the request.
    pub front: Front,
    /// The client's address; `None` if the front does not have it.
    pub client: Option<IpAddr>,
    /// The name of the request class.
    pub class: &'a str,
    /// The name of the volume's QoS plan; `None` if it has none.
    pub plan: Option<&'a str>,
    /// Whether the request is a write.
    pub write: bool,
    /// The volume that the request reads or writes.
    pub volume: u64,
    /// The shard of the object; `None` for a new object.
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
