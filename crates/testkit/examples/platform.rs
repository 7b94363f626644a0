//! Runs the test double of the platform's configuration service as a separate process.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio_util::sync::CancellationToken;

use jackdawpin_testkit::platform::Adapter;
use jackdawpin_testkit::platform::CONFIG_KEY;
use jackdawpin_testkit::platform::VM_LIST_KEY;
use jackdawpin_testkit::platform::watch_file;

/// Serves configuration documents.
#[derive(Debug, Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on", meta = "IP:PORT", required)]
    listen: Option<SocketAddr>,
    #[options(help = "file with the configuration", meta = "FILE", no_short)]
    config: Option<PathBuf>,
    #[options(help = "file with the VM list", meta = "FILE", no_short)]
    vms: Option<PathBuf>,
}

#[tokio::main(worker_threads = 2)]
async fn main() -> ExitCode {
    match run(Flags::parse_args_default_or_exit()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("platform: {err}");
            ExitCode::FAILURE
        }
    }
}

async fn run(flags: Flags) -> io::Result<()> {
    let listen = flags.listen.ok_or(io::ErrorKind::InvalidInput)?;
    let cancel = CancellationToken::new();
    let adapter = Adapter::default();
    for (key, file) in [(CONFIG_KEY, flags.config), (VM_LIST_KEY, flags.vms)] {
        let Some(file) = file else { continue };
        // The key must have its value before the first call can arrive.
        adapter.put(key, std::fs::read(&file)?);
        let adapter = adapter.clone();
        let cancel = cancel.clone();
        tokio::spawn(async move { watch_file(adapter, key, &file, &cancel).await });
    }
    let running = adapter.start(listen, &cancel).await?;
    eprintln!("platform: listening on {}", running.address);
    signal(SignalKind::terminate())?.recv().await;
    cancel.cancel();
    Ok(())
}
