//! Line plots over time.

use crate::failure::Failure;
use plotters::prelude::*;
use serde::Serialize;

/// A plot of named lines over time.
#[derive(Clone, Debug, Serialize)]
pub struct Plot {
    /// Caption; names the unit of the values.
    pub title: String,
    /// Name of each line with its points: seconds, and the unit that the title names.
    pub lines: Vec<(&'static str, Vec<(f64, f64)>)>,
}

impl Plot {
    /// Renders the plot as SVG.
    ///
    /// # Errors
    /// The plotting library failed.
    pub fn draw(&self) -> Result<String, Failure> {
        let points = || self.lines.iter().flat_map(|(_, points)| points);
        let (right, top) = points().fold((1.0f64, 1e-9f64), |(x, y), p| (x.max(p.0), y.max(p.1)));
        let mut svg = String::new();
        {
            let area = SVGBackend::with_string(&mut svg, (720, 280)).into_drawing_area();
            let mut chart = ChartBuilder::on(&area)
                .caption(&self.title, ("sans-serif", 15))
                .margin(8)
                .x_label_area_size(30)
                .y_label_area_size(48)
                .build_cartesian_2d(0.0..right, 0.0..top * 1.4)?;
            chart.configure_mesh().x_desc("seconds").light_line_style(TRANSPARENT).draw()?;
            for (i, (name, points)) in self.lines.iter().enumerate() {
                let colour = Palette99::pick(i).to_rgba();
                let line =
                    chart.draw_series(LineSeries::new(points.iter().copied(), colour.stroke_width(2)))?;
                line.label(*name)
                    .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
            }
            let mut labels = chart.configure_series_labels();
            labels
                .position(SeriesLabelPosition::UpperRight)
                .background_style(WHITE)
                .border_style(BLACK)
                .draw()?;
            area.present()?;
        }
        Ok(svg)
    }
}
