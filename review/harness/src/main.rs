//! The scripts of the cases: `review-harness CASE RECORD`. Exits with 1 if the rule was broken and
//! with 0 if it held. With `TROUBLE=0` in the environment the disruption is left out.
//!
//! `fuzz` and `quota` are no cases: they play random faults with the seed in `SEED`, for `LENGTH`
//! seconds, and check the budgets of programs and the quota of a team. `fuzz` freezes, kills and wipes
//! store machines with `FREEZE=1`, `KILL=1` and `WIPE=1`, kills all of them with `HERD=1`, and freezes
//! gateways with `GATEWAYS=1`; `quota` takes `RATE` and `BURST`.

mod budget;
mod crashing;
mod fuzz;
mod gone;
mod quota;
mod site;
mod workers;

use {site::Record, std::process::ExitCode};

/// Whether the rule held.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-harness CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&path);
    // A panic means that the case could not run.
    let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
        let record = &record;
        match case.as_str() {
            "budget" => {
                Some(site::run(async |executor| budget::run(executor, record, has_trouble).await))
            }
            "crashing" => {
                Some(site::run(async |executor| crashing::run(executor, record, has_trouble).await))
            }
            "gone" => {
                Some(site::run(async |executor| gone::run(executor, record, has_trouble).await))
            }
            "fuzz" => {
                Some(site::run(async |executor| fuzz::run(executor, record, has_trouble).await))
            }
            "quota" => {
                Some(site::run(async |executor| quota::run(executor, record, has_trouble).await))
            }
            _ => None,
        }
    }));
    match verdict {
        Ok(Some(Verdict::Held)) => ExitCode::SUCCESS,
        Ok(Some(Verdict::Broken)) => ExitCode::from(1),
        Ok(None) | Err(_) => ExitCode::from(2),
    }
}
