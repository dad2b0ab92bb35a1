//! Named networks of clients. An address belongs to the network with the longest prefix that contains it.

use super::error::{MappingError, Source};
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;
use std::collections::BTreeMap;
use std::net::IpAddr;
use toml::Spanned;

/// Identifies a named network of a mapping file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NetworkId(usize);

/// The networks of a mapping file. IPv4-mapped IPv6 addresses are treated as IPv4 addresses.
#[derive(Debug, Default)]
pub struct Networks {
    /// The names; a [`NetworkId`] is an index into this list.
    names: Vec<String>,
    v4: PrefixMap<Ipv4Net, NetworkId>,
    v6: PrefixMap<Ipv6Net, NetworkId>,
}

impl Networks {
    /// Reads the `networks` table.
    ///
    /// # Errors
    /// A network cannot be parsed, or is listed twice.
    pub fn read(
        source: &Source<'_>,
        tables: &BTreeMap<String, Vec<Spanned<String>>>,
    ) -> Result<Networks, MappingError> {
        let mut networks = Networks { names: tables.keys().cloned().collect(), ..Networks::default() };
        for (index, (name, nets)) in tables.iter().enumerate() {
            let key = format!("networks.{name}");
            for written in nets {
                let text = written.get_ref();
                let net = parse_net(text).map_err(|error| {
                    source.error_at(written, &key, format!("{text:?} is not a network or address: {error}"))
                })?;
                if let Some(other) = networks.insert(net, NetworkId(index)) {
                    let problem = format!("{text:?} is already part of network {}", networks.names[other.0]);
                    return Err(source.error_at(written, &key, problem));
                }
            }
        }
        Ok(networks)
    }

    /// Finds a network by name.
    pub fn find(&self, name: &str) -> Option<NetworkId> {
        self.names.iter().position(|known| known == name).map(NetworkId)
    }

    /// Finds the network with the longest prefix that contains a client's address.
    pub fn lookup(&self, client: IpAddr) -> Option<NetworkId> {
        match client.to_canonical() {
            IpAddr::V4(v4) => self.v4.get_lpm(&Ipv4Net::from(v4)).map(|(_, id)| *id),
            IpAddr::V6(v6) => self.v6.get_lpm(&Ipv6Net::from(v6)).map(|(_, id)| *id),
        }
    }

    /// Adds a network; returns the network that had the same prefix before.
    fn insert(&mut self, net: IpNet, id: NetworkId) -> Option<NetworkId> {
        match net.trunc() {
            IpNet::V4(net) => self.v4.insert(net, id),
            // An IPv4-mapped prefix ::ffff:a.b.c.d/(96+n) is the IPv4 prefix a.b.c.d/n.
            IpNet::V6(net) => match net.addr().to_ipv4_mapped() {
                Some(v4) if net.prefix_len() >= 96 => {
                    let net = Ipv4Net::new(v4, net.prefix_len() - 96).ok()?;
                    self.v4.insert(net, id)
                }
                _ => self.v6.insert(net, id),
            },
        }
    }
}

/// Parses a network in CIDR notation or a single address.
fn parse_net(text: &str) -> Result<IpNet, ipnet::AddrParseError> {
    text.parse::<IpNet>().or_else(|error| text.parse::<IpAddr>().map(IpNet::from).map_err(|_| error))
}
