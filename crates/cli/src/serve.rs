//! `trefoilring serve`: runs one host until a signal or a drain request stops it.
//!
//! With `--platform` the host runs as a gateway on the users' platform, which provides the settings
//! file.

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
    trefoilring_config::settings::{EXIT_USAGE, PLATFORM_FLAG, RawSettings, Settings},
    trefoilring_gateway::{Command, Gateway},
    trefoilring_host::{Host, observe},
    trefoilring_observe::decisions::Decisions,
    trefoilring_platform::read_settings,
};

/// Interval at which the settings file is checked for changes, since a change may come without a
/// SIGHUP.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(3);

/// Runs one host. The first SIGTERM or SIGINT drains it, the second stops it immediately.
pub(crate) fn run(matches: &ArgMatches) -> ExitCode {
    if let Some(path) = matches.get_one::<PathBuf>(PLATFORM_FLAG) {
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
    let _log_writer = observe::log::init(LevelFilter::Info, &host)?;
    let decisions = Decisions::start(&host, std::io::stdout())?;
    let commands = commands(path.to_path_buf())?;
    let path = path.to_path_buf();
    let reload = move || match read_settings(&path) {
        Ok(settings) => Ok(settings.gateway),
        Err(error) => Err(error.to_string()),
    };
    let gateway = settings.gateway.clone();
    let adapter = move |connections| trefoilring_platform::adapter(&settings, connections);
    Gateway::run(gateway, adapter, decisions, Box::new(reload), commands, |_| ())?;
    Ok(())
}

fn serve(settings: Settings) -> Result<(), Box<dyn std::error::Error>> {
    let level = settings.log_level.to_string().parse()?;
    let _log_writer = observe::log::init(level, &settings.host)?;
    let stop = stop_signals()?;
    let host = Host::start(settings).map_err(|report| format!("{report:?}"))?;
    // A process that started this one with port 0 reads the bound addresses from this line.
    println!("callers {} peers {}", host.callers_address(), host.peers_address());
    smol::block_on(async {
        let stop_requested = smol::future::or(
            async {
                // The channel closes only when the signal thread ends, that is, with the process.
                let _ = stop.recv().await;
            },
            host.drain_requested(),
        );
        stop_requested.await;
        log::info!("stopping");
        let forced_stop = async {
            let _ = stop.recv().await;
            log::warn!(
                "signal received while draining: stopping without waiting for requests in flight"
            );
        };
        smol::future::or(host.drain(), forced_stop).await;
    });
    Ok(())
}

/// Returns a channel that receives a command for each signal and for each change of the settings
/// file's modification time.
fn commands(path: PathBuf) -> io::Result<smol::channel::Receiver<Command>> {
    let (sender, receiver) = smol::channel::unbounded();
    forward_signals(&[SIGTERM, SIGINT, SIGHUP], sender.clone(), |signal| match signal {
        SIGHUP => Command::Reload,
        _ => Command::Stop,
    })?;
    let modified = move || std::fs::metadata(&path).and_then(|data| data.modified()).ok();
    let watch_file = move || {
        let mut last_modified = modified();
        loop {
            std::thread::sleep(SETTINGS_POLL_INTERVAL);
            let current = modified();
            if current != last_modified && sender.send_blocking(Command::Reload).is_err() {
                return;
            }
            last_modified = current;
        }
    };
    std::thread::Builder::new().name("settings".into()).spawn(watch_file)?;
    Ok(receiver)
}

/// Returns a channel that receives one message for each SIGTERM or SIGINT.
fn stop_signals() -> io::Result<smol::channel::Receiver<()>> {
    let (sender, receiver) = smol::channel::unbounded();
    forward_signals(&[SIGTERM, SIGINT], sender, |_| ())?;
    Ok(receiver)
}

/// Starts a thread that sends a message for each signal until the channel is closed.
fn forward_signals<T: Send + 'static>(
    signals: &[i32],
    sender: smol::channel::Sender<T>,
    message: impl Fn(i32) -> T + Send + 'static,
) -> io::Result<()> {
    let mut signals = Signals::new(signals)?;
    let forward = move || {
        for signal in signals.forever() {
            if sender.send_blocking(message(signal)).is_err() {
                return;
            }
        }
    };
    std::thread::Builder::new().name("signals".into()).spawn(forward)?;
    Ok(())
}
