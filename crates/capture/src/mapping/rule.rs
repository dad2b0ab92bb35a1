//! Checked rules, and the matching of recorded requests.

use super::format::Units;
use super::networks::NetworkId;
use crate::recorded_request::RecordedRequest;
use regex::{Captures, Regex};
use std::ops::RangeInclusive;

/// A checked rule of a mapping file.
#[derive(Debug)]
pub struct Rule {
    pub name: String,
    /// Empty: any method.
    pub methods: Vec<String>,
    pub path: Option<Regex>,
    /// Patterns for the values of query parameters, by name; all must match.
    pub query: Vec<(String, Regex)>,
    pub network: Option<NetworkId>,
    /// How many bytes a request may have transferred.
    pub bytes: RangeInclusive<u64>,
    /// Absent: matching requests are left out of the trace.
    pub target: Option<RequestTemplate>,
}

/// The store request that matching requests are converted to. Strings may refer to groups of the path's
/// pattern.
#[derive(Debug)]
pub struct RequestTemplate {
    pub class: String,
    /// The index of the plan in the file.
    pub plan: u16,
    pub volume: String,
    pub piece: String,
    pub idempotency_key: Option<String>,
    pub units: Units,
    pub shard: ShardRule,
    pub hosts: u32,
    /// In milliseconds; absent: that of the class.
    pub deadline_ms: Option<u32>,
}

/// How the shard of a request's object is determined.
#[derive(Clone, Copy, Debug)]
pub enum ShardRule {
    At(u32),
    /// The request creates a new object, which has no shard yet.
    New,
    /// The volume's number modulo this number.
    ByVolume(u32),
}

impl ShardRule {
    /// The shard of an object of this volume; `None` for a new object.
    pub fn for_volume(self, volume: u64) -> Option<u32> {
        match self {
            ShardRule::At(shard) => Some(shard),
            ShardRule::New => None,
            ShardRule::ByVolume(shards) => Some((volume % u64::from(shards)) as u32),
        }
    }
}

/// A rule's match: the groups of the path's pattern, if the rule has one.
pub struct Match<'o>(Option<Captures<'o>>);

impl Match<'_> {
    /// Replaces the references to groups in a template.
    pub fn expand(&self, template: &str) -> String {
        match &self.0 {
            Some(captures) if template.contains('$') => {
                let mut text = String::new();
                captures.expand(template, &mut text);
                text
            }
            _ => template.to_string(),
        }
    }
}

impl Rule {
    /// Matches a request whose client is in this network; `None` if the rule doesn't apply to it.
    pub fn matches<'o>(
        &self,
        recorded: &'o RecordedRequest<'_>,
        network: Option<NetworkId>,
    ) -> Option<Match<'o>> {
        if !self.matches_all_but_path(recorded, network) {
            return None;
        }
        match &self.path {
            None => Some(Match(None)),
            Some(path) => path.captures(&recorded.path).map(|captures| Match(Some(captures))),
        }
    }

    fn matches_all_but_path(&self, recorded: &RecordedRequest<'_>, network: Option<NetworkId>) -> bool {
        self.matches_method(&recorded.method)
            && self.network.is_none_or(|id| network == Some(id))
            && self.bytes.contains(&recorded.bytes())
            && self.matches_query(recorded.query.as_deref().unwrap_or_default())
    }

    fn matches_method(&self, method: &str) -> bool {
        self.methods.is_empty() || self.methods.iter().any(|known| method.eq_ignore_ascii_case(known))
    }

    fn matches_query(&self, query: &str) -> bool {
        self.query.iter().all(|(name, pattern)| {
            let mut pairs = query.split('&').map(|pair| pair.split_once('=').unwrap_or((pair, "")));
            pairs.any(|(key, value)| key == name && pattern.is_match(value))
        })
    }
}
