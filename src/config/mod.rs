//! The configuration: the platform's JSON file, the environment and the operator's TOML files. They are read,
//! checked and completed with defaults.
//!
//! Each table of the operator's files has a module of its own, which checks the table and converts it to the
//! type that the program uses.

mod access_log;
mod error;
mod fleet;
mod iscsi;
mod limits;
mod operator;
mod platform;
mod reload;
mod routing;
mod sites;
mod subset;
mod summary;

use crate::core::SiteSettings;
use crate::names::Names;
use crate::net::drain_gossip::PeerAddresses;
use crate::net::http::EndpointPage;
use crate::net::quota_exchange::FleetPeers;
use crate::scheduler::Scheduler;
use crate::settings::Settings;
use operator::OperatorFiles;
use platform::{PlatformFile, Setting};
use rowanglade_subset::Subset;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

pub use access_log::AccessLog;
pub use error::ConfigError;
pub use iscsi::{Iscsi, Portal};
pub use limits::Limits;
pub use reload::Reload;
pub use routing::{RouteEvaluation, Routing};

/// The initiator's name if the configuration sets none.
const DEFAULT_NAME: &str = "rowanglade";

/// The checked configuration of a process.
#[derive(Debug)]
pub struct Config {
    /// The initiator's name.
    pub name: String,
    /// The address that the HTTP front listens on.
    pub listen: SocketAddr,
    /// The address of discovery; absent if the configuration alone lists the targets.
    pub discovery: Option<SocketAddr>,
    /// The address of the admin listener; absent if it is turned off.
    pub admin: Option<SocketAddr>,
    /// The folder in which this process and its successor find each other; absent if handover is turned off.
    pub handover_dir: Option<PathBuf>,
    /// The seed of the initiator's random numbers.
    pub seed: u64,
    /// The endpoint list that is used until discovery answers.
    pub cached_list: Option<EndpointPage>,
    /// The addresses for drain gossip; absent if draining targets are not reported to other initiators.
    pub gossip_peers: Option<PeerAddresses>,
    /// Request classes, QoS plans and scheduling rules.
    pub settings: Settings,
    /// The memory and file descriptors that the process may use.
    pub limits: Limits,
    /// The iSCSI-style front; absent if it is turned off.
    pub iscsi: Option<Iscsi>,
    /// The access log; absent if it is turned off.
    pub access_log: Option<AccessLog>,
    /// Routes, and the expectations that they must meet.
    pub routing: Routing,
    /// The initiators that quota is exchanged with; absent if the quota exchange is turned off.
    pub quota_peers: Option<FleetPeers>,
    /// When a site is ejected and how it returns; absent if sites are not monitored.
    pub sites: Option<SiteSettings>,
    /// The choice of preferred targets for new objects; absent if all targets are preferred equally.
    pub subset: Option<Subset>,
}

impl Config {
    /// Reads the environment, the file that `LB_CONFIG` names, and the operator's files.
    ///
    /// # Errors
    /// A file cannot be read, a key is missing, or a value is not valid. The error names the key.
    pub fn load(env: impl Fn(&str) -> Option<String>, operator: &[PathBuf]) -> Result<Config, ConfigError> {
        let path = env("LB_CONFIG").ok_or_else(|| ConfigError::new("LB_CONFIG", "is not set"))?;
        let file = PlatformFile::read(Path::new(&path))?;
        let peers = file.peer_addresses()?;
        let listen = Setting::find(&env, "LB_LISTEN", "listen", file.listen).ok_or_else(|| {
            ConfigError::new("LB_LISTEN", "is not set, and the configuration file has no `listen`")
        })?;
        let operator = OperatorFiles::read(operator)?;
        let routing = Routing::parse(&operator.sources, file.settings.routing())?;
        let tables = operator.tables;
        let iscsi = tables.iscsi.map(|table| table.check(&file.settings)).transpose()?;
        let sites = tables.sites.map(|table| table.check(&file.settings)).transpose()?;
        let subset = tables.subset.map(|table| table.check(&file.settings)).transpose()?;
        let config = Config {
            name: Setting::find(&env, "LB_NAME", "name", file.name)
                .map_or(DEFAULT_NAME.to_string(), |name| name.value),
            listen: listen.address()?,
            discovery: Setting::find_address(&env, "LB_DISCOVERY", "discovery", file.discovery)?,
            admin: Setting::find_address(&env, "LB_ADMIN", "admin", file.admin)?,
            handover_dir: env("TMPDIR").map(PathBuf::from),
            seed: platform::seed(file.seed.as_deref())?,
            cached_list: file.known,
            gossip_peers: peers,
            settings: file.settings,
            limits: file.limits.check()?,
            iscsi,
            access_log: tables.access_log.map(AccessLog::check).transpose()?,
            routing,
            quota_peers: tables.fleet.map(|table| table.check()).transpose()?,
            sites,
            subset,
        };
        config.build_scheduler()?;
        Ok(config)
    }

    /// Builds the scheduler and the table of names from the settings.
    ///
    /// # Errors
    /// The settings are not valid. The error names the key.
    pub fn build_scheduler(&self) -> Result<(Scheduler, Names), ConfigError> {
        let mut names = Names::default();
        let settings = self.settings.translate(&mut names);
        let scheduler = settings
            .and_then(|settings| Scheduler::new(settings, self.seed))
            .map_err(|error| ConfigError::new(format!("settings.{}", error.field), error.problem))?;
        Ok((scheduler, names))
    }
}
