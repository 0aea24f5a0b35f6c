//! `trefoilring serve`: one host, until it is told to stop.
//!
//! With `--platform` the host runs as a gateway on the users' platform, which fills in the settings.

use {
    clap::ArgMatches,
    log::LevelFilter,
    signal_hook::{
        consts::{SIGHUP, SIGINT, SIGTERM},
        iterator::Signals,
    },
    std::{
        io,
        path::{Path, PathBuf},
        process::ExitCode,
        time::Duration,
    },
    trefoilring_config::settings::{EXIT_USAGE, PLATFORM, RawSettings, Settings},
    trefoilring_gateway::{Command, Gateway},
    trefoilring_host::{Host, observe},
    trefoilring_observe::decisions::Decisions,
    trefoilring_platform::read_settings,
};

/// How often the settings file is looked at for changes that no signal told of.
const SETTINGS_LOOKED_AT_EVERY: Duration = Duration::from_secs(3);

/// Runs one host. The first SIGTERM or SIGINT stops it gracefully, the second at once.
pub(crate) fn run(matches: &ArgMatches) -> ExitCode {
    if let Some(path) = matches.get_one::<PathBuf>(PLATFORM) {
        return match serve_on_platform(path) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("error: {error}");
                ExitCode::FAILURE
            }
        };
    }
    let settings = match Settings::try_from(RawSettings::from(matches)) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_USAGE as u8);
        }
    };
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:?}");
            ExitCode::FAILURE
        }
    }
}

fn serve_on_platform(path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let settings = read_settings(path)?;
    let host = settings.gateway.host.to_string();
    observe::log::init(LevelFilter::Info, &host)?;
    let decisions = Decisions::start(&host, std::io::stdout())?;
    let commands = commands(path.to_path_buf())?;
    let path = path.to_path_buf();
    let read_again = move || match read_settings(&path) {
        Ok(settings) => Ok(settings.gateway),
        Err(error) => Err(error.to_string()),
    };
    let gateway = settings.gateway.clone();
    let adapter = move |connections| trefoilring_platform::adapter(&settings, connections);
    Gateway::run(gateway, adapter, decisions, Box::new(read_again), commands, |_| ())?;
    Ok(())
}

fn serve(settings: Settings) -> Result<(), Box<dyn std::error::Error>> {
    let level = settings.log_level.to_string().parse()?;
    observe::log::init(level, &settings.host)?;
    let stop = stop_signals()?;
    let host = Host::start(settings).map_err(|report| format!("{report:?}"))?;
    // One line on standard output, so that whoever asked for port 0 learns what was bound.
    println!("callers {} peers {}", host.callers_address(), host.peers_address());
    smol::block_on(async {
        let asked = smol::future::or(
            async {
                // The channel closes only when the signal thread ends, with the process.
                let _ = stop.recv().await;
            },
            host.drain_requested(),
        );
        asked.await;
        log::info!("stopping");
        let at_once = async {
            let _ = stop.recv().await;
            log::warn!("stopped at once");
        };
        smol::future::or(host.drain(), at_once).await;
    });
    Ok(())
}

/// Passes on what signals ask for, and that the settings file has changed, which it may do without
/// one.
fn commands(path: PathBuf) -> io::Result<smol::channel::Receiver<Command>> {
    let (sender, receiver) = smol::channel::unbounded();
    pass_on_signals(&[SIGTERM, SIGINT, SIGHUP], sender.clone(), |signal| match signal {
        SIGHUP => Command::Reload,
        _ => Command::Stop,
    })?;
    let modified = move || std::fs::metadata(&path).and_then(|data| data.modified()).ok();
    let watch_file = move || {
        let mut known = modified();
        loop {
            std::thread::sleep(SETTINGS_LOOKED_AT_EVERY);
            let now = modified();
            if now != known && sender.send_blocking(Command::Reload).is_err() {
                return;
            }
            known = now;
        }
    };
    std::thread::Builder::new().name("settings".into()).spawn(watch_file)?;
    Ok(receiver)
}

/// Passes SIGTERM and SIGINT on, one message each.
fn stop_signals() -> io::Result<smol::channel::Receiver<()>> {
    let (sender, receiver) = smol::channel::unbounded();
    pass_on_signals(&[SIGTERM, SIGINT], sender, |_| ())?;
    Ok(receiver)
}

/// Sends a message for each signal, from a thread of its own, until nobody listens.
fn pass_on_signals<T: Send + 'static>(
    signals: &[i32],
    sender: smol::channel::Sender<T>,
    message: impl Fn(i32) -> T + Send + 'static,
) -> io::Result<()> {
    let mut signals = Signals::new(signals)?;
    let pass_on = move || {
        for signal in signals.forever() {
            if sender.send_blocking(message(signal)).is_err() {
                return;
            }
        }
    };
    std::thread::Builder::new().name("signals".into()).spawn(pass_on)?;
    Ok(())
}
