//! Charts that compare the runs of several policies.

use {
    crate::{
        measure::{Interval, Measurements},
        workload::Workload,
    },
    error_stack::{Report, ResultExt},
    plotters::prelude::*,
    std::path::{Path, PathBuf},
};

/// The charts can't be drawn or written.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("can't write charts to {}", path.display())]
pub struct ChartError {
    /// Path of the SVG file.
    pub path: PathBuf,
}

/// Width and height of the page in pixels.
const PAGE_SIZE: (u32, u32) = (1_400, 1_500);
/// Number of points of a latency curve.
const QUANTILES: usize = 200;

type DrawResult = Result<(), Box<dyn std::error::Error + Send + Sync>>;

/// Draws the named runs into `DIR/report.svg`. Returns the path.
pub fn write(
    dir: &Path,
    workload: &Workload,
    runs: &[(String, Measurements)],
) -> Result<PathBuf, Report<ChartError>> {
    let path = dir.join("report.svg");
    let error = || ChartError { path: path.clone() };
    std::fs::create_dir_all(dir).change_context_lazy(error)?;
    let mut page = String::new();
    draw(&mut page, workload, runs)
        .map_err(|cause| Report::new(error()).attach(cause.to_string()))?;
    std::fs::write(&path, page).change_context_lazy(error)?;
    Ok(path)
}

fn draw(page: &mut String, workload: &Workload, runs: &[(String, Measurements)]) -> DrawResult {
    let root = SVGBackend::with_string(page, PAGE_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let areas = root.split_evenly((3, 2));
    draw_latency(&areas[0], runs)?;
    draw_attainment(&areas[1], "Programs within target by class", runs, |m| &m.classes)?;
    draw_attainment(&areas[2], "Programs within target by team", runs, |m| &m.teams)?;
    draw_prefill(&areas[3], runs)?;
    let attained = |interval: &Interval| interval.attained as f64 / interval.ended.max(1) as f64;
    draw_over_time(&areas[4], "Share of ended programs within target", runs, attained)?;
    let stretch = |interval: &Interval| interval.stretch / interval.ended.max(1) as f64;
    draw_over_time(&areas[5], "Mean ratio of latency to target", runs, stretch)?;
    let classes: Vec<String> = workload
        .classes
        .iter()
        .map(|class| format!("{} {} s", class.name, class.target_s))
        .collect();
    root.titled(&format!("targets: {}", classes.join(", ")), ("sans-serif", 14))?;
    root.present()?;
    Ok(())
}

fn color(index: usize) -> RGBColor {
    [BLUE, RED, GREEN, MAGENTA, CYAN, BLACK][index % 6]
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw_latency(area: &Area<'_>, runs: &[(String, Measurements)]) -> DrawResult {
    let max_latency_s =
        runs.iter().map(|(_, measurements)| measurements.all.latency_s(1.0)).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption("Program latency, cumulative share", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(30)
        .y_label_area_size(45)
        .build_cartesian_2d((1.0..max_latency_s).log_scale(), 0.0..1.0)?;
    chart.configure_mesh().x_desc("s").draw()?;
    for (index, (name, measurements)) in runs.iter().enumerate() {
        let points = (1..=QUANTILES).map(|step| {
            let quantile = step as f64 / QUANTILES as f64;
            (measurements.all.latency_s(quantile).max(1.0), quantile)
        });
        let color = color(index);
        chart
            .draw_series(LineSeries::new(points, &color))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    Ok(())
}

fn draw_attainment(
    area: &Area<'_>,
    title: &str,
    runs: &[(String, Measurements)],
    groups: impl Fn(&Measurements) -> &Vec<crate::measure::GroupMeasurements>,
) -> DrawResult {
    let names: Vec<String> = runs
        .first()
        .map_or_else(Vec::new, |(_, m)| groups(m).iter().map(|g| g.name.clone()).collect());
    let bars = runs.iter().map(|(_, measurements)| {
        groups(measurements)
            .iter()
            .map(crate::measure::GroupMeasurements::attainment)
            .collect::<Vec<f64>>()
    });
    draw_bars(area, title, &names, &bars.collect::<Vec<_>>(), 1.0)
}

fn draw_prefill(area: &Area<'_>, runs: &[(String, Measurements)]) -> DrawResult {
    // Prefilled tokens that a perfect cache would need as well, and those it would have held.
    let names = ["needed", "wasted"].map(String::from);
    let millions = |tokens: u64| tokens as f64 / 1e6;
    let bars: Vec<Vec<f64>> = runs
        .iter()
        .map(|(_, m)| {
            vec![millions(m.prefilled_tokens - m.wasted_tokens), millions(m.wasted_tokens)]
        })
        .collect();
    let y_max = bars.iter().flatten().copied().fold(1.0, f64::max);
    draw_bars(area, "Prefilled tokens, millions", &names, &bars, y_max * 1.05)
}

fn draw_bars(
    area: &Area<'_>,
    title: &str,
    names: &[String],
    values_by_run: &[Vec<f64>],
    y_max: f64,
) -> DrawResult {
    let width = names.len() as f64;
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(30)
        .y_label_area_size(45)
        .build_cartesian_2d(0.0..width, 0.0..y_max)?;
    let label = |x: &f64| names.get(*x as usize).cloned().unwrap_or_default();
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(names.len() * 2)
        .x_label_formatter(&|x| {
            if (x.fract() - 0.5).abs() < 0.01 { label(x) } else { String::new() }
        })
        .draw()?;
    let bar_width = 0.8 / values_by_run.len().max(1) as f64;
    for (index, values) in values_by_run.iter().enumerate() {
        let bars = values.iter().enumerate().map(|(position, &value)| {
            let left = position as f64 + 0.1 + bar_width * index as f64;
            Rectangle::new([(left, 0.0), (left + bar_width, value)], color(index).filled())
        });
        chart.draw_series(bars)?;
    }
    Ok(())
}

fn draw_over_time(
    area: &Area<'_>,
    title: &str,
    runs: &[(String, Measurements)],
    value: impl Fn(&Interval) -> f64,
) -> DrawResult {
    let max_intervals = runs.iter().map(|(_, m)| m.intervals.len()).max().unwrap_or(1);
    let end_s = (max_intervals as u64 * Measurements::interval_s()) as f64;
    let all = || runs.iter().flat_map(|(_, m)| &m.intervals);
    let y_max = all().map(&value).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(30)
        .y_label_area_size(45)
        .build_cartesian_2d(0.0..end_s, 0.0..y_max)?;
    chart.configure_mesh().x_desc("s").draw()?;
    for (index, (_, measurements)) in runs.iter().enumerate() {
        let ended = measurements.intervals.iter().enumerate().filter(|(_, i)| i.ended > 0);
        let points = ended.map(|(position, interval)| {
            ((position as u64 * Measurements::interval_s()) as f64, value(interval))
        });
        chart.draw_series(LineSeries::new(points, &color(index)))?;
    }
    Ok(())
}
