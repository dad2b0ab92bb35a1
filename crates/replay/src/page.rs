//! A report as a self-contained HTML page: its tables, and plots as inline SVG.

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

/// A plot could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("cannot draw plot '{title}': {source}")]
pub struct PlotError {
    /// Title of the plot.
    pub title: String,
    /// The error of the plotting library.
    pub source: Box<dyn std::error::Error>,
}

/// A line of a plot: its name and its points.
type Line<'a> = (&'a str, Vec<(f64, f64)>);

/// Draws lines over common axes, as SVG.
///
/// # Errors
/// The plotting library reports an error.
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

/// Points of a class's latency distribution: x is the quantile as a number of nines, y its latency in ms.
fn quantiles(class: &Class) -> Vec<(f64, f64)> {
    // The points are evenly spaced in nines, so that the tail is as wide as the rest.
    let nines = (class.latency.count().max(2) as f64).log10();
    let at = |i: u32| f64::from(i) * nines / 60.0;
    (0..=60).map(|i| (at(i), class.latency.at(1.0 - 10f64.powf(-at(i))) as f64 / 1e3)).collect()
}

/// Returns the HTML page of a report.
///
/// # Errors
/// A plot could not be drawn.
pub fn page(report: &Report) -> Result<String, PlotError> {
    let mut plots = vec![line_plot(
        "Requests by the second in which they were due, and their outcomes",
        "seconds",
        "requests",
        &[
            ("due", per_second(report, |s| s.due as f64)),
            ("served", per_second(report, |s| s.served as f64)),
            ("refused", per_second(report, |s| s.refused as f64)),
            ("failed, lost, unsent", per_second(report, |s| (s.failed + s.lost + s.unsent) as f64)),
        ],
    )?];
    let classes: Vec<Line<'_>> = report
        .classes
        .iter()
        .filter(|(_, c)| c.latency.count() > 0)
        .map(|(name, class)| (name.as_str(), quantiles(class)))
        .collect();
    if !classes.is_empty() {
        let title = "Latency from the due time (1 nine: p90, 2: p99, 3: p99.9)";
        plots.push(line_plot(title, "nines", "ms", &classes)?);
    }
    let drift = [("latest first attempt", per_second(report, |s| s.drift_us as f64 / 1e3))];
    plots.push(line_plot("Delay of first attempts against the schedule", "seconds", "ms", &drift)?);
    if !report.volumes.is_empty() {
        let per_volume = |value: &dyn Fn(&crate::report::Volume) -> f64| {
            report.volumes.iter().enumerate().map(|(i, v)| (i as f64, value(v))).collect::<Vec<_>>()
        };
        let seconds = report.timeline.len().max(1) as f64;
        plots.push(line_plot(
            "Units per second of the volumes that requested the most, against their plans",
            "volume, by requested units",
            "units per second",
            &[
                ("asked", per_volume(&|v| v.asked / seconds)),
                ("served", per_volume(&|v| v.served / seconds)),
                ("busiest second", per_volume(&|v| v.busiest)),
                ("plan's rate", per_volume(&|v| v.rate)),
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
    let _ = write!(html, "</table><p>{} volumes in total.</html>", report.volumes_in_all);
    Ok(html)
}
