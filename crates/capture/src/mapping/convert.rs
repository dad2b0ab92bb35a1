//! Converts recorded requests to records of the trace.

use super::format::Stamp;
use super::names::NameKind;
use super::rule::{Match, RequestTemplate};
use super::{Mapped, Mapping};
use crate::recorded_request::{LoggedFields, RecordedRequest};
use crate::trace::{ClassTerms, Record, Repeat};

/// The class that a rule's template results in, which the mapping does not have.
pub(super) struct UnknownClass(pub String);

impl Mapping {
    /// Converts a request that a rule matched.
    ///
    /// # Errors
    /// The mapping does not have the class that the rule's template results in.
    pub(super) fn convert_matched(
        &self,
        recorded: &RecordedRequest<'_>,
        template: &RequestTemplate,
        groups: &Match<'_>,
    ) -> Result<Mapped, UnknownClass> {
        let class_name = groups.expand(&template.class);
        let Some((class, terms)) = self.class(&class_name) else { return Err(UnknownClass(class_name)) };
        let volume = self.names.number(NameKind::Volume, &groups.expand(&template.volume));
        let piece = self.names.number(NameKind::Piece, &groups.expand(&template.piece));
        let bytes = recorded.bytes();
        let record = Record {
            at: 0,
            class,
            plan: template.plan,
            volume,
            piece,
            units: template.units.for_bytes(bytes) as f32,
            shard: template.shard.for_volume(volume),
            hosts: template.hosts,
            deadline_ms: template.deadline_ms.unwrap_or(terms.deadline_ms),
            bytes: saturate(bytes),
            key: is_keyed(terms).then(|| {
                let template = template.idempotency_key.as_deref();
                let recorded_key =
                    template.map(|key| groups.expand(key)).or(recorded.key.as_deref().map(String::from));
                // Without a recorded key, a second write of an object counts as a repeat of the first.
                let name = recorded_key.unwrap_or_else(|| format!("{volume:016x}/{piece:016x}"));
                self.names.number(NameKind::IdempotencyKey, &name)
            }),
            status: recorded.status,
            took: recorded.took,
        };
        Ok(Mapped::Request(self.start(recorded), record))
    }

    /// Converts a request of the daemon's own log. It needs no rule, only a class and a plan of the mapping.
    pub(super) fn convert_logged(&self, recorded: &RecordedRequest<'_>, logged: &LoggedFields<'_>) -> Mapped {
        let (Some((class, terms)), Some(plan)) =
            (self.class(&logged.class), self.plan_or_first(logged.plan.as_deref()))
        else {
            let plan = logged.plan.as_deref().unwrap_or("-");
            return Mapped::Unmatched(format!("class {} on plan {plan}", logged.class));
        };
        let recorded_key = recorded.key.as_deref().filter(|_| is_keyed(terms));
        let record = Record {
            at: 0,
            class,
            plan,
            volume: self.names.anonymise(NameKind::Volume, logged.volume),
            piece: self.names.anonymise(NameKind::Piece, logged.piece),
            units: logged.units as f32,
            shard: logged.shard,
            hosts: logged.hosts.max(1),
            deadline_ms: logged.deadline_ms,
            bytes: saturate(recorded.bytes()),
            key: recorded_key.map(|key| self.names.number(NameKind::IdempotencyKey, key)),
            status: recorded.status,
            took: recorded.took,
        };
        Mapped::Request(recorded.at, record)
    }

    /// The time at which the request was made, in microseconds of Unix time.
    fn start(&self, recorded: &RecordedRequest<'_>) -> i64 {
        match self.stamp {
            Stamp::Start => recorded.at,
            Stamp::End => recorded.at.saturating_sub(recorded.took.unwrap_or(0) as i64),
        }
    }

    /// Finds a class by name; returns its index and its terms.
    fn class(&self, name: &str) -> Option<(u16, &ClassTerms)> {
        let index = self.classes.iter().position(|class| class.name == name)?;
        Some((index as u16, &self.classes[index]))
    }

    /// Finds the index of a plan by name; the first plan if the log has none.
    fn plan_or_first(&self, name: Option<&str>) -> Option<u16> {
        let Some(name) = name else { return Some(0) };
        self.plans.iter().position(|plan| plan.name == name).map(|index| index as u16)
    }
}

fn is_keyed(terms: &ClassTerms) -> bool {
    matches!(terms.repeat, Repeat::Keyed { .. })
}

fn saturate(bytes: u64) -> u32 {
    u32::try_from(bytes).unwrap_or(u32::MAX)
}
