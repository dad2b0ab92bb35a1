//! An entry of an operator's file, and the conversion of its keys to sets of targets and requests.

use super::Source;
use super::error::RouteError;
use super::tables::{MatchTable, Names, SelectorTable};
use crate::addresses::AddressSet;
use crate::request::Front;
use crate::request_match::{RequestMatch, VolumeRanges};
use crate::settings::ServiceSettings;
use crate::table::Origin;
use crate::target::TargetSelector;
use ipnet::IpNet;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::ops::Range;

/// Offsets of the line breaks, to find the line of a byte without counting from the start of the text.
pub(super) struct LineIndex(Vec<usize>);

impl LineIndex {
    pub(super) fn new(text: &str) -> LineIndex {
        LineIndex(text.match_indices('\n').map(|(offset, _)| offset).collect())
    }

    /// The line, from 1, that contains the byte at this offset.
    fn line(&self, offset: usize) -> usize {
        self.0.partition_point(|end| *end < offset) + 1
    }
}

/// The position of an entry in its file, for error messages and for the origin of what is parsed from it.
pub(super) struct Entry<'a> {
    source: &'a Source,
    line: usize,
    key: String,
}

impl Entry<'_> {
    /// Creates the entry with this index under `key`.
    pub(super) fn new<'a>(
        source: &'a Source,
        lines: &LineIndex,
        span: Range<usize>,
        key: &str,
        index: usize,
    ) -> Entry<'a> {
        Entry { source, line: lines.line(span.start), key: format!("{key}[{index}]") }
    }

    pub(super) fn origin(&self) -> Origin {
        Origin { file: self.source.name.clone(), line: self.line, key: self.key.clone() }
    }

    /// An error in a key of the entry, or in the entry itself if `key` is empty.
    pub(super) fn error(&self, key: &str, problem: impl Into<String>) -> RouteError {
        RouteError::in_entry(&self.origin(), key, problem.into())
    }

    fn parse_addresses(&self, key: &str, networks: Names) -> Result<Option<AddressSet>, RouteError> {
        let Some(networks) = networks else { return Ok(None) };
        let mut set = AddressSet::default();
        for text in networks.into_vec() {
            let network = parse_network(&text);
            set.insert(
                network.map_err(|error| self.error(key, format!("invalid network {text:?}: {error}")))?,
            );
        }
        Ok(Some(set))
    }

    pub(super) fn parse_target_selector(&self, table: SelectorTable) -> Result<TargetSelector, RouteError> {
        let set = |names: Names| names.map(|names| names.into_vec().into_iter().collect());
        Ok(TargetSelector {
            names: set(table.names),
            zones: set(table.zones),
            kinds: set(table.kinds),
            shards: table.shards.map(|shards| shards.into_vec().into_iter().collect()),
            addresses: self.parse_addresses("network", table.network)?,
        })
    }

    pub(super) fn parse_request_match(
        &self,
        table: MatchTable,
        settings: &ServiceSettings,
    ) -> Result<RequestMatch, RouteError> {
        let fronts = table.front.map(|fronts| self.parse_fronts(fronts.into_vec()));
        let volumes = table.volume.map(|volumes| self.parse_volumes(volumes.into_vec()));
        if table.new == Some(true) && table.shard.is_some() {
            return Err(
                self.error("new", "new = true cannot be combined with shard: a new object has no shard")
            );
        }
        Ok(RequestMatch {
            fronts: fronts.transpose()?,
            clients: self.parse_addresses("network", table.network)?,
            classes: self.parse_known_names("class", table.class, |name| settings.class(name).is_some())?,
            plans: self.parse_known_names("plan", table.plan, |name| settings.has_plan(name))?,
            volumes: volumes.transpose()?,
            shards: table.shard.map(|shards| shards.into_vec().into_iter().collect()),
            write: table.write,
            new: table.new,
        })
    }

    fn parse_fronts(&self, words: Vec<String>) -> Result<Vec<Front>, RouteError> {
        let front = |word: String| match word.as_str() {
            "http" => Ok(Front::Http),
            "iscsi" => Ok(Front::Iscsi),
            _ => Err(self.error("front", format!("unknown front {word:?}, expected http or iscsi"))),
        };
        words.into_iter().map(front).collect()
    }

    /// Names that must exist in the settings.
    fn parse_known_names(
        &self,
        key: &str,
        names: Names,
        is_known: impl Fn(&str) -> bool,
    ) -> Result<Option<BTreeSet<String>>, RouteError> {
        let Some(names) = names else { return Ok(None) };
        let names: BTreeSet<String> = names.into_vec().into_iter().collect();
        match names.iter().find(|name| !is_known(name)) {
            Some(unknown) => Err(self.error(key, format!("the settings have no {key} {unknown:?}"))),
            None => Ok(Some(names)),
        }
    }

    fn parse_volumes(&self, texts: Vec<String>) -> Result<VolumeRanges, RouteError> {
        texts.iter().map(|text| self.parse_volume_range(text)).collect()
    }

    /// A volume, such as `00000003b4d60021`, or a range `A..B` that includes both ends.
    fn parse_volume_range(&self, text: &str) -> Result<(u64, u64), RouteError> {
        let Some((first, last)) = text.split_once("..") else {
            let volume = self.parse_volume(text)?;
            return Ok((volume, volume));
        };
        let (first, last) = (self.parse_volume(first)?, self.parse_volume(last)?);
        if first > last {
            return Err(self.error("volume", format!("range {text:?} ends before it begins")));
        }
        Ok((first, last))
    }

    fn parse_volume(&self, digits: &str) -> Result<u64, RouteError> {
        let volume = u64::from_str_radix(digits.trim(), 16);
        volume.map_err(|error| {
            self.error("volume", format!("invalid volume {digits:?}, expected hex digits: {error}"))
        })
    }
}

/// Parses a network, or a single address as a network of one address.
fn parse_network(text: &str) -> Result<IpNet, ipnet::AddrParseError> {
    text.parse::<IpNet>().or_else(|error| text.parse::<IpAddr>().map(IpNet::from).map_err(|_| error))
}
