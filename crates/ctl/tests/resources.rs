//! Managing resources with the command line.

mod support;

use anyhow::Result;
use support::{TestEnv, finish};

const DOCUMENTS: &str = r#"
{"kind": "team", "name": "dispatch", "account": "barafu-pwani", "share": 3,
 "limit": {"millicores": 8000, "memory_mib": 16000, "slots": 8}}
{"kind": "queue", "name": "orders", "class": "urgent", "open_to": "dispatch",
 "size": {"millicores": 500, "slots": 1}, "estimate_ms": 20, "idempotent": true}
{"kind": "key", "name": "shop", "team": "dispatch"}
"#;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn apply_and_get() -> Result<()> {
    let env = TestEnv::start().await?;
    let file = env.file("all.json", DOCUMENTS)?;

    let dry_run = env.run(&["apply", "--file", &file, "--dry-run"]).await?;
    assert_eq!(dry_run.code, 6, "the team does not exist yet: {dry_run:?}");
    let applied = env.run(&["apply", "-f", &file]).await?;
    assert_eq!(applied.code, 0, "{applied:?}");
    assert!(
        applied.out.contains("team/dispatch accepted at revision 1"),
        "{applied:?}"
    );
    assert!(
        applied.out.contains("key, shown only now: shop."),
        "{applied:?}"
    );
    let dry_run = env.run(&["apply", "--file", &file, "--dry-run"]).await?;
    assert_eq!(dry_run.code, 0, "{dry_run:?}");
    assert!(
        dry_run.out.contains("team/dispatch dry_run: nothing"),
        "{dry_run:?}"
    );

    let listed = env.run(&["get", "teams"]).await?;
    assert_eq!(
        listed.out,
        "NAME      REVISION  ACCOUNT       LIMIT                                     SHARE\n\
         dispatch  1         barafu-pwani  memory_mib=16000,millicores=8000,slots=8  3\n"
    );
    let json = env
        .run(&["--output", "json", "get", "team", "dispatch"])
        .await?;
    assert!(json.out.contains("\"share\":3"), "{json:?}");
    let described = env.run(&["describe", "queue/orders"]).await?;
    assert!(
        described.out.contains("\"class\": \"urgent\""),
        "{described:?}"
    );
    let racks = env.run(&["get", "racks"]).await?;
    assert!(racks.out.contains("zrh-a-r1"), "{racks:?}");
    let run = env
        .run_with(&["submit", "orders"], "", "12 bags of ice")
        .await?;
    assert_eq!(
        (run.code, run.out.as_str()),
        (0, "12 bags of ice"),
        "{run:?}"
    );
    let deleted = env.run(&["delete", "queue", "orders"]).await?;
    assert_eq!(deleted.code, 0, "{deleted:?}");
    assert_eq!(env.run(&["get", "queue", "orders"]).await?.code, 4);
    env.stop().await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn exit_codes() -> Result<()> {
    let env = TestEnv::start().await?;
    let file = env.file("all.json", DOCUMENTS)?;
    env.run(&["apply", "-f", &file]).await?;
    let cases: [(&[&str], i32, &str); 7] = [
        (&["frobnicate"], 2, "azurectl --help"),
        (
            &["get", "colours"],
            2,
            "the kinds are teams, keys, queues, services, jobs, drains",
        ),
        (&["delete", "team"], 2, "type azurectl delete KIND NAME"),
        (&["get", "team", "nobody"], 4, "list the kind to see"),
        (
            &["delete", "key", "shop", "--revision", "1"],
            3,
            "read it again",
        ),
        (
            &["delete", "team", "dispatch"],
            6,
            "queues/orders: names the team",
        ),
        (
            &["apply", "-f", "nowhere.json"],
            2,
            "give the path of a file",
        ),
    ];
    for (arguments, code, hint) in cases {
        let run = env.run(arguments).await?;
        assert_eq!(run.code, code, "{arguments:?}: {run:?}");
        assert!(run.err.contains(hint), "{arguments:?}: {run:?}");
    }
    let denied = env.run_with(&["get", "teams"], "shop.wrong", "").await?;
    assert_eq!(denied.code, 5, "{denied:?}");
    let faulty = env.file(
        "bad.json",
        r#"{"kind":"team","name":"x","share":0,"limit":3}"#,
    )?;
    let run = env.run(&["apply", "-f", &faulty]).await?;
    assert_eq!(run.code, 6);
    for path in ["account: is missing", "share: write", "limit: write"] {
        assert!(run.err.contains(path), "{run:?}");
    }
    env.stop().await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_worker() -> Result<()> {
    let env = TestEnv::start().await?;
    let file = env.file("all.json", DOCUMENTS)?;
    assert_eq!(env.run(&["apply", "-f", &file]).await?.code, 0);
    let attempts_started = |name: &str| {
        env.fleet
            .worker(name)
            .map_or(0, |worker| worker.record().begun.len())
    };
    let drained = env.run(&["drain", "zrh-a-r1-w1"]).await?;
    assert_eq!(drained.code, 0, "{drained:?}");
    let before = attempts_started("zrh-a-r1-w1");
    for _ in 0..10 {
        let run = env.run_with(&["submit", "orders"], "", "x").await?;
        assert_eq!(run.code, 0, "{run:?}");
    }
    assert_eq!(
        attempts_started("zrh-a-r1-w1"),
        before,
        "a drained worker gets no new work"
    );
    assert_eq!(env.run(&["drain", "zrh-a-r1-w1", "--undo"]).await?.code, 0);
    assert_eq!(env.run(&["drain", "zrh-a-r1-w2"]).await?.code, 0);
    let run = env.run_with(&["submit", "orders"], "", "x").await?;
    assert_eq!(run.code, 0, "{run:?}");
    assert_eq!(
        attempts_started("zrh-a-r1-w1"),
        before + 1,
        "a worker gets new work again after --undo"
    );
    env.stop().await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn watch_changes() -> Result<()> {
    let env = TestEnv::start().await?;
    let watch = env.spawn(&["watch", "--from", "0", "--count", "3"], support::OPERATOR)?;
    let file = env.file("all.json", DOCUMENTS)?;
    assert_eq!(env.run(&["apply", "-f", &file]).await?.code, 0);
    let run = finish(watch).await?;
    assert_eq!(run.code, 0, "{run:?}");
    assert_eq!(
        run.out,
        "1 team/dispatch changed\n2 queue/orders changed\n3 key/shop changed\n"
    );
    env.stop().await
}
