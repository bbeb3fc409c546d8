//! Draws the measured points of `docs/capacity/points.json` as SVG files beside it.
//!
//!     cargo run -p fescuestack-core --example plot_slopes

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;
use serde::Deserialize;

/// Size of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (720, 440);

/// Share of the largest value that is left free above it.
const HEADROOM: f64 = 1.15;

#[derive(Debug, Deserialize)]
struct PlotRecord {
    file: String,
    title: String,
    x_label: String,
    y_label: String,
    /// The stated target, drawn as a line; absent when it lies far above all points.
    limit: Option<f64>,
    series: Vec<SeriesRecord>,
}

#[derive(Debug, Deserialize)]
struct SeriesRecord {
    label: String,
    points: Vec<(f64, f64)>,
}

/// Least-squares line through points: value at zero and slope.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean = |value: fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / count;
    let (x_mean, y_mean) = (mean(|point| point.0), mean(|point| point.1));
    let covariance: f64 = points.iter().map(|(x, y)| (x - x_mean) * (y - y_mean)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - x_mean).powi(2)).sum();
    let slope = covariance / variance;
    (y_mean - slope * x_mean, slope)
}

/// Largest distance of a point from its line, as a share of the point's value.
fn worst_residual(points: &[(f64, f64)], base: f64, slope: f64) -> f64 {
    let residual = |(x, y): &(f64, f64)| ((base + slope * x - y) / y).abs();
    points.iter().map(residual).fold(0.0, f64::max)
}

fn draw(record: &PlotRecord, directory: &Path) -> Result<(), Box<dyn Error>> {
    let path = directory.join(&record.file);
    let area = SVGBackend::new(&path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let all = || record.series.iter().flat_map(|series| &series.points);
    let x_max = all().map(|point| point.0).fold(0.0, f64::max);
    let y_max = all().map(|point| point.1).chain(record.limit).fold(0.0, f64::max) * HEADROOM;
    let mut chart = ChartBuilder::on(&area)
        .caption(&record.title, ("sans-serif", 18))
        .margin(14)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..x_max * HEADROOM, 0.0..y_max)?;
    chart.configure_mesh().x_desc(&record.x_label).y_desc(&record.y_label).draw()?;
    for (index, series) in record.series.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let (base, slope) = fit_line(&series.points);
        let worst = worst_residual(&series.points, base, slope);
        println!(
            "{}, {}: {base:.4} + {slope:.6} for each unit; farthest point {:.0} %",
            record.file,
            series.label,
            worst * 100.0
        );
        let line = [(0.0, base), (x_max, base + slope * x_max)];
        chart
            .draw_series(LineSeries::new(line, colour.stroke_width(1)))?
            .label(&series.label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
        let circle = |point: &(f64, f64)| Circle::new(*point, 4, colour.filled());
        chart.draw_series(series.points.iter().map(circle))?;
    }
    if let Some(limit) = record.limit {
        chart
            .draw_series(LineSeries::new([(0.0, limit), (x_max * HEADROOM, limit)], RED))?
            .label("limit")
            .legend(|(x, y)| PathElement::new([(x, y), (x + 16, y)], RED));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .draw()?;
    area.present()?;
    Ok(())
}

fn main() -> Result<(), Box<dyn Error>> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/capacity");
    let text = std::fs::read_to_string(directory.join("points.json"))?;
    let records: Vec<PlotRecord> = serde_json::from_str(&text)?;
    records.iter().try_for_each(|record| draw(record, &directory))
}
