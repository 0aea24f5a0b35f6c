//! Compares the figures of a run with those recorded in a Markdown file such as `docs/CAPACITY.md`.

use super::figure::{Figure, Figures};

/// A row of the recorded table of figures.
#[derive(Clone, Debug, PartialEq)]
struct Row {
    id: String,
    median: f64,
}

/// Returns the differences between the file and the run: figures outside their tolerance, and
/// figures that only one of the two has. In the file, a figure is a table row whose first column is
/// the id in backquotes and whose second column is the median.
pub fn differences(recorded_text: &str, figures: &Figures) -> Vec<String> {
    let rows: Vec<Row> = recorded_text.lines().filter_map(parse_row).collect();
    let mut differences = Vec::new();
    for figure in &figures.all {
        match rows.iter().find(|row| row.id == figure.id) {
            Some(row) => differences.extend(difference(row.median, figure)),
            None => differences.push(format!("{}: not in the file", figure.id)),
        }
    }
    let is_unmeasured = |row: &&Row| !figures.all.iter().any(|figure| figure.id == row.id);
    let unmeasured = rows.iter().filter(is_unmeasured);
    differences.extend(unmeasured.map(|row| format!("{}: in the file, but not measured", row.id)));
    differences
}

fn parse_row(line: &str) -> Option<Row> {
    let (id, rest) = line.strip_prefix("| `")?.split_once("` |")?;
    let median = rest.split('|').next()?.trim().parse().ok()?;
    Some(Row { id: id.into(), median })
}

/// Describes the difference of a figure if it exceeds the tolerance of its kind.
fn difference(recorded: f64, figure: &Figure) -> Option<String> {
    /// Absolute difference that is attributed to rounding, in the figure's unit.
    const ROUNDING: f64 = 0.1;
    let tolerance = figure.kind.tolerance();
    let (smaller, larger) = (recorded.min(figure.median), recorded.max(figure.median));
    let is_within_tolerance =
        larger - smaller <= ROUNDING || (smaller > 0.0 && larger / smaller <= tolerance);
    let message = || {
        let Figure { id, median, unit, .. } = figure;
        format!("{id}: {recorded} {unit} recorded, {median:.1} measured, tolerance ×{tolerance}")
    };
    (!is_within_tolerance).then(message)
}
