//! Sets of network addresses.

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixSet;
use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

/// Prefix length of the IPv6 network that contains all IPv4-mapped addresses.
const IPV4_MAPPED_PREFIX: u8 = 96;

/// A set of addresses, given as networks. An IPv4-mapped IPv6 network is stored as the IPv4 network.
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
    /// Adds all addresses of a network.
    pub fn insert(&mut self, network: IpNet) {
        let network = canonical(network);
        self.networks.push(network);
        match network {
            IpNet::V4(network) => drop(self.v4.insert(network)),
            IpNet::V6(network) => drop(self.v6.insert(network)),
        }
    }

    /// The length in bits of the longest prefix that contains the address; `None` if the address is not in
    /// the set.
    pub fn longest_prefix(&self, addr: IpAddr) -> Option<u8> {
        match addr.to_canonical() {
            IpAddr::V4(v4) => self.v4.get_lpm(&Ipv4Net::from(v4)).map(|network| network.prefix_len()),
            IpAddr::V6(v6) => self.v6.get_lpm(&Ipv6Net::from(v6)).map(|network| network.prefix_len()),
        }
    }

    /// Adds the addresses at which membership in the set may change: the first of each network, and the one
    /// after its last.
    pub fn boundaries(&self, out: &mut BTreeSet<IpAddr>) {
        for network in &self.networks {
            out.insert(network.network());
            out.extend(successor(network.broadcast()));
        }
    }

    /// Whether each network of this set is contained in a single network of `other`. A network that only
    /// several networks of `other` together cover counts as not contained.
    pub fn is_within(&self, other: &AddressSet) -> bool {
        let covered = |network| other.networks.iter().any(|outer| outer.contains(network));
        self.networks.iter().all(covered)
    }

    /// Whether the two sets have an address in common.
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

/// The next address; `None` after the last one.
fn successor(addr: IpAddr) -> Option<IpAddr> {
    match addr {
        IpAddr::V4(v4) => u32::from(v4).checked_add(1).map(|next| IpAddr::V4(Ipv4Addr::from(next))),
        IpAddr::V6(v6) => u128::from(v6).checked_add(1).map(|next| IpAddr::V6(Ipv6Addr::from(next))),
    }
}
