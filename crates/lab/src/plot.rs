//! Plots of experiments and runs, as SVG.
use std::ops::Range;
use std::path::{Path, PathBuf};

use plotters::prelude::*;

use crate::scenario::LabError;
use crate::stats::{Counts, Report};
use crate::sweep::{Row, Sweep};

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (900, 480);
/// Colours of the curves in turn.
const COLOURS: [RGBColor; 6] = [
    RGBColor(0, 90, 160),
    RGBColor(200, 80, 0),
    RGBColor(0, 130, 70),
    RGBColor(150, 0, 110),
    RGBColor(110, 110, 110),
    RGBColor(170, 140, 0),
];

/// Margin around the points, as a ratio of their range.
const MARGIN: f64 = 0.05;
/// An axis is logarithmic if the ratio of its greatest to its lowest value is at least this.
const LOGARITHMIC_RATIO: f64 = 50.0;

/// x, y, and half the width of the confidence interval of y.
type Point = (f64, f64, f64);

/// A named curve.
pub struct Curve {
    /// Its name in the legend.
    pub name: String,
    /// Its points, from left to right.
    pub points: Vec<Point>,
}

type DrawResult<'a> = Result<(), Box<dyn std::error::Error + 'a>>;

/// Returns a range that contains all values, with a margin.
fn padded_range(values: impl Iterator<Item = f64>) -> Range<f64> {
    let (low, high) = values.fold((f64::INFINITY, f64::NEG_INFINITY), |(low, high), value| {
        (low.min(value), high.max(value))
    });
    let margin = ((high - low) * MARGIN).max(1e-6);
    (low - margin)..(high + margin)
}

/// Draws curves into an SVG file.
pub fn draw(file: &Path, title: &str, x: &str, y: &str, curves: &[Curve]) -> Result<(), LabError> {
    let error_in_file =
        |error: &dyn std::fmt::Display| LabError(format!("{}: {error}", file.display()));
    if curves.iter().all(|curve| curve.points.is_empty()) {
        return Err(error_in_file(&"nothing to draw"));
    }
    draw_chart(file, title, x, y, curves).map_err(|error| error_in_file(&error))
}

fn draw_chart<'a>(
    file: &'a Path,
    title: &str,
    x: &str,
    y: &str,
    curves: &[Curve],
) -> DrawResult<'a> {
    let points = || curves.iter().flat_map(|curve| &curve.points);
    let x_range = padded_range(points().map(|point| point.0));
    let y_range = padded_range(points().flat_map(|point| [point.1 - point.2, point.1 + point.2]));
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(x_range, y_range)?;
    chart
        .configure_mesh()
        .x_desc(x)
        .y_desc(y)
        .light_line_style(WHITE)
        .draw()?;
    for (index, curve) in curves.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        let line = curve.points.iter().map(|point| (point.0, point.1));
        chart
            .draw_series(LineSeries::new(line, colour.stroke_width(2)))?
            .label(&curve.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
        let bars = curve.points.iter().filter(|point| point.2 > 0.0);
        chart.draw_series(bars.map(|&(x, y, half_width)| {
            PathElement::new([(x, y - half_width), (x, y + half_width)], colour)
        }))?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

/// The x axis: values of the first varied key.
struct Axis {
    /// By row; none if the value is not a number.
    values: Vec<Option<f64>>,
    label: String,
}

impl Axis {
    fn of(sweep: &Sweep, rows: &[Row]) -> Axis {
        let number = |row: &Row| row.point.first()?.trim_matches('"').parse().ok();
        let mut values: Vec<Option<f64>> = rows.iter().map(number).collect();
        let numbers = || values.iter().flatten().copied();
        let least = numbers().fold(f64::INFINITY, f64::min);
        let greatest = numbers().fold(0.0, f64::max);
        let key = sweep.varied.first().map_or("run", |vary| vary.key.as_str());
        if least <= 0.0 || (greatest / least < LOGARITHMIC_RATIO) {
            let label = key.to_owned();
            return Axis { values, label };
        }
        for value in values.iter_mut().flatten() {
            *value = value.log2();
        }
        let label = format!("{key}, as a power of two");
        Axis { values, label }
    }
}

/// Name of the curve that a row belongs to: its policy and the values of all varied keys but the
/// first.
fn curve_name(row: &Row) -> String {
    let others = row.point.iter().skip(1).map(String::as_str);
    let parts: Vec<&str> = std::iter::once(row.policy.as_str()).chain(others).collect();
    parts.join(" ")
}

/// The curves of the figure with this index.
fn sweep_curves(rows: &[Row], axis: &Axis, figure: usize) -> Vec<Curve> {
    let mut curves: Vec<Curve> = Vec::new();
    for (row, x) in rows.iter().zip(&axis.values) {
        let name = curve_name(row);
        let existing = curves.iter().position(|curve| curve.name == name);
        let position = existing.unwrap_or_else(|| {
            let points = Vec::new();
            curves.push(Curve { name, points });
            curves.len() - 1
        });
        let points = &mut curves[position].points;
        let mean = &row.means[figure];
        let x = x.unwrap_or(points.len() as f64);
        points.push((x, mean.value, mean.half_width));
    }
    curves
}

/// Draws one plot per figure, over the first varied key, with a curve for each policy and
/// combination of the other values.
pub fn sweep(folder: &Path, sweep: &Sweep, rows: &[Row]) -> Result<Vec<PathBuf>, LabError> {
    let axis = Axis::of(sweep, rows);
    let mut files = Vec::new();
    for (index, figure) in sweep.figures.iter().enumerate() {
        let file = folder.join(format!("{figure}.svg"));
        let curves = sweep_curves(rows, &axis, index);
        draw(&file, &sweep.title, &axis.label, figure, &curves)?;
        files.push(file);
    }
    Ok(files)
}

/// Returns a curve for each report, with a point per second.
fn curves_by_second(
    reports: &[(String, Report)],
    values: impl Fn(&Report) -> Vec<f64>,
) -> Vec<Curve> {
    let curve = |(name, report): &(String, Report)| {
        let values = values(report).into_iter().enumerate();
        Curve {
            name: name.clone(),
            points: values
                .map(|(second, value)| (second as f64, value, 0.0))
                .collect(),
        }
    };
    reports.iter().map(curve).collect()
}

/// Plots service and attempts sent to the origin, by second.
pub fn run(
    folder: &Path,
    name: &str,
    reports: &[(String, Report)],
) -> Result<Vec<PathBuf>, LabError> {
    let service = curves_by_second(reports, |report| {
        report.windows.iter().map(Counts::service).collect()
    });
    let origin = curves_by_second(reports, |report| {
        let attempts = report.origin_attempts_by_second.iter();
        attempts.map(|count| *count as f64).collect()
    });
    let service_file = folder.join(format!("{name}-service.svg"));
    let origin_file = folder.join(format!("{name}-origin.svg"));
    draw(&service_file, name, "second", "service", &service)?;
    let label = "attempts to the origin a second";
    draw(&origin_file, name, "second", label, &origin)?;
    Ok(vec![service_file, origin_file])
}
