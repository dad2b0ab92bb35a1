//! Records of the trace, made from recorded requests.

use super::format::Stamp;
use super::names::NameKind;
use super::rule::{Match, RequestTemplate};
use super::{Mapped, Mapping};
use crate::recorded_request::{LoggedFields, RecordedRequest};
use crate::trace::{ClassTerms, Record, Repeat};

/// A rule gave a class that the mapping does not have.
pub(super) struct UnknownClass(pub String);

impl Mapping {
    /// The record of a request that a rule matched.
    ///
    /// # Errors
    /// The class that the rule's template gives is not in the mapping.
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
            units: template.units.of(bytes) as f32,
            shard: template.shard.of(volume),
            hosts: template.hosts,
            deadline_ms: template.deadline_ms.unwrap_or(terms.deadline_ms),
            bytes: saturate(bytes),
            key: is_keyed(terms).then(|| {
                let template = template.idempotency_key.as_deref();
                let recorded =
                    template.map(|key| groups.expand(key)).or(recorded.key.as_deref().map(String::from));
                // Without a recorded key, two writes of one piece count as one write and its repeat.
                let name = recorded.unwrap_or_else(|| format!("{volume:016x}/{piece:016x}"));
                self.names.number(NameKind::IdempotencyKey, &name)
            }),
            status: recorded.status,
            took: recorded.took,
        };
        Ok(Mapped::Request(self.start(recorded), record))
    }

    /// The record of a request that the daemon logged: it needs no rule, only a class and a plan of the
    /// mapping.
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
            volume: self.names.hide(NameKind::Volume, logged.volume),
            piece: self.names.hide(NameKind::Piece, logged.piece),
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

    /// When the request was made, in microseconds of Unix time.
    fn start(&self, recorded: &RecordedRequest<'_>) -> i64 {
        match self.stamp {
            Stamp::Start => recorded.at,
            Stamp::End => recorded.at.saturating_sub(recorded.took.unwrap_or(0) as i64),
        }
    }

    /// The place and the terms of the class of this name.
    fn class(&self, name: &str) -> Option<(u16, &ClassTerms)> {
        let place = self.classes.iter().position(|class| class.name == name)?;
        Some((place as u16, &self.classes[place]))
    }

    /// The place of the plan of this name; the first where the log names none.
    fn plan_or_first(&self, name: Option<&str>) -> Option<u16> {
        let Some(name) = name else { return Some(0) };
        self.plans.iter().position(|plan| plan.name == name).map(|place| place as u16)
    }
}

fn is_keyed(terms: &ClassTerms) -> bool {
    matches!(terms.repeat, Repeat::Keyed { .. })
}

fn saturate(bytes: u64) -> u32 {
    u32::try_from(bytes).unwrap_or(u32::MAX)
}
