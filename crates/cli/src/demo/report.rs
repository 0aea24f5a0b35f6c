//! Prints the demo's result.

use {
    super::scenario::{Outcome, ProgramRow},
    trefoilring_site::Site,
};

/// Prints the outcome as a table, or as JSON.
pub(super) fn print(outcome: &Outcome, as_json: bool) {
    if as_json {
        match serde_json::to_string_pretty(outcome) {
            Ok(text) => println!("{text}"),
            Err(error) => eprintln!("error: {error}"),
        }
        return;
    }
    println!(
        "{:<38} {:<12} {:<9} {:>5} {:>9} {:>9} {:>7} {:>7}  entry hosts > home",
        "program", "user", "class", "turns", "latency", "target", "cached", "effects"
    );
    outcome.programs.iter().for_each(print_program);
    println!("\n{}", outcome.checked);
    for fault in &outcome.faults {
        println!("FAULT: {fault}");
    }
}

fn print_program(row: &ProgramRow) {
    let cached_percent = 100 * row.cached_tokens / row.prompt_tokens.max(1);
    println!(
        "{:<38} {:<12} {:<9} {:>5} {:>6} ms {:>6} ms {:>6}% {:>7}  {} > {}",
        row.program,
        row.user,
        row.class,
        row.turns,
        row.latency_ms,
        row.target_ms,
        cached_percent,
        row.effects,
        row.entries.join(","),
        row.home,
    );
}

/// Prints the addresses of the site and example requests.
pub(super) fn print_addresses(site: &Site) {
    for (name, host) in site.hosts() {
        println!(
            "{name}: callers http://{} peers {}",
            host.callers_address(),
            host.peers_address()
        );
    }
    println!("object API http://{}", site.objects.address());
    println!("host list http://{}", site.host_list.address());
    let Some(host) = site.hosts().values().next() else { return };
    let address = host.callers_address();
    println!(
        "\ntry, from another terminal:\n\
         curl -s http://{address}/v1/programs -H 'Authorization: Bearer \
         demo-kaalachakra-malabar-till-1' -H 'Content-Type: application/json' \
         -d '{{\"class\":\"counter\"}}'\n\
         curl -sN http://{address}/v1/chat/completions -H 'Authorization: Bearer \
         demo-kaalachakra-malabar-till-1' -H 'Content-Type: application/json' \
         -d '{{\"model\":\"appraiser-7b\",\"stream\":true,\"max_tokens\":32,\"messages\":\
         [{{\"role\":\"user\",\"content\":\"hello\"}}]}}'\n\
         curl -s http://{address}/metrics\n\
         interrupt with Ctrl-C to stop"
    );
}
