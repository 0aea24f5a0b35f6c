//! Formats a timeline as one self-contained HTML page: a chart of the steps above a list of all
//! entries.

use {
    super::{
        read::Entry,
        steps::{Phase, Span, Step},
        text,
    },
    std::fmt::Write,
    trefoilring_core::event::Kind,
};

/// Width of the column of step labels.
const LABEL_PX: f64 = 260.0;
/// Width of the area in which the bars are drawn.
const BAR_AREA_PX: f64 = 900.0;
const ROW_HEIGHT_PX: f64 = 20.0;
const BAR_HEIGHT_PX: f64 = 14.0;
/// Minimum width of a bar, so that short spans stay visible.
const MIN_BAR_WIDTH_PX: f64 = 1.5;
/// Height of the area above the rows, which shows the start time and the total duration.
const HEADER_PX: f64 = 30.0;
/// Maximum number of steps in the chart. The list contains all steps.
const MAX_ROWS: usize = 2000;

/// Mapping from wall-clock time to horizontal pixels.
struct Scale {
    from_us: u64,
    to_us: u64,
}

impl Scale {
    fn new(entries: &[Entry]) -> Self {
        let events = || entries.iter().filter(|entry| matches!(entry, Entry::Event(_)));
        let wall_times_us = || events().map(|entry| entry.sort_key().0.wall_us);
        let from_us = wall_times_us().min().unwrap_or(0);
        Self { from_us, to_us: wall_times_us().max().unwrap_or(0).max(from_us + 1) }
    }

    fn x_px(&self, us: u64) -> f64 {
        let fraction = us.saturating_sub(self.from_us) as f64 / (self.to_us - self.from_us) as f64;
        LABEL_PX + fraction.min(1.0) * BAR_AREA_PX
    }
}

pub(super) fn render(entries: &[Entry], steps: &[Step]) -> String {
    let shown = &steps[..steps.len().min(MAX_ROWS)];
    let chart = draw_chart(entries, shown);
    let list = escape(&text::render(entries, steps));
    let left_out = match steps.len() - shown.len() {
        0 => String::new(),
        count => format!("<p>{count} more steps appear only in the list below.</p>"),
    };
    format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><meta charset=\"utf-8\"><title>Timeline</title>\n\
         <style>body{{font:13px sans-serif}}pre{{font-size:11px}}</style>\n\
         <h1>Timeline</h1>\n{}\n{chart}{left_out}\n<pre>{list}</pre>\n</html>\n",
        legend(),
    )
}

fn color(phase: Phase) -> &'static str {
    match phase {
        Phase::Admission => "#b0b0b0",
        Phase::Queue => "#e0a030",
        Phase::FirstByte => "#3070c0",
        Phase::Answer => "#40a060",
        Phase::Store => "#9050a0",
        Phase::Other => "#c04040",
    }
}

fn legend() -> String {
    let entries = Phase::ALL.map(|phase| {
        format!(
            "<span style=\"border-left:14px solid {};padding:0 8px\">{phase}</span>",
            color(phase)
        )
    });
    format!("<p>{}</p>", entries.join("\n"))
}

fn draw_chart(entries: &[Entry], steps: &[Step]) -> String {
    let scale = Scale::new(entries);
    let height_px = HEADER_PX + ROW_HEIGHT_PX * steps.len() as f64 + 10.0;
    let width_px = LABEL_PX + BAR_AREA_PX + 10.0;
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width_px}\" height=\"{height_px}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n<text x=\"{LABEL_PX}\" y=\"12\">{}</text>\n\
         <text x=\"{}\" y=\"12\" text-anchor=\"end\">+{:.3} ms</text>\n",
        text::format_wall_time(scale.from_us),
        LABEL_PX + BAR_AREA_PX,
        (scale.to_us - scale.from_us) as f64 / 1000.0,
    );
    for entry in entries {
        svg.push_str(&marker(entry, &scale, height_px));
    }
    for (row, step) in steps.iter().enumerate() {
        svg.push_str(&step_row(step, &scale, HEADER_PX + ROW_HEIGHT_PX * row as f64));
    }
    svg.push_str("</svg>\n");
    svg
}

/// Returns a vertical line through all rows for a gap, an unreadable line, or an event without a
/// step. Returns an empty string for other events.
fn marker(entry: &Entry, scale: &Scale, height_px: f64) -> String {
    let (at, ..) = entry.sort_key();
    let (title, color) = match entry {
        Entry::Event(event) if event.step.is_none() && event.kind != Kind::HostSeen => {
            (format!("{} {}", event.host, text::kind_name(event.kind)), "#d07070")
        }
        Entry::Event(_) => return String::new(),
        Entry::Gap(gap) => (format!("{}: {} events missing", gap.host, gap.missing), "#000"),
        Entry::Unreadable(line) => (format!("{}:{} unreadable", line.file, line.line), "#000"),
    };
    let x_px = scale.x_px(at.wall_us);
    format!(
        "<line x1=\"{x_px:.1}\" x2=\"{x_px:.1}\" y1=\"16\" y2=\"{height_px}\" stroke=\"{color}\">\
         <title>{}</title></line>\n",
        escape(&title),
    )
}

fn step_row(step: &Step, scale: &Scale, y_px: f64) -> String {
    let label = format!("{} / {}", step.program, step.step);
    let mut row = format!(
        "<text x=\"{}\" y=\"{}\" text-anchor=\"end\">{}</text>\n",
        LABEL_PX - 6.0,
        y_px + BAR_HEIGHT_PX - 3.0,
        escape(&label),
    );
    for span in &step.spans {
        // Writing to a string does not fail.
        let _ = row.write_str(&bar(step, span, scale, y_px));
    }
    row
}

fn bar(step: &Step, span: &Span, scale: &Scale, y_px: f64) -> String {
    let x_px = scale.x_px(span.from_us);
    let width_px = (scale.x_px(span.to_us) - x_px).max(MIN_BAR_WIDTH_PX);
    let duration_ms = span.to_us.saturating_sub(span.from_us) as f64 / 1000.0;
    let upstream = step.upstream.as_deref().unwrap_or("no upstream");
    let end = step.refusal.clone().unwrap_or_else(|| text::kind_name(step.end));
    let title = format!("{}: {duration_ms:.3} ms at {}; {upstream}; {end}", span.phase, span.host);
    format!(
        "<rect x=\"{x_px:.1}\" y=\"{y_px}\" width=\"{width_px:.1}\" height=\"{BAR_HEIGHT_PX}\" \
         fill=\"{}\"><title>{}</title></rect>\n",
        color(span.phase),
        escape(&title),
    )
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
