//! The report on all runs.

use std::time::Duration;

use super::Run;

/// Two consecutive open-loop runs at half of the saturation rate.
pub(crate) struct Round {
    /// Directly to the backend servers.
    pub(crate) direct: Run,
    /// Through the daemon.
    pub(crate) through: Run,
    /// Processor time of the daemon's threads during `through`.
    pub(crate) cpu_time: Duration,
}

impl Round {
    fn added_us(&self, quantile: f64) -> f64 {
        us(&self.through, quantile) - us(&self.direct, quantile)
    }

    fn calls_per_core(&self) -> f64 {
        self.through.all().len() as f64 / self.cpu_time.as_secs_f64()
    }
}

/// The report on all runs.
pub(crate) struct Report {
    /// Closed loop, directly to the backend servers.
    pub(crate) closed_direct: Run,
    /// Closed loop through the daemon, which gives the saturation rate.
    pub(crate) closed_through: Run,
    /// Rounds at half of the saturation rate.
    pub(crate) rounds: Vec<Round>,
}

impl Report {
    /// Latency that the daemon adds at the 99th percentile, in microseconds.
    pub(crate) fn added_p99_us(&self) -> f64 {
        self.median(|it| it.added_us(0.99))
    }

    /// Calls per second for each core that the daemon's threads used.
    pub(crate) fn calls_per_core(&self) -> f64 {
        self.median(Round::calls_per_core)
    }

    /// Prints the table and the result line.
    pub(crate) fn print(&self) {
        println!(
            "{:<28} {:>9} {:>9} {:>9} {:>10}",
            "run", "p50 us", "p99 us", "p99.9 us", "calls/s"
        );
        print_line("closed, direct", &self.closed_direct);
        print_line("closed, through", &self.closed_through);
        for it in &self.rounds {
            print_line("open, direct", &it.direct);
            print_line("open, through", &it.through);
        }
        self.print_ranks();
        println!(
            "RESULT added_p50_us={:.0} added_p99_us={:.0} added_p999_us={:.0} calls_per_core_s={:.0}",
            self.median(|it| it.added_us(0.5)),
            self.added_p99_us(),
            self.median(|it| it.added_us(0.999)),
            self.calls_per_core(),
        );
    }

    fn print_ranks(&self) {
        for (index, rank) in ["urgent", "normal", "bulk"].iter().enumerate() {
            let latency_us = |quantile| {
                let value = |it: &Round| it.through.by_path[index].value_at_quantile(quantile);
                self.median(|it| value(it) as f64 / 1_000.0)
            };
            let name = format!("through, {rank}, median");
            println!(
                "{name:<28} {:>9.0} {:>9.0} {:>9.0}",
                latency_us(0.5),
                latency_us(0.99),
                latency_us(0.999)
            );
        }
    }

    /// The median of a figure over the rounds.
    fn median(&self, figure: impl Fn(&Round) -> f64) -> f64 {
        let mut figures: Vec<_> = self.rounds.iter().map(figure).collect();
        figures.sort_by(f64::total_cmp);
        figures[figures.len() / 2]
    }
}

fn print_line(name: &str, run: &Run) {
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
