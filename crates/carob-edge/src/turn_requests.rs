//! Turns that other vms were asked for and have not answered yet.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use carobglade::Turn;
use tokio::sync::oneshot;

/// The open requests, by number.
#[derive(Default)]
pub struct TurnRequests {
    open: RefCell<HashMap<u64, oneshot::Sender<Turn>>>,
    last: Cell<u64>,
}

impl TurnRequests {
    /// Opens a request; returns its number and where its answer arrives.
    pub fn open(&self) -> (u64, oneshot::Receiver<Turn>) {
        let (sender, receiver) = oneshot::channel();
        let number = self.last.get() + 1;
        self.last.set(number);
        self.open.borrow_mut().insert(number, sender);
        (number, receiver)
    }

    /// Passes on the answer to a request that is still open.
    pub fn answer(&self, number: u64, turn: Turn) {
        if let Some(sender) = self.open.borrow_mut().remove(&number) {
            // The request may have ended in the meantime.
            let _ = sender.send(turn);
        }
    }

    /// Closes a request.
    pub fn close(&self, number: u64) {
        self.open.borrow_mut().remove(&number);
    }
}
