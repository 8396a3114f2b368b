//! Prints the encoded length of a summary as JSON, as a whole frame, and as a difference in which
//! one team in eight has changed.

use std::time::Duration;

use azurepath_decide::share::{Summary, Tally};
use azurepath_decide::size::Size;
use azurepath_wire::codec;
use azurepath_wire::frame::Frame;
use azurepath_wire::summary as wire;

fn size(cores: u64) -> Size {
    Size {
        millicores: cores * 1_000,
        memory_mib: cores * 3_072,
        accelerators: cores / 8,
        slots: cores,
    }
}

fn summary(sequence: u64, teams: u64, busy: u64) -> Summary {
    let tally = |team: u64| {
        let changed = if team.is_multiple_of(8) { busy } else { 0 };
        Tally {
            running: size(9 + team % 7 + changed),
            waiting: size(changed),
            allotted: size(20 + team % 5),
        }
    };
    Summary {
        server: "server-zrh-a-01".into(),
        sequence,
        racks: (0..4)
            .map(|rack| format!("zrh-a-rack-{rack}").into())
            .collect(),
        capacity: size(1_024),
        free: size(100 - busy),
        largest: size(9),
        ceiling: size(32),
        wait: Duration::from_millis(120 + busy),
        teams: (0..teams)
            .map(|team| (format!("team-{team:03}").into(), tally(team)))
            .collect(),
    }
}

fn encoded_length(summary: wire::Summary) -> usize {
    codec::encode(&Frame::Summary(summary)).map_or(0, |bytes| bytes.len())
}

fn main() {
    println!("teams  json  whole  difference  (bytes)");
    for teams in [6, 30, 83] {
        let old = summary(100, teams, 1);
        let new = summary(101, teams, 2);
        let json = serde_json::to_string(&new).map_or(0, |text| text.len());
        let whole = encoded_length(wire::Summary::from(&new));
        let difference = encoded_length(wire::Summary::since(&new, Some(&old)));
        println!("{teams:5} {json:5} {whole:6} {difference:11}");
    }
}
