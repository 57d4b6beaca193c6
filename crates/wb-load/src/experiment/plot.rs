//! Plot of an experiment.

use std::path::Path;

use eyre::eyre;
use plotters::prelude::*;

use super::load::Sample;
use super::plan::Plan;
use crate::caller::RequestOutcome;

/// Size of a plot, in pixels.
const SIZE: (u32, u32) = (900, 500);

/// Plots the good responses per second of each load as SVG.
pub(super) fn write(file: &Path, plan: &Plan, samples: &[Vec<Sample>]) -> eyre::Result<()> {
    let series: Vec<Vec<(f64, f64)>> = samples
        .iter()
        .map(|samples| good_per_second(samples, plan.seconds))
        .collect();
    let points = series.iter().flatten();
    let max_count = points.map(|point| point.1).fold(1.0, f64::max);
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|err| eyre!("{err}"))?;
    let mut chart = ChartBuilder::on(&area)
        .margin(20)
        .build_cartesian_2d(0.0..plan.seconds, 0.0..max_count)
        .map_err(|err| eyre!("{err}"))?;
    for (index, points) in series.into_iter().enumerate() {
        let colour = Palette99::pick(index);
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))
            .map_err(|err| eyre!("{err}"))?;
    }
    area.present().map_err(|err| eyre!("{err}"))
}

fn good_per_second(samples: &[Sample], seconds: f64) -> Vec<(f64, f64)> {
    let mut counts = vec![0.0; seconds.ceil() as usize];
    for sample in samples {
        if sample.outcome == RequestOutcome::Good
            && let Some(count) = counts.get_mut(sample.due as usize)
        {
            *count += 1.0;
        }
    }
    let points = counts.into_iter().enumerate();
    points
        .map(|(second, count)| (second as f64, count))
        .collect()
}
