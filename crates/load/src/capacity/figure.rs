//! Measured values (figures) with their range over repetitions, and the clocks and counters used to
//! measure them.

use {
    super::CapacityError,
    error_stack::{Report, ResultExt},
    std::{
        fs,
        time::{Duration, Instant},
    },
};

/// Repetitions of a time measurement. The number is odd, so that the median is a measured value.
const SAMPLES: usize = 7;
/// Minimum processor time of one repetition. The kernel accounts processor time in steps of a few
/// milliseconds, so shorter repetitions would be inaccurate.
const SAMPLE_CPU: Duration = Duration::from_millis(60);
/// Assumed size of a memory page; it holds on all machines that run the measurements.
const PAGE_BYTES: f64 = 4096.0;

/// How a figure is measured, which determines how well it can be reproduced.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FigureKind {
    /// A count or a virtual time. It is the same on every machine.
    Counted,
    /// Processor time. It depends on the machine and its other load.
    Time,
    /// Processor time of a short run of hosts with all their threads. It depends on how often the
    /// threads wake up, and varies by a factor of several between runs.
    Path,
    /// Resident memory. It depends on the allocator.
    Memory,
}

impl FigureKind {
    /// Returns the factor by which a new measurement may differ from the recorded figure.
    pub fn tolerance(self) -> f64 {
        match self {
            Self::Counted => 1.02,
            Self::Time => 3.0,
            Self::Path => 8.0,
            Self::Memory => 1.5,
        }
    }
}

/// One measured value, such as the cost of an operation or a count.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Figure {
    /// Identifier in the tables.
    pub id: String,
    /// Description for the tables.
    pub what: String,
    /// Unit of `median`, `low` and `high`.
    pub unit: &'static str,
    /// How it is measured.
    pub kind: FigureKind,
    /// Median of all repetitions.
    pub median: f64,
    /// Lowest repetition.
    pub low: f64,
    /// Highest repetition.
    pub high: f64,
    /// Number of repetitions.
    pub samples: usize,
}

/// All figures of one run, in order.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Figures {
    /// Figures in the order in which they were measured.
    pub all: Vec<Figure>,
}

impl Figures {
    /// Adds a figure from its repetitions, of which there must be at least one.
    pub fn add(
        &mut self,
        kind: FigureKind,
        id: impl Into<String>,
        unit: &'static str,
        description: impl Into<String>,
        mut samples: Vec<f64>,
    ) {
        samples.sort_by(f64::total_cmp);
        let sample = |index: usize| samples.get(index).copied().unwrap_or(f64::NAN);
        self.all.push(Figure {
            id: id.into(),
            what: description.into(),
            unit,
            kind,
            median: sample(samples.len() / 2),
            low: sample(0),
            high: sample(samples.len().saturating_sub(1)),
            samples: samples.len(),
        });
    }

    /// Adds a figure that is the same in every run.
    pub fn add_constant(
        &mut self,
        id: impl Into<String>,
        unit: &'static str,
        description: &str,
        value: f64,
    ) {
        self.add(FigureKind::Counted, id, unit, description, vec![value]);
    }

    /// Measures and adds the processor time of one operation, in microseconds. `run` performs some
    /// operations and returns their number. It is called until the repetition has used
    /// `SAMPLE_CPU`.
    pub fn measure_cpu_time(
        &mut self,
        id: impl Into<String>,
        description: &str,
        mut run: impl FnMut() -> Result<u64, Report<CapacityError>>,
    ) -> Result<(), Report<CapacityError>> {
        let mut samples = Vec::with_capacity(SAMPLES);
        for _ in 0..SAMPLES {
            samples.push(cpu_us_per_operation(&mut run)?);
        }
        self.add(FigureKind::Time, id, "us", description, samples);
        Ok(())
    }

    /// Returns the median of a figure.
    pub fn get(&self, id: &str) -> Result<f64, Report<CapacityError>> {
        self.find(id, |figure| figure.median)
    }

    /// Returns the highest repetition of a figure.
    pub fn highest(&self, id: &str) -> Result<f64, Report<CapacityError>> {
        self.find(id, |figure| figure.high)
    }

    fn find(&self, id: &str, value: fn(&Figure) -> f64) -> Result<f64, Report<CapacityError>> {
        let figure = self.all.iter().find(|figure| figure.id == id);
        let value = figure.map(value).filter(|value| value.is_finite());
        value.ok_or_else(|| {
            Report::new(CapacityError).attach(format!("figure {id} was not measured"))
        })
    }
}

fn cpu_us_per_operation(
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

/// Returns the processor time of this thread so far. Time spent by other threads is not included,
/// so other load on the machine has little effect.
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

/// Returns the total processor time so far and the number of the threads of this process whose name
/// satisfies `accepts`.
pub fn threads_cpu(
    accepts: impl Fn(&str) -> bool,
) -> Result<(Duration, usize), Report<CapacityError>> {
    let mut total = Duration::ZERO;
    let mut count = 0;
    for thread in fs::read_dir("/proc/self/task").change_context(CapacityError)? {
        let path = thread.change_context(CapacityError)?.path();
        // A thread may end while the list is read. Its processor time is then not included.
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

/// Returns the resident memory of this process in bytes.
pub fn resident_bytes() -> Result<f64, Report<CapacityError>> {
    let text = fs::read_to_string("/proc/self/statm").change_context(CapacityError)?;
    let pages = text.split(' ').nth(1).and_then(|field| field.parse::<f64>().ok());
    let pages = pages.ok_or_else(|| Report::new(CapacityError).attach(text))?;
    Ok(pages * PAGE_BYTES)
}

/// Returns the growth of resident memory per item of `count` items, in bytes. Items placed in
/// memory that was freed earlier don't increase the resident size, so this must run in a new
/// process.
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

/// Returns the memory of one large item, as the mean over several. Other items are created first,
/// to use up the memory that was freed during preparation.
pub fn memory_of_large_item<T>(
    mut make: impl FnMut() -> Result<T, Report<CapacityError>>,
) -> Result<f64, Report<CapacityError>> {
    const WARM_UP_ITEMS: usize = 4;
    const MEASURED_ITEMS: usize = 4;
    let mut make_many = |count| (0..count).map(|_| make()).collect::<Result<Vec<T>, _>>();
    let warm_up_items = make_many(WARM_UP_ITEMS)?;
    let bytes = memory_per_item(MEASURED_ITEMS, || make_many(MEASURED_ITEMS))?;
    drop(warm_up_items);
    Ok(bytes)
}

/// Returns the elapsed time since `start` in seconds.
pub fn seconds_since(start: Instant) -> f64 {
    start.elapsed().as_secs_f64()
}
