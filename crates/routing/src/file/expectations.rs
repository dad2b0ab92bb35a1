//! How an entry becomes an expectation.

use super::entry::Entry;
use super::error::RouteError;
use super::tables::{ExpectTable, Names};
use crate::expectation::{Expectation, Requirement, WhenUndecided};
use crate::settings::ServiceSettings;
use crate::target::ListedState;

impl Entry<'_> {
    pub(super) fn expectation(
        &self,
        mut table: ExpectTable,
        settings: &ServiceSettings,
    ) -> Result<Expectation, RouteError> {
        let requirement = self.requirement(&mut table)?;
        let when_undecided = self.when_undecided(table.when_undecided.as_deref())?;
        let requests = self.request_match(table.requests, settings)?;
        Ok(Expectation { name: table.name, requests, requirement, when_undecided, origin: self.origin() })
    }

    /// The one thing that the entry says must hold.
    fn requirement(&self, table: &mut ExpectTable) -> Result<Requirement, RouteError> {
        let mut requirements = Vec::new();
        if let Some(only) = table.only.take() {
            requirements.push(Requirement::Only(self.target_selector(only)?));
        }
        if let Some(never) = table.never.take() {
            let states = self.states(table.in_state.take())?;
            requirements.push(Requirement::Never { targets: self.target_selector(never)?, states });
        }
        if let Some(some) = table.some.take() {
            let without = table.without.take().unwrap_or(0);
            requirements.push(Requirement::Some { targets: self.target_selector(some)?, without });
        }
        requirements.extend(table.rejected.filter(|rejected| *rejected).map(|_| Requirement::Rejected));
        requirements.extend(table.max_attempts.map(Requirement::MaxAttempts));
        requirements.extend(table.max_drain_grace_ms.map(Requirement::MaxDrainGraceMs));
        requirements.extend(table.max_units_per_second.map(Requirement::MaxUnitsPerSecond));
        requirements.extend(table.min_new_object_targets.map(Requirement::MinNewObjectTargets));
        if table.in_state.is_some() || table.without.is_some() {
            return Err(self.error("", "in_state goes with never, and without with some"));
        }
        match (requirements.pop(), requirements.is_empty()) {
            (Some(requirement), true) => Ok(requirement),
            (None, _) => Err(self.error("", "says nothing that must hold")),
            _ => Err(self.error("", "says more than one thing that must hold; each needs an [[expect]]")),
        }
    }

    fn states(&self, words: Names) -> Result<Vec<ListedState>, RouteError> {
        let Some(words) = words else { return Ok(ListedState::ALL.to_vec()) };
        words.into_vec().iter().map(|word| self.state(word)).collect()
    }

    fn state(&self, word: &str) -> Result<ListedState, RouteError> {
        ListedState::from_word(word).ok_or_else(|| {
            let words = ListedState::ALL.map(ListedState::word).join(", ");
            self.error("in_state", format!("{word:?} is none of {words}"))
        })
    }

    fn when_undecided(&self, word: Option<&str>) -> Result<WhenUndecided, RouteError> {
        match word {
            None | Some("warn") => Ok(WhenUndecided::Warn),
            Some("refuse") => Ok(WhenUndecided::Refuse),
            Some("hold") => Ok(WhenUndecided::Hold),
            Some(other) => Err(self.error("undecided", format!("{other:?} is none of warn, refuse, hold"))),
        }
    }
}
