//! Quantiles, tables and plots.

use std::path::Path;
use std::time::Duration;

use hdrhistogram::Histogram;
use plotters::prelude::*;

/// Largest recorded time, in microseconds; longer times are clamped to it.
const MAX_MICROS: u64 = 600_000_000;

/// Builds a histogram of times, in microseconds.
pub fn histogram(times: impl Iterator<Item = Duration>) -> Histogram<u64> {
    let mut histogram = Histogram::new_with_bounds(1, MAX_MICROS, 3).expect("constant bounds");
    for time in times {
        histogram.saturating_record(u64::try_from(time.as_micros()).unwrap_or(MAX_MICROS).max(1));
    }
    histogram
}

/// Returns a quantile of a histogram, in milliseconds.
pub fn millis(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

/// Returns the median, or NaN for an empty slice. Sorts `figures`.
pub fn median(figures: &mut [f64]) -> f64 {
    figures.sort_by(f64::total_cmp);
    match figures.len() {
        0 => f64::NAN,
        n if n.is_multiple_of(2) => f64::midpoint(figures[n / 2 - 1], figures[n / 2]),
        n => figures[n / 2],
    }
}

/// Prints rows as right-aligned columns under a header.
pub fn print_table(header: &[&str], rows: &[Vec<String>]) {
    let width =
        |i: usize| rows.iter().map(|row| row[i].len()).chain([header[i].len()]).max().unwrap_or(0);
    let print_line = |cells: Vec<&str>| {
        let cells = cells.iter().enumerate().map(|(i, cell)| format!("{cell:>0$}", width(i)));
        println!("{}", cells.collect::<Vec<_>>().join("  "));
    };
    print_line(header.to_vec());
    for row in rows {
        print_line(row.iter().map(String::as_str).collect());
    }
}

/// Plots the quantiles of each series as SVG, with logarithmic axes.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn plot(path: &Path, title: &str, series: &[(String, Histogram<u64>)]) -> anyhow::Result<()> {
    let root = SVGBackend::new(path, (900, 540)).into_drawing_area();
    let plot_err = |err: &dyn std::fmt::Display| anyhow::anyhow!("plot {}: {err}", path.display());
    root.fill(&WHITE).map_err(|err| plot_err(&err))?;
    let max = series.iter().map(|(_, h)| h.max() as f64 / 1_000.0).fold(10.0, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..4.0_f64, (1.0..max).log_scale())
        .map_err(|err| plot_err(&err))?;
    chart
        .configure_mesh()
        .x_desc("nines of the distribution (1 = 0.9, 2 = 0.99)")
        .y_desc("milliseconds")
        .draw()
        .map_err(|err| plot_err(&err))?;
    for (i, (name, histogram)) in series.iter().enumerate() {
        let points = (0..=80).map(|step| {
            let nines = f64::from(step) / 20.0;
            let quantile = 1.0 - 10_f64.powf(-nines);
            (nines, millis(histogram, quantile).max(1.0))
        });
        let color = Palette99::pick(i).to_rgba();
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))
            .map_err(|err| plot_err(&err))?
            .label(name.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).draw().map_err(|err| plot_err(&err))?;
    root.present().map_err(|err| plot_err(&err))
}
