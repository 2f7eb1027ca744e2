//! Draws times to first token and batch throughput over time.

use std::path::Path;

use plotters::prelude::BLUE;
use plotters::prelude::ChartBuilder;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::LineSeries;
use plotters::prelude::RED;
use plotters::prelude::RGBColor;
use plotters::prelude::SVGBackend;
use plotters::prelude::WHITE;

use super::experiment::Results;
use super::plan::Outcome;
use crate::error::LoadError;
use crate::stats::quantile;

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (960, 420);

/// Writes the plots as SVG files to a folder, which is created if needed.
pub(super) fn draw(folder: &Path, results: &Results) -> Result<(), LoadError> {
    std::fs::create_dir_all(folder).map_err(|e| write_error(folder, &e))?;
    let first: Vec<(&str, Vec<f64>)> =
        results.traces.iter().map(|(name, o)| (*name, first_by_second(o))).collect();
    draw_lines(&folder.join("first_token.svg"), "first token, p95 of each second, ms", &first)?;
    let batch: Vec<(&str, Vec<f64>)> = results
        .traces
        .iter()
        .map(|(name, o)| (*name, o.batch_by_s.iter().map(|t| *t as f64).collect()))
        .collect();
    draw_lines(&folder.join("batch_tokens.svg"), "batch tokens each second", &batch)
}

fn first_by_second(outcome: &Outcome) -> Vec<f64> {
    let seconds = outcome.batch_by_s.len();
    let mut by_second: Vec<Vec<f64>> = vec![Vec::new(); seconds];
    for (at, first_ms) in &outcome.first_ms {
        by_second[(*at as usize).min(seconds - 1)].push(*first_ms);
    }
    by_second.iter_mut().map(|times| quantile(times, 0.95)).collect()
}

fn draw_lines(path: &Path, title: &str, lines: &[(&str, Vec<f64>)]) -> Result<(), LoadError> {
    let seconds = lines.iter().map(|(_, l)| l.len()).max().unwrap_or(1) as f64;
    let top = lines.iter().flat_map(|(_, l)| l).fold(1.0_f64, |a, b| a.max(*b));
    let draw = || -> Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::new(path, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let names: Vec<&str> = lines.iter().map(|(name, _)| *name).collect();
        let caption = format!("{title}: {} (blue, red)", names.join(", "));
        let mut chart = ChartBuilder::on(&area)
            .caption(caption, ("sans-serif", 16))
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..seconds, 0.0..top * 1.05)?;
        chart.configure_mesh().x_desc("seconds").draw()?;
        let colors: [RGBColor; 2] = [BLUE, RED];
        for ((_, line), color) in lines.iter().zip(colors.iter().cycle()) {
            let points = line.iter().enumerate().map(|(second, value)| (second as f64, *value));
            chart.draw_series(LineSeries::new(points, color))?;
        }
        area.present()?;
        Ok(())
    };
    draw().map_err(|e| write_error(path, e.as_ref()))
}

fn write_error(path: &Path, error: &dyn std::error::Error) -> LoadError {
    LoadError::Write { path: path.display().to_string(), detail: error.to_string() }
}
