//! What the demo prints.

use {
    super::scenario::{Outcome, ProgramLine},
    trefoilring_site::Site,
};

/// Prints the outcome as a table, or as JSON.
pub(super) fn print(outcome: &Outcome, is_json: bool) {
    if is_json {
        match serde_json::to_string_pretty(outcome) {
            Ok(text) => println!("{text}"),
            Err(error) => eprintln!("error: {error}"),
        }
        return;
    }
    println!(
        "{:<38} {:<12} {:<9} {:>5} {:>9} {:>9} {:>7} {:>7}  entries > home",
        "program", "user", "class", "turns", "latency", "target", "cached", "effects"
    );
    outcome.programs.iter().for_each(print_line);
    println!("\n{}", outcome.checked);
    for fault in &outcome.faults {
        println!("FAULT: {fault}");
    }
}

fn print_line(line: &ProgramLine) {
    let cached_percent = 100 * line.cached_tokens / line.prompt_tokens.max(1);
    println!(
        "{:<38} {:<12} {:<9} {:>5} {:>6} ms {:>6} ms {:>6}% {:>7}  {} > {}",
        line.program,
        line.user,
        line.class,
        line.turns,
        line.latency_ms,
        line.target_ms,
        cached_percent,
        line.effects,
        line.entries.join(","),
        line.home,
    );
}

/// Prints where the site listens and what to try.
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
