//! Plots of the requests in a run.

use std::path::Path;

use anyhow::{anyhow, Result};
use plotters::prelude::*;

/// Width and height of the plot in pixels.
const SIZE_PX: (u32, u32) = (900, 360);
/// Font size of the labels in pixels.
const LABEL_SIZE_PX: u32 = 14;

/// Draws the served and failed requests of each second and their sum, as an SVG file.
pub fn draw_per_second(path: &Path, per_second: &[(u64, u64)]) -> Result<()> {
    let max_requests = per_second
        .iter()
        .map(|(served, failed)| served + failed)
        .max();
    let y_max = max_requests.unwrap_or(1).max(1);
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    let draw_error =
        |error: &dyn std::fmt::Display| anyhow!("failed to draw {}: {error}", path.display());
    area.fill(&WHITE).map_err(|e| draw_error(&e))?;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(3 * LABEL_SIZE_PX)
        .y_label_area_size(4 * LABEL_SIZE_PX)
        .build_cartesian_2d(0..per_second.len().max(1), 0..y_max + y_max / 20 + 1)
        .map_err(|e| draw_error(&e))?;
    chart
        .configure_mesh()
        .x_desc("second in which the request was asked")
        .y_desc("requests")
        .label_style(("sans-serif", LABEL_SIZE_PX))
        .draw()
        .map_err(|e| draw_error(&e))?;
    let line = |count: fn(&(u64, u64)) -> u64, color| {
        let points = per_second.iter().map(count).enumerate();
        LineSeries::new(points, ShapeStyle::from(color).stroke_width(2))
    };
    chart
        .draw_series(line(|(served, failed)| served + failed, &BLACK))
        .map_err(|e| draw_error(&e))?;
    chart
        .draw_series(line(|(served, _)| *served, &BLUE))
        .map_err(|e| draw_error(&e))?;
    chart
        .draw_series(line(|(_, failed)| *failed, &RED))
        .map_err(|e| draw_error(&e))?;
    area.present().map_err(|e| draw_error(&e))
}
