//! The same stories on the settings of every deployment in `deploy/sites/`: other classes, effects, plans,
//! deadlines, limits, zones and ways to learn of the list. Nothing in the program is fitted to one of them.

use crate::harness::*;
use crate::late_connections::{next_seen, seen_after};
use serde_json::{Value, json};
use std::path::PathBuf;
use std::time::Duration;

/// One deployment: its file's name, and the settings that an instance gets there.
struct Deployment {
    name: String,
    settings: Value,
}

/// A class, as requests of it have to be.
struct Class {
    name: String,
    write: bool,
    effect: String,
    deadline: u64,
}

fn deployments() -> Vec<Deployment> {
    let folder = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/sites"));
    let mut files: Vec<PathBuf> =
        std::fs::read_dir(folder).expect("there").map(|entry| entry.expect("a file").path()).collect();
    files.retain(|path| path.extension().is_some_and(|e| e == "toml"));
    files.sort();
    assert!(files.len() >= 3, "{files:?}");
    let read = |path: &PathBuf| {
        let text = std::fs::read_to_string(path).expect("text");
        let site: Value = toml::from_str(&text).expect("TOML");
        Deployment { name: path.display().to_string(), settings: settings(&site) }
    };
    files.iter().map(read).collect()
}

fn each(list: &Value) -> impl Iterator<Item = &Value> {
    list.as_array().into_iter().flatten()
}

/// What the platform tells an instance of such a site.
fn settings(site: &Value) -> Value {
    let micros = |value: &Value| json!(value.as_u64().unwrap_or(0) * 1_000);
    let grades = each(&site["class"]).map(|class| {
        let word = match class["effect"].as_str() {
            Some("safe") => "repeatable",
            Some("keyed") => "by_key",
            _ => "once",
        };
        json!({
            "name": class["name"], "promise": micros(&class["aim_ms"]), "hard-limit": micros(&class["deadline_ms"]),
            "idempotency": word, "group": class["group"], "memory-span": micros(&class["window_ms"]),
            "worth": class["worth"], "late-worth": class["late_worth"],
        })
    });
    let policies = each(&site["tenant"]).zip(each(&site["fam"]["plan"])).map(|(tenant, plan)| {
        let nominal = 4.0 * plan["size"].as_f64().unwrap_or(1.0);
        let limit = nominal * plan["limit"].as_f64().unwrap_or(0.0);
        json!({
            "name": tenant["name"], "nominal": nominal, "weight": plan["weight"], "value-factor": plan["price"],
            "floor-rate": nominal * plan["reserve"].as_f64().unwrap_or(0.0),
            "never-over": limit, "burst": 2.0 * limit, "tolerance": 0.2 * limit,
        })
    });
    let asked = site["discovery"]["mode"] == "ask";
    json!({
        "azs": site["net"]["zones"],
        "siblings": 1,
        "discovery": if asked { "on_request" } else { "pushed" },
        "ceilings": {
            "cancel": site["allow"]["cancel"], "max-attempts": site["allow"]["max_attempts"],
            "probes": site["allow"]["probes"], "retry-after": site["allow"]["retry_after"],
            "second-copies": site["allow"]["second_copies"], "max-retry-after": 500_000,
            "connect-timeout": micros(&site["tier"][0]["conn"]["connect_timeout_ms"]),
            "conn-idle": 1_000_000 * site["tier"][0]["conn"]["idle_s"].as_u64().unwrap_or(30),
        },
        "family-info": {
            "usual-units": 2.0, "cold-units": 51.0,
            "writes": each(&site["class"]).map(|c| c["write"] == true).collect::<Vec<_>>(),
        },
        "grades": grades.collect::<Vec<_>>(),
        "policies": policies.collect::<Vec<_>>(),
        "report": { "fields": [] },
        "rules": {
            "drain-grace": micros(&site["rules"]["drain_grace_ms"]), "cold-from": 0.28, "fall-multiple": 2.5,
            "tip-after": 3_000_000, "warm-within": 15_000_000,
            "must-ask-in": if asked { json!(10_000_000) } else { Value::Null },
        },
    })
}

impl Deployment {
    fn classes(&self) -> Vec<Class> {
        let writes = &self.settings["family-info"]["writes"];
        let class = |(i, grade): (usize, &Value)| Class {
            name: grade["name"].as_str().expect("a name").to_string(),
            write: writes[i] == true,
            effect: grade["idempotency"].as_str().expect("a word").to_string(),
            deadline: grade["hard-limit"].as_u64().expect("a time") / 1_000,
        };
        each(&self.settings["grades"]).enumerate().map(class).collect()
    }

    /// A request of a class, of the last plan there is.
    fn request(&self, class: &Class, id: &str) -> String {
        let plan = each(&self.settings["policies"]).last().expect("a plan")["name"].as_str().expect("a name");
        let (method, body) = if class.write { ("PUT", "x") } else { ("GET", "") };
        let key = if class.effect == "by_key" { format!("Idempotency-Key: {id}\r\n") } else { String::new() };
        format!(
            "{method} /{0}/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {id}\r\n\
             X-Service-Class: {0}\r\nX-Qos-Policy: {plan}\r\nX-Time-Left-Ms: {1}\r\n\
             X-Placement: units=1,shard=0,hosts=1\r\n{key}Content-Length: {2}\r\n\r\n{body}",
            class.name,
            class.deadline,
            body.len()
        )
    }

    async fn start(&self, lines: &[String], discovery: Option<std::net::SocketAddr>) -> Running {
        start_with(lines, discovery, None, |json| json["settings"] = self.settings.clone()).await
    }
}

fn page(version: u64, entries: &str) -> Step {
    ok(&format!(r#"{{"version":{version},"full":false,"servers":[{entries}]}}"#))
}

#[test]
fn every_class_is_served_and_retried_as_its_idempotency_permits() {
    for deployment in deployments() {
        story(async move {
            let name = &deployment.name;
            for class in deployment.classes() {
                // It may have run: the connection ends once the request is read.
                let mut target = peer(vec![ok("one"), Step::Last(String::new()), ok("two")]).await;
                let node = deployment.start(&[endpoint_entry(target.addr, 0, "active")], None).await;
                let one = send_request(node.http, &deployment.request(&class, "d1")).await;
                assert_eq!(one, "200 one", "{name} {}", class.name);
                let two = send_request(node.http, &deployment.request(&class, "d2")).await;
                let seen = seen_after(&mut target, Duration::from_millis(50)).await;
                let tries = seen.iter().filter(|line| line.contains("d2")).count();
                let expected = if class.effect == "once" { ("500", 1) } else { ("200 two", 2) };
                assert_eq!((two.as_str(), tries), expected, "{name} {}", class.name);
            }
        });
    }
}

#[test]
fn a_draining_target_gets_nothing_on_any_deployment() {
    for deployment in deployments() {
        story(async move {
            let name = &deployment.name;
            let classes = deployment.classes();
            let mut target = peer(classes.iter().map(|_| ok("one")).collect()).await;
            let Step::Answer(leaving) = page(3, &endpoint_entry(target.addr, 0, "leaving")) else {
                unreachable!("it answers")
            };
            let mut list = peer(vec![page(2, ""), Step::Wait(leaving), Step::Silence]).await;
            let node = deployment.start(&[endpoint_entry(target.addr, 0, "active")], Some(list.addr)).await;
            for _ in 0..2 {
                next_seen(&mut list).await;
            }
            assert_eq!(
                send_request(node.http, &deployment.request(&classes[0], "e1")).await,
                "200 one",
                "{name}"
            );
            next_seen(&mut target).await;
            list.go.notify_one();
            next_seen(&mut list).await;
            for class in &classes {
                let answer =
                    send_request(node.http, &deployment.request(class, &format!("e-{}", class.name))).await;
                assert!(answer.starts_with("503") || answer.starts_with("429"), "{name}: {answer}");
                let told = deployment.settings["ceilings"]["retry-after"] == true;
                assert_eq!(answer.contains("retry-after"), told, "{name}: {answer}");
            }
            assert_eq!(
                seen_after(&mut target, Duration::from_millis(50)).await,
                Vec::<String>::new(),
                "{name}"
            );
        });
    }
}

#[test]
fn the_program_ends_in_time_whatever_the_deadlines() {
    for deployment in deployments() {
        story(async move {
            let target = peer(vec![Step::Silence]).await;
            let node = deployment.start(&[endpoint_entry(target.addr, 0, "active")], None).await;
            let classes = deployment.classes();
            let longest = classes.iter().map(|c| c.deadline).max().expect("a class");
            let mut client = tokio::net::TcpStream::connect(node.http).await.expect("connected");
            crate::late_connections::sent(&mut client, &deployment.request(&classes[0], "z1")).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
            let told = std::time::Instant::now();
            node.end.send(()).expect("it runs");
            assert!(
                read_message(&mut client).await.is_some(),
                "{}: its client has an answer",
                deployment.name
            );
            drop(client);
            node.run.await.expect("no panic").expect("no error");
            let most = Duration::from_millis(longest.min(3_000) + 700);
            assert!(told.elapsed() < most, "{}: {:?}", deployment.name, told.elapsed());
        });
    }
}
