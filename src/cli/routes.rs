//! `rowanglade routes`: tests expectations, explains the route of a request, and compares two versions of the
//! files.

use super::{Failure, variable};
use crate::config::{Config, RouteEvaluation, Routing};
use crate::net::http::EndpointPage;
use lexopt::prelude::*;
use rowanglade_routing::diff::diff;
use rowanglade_routing::{Decision, Front, ListedState, RouteRequest, TargetInfo};
use std::fmt::Display;
use std::net::IpAddr;
use std::path::{Path, PathBuf};

/// What `rowanglade help routes` prints.
pub const HELP: &str = "\
usage: rowanglade routes test --operator FILE... [--list LIST]
       rowanglade routes explain --operator FILE... --class CLASS --volume HEX [--plan PLAN] [--shard N]
                                 [--client ADDR] [--front http|iscsi] [--list LIST]
       rowanglade routes diff OLD NEW [--list LIST]

Routes and expectations are read from operator's files, which are merged in the order given. The classes and plans
that they name come from the configuration (LB_CONFIG), the targets from its `known`, or from LIST: a file with an
endpoint list in discovery's format. test explains each expectation that does not hold, with a request and an
endpoint list as an example; exit code 2 if the files would be rejected. explain prints the route that a request
takes, and the other routes that match it in order of precedence. diff prints which classes of requests reach other
targets with NEW than with OLD, if every target is active.
";

/// Runs the command that the arguments name.
///
/// # Errors
/// The usage is wrong, a file cannot be used, or an expectation is broken.
pub fn run(mut parser: lexopt::Parser) -> Result<(), Failure> {
    match parser.next()? {
        Some(Value(word)) if word == "test" => test(parser),
        Some(Value(word)) if word == "explain" => explain(parser),
        Some(Value(word)) if word == "diff" => run_diff(parser),
        Some(Long("help") | Short('h')) => {
            print!("{HELP}");
            Ok(())
        }
        Some(Value(word)) => {
            Err(Failure::Usage(format!("routes: unknown command {word:?}; see `rowanglade help routes`")))
        }
        Some(other) => Err(other.unexpected().into()),
        None => Err(Failure::usage("routes needs one of test, explain, diff")),
    }
}

/// The operator's files and the endpoint list that a command works on.
#[derive(Default)]
struct Files {
    operator: Vec<PathBuf>,
    list: Option<PathBuf>,
}

impl Files {
    /// Reads the routes, and the targets of the endpoint list or, without one, of the cached list.
    fn read(&self) -> Result<(Routing, Vec<TargetInfo>), Failure> {
        let config = Config::load(variable, &self.operator).map_err(Failure::usage)?;
        let targets = match &self.list {
            None => config.cached_list.as_ref().map(|known| known.routable_targets()).unwrap_or_default(),
            Some(path) => read_list(path)?.routable_targets(),
        };
        Ok((config.routing, targets))
    }
}

fn read_list(path: &Path) -> Result<EndpointPage, Failure> {
    let failure = |error: &dyn Display| Failure::Usage(format!("{}: {error}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|error| failure(&error))?;
    serde_json::from_str(&text).map_err(|error| failure(&error))
}

fn test(mut parser: lexopt::Parser) -> Result<(), Failure> {
    let mut files = Files::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("operator") => files.operator.push(PathBuf::from(parser.value()?)),
            Long("list") => files.list = Some(PathBuf::from(parser.value()?)),
            other => return Err(other.unexpected().into()),
        }
    }
    let (routing, targets) = files.read()?;
    let RouteEvaluation { decision, lines, .. } = routing.evaluate(&targets);
    lines.iter().for_each(|line| println!("{line}"));
    let rules = &routing.rules;
    println!(
        "{} routes, {} pools, {} expectations, {} targets: {decision}",
        rules.table.routes().len(),
        rules.table.pools().len(),
        rules.expectations.len(),
        targets.len()
    );
    match decision {
        Decision::Refuse => Err(Failure::usage("route expectations do not hold")),
        _ => Ok(()),
    }
}

/// Arguments of `routes explain`.
struct ExplainArguments {
    files: Files,
    front: Front,
    client: Option<IpAddr>,
    class: String,
    plan: Option<String>,
    volume: u64,
    shard: Option<u32>,
}

impl ExplainArguments {
    fn parse(mut parser: lexopt::Parser) -> Result<ExplainArguments, Failure> {
        let mut files = Files::default();
        let mut front = Front::Http;
        let mut client = None;
        let mut class = None;
        let mut plan = None;
        let mut volume = None;
        let mut shard = None;
        while let Some(arg) = parser.next()? {
            match arg {
                Long("operator") => files.operator.push(PathBuf::from(parser.value()?)),
                Long("list") => files.list = Some(PathBuf::from(parser.value()?)),
                Long("class") => class = Some(parser.value()?.string()?),
                Long("volume") => volume = Some(parse_volume(&parser.value()?.string()?)?),
                Long("plan") => plan = Some(parser.value()?.string()?),
                Long("shard") => shard = Some(parser.value()?.parse()?),
                Long("client") => client = Some(parser.value()?.parse()?),
                Long("front") => front = parse_front(&parser.value()?.string()?)?,
                other => return Err(other.unexpected().into()),
            }
        }
        let class = class.ok_or_else(|| Failure::usage("routes explain needs --class"))?;
        let volume = volume.ok_or_else(|| Failure::usage("routes explain needs --volume"))?;
        Ok(ExplainArguments { files, front, client, class, plan, volume, shard })
    }
}

fn parse_volume(text: &str) -> Result<u64, Failure> {
    u64::from_str_radix(text, 16).map_err(|error| Failure::Usage(format!("--volume {text:?}: {error}")))
}

fn parse_front(word: &str) -> Result<Front, Failure> {
    match word {
        "http" => Ok(Front::Http),
        "iscsi" => Ok(Front::Iscsi),
        other => Err(Failure::Usage(format!("--front {other:?}: must be http or iscsi"))),
    }
}

fn explain(parser: lexopt::Parser) -> Result<(), Failure> {
    let ExplainArguments { files, front, client, class, plan, volume, shard } =
        ExplainArguments::parse(parser)?;
    let (routing, targets) = files.read()?;
    let table = &routing.rules.table;
    let Some(class) = routing.settings.class(&class) else {
        return Err(Failure::Usage(format!("--class {class:?}: not a request class of the configuration")));
    };
    let request = RouteRequest {
        front,
        client,
        class: &class.name,
        plan: plan.as_deref(),
        write: class.writes,
        volume,
        shard,
    };
    println!("request: {request}");
    let matching = table.explain(&request);
    if matching.is_empty() {
        println!("no route matches: the request may reach every target");
    }
    for (rank, (index, prefix)) in matching.iter().enumerate() {
        let route = &table.routes()[*index];
        let pool = &table.pools()[route.pool];
        let rank_label = if rank == 0 { "selected" } else { "next    " };
        println!(
            "{rank_label} route {:?} ({}), prefix /{prefix}, pool {:?}",
            route.name, route.origin, pool.name
        );
    }
    let active = targets.iter().map(|target| (target, ListedState::Active, target.name.as_str()));
    let reached = table.reachable(table.route(&request), shard, active);
    println!("targets reached if all {} are active: {}", targets.len(), join(&reached));
    Ok(())
}

fn join(names: &[impl AsRef<str>]) -> String {
    match names.is_empty() {
        true => "none".into(),
        false => names.iter().map(AsRef::as_ref).collect::<Vec<_>>().join(" "),
    }
}

fn run_diff(mut parser: lexopt::Parser) -> Result<(), Failure> {
    let mut operator_files = Vec::new();
    let mut list = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Long("list") => list = Some(PathBuf::from(parser.value()?)),
            Value(file) if operator_files.len() < 2 => operator_files.push(PathBuf::from(file)),
            other => return Err(other.unexpected().into()),
        }
    }
    let [old, new] = operator_files.as_slice() else {
        return Err(Failure::usage("routes diff needs OLD and NEW"));
    };
    let (before, targets) = Files { operator: vec![old.clone()], list: list.clone() }.read()?;
    let (after, _) = Files { operator: vec![new.clone()], list }.read()?;
    let changes = diff(&before.rules.table, &after.rules.table, &before.settings, &targets);
    for change in &changes {
        println!(
            "{} -> {}: {} classes of equivalent requests",
            join(&change.before),
            join(&change.after),
            change.classes
        );
        println!("  for example: {}", change.request);
    }
    println!("{} kinds of change, {} targets", changes.len(), targets.len());
    Ok(())
}
