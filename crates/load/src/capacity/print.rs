//! Prints the tables of `docs/CAPACITY.md`.

use super::{
    Capacity,
    figure::{Figure, FigureKind},
    roles::{Role, Total},
};

/// Prints the tables as Markdown.
pub fn print(capacity: &Capacity) {
    println!("Profile {}, {} processors.\n", capacity.profile, capacity.processors);
    println!("| figure | median | least | greatest | runs | unit | what |");
    println!("|---|---|---|---|---|---|---|");
    capacity.figures.all.iter().for_each(|figure| println!("{}", figure_row(figure)));
    println!(
        "\n| role | holders | state | messages/s | % of a core | MB | reads/s | writes/s | KB/s | mechanism |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    capacity.roles.iter().for_each(|role| println!("{}", role_row(role)));
    println!("\n| total | value | limit | factor |");
    println!("|---|---|---|---|");
    capacity.totals.iter().for_each(|total| println!("{}", total_row(total)));
}

fn figure_row(figure: &Figure) -> String {
    let Figure { id, what, unit, kind, median, low, high, samples } = figure;
    let decimals = if matches!(kind, FigureKind::Time | FigureKind::Path) { 2 } else { 1 };
    format!(
        "| `{id}` | {median:.decimals$} | {low:.decimals$} | {high:.decimals$} | {samples} | {unit} | {what} |"
    )
}

fn role_row(role: &Role) -> String {
    format!(
        "| {} | {:.0} | {} | {:.1} | {:.3} | {:.2} | {:.1} | {:.2} | {:.2} | {} |",
        role.role,
        role.holders,
        role.state,
        role.messages_per_s,
        role.cpu * 100.0,
        role.memory_bytes / 1e6,
        role.reads_per_s,
        role.writes_per_s,
        role.bytes_per_s / 1e3,
        role.mechanism
    )
}

fn total_row(total: &Total) -> String {
    let Total { what, unit, value, limit } = total;
    format!("| {what} | {value:.2} {unit} | {limit} {unit} | {:.2} |", value / limit)
}
