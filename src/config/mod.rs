//! The configuration: the platform's JSON, the environment and the operator's files, read, checked and
//! completed with defaults.
//!
//! Each table of the operator's files has a module of its own, which checks it and gives what the program
//! uses.

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

/// The name of an initiator that the configuration does not name.
const DEFAULT_NAME: &str = "rowanglade";

/// The whole configuration, checked.
#[derive(Debug)]
pub struct Config {
    /// The initiator's name.
    pub name: String,
    /// Where clients of the HTTP front connect.
    pub listen: SocketAddr,
    /// Discovery's address; none where targets are listed by the configuration alone.
    pub discovery: Option<SocketAddr>,
    /// Where the admin listener is; none turns it off.
    pub admin: Option<SocketAddr>,
    /// The folder through which this process and its successor find each other; none turns handover off.
    pub handover_dir: Option<PathBuf>,
    /// The seed of the initiator's random numbers.
    pub seed: u64,
    /// The endpoint list that was known before, for the time until discovery answers.
    pub cached_list: Option<EndpointPage>,
    /// The other initiators as the platform gives them; none where draining targets are not reported to them.
    pub gossip_peers: Option<PeerAddresses>,
    /// Classes, plans and rules.
    pub settings: Settings,
    /// Memory and descriptors that the program may use.
    pub limits: Limits,
    /// The iSCSI-style front; none turns it off.
    pub iscsi: Option<Iscsi>,
    /// Where requests are logged; none turns the log off.
    pub access_log: Option<AccessLog>,
    /// Routes and their expectations.
    pub routing: Routing,
    /// The other initiators; none turns the exchange of quota with them off.
    pub quota_peers: Option<FleetPeers>,
    /// When a site is ejected; none turns the monitoring of sites off.
    pub sites: Option<SiteSettings>,
    /// The targets that this initiator prefers for new objects; none prefers none.
    pub subset: Option<Subset>,
}

impl Config {
    /// Reads the environment, the file that `LB_CONFIG` names, and the operator's files.
    ///
    /// # Errors
    /// A file cannot be read, a key is missing, or a value is not valid; the error names the key.
    pub fn load(env: impl Fn(&str) -> Option<String>, operator: &[PathBuf]) -> Result<Config, ConfigError> {
        let path = env("LB_CONFIG").ok_or_else(|| ConfigError::new("LB_CONFIG", "is not set"))?;
        let file = PlatformFile::read(Path::new(&path))?;
        let peers = file.peer_addresses()?;
        let listen = Setting::find(&env, "LB_LISTEN", "listen", file.listen)
            .ok_or_else(|| ConfigError::new("LB_LISTEN", "is not set, and the file has no `listen`"))?;
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
    /// The settings are not valid; the error names the key.
    pub fn build_scheduler(&self) -> Result<(Scheduler, Names), ConfigError> {
        let mut names = Names::default();
        let settings = self.settings.translate(&mut names);
        let scheduler = settings
            .and_then(|settings| Scheduler::new(settings, self.seed))
            .map_err(|error| ConfigError::new(format!("settings.{}", error.field), error.problem))?;
        Ok((scheduler, names))
    }
}
