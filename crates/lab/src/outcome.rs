//! What an experiment found, and whether its claims hold.

use serde::Serialize;
use std::fmt;

/// Something to run.
#[derive(Clone, Copy)]
pub struct Experiment {
    pub name: &'static str,
    pub about: &'static str,
    pub run: fn() -> Result<Outcome, Failure>,
}

/// Why there is no outcome.
pub type Failure = Box<dyn std::error::Error>;

#[derive(Clone, Debug, Serialize)]
struct Figure {
    name: String,
    value: f64,
    unit: &'static str,
}

#[derive(Clone, Debug, Serialize)]
struct Claim {
    text: String,
    holds: bool,
}

/// Figures and claims.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcome {
    pub name: String,
    pub about: String,
    figures: Vec<Figure>,
    claims: Vec<Claim>,
}

impl Outcome {
    pub fn figure(&mut self, name: impl Into<String>, value: f64, unit: &'static str) {
        self.figures.push(Figure { name: name.into(), value, unit });
    }

    pub fn claim(&mut self, text: impl Into<String>, holds: bool) {
        self.claims.push(Claim { text: text.into(), holds });
    }

    pub fn holds(&self) -> bool {
        self.claims.iter().all(|c| c.holds)
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}: {}", self.name, self.about)?;
        for Figure { name, value, unit } in &self.figures {
            writeln!(f, "  {name:<58} {value:>12.3} {unit}")?;
        }
        for Claim { text, holds } in &self.claims {
            writeln!(f, "  {} {text}", if *holds { "holds:" } else { "BROKEN:" })?;
        }
        Ok(())
    }
}

/// The outcomes as one page of HTML.
pub fn page(outcomes: &[Outcome]) -> String {
    let escape = |text: &str| text.replace('&', "&amp;").replace('<', "&lt;");
    let parts = outcomes.iter().map(|o| format!("<pre>{}</pre>", escape(&o.to_string())));
    let head = "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>rowanglade lab</title>";
    format!("{head}<h1>Lab</h1>{}</html>", parts.collect::<String>())
}
