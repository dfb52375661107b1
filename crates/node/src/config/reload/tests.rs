//! Reloads of the configuration while the node runs.
use super::*;
use crate::config::Environment;
use expect_test::expect;

#[test]
fn reload_moves_discovery_and_rejects_an_invalid_file() {
    let file = std::env::temp_dir().join(format!("quartzhub-reload-{}.json", std::process::id()));
    let product = r#"{"Name":"view","LatencySlo":100,"ClientTimeout":500}"#;
    let write_file = |discovery: &str, extra_keys: &str| {
        let head = format!(r#"{{"listen":"127.0.0.1:6379",{discovery}{extra_keys}"#);
        std::fs::write(
            &file,
            format!(r#"{head}"settings":{{"Products":[{product}]}}}}"#),
        )
        .expect("the file is written");
    };
    write_file(r#""discovery":"127.0.0.1:1","#, "");
    let environment = Environment {
        discovery: Some("127.0.0.1:9".into()),
        ..Environment::default()
    };
    let mut config = Config::read(&file, environment).expect("the configuration is valid");
    let mut outcomes = String::new();
    let mut reload = |discovery: &str, extra_keys: &str| {
        write_file(discovery, extra_keys);
        let result = config
            .reload()
            .map_err(|e| e.to_string().replace(&*file.to_string_lossy(), "file"));
        outcomes += &format!(
            "{:?}: {result:?}\n",
            config.discovery.map(|addr| addr.port())
        );
    };
    reload(r#""discovery":"127.0.0.1:1","#, "");
    reload(
        r#""discovery":"127.0.0.1:2","#,
        r#""limits":{"sockets":99},"name":"n","#,
    );
    reload(
        r#""discovery":"127.0.0.1:3","#,
        r#""limits":{"sockets":3},"#,
    );
    reload("", "");
    reload(r#""discovery":"127.0.0.1:1","#, "");
    reload(
        r#""discovery":"127.0.0.1:1","#,
        r#""limits":{"sockets":99},"name":"n","#,
    );
    let _ = std::fs::remove_file(&file);
    expect![[r#"
        Some(9): Ok(ReloadSummary { needs_restart: [], settings_changed: false })
        Some(2): Ok(ReloadSummary { needs_restart: ["name", "limits"], settings_changed: false })
        Some(2): Err("file: limits.sockets: 3 is less than the minimum of 32")
        Some(2): Err("file: discovery: missing")
        Some(1): Ok(ReloadSummary { needs_restart: [], settings_changed: false })
        Some(1): Ok(ReloadSummary { needs_restart: ["name", "limits"], settings_changed: false })
    "#]]
    .assert_eq(&outcomes);
}

#[test]
fn reloaded_settings_are_applied_or_rejected_as_a_whole() {
    let file = std::env::temp_dir().join(format!("quartzhub-settings-{}.json", std::process::id()));
    let product = |name: &str, timeout: &str, extra_keys: &str| {
        format!(r#"{{"Name":"{name}","LatencySlo":100,"ClientTimeout":{timeout}{extra_keys}}}"#)
    };
    let write_file = |zone: &str, caps: &str, products: &[String]| {
        let products = products.join(",");
        let settings = format!(r#"{{"Zone":"{zone}","Caps":{{{caps}}},"Products":[{products}]}}"#);
        let text = format!(r#"{{"listen":"127.0.0.1:6379","settings":{settings}}}"#);
        std::fs::write(&file, text).expect("the file is written");
    };
    let view = product("view", "500", r#","Effect":"idempotent""#);
    let (caps, fewer_attempts) = (
        r#""MostShots":3,"Probing":true"#,
        r#""MostShots":2,"Probing":true"#,
    );
    write_file("a", caps, std::slice::from_ref(&view));
    let mut config =
        Config::read(&file, Environment::default()).expect("the configuration is valid");
    let mut outcomes = String::new();
    let mut reload = |zone: &str, caps: &str, products: &[String]| {
        write_file(zone, caps, products);
        let result = config.reload();
        let result = result.map_err(|e| e.to_string().replace(&*file.to_string_lossy(), "file"));
        let attempts = config.settings.number("caps.most_shots", 0.0);
        outcomes += &format!(
            "{attempts} attempts, {} products: {result:?}\n",
            quartzhub_settings::products(&config.settings).len()
        );
    };
    let put = product("put", "400", r#","Effect":"deduplicated""#);
    reload("a", caps, std::slice::from_ref(&view));
    reload("a", fewer_attempts, &[view.clone(), put.clone()]);
    reload("b", caps, std::slice::from_ref(&put));
    reload("a", r#""MostShots":2"#, &[view.clone(), put.clone()]);
    reload(
        "a",
        fewer_attempts,
        &[view.clone(), product("put", "400", "")],
    );
    reload(
        "a",
        fewer_attempts,
        &[
            view.clone(),
            product("put", "-5", r#","Effect":"deduplicated""#),
        ],
    );
    reload(
        "a",
        fewer_attempts,
        &[view.clone(), put.clone(), put.clone()],
    );
    reload("a", fewer_attempts, &[]);
    std::fs::write(&file, "").expect("the file is written");
    assert!(config
        .reload()
        .is_err_and(|e| e.to_string().contains("EOF")));
    let _ = std::fs::remove_file(&file);
    expect![[r#"
        3 attempts, 1 products: Ok(ReloadSummary { needs_restart: [], settings_changed: false })
        2 attempts, 2 products: Ok(ReloadSummary { needs_restart: [], settings_changed: true })
        3 attempts, 1 products: Ok(ReloadSummary { needs_restart: [], settings_changed: true })
        3 attempts, 1 products: Err("file: settings.Caps.Probing: missing")
        3 attempts, 1 products: Err("file: settings.Products[].Effect: missing")
        3 attempts, 1 products: Err("file: settings.Products[1].ClientTimeout: a number of milliseconds above 0 is needed")
        3 attempts, 1 products: Err("file: settings.Products[2].Name: \"put\" is used by more than one product")
        3 attempts, 1 products: Err("file: settings.Products: a list of at least one product is needed")
    "#]]
    .assert_eq(&outcomes);
}

/// Without the exception for emptied lists, a reload that moves from a deployment with tenants to
/// one without would be rejected as a truncated file.
#[test]
fn reload_may_add_tenants_and_empty_their_list() {
    let file = std::env::temp_dir().join(format!("quartzhub-tenants-{}.json", std::process::id()));
    let write_file = |tenants: &str| {
        let product = r#"{"Name":"view","LatencySlo":100,"ClientTimeout":500}"#;
        let settings = format!(r#"{{"Products":[{product}],{tenants}}}"#);
        let text = format!(r#"{{"listen":"127.0.0.1:6379","settings":{settings}}}"#);
        std::fs::write(&file, text).expect("the file is written");
    };
    write_file(r#""Projects":[]"#);
    let mut config =
        Config::read(&file, Environment::default()).expect("the configuration is valid");
    let mut outcomes = String::new();
    for tenants in [
        r#""Projects":[{"Name":"a","QuotaPerS":9},{"Name":"b","QuotaPerS":3}]"#,
        r#""Projects":[{"Name":"a"}]"#,
        r#""Projects":[]"#,
        r#""Round":5"#,
    ] {
        write_file(tenants);
        let result = config
            .reload()
            .map_err(|e| e.to_string().replace(&*file.to_string_lossy(), "file"));
        outcomes += &format!(
            "{} tenants: {result:?}\n",
            config.settings.count("projects")
        );
    }
    let _ = std::fs::remove_file(&file);
    expect![[r#"
        2 tenants: Ok(ReloadSummary { needs_restart: [], settings_changed: true })
        1 tenants: Ok(ReloadSummary { needs_restart: [], settings_changed: true })
        0 tenants: Ok(ReloadSummary { needs_restart: [], settings_changed: true })
        0 tenants: Err("file: settings.Projects: missing")
    "#]]
    .assert_eq(&outcomes);
}
