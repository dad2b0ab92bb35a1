//! Configuration files and variables: which values are used, and that each error names its key.

use rowanglade::config::Config;
use std::path::PathBuf;

const EXAMPLE: &str = include_str!("../deploy/example.json");
const OPERATOR: &str = include_str!("../deploy/operator.toml");

/// Loads these files with these environment variables; gives the error's text if they are not valid.
fn load(json: &str, operator: &str, variables: &[(&str, &str)]) -> Result<Config, String> {
    let unique = format!("rowanglade-{}-{:?}", std::process::id(), std::thread::current().id());
    let dir: PathBuf = std::env::temp_dir().join(unique);
    std::fs::create_dir_all(&dir).expect("a folder");
    let (config, toml) = (dir.join("config.json"), dir.join("operator.toml"));
    std::fs::write(&config, json).expect("written");
    std::fs::write(&toml, operator).expect("written");
    let env = |name: &str| match name {
        "LB_CONFIG" => Some(config.display().to_string()),
        _ => variables.iter().find(|(n, _)| *n == name).map(|(_, v)| v.to_string()),
    };
    let loaded = Config::load(env, &[toml]);
    std::fs::remove_dir_all(&dir).expect("removed");
    loaded.map_err(|e| e.to_string())
}

#[test]
fn example_files_load_and_variables_take_priority() {
    let config = load(EXAMPLE, OPERATOR, &[("LB_LISTEN", "127.0.0.1:9")]).expect("usable");
    insta::assert_snapshot!(config, @r"
    name n1  listen 127.0.0.1:9  discovery none
    classes view deposit  plans basic full
    admin listener: off
    iSCSI-style front: iqn.2026-12.example.kingston:rowanglade on 127.0.0.1:3260, 1 LUNs, 1 targets
    access log: access.log
    routes: none
    ");
    let without_tables = load(EXAMPLE, "", &[]).expect("usable");
    assert!(
        without_tables.iscsi.is_none() && without_tables.access_log.is_none(),
        "a part without its table is turned off"
    );
}

#[test]
fn errors_name_the_invalid_key() {
    let sites = |text: &str| load(EXAMPLE, &format!("[sites]\n{text}\n"), &[]).expect_err(text);
    for (error, key) in [
        (sites("names = [\"kingstn\"]"), "sites.names[0]: \"kingstn\" is not a zone"),
        (sites("window_ms = 0"), "sites.window_ms"),
        (sites("part = 0.5"), "sites.part"),
        (sites("hold_ms = 70000"), "sites.longest_hold_ms"),
        (sites("slow_times = 1"), "sites.slow_times"),
        (sites("hold = 1"), "hold"),
        (
            load(&EXAMPLE.replace("\"warm-within\":", "\"was-within\":"), "[sites]", &[]).expect_err("x"),
            "sites: returning targets need a recovery ramp",
        ),
    ] {
        assert!(error.contains(key), "{error:?} does not name {key}");
    }
    let json = |from: &str, to: &str| load(&EXAMPLE.replacen(from, to, 1), OPERATOR, &[]).expect_err(to);
    let toml = |from: &str, to: &str| load(EXAMPLE, &OPERATOR.replacen(from, to, 1), &[]).expect_err(to);
    for (error, key) in [
        (json("127.0.0.1:7070", "here"), "listen"),
        (json("\"seed\": \"", "\"seed\": \"x"), "seed"),
        (json("\"max-attempts\": 3", "\"max-attempts\": 0"), "attempts"),
        (json("\"nominal\": 4.0", "\"nominal\": -1"), "plans[0].nominal"),
        (json("\"by_key\"", "\"often\""), "grades[1].idempotency"),
        (json("\"hard-limit\"", "\"soft-limit\""), "hard-limit"),
        (json("\"seed\"", "\"limits\": {\"sockets\": 9}, \"seed\""), "limits.sockets"),
        (toml("\"basic\"", "\"gold\""), "iscsi.volume[0].plan"),
        (toml("00000003b4d60021", "zz"), "iscsi.volume[0].lun"),
        (toml("blocks_per_unit = 8", "blocks_per_unit = 0"), "iscsi.blocks_per_unit"),
        (toml("silence_ms", "silence"), "silence"),
        (toml("queue = 4096", "queue = 0"), "access_log.queue"),
        (toml("\"access.log\"", "\"\""), "access_log.path"),
        (load(EXAMPLE, OPERATOR, &[("LB_DISCOVERY", "x")]).expect_err("x"), "LB_DISCOVERY"),
        (load(EXAMPLE, OPERATOR, &[("LB_ADMIN", "7071")]).expect_err("x"), "LB_ADMIN"),
        (json("\"seed\"", "\"admin\": \"here\", \"seed\""), "admin"),
    ] {
        assert!(error.contains(key), "{error:?} does not name {key}");
    }
}

#[test]
fn invalid_subset_tables_are_rejected_with_their_key() {
    let subset = |text: &str| load(EXAMPLE, &format!("[subset]\n{text}\n"), &[]).expect_err(text);
    for (error, expected) in [
        (subset("size = 0"), "subset.size: must be above zero"),
        (subset("size = 2\nspread = 0.9"), "subset.spread: 0.9"),
        (subset("size = 2\nspread = inf"), "subset.spread: inf"),
        (subset("size = -1"), "size"),
        (
            load(&EXAMPLE.replace("\"siblings\": 1", "\"siblings\": 5000"), "[subset]\nsize = 2", &[])
                .expect_err("x"),
            "subset: settings.siblings is 5000",
        ),
        (
            load(
                &EXAMPLE.replace("\"siblings\": 1", "\"siblings\": 1, \"my-number\": 3"),
                "[subset]\nsize = 2",
                &[],
            )
            .expect_err("x"),
            "subset: settings.my-number is 3",
        ),
        (subset("spread = 2"), "missing field `size`"),
        (subset("size = 2\nseize = 1"), "seize"),
    ] {
        assert!(error.to_string().contains(expected), "{error}");
    }
}
