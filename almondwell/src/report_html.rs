//! The service-level report as a page with a plot.

use crate::report_summary::{Row, Summary};
use crate::report_text;
use eyre::{Result, eyre};
use plotters::prelude::{
    BLACK, ChartBuilder, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, SVGBackend,
    WHITE,
};

const SIZE_PX: (u32, u32) = (960, 420);
const MARGIN_PX: u32 = 12;
const LABEL_AREA_PX: u32 = 48;
/// Length of the line that shows a class's colour in the legend.
const LEGEND_LINE_PX: i32 = 16;
/// The y axis reaches at least this burn rate, so that the limit line at 1 is visible.
const MIN_PLOTTED_RATE: f64 = 2.0;
const SECONDS_PER_MINUTE: f64 = 60.0;

/// Renders the report as a complete HTML page.
pub(crate) fn page(summary: &Summary) -> Result<String> {
    let mut svg = String::new();
    plot(summary, &mut svg)?;
    let table = escape(&report_text::table(summary));
    Ok(format!(
        "<!DOCTYPE html>\n<html lang=\"en\">\n<head><meta charset=\"utf-8\">\
         <title>Service-level burn</title></head>\n<body>\n<h1>Service-level burn</h1>\n\
         {svg}\n<pre>{table}</pre>\n</body>\n</html>"
    ))
}

/// Plots the burn rate of each class over the slow window as SVG.
fn plot(summary: &Summary, svg: &mut String) -> Result<()> {
    let area = SVGBackend::with_string(svg, SIZE_PX).into_drawing_area();
    area.fill(&WHITE).map_err(plot_error)?;
    let oldest_minutes = -summary.slow_window / SECONDS_PER_MINUTE;
    let rates = summary.classes.iter().flat_map(|class| &class.history);
    let highest = rates.fold(MIN_PLOTTED_RATE, |highest, rate| highest.max(*rate));
    let mut chart = ChartBuilder::on(&area)
        .margin(MARGIN_PX)
        .x_label_area_size(LABEL_AREA_PX)
        .y_label_area_size(LABEL_AREA_PX)
        .build_cartesian_2d(oldest_minutes..0.0, 0.0..highest)
        .map_err(plot_error)?;
    chart
        .configure_mesh()
        .x_desc("minutes ago")
        .y_desc("burn rate")
        .draw()
        .map_err(plot_error)?;
    let limit = [(oldest_minutes, 1.0), (0.0, 1.0)];
    chart
        .draw_series(LineSeries::new(limit, BLACK))
        .map_err(plot_error)?;
    for (index, class) in summary.classes.iter().enumerate() {
        let color = Palette99::pick(index);
        chart
            .draw_series(LineSeries::new(points(class, summary.bucket), &color))
            .map_err(plot_error)?
            .label(format!("{} {}", class.service, class.class))
            .legend(move |(x, y)| {
                PathElement::new([(x, y), (x + LEGEND_LINE_PX, y)], Palette99::pick(index))
            });
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()
        .map_err(plot_error)?;
    area.present().map_err(plot_error)
}

/// Points of the plot, oldest first: minutes relative to now (0 or less) and burn rate.
fn points(class: &Row, bucket: f64) -> Vec<(f64, f64)> {
    let ages = (0..u32::MAX).map(f64::from);
    let mut points: Vec<_> = ages
        .zip(class.history.iter().rev())
        .map(|(age, rate)| (-age * bucket / SECONDS_PER_MINUTE, *rate))
        .collect();
    points.reverse();
    points
}

fn plot_error(error: impl std::fmt::Display) -> eyre::Report {
    eyre!("cannot plot the burn rates: {error}")
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
