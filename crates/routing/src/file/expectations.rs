//! Parsing of expectations.

use super::entry::Entry;
use super::error::RouteError;
use super::tables::{ExpectTable, Names};
use crate::expectation::{Expectation, Requirement, WhenUndecided};
use crate::settings::ServiceSettings;
use crate::target::ListedState;

impl Entry<'_> {
    pub(super) fn parse_expectation(
        &self,
        mut table: ExpectTable,
        settings: &ServiceSettings,
    ) -> Result<Expectation, RouteError> {
        let requirement = self.parse_requirement(&mut table)?;
        let when_undecided = self.parse_when_undecided(table.when_undecided.as_deref())?;
        let requests = self.parse_request_match(table.requests, settings)?;
        Ok(Expectation { name: table.name, requests, requirement, when_undecided, origin: self.origin() })
    }

    /// The single requirement of the entry.
    fn parse_requirement(&self, table: &mut ExpectTable) -> Result<Requirement, RouteError> {
        let mut requirements = Vec::new();
        if let Some(only) = table.only.take() {
            requirements.push(Requirement::Only(self.parse_target_selector(only)?));
        }
        if let Some(never) = table.never.take() {
            let states = self.parse_states(table.in_state.take())?;
            requirements.push(Requirement::Never { targets: self.parse_target_selector(never)?, states });
        }
        if let Some(some) = table.some.take() {
            let without = table.without.take().unwrap_or(0);
            requirements.push(Requirement::Some { targets: self.parse_target_selector(some)?, without });
        }
        requirements.extend(table.rejected.filter(|rejected| *rejected).map(|_| Requirement::Rejected));
        requirements.extend(table.max_attempts.map(Requirement::MaxAttempts));
        requirements.extend(table.max_drain_grace_ms.map(Requirement::MaxDrainGraceMs));
        requirements.extend(table.max_units_per_second.map(Requirement::MaxUnitsPerSecond));
        requirements.extend(table.min_new_object_targets.map(Requirement::MinNewObjectTargets));
        if table.in_state.is_some() || table.without.is_some() {
            return Err(self.error("", "in_state is allowed only with never, and without only with some"));
        }
        match (requirements.pop(), requirements.is_empty()) {
            (Some(requirement), true) => Ok(requirement),
            (None, _) => Err(self.error(
                "",
                "no requirement; expected one of only, never, some, refused, attempts_at_most, \
                 drain_grace_ms_at_most, unit_limit_at_most, new_objects_over",
            )),
            _ => Err(self.error("", "more than one requirement; each needs its own [[expect]]")),
        }
    }

    fn parse_states(&self, words: Names) -> Result<Vec<ListedState>, RouteError> {
        let Some(words) = words else { return Ok(ListedState::ALL.to_vec()) };
        words.into_vec().iter().map(|word| self.parse_state(word)).collect()
    }

    fn parse_state(&self, word: &str) -> Result<ListedState, RouteError> {
        ListedState::from_word(word).ok_or_else(|| {
            let words = ListedState::ALL.map(ListedState::word).join(", ");
            self.error("in_state", format!("unknown state {word:?}, expected one of {words}"))
        })
    }

    fn parse_when_undecided(&self, word: Option<&str>) -> Result<WhenUndecided, RouteError> {
        match word {
            None | Some("warn") => Ok(WhenUndecided::Warn),
            Some("refuse") => Ok(WhenUndecided::Refuse),
            Some("hold") => Ok(WhenUndecided::Hold),
            Some(other) => {
                Err(self
                    .error("undecided", format!("unknown action {other:?}, expected warn, refuse or hold")))
            }
        }
    }
}
