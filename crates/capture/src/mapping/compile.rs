//! Checks the rules of a mapping file.

use super::error::{MappingError, Source};
use super::format::{Defaults, Methods, RuleTable, ShardValue, Units};
use super::networks::{NetworkId, Networks};
use super::rule::{RequestTemplate, Rule, ShardRule};
use crate::trace::{ClassTerms, PlanTerms};
use regex::Regex;
use std::fmt::Display;
use std::ops::RangeInclusive;
use toml::Spanned;

/// The largest valid size of a request, in units.
const MAX_UNITS: f64 = 1e6;

/// The parts of a mapping file that its rules refer to.
pub struct Context<'a> {
    pub source: &'a Source<'a>,
    pub classes: &'a [ClassTerms],
    pub plans: &'a [PlanTerms],
    pub networks: &'a Networks,
    pub defaults: &'a Defaults,
}

impl Context<'_> {
    /// Checks the `rule` tables.
    ///
    /// # Errors
    /// A pattern cannot be compiled, a key is missing or out of range, or a rule refers to a class, plan,
    /// network or group that does not exist.
    pub fn rules(&self, tables: Vec<RuleTable>) -> Result<Vec<Rule>, MappingError> {
        let compile = |(index, table)| RuleCompiler { context: self, index }.compile(table);
        tables.into_iter().enumerate().map(compile).collect()
    }
}

/// Checks a single rule.
struct RuleCompiler<'a> {
    context: &'a Context<'a>,
    /// The rule's index in the file.
    index: usize,
}

impl RuleCompiler<'_> {
    fn compile(&self, table: RuleTable) -> Result<Rule, MappingError> {
        let path = table.path.as_ref().map(|pattern| self.regex(pattern, "path")).transpose()?;
        let query = self.query(&table)?;
        let network = table.network.as_ref().map(|name| self.network(name)).transpose()?;
        let bytes = self.bytes(&table)?;
        let target = if table.ignore { None } else { Some(self.target(&table, path.as_ref())?) };
        Ok(Rule {
            name: table.name.unwrap_or_else(|| format!("rule[{}]", self.index)),
            methods: match table.method {
                None => Vec::new(),
                Some(Methods::One(method)) => vec![method],
                Some(Methods::Several(methods)) => methods,
            },
            path,
            query,
            network,
            bytes,
            target,
        })
    }

    fn key(&self, key: &str) -> String {
        format!("rule[{}].{key}", self.index)
    }

    fn error_at<T>(&self, value: &Spanned<T>, key: &str, problem: impl Display) -> MappingError {
        self.context.source.error_at(value, self.key(key), problem)
    }

    /// Builds an error about a key that the rule lacks, with the line of the rule's path if it has one.
    fn error_in_rule(&self, table: &RuleTable, key: &str, problem: impl Display) -> MappingError {
        self.context.source.error(table.path.as_ref(), self.key(key), problem)
    }

    fn regex(&self, pattern: &Spanned<String>, key: &str) -> Result<Regex, MappingError> {
        self.context.source.regex(pattern, self.key(key))
    }

    fn query(&self, table: &RuleTable) -> Result<Vec<(String, Regex)>, MappingError> {
        let compile = |(name, pattern): (&String, &Spanned<String>)| {
            Ok((name.clone(), self.regex(pattern, &format!("query.{name}"))?))
        };
        table.query.iter().map(compile).collect()
    }

    fn network(&self, name: &Spanned<String>) -> Result<NetworkId, MappingError> {
        let unknown = || format!("{:?} is not a name in [networks]", name.get_ref());
        let found = self.context.networks.find(name.get_ref());
        found.ok_or_else(|| self.error_at(name, "network", unknown()))
    }

    fn bytes(&self, table: &RuleTable) -> Result<RangeInclusive<u64>, MappingError> {
        let bytes = table.least_bytes.unwrap_or(0)..=table.most_bytes.unwrap_or(u64::MAX);
        if bytes.is_empty() {
            return Err(self.error_in_rule(table, "most_bytes", "must not be below least_bytes"));
        }
        Ok(bytes)
    }

    fn target(&self, table: &RuleTable, path: Option<&Regex>) -> Result<RequestTemplate, MappingError> {
        let defaults = self.context.defaults;
        let class = self.class(table, path)?;
        let plan = self.plan(table)?;
        let units = self.units(table.units.as_ref().or(defaults.units.as_ref()))?;
        let shard = self.shard(table.shard.as_ref().or(defaults.shard.as_ref()))?;
        let hosts = self.above_zero(table.hosts.as_ref().or(defaults.hosts.as_ref()), "hosts")?;
        let deadline_ms = self.above_zero(table.deadline_ms.as_ref(), "deadline_ms")?;
        Ok(RequestTemplate {
            class,
            plan,
            volume: self.required_template(table, table.volume.as_ref(), "volume", path)?,
            piece: self.required_template(table, table.piece.as_ref(), "piece", path)?,
            idempotency_key: table.key.as_ref().map(|key| self.template(key, "key", path)).transpose()?,
            units,
            shard,
            hosts: hosts.unwrap_or(1),
            deadline_ms,
        })
    }

    fn class(&self, table: &RuleTable, path: Option<&Regex>) -> Result<String, MappingError> {
        let class = self.required_template(table, table.class.as_ref(), "class", path)?;
        if !class.contains('$') && !self.context.classes.iter().any(|known| known.name == class) {
            let problem = format!("{class:?} is not the name of a [[class]]");
            return Err(self.context.source.error(table.class.as_ref(), self.key("class"), problem));
        }
        Ok(class)
    }

    /// The index of the rule's plan. If the file has a single plan, rules need not name it.
    fn plan(&self, table: &RuleTable) -> Result<u16, MappingError> {
        let plans = self.context.plans;
        match table.plan.as_ref().or(self.context.defaults.plan.as_ref()) {
            None if plans.len() == 1 => Ok(0),
            None => Err(self.error_in_rule(
                table,
                "plan",
                "is missing; it is required if the file has several plans",
            )),
            Some(name) => {
                let index = plans.iter().position(|plan| plan.name == *name.get_ref());
                let unknown = || format!("{:?} is not the name of a [[plan]]", name.get_ref());
                index.map(|index| index as u16).ok_or_else(|| self.error_at(name, "plan", unknown()))
            }
        }
    }

    fn units(&self, units: Option<&Spanned<Units>>) -> Result<Units, MappingError> {
        let Some(units) = units else { return Ok(Units::Fixed(1.0)) };
        let (least, most) = units.get_ref().bounds();
        if !(least > 0.0 && least <= most && most <= MAX_UNITS) {
            return Err(self.error_at(
                units,
                "units",
                format!("sizes from {least} to {most} are not a range above 0 and up to {MAX_UNITS}"),
            ));
        }
        Ok(*units.get_ref())
    }

    fn shard(&self, shard: Option<&Spanned<ShardValue>>) -> Result<ShardRule, MappingError> {
        let Some(shard) = shard else { return Ok(ShardRule::New) };
        match shard.get_ref() {
            ShardValue::At(shard) => Ok(ShardRule::At(*shard)),
            ShardValue::Word(word) if word == "new" => Ok(ShardRule::New),
            ShardValue::Of { of } if *of > 0 => Ok(ShardRule::ByVolume(*of)),
            _ => Err(self.error_at(shard, "shard", "expected N, \"new\" or { of = N } with N above zero")),
        }
    }

    fn above_zero(&self, value: Option<&Spanned<u32>>, key: &str) -> Result<Option<u32>, MappingError> {
        match value {
            Some(value) if *value.get_ref() == 0 => Err(self.error_at(value, key, "must be above zero")),
            value => Ok(value.map(|value| *value.get_ref())),
        }
    }

    fn required_template(
        &self,
        table: &RuleTable,
        text: Option<&Spanned<String>>,
        key: &str,
        path: Option<&Regex>,
    ) -> Result<String, MappingError> {
        match text {
            Some(text) => self.template(text, key, path),
            None => Err(self.error_in_rule(
                table,
                key,
                "is missing; it is required unless the rule has `ignore = true`",
            )),
        }
    }

    /// Checks a string that may refer to groups of the path's pattern.
    fn template(
        &self,
        text: &Spanned<String>,
        key: &str,
        path: Option<&Regex>,
    ) -> Result<String, MappingError> {
        let exists = |group: &str| path.is_some_and(|p| p.capture_names().flatten().any(|n| n == group));
        for reference in text.get_ref().split('$').skip(1) {
            let reference = reference.strip_prefix('{').unwrap_or(reference);
            let group: String = reference.chars().take_while(|c| c.is_alphanumeric() || *c == '_').collect();
            if !exists(&group) {
                let problem = format!(
                    "{:?} refers to group {group:?}, which the path's pattern does not have",
                    text.get_ref()
                );
                return Err(self.error_at(text, key, problem));
            }
        }
        Ok(text.get_ref().clone())
    }
}
