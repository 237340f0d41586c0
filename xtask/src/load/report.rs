//! What the runs say together.

use std::time::Duration;

use super::Run;

/// What the runs say together.
pub(crate) struct Report {
    /// Closed loop, straight to the backend servers.
    pub(crate) closed_direct: Run,
    /// Closed loop through the daemon: saturation.
    pub(crate) closed_through: Run,
    /// Open loop at half of saturation, straight to the backend servers.
    pub(crate) open_direct: Run,
    /// Open loop at half of saturation, through the daemon.
    pub(crate) open_through: Run,
    /// Processor time of the daemon's threads during `open_through`.
    pub(crate) spent: Duration,
}

impl Report {
    /// Added latency of 99 in 100 calls at half of saturation, in microseconds.
    pub(crate) fn added_p99_us(&self) -> f64 {
        self.added_us(0.99)
    }

    /// Calls a second for each core that the daemon's threads used.
    pub(crate) fn calls_per_core(&self) -> f64 {
        self.open_through.all().len() as f64 / self.spent.as_secs_f64()
    }

    /// Prints the table and the result line.
    pub(crate) fn print(&self) {
        println!(
            "{:<28} {:>9} {:>9} {:>9} {:>10}",
            "run", "p50 us", "p99 us", "p99.9 us", "calls/s"
        );
        line("closed, direct", &self.closed_direct);
        line("closed, through", &self.closed_through);
        line("open, direct", &self.open_direct);
        line("open, through", &self.open_through);
        for (rank, it) in ["urgent", "normal", "bulk"].iter().zip(&self.open_through.by_path) {
            let at = |quantile| it.value_at_quantile(quantile) as f64 / 1_000.0;
            let name = format!("  of it {rank}");
            println!("{name:<28} {:>9.0} {:>9.0} {:>9.0}", at(0.5), at(0.99), at(0.999));
        }
        println!(
            "RESULT added_p50_us={:.0} added_p99_us={:.0} added_p999_us={:.0} calls_per_core_s={:.0}",
            self.added_us(0.5),
            self.added_p99_us(),
            self.added_us(0.999),
            self.calls_per_core(),
        );
    }

    fn added_us(&self, quantile: f64) -> f64 {
        us(&self.open_through, quantile) - us(&self.open_direct, quantile)
    }
}

fn line(name: &str, run: &Run) {
    println!(
        "{name:<28} {:>9.0} {:>9.0} {:>9.0} {:>10.0}",
        us(run, 0.5),
        us(run, 0.99),
        us(run, 0.999),
        run.calls_per_s(),
    );
}

fn us(run: &Run, quantile: f64) -> f64 {
    run.all().value_at_quantile(quantile) as f64 / 1_000.0
}
