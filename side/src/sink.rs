//! Destinations of response frames: a connection, or a buffer in memory.

use almondwell_schema::Frame;
use almondwell_wire::{Connection, Error};

/// Takes the frames of a response in order.
pub(crate) trait Sink {
    async fn write(&mut self, frame: &Frame) -> Result<(), Error>;
}

impl Sink for Connection {
    async fn write(&mut self, frame: &Frame) -> Result<(), Error> {
        Self::write(self, frame).await
    }
}

impl Sink for Vec<Frame> {
    async fn write(&mut self, frame: &Frame) -> Result<(), Error> {
        self.push(frame.clone());
        Ok(())
    }
}
