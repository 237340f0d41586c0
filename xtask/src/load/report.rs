//! What the runs say together.

use std::time::Duration;

use super::Run;

/// Two open runs at half of saturation, one after the other.
pub(crate) struct Round {
    /// Straight to the backend servers.
    pub(crate) direct: Run,
    /// Through the daemon.
    pub(crate) through: Run,
    /// Processor time of the daemon's threads during `through`.
    pub(crate) spent: Duration,
}

impl Round {
    fn added_us(&self, quantile: f64) -> f64 {
        us(&self.through, quantile) - us(&self.direct, quantile)
    }

    fn calls_per_core(&self) -> f64 {
        self.through.all().len() as f64 / self.spent.as_secs_f64()
    }
}

/// What the runs say together.
pub(crate) struct Report {
    /// Closed loop, straight to the backend servers.
    pub(crate) closed_direct: Run,
    /// Closed loop through the daemon: saturation.
    pub(crate) closed_through: Run,
    /// Rounds at half of saturation.
    pub(crate) rounds: Vec<Round>,
}

impl Report {
    /// Added latency of 99 in 100 calls at half of saturation, in microseconds.
    pub(crate) fn added_p99_us(&self) -> f64 {
        self.median(|it| it.added_us(0.99))
    }

    /// Calls a second for each core that the daemon's threads used.
    pub(crate) fn calls_per_core(&self) -> f64 {
        self.median(Round::calls_per_core)
    }

    /// Prints the table and the result line.
    pub(crate) fn print(&self) {
        println!(
            "{:<28} {:>9} {:>9} {:>9} {:>10}",
            "run", "p50 us", "p99 us", "p99.9 us", "calls/s"
        );
        line("closed, direct", &self.closed_direct);
        line("closed, through", &self.closed_through);
        for it in &self.rounds {
            line("open, direct", &it.direct);
            line("open, through", &it.through);
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
        for (place, rank) in ["urgent", "normal", "bulk"].iter().enumerate() {
            let at = |quantile| {
                let value = |it: &Round| it.through.by_path[place].value_at_quantile(quantile);
                self.median(|it| value(it) as f64 / 1_000.0)
            };
            let name = format!("through, {rank}, median");
            println!("{name:<28} {:>9.0} {:>9.0} {:>9.0}", at(0.5), at(0.99), at(0.999));
        }
    }

    /// The median of a figure over the rounds.
    fn median(&self, figure: impl Fn(&Round) -> f64) -> f64 {
        let mut figures: Vec<_> = self.rounds.iter().map(figure).collect();
        figures.sort_by(f64::total_cmp);
        figures[figures.len() / 2]
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
