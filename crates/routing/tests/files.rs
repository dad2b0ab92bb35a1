//! Files of routes and expectations: which are rejected and why, and what the checker finds in them.

use rowanglade_routing::{
    ClassSettings, Decision, Front, PlanSettings, RouteRequest, RoutingRules, ServiceSettings, Source,
    TargetInfo, Verdict, check, diff, parse,
};

fn settings() -> ServiceSettings {
    ServiceSettings {
        classes: vec![
            ClassSettings { name: "view".into(), writes: false },
            ClassSettings { name: "deposit".into(), writes: true },
        ],
        plans: vec![
            PlanSettings { name: "basic".into(), max_units_per_second: Some(32.0) },
            PlanSettings { name: "full".into(), max_units_per_second: None },
        ],
        max_attempts: 3,
        drain_grace_ms: 1_000,
    }
}

fn targets() -> Vec<TargetInfo> {
    let one = |name: &str, zone: &str, shard| TargetInfo {
        name: name.into(),
        zone: zone.into(),
        kind: "std".into(),
        shard,
        addr: [10, 1, 0, shard as u8].into(),
    };
    vec![one("s-1", "kingston", 1), one("s-2", "kingston", 2), one("s-3", "negril", 3)]
}

fn rules(texts: &[&str]) -> RoutingRules {
    let source = |(i, text): (usize, &&str)| Source { name: format!("{i}.toml"), text: text.to_string() };
    parse(&texts.iter().enumerate().map(source).collect::<Vec<_>>(), &settings()).expect("valid files")
}

fn verdicts(texts: &[&str]) -> (Vec<Verdict>, Decision, Vec<String>) {
    let rules = rules(texts);
    let report = check(&rules.table, &rules.expectations, &settings(), &targets());
    let decision = report.decision(&rules.expectations);
    let lines = report.lines(&rules.expectations);
    (report.findings.into_iter().map(|f| f.verdict).collect(), decision, lines)
}

const POOLS: &str = r#"
[[pool]]
name = "one"
boxes = "s-1"
[[pool]]
name = "kingston"
zones = ["kingston"]
[[pool]]
name = "all"
"#;

fn file(rest: &str) -> String {
    format!("{POOLS}{rest}")
}

#[test]
fn an_expectation_that_is_met_holds_and_a_broken_one_reports_its_request_and_route() {
    let text = file(
        r#"
[[route]]
name = "hope"
volume = "000000000000000a"
pool = "one"
[[route]]
name = "rest"
pool = "all"
[[expect]]
name = "hope stays home"
requests = { volume = "000000000000000a" }
only = { boxes = "s-1" }
[[expect]]
name = "port royal stays home"
requests = { volume = "000000000000000b", class = "view" }
only = { boxes = "s-1" }
"#,
    );
    let (verdicts, decision, lines) = verdicts(&[&text]);
    assert_eq!(verdicts[0], Verdict::Holds);
    let Verdict::Broken { request: Some(request), route: Some((route, origin)), .. } = &verdicts[1] else {
        panic!("{verdicts:?}")
    };
    assert!(request.contains("class view volume 000000000000000b"), "{request}");
    assert_eq!((route.as_str(), origin.line), ("rest", 15));
    assert_eq!(decision, Decision::Refuse);
    assert!(
        lines[0].starts_with("0.toml line 22: expect[1]: \"port royal stays home\" is broken"),
        "{lines:?}"
    );
}

// An expectation about a target that is not listed yet: if names cannot decide it, it is undecided.
#[test]
fn an_expectation_on_an_unlisted_target_is_undecided_until_it_is_listed() {
    let text = |undecided: &str| {
        file(&format!(
            r#"
[[pool]]
name = "new"
boxes = ["s-9"]
[[route]]
name = "r"
pool = "new"
[[expect]]
name = "in negril"
requests = {{ class = "deposit" }}
only = {{ zones = "negril" }}
undecided = "{undecided}"
"#
        ))
    };
    let (found, decision, lines) = verdicts(&[&text("warn")]);
    assert!(matches!(&found[0], Verdict::Undecided { unlisted } if unlisted.contains("s-9")), "{found:?}");
    assert_eq!(decision, Decision::Load);
    assert!(lines[0].contains("until the endpoint list contains s-9"));
    assert_eq!(verdicts(&[&text("hold")]).1, Decision::Hold);
    assert_eq!(verdicts(&[&text("refuse")]).1, Decision::Refuse);
    let rules = rules(&[&text("hold")]);
    for (zone, expected) in [("negril", Decision::Load), ("kingston", Decision::Refuse)] {
        let mut listed = targets();
        listed.push(TargetInfo { name: "s-9".into(), zone: zone.into(), ..listed[0].clone() });
        let report = check(&rules.table, &rules.expectations, &settings(), &listed);
        assert_eq!(report.decision(&rules.expectations), expected, "{zone}");
    }
}

#[test]
fn a_pool_by_attributes_can_violate_an_expectation_by_name_with_unlisted_targets() {
    let text = file(
        "[[route]]\nname = \"r\"\npool = \"kingston\"\n[[expect]]\nname = \"e\"\nonly = { boxes = [\"s-1\", \"s-2\"] }\n",
    );
    let (found, ..) = verdicts(&[&text]);
    assert!(
        matches!(&found[0], Verdict::Broken { reason, .. } if reason.contains("not listed yet")),
        "{found:?}"
    );
    let by_zone = text.replace("boxes = [\"s-1\", \"s-2\"]", "zones = \"kingston\"");
    assert_eq!(verdicts(&[&by_zone]).0, [Verdict::Holds]);
}

// Two expectations in different files that contradict each other are found although no request shows it.
#[test]
fn a_contradiction_between_files_is_reported_with_both_lines() {
    let one = file("[[expect]]\nname = \"a\"\nrequests = { volume = \"5\" }\nonly = { boxes = \"s-1\" }\n");
    let two = "[[expect]]\nname = \"b\"\nrequests = { volume = \"0..ff\", class = \"view\" }\nsome = { boxes = \"s-2\" }\n";
    let (_, decision, lines) = verdicts(&[&one, two]);
    assert_eq!(decision, Decision::Refuse);
    let line = lines.iter().find(|l| l.contains("contradict")).expect("a contradiction");
    assert!(line.contains("0.toml line 10") && line.contains("1.toml line 1"), "{line}");
    let apart = two.replace("0..ff", "6..ff");
    assert!(!verdicts(&[&one, &apart]).2.iter().any(|l| l.contains("contradict")));
}

#[test]
fn requirements_on_fallbacks_target_counts_and_settings_are_checked() {
    let text = file(
        r#"
[[route]]
name = "r"
pool = "one"
fallback = "kingston"
[[expect]]
name = "survives one"
requests = { new = true }
some = { zones = "kingston" }
without = 1
[[expect]]
name = "survives two"
requests = { new = true }
some = { zones = "kingston" }
without = 2
[[expect]]
name = "spread"
new_objects_over = 2
[[expect]]
name = "attempts"
attempts_at_most = 2
[[expect]]
name = "grace"
drain_grace_ms_at_most = 1000
[[expect]]
name = "limit"
requests = { plan = "basic" }
unit_limit_at_most = 32
[[expect]]
name = "draining"
never = {}
in_state = ["draining", "gone", "unlisted"]
[[expect]]
name = "negril"
never = { zones = "negril" }
"#,
    );
    let broken: Vec<bool> =
        verdicts(&[&text]).0.iter().map(|v| matches!(v, Verdict::Broken { .. })).collect();
    assert_eq!(broken, [false, true, true, true, false, false, false, false]);
    let anywhere = text.replace("fallback = \"kingston\"", "fallback = \"all\"");
    assert!(
        matches!(verdicts(&[&anywhere]).0.last(), Some(Verdict::Broken { .. })),
        "the fallback is ignored"
    );
}

#[test]
fn the_longest_prefix_wins_and_mapped_addresses_count_as_ipv4() {
    let text = file(
        r#"
[[route]]
name = "wide"
network = "10.0.0.0/8"
pool = "all"
[[route]]
name = "mapped"
network = "::ffff:10.20.0.0/112"
pool = "one"
[[route]]
name = "same again"
network = "10.20.0.0/16"
pool = "kingston"
"#,
    );
    let rules = rules(&[&text]);
    let of = |client: &str| {
        let request = RouteRequest {
            front: Front::Http,
            client: Some(client.parse().expect("an address")),
            class: "view",
            plan: None,
            write: false,
            volume: 1,
            shard: None,
        };
        rules.table.route(&request).map(|r| rules.table.routes()[r].name.clone())
    };
    assert_eq!(of("10.20.1.1").as_deref(), Some("mapped"), "the first of equal prefixes is not used");
    assert_eq!(of("::ffff:10.20.1.1").as_deref(), Some("mapped"));
    assert_eq!(of("10.21.1.1").as_deref(), Some("wide"));
    assert_eq!(of("11.0.0.1"), None);
    let report = check(&rules.table, &[], &settings(), &targets());
    let warnings: Vec<&str> = report.warnings.iter().map(|w| w.problem.as_str()).collect();
    assert!(
        warnings.len() == 1 && warnings[0].contains("\"same again\" is never used: route \"mapped\""),
        "{warnings:?}"
    );
}

#[test]
fn a_diff_reports_the_classes_of_requests_that_reach_other_targets() {
    let old = rules(&[&file("[[route]]\nname = \"r\"\nvolume = \"a\"\npool = \"one\"\n")]);
    let new = rules(&[&file("[[route]]\nname = \"r\"\nvolume = \"a\"\nclass = \"view\"\npool = \"one\"\n")]);
    assert!(diff::diff(&old.table, &old.table, &settings(), &targets()).is_empty());
    let changes = diff::diff(&old.table, &new.table, &settings(), &targets());
    assert!(
        changes.iter().all(|c| c.request.contains("class deposit volume 000000000000000a")),
        "{changes:?}"
    );
    assert!(changes.iter().any(|c| c.before == ["s-1"] && c.after.len() == 3));
}

#[test]
fn invalid_files_are_rejected_with_file_line_and_key() {
    for (text, wanted) in [
        ("[[route]]\nname = \"r\"\npool = \"two\"\n", "line 10: route[0].pool: there is no pool \"two\""),
        ("[[pool]]\nname = \"one\"\n", "line 10: pool[3].name: \"one\" is already defined at 0.toml line 2"),
        (
            "[[route]]\nname = \"r\"\npool = \"one\"\nclass = \"viwe\"\n",
            "route[0].class: the settings have no class \"viwe\"",
        ),
        ("[[route]]\nname = \"r\"\npool = \"one\"\nnetwork = \"10.0.0.0/40\"\n", "route[0].network"),
        ("[[route]]\nname = \"r\"\npool = \"one\"\nvolume = \"9..3\"\n", "ends before it begins"),
        ("[[route]]\nname = \"r\"\npool = \"one\"\nnew = true\nshard = 3\n", "route[0].new"),
        ("[[route]]\nname = \"r\"\npool = \"one\"\nzone = \"x\"\n", "zone"),
        ("[[expect]]\nname = \"e\"\n", "line 10: expect[0]: no requirement"),
        ("[[expect]]\nname = \"e\"\nrefused = true\nonly = {}\n", "more than one requirement"),
        ("[[expect]]\nname = \"e\"\nonly = {}\nwithout = 1\n", "without only with some"),
        (
            "[[expect]]\nname = \"e\"\nnever = {}\nin_state = \"tired\"\n",
            "expect[0].in_state: unknown state \"tired\"",
        ),
        ("[[expect]]\nname = \"e\"\nonly = {}\nundecided = \"maybe\"\n", "expect[0].undecided"),
        ("[[route]]\nname = \"r\"\npool = ", "0.toml"),
    ] {
        let source = Source { name: "0.toml".into(), text: file(text) };
        let error = parse(&[source], &settings()).expect_err(text).to_string();
        assert!(error.contains(wanted) && error.contains("0.toml"), "{text}: {error}");
    }
}
