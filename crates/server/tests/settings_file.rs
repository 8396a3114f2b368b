//! Settings files and the command line.

use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use azurepath_server::settings::{Settings, cluster};

const VALID: &str = "\
[server]
name = s1
region = ch-north
failure_domain = zrh-a
http = 127.0.0.1:8080
peers = 127.0.0.1:8081

[platform]
table = 127.0.0.1:9000
objects = 127.0.0.1:9000
instances = 127.0.0.1:9000
";

fn faults(text: &str) -> String {
    Settings::parse("s1.ini", text)
        .expect_err("the settings are invalid")
        .to_string()
}

#[test]
fn good_settings() {
    let settings = Settings::parse("s1.ini", VALID).expect("the settings are valid");
    assert_eq!(&*settings.server.name, "s1");
    assert_eq!(settings.limits.body, 8 << 20);
    assert!(settings.trace.is_none());
}

#[test]
fn all_faults_reported() {
    let text = VALID
        .replace("name = s1", "name = s 1\nnmae = s1")
        .replace("127.0.0.1:8080", "localhost:8080")
        .replace("objects = 127.0.0.1:9000\n", "")
        + "\n[limits]\npatience = 3 weeks\nbody = 8MB\n\n[limit]\nbody = 1\n";
    insta::assert_snapshot!(faults(&text), @r#"
    s1.ini:2: [server] name: can't be "s 1"; give a name of letters, digits, '-', '_' and '.'
    s1.ini:3: [server] nmae: is unknown; the keys of [server] are failure_domain, http, name, peers, region
    s1.ini:6: [server] http: can't be "localhost:8080"; give an IP number and a port, such as 10.0.0.7:8080
    s1.ini:9: [platform] objects: is missing; give an IP number and a port, such as 10.0.0.7:8080
    s1.ini:14: [limits] patience: can't be "3 weeks"; give a whole number with ms, s, m or h, such as 1500ms
    s1.ini:15: [limits] body: can't be "8MB"; give a whole number with B, KiB, MiB or GiB, such as 8MiB
    s1.ini:18: [limit] body: is in an unknown section; the sections are limits, operator, platform, server, timing
    "#);
}

#[test]
fn conflicting_settings() {
    let text = VALID.replace("127.0.0.1:8081", "127.0.0.1:8080")
        + "\n[timing]\nlease = 1s\nrenewal = 800ms\ntick = 0ms\n";
    insta::assert_snapshot!(faults(&text), @r"
    s1.ini:6: [server] peers: clashes with another setting; give peers another port than http
    s1.ini:15: [timing] renewal: clashes with another setting; give at most half of lease
    s1.ini:16: [timing] tick: clashes with another setting; give more than zero
    ");
}

#[test]
fn cluster_settings() {
    let text = "[server]\nname = e1\nregion = r\nfailure_domain = a\n\
                http = 127.0.0.1:8080\npeers = 127.0.0.1:8081\n\
                [cluster]\nready = 127.0.0.1:8082\nmetrics = 127.0.0.1:8083\n\
                store = 127.0.0.1:9000\ngang_wait = 4000ms\n";
    let parse = |text: &str| cluster::Settings::parse("e1.ini", text);
    let settings = parse(text).expect("the settings are valid");
    let gang_wait = settings.map(|settings| settings.gang_wait);
    assert_eq!(gang_wait, Some(Duration::from_secs(4)));
    let faults = parse(&text.replace("4000ms", "900ms")).expect_err("the wait is too short");
    insta::assert_snapshot!(faults, @"e1.ini:11: [cluster] gang_wait: clashes with another setting; give 1s or more");
}

/// Guards against bounds below what a process needs by itself, which would leave no room for callers.
#[test]
fn small_bounds() {
    let text = VALID.to_owned() + "\n[limits]\nmemory = 16MiB\ndescriptors = 255\n";
    insta::assert_snapshot!(faults(&text), @r"
    s1.ini:14: [limits] memory: clashes with another setting; give 32MiB or more
    s1.ini:15: [limits] descriptors: clashes with another setting; give 256 or more
    ");
}

/// A deployment without a factor, for which the template leaves the value empty, waits for racks; or
/// a factor under 1 is taken.
#[test]
fn remote_slowdown() {
    let parse = |line: &str| {
        let text = format!(
            "[server]\nname = e1\nregion = r\nfailure_domain = a\n\
             http = 127.0.0.1:8080\npeers = 127.0.0.1:8081\n\
             [cluster]\nready = 127.0.0.1:8082\nmetrics = 127.0.0.1:8083\n\
             store = 127.0.0.1:9000\n{line}\n"
        );
        cluster::Settings::parse("e1.ini", &text)
            .map(|settings| settings.and_then(|settings| settings.remote_slowdown))
    };
    assert_eq!(parse(""), Ok(None));
    assert_eq!(parse("remote_slowdown ="), Ok(None));
    assert_eq!(parse("remote_slowdown = 1.5"), Ok(Some(1.5)));
    let fault = parse("remote_slowdown = 0.5").expect_err("the factor is too small");
    insta::assert_snapshot!(fault, @r#"e1.ini:11: [cluster] remote_slowdown: can't be "0.5"; give a number of 1 or more, such as 1.5, or leave it out"#);
}

#[test]
fn duplicate_key() {
    let text = VALID.replace("region = ch-north", "region = ch-north\nregion = ch-west");
    insta::assert_snapshot!(faults(&text), @"s1.ini:4: [server] region: is given twice; keep one of them; the first is on line 3");
}

#[test]
fn invalid_syntax() {
    insta::assert_snapshot!(faults("[server\nname"), @"s1.ini:2: syntax: the line can't be read (column 5); write `[section]` and `key = value` lines");
}

struct Output {
    code: Option<i32>,
    stdout: String,
    stderr: String,
}

fn azurepath(arguments: &[&str]) -> Output {
    let output = Command::new(env!("CARGO_BIN_EXE_azurepath"))
        .args(arguments)
        .output()
        .expect("the binary runs");
    Output {
        code: output.status.code(),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

fn write_file(name: &str, text: &str) -> PathBuf {
    let name = format!("azurepath-settings-{}-{name}", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).expect("the temporary directory is writable");
    path
}

#[test]
fn check_settings() {
    let good = write_file("good.ini", VALID);
    let bad = write_file("bad.ini", "[server]\n");
    let output = azurepath(&["--check-settings", &good.display().to_string()]);
    assert_eq!(output.code, Some(0), "{}", output.stderr);
    assert!(output.stdout.ends_with("the settings are valid\n"));
    for arguments in [vec!["--check-settings"], vec![]] {
        let path = bad.display().to_string();
        let arguments: Vec<&str> = arguments.into_iter().chain([path.as_str()]).collect();
        let output = azurepath(&arguments);
        assert_eq!(output.code, Some(2));
        assert!(
            output
                .stderr
                .contains("bad.ini:1: [server] name: is missing")
        );
    }
    let _ = (std::fs::remove_file(good), std::fs::remove_file(bad));
}

#[test]
fn usage_errors() {
    for arguments in [
        vec![],
        vec!["a.ini", "b.ini"],
        vec!["--port"],
        vec!["no-such.ini"],
    ] {
        let output = azurepath(&arguments);
        assert_eq!(output.code, Some(2), "{arguments:?}: {}", output.stderr);
        assert!(output.stderr.starts_with("azurepath: "));
    }
    assert_eq!(azurepath(&["--help"]).code, Some(0));
    let version = azurepath(&["--version"]);
    assert_eq!(
        version.stdout,
        format!("azurepath {}\n", env!("CARGO_PKG_VERSION"))
    );
}
