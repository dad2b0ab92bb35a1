//! The mapping file: rules that convert recorded requests to requests of the store.
//!
//! Rules are tried in file order, and the first match applies. Patterns are regular expressions whose named
//! groups can be used in the rule's other keys (`volume = "$volume"`). A client belongs to the network with
//! the longest prefix that contains its address; IPv4-mapped IPv6 addresses are treated as IPv4 addresses.
//!
//! `format` has the types that the file is deserialized into; `terms`, `networks`, `names` and `compile`
//! check them; `rule` matches recorded requests, and `convert` converts them to records.

mod compile;
mod convert;
mod error;
mod format;
mod names;
mod networks;
mod pattern;
mod rule;
mod terms;

use crate::recorded_request::RecordedRequest;
use crate::trace::{ClassTerms, PlanTerms, Record};
use compile::Context;
use convert::UnknownClass;
use error::Source;
use format::{File, Stamp, VERSION};
use names::Names;
use networks::Networks;
use rule::Rule;
use std::path::Path;
use toml::Spanned;

pub use error::MappingError;
pub use pattern::pattern;

/// The text of the mapping that is used by default.
pub const STANDARD: &str = include_str!("../../../../samples/mapping.toml");

/// The result of mapping a recorded request.
#[derive(Debug, PartialEq)]
pub enum Mapped {
    /// The request's time, in microseconds of Unix time, and its record, whose `at` is not set yet.
    Request(i64, Record),
    /// A rule with `ignore = true` matched: the index of the rule in the file.
    Ignored(usize),
    /// No rule matched, or the mapping lacks the class or plan: the request's [`pattern()`], or the class and
    /// plan.
    Unmatched(String),
}

/// A checked mapping file.
#[derive(Debug)]
pub struct Mapping {
    classes: Vec<ClassTerms>,
    plans: Vec<PlanTerms>,
    networks: Networks,
    rules: Vec<Rule>,
    stamp: Stamp,
    spread_seconds: bool,
    names: Names,
}

impl Mapping {
    /// Parses the mapping that is used by default.
    ///
    /// # Errors
    /// The built-in text is not valid, which the tests rule out.
    pub fn standard() -> Result<Mapping, MappingError> {
        Mapping::parse("the standard mapping", STANDARD, Path::new("."))
    }

    /// Reads and checks a mapping file.
    ///
    /// # Errors
    /// The file cannot be read or is not valid. The error names the file, the line and the key.
    pub fn load(path: &Path) -> Result<Mapping, MappingError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| MappingError::of_file(&file, error))?;
        Mapping::parse(&file, &text, path.parent().unwrap_or(Path::new(".")))
    }

    /// Checks the text of a mapping. Errors refer to it as `file`; relative paths in it refer to `folder`.
    ///
    /// # Errors
    /// The text is not valid. The error names the line and the key.
    pub fn parse(file: &str, text: &str, folder: &Path) -> Result<Mapping, MappingError> {
        let source = Source { file, text };
        // The parser's message contains the line and the key.
        let parsed: File = toml::from_str(text)
            .map_err(|error| MappingError::of_file(file, error.to_string().trim_end()))?;
        check_version(&source, &parsed.version)?;
        let classes = terms::classes(&source, parsed.class)?;
        let plans = terms::plans(&source, parsed.plan)?;
        let tables =
            [("class", classes.is_empty()), ("plan", plans.is_empty()), ("rule", parsed.rule.is_empty())];
        if let Some((key, _)) = tables.iter().find(|(_, is_empty)| *is_empty) {
            return Err(source.error_without_line(key, "is missing; at least one table is required"));
        }
        let networks = Networks::read(&source, &parsed.networks)?;
        let context = Context {
            source: &source,
            classes: &classes,
            plans: &plans,
            networks: &networks,
            defaults: &parsed.defaults,
        };
        let rules = context.rules(parsed.rule)?;
        let names = Names::read(&source, parsed.anonymise, folder)?;
        let (stamp, spread_seconds) = (parsed.time.stamp, parsed.time.spread_seconds);
        Ok(Mapping { classes, plans, networks, rules, stamp, spread_seconds, names })
    }

    /// The classes in file order; records refer to them by index.
    pub fn classes(&self) -> &[ClassTerms] {
        &self.classes
    }

    /// The plans in file order; records refer to them by index.
    pub fn plans(&self) -> &[PlanTerms] {
        &self.plans
    }

    /// Whether requests of a second are spread over it if the source records whole seconds only.
    pub fn spread_seconds(&self) -> bool {
        self.spread_seconds
    }

    /// Whether names are hashed with a secret key.
    pub fn anonymises(&self) -> bool {
        self.names.anonymises()
    }

    /// The name of the rule with this index; empty if there is none.
    pub fn rule_name(&self, index: usize) -> &str {
        self.rules.get(index).map_or("", |rule| &rule.name)
    }

    /// Maps a recorded request by the first rule that matches it. A request of the daemon's own log is
    /// converted without a rule.
    pub fn map(&self, recorded: &RecordedRequest<'_>) -> Mapped {
        if let Some(logged) = &recorded.logged {
            return self.convert_logged(recorded, logged);
        }
        let network = recorded.client.and_then(|client| self.networks.lookup(client));
        let matching = self.rules.iter().enumerate().find_map(|(index, rule)| {
            let groups = rule.matches(recorded, network)?;
            Some((index, rule, groups))
        });
        let Some((index, rule, groups)) = matching else { return Mapped::Unmatched(pattern(recorded)) };
        let Some(template) = &rule.target else { return Mapped::Ignored(index) };
        self.convert_matched(recorded, template, &groups).unwrap_or_else(|UnknownClass(class)| {
            Mapped::Unmatched(format!("{} (class {class:?} is not in the mapping)", pattern(recorded)))
        })
    }
}

fn check_version(source: &Source<'_>, version: &Spanned<u32>) -> Result<(), MappingError> {
    if *version.get_ref() != VERSION {
        let problem = format!("{} is not supported, expected {VERSION}", version.get_ref());
        return Err(source.error_at(version, "version", problem));
    }
    Ok(())
}
