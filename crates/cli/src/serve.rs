//! `trefoilring serve`: one host, until it is told to stop.
//!
//! With `--platform` the host runs as a gateway on the users' platform, which fills in the settings.

use {
    clap::ArgMatches,
    log::LevelFilter,
    signal_hook::{
        consts::{SIGINT, SIGTERM},
        iterator::Signals,
    },
    std::{
        io,
        path::{Path, PathBuf},
        process::ExitCode,
    },
    trefoilring_config::settings::{EXIT_USAGE, PLATFORM, RawSettings, Settings},
    trefoilring_gateway::Gateway,
    trefoilring_host::{Host, observe},
    trefoilring_observe::decisions::Decisions,
    trefoilring_platform::read_settings,
};

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
    let stop = stop_signals()?;
    let gateway = settings.gateway.clone();
    let adapter = move |connections| trefoilring_platform::adapter(&settings, connections);
    Gateway::run(gateway, adapter, decisions, stop)?;
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

/// Passes SIGTERM and SIGINT on, one message each.
fn stop_signals() -> io::Result<smol::channel::Receiver<()>> {
    let (sender, receiver) = smol::channel::unbounded();
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let pass_on = move || {
        for _ in signals.forever() {
            if sender.send_blocking(()).is_err() {
                return;
            }
        }
    };
    std::thread::Builder::new().name("signals".into()).spawn(pass_on)?;
    Ok(receiver)
}
