//! A report as one page of HTML that needs nothing beside it: its tables, and plots as SVG.

use crate::report::{Class, Report, Second};
use plotters::prelude::*;
use std::fmt::Write;

const PLOT_SIZE: (u32, u32) = (900, 280);
const PLOT_COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(44, 160, 44),
    RGBColor(255, 127, 14),
    RGBColor(214, 39, 40),
    RGBColor(148, 103, 189),
    RGBColor(127, 127, 127),
];

/// A plot that could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("{title}: {source}")]
pub struct PlotError {
    /// The plot's caption.
    pub title: String,
    /// The plotting library's own error.
    pub source: Box<dyn std::error::Error>,
}

/// A line of a plot: its name and its points.
type Line<'a> = (&'a str, Vec<(f64, f64)>);

/// Lines over one another.
///
/// # Errors
/// The plotting library's.
fn line_plot(title: &str, x: &str, y: &str, lines: &[Line<'_>]) -> Result<String, PlotError> {
    let points = || lines.iter().flat_map(|(_, points)| points);
    let max_x = points().map(|p| p.0).fold(1e-9, f64::max);
    let max_y = points().map(|p| p.1).fold(1e-9, f64::max) * 1.05;
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        let draw = || -> Result<(), Box<dyn std::error::Error>> {
            root.fill(&WHITE)?;
            let mut chart = ChartBuilder::on(&root)
                .caption(title, ("sans-serif", 16))
                .margin(8)
                .x_label_area_size(34)
                .y_label_area_size(56)
                .build_cartesian_2d(0.0..max_x, 0.0..max_y)?;
            chart.configure_mesh().x_desc(x).y_desc(y).light_line_style(WHITE).draw()?;
            for ((name, points), colour) in lines.iter().zip(PLOT_COLOURS.iter().cycle()) {
                chart
                    .draw_series(LineSeries::new(points.iter().copied(), colour.stroke_width(2)))?
                    .label(*name)
                    .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
            }
            chart
                .configure_series_labels()
                .background_style(WHITE.mix(0.8))
                .border_style(BLACK.mix(0.3))
                .draw()?;
            root.present()?;
            Ok(())
        };
        draw().map_err(|source| PlotError { title: title.to_string(), source })?;
    }
    Ok(svg)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

fn per_second(report: &Report, value: impl Fn(&Second) -> f64) -> Vec<(f64, f64)> {
    report.timeline.iter().enumerate().map(|(i, s)| (i as f64, value(s))).collect()
}

/// The time that each part of a class's served requests does not pass, against that part.
fn quantiles(class: &Class) -> Vec<(f64, f64)> {
    // Evenly over the "nines", so that the tail takes its room.
    let nines = (class.latency.count().max(2) as f64).log10();
    let at = |i: u32| f64::from(i) * nines / 60.0;
    (0..=60).map(|i| (at(i), class.latency.at(1.0 - 10f64.powf(-at(i))) as f64 / 1e3)).collect()
}

/// The page.
///
/// # Errors
/// A plot could not be drawn.
pub fn page(report: &Report) -> Result<String, PlotError> {
    let mut plots = vec![line_plot(
        "Requests that came due in each second, and what became of them",
        "seconds",
        "requests",
        &[
            ("due", per_second(report, |s| s.due as f64)),
            ("served", per_second(report, |s| s.served as f64)),
            ("refused", per_second(report, |s| s.refused as f64)),
            ("failed, lost", per_second(report, |s| (s.failed + s.lost + s.unsent) as f64)),
        ],
    )?];
    let classes: Vec<Line<'_>> = report
        .classes
        .iter()
        .filter(|(_, c)| c.latency.count() > 0)
        .map(|(name, class)| (name.as_str(), quantiles(class)))
        .collect();
    if !classes.is_empty() {
        let title = "Latency from the moment a request was due (1 nine: p90, 2: p99, 3: p99.9)";
        plots.push(line_plot(title, "nines", "ms", &classes)?);
    }
    let drift = [("latest first try", per_second(report, |s| s.drift_us as f64 / 1e3))];
    plots.push(line_plot("Sending behind the schedule", "seconds", "ms", &drift)?);
    if !report.volumes.is_empty() {
        let per = |value: &dyn Fn(&crate::report::Volume) -> f64| {
            report.volumes.iter().enumerate().map(|(i, v)| (i as f64, value(v))).collect::<Vec<_>>()
        };
        let seconds = report.timeline.len().max(1) as f64;
        plots.push(line_plot(
            "Units a second of the volumes that asked for most, against their plans",
            "volume, by what it asked for",
            "units a second",
            &[
                ("asked", per(&|v| v.asked / seconds)),
                ("served", per(&|v| v.served / seconds)),
                ("busiest second", per(&|v| v.busiest)),
                ("plan's rate", per(&|v| v.rate)),
            ],
        )?);
    }
    let mut html = String::from("<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Replay of ");
    html.push_str(&escape(&report.trace));
    html.push_str(
        "</title><style>body{font:14px sans-serif;margin:2em;max-width:940px}pre{overflow-x:auto}\
         table{border-collapse:collapse}td,th{padding:2px 10px;text-align:right;border-bottom:1px solid #ddd}\
         </style>",
    );
    // Writing into a string does not fail.
    let _ = write!(html, "<h1>Replay</h1><pre>{}</pre>", escape(&report.to_string()));
    for plot in plots {
        html.push_str(&plot);
    }
    html.push_str(
        "<h2>Volumes</h2><table><tr><th>volume<th>plan<th>rate<th>limit<th>asked<th>served<th>busiest second",
    );
    for v in &report.volumes {
        let limit = v.limit.map_or("-".to_string(), |l| format!("{l:.1}"));
        let _ = write!(
            html,
            "<tr><td>{}<td>{}<td>{:.1}<td>{limit}<td>{:.1}<td>{:.1}<td>{:.1}",
            escape(&v.volume),
            escape(&v.plan),
            v.rate,
            v.asked,
            v.served,
            v.busiest
        );
    }
    let _ = write!(html, "</table><p>{} volumes in all.</html>", report.volumes_in_all);
    Ok(html)
}
