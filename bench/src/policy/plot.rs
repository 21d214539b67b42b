//! Plot of the attainment of the top tier against goodput under overload.

use super::size::SIZES;
use super::{Batch, Scenario};
use eyre::Result;
use plotters::prelude::*;
use std::path::Path;

const WIDTH: u32 = 900;
const HEIGHT: u32 = 500;

pub(crate) fn write(batch: &Batch, path: &Path) -> Result<()> {
    let root = SVGBackend::new(path, (WIDTH, HEIGHT)).into_drawing_area();
    root.fill(&WHITE)?;
    let areas = root.split_evenly((1, SIZES.len()));
    for (area, size) in areas.iter().zip(&SIZES) {
        let mut chart = ChartBuilder::on(area)
            .margin(10)
            .caption(
                format!("{}, twice the capacity", size.name),
                ("sans-serif", 16),
            )
            .x_label_area_size(35)
            .y_label_area_size(45)
            .build_cartesian_2d(0.0..1.0, 0.0..1.05)?;
        chart
            .configure_mesh()
            .x_desc("goodput")
            .y_desc("attainment of the top tier")
            .draw()?;
        let outcomes = batch
            .outcomes
            .iter()
            .filter(|outcome| outcome.size == size.name)
            .filter(|outcome| outcome.scenario == Scenario::Overload.name());
        chart.draw_series(outcomes.map(|outcome| {
            let style = ("sans-serif", 10).into_text_style(area);
            EmptyElement::at((outcome.goodput, outcome.top))
                + Circle::new((0, 0), 3, BLUE.filled())
                + Text::new(outcome.plan, (5, -10), style)
        }))?;
    }
    root.present()?;
    Ok(())
}
