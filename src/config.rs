//! The one place where configuration is read, checked and given defaults: the environment and the JSON that
//! the platform hands over.

use crate::core::Watch;
use crate::names::Names;
use crate::net::fleet::Peers;
use crate::net::http::Page;
use crate::net::iscsi::Lun;
use crate::rules::Gateway;
use crate::settings::Settings;
use rowanglade_fleet_state::{Peer, wire::key};
use rowanglade_routing::check::Decision;
use rowanglade_routing::{BoxInfo, Report, Rules, Source, Terms, Verdict};
use rowanglade_sites::Rules as SiteRules;
use rowanglade_subset::{Rule, Subset};
use serde::Deserialize;
use serde::de::IgnoredAny;
use std::collections::HashMap;
use std::fmt;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// All that the program is told.
#[derive(Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: Option<SocketAddr>,
    /// Where operators call; absent: nowhere.
    pub admin: Option<SocketAddr>,
    /// Where this process and one that replaces it meet; absent: none can.
    pub meeting: Option<PathBuf>,
    pub seed: u64,
    pub known: Option<Page>,
    pub settings: Settings,
    pub limits: Limits,
    /// The second front; absent where no operator set it up.
    pub iscsi: Option<Iscsi>,
    /// Absent where no operator set it up.
    pub access_log: Option<AccessLog>,
    pub routing: Routing,
    /// Absent where instances do not talk to each other.
    pub fleet: Option<Peers>,
    /// Absent where sites are not judged.
    pub sites: Option<Watch>,
    /// Absent where no target is preferred to others.
    pub subset: Option<Subset>,
}

/// Routes and expectations, and what of the settings they are about.
#[derive(Clone, Debug, Default)]
pub struct Routing {
    pub rules: Rules,
    pub terms: Terms,
}

impl Routing {
    /// Holds the expectations against the routes and these boxes; it may take a second where there are thousands.
    pub fn check(&self, boxes: &[BoxInfo]) -> Report {
        rowanglade_routing::check(&self.rules.table, &self.rules.expectations, &self.terms, boxes)
    }

    /// Whether these may be loaded, and what an operator should read of it.
    pub fn decide(&self, boxes: &[BoxInfo]) -> Decided {
        let report = self.check(boxes);
        Decided {
            decision: report.decision(&self.rules.expectations),
            lines: report.lines(&self.rules.expectations),
            open: report.findings.iter().any(|f| matches!(f.verdict, Verdict::NotYet { .. })),
        }
    }
}

/// What is to become of routes.
#[derive(Clone, Debug, PartialEq)]
pub struct Decided {
    pub decision: Decision,
    /// What an operator should read of it.
    pub lines: Vec<String>,
    /// The list's next news may decide more.
    pub open: bool,
}

/// Where requests are logged, as an operator's file says.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccessLog {
    pub path: PathBuf,
    /// Lines that may wait for the disk.
    #[serde(default = "default_queue")]
    pub queue: usize,
}

fn default_queue() -> usize {
    4_096
}

/// The most lines that may wait: some hundred bytes each.
const MOST_QUEUED: usize = 65_536;

impl AccessLog {
    fn check(self) -> Result<AccessLog, ConfigError> {
        if self.path.as_os_str().is_empty() {
            return Err(ConfigError::new("access_log.path", "is empty"));
        }
        if !(1..=MOST_QUEUED).contains(&self.queue) {
            let problem = format!("{} is not between 1 and {MOST_QUEUED}", self.queue);
            return Err(ConfigError::new("access_log.queue", problem));
        }
        Ok(self)
    }
}

/// The iSCSI-style front, as an operator's file sets it up.
#[derive(Debug, PartialEq)]
pub struct Iscsi {
    pub listen: SocketAddr,
    /// The name of the target that sessions log in to, and of the initiator in sessions that go out.
    pub name: String,
    pub blocks_per_unit: u32,
    pub login_timeout: Duration,
    pub silence: Duration,
    pub luns: HashMap<u64, Lun>,
    pub targets: Vec<Portal>,
}

/// A target that speaks the iSCSI-style protocol.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Portal {
    pub name: String,
    pub addr: SocketAddr,
    #[serde(default)]
    pub zone: String,
    pub shard: u32,
}

/// A key that cannot be used, and why.
#[derive(Debug, PartialEq, Eq)]
pub struct ConfigError {
    pub key: String,
    pub problem: String,
}

impl ConfigError {
    pub fn new(key: impl Into<String>, problem: impl fmt::Display) -> ConfigError {
        ConfigError { key: key.into(), problem: problem.to_string() }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "configuration: {}: {}", self.key, self.problem)
    }
}

impl std::error::Error for ConfigError {}

/// The platform's JSON, of which the environment may repeat the first fields.
#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    admin: Option<String>,
    seed: Option<String>,
    known: Option<Page>,
    settings: Settings,
    #[serde(default)]
    limits: Limits,
}

/// What the platform lets the program use.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct Limits {
    pub memory_mb: usize,
    pub sockets: usize,
}

/// Descriptors that are neither a client's nor a target's: listeners, the log, discovery, the runtime's own.
pub const OWN_SOCKETS: usize = 24;
const FEWEST_SOCKETS: usize = 64;
const LEAST_MEMORY_MB: usize = 16;

impl Default for Limits {
    fn default() -> Limits {
        Limits { memory_mb: 192, sockets: 1_024 }
    }
}

impl Limits {
    fn check(self) -> Result<Limits, ConfigError> {
        let least = |key: &str, value: usize, least: usize| match value < least {
            true => Err(ConfigError::new(key, format!("{value} is under {least}"))),
            false => Ok(()),
        };
        least("limits.memory_mb", self.memory_mb, LEAST_MEMORY_MB)?;
        least("limits.sockets", self.sockets, FEWEST_SOCKETS)?;
        Ok(self)
    }

    /// These limits without what another part of the program takes out of them first.
    pub fn less(self, sockets: usize) -> Limits {
        Limits { sockets: self.sockets.saturating_sub(sockets).max(FEWEST_SOCKETS), ..self }
    }

    /// Connections that targets may have. Busy ones are few: the module bounds the units out at each.
    pub fn target_sockets(&self) -> usize {
        (self.sockets - OWN_SOCKETS) * 3 / 8
    }

    /// Sessions of the second front, where it is on.
    pub fn sessions(&self) -> usize {
        (self.sockets - OWN_SOCKETS) / 8
    }

    /// Connections that clients of the platform's front may have.
    pub fn client_sockets(&self, sessions: usize) -> usize {
        self.sockets - OWN_SOCKETS - self.target_sockets() - sessions
    }

    /// How many of these may stand idle for long. The platform's clients hold a third of the descriptors at most,
    /// and need the rest of that third for those that come new.
    pub fn idle_clients(&self) -> usize {
        self.sockets / 12
    }

    /// Bytes that bodies of requests may take up together.
    pub fn body_bytes(&self) -> usize {
        self.memory_mb * (1 << 20) / 4
    }
}

impl Config {
    /// Reads what the variables and the file they name tell, and the operator's file, if there is one.
    pub fn load(env: impl Fn(&str) -> Option<String>, operator: &[PathBuf]) -> Result<Config, ConfigError> {
        let path = env("LB_CONFIG").ok_or_else(|| ConfigError::new("LB_CONFIG", "is not set"))?;
        let file = File::read(Path::new(&path))?;
        // The variables win: they are what the process itself was started with.
        let pick = |variable: &str, key: &str, value: Option<String>| {
            env(variable).map(|v| (variable.to_string(), v)).or(value.map(|v| (key.to_string(), v)))
        };
        let address = |(key, value): (String, String)| {
            value.parse::<SocketAddr>().map_err(|e| ConfigError::new(key, format!("{value:?}: {e}")))
        };
        let listen = pick("LB_LISTEN", "listen", file.listen)
            .ok_or_else(|| ConfigError::new("LB_LISTEN", "is not set, and the file has no `listen`"))?;
        let (operator, sources) = Operator::read(operator)?;
        let terms = file.settings.routing();
        let rules = rowanglade_routing::parse(&sources, &terms)
            .map_err(|e| ConfigError::new(e.origin.trim_end_matches(": "), e.problem))?;
        let iscsi = operator.iscsi.map(|table| table.check(&file.settings)).transpose()?;
        let sites = operator.sites.map(|sites| sites.check(&file.settings)).transpose()?;
        let subset = operator.subset.map(|subset| subset.check(&file.settings)).transpose()?;
        let config = Config {
            name: pick("LB_NAME", "name", file.name).map_or("rowanglade".to_string(), |(_, name)| name),
            listen: address(listen)?,
            discovery: pick("LB_DISCOVERY", "discovery", file.discovery).map(address).transpose()?,
            admin: pick("LB_ADMIN", "admin", file.admin).map(address).transpose()?,
            meeting: env("TMPDIR").map(PathBuf::from),
            seed: match file.seed.as_deref() {
                Some(seed) => u64::from_str_radix(seed, 16)
                    .map_err(|e| ConfigError::new("seed", format!("{seed:?}: {e}")))?,
                // Instances that drew the same numbers would all choose alike.
                None => RandomState::new().build_hasher().finish(),
            },
            known: file.known,
            settings: file.settings,
            limits: file.limits.check()?,
            iscsi,
            access_log: operator.access_log.map(AccessLog::check).transpose()?,
            routing: Routing { rules, terms },
            fleet: operator.fleet.map(FleetTable::check).transpose()?,
            sites,
            subset,
        };
        config.decide()?;
        Ok(config)
    }

    /// The module and the names, from the settings.
    pub fn decide(&self) -> Result<(Gateway, Names), ConfigError> {
        let mut names = Names::default();
        let settings = self.settings.translate(&mut names);
        let gateway = settings
            .and_then(|s| Gateway::new(s, self.seed))
            .map_err(|e| ConfigError::new(format!("settings.{}", e.field), e.problem))?;
        Ok((gateway, names))
    }
}

/// What a running program takes over from a file that was replaced; all else waits for its next start.
#[derive(Clone, Debug)]
pub struct Reload {
    pub discovery: Option<SocketAddr>,
    pub routing: Routing,
}

/// Files are read twice, this far apart, when they are read again: one that is being written is left alone.
const SETTLED: Duration = Duration::from_millis(50);

impl Reload {
    /// Reads the file again. Its address of discovery wins here: the variable tells what held at the start.
    pub fn load(env: impl Fn(&str) -> Option<String>, operator: &[PathBuf]) -> Result<Reload, ConfigError> {
        let texts = || operator.iter().map(|p| std::fs::read(p).ok()).collect::<Vec<_>>();
        let before = texts();
        std::thread::sleep(SETTLED);
        let at_start = |name: &str| env(name).filter(|_| name != "LB_DISCOVERY");
        let config = Config::load(at_start, operator)?;
        if before != texts() {
            return Err(ConfigError::new("--operator", "a file changed while it was read"));
        }
        Ok(Reload { discovery: config.discovery, routing: config.routing })
    }
}

impl fmt::Display for Config {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let classes: Vec<&str> = self.settings.classes().map(|(name, _)| name).collect();
        let plans: Vec<&str> = self.settings.plans().collect();
        let discovery = self.discovery.map_or("none".to_string(), |a| a.to_string());
        writeln!(f, "name {}  listen {}  discovery {discovery}", self.name, self.listen)?;
        write!(f, "classes {}  plans {}", classes.join(" "), plans.join(" "))?;
        match self.admin {
            None => write!(f, "\noperators' calls: off")?,
            Some(admin) => write!(f, "\noperators' calls: {admin}")?,
        }
        match &self.iscsi {
            None => write!(f, "\niSCSI-style front: off")?,
            Some(i) => {
                let (luns, targets) = (i.luns.len(), i.targets.len());
                write!(f, "\niSCSI-style front: {} on {}, {luns} LUNs, {targets} targets", i.name, i.listen)?;
            }
        }
        match &self.access_log {
            None => write!(f, "\naccess log: off")?,
            Some(log) => write!(f, "\naccess log: {}", log.path.display())?,
        }
        match self.routing.rules.table.routes().len() {
            0 => write!(f, "\nroutes: none"),
            routes => {
                let pools = self.routing.rules.table.pools().len();
                let expectations = self.routing.rules.expectations.len();
                write!(f, "\nroutes: {routes}, {pools} pools, {expectations} expectations")
            }
        }
    }
}

impl File {
    fn read(path: &Path) -> Result<File, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|e| ConfigError::new("LB_CONFIG", e))?;
        serde_json::from_str(&text).map_err(|e| ConfigError::new("LB_CONFIG", e))
    }
}

/// The operator's file.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Operator {
    iscsi: Option<IscsiTable>,
    access_log: Option<AccessLog>,
    fleet: Option<FleetTable>,
    sites: Option<SitesTable>,
    subset: Option<SubsetTable>,
    // What routing reads for itself.
    #[serde(rename = "pool")]
    _pool: Option<IgnoredAny>,
    #[serde(rename = "route")]
    _route: Option<IgnoredAny>,
    #[serde(rename = "expect")]
    _expect: Option<IgnoredAny>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct IscsiTable {
    listen: SocketAddr,
    name: String,
    #[serde(default = "default_blocks_per_unit")]
    blocks_per_unit: u32,
    #[serde(default = "default_login_timeout_ms")]
    login_timeout_ms: u64,
    #[serde(default = "default_silence_ms")]
    silence_ms: u64,
    #[serde(default)]
    volume: Vec<VolumeTable>,
    #[serde(default)]
    target: Vec<Portal>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct VolumeTable {
    lun: String,
    plan: Option<String>,
    /// Absent: its writes are new objects, which any target can take.
    shard: Option<u32>,
    #[serde(default)]
    hosts: u32,
}

fn default_blocks_per_unit() -> u32 {
    8
}

fn default_login_timeout_ms() -> u64 {
    500
}

fn default_silence_ms() -> u64 {
    400
}

impl Operator {
    /// Reads files in their order. `iscsi` and `access_log` may stand in one of them; routes, pools and expectations
    /// of an earlier file come before those of a later one.
    fn read(paths: &[PathBuf]) -> Result<(Operator, Vec<Source>), ConfigError> {
        let (mut all, mut sources) = (Operator::default(), Vec::new());
        for path in paths {
            let file = path.display().to_string();
            let text = std::fs::read_to_string(path).map_err(|e| ConfigError::new(&file, e))?;
            // The parser's message shows the line and names the key.
            let operator: Operator = toml::from_str(&text).map_err(|e| ConfigError::new(&file, e))?;
            let twice =
                |key: &str| Err(ConfigError::new(format!("{file}: {key}"), "stands in an earlier file too"));
            match (operator.iscsi, &all.iscsi) {
                (Some(_), Some(_)) => return twice("iscsi"),
                (Some(iscsi), None) => all.iscsi = Some(iscsi),
                (None, _) => {}
            }
            match (operator.fleet, &all.fleet) {
                (Some(_), Some(_)) => return twice("fleet"),
                (Some(fleet), None) => all.fleet = Some(fleet),
                (None, _) => {}
            }
            match (operator.sites, &all.sites) {
                (Some(_), Some(_)) => return twice("sites"),
                (Some(sites), None) => all.sites = Some(sites),
                (None, _) => {}
            }
            match (operator.subset, &all.subset) {
                (Some(_), Some(_)) => return twice("subset"),
                (Some(subset), None) => all.subset = Some(subset),
                (None, _) => {}
            }
            match (operator.access_log, &all.access_log) {
                (Some(_), Some(_)) => return twice("access_log"),
                (Some(log), None) => all.access_log = Some(log),
                (None, _) => {}
            }
            sources.push(Source { name: file, text });
        }
        Ok((all, sources))
    }
}

/// When a site is lost, and how it comes back.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct SitesTable {
    /// The zones that are sites; empty: all.
    names: Vec<String>,
    window_ms: u64,
    part: f64,
    hold_ms: u64,
    longest_hold_ms: u64,
    probe_every_ms: u64,
    slow_times: f64,
}

impl Default for SitesTable {
    fn default() -> SitesTable {
        SitesTable {
            names: Vec::new(),
            window_ms: 1_000,
            part: 0.75,
            hold_ms: 5_000,
            longest_hold_ms: 60_000,
            probe_every_ms: 500,
            slow_times: 3.0,
        }
    }
}

impl SitesTable {
    fn check(self, settings: &Settings) -> Result<Watch, ConfigError> {
        let wrong = |key: &str, problem: String| Err(ConfigError::new(format!("sites.{key}"), problem));
        let spans = [
            ("window_ms", self.window_ms),
            ("hold_ms", self.hold_ms),
            ("longest_hold_ms", self.longest_hold_ms),
            ("probe_every_ms", self.probe_every_ms),
        ];
        // Far above any use, and well inside the range of times.
        if let Some((key, value)) = spans.iter().find(|(_, v)| !(1..=86_400_000).contains(v)) {
            return wrong(key, format!("{value} is not from 1 to 86400000"));
        }
        if !(self.part > 0.5 && self.part <= 1.0) {
            return wrong("part", format!("{} is not over 0.5 and up to 1", self.part));
        }
        if self.longest_hold_ms < self.hold_ms {
            return wrong("longest_hold_ms", format!("{} is under sites.hold_ms", self.longest_hold_ms));
        }
        if !(self.slow_times > 1.0 && self.slow_times.is_finite()) {
            return wrong("slow_times", format!("{} is not over 1", self.slow_times));
        }
        for (i, name) in self.names.iter().enumerate() {
            if !settings.zones().contains(name) {
                return wrong(&format!("names[{i}]"), format!("{name:?} is no zone of settings.azs"));
            }
        }
        if settings.warm_within() == 0 {
            let problem = "what returns has no ramp: settings.rules.warm-within is zero";
            return Err(ConfigError::new("sites", problem));
        }
        let (me, instances) = settings.instances();
        let rules = SiteRules {
            window: self.window_ms * 1_000,
            part: self.part,
            hold: self.hold_ms * 1_000,
            longest_hold: self.longest_hold_ms * 1_000,
            probe_every: self.probe_every_ms * 1_000,
            ramp: settings.warm_within(),
            slow_times: self.slow_times,
            me,
            instances,
        };
        let names = self.names.into_iter().collect();
        Ok(Watch { names, rules, longest_advice: settings.longest_advice() })
    }
}

/// Which targets an instance prefers.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SubsetTable {
    size: usize,
    #[serde(default = "default_spread")]
    spread: f64,
}

/// The most instances that boxes are parted among: each change of the list takes time in step with them.
const MOST_PARTED: u32 = 1_024;

fn default_spread() -> f64 {
    1.25
}

impl SubsetTable {
    fn check(self, settings: &Settings) -> Result<Subset, ConfigError> {
        if self.size == 0 {
            return Err(ConfigError::new("subset.size", "is zero"));
        }
        if !(1.0..=100.0).contains(&self.spread) {
            return Err(ConfigError::new("subset.spread", format!("{} is not from 1 to 100", self.spread)));
        }
        let (me, instances) = settings.instances();
        if !(1..=MOST_PARTED).contains(&instances) {
            let problem = format!("settings.siblings is {instances}, not from 1 to {MOST_PARTED}");
            return Err(ConfigError::new("subset", problem));
        }
        if me >= instances {
            let problem = format!("settings.my-number is {me}, and settings.siblings only {instances}");
            return Err(ConfigError::new("subset", problem));
        }
        Ok(Subset::new(Rule { size: self.size, spread: self.spread }, me, instances))
    }
}

/// The other instances, and the key that all of them have.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FleetTable {
    peers: Vec<SocketAddr>,
    me: usize,
    key_file: PathBuf,
}

impl FleetTable {
    fn check(self) -> Result<Peers, ConfigError> {
        if self.peers.len() > usize::from(u16::MAX) || self.me >= self.peers.len() {
            return Err(ConfigError::new("fleet.me", format!("{} is no place in fleet.peers", self.me)));
        }
        if let Some(i) = (1..self.peers.len()).find(|i| self.peers[..*i].contains(&self.peers[*i])) {
            return Err(ConfigError::new(format!("fleet.peers[{i}]"), "is there twice"));
        }
        let wrong = |problem: &dyn fmt::Display| {
            ConfigError::new("fleet.key_file", format!("{}: {problem}", self.key_file.display()))
        };
        let text = std::fs::read_to_string(&self.key_file).map_err(|e| wrong(&e))?;
        // The key itself is never told.
        let key = key(text.trim()).ok_or_else(|| wrong(&"is not 64 hex digits"))?;
        Ok(Peers { addrs: self.peers, me: Peer(self.me as u16), key })
    }
}

impl IscsiTable {
    fn check(self, settings: &Settings) -> Result<Iscsi, ConfigError> {
        let positive = |key: &str, value: u64| match value {
            0 => Err(ConfigError::new(format!("iscsi.{key}"), "is zero")),
            _ => Ok(value),
        };
        positive("blocks_per_unit", u64::from(self.blocks_per_unit))?;
        let mut luns = HashMap::new();
        for (i, volume) in self.volume.into_iter().enumerate() {
            let key = |name: &str| format!("iscsi.volume[{i}].{name}");
            let lun = u64::from_str_radix(&volume.lun, 16)
                .map_err(|e| ConfigError::new(key("lun"), format!("{:?}: {e}", volume.lun)))?;
            if let Some(plan) = volume.plan.as_deref().filter(|plan| !settings.plans().any(|p| p == *plan)) {
                return Err(ConfigError::new(key("plan"), format!("the settings have no plan {plan:?}")));
            }
            let made = Lun { plan: volume.plan, shard: volume.shard, hosts: volume.hosts };
            if luns.insert(lun, made).is_some() {
                return Err(ConfigError::new(key("lun"), format!("{:?} is there twice", volume.lun)));
            }
        }
        for (i, target) in self.target.iter().enumerate() {
            if self.target[..i].iter().any(|t| t.name == target.name) {
                let key = format!("iscsi.target[{i}].name");
                return Err(ConfigError::new(key, format!("{:?} is there twice", target.name)));
            }
        }
        Ok(Iscsi {
            listen: self.listen,
            name: self.name,
            blocks_per_unit: self.blocks_per_unit,
            login_timeout: Duration::from_millis(positive("login_timeout_ms", self.login_timeout_ms)?),
            silence: Duration::from_millis(positive("silence_ms", self.silence_ms)?),
            luns,
            targets: self.target,
        })
    }
}
