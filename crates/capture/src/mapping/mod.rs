//! The mapping file: which store request a recorded request stands for.
//!
//! Rules are tried in file order, and the first match decides. Patterns are regular expressions whose named
//! groups the rule's other keys may use (`volume = "$volume"`). A client belongs to the network with the
//! longest prefix that holds its address; an IPv4 address mapped into IPv6 counts as the IPv4 one.
//!
//! `format` is the file as it is written; `terms`, `networks`, `names` and `compile` check it; `rule` matches
//! recorded requests, and `convert` makes records of them.

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

/// The text of the mapping that is used where none is named.
pub const STANDARD: &str = include_str!("../../../../samples/mapping.toml");

/// What a recorded request stands for.
#[derive(Debug, PartialEq)]
pub enum Mapped {
    /// The request's time, in microseconds of Unix time, and its record, whose `at` is not set yet.
    Request(i64, Record),
    /// A rule leaves it out: the rule's place in the file.
    Ignored(usize),
    /// No rule matches: the request's [`pattern()`].
    Unmatched(String),
}

/// A mapping file, checked.
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
    /// The mapping that is used where none is named.
    ///
    /// # Errors
    /// None: the tests parse it.
    pub fn standard() -> Result<Mapping, MappingError> {
        Mapping::parse("the standard mapping", STANDARD, Path::new("."))
    }

    /// Reads and checks a file.
    ///
    /// # Errors
    /// The file cannot be read or is not valid; the error names it, the line and the key.
    pub fn load(path: &Path) -> Result<Mapping, MappingError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| MappingError::of_file(&file, error))?;
        Mapping::parse(&file, &text, path.parent().unwrap_or(Path::new(".")))
    }

    /// Checks a text that errors call `file`; files it names are looked for in `folder`.
    ///
    /// # Errors
    /// The text is not valid; the error names the line and the key.
    pub fn parse(file: &str, text: &str, folder: &Path) -> Result<Mapping, MappingError> {
        let source = Source { file, text };
        // The parser's message shows the line and names the key.
        let parsed: File = toml::from_str(text)
            .map_err(|error| MappingError::of_file(file, error.to_string().trim_end()))?;
        check_version(&source, &parsed.version)?;
        let classes = terms::classes(&source, parsed.class)?;
        let plans = terms::plans(&source, parsed.plan)?;
        let tables =
            [("class", classes.is_empty()), ("plan", plans.is_empty()), ("rule", parsed.rule.is_empty())];
        if let Some((key, _)) = tables.iter().find(|(_, is_empty)| *is_empty) {
            return Err(source.error_without_line(key, "is missing"));
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

    /// The classes, in file order; records name them by their place.
    pub fn classes(&self) -> &[ClassTerms] {
        &self.classes
    }

    /// The plans, in file order; records name them by their place.
    pub fn plans(&self) -> &[PlanTerms] {
        &self.plans
    }

    /// Whether the requests of one second are spread over it, where a source's times are whole seconds.
    pub fn spread_seconds(&self) -> bool {
        self.spread_seconds
    }

    /// Whether names are hashed under a secret key.
    pub fn anonymises(&self) -> bool {
        self.names.anonymises()
    }

    /// The name of the rule at a place in the file; empty where there is none.
    pub fn rule_name(&self, place: usize) -> &str {
        self.rules.get(place).map_or("", |rule| &rule.name)
    }

    /// What a recorded request stands for.
    pub fn map(&self, recorded: &RecordedRequest<'_>) -> Mapped {
        if let Some(logged) = &recorded.logged {
            return self.convert_logged(recorded, logged);
        }
        let network = recorded.client.and_then(|client| self.networks.of(client));
        let matching = self.rules.iter().enumerate().find_map(|(place, rule)| {
            let groups = rule.matches(recorded, network)?;
            Some((place, rule, groups))
        });
        let Some((place, rule, groups)) = matching else { return Mapped::Unmatched(pattern(recorded)) };
        let Some(template) = &rule.target else { return Mapped::Ignored(place) };
        self.convert_matched(recorded, template, &groups).unwrap_or_else(|UnknownClass(class)| {
            Mapped::Unmatched(format!("{} (class {class:?} is not in the mapping)", pattern(recorded)))
        })
    }
}

fn check_version(source: &Source<'_>, version: &Spanned<u32>) -> Result<(), MappingError> {
    if *version.get_ref() != VERSION {
        let problem = format!("{} is not {VERSION}", version.get_ref());
        return Err(source.error_at(version, "version", problem));
    }
    Ok(())
}
