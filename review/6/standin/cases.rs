//! The cases.

use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, GRID, Queue, SHOP, Setting, Tenant, configuration};
use crate::json::{Json, object};

/// Whether a rule was broken, and how.
type Verdict = Result<Option<String>, String>;

const SERVICE: &str = "5c0e000000000001";
const FILLER: &str = "5c0e000000000002";
const BLOCKER: &str = "5c0e000000000003";
const GANG: &str = "5c0e000000000004";
const LATER: &str = "5c0e000000000005";

// The kinds of request of the site, by priority.
const CHECKS: Queue = Queue {
    name: "checks",
    hint: None,
    priority: 0,
    stretch: 1.5,
    slo_ms: 500,
};
const AUDITS: Queue = Queue {
    name: "audits",
    hint: None,
    priority: 1,
    stretch: 2.2,
    slo_ms: 1_200,
};
const SWEEPS: Queue = Queue {
    name: "sweeps",
    hint: None,
    priority: 2,
    stretch: 4.0,
    slo_ms: 3_000,
};

fn job(spec: &str, step: Json) -> Json {
    object([("spec", spec.into()), ("phases", vec![step].into())])
}

/// A service's worker is lost for good while fillers run on all others.
pub fn service(setting: &Setting) -> Verdict {
    let kinds = ["a"; 10];
    let deployment = Deployment::start(
        setting,
        &kinds,
        &configuration(1, &[CHECKS], &[SHOP]),
        (0, 0.0, 0),
    )?;
    let step = object([
        ("count", 1.into()),
        ("cpu", 4_000.into()),
        ("memMb", 4_096.into()),
        ("longRunning", true.into()),
        ("image", "api".into()),
        ("targetMs", 200.into()),
    ]);
    deployment.submit(&format!("/checks/{SERVICE}"), &job("lasts", step))?;
    deployment.wait_running(SERVICE, 1, Duration::from_secs(5))?;
    let step = object([
        ("count", 9.into()),
        ("cpu", 2_000.into()),
        ("memMb", 1_024.into()),
        ("longRunning", true.into()),
        ("fills", true.into()),
        ("antiAffinity", 1.into()),
        ("image", "reindex".into()),
    ]);
    deployment.submit(&format!("/checks/{FILLER}"), &job("lasts", step))?;
    deployment.wait_running(FILLER, 9, Duration::from_secs(5))?;
    thread::sleep(Duration::from_secs(5));
    if setting.trouble {
        let worker = deployment.workers_of(SERVICE)[0];
        deployment.workers[worker].crash();
        // Three heartbeat intervals of silence later its entry is removed.
        thread::sleep(Duration::from_millis(4_500));
        let id = deployment.workers[worker].worker.id.clone();
        deployment.store.put("servers", &id, None);
        setting
            .record
            .note(&format!("the registry no longer lists {id}"));
        thread::sleep(Duration::from_millis(5_500));
    } else {
        thread::sleep(Duration::from_secs(10));
    }
    // Ten seconds after the crash: the last lease has ended, and 6 s have passed since the last run.
    // Watch for 12 s more; 3 s without a run break the rule.
    let (mut idle_since, mut longest) = (None, Duration::ZERO);
    let end = Instant::now() + Duration::from_secs(12);
    while Instant::now() < end {
        if deployment.running(SERVICE) == 0 {
            longest = longest.max(idle_since.get_or_insert_with(Instant::now).elapsed());
        } else {
            idle_since = None;
        }
        thread::sleep(Duration::from_millis(50));
    }
    deployment.call(0, "GET", &format!("/checks/{SERVICE}"), None);
    setting.record.note(&format!(
        "{} tasks of the filler run; the longest time without the service is {:.1} s",
        deployment.running(FILLER),
        longest.as_secs_f64()
    ));
    let broken = format!(
        "LOST: nothing of the service ran for {:.1} s, with nine workers up that have all their processors unbooked",
        longest.as_secs_f64()
    );
    Ok((longest >= Duration::from_secs(3)).then_some(broken))
}

/// The only worker of a kind is unhealthy and refuses to start tasks.
pub fn pending(setting: &Setting) -> Verdict {
    const JOBS: u64 = 8;
    let mut kinds = ["a"; 12];
    kinds[5] = "b";
    let deployment = Deployment::start(
        setting,
        &kinds,
        &configuration(1, &[CHECKS], &[SHOP]),
        (0, 0.0, 0),
    )?;
    let long = |millis: u64, cpu: u64| {
        let step = object([
            ("count", 1.into()),
            ("cpu", cpu.into()),
            ("memMb", 1_024.into()),
            ("estMs", millis.into()),
            ("requires", "b".into()),
        ]);
        job(&format!("works {millis}"), step)
    };
    let begun = Instant::now();
    if setting.trouble {
        setting.record.note("w5 turns unhealthy");
        deployment.workers[5].worker.set_unhealthy(true);
    }
    let ids: Vec<String> = (0..JOBS)
        .map(|number| format!("5c0e0000000001{number:02x}"))
        .collect();
    for id in &ids {
        deployment.submit(&format!("/checks/{id}"), &long(500, 2_000))?;
    }
    // `visible_ms` and 2 s later.
    thread::sleep(Duration::from_millis(5_100));
    let mut broken = None;
    for instance in 0..deployment.instances.len() {
        let waiting = ids.iter().filter(|id| !deployment.has_begun(id)).count() as u64;
        let answer = deployment.call(instance, "GET", "/checks/", None);
        let Some((200, body)) = answer else {
            continue;
        };
        let count = body.get("pending").number();
        if count * 2 < waiting {
            broken = Some(format!(
                "MIXED: {count} given as pending, and {waiting} accepted jobs have waited for over 5 s and not begun"
            ));
        }
    }
    for id in &ids {
        deployment.call(0, "GET", &format!("/checks/{id}"), None);
    }
    let left = Duration::from_millis(6_500).saturating_sub(begun.elapsed());
    thread::sleep(left);
    if setting.trouble {
        setting.record.note("w5 is healthy again");
        deployment.workers[5].worker.set_unhealthy(false);
    }
    thread::sleep(Duration::from_secs(2));
    for id in &ids {
        deployment.call(0, "GET", &format!("/checks/{id}"), None);
    }
    Ok(broken)
}

/// One of three workers of a kind is lost for good, while a gang runs that needs all of them.
pub fn kept(setting: &Setting) -> Verdict {
    let mut kinds = ["a"; 12];
    for index in [2, 6, 10] {
        kinds[index] = "b";
    }
    let deployment = Deployment::start(
        setting,
        &kinds,
        &configuration(1, &[AUDITS, SWEEPS], &[SHOP, GRID]),
        (0, 0.0, 0),
    )?;
    let step = object([
        ("count", 3.into()),
        ("cpu", 9_000.into()),
        ("memMb", 26_000.into()),
        ("estMs", 16_000.into()),
        ("gang", true.into()),
        ("requires", "b".into()),
        ("antiAffinity", 1.into()),
    ]);
    deployment.submit_as(GRID, &format!("/audits/{GANG}"), &job("gang 3 16000", step))?;
    deployment.wait_running(GANG, 3, Duration::from_secs(5))?;
    thread::sleep(Duration::from_secs(2));
    if setting.trouble {
        deployment.workers[6].crash();
        // Three heartbeat intervals of silence later its entry is removed.
        thread::sleep(Duration::from_millis(4_500));
        deployment
            .store
            .put("servers", &deployment.workers[6].worker.id, None);
        setting.record.note("the registry no longer lists w6");
        thread::sleep(Duration::from_millis(1_500));
    } else {
        thread::sleep(Duration::from_secs(6));
    }
    let step = object([
        ("count", 2.into()),
        ("cpu", 2_000.into()),
        ("memMb", 4_000.into()),
        ("estMs", 2_000.into()),
        ("requires", "b".into()),
    ]);
    deployment.submit_as(SHOP, &format!("/sweeps/{LATER}"), &job("works 2000", step))?;
    let (begun, state) = deployment.watch(SHOP, &format!("/sweeps/{LATER}"), LATER);
    let idle: Vec<&str> = [2, 10]
        .into_iter()
        .filter(|index| deployment.workers[*index].worker.running().is_empty())
        .map(|index| deployment.workers[index].worker.id.as_str())
        .collect();
    let broken = format!(
        "LOST: the job has had nothing running for 18 s and is `{state}`; {idle:?} are idle and may run it"
    );
    Ok((!begun).then_some(broken))
}

const WORKERS: u64 = 8;
/// As for the site's gangs: the time for a question, for each worker in it, and the validity of tickets.
const HINT: (u64, f64, u64) = (450, 6.4, 2_000);
const GANGS: Queue = Queue {
    name: "gangs",
    hint: Some(HINT),
    ..AUDITS
};

/// A route is removed while a gang of it waits for tickets.
pub fn route(setting: &Setting) -> Verdict {
    let before = configuration(1, &[CHECKS, GANGS], &[SHOP, GRID]);
    reservation(
        setting,
        &before,
        &configuration(2, &[CHECKS], &[SHOP, GRID]),
        "without the gang's route",
    )
}

/// The limit of an account is lowered while a gang of it waits for tickets.
pub fn quota(setting: &Setting) -> Verdict {
    let account = |cpu| Tenant { cpu, ..SHOP };
    let before = configuration(1, &[CHECKS, GANGS], &[account(200_000), GRID]);
    let after = configuration(2, &[CHECKS, GANGS], &[account(40_000), GRID]);
    reservation(
        setting,
        &before,
        &after,
        "with a cap of 40 cores for the gang's tenant",
    )
}

/// The configuration changes while a gang waits for tickets. Then another tenant's job is handed in.
fn reservation(setting: &Setting, before: &Json, after: &Json, what: &str) -> Verdict {
    let kinds = ["a"; WORKERS as usize];
    let deployment = Deployment::start(setting, &kinds, before, HINT)?;
    let step = object([
        ("count", WORKERS.into()),
        ("cpu", 32_000.into()),
        ("memMb", 1_024.into()),
        ("estMs", 6_000.into()),
    ]);
    deployment.submit_as(
        GRID,
        &format!("/checks/{BLOCKER}"),
        &job("works 6000", step),
    )?;
    deployment.wait_running(BLOCKER, WORKERS as usize, Duration::from_secs(5))?;
    let step = object([
        ("count", WORKERS.into()),
        ("cpu", 20_000.into()),
        ("memMb", 1_024.into()),
        ("estMs", 2_000.into()),
        ("gang", true.into()),
    ]);
    deployment.submit_as(
        SHOP,
        &format!("/gangs/{GANG}"),
        &job(&format!("gang {WORKERS} 2000"), step),
    )?;
    // The fleet gets free, and the gang asks for tickets anew.
    let freed = loop {
        if deployment.running(BLOCKER) == 0 {
            break Instant::now();
        }
        thread::sleep(Duration::from_millis(2));
    };
    let asked = || {
        deployment
            .advice
            .asked
            .lock()
            .expect("no thread has panicked")
            .iter()
            .any(|(_, at)| *at >= freed - Duration::from_millis(50))
    };
    let end = Instant::now() + Duration::from_secs(10);
    while !asked() && deployment.running(GANG) == 0 && Instant::now() < end {
        thread::sleep(Duration::from_millis(5));
    }
    if !asked() {
        return Err("the gang did not ask for tickets anew".to_owned());
    }
    if setting.trouble {
        // While the question is open.
        thread::sleep(Duration::from_millis(200));
        deployment.store.put("op", "config", Some(after));
        setting
            .record
            .note(&format!("the operator writes configuration 2, {what}"));
    }
    // All bounds of the change have passed.
    thread::sleep(Duration::from_secs(8));
    let step = object([
        ("count", 1.into()),
        ("cpu", 16_000.into()),
        ("memMb", 1_024.into()),
        ("estMs", 1_000.into()),
    ]);
    deployment.submit_as(GRID, &format!("/checks/{LATER}"), &job("works 1000", step))?;
    let (begun, state) = deployment.watch(GRID, &format!("/checks/{LATER}"), LATER);
    let busy: usize = deployment
        .workers
        .iter()
        .map(|host| host.worker.running().len())
        .sum();
    let broken = format!(
        "LOST: the job has had nothing running for 18 s and is `{state}`; {busy} tasks run on the {WORKERS} workers"
    );
    Ok((!begun).then_some(broken))
}

/// Workers lose power for a moment and start again, while other instances carry the leader's orders.
pub fn carried(setting: &Setting) -> Verdict {
    const ROUNDS: u64 = 4;
    const AT_ONCE: usize = 10;
    const OUTAGE: Duration = Duration::from_millis(300);
    let kinds = ["a"; 100];
    let config = configuration(1, &[CHECKS], &[SHOP]);
    let deployment = Deployment::with_instances(
        setting,
        &kinds,
        &config,
        (0, 0.0, 0),
        5,
        "cores = 0.12\nlink = 10\n",
    )?;
    let begun = Instant::now();
    let (mut number, mut round) = (0_u64, 0);
    let mut ids = Vec::new();
    while begun.elapsed() < Duration::from_secs(4 + ROUNDS * 5) {
        let step = object([
            ("count", 4.into()),
            ("cpu", 4_000.into()),
            ("memMb", 1_024.into()),
            ("estMs", 1_000.into()),
        ]);
        let id = format!("5c0e{number:012x}");
        let answer = deployment.call(
            number as usize % 5,
            "POST",
            &format!("/checks/{id}"),
            Some(&job("works 1000", step)),
        );
        if answer.is_some_and(|(status, _)| status == 200) {
            ids.push(id);
        }
        number += 1;
        thread::sleep(Duration::from_millis(15));
        if begun.elapsed() > Duration::from_secs(4 + round * 5) && round < ROUNDS {
            round += 1;
            if !setting.trouble {
                continue;
            }
            // Those that have room get the next orders.
            let mut busy: Vec<_> = deployment
                .workers
                .iter()
                .filter(|host| host.worker.running().len() < 8)
                .collect();
            busy.sort_by_key(|host| std::cmp::Reverse(host.worker.running().len()));
            for host in busy.into_iter().take(AT_ONCE) {
                let (host, store) = (host.clone(), deployment.store.clone());
                thread::spawn(move || host.lose_power(OUTAGE, &store));
            }
        }
    }
    thread::sleep(Duration::from_secs(6));
    let mut finished = 0;
    for id in &ids {
        let answer = deployment.call(0, "GET", &format!("/checks/{id}"), None);
        finished += usize::from(answer.is_some_and(|(status, body)| {
            status == 200 && body.get("state").text() == "completed"
        }));
    }
    setting.record.note(&format!(
        "{} of {number} jobs were accepted, {finished} are completed",
        ids.len()
    ));
    let overlaps = deployment.world.overlaps(Duration::from_millis(50));
    for (first, second) in &overlaps {
        let both = first
            .ended
            .map_or(0.0, |ended| (ended - second.begun).as_secs_f64());
        setting.record.note(&format!(
            "{} run {} on {} and run {} on {} ran at the same time, for {both:.2} s",
            first.task, first.run, first.worker, second.run, second.worker
        ));
    }
    Ok((!overlaps.is_empty()).then(|| {
        format!(
            "TWICE: {} tasks had two runs at the same time",
            overlaps.len()
        )
    }))
}
