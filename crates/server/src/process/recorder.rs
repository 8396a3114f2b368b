//! The recorder of the events that the state machines handle, as a trace of bounded size.

use std::fs::File;
use std::io::BufWriter;

use anyhow::Context;
use azurepath_decide::time::Time;
use azurepath_decide::trace::{Header, Input, Record, Writer};
use slog::{Logger, info, warn};
use tokio::sync::mpsc;

use crate::settings::Trace;

/// Records inputs; does nothing if recording is off or the trace is full.
#[derive(Clone, Debug, Default)]
pub struct Handle {
    sender: Option<mpsc::UnboundedSender<Record>>,
}

impl Handle {
    /// Records an input; `input` is called only if it is recorded.
    pub fn record(&self, at: Time, input: impl FnOnce() -> Input) {
        let open = self.sender.as_ref().filter(|sender| !sender.is_closed());
        if let Some(sender) = open {
            // The recorder ends when the trace is full, which may have just happened.
            let _ = sender.send(Record { at, input: input() });
        }
    }
}

/// The task that writes the trace.
pub struct Recorder {
    writer: Writer<BufWriter<File>>,
    records: mpsc::UnboundedReceiver<Record>,
    log: Logger,
}

impl Recorder {
    /// Opens the trace and writes its header.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be written.
    pub fn open(
        settings: &Trace,
        header: &Header,
        log: Logger,
    ) -> anyhow::Result<(Handle, Recorder)> {
        let path = settings.file.display();
        let file = File::create(&settings.file)
            .with_context(|| format!("{path} can't be written; give another [trace] file"))?;
        let writer = Writer::new(BufWriter::new(file), settings.max_size, header)
            .with_context(|| format!("{path} can't be written; raise [trace] max_size"))?;
        let (sender, records) = mpsc::unbounded_channel();
        let recorder = Recorder {
            writer,
            records,
            log,
        };
        let sender = Some(sender);
        Ok((Handle { sender }, recorder))
    }

    /// Writes until the trace is full or all handles are dropped; blocks its thread.
    pub fn run(mut self) {
        while let Some(record) = self.records.blocking_recv() {
            let written = self.writer.write(&record);
            if let Err(error) = &written {
                warn!(self.log, "trace failed"; "error" => %error);
            }
            if written.is_err() || self.writer.dropped() > 0 {
                break;
            }
        }
        match self.writer.flush() {
            Ok(()) => info!(self.log, "trace ended"; "full" => self.writer.dropped() > 0),
            Err(error) => warn!(self.log, "trace failed"; "error" => %error),
        }
    }
}
