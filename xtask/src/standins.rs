//! Runs the stand-ins until the input ends, with files to run daemons and the command line by hand.

use std::{ffi::OsString, fs, io, net::SocketAddr, path::Path, process::ExitCode};

use fleet::{Fleet, Service, Settings};
use standin::backend;

/// Daemons that settings are written for.
const DAEMONS: u16 = 3;
/// Port of the first daemon for callers; the next ones follow.
const CALLER_PORT: u16 = 18_080;
/// Port of the first daemon for peers.
const PEER_PORT: u16 = 17_000;
/// Port of the first daemon for operators.
const ADMIN_PORT: u16 = 19_100;

const HELP: &str = "\
usage: cargo xtask standins FOLDER

Starts a log, a host list and nine backend servers on loopback, and writes into FOLDER:
  document.ini     a configuration document for the backend servers
  daemon-N.ini     settings of three daemons
  fireflydrum.ini  settings of the command line
Runs until its input ends or it is interrupted; then everything in the log is gone.
";

/// Runs the command.
pub(crate) fn run(mut args: impl Iterator<Item = OsString>) -> ExitCode {
    let Some(folder) = args.next() else {
        eprint!("{HELP}");
        return ExitCode::from(2);
    };
    match serve(Path::new(&folder)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("standins: {e}");
            ExitCode::FAILURE
        }
    }
}

fn serve(folder: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let services = Service::one_per_rank(backend::Settings::default());
    let fleet = Fleet::start_standins(Settings { daemons: 0, services, ..Settings::default() })?;
    write_files(folder, &fleet)?;
    print_steps(folder);
    io::copy(&mut io::stdin(), &mut io::sink())?;
    Ok(())
}

fn write_files(folder: &Path, fleet: &Fleet) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    fs::write(folder.join("document.ini"), fleet.document())?;
    for number in 0..DAEMONS {
        let path = folder.join(format!("daemon-{}.ini", number + 1));
        fs::write(path, daemon_settings(number, fleet.log.address(), fleet.hosts.address()))?;
    }
    let admins: Vec<_> = (0..DAEMONS).map(|it| format!("127.0.0.1:{}", ADMIN_PORT + it)).collect();
    let text = format!(
        "[fireflydrum]\nlog_address = {}\nadmin_addresses = {}\nteam = operations\n",
        fleet.log.address(),
        admins.join(", "),
    );
    fs::write(folder.join("fireflydrum.ini"), text)
}

fn daemon_settings(number: u16, log: SocketAddr, hosts: SocketAddr) -> String {
    let domain = ["a", "b", "c"][usize::from(number) % 3];
    format!(
        "[daemon]\ncaller_address = 127.0.0.1:{}\npeer_address = 127.0.0.1:{}\n\
         admin_address = 127.0.0.1:{}\nlog_address = {log}\nhosts_address = {hosts}\n\
         peers = 127.0.0.1:{PEER_PORT}\npeers_token = loopback-fleet-token\ndomain = {domain}\n",
        CALLER_PORT + number,
        PEER_PORT + number,
        ADMIN_PORT + number,
    )
}

fn print_steps(folder: &Path) {
    let folder = folder.display();
    println!("The stand-ins run until this command's input ends (Ctrl-D) or Ctrl-C. Elsewhere:");
    println!("  cargo run --release -p daemon -- {folder}/daemon-1.ini");
    println!(
        "  cargo run --release -p cli -- --settings {folder}/fireflydrum.ini publish \
         {folder}/document.ini"
    );
    println!("  curl -i http://127.0.0.1:{CALLER_PORT}/stock/1");
}
