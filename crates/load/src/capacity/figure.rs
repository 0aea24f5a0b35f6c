//! Figures with their spread, and the clocks and counters that they come from.

use {
    super::CapacityError,
    error_stack::{Report, ResultExt},
    std::{
        fs,
        time::{Duration, Instant},
    },
};

/// Repetitions of a time measurement; odd, so that the median is one of them.
const SAMPLES: usize = 7;
/// Processor time of one repetition at least. The kernel counts it in steps of a few milliseconds.
const SAMPLE_CPU: Duration = Duration::from_millis(60);
/// Size of a page, as on all machines that run the tests.
const PAGE_BYTES: f64 = 4096.0;

/// How a figure comes about, and so how closely it comes out again.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Counted or in virtual time: the same on every machine.
    Counted,
    /// Processor time: depends on the machine and on what else it does.
    Time,
    /// Processor time of a short run of whole hosts: depends on how often their threads wake up,
    /// and differs several times over between runs.
    Path,
    /// Resident memory: depends on the allocator.
    Memory,
}

impl Kind {
    /// The factor by which a figure may differ from the page when it is measured again.
    pub fn tolerance(self) -> f64 {
        match self {
            Self::Counted => 1.02,
            Self::Time => 3.0,
            Self::Path => 8.0,
            Self::Memory => 1.5,
        }
    }
}

/// One measured slope or count.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Figure {
    /// Names it in tables.
    pub id: String,
    /// What was measured.
    pub what: String,
    /// Its unit.
    pub unit: &'static str,
    /// How it comes about.
    pub kind: Kind,
    /// The median of all repetitions.
    pub median: f64,
    /// The least.
    pub low: f64,
    /// The greatest.
    pub high: f64,
    /// Repetitions.
    pub samples: usize,
}

/// All figures of one run, in order.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Figures {
    /// The figures.
    pub all: Vec<Figure>,
}

impl Figures {
    /// Adds a figure from its repetitions. Adding none is an error of the caller.
    pub fn add(
        &mut self,
        kind: Kind,
        id: impl Into<String>,
        unit: &'static str,
        what: impl Into<String>,
        mut samples: Vec<f64>,
    ) {
        samples.sort_by(f64::total_cmp);
        let at = |index: usize| samples.get(index).copied().unwrap_or(f64::NAN);
        self.all.push(Figure {
            id: id.into(),
            what: what.into(),
            unit,
            kind,
            median: at(samples.len() / 2),
            low: at(0),
            high: at(samples.len().saturating_sub(1)),
            samples: samples.len(),
        });
    }

    /// Adds a figure that is the same in each run.
    pub fn count(&mut self, id: impl Into<String>, unit: &'static str, what: &str, value: f64) {
        self.add(Kind::Counted, id, unit, what, vec![value]);
    }

    /// Adds processor time of one operation, in microseconds. `run` does some operations and
    /// returns how many; it runs until a repetition is long enough.
    pub fn time(
        &mut self,
        id: impl Into<String>,
        what: &str,
        mut run: impl FnMut() -> Result<u64, Report<CapacityError>>,
    ) -> Result<(), Report<CapacityError>> {
        let mut samples = Vec::with_capacity(SAMPLES);
        for _ in 0..SAMPLES {
            samples.push(sample_us(&mut run)?);
        }
        self.add(Kind::Time, id, "us", what, samples);
        Ok(())
    }

    /// The median of a figure.
    pub fn get(&self, id: &str) -> Result<f64, Report<CapacityError>> {
        self.find(id, |figure| figure.median)
    }

    /// The greatest repetition of a figure.
    pub fn highest(&self, id: &str) -> Result<f64, Report<CapacityError>> {
        self.find(id, |figure| figure.high)
    }

    fn find(&self, id: &str, value: fn(&Figure) -> f64) -> Result<f64, Report<CapacityError>> {
        let figure = self.all.iter().find(|figure| figure.id == id);
        let value = figure.map(value).filter(|value| value.is_finite());
        value.ok_or_else(|| Report::new(CapacityError).attach(format!("no figure {id}")))
    }
}

fn sample_us(
    run: &mut impl FnMut() -> Result<u64, Report<CapacityError>>,
) -> Result<f64, Report<CapacityError>> {
    let started = current_thread_cpu()?;
    let mut operations = 0;
    loop {
        operations += run()?;
        let spent = current_thread_cpu()?.saturating_sub(started);
        if spent >= SAMPLE_CPU {
            return Ok(spent.as_secs_f64() * 1e6 / operations.max(1) as f64);
        }
    }
}

/// Processor time of this thread so far. Time in which others run does not count, so that a busy
/// machine changes little.
pub fn current_thread_cpu() -> Result<Duration, Report<CapacityError>> {
    read_cpu("/proc/thread-self/schedstat")
}

fn read_cpu(path: &str) -> Result<Duration, Report<CapacityError>> {
    let text = fs::read_to_string(path).change_context(CapacityError)?;
    let nanos = text.split(' ').next().and_then(|field| field.parse().ok());
    let nanos =
        nanos.ok_or_else(|| Report::new(CapacityError).attach(format!("{path}: {text}")))?;
    Ok(Duration::from_nanos(nanos))
}

/// Processor time and number of the threads of this process whose name `accepts` takes.
pub fn threads_cpu(
    accepts: impl Fn(&str) -> bool,
) -> Result<(Duration, usize), Report<CapacityError>> {
    let mut total = Duration::ZERO;
    let mut count = 0;
    for thread in fs::read_dir("/proc/self/task").change_context(CapacityError)? {
        let path = thread.change_context(CapacityError)?.path();
        // A thread may end while the list is read; what it used is then lost to the sum.
        let Ok(name) = fs::read_to_string(path.join("comm")) else { continue };
        if !accepts(name.trim_end()) {
            continue;
        }
        let Ok(cpu) = read_cpu(&path.join("schedstat").to_string_lossy()) else { continue };
        total += cpu;
        count += 1;
    }
    Ok((total, count))
}

/// Resident memory of this process in bytes.
pub fn resident_bytes() -> Result<f64, Report<CapacityError>> {
    let text = fs::read_to_string("/proc/self/statm").change_context(CapacityError)?;
    let pages = text.split(' ').nth(1).and_then(|field| field.parse::<f64>().ok());
    let pages = pages.ok_or_else(|| Report::new(CapacityError).attach(text))?;
    Ok(pages * PAGE_BYTES)
}

/// Memory that each of `count` items takes, in bytes. Memory that was freed before and is used
/// again is not seen, so this belongs into a process of its own.
pub fn memory_per_item<T>(
    count: usize,
    make: impl FnOnce() -> Result<T, Report<CapacityError>>,
) -> Result<f64, Report<CapacityError>> {
    let before = resident_bytes()?;
    let items = make()?;
    let bytes = resident_bytes()? - before;
    drop(items);
    Ok(bytes / count as f64)
}

/// Memory of one large thing: that of each of several, after others have taken up what was freed
/// while they were prepared.
pub fn memory_of_large_item<T>(
    mut make: impl FnMut() -> Result<T, Report<CapacityError>>,
) -> Result<f64, Report<CapacityError>> {
    const ABSORBING: usize = 4;
    const MEASURED: usize = 4;
    let mut make_many = |count| (0..count).map(|_| make()).collect::<Result<Vec<T>, _>>();
    let absorbing = make_many(ABSORBING)?;
    let bytes = memory_per_item(MEASURED, || make_many(MEASURED))?;
    drop(absorbing);
    Ok(bytes)
}

/// Time on the wall since a moment, in seconds.
pub fn seconds_since(start: Instant) -> f64 {
    start.elapsed().as_secs_f64()
}
