//! Starts the initiators of an experiment as separate processes in front of the stub targets of a site.

use crate::failure::Failure;
use rowanglade_capture::{Header, own_log};
use rowanglade_test_fleet::{Daemon, DaemonPlan, StubSite, TargetPlan, settings};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// The zone of all targets and initiators.
pub const ZONE: &str = "kingston";

/// Plan of a target with the given service times in milliseconds per request class.
pub fn target_plan(view: u64, deposit: u64, export: u64) -> TargetPlan {
    let service_times = [("view", view), ("deposit", deposit), ("export", export)];
    TargetPlan {
        service_times: service_times.map(|(class, ms)| (class.to_string(), Duration::from_millis(ms))).into(),
        ..TargetPlan::default()
    }
}

/// Starts `count` daemons that serve the targets of `site`. `operator` returns the text of each daemon's
/// operator file, or `None` for a daemon without one.
pub fn start_daemons(
    site: &StubSite,
    header: &Header,
    count: usize,
    operator: impl Fn(usize) -> Option<String>,
) -> Result<Vec<Daemon>, Failure> {
    start_daemons_with(site, header, count, |number, plan| plan.operator = operator(number))
}

/// Starts daemons as [`start_daemons`] does; `change` adjusts the plan of each before it starts.
pub fn start_daemons_with(
    site: &StubSite,
    header: &Header,
    count: usize,
    change: impl Fn(usize, &mut DaemonPlan),
) -> Result<Vec<Daemon>, Failure> {
    let settings = settings(header, count, ZONE, site.targets.len());
    let mut daemons = Vec::new();
    for number in 0..count {
        let mut plan = DaemonPlan {
            name: format!("lab-{number}"),
            program: std::env::current_exe()?,
            args: vec!["rowanglade".into()],
            settings: settings.clone(),
            discovery: site.discovery.addr(),
            sockets: 1_024,
            memory_mb: 192,
            operator: None,
            handover: None,
            env: Vec::new(),
        };
        plan.settings["my-number"] = number.into();
        change(number, &mut plan);
        daemons.push(Daemon::start(&plan)?);
    }
    Ok(daemons)
}

/// Addresses of the daemons' HTTP fronts.
pub fn addresses(daemons: &[Daemon]) -> Vec<SocketAddr> {
    daemons.iter().map(|d| d.http).collect()
}

/// Reads volume and status of each line of a daemon's access log. Waits up to 2 s for the log to have
/// `min_lines` lines.
pub async fn access_log(daemon: &Daemon, min_lines: u64) -> Result<Vec<(u64, u16)>, Failure> {
    let path = daemon.folder().join("access.log");
    let until = Instant::now() + Duration::from_secs(2);
    loop {
        let text = std::fs::read(&path)?;
        let lines: Vec<&[u8]> = text.split_inclusive(|b| *b == b'\n').collect();
        if lines.len() as u64 >= min_lines || Instant::now() >= until {
            let parse = |line: &&[u8]| -> Result<(u64, u16), Failure> {
                let entry =
                    own_log::parse(line)?.ok_or(Failure::Unexpected("the access log has an empty line"))?;
                let known = entry
                    .logged
                    .as_ref()
                    .ok_or(Failure::Unexpected("a line of the access log has no volume"))?;
                Ok((known.volume, entry.status))
            };
            return lines.iter().map(parse).collect();
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
