//! `rowanglade routes`: expectations checked, a request's route explained, two versions of files compared.

use super::{Failure, variable};
use crate::config::{Config, Decided, Routing};
use lexopt::prelude::*;
use rowanglade_routing::check::Decision;
use rowanglade_routing::diff::diff;
use rowanglade_routing::{BoxState, Front, RouteRequest, TargetInfo};
use std::path::PathBuf;

pub const HELP: &str = "\
usage: rowanglade routes test --operator FILE... [--list LIST]
       rowanglade routes explain --operator FILE... --class CLASS --volume HEX [--plan PLAN] [--shard N]
                                 [--client ADDR] [--front http|iscsi] [--list LIST]
       rowanglade routes diff OLD NEW [--list LIST]

Routes and expectations stand in operator's files, which are merged in the order given. The classes and plans that
they name come from the configuration (LB_CONFIG), the boxes from its `known`, or from LIST: a file with a list as
discovery gives it. test says of each expectation that does not hold why, with a request and a list that show it;
exit 2 if the files would be refused. explain names the route that a request takes and those it would have taken
otherwise. diff tells which classes of requests reach other boxes by NEW than by OLD, with every box active.
";

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

/// The routes of these files, and the boxes that are listed.
fn read(operator: &[PathBuf], list: Option<&PathBuf>) -> Result<(Routing, Vec<TargetInfo>), Failure> {
    let config = Config::load(variable, operator).map_err(Failure::usage)?;
    let boxes = match list {
        None => config.known.as_ref().map(|k| k.routable_targets()).unwrap_or_default(),
        Some(path) => {
            let named = |e: &dyn std::fmt::Display| Failure::Usage(format!("{}: {e}", path.display()));
            let text = std::fs::read_to_string(path).map_err(|e| named(&e))?;
            let page: crate::net::http::EndpointPage = serde_json::from_str(&text).map_err(|e| named(&e))?;
            page.routable_targets()
        }
    };
    Ok((config.routing, boxes))
}

fn test(mut parser: lexopt::Parser) -> Result<(), Failure> {
    let (mut operator, mut list) = (Vec::new(), None);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("operator") => operator.push(PathBuf::from(parser.value()?)),
            Long("list") => list = Some(PathBuf::from(parser.value()?)),
            other => return Err(other.unexpected().into()),
        }
    }
    let (routing, boxes) = read(&operator, list.as_ref())?;
    let Decided { decision, lines, .. } = routing.decide(&boxes);
    lines.iter().for_each(|line| println!("{line}"));
    let rules = &routing.rules;
    println!(
        "{} routes, {} pools, {} expectations, {} boxes: {decision}",
        rules.table.routes().len(),
        rules.table.pools().len(),
        rules.expectations.len(),
        boxes.len()
    );
    match decision {
        Decision::Refuse => Err(Failure::usage("expectations are broken")),
        _ => Ok(()),
    }
}

fn explain(mut parser: lexopt::Parser) -> Result<(), Failure> {
    let (mut operator, mut list) = (Vec::new(), None);
    let (mut class, mut volume, mut plan, mut shard) = (None, None, None, None);
    let (mut client, mut front) = (None, Front::Http);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("operator") => operator.push(PathBuf::from(parser.value()?)),
            Long("list") => list = Some(PathBuf::from(parser.value()?)),
            Long("class") => class = Some(parser.value()?.string()?),
            Long("volume") => {
                let text = parser.value()?.string()?;
                let parsed = u64::from_str_radix(&text, 16);
                volume = Some(parsed.map_err(|e| Failure::Usage(format!("--volume {text:?}: {e}")))?);
            }
            Long("plan") => plan = Some(parser.value()?.string()?),
            Long("shard") => shard = Some(parser.value()?.parse()?),
            Long("client") => client = Some(parser.value()?.parse()?),
            Long("front") => {
                front = match parser.value()?.string()?.as_str() {
                    "http" => Front::Http,
                    "iscsi" => Front::Iscsi,
                    other => {
                        return Err(Failure::Usage(format!("--front {other:?} is neither http nor iscsi")));
                    }
                }
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let class = class.ok_or_else(|| Failure::usage("routes explain needs --class"))?;
    let volume = volume.ok_or_else(|| Failure::usage("routes explain needs --volume"))?;
    let (routing, boxes) = read(&operator, list.as_ref())?;
    let (table, terms) = (&routing.rules.table, &routing.terms);
    let known = terms.classes.iter().find(|(name, _)| *name == class);
    let (_, write) = known.ok_or_else(|| Failure::Usage(format!("the settings have no class {class:?}")))?;
    let request =
        RouteRequest { front, client, class: &class, plan: plan.as_deref(), write: *write, volume, shard };
    println!("a request of {request}");
    let matching = table.explain(&request);
    if matching.is_empty() {
        println!("no route matches it: it may reach every box");
    }
    for (i, (place, prefix)) in matching.iter().enumerate() {
        let route = &table.routes()[*place];
        let pool = &table.pools()[route.pool];
        let says = if i == 0 { "takes" } else { "then " };
        println!("{says} route {:?} ({}), prefix /{prefix}, pool {:?}", route.name, route.origin, pool.name);
    }
    let listed = boxes.iter().map(|b| (b, BoxState::Active, b.name.as_str()));
    let reached = table.reach(table.route(&request), shard, listed);
    println!("boxes, with all of {} active: {}", boxes.len(), names(&reached));
    Ok(())
}

fn names(boxes: &[impl AsRef<str>]) -> String {
    match boxes.is_empty() {
        true => "none".into(),
        false => boxes.iter().map(AsRef::as_ref).collect::<Vec<_>>().join(" "),
    }
}

fn run_diff(mut parser: lexopt::Parser) -> Result<(), Failure> {
    let (mut files, mut list) = (Vec::new(), None);
    while let Some(arg) = parser.next()? {
        match arg {
            Long("list") => list = Some(PathBuf::from(parser.value()?)),
            Value(file) if files.len() < 2 => files.push(PathBuf::from(file)),
            other => return Err(other.unexpected().into()),
        }
    }
    let [old, new] = files.as_slice() else { return Err(Failure::usage("routes diff needs OLD and NEW")) };
    let (before, boxes) = read(std::slice::from_ref(old), list.as_ref())?;
    let (after, _) = read(std::slice::from_ref(new), list.as_ref())?;
    let changes = diff(&before.rules.table, &after.rules.table, &before.terms, &boxes);
    for change in &changes {
        println!(
            "{} -> {}: {} classes of requests",
            names(&change.before),
            names(&change.after),
            change.classes
        );
        println!("  such as a request of {}", change.request);
    }
    println!("{} kinds of change over {} boxes", changes.len(), boxes.len());
    Ok(())
}
