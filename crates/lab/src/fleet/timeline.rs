//! A plot of a run: the service in each second, and below it the period of each fault.
use std::error::Error;
use std::path::Path;

use plotters::coord::Shift;
use plotters::prelude::*;
use serde::Serialize;

use crate::scenario::LabError;

/// Width of the plot, in pixels.
const WIDTH: u32 = 900;
/// Height of the service chart, in pixels.
const CHART_HEIGHT: u32 = 250;
/// Height below the chart in addition to the rows of the faults, in pixels.
const MARGIN_HEIGHT: u32 = 10;
/// Height of a fault's row, in pixels.
const ROW_HEIGHT: u32 = 26;
/// Height of a fault's bar, in pixels.
const BAR_HEIGHT: i32 = 14;
/// Minimum width of a fault's bar, in pixels.
const MIN_BAR_WIDTH: i32 = 3;
/// Distance of the chart's time axis from the left edge of the plot, in pixels.
const AXIS_LEFT: i32 = 58;
/// Length of the chart's time axis, in pixels.
const AXIS_WIDTH: f64 = 834.0;

type DrawResult<'a> = Result<(), Box<dyn Error + 'a>>;

/// The period in which a fault was active.
#[derive(Debug, Clone, Serialize)]
pub struct FaultPeriod {
    /// Kind of the fault.
    pub name: String,
    /// Start of the fault, in seconds from the start of the run.
    pub from: f64,
    /// End of the fault, in seconds from the start of the run.
    pub to: f64,
}

/// Draws the fraction of the billed value that was served in each second, and the faults.
pub fn draw(
    file: &Path,
    title: &str,
    service: &[f64],
    faults: &[FaultPeriod],
) -> Result<(), LabError> {
    let height = CHART_HEIGHT + MARGIN_HEIGHT + ROW_HEIGHT * faults.len() as u32;
    let seconds = service.len().max(1) as f64;
    let area = SVGBackend::new(file, (WIDTH, height)).into_drawing_area();
    let drawn = || -> DrawResult<'_> {
        area.fill(&WHITE)?;
        let (above, below) = area.split_vertically(CHART_HEIGHT);
        draw_service(&above, title, service, seconds)?;
        draw_faults(&below, faults, seconds)?;
        area.present()?;
        Ok(())
    };
    drawn().map_err(|e| LabError(format!("{}: {e}", file.display())))
}

fn draw_service<'a>(
    area: &DrawingArea<SVGBackend<'a>, Shift>,
    title: &str,
    service: &[f64],
    seconds: f64,
) -> DrawResult<'a> {
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..seconds, 0.0..1.05)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("service")
        .light_line_style(WHITE)
        .draw()?;
    let points = service
        .iter()
        .enumerate()
        .map(|(second, value)| (second as f64 + 0.5, *value));
    let style = RGBColor(0, 90, 160).stroke_width(2);
    chart.draw_series(LineSeries::new(points, style))?;
    Ok(())
}

fn draw_faults<'a>(
    area: &DrawingArea<SVGBackend<'a>, Shift>,
    faults: &[FaultPeriod],
    seconds: f64,
) -> DrawResult<'a> {
    let x_of = |at: f64| AXIS_LEFT + (at.min(seconds) / seconds * AXIS_WIDTH) as i32;
    for (row, fault) in faults.iter().enumerate() {
        let top = 6 + ROW_HEIGHT as i32 * row as i32;
        let left = x_of(fault.from);
        let right = x_of(fault.to).max(left + MIN_BAR_WIDTH);
        area.draw(&Rectangle::new(
            [(left, top), (right, top + BAR_HEIGHT)],
            RGBColor(200, 80, 0).mix(0.5).filled(),
        ))?;
        area.draw(&Text::new(
            fault.name.clone(),
            (left + 4, top + 2),
            ("sans-serif", 12),
        ))?;
    }
    Ok(())
}
