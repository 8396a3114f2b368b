//! Round trips of frames through the codec, and rejection of invalid bytes.

use azurepath_decide::size::Size;
use azurepath_decide::verdict::Reason;
use azurepath_wire::VERSION;
use azurepath_wire::codec::{self, Decoder, Error, HEADER_BYTES, MAX_BODY_BYTES};
use azurepath_wire::frame::{
    Chunk, Document, End, Frame, Heartbeat, Status, Target, Task, Verdict,
};
use azurepath_wire::summary::{Resources, Summary, Tally};
use bytes::Bytes;
use proptest::prelude::*;

/// Fixes the seed and the number of cases, so that each run has the same result.
fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

fn size() -> impl Strategy<Value = Size> {
    any::<[u64; 4]>().prop_map(|[millicores, memory_mib, accelerators, slots]| Size {
        millicores,
        memory_mib,
        accelerators,
        slots,
    })
}

prop_compose! {
    fn task()(
        rack in ".{0,20}",
        team in ".{0,20}",
        numbers in any::<(u64, u128, u8, u64, u64, bool)>(),
        gang in any::<Option<u128>>(),
        size in size(),
    ) -> Task {
        let (epoch, id, class, estimate_us, patience_us, idempotent) = numbers;
        Task {
            rack, epoch, id, team: team.clone(), kind: team, class, size,
            estimate_us, patience_us, idempotent, gang,
        }
    }
}

fn status() -> impl Strategy<Value = Status> {
    prop_oneof![
        any::<Option<u64>>().prop_map(|retry_after_us| Status::NotRun {
            reason: Reason::Overload,
            retry_after_us,
        }),
        any::<u32>().prop_map(|attempt| Status::Unknown { attempt }),
        (any::<u32>(), ".{0,12}", ".{0,12}").prop_map(|(attempt, worker, outcome)| Status::Ran {
            attempt,
            worker,
            outcome,
        }),
    ]
}

prop_compose! {
    fn summary()(
        server in ".{0,20}",
        numbers in any::<(u64, u64, u64)>(),
        racks in any::<Option<Vec<String>>>(),
        resources in proptest::option::of([size(), size(), size(), size()]),
        teams in proptest::collection::vec((".{0,9}", [size(), size(), size()]), 0..4),
        gone in any::<Vec<String>>(),
    ) -> Summary {
        let (sequence, base, wait_us) = numbers;
        let resources = resources.map(|[capacity, free, largest, ceiling]| Resources {
            capacity, free, largest, ceiling,
        });
        let teams = teams.into_iter().map(|(team, [running, waiting, allotted])| Tally {
            team, running, waiting, allotted,
        });
        Summary { server, sequence, base, racks, resources, wait_us, teams: teams.collect(), gone }
    }
}

fn frame() -> impl Strategy<Value = Frame> {
    prop_oneof![
        task().prop_map(Frame::Submit),
        task().prop_map(Frame::Resume),
        any::<u128>().prop_map(|id| Frame::Cancel(Target { id })),
        (any::<u128>(), any::<u32>(), any::<Vec<u8>>()).prop_map(|(id, attempt, data)| {
            let data = Bytes::from(data);
            Frame::Chunk(Chunk { id, attempt, data })
        }),
        (any::<u128>(), any::<u32>(), any::<u64>(), any::<u32>()).prop_map(
            |(id, attempt, length, checksum)| Frame::End(End {
                id,
                attempt,
                length,
                checksum,
            })
        ),
        (any::<u128>(), status()).prop_map(|(id, status)| Frame::Verdict(Verdict { id, status })),
        ".{0,200}".prop_map(|json| Frame::Change(Document { json })),
        summary().prop_map(Frame::Summary),
        (".{0,20}", any::<u64>(), any::<u64>()).prop_map(|(server, incarnation, revision)| {
            Frame::Heartbeat(Heartbeat {
                server,
                incarnation,
                revision,
            })
        }),
        Just(Frame::Done),
    ]
}

/// Returns all frames of a decoder up to the first error.
fn drain(decoder: &mut Decoder) -> (Vec<Frame>, Option<Error>) {
    let mut frames = Vec::new();
    loop {
        match decoder.frame() {
            Ok(Some(frame)) => frames.push(frame),
            Ok(None) => return (frames, None),
            Err(error) => return (frames, Some(error)),
        }
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn round_trip(frames in proptest::collection::vec(frame(), 0..8), piece in 1_usize..64) {
        let mut decoder = Decoder::new();
        let mut bytes = Vec::new();
        for frame in &frames {
            bytes.extend_from_slice(&codec::encode(frame)?);
        }
        let mut read = Vec::new();
        for part in bytes.chunks(piece) {
            decoder.push(part);
            let (more, error) = drain(&mut decoder);
            prop_assert_eq!(error, None);
            read.extend(more);
        }
        prop_assert_eq!(read, frames);
        prop_assert_eq!(decoder.finish(), Ok(()));
    }

    #[test]
    fn arbitrary_bytes(bytes in any::<Vec<u8>>(), piece in 1_usize..64) {
        let mut decoder = Decoder::new();
        for part in bytes.chunks(piece) {
            decoder.push(part);
            // Decoding may fail but must not panic.
            let _ = drain(&mut decoder);
        }
    }

    #[test]
    fn arbitrary_body(body in any::<Vec<u8>>()) {
        let mut bytes = b"AZPT".to_vec();
        bytes.extend_from_slice(&VERSION.to_be_bytes());
        bytes.extend_from_slice(&u32::try_from(body.len())?.to_be_bytes());
        bytes.extend_from_slice(&crc32fast::hash(&body).to_be_bytes());
        bytes.extend_from_slice(&body);
        let mut decoder = Decoder::new();
        decoder.push(&bytes);
        let (frames, error) = drain(&mut decoder);
        prop_assert!(frames.len() <= 1);
        prop_assert!(frames.len() == 1 || error.is_some());
    }

    #[test]
    fn changed_byte(frame in frame(), offset in any::<prop::sample::Index>(), bit in 0_u8..8) {
        let mut bytes = codec::encode(&frame)?.to_vec();
        let offset = offset.index(bytes.len());
        bytes[offset] ^= 1 << bit;
        let mut decoder = Decoder::new();
        decoder.push(&bytes);
        let (frames, error) = drain(&mut decoder);
        // A corrupted length may leave the decoder waiting for more bytes. All other corruptions
        // must be detected.
        prop_assert!(frames.is_empty());
        prop_assert!(error.is_some() || decoder.finish() == Err(Error::Truncated));
    }

    #[test]
    fn truncated_anywhere(frame in frame(), end in any::<prop::sample::Index>()) {
        let bytes = codec::encode(&frame)?;
        let end = end.index(bytes.len());
        let mut decoder = Decoder::new();
        decoder.push(&bytes[..end]);
        prop_assert_eq!(decoder.frame(), Ok(None));
        let expected = if end == 0 { Ok(()) } else { Err(Error::Truncated) };
        prop_assert_eq!(decoder.finish(), expected);
    }
}

/// Returns a decoder that has received a valid frame with a changed header.
fn with_header(change: impl FnOnce(&mut [u8])) -> Decoder {
    let mut bytes = codec::encode(&Frame::Done)
        .expect("the frame is short")
        .to_vec();
    change(&mut bytes[..HEADER_BYTES]);
    let mut decoder = Decoder::new();
    decoder.push(&bytes);
    decoder
}

#[test]
fn wrong_version() {
    let mut decoder = with_header(|header| header[4..6].copy_from_slice(&9_u16.to_be_bytes()));
    assert_eq!(decoder.frame(), Err(Error::Version { version: 9 }));
    assert_eq!(decoder.frame(), Err(Error::Version { version: 9 }));
}

#[test]
fn wrong_magic() {
    let mut decoder = with_header(|header| header[0] = b'G');
    assert_eq!(decoder.frame(), Err(Error::Magic));
}

#[test]
fn excessive_length() {
    let length = MAX_BODY_BYTES + 1;
    let mut decoder = with_header(|header| {
        let excessive = u32::try_from(length).expect("the length fits");
        header[6..10].copy_from_slice(&excessive.to_be_bytes());
    });
    assert_eq!(decoder.frame(), Err(Error::Length { length }));
}

/// The length of the data inside a chunk exceeds the frame.
#[test]
fn excessive_inner_length() {
    let chunk = Frame::Chunk(Chunk {
        id: 1,
        attempt: 1,
        data: Bytes::from_static(b"abc"),
    });
    let bytes = codec::encode(&chunk).expect("the frame is short");
    let mut body = bytes[HEADER_BYTES..].to_vec();
    let offset = body.len() - 4;
    assert_eq!(body[offset], 3);
    // bincode writes lengths up to 250 as one byte and marks an eight-byte length with 253.
    body.splice(
        offset..=offset,
        [253].into_iter().chain(u64::MAX.to_le_bytes()),
    );
    let mut frame = b"AZPT".to_vec();
    frame.extend_from_slice(&VERSION.to_be_bytes());
    frame.extend_from_slice(
        &u32::try_from(body.len())
            .expect("the length fits")
            .to_be_bytes(),
    );
    frame.extend_from_slice(&crc32fast::hash(&body).to_be_bytes());
    frame.extend_from_slice(&body);
    let mut decoder = Decoder::new();
    decoder.push(&frame);
    assert!(matches!(decoder.frame(), Err(Error::Body { .. })));
}
