//! Plots goodput over time.

use {
    super::Timeline,
    plotters::prelude::*,
    std::{error::Error, path::Path},
};

/// Width and height of the plot, in pixels.
const SIZE_PX: (u32, u32) = (960, 420);

/// Colours of the lines, in the order of the series; reused when there are more series than colours.
const COLOURS: [RGBColor; 4] = [RED, BLUE, GREEN, BLACK];

/// Writes an SVG plot of goodput over time, with one labelled line for each timeline.
///
/// # Errors
///
/// When the plot cannot be drawn or written to `path`.
pub fn write_plot(
    path: &Path,
    title: &str,
    lines: &[(String, Timeline)],
) -> Result<(), Box<dyn Error>> {
    let series: Vec<(&str, Vec<(f64, f64)>)> = lines
        .iter()
        .map(|(name, timeline)| (name.as_str(), points(timeline)))
        .collect();
    let highest = series.iter().flat_map(|(_, points)| points);
    let highest = highest.map(|(_, goodput)| *goodput).fold(1.0, f64::max);
    let latest = series.iter().flat_map(|(_, points)| points);
    let latest = latest.map(|(at, _)| *at).fold(1.0, f64::max);
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..latest, 0.0..highest * 1.1)?;
    chart
        .configure_mesh()
        .x_desc("time, s")
        .y_desc("whole answers in time, 1/s")
        .draw()?;
    for ((name, points), colour) in series.into_iter().zip(COLOURS.into_iter().cycle()) {
        chart
            .draw_series(LineSeries::new(points, colour))?
            .label(name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

/// Points of time in seconds and goodput per second. The bins of a timeline are 100 ms wide.
fn points(timeline: &Timeline) -> Vec<(f64, f64)> {
    timeline
        .goodput_per_s()
        .into_iter()
        .enumerate()
        .map(|(bin, goodput)| {
            (
                f64::from(u32::try_from(bin).unwrap_or(u32::MAX)) / 10.0,
                goodput,
            )
        })
        .collect()
}
