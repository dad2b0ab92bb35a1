//! Costs measured at several sizes, and the function fitted to them.

use crate::failure::Failure;
use plotters::prelude::*;
use serde::Serialize;
use std::fmt;

/// Minimum number of sizes for a fit; fewer do not determine the growth.
pub const MIN_SIZES: usize = 4;

/// The function that is fitted to the points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum GrowthModel {
    /// `base + slope * size`.
    Linear { base: f64, slope: f64 },
    /// `factor * size ^ exponent`.
    Power { factor: f64, exponent: f64 },
}

impl GrowthModel {
    /// Evaluates the function at a size, which may lie outside the measured range.
    pub fn at(&self, size: f64) -> f64 {
        match self {
            GrowthModel::Linear { base, slope } => base + slope * size,
            GrowthModel::Power { factor, exponent } => factor * size.powf(*exponent),
        }
    }
}

/// A fitted function and its goodness of fit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct FittedCurve {
    pub law: GrowthModel,
    /// Fraction of the variance that the function explains; 1 is a perfect fit.
    pub r_squared: f64,
    /// Largest distance of a point from the function, relative to the point's cost.
    pub worst_residual: f64,
}

impl FittedCurve {
    fn of(law: GrowthModel, points: &[(f64, f64)]) -> FittedCurve {
        let mean = points.iter().map(|(_, cost)| cost).sum::<f64>() / points.len() as f64;
        let sum_of_squares = |center: &dyn Fn(f64) -> f64| -> f64 {
            points.iter().map(|(size, cost)| (cost - center(*size)).powi(2)).sum()
        };
        let (residual_squares, total_squares) =
            (sum_of_squares(&|size| law.at(size)), sum_of_squares(&|_| mean));
        let residual =
            |(size, cost): &(f64, f64)| (cost - law.at(*size)).abs() / cost.abs().max(f64::MIN_POSITIVE);
        FittedCurve {
            law,
            r_squared: if total_squares > 0.0 { 1.0 - residual_squares / total_squares } else { 1.0 },
            worst_residual: points.iter().map(residual).fold(0.0, f64::max),
        }
    }
}

/// Costs at [`MIN_SIZES`] sizes or more, with the linear or power function that fits them best.
#[derive(Clone, Debug, Serialize)]
pub struct Curve {
    pub name: String,
    /// What the sizes count, for example targets.
    pub size: &'static str,
    /// Unit of the costs.
    pub unit: &'static str,
    pub points: Vec<(f64, f64)>,
    /// Exponent of the power function fitted to the points, also where the linear function fits better.
    pub exponent: f64,
    pub fit: FittedCurve,
}

/// Least-squares fit of `y = base + slope * x`.
fn fit_line(points: impl Iterator<Item = (f64, f64)>) -> Result<(f64, f64), Failure> {
    let rows: Vec<f64> = points.flat_map(|(x, y)| [y, 1.0, x]).collect();
    match *linregress::fit_low_level_regression_model_without_statistics(&rows, rows.len() / 3, 3)?.as_slice()
    {
        [base, slope] => Ok((base, slope)),
        _ => Err(Failure::Unexpected("the linear regression did not return two parameters")),
    }
}

impl Curve {
    /// Fits a linear and a power function and keeps the one with the smaller worst residual.
    ///
    /// # Errors
    /// There are fewer sizes than [`MIN_SIZES`], or a size or a cost is not positive.
    pub fn new(
        name: impl Into<String>,
        size: &'static str,
        unit: &'static str,
        points: Vec<(f64, f64)>,
    ) -> Result<Curve, Failure> {
        let name = name.into();
        if points.len() < MIN_SIZES || points.iter().any(|(size, cost)| *size <= 0.0 || *cost <= 0.0) {
            return Err(Failure::CurveFit { name, points });
        }
        let (base, slope) = fit_line(points.iter().copied())?;
        let (log_factor, exponent) = fit_line(points.iter().map(|(size, cost)| (size.ln(), cost.ln())))?;
        let linear = FittedCurve::of(GrowthModel::Linear { base, slope }, &points);
        let power = FittedCurve::of(GrowthModel::Power { factor: log_factor.exp(), exponent }, &points);
        let fit = if linear.worst_residual < power.worst_residual { linear } else { power };
        Ok(Curve { name, size, unit, points, exponent, fit })
    }

    /// The cost at a size by the fitted law.
    pub fn at(&self, size: f64) -> f64 {
        self.fit.law.at(size)
    }

    /// Renders the points and the fitted function as SVG.
    ///
    /// # Errors
    /// The plotting library failed.
    pub fn draw(&self) -> Result<String, Failure> {
        const STEPS: u32 = 60;
        let right = self.points.iter().map(|p| p.0).fold(0.0, f64::max) * 1.05;
        let top = self.points.iter().map(|p| p.1).fold(0.0, f64::max) * 1.15;
        let law = (1..=STEPS).map(|i| right * f64::from(i) / f64::from(STEPS)).map(|x| (x, self.at(x)));
        let law: Vec<(f64, f64)> = law.filter(|(_, y)| (0.0..=top).contains(y)).collect();
        let mut svg = String::new();
        {
            let area = SVGBackend::with_string(&mut svg, (720, 280)).into_drawing_area();
            let mut chart = ChartBuilder::on(&area)
                .caption(format!("{} ({})", self.name, self.unit), ("sans-serif", 15))
                .margin(8)
                .x_label_area_size(30)
                .y_label_area_size(64)
                .build_cartesian_2d(0.0..right, 0.0..top)?;
            chart.configure_mesh().x_desc(self.size).light_line_style(TRANSPARENT).draw()?;
            chart.draw_series(LineSeries::new(law, Palette99::pick(0).stroke_width(2)))?;
            let dots = self.points.iter().map(|p| Circle::new(*p, 4, Palette99::pick(1).filled()));
            chart.draw_series(dots)?;
            area.present()?;
        }
        Ok(svg)
    }
}

impl fmt::Display for Curve {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "  {}, {} by {}", self.name, self.unit, self.size)?;
        for (size, cost) in &self.points {
            writeln!(f, "    {size:>10.0} {cost:>16.3}   fitted {:>16.3}", self.at(*size))?;
        }
        let law = match self.fit.law {
            GrowthModel::Linear { base, slope } => format!("{base:.4} + {slope:.6} * size"),
            GrowthModel::Power { factor, exponent } => format!("{factor:.6} * size^{exponent:.2}"),
        };
        let FittedCurve { r_squared, worst_residual, .. } = self.fit;
        writeln!(f, "    fit: {law}; R2 {r_squared:.4}, worst residual {:.1}%", worst_residual * 100.0)
    }
}
