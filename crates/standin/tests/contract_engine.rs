//! Contract tests of the model engine: the client against the stand-in over a socket.

mod common;

use {
    common::{SHORT_TIMEOUT, TIMEOUT, deadline, set_faults, wait_until},
    serde_json::json,
    smol::{Task, block_on},
    std::time::Instant,
    trefoilring_clients::{
        CacheEventKind, CallError, ChatAssembler, ChatRequest, ChatStream, Engine, ErrorKind,
        ModelOrder, OrderKind,
    },
    trefoilring_core::{message::Message, verdict::Verdict},
    trefoilring_standin::{
        Faults, HangPhase, Outage, RunningStandin,
        engine::{EngineStandin, Options, start, text},
    },
};

/// Speed-up over real time, to keep the tests short.
const TIME_SCALE: f64 = 50.0;

fn start_with_client() -> (RunningStandin<EngineStandin>, Engine) {
    let engine = start(Options { time_scale: TIME_SCALE, ..Options::default() }).unwrap();
    let client = Engine::new(engine.address()).with_timeout(TIMEOUT);
    (engine, client)
}

fn turn(program: &str, messages: &[Message], tokens: u64) -> ChatRequest {
    let options = json!({ "max_tokens": tokens, "temperature": 0 });
    ChatRequest {
        program: program.into(),
        model: "m".into(),
        messages: messages.to_vec(),
        options: options.as_object().unwrap().clone(),
        resume_id: None,
        fencing_epoch: None,
        deadline: deadline(),
    }
}

fn user(text: &str) -> Message {
    Message::text("user", text)
}

async fn finish(stream: &mut ChatStream) -> Result<ChatAssembler, CallError> {
    let mut assembler = ChatAssembler::default();
    while let Some(event) = stream.next().await {
        assembler.push(&event?);
    }
    Ok(assembler)
}

async fn run(client: &Engine, request: ChatRequest) -> Result<ChatAssembler, CallError> {
    finish(&mut client.chat(request).await?).await
}

#[test]
fn a_second_turn_finds_the_first_one_cached() {
    let (engine, client) = start_with_client();
    block_on(async {
        let mut history = vec![user(&"first question ".repeat(100))];
        let first = run(&client, turn("j.a", &history, 40)).await.unwrap();
        assert_eq!(first.message(), Message::text("assistant", &text::answer(&history, 40)));
        assert_eq!(first.finish_reason(), Some("stop"));
        let usage = first.usage().unwrap();
        assert_eq!(
            (usage.prompt_tokens, usage.cached_tokens, usage.completion_tokens),
            (375, 0, 40)
        );
        history.extend([first.message(), user("and then?")]);
        let second = run(&client, turn("j.a", &history, 40)).await.unwrap();
        let usage = second.usage().unwrap();
        assert_eq!((usage.prompt_tokens, usage.cached_tokens), (375 + 40 + 3, 375 + 40));
        // A different first message gives another answer and shares no cached prefix.
        history[0] = user("changed");
        let other = run(&client, turn("j.a", &history, 40)).await.unwrap();
        assert_ne!(other.message(), second.message());
        assert_eq!(other.usage().unwrap().cached_tokens, 0);
        assert_eq!(engine.stats().finished, 3);
    });
}

#[test]
fn hundreds_of_streams_share_the_batch() {
    const STREAMS: usize = 300;
    const TOKENS: u64 = 20;
    /// Memory for all streams at once: prompts have fewer than ten tokens.
    const CAPACITY_TOKENS: u64 = STREAMS as u64 * (TOKENS + 10);
    let options = Options { kv_capacity_tokens: CAPACITY_TOKENS, ..Options::default() };
    let max_batch = options.max_batch as u64;
    let engine = start(options).unwrap();
    let client = Engine::new(engine.address()).with_timeout(TIMEOUT);
    block_on(async {
        // A turn that reserves nearly all memory blocks the streams until all of them are queued,
        // however long the test's threads take to send them.
        let blocking_turn = turn("j.holder", &[user("long")], CAPACITY_TOKENS - 10);
        let mut blocking_turn = client.chat(blocking_turn).await.unwrap();
        assert!(blocking_turn.next().await.unwrap().is_ok());
        let streams: Vec<_> = (0..STREAMS)
            .map(|number| {
                let (client, messages) = (client.clone(), vec![user(&number.to_string())]);
                smol::spawn(async move {
                    let complete = run(&client, turn("j.a", &messages, TOKENS)).await.unwrap();
                    assert_eq!(complete.message().content, json!(text::answer(&messages, TOKENS)));
                })
            })
            .collect();
        // A stream that has already ended has failed; awaiting it below panics with the cause.
        wait_until("all streams in the queue", || {
            engine.load().waiting == STREAMS as u64 || streams.iter().any(Task::is_finished)
        })
        .await;
        let steps_before = engine.stats().steps;
        drop(blocking_turn);
        for stream in streams {
            stream.await;
        }
        let stats = engine.stats();
        assert_eq!((stats.finished, stats.cancelled), (STREAMS as u64, 1));
        assert_eq!(stats.largest_batch, max_batch, "{stats:?}");
        assert!(stats.steps - steps_before < STREAMS as u64 * TOKENS, "{stats:?}");
    });
}

#[test]
fn dropping_a_stream_cancels_the_turn() {
    let engine = start(Options::default()).unwrap();
    let client = Engine::new(engine.address());
    block_on(async {
        let mut stream = client.chat(turn("j.a", &[user("long")], 16_000)).await.unwrap();
        assert!(stream.next().await.unwrap().is_ok());
        drop(stream);
        wait_until("the cancellation", || engine.stats().cancelled == 1).await;
        wait_until("an empty batch", || engine.load().running == 0).await;
        assert!(engine.stats().generated_tokens < 16_000);
    });
}

#[test]
fn an_interrupted_stream_resumes_after_the_last_received_event() {
    let (engine, client) = start_with_client();
    let messages = [user("question")];
    let resumable_turn =
        || ChatRequest { resume_id: Some("r-1".into()), ..turn("j.a", &messages, 50) };
    block_on(async {
        let complete = text::answer(&messages, 50);
        for seen in [1, 7, 50, 51] {
            let mut stream = client.chat(resumable_turn()).await.unwrap();
            let mut text = String::new();
            while stream.events_received() < seen {
                text.push_str(stream.next().await.unwrap().unwrap().content());
            }
            assert_eq!(stream.resume_id(), Some("r-1"));
            drop(stream);
            let mut resumed = client.resume("r-1", seen, deadline()).await.unwrap();
            while let Some(event) = resumed.next().await {
                text.push_str(event.unwrap().content());
            }
            assert_eq!(text, complete, "after {seen}");
        }
        let unknown = client.resume("r-2", 0, deadline()).await.unwrap_err();
        assert_eq!(unknown.kind, ErrorKind::Status(404));
        wait_until("idleness", || engine.load().running + engine.load().waiting == 0).await;
    });
}

#[test]
fn memory_is_held_until_released_and_can_be_exported() {
    let (engine, client) = start_with_client();
    let (other, other_client) = start_with_client();
    let history = [user(&"x".repeat(400))];
    block_on(async {
        run(&client, turn("j.a", &history, 10)).await.unwrap();
        let held = client.cached_programs().await.unwrap();
        assert_eq!((&*held[0].program, held[0].tokens), ("j.a", 110));
        let bytes = client.export("j.a").await.unwrap();
        assert_eq!(client.export("j.b").await.unwrap_err().kind, ErrorKind::Status(404));
        other_client.import("j.a", bytes.clone()).await.unwrap();
        other_client.import("j.a", bytes).await.unwrap();
        let moved = run(&other_client, turn("j.a", &history, 10)).await.unwrap();
        assert_eq!(moved.usage().unwrap().cached_tokens, 100);
        for _ in 0..2 {
            client.release("j.a").await.unwrap();
            assert_eq!(client.cached_programs().await.unwrap(), []);
        }
        let refused = other_client.import("j.a", b"no export".to_vec()).await.unwrap_err();
        assert_eq!(refused.kind, ErrorKind::Status(400));
    });
    assert_eq!(engine.load().kv_used_tokens, 0);
    assert_eq!(other.load().kv_used_tokens, 110);
}

#[test]
fn limited_memory_evicts_and_events_are_late_and_lossy() {
    let options = Options { time_scale: TIME_SCALE, kv_capacity_tokens: 280, ..Options::default() };
    let engine = start(options).unwrap();
    let client = Engine::new(engine.address());
    block_on(async {
        for program in ["j.a", "j.b", "j.c"] {
            let history = [user(&program.repeat(100))];
            run(&client, turn(program, &history, 25)).await.unwrap();
        }
        let events = client.cache_events(0).await.unwrap();
        let events_of = |kind: CacheEventKind| -> Vec<(&str, u64)> {
            let of_kind = events.events.iter().filter(|event| event.kind == kind);
            of_kind.map(|event| (&*event.program, event.tokens)).collect()
        };
        assert_eq!(events_of(CacheEventKind::Stored), [("j.a", 100), ("j.b", 100), ("j.c", 100)]);
        assert_eq!(events_of(CacheEventKind::Evicted).first(), Some(&("j.a", 75)));
        assert_eq!(client.cache_events(events.next).await.unwrap().events, []);
        engine.control().change(|faults| faults.cache_event_lose_every = 2);
        let lossy = client.cache_events(0).await.unwrap();
        let sequences: Vec<_> = lossy.events.iter().map(|event| event.sequence).collect();
        assert!(sequences.iter().all(|sequence| sequence % 2 == 1), "{sequences:?}");
        assert_eq!(lossy.next, events.next);
        engine.control().change(|faults| faults.cache_event_delay_ms = 3_600_000);
        assert_eq!(client.cache_events(0).await.unwrap().events, []);
        let too_long = run(&client, turn("j.d", &[user(&"x".repeat(2000))], 1)).await;
        assert_eq!(too_long.unwrap_err().kind, ErrorKind::Status(400));
    });
}

#[test]
fn lag_ms_delays_the_load_report() {
    let engine = start(Options::default()).unwrap();
    let client = Engine::new(engine.address());
    block_on(async {
        let stream = client.chat(turn("j.a", &[user("long")], 16_000)).await.unwrap();
        wait_until("the turn", || engine.load().running == 1).await;
        assert_eq!(client.load().await.unwrap().running, 1);
        engine.control().change(|faults| faults.lag_ms = 3_600_000);
        let load = client.load().await.unwrap();
        assert_eq!((load.running, load.age_ms), (0, 3_600_000));
        drop(stream);
    });
}

#[test]
fn stale_orders_are_refused_if_checks_fencing_is_set() {
    let order = |order, fencing| ModelOrder { order, model: "n".into(), value: None, fencing };
    let cases = [
        (true, vec![(OrderKind::Load, 5, true), (OrderKind::Unload, 4, false)], true),
        (false, vec![(OrderKind::Load, 5, true), (OrderKind::Unload, 4, true)], false),
    ];
    for (checks_fencing, orders, is_served) in cases {
        let engine = start(Options { models: vec!["m".into()], ..Options::default() }).unwrap();
        engine.control().change(|faults| faults.checks_fencing = checks_fencing);
        let client = Engine::new(engine.address());
        block_on(async {
            let request = || ChatRequest { model: "n".into(), ..turn("j.a", &[user("x")], 1) };
            let absent = run(&client, request()).await.unwrap_err();
            assert_eq!(absent.kind, ErrorKind::Status(404));
            for (kind, fencing, is_accepted) in orders {
                let accepted = client.order(order(kind, fencing)).await;
                assert_eq!(accepted.is_ok(), is_accepted, "{checks_fencing} {kind:?}");
                if kind == OrderKind::Load {
                    wait_until("the model", || block_on(run(&client, request())).is_ok()).await;
                }
            }
            assert_eq!(run(&client, request()).await.is_ok(), is_served);
        });
    }
}

#[test]
fn the_verdict_matches_the_effect_under_each_fault() {
    let faults = |change: &dyn Fn(&mut Faults)| {
        let mut faults = Faults::default();
        change(&mut faults);
        faults
    };
    let cases = [
        (
            "unavailable",
            faults(&|f| f.down = Outage::Unavailable),
            Verdict::NotRun,
            ErrorKind::Busy,
        ),
        ("refused", faults(&|f| f.down = Outage::Refused), Verdict::NotRun, ErrorKind::Connect),
        ("closed", faults(&|f| f.down = Outage::Closed), Verdict::MayHaveRun, ErrorKind::Broken),
        ("lost", faults(&|f| f.lose_answer_every = 1), Verdict::MayHaveRun, ErrorKind::Broken),
        ("hang", faults(&|f| f.hang = HangPhase::Before), Verdict::MayHaveRun, ErrorKind::TimedOut),
        ("crash", faults(&|f| f.crash_on = "pois".into()), Verdict::MayHaveRun, ErrorKind::Broken),
    ];
    for (name, faults, verdict, kind) in cases {
        let (engine, client) = start_with_client();
        let timeout = if faults.hang == HangPhase::None { TIMEOUT } else { SHORT_TIMEOUT };
        block_on(set_faults(engine.control(), faults));
        let deadline = Instant::now() + timeout;
        let request = ChatRequest { deadline, ..turn("j.a", &[user("poison")], 5) };
        let error = block_on(run(&client, request)).unwrap_err();
        assert_eq!((error.verdict, error.kind), (verdict, kind), "{name}");
        assert_eq!(engine.control().is_stopped(), name == "crash");
    }
}

#[test]
fn a_crash_or_an_outage_during_a_stream_is_an_error() {
    for is_crash in [true, false] {
        let engine = start(Options::default()).unwrap();
        let client = Engine::new(engine.address());
        block_on(async {
            let mut stream = client.chat(turn("j.a", &[user("long")], 16_000)).await.unwrap();
            assert!(stream.next().await.unwrap().is_ok());
            match is_crash {
                true => engine.control().kill(),
                false => engine.control().change(|faults| faults.down = Outage::Refused),
            }
            let error = finish(&mut stream).await.unwrap_err();
            assert_eq!((error.verdict, error.kind), (Verdict::MayHaveRun, ErrorKind::Broken));
            assert!(stream.next().await.is_none());
        });
    }
}
