//! A leader that releases the leadership soon after its claim, while the one before it may still give
//! orders.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use serde::Serialize;
use support::cluster::{Cluster, leader, leading_epoch};
use support::until;

/// How long a leader may give orders after its last write.
const AUTHORITY: Duration = Duration::from_secs(4);

/// How long instances may extend leases for a leader that has released the leadership.
const OWN_GRANT: Duration = Duration::from_secs(2);

/// The leader's row.
#[derive(Serialize)]
struct Row {
    name: &'static str,
    incarnation: u64,
    address: SocketAddr,
    epoch: u64,
    write: u64,
    term: Term,
    inherited_ms: u64,
}

#[derive(Clone, Copy, Serialize)]
enum Term {
    #[expect(
        dead_code,
        reason = "the first term in the order in which rows are encoded"
    )]
    Recovering,
    Leading,
}

/// How often the change of leaders is tried. On a busy machine it may take longer than the first leader's
/// authority, and then shows nothing.
const TRIES: usize = 5;

/// Lets a second leader take over from one that is cut off, and release the leadership for a third one.
/// Returns how long the third one takes the first for able to give orders, and how long it is at least.
async fn inherited() -> Result<(Duration, Duration)> {
    let cluster = Cluster::start(0)?;
    let row = Row {
        name: "cut-off",
        incarnation: 1,
        // Nothing listens there.
        address: ([127, 0, 0, 1], 1).into(),
        epoch: 1,
        write: 1,
        term: Term::Leading,
        inherited_ms: 0,
    };
    let bytes = bincode::serde::encode_to_vec(row, bincode::config::standard())?;
    cluster.fleet.store.put_bytes("azurepath", "leader", &bytes);
    let written = Instant::now();
    let (a, b) = tokio::join!(cluster.instance("a"), cluster.instance("b"));
    let instances = [a?, b?];
    until(async || instances.iter().any(|one| leading_epoch(one).is_some())).await;
    let second = leader(&instances);
    let third = &instances[1 - second];
    instances[second].signal("TERM")?;
    until(async || third.logged("leadership claimed").is_some()).await;
    // The claim was earlier than now, so it is at least as much.
    let least = AUTHORITY.saturating_sub(written.elapsed());
    let claim = third
        .logged("leadership claimed")
        .context("it was logged")?;
    let inherited = claim["inherited_ms"]
        .as_u64()
        .context("the authority is logged")?;
    Ok((Duration::from_millis(inherited), least))
}

/// The second leader hands on only what its own relays may do, and the third one starts tasks again that
/// the first may have started.
#[tokio::test]
async fn released_term_hides_former_leader() -> Result<()> {
    for _ in 0..TRIES {
        let (inherited, least) = inherited().await?;
        assert!(inherited >= least, "{inherited:?} of {least:?}");
        // With less, what the second leader hands on in any case would do.
        if least > OWN_GRANT {
            return Ok(());
        }
    }
    bail!("no try took less than the first leader's authority")
}
