use {
    super::*,
    log::Level,
    std::io::{BufRead, BufReader},
};

fn warn(logger: &JsonLogger, place: u32, message: &str) {
    logger.log(
        &Record::builder()
            .level(Level::Warn)
            .target("test")
            .module_path_static(Some("test"))
            .line(Some(place))
            .args(format_args!("{message}"))
            .build(),
    );
}

/// Guards against a host that stands still because nobody reads its standard error.
#[test]
fn unread_log_stops_nobody_and_tells_what_it_dropped() {
    const LINES: u32 = 2000;
    let (reader, pipe) = io::pipe().expect("descriptors");
    let (logger, writer) = JsonLogger::start(LevelFilter::Warn, "host-1", pipe);
    let message = "x".repeat(1000);
    // Far more than the pipe and the buffer hold, from many places.
    for place in 0..LINES {
        warn(&logger, place, &message);
    }
    let counter = logger.dropped_counter().expect("a counter");
    assert!(counter.dropped_lines() > 0);
    let read = std::thread::spawn(move || {
        let lines = BufReader::new(reader).lines().map_while(Result::ok);
        let lines: Vec<serde_json::Value> =
            lines.map(|line| serde_json::from_str(&line).expect("each line is JSON")).collect();
        lines
    });
    // Once the reader goes on, a line has room again.
    let mut place = LINES;
    loop {
        let before = counter.dropped_lines();
        place += 1;
        warn(&logger, place, "again");
        if counter.dropped_lines() == before {
            break;
        }
    }
    drop(writer);
    drop(logger);
    let lines = read.join().expect("no panic");
    let told: u64 = lines.iter().filter_map(|line| line["dropped"].as_u64()).sum();
    assert_eq!(lines.len() as u64 + told, u64::from(place), "each line is written or counted");
}

#[test]
fn lines_of_one_place_have_a_rate_and_messages_a_size() {
    let (reader, pipe) = io::pipe().expect("descriptors");
    let (logger, writer) = JsonLogger::start(LevelFilter::Warn, "host-1", pipe);
    let message = "\u{e9}".repeat(MESSAGE_BYTES_MAX);
    for _ in 0..10 * LINES_PER_S {
        warn(&logger, 1, "repeated");
    }
    warn(&logger, 2, &message);
    drop(writer);
    drop(logger);
    let lines = BufReader::new(reader).lines().map_while(Result::ok);
    let messages: Vec<String> = lines
        .map(|line| {
            let line: serde_json::Value = serde_json::from_str(&line).expect("JSON");
            line["message"].as_str().expect("text").to_string()
        })
        .collect();
    let repeated = messages.iter().filter(|message| *message == "repeated").count();
    // The loop may take longer than the period of the rate.
    assert!((LINES_PER_S as usize..10 * LINES_PER_S as usize).contains(&repeated), "{repeated}");
    assert_eq!(messages.last().map(String::len), Some(MESSAGE_BYTES_MAX));
}
