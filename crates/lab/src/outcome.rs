//! Results of an experiment: measured figures and checked claims.

use crate::curve::Curve;
use crate::failure::Failure;
use crate::plot::Plot;
use serde::Serialize;
use std::fmt;

/// A named measurement with its unit.
#[derive(Clone, Debug, Serialize)]
struct Figure {
    name: String,
    value: f64,
    unit: &'static str,
}

/// A statement that the experiment checked, and the result of the check.
#[derive(Clone, Debug, Serialize)]
struct CheckedClaim {
    text: String,
    holds: bool,
}

/// Everything that an experiment reports. The fields are the keys of the JSON report.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcome {
    /// Name of the experiment.
    pub name: String,
    /// One-line description of the experiment.
    pub about: String,
    figures: Vec<Figure>,
    claims: Vec<CheckedClaim>,
    plots: Vec<Plot>,
    curves: Vec<Curve>,
}

impl Outcome {
    /// Adds a measured figure.
    pub fn figure(&mut self, name: impl Into<String>, value: f64, unit: &'static str) {
        self.figures.push(Figure { name: name.into(), value, unit });
    }

    /// Adds a claim; `holds` is the result of its check.
    pub fn claim(&mut self, text: impl Into<String>, holds: bool) {
        self.claims.push(CheckedClaim { text: text.into(), holds });
    }

    /// Adds a plot of lines over time.
    pub fn plot(&mut self, title: impl Into<String>, lines: Vec<(&'static str, Vec<(f64, f64)>)>) {
        self.plots.push(Plot { title: title.into(), lines });
    }

    /// Adds the curve of a cost against a size.
    pub fn curve(&mut self, curve: Curve) {
        self.curves.push(curve);
    }

    /// Returns the file name and the SVG of each curve.
    ///
    /// # Errors
    /// A curve cannot be drawn.
    pub fn drawings(&self) -> Result<Vec<(String, String)>, Failure> {
        let plain = |name: &str| name.replace(|c: char| !c.is_ascii_alphanumeric(), "-");
        let file = |curve: &Curve| format!("{}-{}.svg", self.name, plain(&curve.name));
        self.curves.iter().map(|curve| Ok((file(curve), curve.draw()?))).collect()
    }

    /// Whether all claims hold.
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
        for curve in &self.curves {
            write!(f, "{curve}")?;
        }
        for CheckedClaim { text, holds } in &self.claims {
            writeln!(f, "  {} {text}", if *holds { "holds:" } else { "BROKEN:" })?;
        }
        Ok(())
    }
}

/// Renders the outcomes as one HTML page.
pub fn page(outcomes: &[Outcome]) -> String {
    let escape = |text: &str| text.replace('&', "&amp;").replace('<', "&lt;");
    let plots = |o: &Outcome| {
        let drawn = o.plots.iter().map(|p| p.draw().unwrap_or_else(|e| escape(&format!("{}: {e}", p.title))));
        let curves =
            o.curves.iter().map(|c| c.draw().unwrap_or_else(|e| escape(&format!("{}: {e}", c.name))));
        drawn.chain(curves).collect::<String>()
    };
    let parts = outcomes.iter().map(|o| format!("<pre>{}</pre>{}", escape(&o.to_string()), plots(o)));
    let head = "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>rowanglade lab</title>";
    format!("{head}<h1>Lab</h1>{}</html>", parts.collect::<String>())
}
