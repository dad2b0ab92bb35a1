//! Runs the same tests with the settings of each deployment in `deploy/sites/`, which differ in classes,
//! idempotency, plans, deadlines, limits, zones and the way the endpoint list arrives. Guards against
//! behaviour that depends on the settings of one deployment.

use crate::harness::*;
use crate::late_connections::{next_received, received_until_quiet};
use serde_json::{Value, json};
use std::path::PathBuf;
use std::time::Duration;

/// A deployment: the path of its file, and the settings of an instance there.
struct Deployment {
    name: String,
    settings: Value,
}

/// A request class, with what its requests need.
struct Class {
    name: String,
    write: bool,
    idempotency: String,
    deadline: u64,
}

fn deployments() -> Vec<Deployment> {
    let folder = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/sites"));
    let mut files: Vec<PathBuf> = std::fs::read_dir(folder)
        .expect("the folder is readable")
        .map(|entry| entry.expect("a file").path())
        .collect();
    files.retain(|path| path.extension().is_some_and(|e| e == "toml"));
    files.sort();
    assert!(files.len() >= 3, "{files:?}");
    let read = |path: &PathBuf| {
        let text = std::fs::read_to_string(path).expect("the file is readable");
        let site: Value = toml::from_str(&text).expect("TOML");
        Deployment { name: path.display().to_string(), settings: settings(&site) }
    };
    files.iter().map(read).collect()
}

fn items(list: &Value) -> impl Iterator<Item = &Value> {
    list.as_array().into_iter().flatten()
}

/// Translates a deployment's file to the settings that the platform gives an instance there.
fn settings(site: &Value) -> Value {
    let micros = |value: &Value| json!(value.as_u64().unwrap_or(0) * 1_000);
    let grades = items(&site["class"]).map(|class| {
        let idempotency = match class["effect"].as_str() {
            Some("safe") => "repeatable",
            Some("keyed") => "by_key",
            _ => "once",
        };
        json!({
            "name": class["name"], "promise": micros(&class["aim_ms"]), "hard-limit": micros(&class["deadline_ms"]),
            "idempotency": idempotency, "group": class["group"], "memory-span": micros(&class["window_ms"]),
            "worth": class["worth"], "late-worth": class["late_worth"],
        })
    });
    let policies = items(&site["tenant"]).zip(items(&site["fam"]["plan"])).map(|(tenant, plan)| {
        let nominal = 4.0 * plan["size"].as_f64().unwrap_or(1.0);
        let limit = nominal * plan["limit"].as_f64().unwrap_or(0.0);
        json!({
            "name": tenant["name"], "nominal": nominal, "weight": plan["weight"], "value-factor": plan["price"],
            "floor-rate": nominal * plan["reserve"].as_f64().unwrap_or(0.0),
            "never-over": limit, "burst": 2.0 * limit, "tolerance": 0.2 * limit,
        })
    });
    let polls = site["discovery"]["mode"] == "ask";
    json!({
        "azs": site["net"]["zones"],
        "siblings": 1,
        "discovery": if polls { "on_request" } else { "pushed" },
        "ceilings": {
            "cancel": site["allow"]["cancel"], "max-attempts": site["allow"]["max_attempts"],
            "probes": site["allow"]["probes"], "retry-after": site["allow"]["retry_after"],
            "second-copies": site["allow"]["second_copies"], "max-retry-after": 500_000,
            "connect-timeout": micros(&site["tier"][0]["conn"]["connect_timeout_ms"]),
            "conn-idle": 1_000_000 * site["tier"][0]["conn"]["idle_s"].as_u64().unwrap_or(30),
        },
        "family-info": {
            "usual-units": 2.0, "cold-units": 51.0,
            "writes": items(&site["class"]).map(|c| c["write"] == true).collect::<Vec<_>>(),
        },
        "grades": grades.collect::<Vec<_>>(),
        "policies": policies.collect::<Vec<_>>(),
        "report": { "fields": [] },
        "rules": {
            "drain-grace": micros(&site["rules"]["drain_grace_ms"]), "cold-from": 0.28, "fall-multiple": 2.5,
            "tip-after": 3_000_000, "warm-within": 15_000_000,
            "must-ask-in": if polls { json!(10_000_000) } else { Value::Null },
        },
    })
}

impl Deployment {
    fn classes(&self) -> Vec<Class> {
        let writes = &self.settings["family-info"]["writes"];
        let class = |(i, grade): (usize, &Value)| Class {
            name: grade["name"].as_str().expect("a name").to_string(),
            write: writes[i] == true,
            idempotency: grade["idempotency"].as_str().expect("a kind of idempotency").to_string(),
            deadline: grade["hard-limit"].as_u64().expect("a duration") / 1_000,
        };
        items(&self.settings["grades"]).enumerate().map(class).collect()
    }

    /// A request of this class on the last plan of the deployment.
    fn request(&self, class: &Class, id: &str) -> String {
        let plan =
            items(&self.settings["policies"]).last().expect("a plan")["name"].as_str().expect("a name");
        let (method, body) = if class.write { ("PUT", "x") } else { ("GET", "") };
        let key =
            if class.idempotency == "by_key" { format!("Idempotency-Key: {id}\r\n") } else { String::new() };
        format!(
            "{method} /{0}/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {id}\r\n\
             X-Service-Class: {0}\r\nX-Qos-Policy: {plan}\r\nX-Time-Left-Ms: {1}\r\n\
             X-Placement: units=1,shard=0,hosts=1\r\n{key}Content-Length: {2}\r\n\r\n{body}",
            class.name,
            class.deadline,
            body.len()
        )
    }

    async fn start(&self, endpoints: &[String], discovery: Option<std::net::SocketAddr>) -> RunningInitiator {
        start_initiator_with(endpoints, discovery, None, |json| json["settings"] = self.settings.clone())
            .await
    }
}

fn page(version: u64, entries: &str) -> Step {
    ok(&format!(r#"{{"version":{version},"full":false,"servers":[{entries}]}}"#))
}

#[test]
fn every_class_is_served_and_retried_as_its_idempotency_permits() {
    for deployment in deployments() {
        run_test(async move {
            let name = &deployment.name;
            for class in deployment.classes() {
                // The second request may have been executed: the connection is closed after the request was
                // received.
                let mut target =
                    scripted_server(vec![ok("one"), Step::RespondAndClose(String::new()), ok("two")]).await;
                let initiator = deployment.start(&[endpoint_entry(target.addr, 0, "active")], None).await;
                let first = send_request(initiator.http, &deployment.request(&class, "d1")).await;
                assert_eq!(first, "200 one", "{name} {}", class.name);
                let second = send_request(initiator.http, &deployment.request(&class, "d2")).await;
                let received = received_until_quiet(&mut target, Duration::from_millis(50)).await;
                let attempts = received.iter().filter(|line| line.contains("d2")).count();
                let expected = if class.idempotency == "once" { ("500", 1) } else { ("200 two", 2) };
                assert_eq!((second.as_str(), attempts), expected, "{name} {}", class.name);
            }
        });
    }
}

#[test]
fn a_draining_target_gets_no_requests_in_any_deployment() {
    for deployment in deployments() {
        run_test(async move {
            let name = &deployment.name;
            let classes = deployment.classes();
            let mut target = scripted_server(classes.iter().map(|_| ok("one")).collect()).await;
            let Step::Respond(draining) = page(3, &endpoint_entry(target.addr, 0, "leaving")) else {
                unreachable!("ok() returns Step::Respond")
            };
            let mut discovery =
                scripted_server(vec![page(2, ""), Step::RespondOnResume(draining), Step::Silence]).await;
            let initiator =
                deployment.start(&[endpoint_entry(target.addr, 0, "active")], Some(discovery.addr)).await;
            for _ in 0..2 {
                next_received(&mut discovery).await;
            }
            assert_eq!(
                send_request(initiator.http, &deployment.request(&classes[0], "e1")).await,
                "200 one",
                "{name}"
            );
            next_received(&mut target).await;
            discovery.resume.notify_one();
            next_received(&mut discovery).await;
            for class in &classes {
                let answer =
                    send_request(initiator.http, &deployment.request(class, &format!("e-{}", class.name)))
                        .await;
                assert!(answer.starts_with("503") || answer.starts_with("429"), "{name}: {answer}");
                let expects_retry_after = deployment.settings["ceilings"]["retry-after"] == true;
                assert_eq!(answer.contains("retry-after"), expects_retry_after, "{name}: {answer}");
            }
            assert_eq!(
                received_until_quiet(&mut target, Duration::from_millis(50)).await,
                Vec::<String>::new(),
                "{name}"
            );
        });
    }
}

#[test]
fn the_initiator_shuts_down_in_time_in_any_deployment() {
    for deployment in deployments() {
        run_test(async move {
            let target = scripted_server(vec![Step::Silence]).await;
            let initiator = deployment.start(&[endpoint_entry(target.addr, 0, "active")], None).await;
            let classes = deployment.classes();
            let longest = classes.iter().map(|c| c.deadline).max().expect("a class");
            let mut client = tokio::net::TcpStream::connect(initiator.http).await.expect("connected");
            crate::late_connections::write_text(&mut client, &deployment.request(&classes[0], "z1")).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
            let shutdown_at = std::time::Instant::now();
            initiator.shutdown.send(()).expect("the initiator runs");
            assert!(
                read_message(&mut client).await.is_some(),
                "{}: the client got no response",
                deployment.name
            );
            drop(client);
            initiator.task.await.expect("no panic").expect("no error");
            let time_limit = Duration::from_millis(longest.min(3_000) + 700);
            assert!(shutdown_at.elapsed() < time_limit, "{}: {:?}", deployment.name, shutdown_at.elapsed());
        });
    }
}
