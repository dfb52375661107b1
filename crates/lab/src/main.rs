//! The laboratory's program: plays a scenario, or an experiment with its table and plots.
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command};
use quartzhub_lab::fleet::{faulty_node, play, Outcome, Plan, Programs};
use quartzhub_lab::scenario::LabError;
use quartzhub_lab::stats::FIGURES;
use quartzhub_lab::sweep::Sweep;
use quartzhub_lab::{gossip, load, plot, run, Report, Scenario};

fn main() -> ExitCode {
    let file = |help: &'static str| Arg::new("file").value_name("FILE").required(true).help(help);
    let out = || {
        Arg::new("out").long("out").value_name("FOLDER").help("where plots and tables go; made if missing")
    };
    let policies =
        Arg::new("policies").long("policies").value_name("A,B").help("instead of the scenario's one");
    let app = Command::new("quartzhub-lab")
        .about("Emulates fleets round quartzhub's decision module")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(
            Command::new("load")
                .about("Asks a real node on loopback as a scenario's clients would")
                .arg(file("a scenario"))
                .arg(
                    Arg::new("node")
                        .long("node")
                        .value_name("ADDR")
                        .required(true)
                        .help("such as 127.0.0.1:7000"),
                )
                .arg(Arg::new("connections").long("connections").value_name("N").default_value("64")),
        )
        .subcommand(
            Command::new("compare")
                .about(
                    "Plays a scenario of one node emulated and by the real node, with stub servers on loopback",
                )
                .arg(file("a scenario")),
        )
        .subcommand(
            Command::new("fleet")
                .about("Plays a plan with several processes of the built program, stub servers and faults on loopback")
                .arg(file("plans").num_args(1..))
                .arg(Arg::new("plays").long("plays").value_name("N").default_value("1").help("of each plan; from two on, or of several plans, only a table is told"))
                .arg(Arg::new("program").long("program").value_name("FILE").help("instead of quartzhub beside this one"))
                .arg(out()),
        )
        .subcommand(
            Command::new("members")
                .about("Emulates the membership at several sizes, beside a plain detector")
                .arg(Arg::new("sizes").long("sizes").value_name("N,N").default_value("8,32,128,512"))
                .arg(Arg::new("crashes").long("crashes").value_name("N").default_value("40"))
                .arg(Arg::new("hours").long("hours").value_name("H").default_value("20").help("node-hours without a crash"))
                .arg(Arg::new("seed").long("seed").value_name("N").default_value("1"))
                .arg(out()),
        )
        .subcommand(
            Command::new("guard")
                .about("Becomes a program that ends when the process named by its id does")
                .hide(true)
                .arg(Arg::new("parent").required(true))
                .arg(Arg::new("command").required(true).num_args(1..).trailing_var_arg(true).allow_hyphen_values(true)),
        )
        .subcommand(
            Command::new("faulty-node")
                .alias("wicked")
                .about("Serves in a node's place and breaks a rule, to show that the rig sees it")
                .hide(true)
                .arg(Arg::new("misbehavior").required(true).value_parser(faulty_node::MISBEHAVIORS)),
        )
        .subcommand(
            Command::new("run")
                .about("Plays one scenario")
                .arg(file("a scenario"))
                .arg(policies)
                .arg(Arg::new("seconds").long("seconds").action(clap::ArgAction::SetTrue).help("also tells where attempts and tries went, by the second"))
                .arg(out()),
        )
        .subcommand(Command::new("sweep").about("Plays an experiment").arg(file("an experiment")).arg(out()))
        .subcommand(
            Command::new("check")
                .about("Says whether a scenario, an experiment or a plan can be played")
                .arg(file("one of them")),
        );
    let matches = app.get_matches();
    let done = match matches.subcommand() {
        Some(("run", given)) => one(given),
        Some(("sweep", given)) => many(given),
        Some(("check", given)) => check(given),
        Some(("load", given)) => ask(given),
        Some(("compare", given)) => compare(given),
        Some(("fleet", given)) => several(given),
        Some(("members", given)) => members(given),
        Some(("guard", given)) => guard(given),
        Some(("faulty-node", given)) => faulty_node(given),
        _ => Ok(()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(bad) => {
            eprintln!("quartzhub-lab: {bad}");
            ExitCode::FAILURE
        }
    }
}

fn path(given: &ArgMatches, name: &str) -> Option<PathBuf> {
    given.get_one::<String>(name).map(PathBuf::from)
}

fn read(given: &ArgMatches) -> Result<(PathBuf, String), LabError> {
    let file = path(given, "file").unwrap_or_default();
    let text = std::fs::read_to_string(&file).map_err(|e| LabError(format!("{}: {e}", file.display())))?;
    Ok((file, text))
}

fn in_file(file: &Path) -> impl Fn(LabError) -> LabError + '_ {
    move |bad| LabError(format!("{}: {bad}", file.display()))
}

/// The folder is there and can be written to: said before any run.
fn folder(given: &ArgMatches) -> Result<Option<PathBuf>, LabError> {
    let Some(folder) = path(given, "out") else { return Ok(None) };
    let bad = |e: std::io::Error| LabError(format!("{}: {e}", folder.display()));
    std::fs::create_dir_all(&folder).map_err(bad)?;
    let probe = folder.join(".quartzhub-lab");
    std::fs::write(&probe, "").map_err(bad)?;
    std::fs::remove_file(&probe).map_err(bad)?;
    Ok(Some(folder))
}

enum File {
    Scenario,
    Sweep,
    Plan,
}

fn kind(text: &str) -> File {
    let table = text.parse::<toml::Table>().unwrap_or_default();
    match (table.contains_key("seeds"), table.contains_key("scenario")) {
        (true, _) => File::Sweep,
        (false, true) => File::Plan,
        (false, false) => File::Scenario,
    }
}

fn check(given: &ArgMatches) -> Result<(), LabError> {
    let (file, text) = read(given)?;
    match kind(&text) {
        File::Sweep => Sweep::parse(&text).map(drop),
        File::Plan => Plan::parse(&text).map(drop),
        File::Scenario => Scenario::parse(&text).map(drop),
    }
    .map_err(in_file(&file))?;
    println!("{}: can be played", file.display());
    Ok(())
}

fn one(given: &ArgMatches) -> Result<(), LabError> {
    let (file, text) = read(given)?;
    let scenario = Scenario::parse(&text).map_err(in_file(&file))?;
    let folder = folder(given)?;
    let policies = match given.get_one::<String>("policies") {
        Some(list) => list.split(',').map(str::to_owned).collect(),
        None => vec![scenario.policy.clone()],
    };
    let mut reports = Vec::new();
    for policy in policies {
        let scenario = Scenario { policy: policy.clone(), ..scenario.clone() };
        let report = run(&scenario).map_err(in_file(&file))?;
        println!("{}", told(&policy, &report));
        if given.get_flag("seconds") {
            print!("{}", report.by_second());
        }
        reports.push((policy, report));
    }
    let name = file.file_stem().map_or("run".into(), |stem| stem.to_string_lossy().into_owned());
    for file in folder
        .iter()
        .map(|folder| plot::run(folder, &name, &reports))
        .collect::<Result<Vec<_>, _>>()?
        .concat()
    {
        println!("drawn: {}", file.display());
    }
    // A broken rule fails the run, with the offending API call's history.
    match reports
        .iter()
        .flat_map(|(policy, report)| report.broken.first().map(|broken| (policy, report, broken)))
        .next()
    {
        Some((policy, report, broken)) => Err(LabError(format!(
            "{policy}: rules broken {} times, first at {:.1} ms, {:?}: {}. {}",
            report.broken_count,
            broken.at.ms(),
            broken.rule,
            broken.what,
            broken.history
        ))),
        None => Ok(()),
    }
}

fn told(policy: &str, report: &Report) -> String {
    let figures = FIGURES.iter().filter_map(|name| Some(format!("{name} {:.4}", report.figure(name)?)));
    let products = report.products.iter().map(|(name, counts)| format!("{name} {:.4}", counts.service()));
    let (figures, products): (Vec<_>, Vec<_>) = (figures.collect(), products.collect());
    format!("{policy}: {}\n  by product: {}", figures.join(", "), products.join(", "))
}

fn many(given: &ArgMatches) -> Result<(), LabError> {
    let (file, text) = read(given)?;
    let sweep = Sweep::parse(&text).map_err(in_file(&file))?;
    let folder = folder(given)?;
    let rows = sweep.play().map_err(in_file(&file))?;
    let table = sweep.table(&rows);
    print!("{table}");
    if let Some(folder) = folder {
        let name = folder.join("table.md");
        std::fs::write(&name, &table).map_err(|e| LabError(format!("{}: {e}", name.display())))?;
        for file in plot::sweep(&folder, &sweep, &rows)? {
            println!("drawn: {}", file.display());
        }
    }
    match rows.iter().find_map(|row| row.example.as_ref().map(|example| (row, example))) {
        Some((row, example)) => Err(LabError(format!("{} {}: {example}", row.policy, row.at.join(" ")))),
        None => Ok(()),
    }
}

fn ask(given: &ArgMatches) -> Result<(), LabError> {
    let (file, text) = read(given)?;
    let scenario = Scenario::parse(&text).map_err(in_file(&file))?;
    let text = |name: &str| given.get_one::<String>(name).cloned().unwrap_or_default();
    let node =
        text("node").parse().map_err(|_| LabError(format!("--node: {:?} is no address", text("node"))))?;
    let connections = text("connections");
    let connections =
        connections.parse().map_err(|_| LabError(format!("--connections: {connections:?} is no number")))?;
    load::check(&scenario, node, connections)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| LabError(e.to_string()))?;
    let told = tokio::task::LocalSet::new().block_on(&runtime, load::load(&scenario, node, connections))?;
    println!("{}", load::line(&told));
    Ok(())
}

fn compare(given: &ArgMatches) -> Result<(), LabError> {
    let (file, text) = read(given)?;
    let scenario = Scenario::parse(&text).map_err(in_file(&file))?;
    let both = load::compare(&scenario).map_err(in_file(&file))?;
    let (emulated, real) = (&both.emulated, &both.real);
    println!("{}", told("emulated", emulated));
    println!(
        "real: {}; hit ratio {:.4}, attempts to the origin {}",
        load::line(real),
        both.real_hits,
        both.real_fetches
    );
    println!(
        "difference: service {:+.4}, hit ratio {:+.4}, p50 {:+.1} ms",
        real.all.service() - emulated.all.service(),
        both.real_hits - emulated.hit_ratio(),
        (real.latency.value_at_quantile(0.5) as f64 - emulated.latency.value_at_quantile(0.5) as f64)
            / 1000.0
    );
    Ok(())
}

fn several(given: &ArgMatches) -> Result<(), LabError> {
    let files = given.get_many::<String>("file").into_iter().flatten().map(PathBuf::from);
    let plans = files.map(|file| {
        let text =
            std::fs::read_to_string(&file).map_err(|e| LabError(format!("{}: {e}", file.display())))?;
        Ok((Plan::parse(&text).map_err(in_file(&file))?, file))
    });
    let plans = plans.collect::<Result<Vec<_>, LabError>>()?;
    let plays =
        given.get_one::<String>("plays").and_then(|plays| plays.parse().ok()).filter(|plays| *plays > 0);
    let plays: usize = plays.ok_or_else(|| LabError("--plays: a number of plays is needed".to_owned()))?;
    let folder = folder(given)?;
    let lab = std::env::current_exe().map_err(|e| LabError(e.to_string()))?;
    let node = path(given, "program").unwrap_or_else(|| lab.with_file_name("quartzhub"));
    let programs = Programs { node, args: Vec::new(), lab };
    let (mut failures, many) = (Vec::new(), plays > 1 || plans.len() > 1);
    if many {
        println!("{}", Outcome::heading());
    }
    for (plan, file) in &plans {
        let name = file.file_stem().map_or("fleet".into(), |stem| stem.to_string_lossy().into_owned());
        for number in 0..plays {
            let name = if many { format!("{name}-{number}") } else { name.clone() };
            let folder = folder.as_ref().map(|folder| if many { folder.join(&name) } else { folder.clone() });
            let outcome = play(plan, &programs, folder.as_deref()).map_err(in_file(file))?;
            match many {
                true => println!("{}", outcome.row(&name)),
                false => {
                    print!("{}\n{}", quartzhub_lab::fleet::event_log::text(&outcome.events), outcome.table())
                }
            }
            if let Some(folder) = folder {
                let kept = outcome.keep(plan, &folder, &name)?;
                kept.iter().filter(|_| !many).for_each(|file| println!("kept: {}", file.display()));
            }
            failures.extend(outcome.failures().into_iter().map(|failure| format!("{name}: {failure}")));
        }
    }
    match &failures[..] {
        [] => Ok(()),
        failures => Err(LabError(failures.join("\n"))),
    }
}

fn members(given: &ArgMatches) -> Result<(), LabError> {
    let text = |name: &str| given.get_one::<String>(name).cloned().unwrap_or_default();
    let bad = |name: &str| LabError(format!("--{name}: {:?} is no number", text(name)));
    let sizes = text("sizes")
        .split(',')
        .map(|size| size.parse::<usize>().ok().filter(|size| (3..=8_000).contains(size)))
        .collect::<Option<Vec<_>>>();
    let sizes =
        sizes.ok_or_else(|| LabError(format!("--sizes: {:?} are no sizes from 3 to 8000", text("sizes"))))?;
    let crashes = text("crashes").parse().map_err(|_| bad("crashes"))?;
    let hours = text("hours").parse().map_err(|_| bad("hours"))?;
    let folder = folder(given)?;
    let rows = gossip::play(&sizes, crashes, hours, text("seed").parse().map_err(|_| bad("seed"))?);
    print!("{}", gossip::table(&rows));
    for file in
        folder.iter().map(|folder| gossip::plot(folder, &rows)).collect::<Result<Vec<_>, _>>()?.concat()
    {
        println!("drawn: {}", file.display());
    }
    Ok(())
}

/// Guards against processes that outlive a rig which was killed: the system ends this one with its parent.
fn guard(given: &ArgMatches) -> Result<(), LabError> {
    use std::os::unix::process::CommandExt;
    let text = |name: &str| given.get_many::<String>(name).into_iter().flatten().cloned().collect::<Vec<_>>();
    let bad = |e: &dyn std::fmt::Display| LabError(e.to_string());
    rustix::process::set_parent_process_death_signal(Some(rustix::process::Signal::KILL))
        .map_err(|e| bad(&e))?;
    let parent = rustix::process::getppid().map(|id| id.as_raw_nonzero().to_string());
    if parent.as_ref() != text("parent").first() {
        return Err(bad(&"the process that it should end with has ended"));
    }
    let command = text("command");
    Err(bad(&std::process::Command::new(&command[0]).args(&command[1..]).exec()))
}

fn faulty_node(given: &ArgMatches) -> Result<(), LabError> {
    let misbehavior = given.get_one::<String>("misbehavior").cloned().unwrap_or_default();
    let file = std::env::var("LB_CONFIG").map_err(|e| LabError(format!("LB_CONFIG: {e}")))?;
    let text = std::fs::read_to_string(&file).map_err(|e| LabError(format!("{file}: {e}")))?;
    faulty_node::run(&misbehavior, &text).map_err(|e| LabError(e.to_string()))
}
