//! Tests of the mapping file: its rules, its errors and anonymised names.

use rowanglade_capture::Record;
use rowanglade_capture::access_log::Parser;
use rowanglade_capture::mapping::{Mapped, Mapping, STANDARD};
use std::path::Path;

fn line(client: &str, request: &str, size: u64) -> Mapped {
    let mapping = Mapping::standard().expect("usable");
    map(&mapping, client, request, size)
}

fn map(mapping: &Mapping, client: &str, request: &str, size: u64) -> Mapped {
    let text = format!("{client} - - [01/Dec/2026:09:00:00 -0500] \"{request} HTTP/1.1\" 200 {size}");
    let mut parser = Parser::default();
    mapping.map(&parser.parse(text.as_bytes()).expect("a line").expect("a request"))
}

fn record(mapped: Mapped) -> Record {
    match mapped {
        Mapped::Request(_, record) => record,
        other => panic!("{other:?}"),
    }
}

#[test]
fn longest_prefix_determines_the_network_and_mapped_addresses_are_ipv4() {
    let plan = |client| record(line(client, "GET /view/a/b", 10)).plan;
    assert_eq!([plan("10.20.3.4"), plan("10.21.3.4"), plan("::ffff:10.20.3.4")], [1, 0, 1]);
    assert_eq!([plan("2001:db8:20::9"), plan("2001:db8:21::9"), plan("unknown.example")], [1, 0, 0]);
    let nested = STANDARD.replace("[networks]", "[networks]\nguests = [\"::ffff:10.20.9.0/120\"]");
    let nested = Mapping::parse("f", &nested, Path::new(".")).expect("usable");
    assert_eq!(record(map(&nested, "10.20.9.7", "GET /view/a/b", 10)).plan, 0);
    assert_eq!(record(map(&nested, "10.20.8.7", "GET /view/a/b", 10)).plan, 1);
}

#[test]
fn rule_determines_size_volume_shard_and_key() {
    let read = record(line("1.1.1.1", "GET /view/00000003b4d60021/x?size=2", 200_000));
    assert_eq!((read.class, read.volume, read.units, read.key), (0, 0x3_b4d6_0021, 4.0, None));
    assert_eq!(read.shard, Some((0x3_b4d6_0021_u64 % 4) as u32));
    let write = |piece: &str| record(line("1.1.1.1", &format!("PUT /deposit/v/{piece}"), 10));
    assert_eq!(write("p").key, write("p").key, "a repeated write has the same key");
    assert_ne!(write("p").key, write("q").key);
    assert_eq!(line("1.1.1.1", "GET /favicon.ico", 1), Mapped::Ignored(0));
}

#[test]
fn unmatched_requests_are_reported_by_pattern() {
    let unmatched = |request| match line("1.1.1.1", request, 1) {
        Mapped::Unmatched(pattern) => pattern,
        other => panic!("{other:?}"),
    };
    assert_eq!(unmatched("GET /tiles/12/344/77.png"), "GET /tiles/{n}/{n}/{n}.png");
    assert_eq!(unmatched("POST /a/9f86d081884c7d65/b"), "POST /a/{hex}/b");
    let class = unmatched("GET /thumb/v/p");
    assert!(class.contains("\"thumb\" is not in the mapping"), "{class}");
}

#[test]
fn anonymised_numbers_depend_on_the_key_alone() {
    let with = |key: &str| {
        let text = STANDARD.replace(
            "[[rule]]\nname = \"no load\"",
            &format!("[anonymise]\nkey = \"{key}\"\n[[rule]]\nname = \"no load\""),
        );
        Mapping::parse("f", &text, Path::new(".")).expect("usable")
    };
    let (a, b) = (with(&"a1".repeat(32)), with(&"b2".repeat(32)));
    let of = |m: &Mapping| record(map(m, "1.1.1.1", "GET /view/00000003b4d60021/00000003b4d60021", 1));
    assert_eq!(of(&a), of(&a));
    assert_ne!(of(&a).volume, of(&b).volume);
    assert_ne!(of(&a).volume, 0x3_b4d6_0021);
    assert_ne!(of(&a).volume, of(&a).piece);
}

#[test]
fn errors_name_file_line_and_key() {
    let bad = |from: &str, to: &str| {
        assert!(STANDARD.contains(from), "{from}");
        let text = STANDARD.replacen(from, to, 1);
        let error = Mapping::parse("map.toml", &text, Path::new(".")).expect_err(to);
        let line = text[..STANDARD.find(from).unwrap_or(0)].matches('\n').count() + 1;
        let error = error.to_string();
        assert!(error.starts_with("map.toml: "), "{error}");
        (error.clone(), error.contains(&format!("line {line}")))
    };
    for (from, to, key) in [
        ("'^/(favicon", "'^/((favicon", "rule[0].path"),
        ("network = \"museums\"", "network = \"zoos\"", "rule[1].network"),
        ("volume = \"$volume\"", "volume = \"$vol\"", "rule[1].volume"),
        ("plan = \"full\"", "plan = \"gold\"", "rule[1].plan"),
        ("\"10.20.0.0/16\"", "\"10.20.0.0/61\"", "networks.museums"),
        ("hosts = 1", "hosts = 0", "hosts"),
        ("deadline_ms = 1500", "deadline_ms = 15", "class[0].deadline_ms"),
        ("name = \"export\"", "name = \"view\"", "class[2].name"),
        ("version = 1", "version = 9", "version"),
        ("piece = \"$piece\"", "peice = \"$piece\"", "peice"),
        ("{ of = 4 }", "{ of = 0 }", "shard"),
    ] {
        let (error, line) = bad(from, to);
        assert!(error.contains(key) && line, "{to}: {error}");
    }
    let secret = STANDARD.to_string() + "\n[anonymise]\nkey = \"beefbeef\"\n";
    let error = Mapping::parse("f", &secret, Path::new(".")).expect_err("short").to_string();
    assert!(error.contains("anonymise.key") && !error.contains("beef"), "{error}");
}
