//! The service-level report as a page with a plot.

use crate::report_lines::{Lines, Row};
use crate::report_text;
use eyre::{Result, eyre};
use plotters::prelude::{
    BLACK, ChartBuilder, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, SVGBackend,
    WHITE,
};

const SIZE: (u32, u32) = (960, 420);
const MARGIN: u32 = 12;
const LABELS: u32 = 48;
/// Length of a colour's line in the legend, in pixels.
const KEY: i32 = 16;
/// The plot shows at least this burn rate, so that the line of 1 is seen.
const LEAST_HEIGHT: f64 = 2.0;
const SECONDS_PER_MINUTE: f64 = 60.0;

/// A whole HTML page.
pub(crate) fn page(lines: &Lines) -> Result<String> {
    let mut svg = String::new();
    plot(lines, &mut svg)?;
    let table = escape(&report_text::table(lines));
    Ok(format!(
        "<!DOCTYPE html>\n<html lang=\"en\">\n<head><meta charset=\"utf-8\">\
         <title>Service-level burn</title></head>\n<body>\n<h1>Service-level burn</h1>\n\
         {svg}\n<pre>{table}</pre>\n</body>\n</html>"
    ))
}

/// Plots the burn rate of each class over the slow window.
fn plot(lines: &Lines, svg: &mut String) -> Result<()> {
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(unplotted)?;
    let oldest = -lines.slow_window / SECONDS_PER_MINUTE;
    let rates = lines.classes.iter().flat_map(|class| &class.history);
    let highest = rates.fold(LEAST_HEIGHT, |highest, rate| highest.max(*rate));
    let mut chart = ChartBuilder::on(&area)
        .margin(MARGIN)
        .x_label_area_size(LABELS)
        .y_label_area_size(LABELS)
        .build_cartesian_2d(oldest..0.0, 0.0..highest)
        .map_err(unplotted)?;
    chart
        .configure_mesh()
        .x_desc("minutes ago")
        .y_desc("burn rate")
        .draw()
        .map_err(unplotted)?;
    let limit = [(oldest, 1.0), (0.0, 1.0)];
    chart
        .draw_series(LineSeries::new(limit, BLACK))
        .map_err(unplotted)?;
    for (index, class) in lines.classes.iter().enumerate() {
        let color = Palette99::pick(index);
        chart
            .draw_series(LineSeries::new(points(class, lines.bucket), &color))
            .map_err(unplotted)?
            .label(format!("{} {}", class.service, class.class))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + KEY, y)], Palette99::pick(index)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()
        .map_err(unplotted)?;
    area.present().map_err(unplotted)
}

/// Minutes before now and burn rates.
fn points(class: &Row, bucket: f64) -> Vec<(f64, f64)> {
    let ages = (0..u32::MAX).map(f64::from);
    let mut points: Vec<_> = ages
        .zip(class.history.iter().rev())
        .map(|(age, rate)| (-age * bucket / SECONDS_PER_MINUTE, *rate))
        .collect();
    points.reverse();
    points
}

fn unplotted(error: impl std::fmt::Display) -> eyre::Report {
    eyre!("the burn cannot be plotted: {error}")
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
