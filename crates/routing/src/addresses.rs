//! Sets of network addresses.

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixSet;
use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

/// The prefix length under which all of an IPv6 network is mapped IPv4 addresses.
const IPV4_MAPPED_PREFIX: u8 = 96;

/// A set of addresses, as networks. An IPv4 network mapped into IPv6 counts as the IPv4 one.
#[derive(Clone, Debug, Default)]
pub struct AddressSet {
    networks: Vec<IpNet>,
    v4: PrefixSet<Ipv4Net>,
    v6: PrefixSet<Ipv6Net>,
}

impl PartialEq for AddressSet {
    fn eq(&self, other: &AddressSet) -> bool {
        self.networks == other.networks
    }
}

impl AddressSet {
    /// Adds a network.
    pub fn insert(&mut self, network: IpNet) {
        let network = canonical(network);
        self.networks.push(network);
        match network {
            IpNet::V4(network) => drop(self.v4.insert(network)),
            IpNet::V6(network) => drop(self.v6.insert(network)),
        }
    }

    /// The length in bits of the longest prefix that holds the address; none: the address is not in the set.
    pub fn longest_prefix(&self, addr: IpAddr) -> Option<u8> {
        match addr.to_canonical() {
            IpAddr::V4(v4) => self.v4.get_lpm(&Ipv4Net::from(v4)).map(|network| network.prefix_len()),
            IpAddr::V6(v6) => self.v6.get_lpm(&Ipv6Net::from(v6)).map(|network| network.prefix_len()),
        }
    }

    /// Adds the addresses between which nothing changes: the first of each network, and the one behind its
    /// last.
    pub fn boundaries(&self, out: &mut BTreeSet<IpAddr>) {
        for network in &self.networks {
            out.insert(network.network());
            out.extend(successor(network.broadcast()));
        }
    }

    /// Whether each network of this set lies inside one of the other's. Where several of the other's together
    /// cover one, the answer is still no.
    pub fn is_within(&self, other: &AddressSet) -> bool {
        let covered = |network| other.networks.iter().any(|outer| outer.contains(network));
        self.networks.iter().all(covered)
    }

    /// Whether the two sets share an address.
    pub fn overlaps(&self, other: &AddressSet) -> bool {
        let shared = |a: &IpNet, b: &IpNet| a.contains(b) || b.contains(a);
        self.networks.iter().any(|a| other.networks.iter().any(|b| shared(a, b)))
    }
}

fn canonical(network: IpNet) -> IpNet {
    let IpNet::V6(v6) = network.trunc() else { return network.trunc() };
    match v6.addr().to_ipv4_mapped() {
        Some(v4) if v6.prefix_len() >= IPV4_MAPPED_PREFIX => {
            Ipv4Net::new(v4, v6.prefix_len() - IPV4_MAPPED_PREFIX).map_or(IpNet::V6(v6), IpNet::V4)
        }
        _ => IpNet::V6(v6),
    }
}

/// The address behind another; none behind the last.
fn successor(addr: IpAddr) -> Option<IpAddr> {
    match addr {
        IpAddr::V4(v4) => u32::from(v4).checked_add(1).map(|next| IpAddr::V4(Ipv4Addr::from(next))),
        IpAddr::V6(v6) => u128::from(v6).checked_add(1).map(|next| IpAddr::V6(Ipv6Addr::from(next))),
    }
}
