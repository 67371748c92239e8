//! Clients: accepts them, reads their queries one after another, writes each one's answer.

use super::{
    ACCEPT_AGAIN, Answer, CLIENT_STALL, HELD, Note, TURNED_AWAY_AT_ONCE, read_some, unread, write_all,
};
use crate::counters::COUNTERS;
use crate::gateway::Clock;
use crate::must;
use crate::proto::pg::{self, Asked, Frontend};
use bytes::{Bytes, BytesMut};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::select;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::{sleep, timeout};

/// One client's connection, as the others see it.
#[derive(Default)]
struct Seat {
    /// Nothing has been asked, or all is answered.
    idle: Cell<bool>,
    asked: Cell<bool>,
    leave: Notify,
}

/// All connections of clients.
pub struct Clients {
    seats: RefCell<BTreeMap<u64, Rc<Seat>>>,
    most: usize,
    seated: Cell<u64>,
    txns: Cell<u32>,
    stopping: Cell<bool>,
    clock: Clock,
    notes: mpsc::Sender<Note>,
}

impl Clients {
    pub fn new(most: usize, clock: Clock, notes: mpsc::Sender<Note>) -> Rc<Self> {
        let (seats, seated, txns) = (RefCell::default(), Cell::new(0), Cell::new(0));
        Rc::new(Clients { seats, most, seated, txns, stopping: Cell::new(false), clock, notes })
    }

    /// Accepts until dropped.
    pub async fn accept(self: Rc<Self>, listener: &TcpListener) {
        loop {
            if self.open() >= self.most + TURNED_AWAY_AT_ONCE {
                self.make_room();
                sleep(ACCEPT_AGAIN).await;
                continue;
            }
            match listener.accept().await {
                Ok((stream, _)) => self.clone().seat(stream),
                Err(fault) => {
                    // Out of descriptors, or a client that was gone again: neither ends nor spins.
                    COUNTERS.accept_errors.add();
                    tracing::warn!(%fault, "clients: accept failed");
                    self.make_room();
                    sleep(ACCEPT_AGAIN).await;
                }
            }
        }
    }

    /// Takes what the machine has accepted already: a txn there counts as taken.
    pub fn accept_rest(self: &Rc<Self>, listener: &TcpListener) {
        let mut context = std::task::Context::from_waker(std::task::Waker::noop());
        while let std::task::Poll::Ready(Ok((stream, _))) = listener.poll_accept(&mut context) {
            self.clone().seat(stream);
        }
    }

    fn seat(self: Rc<Self>, stream: TcpStream) {
        COUNTERS.client_connections.add();
        let room = self.seats.borrow().len() < self.most || self.make_room();
        let (number, seat) = (self.seated.get(), Rc::new(Seat::default()));
        self.seated.set(number + 1);
        self.seats.borrow_mut().insert(number, seat.clone());
        COUNTERS.client_connections_most.most(self.seats.borrow().len());
        tokio::task::spawn_local(async move {
            if let Err(fault) = self.serve(&stream, &seat, room).await {
                tracing::debug!(%fault, "clients: connection lost");
            }
            self.seats.borrow_mut().remove(&number);
        });
    }

    /// Asks an idle client to leave; true if there was one.
    fn make_room(&self) -> bool {
        let seats = self.seats.borrow();
        let idle = seats.values().find(|seat| seat.idle.replace(false));
        idle.inspect(|seat| seat.leave.notify_one()).is_some()
    }

    /// From now on a connection ends after its answer, or at once where nothing is asked.
    pub fn stop(&self) {
        self.stopping.set(true);
        self.seats.borrow().values().for_each(|seat| seat.leave.notify_one());
    }

    pub fn open(&self) -> usize {
        self.seats.borrow().len()
    }

    async fn serve(&self, stream: &TcpStream, seat: &Seat, room: bool) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (mut frontend, mut buf) = (Frontend::default(), BytesMut::new());
        loop {
            let asked = match frontend.next(&mut buf) {
                Ok(asked) => asked,
                Err(broken) => {
                    COUNTERS.broken_streams.add();
                    let last = pg::error(true, pg::PROTOCOL, &broken.to_string(), None);
                    return write(stream, &[last]).await;
                }
            };
            match asked {
                None => {
                    if !self.more(stream, seat, &mut buf, room).await? {
                        return Ok(());
                    }
                }
                Some(Asked::Encryption) => write(stream, &[Bytes::from_static(b"N")]).await?,
                Some(Asked::Cancel | Asked::Terminate) => return Ok(()),
                Some(Asked::Startup) if !room => {
                    COUNTERS.clients_turned_away.add();
                    let last = pg::error(true, pg::TOO_MANY, "too many connections", None);
                    return write(stream, &[last]).await;
                }
                Some(Asked::Startup) => write(stream, &[pg::greeting()]).await?,
                Some(Asked::Sync) => write(stream, &[Bytes::from_static(pg::READY)]).await?,
                Some(Asked::Extended) => {
                    COUNTERS.bad_queries.add();
                    let text = "only simple queries are known here";
                    write(stream, &[pg::error(false, pg::UNSUPPORTED, text, None)]).await?;
                }
                Some(Asked::Query(text)) if text.trim_ascii().is_empty() => {
                    write(stream, &[Bytes::from_static(pg::EMPTY), Bytes::from_static(pg::READY)]).await?;
                }
                Some(Asked::Query(text)) => match pg::statement(text) {
                    Ok(statement) => {
                        seat.asked.set(true);
                        let id = self.txns.get();
                        self.txns.set(id.wrapping_add(1));
                        let (reply, answer) = oneshot::channel();
                        // Stamped when it is its turn: what waits behind another on a connection is not late.
                        let (came, statement) = (self.clock.now(), Rc::new(statement));
                        let _ = self.notes.send(Note::Txn { id, statement, came, reply }).await;
                        let answered = self.answer(stream, &mut buf, answer).await;
                        if answered.is_err() {
                            let _ = self.notes.send(Note::Gone { id }).await;
                        }
                        answered?;
                    }
                    Err(why) => {
                        COUNTERS.bad_queries.add();
                        let error = pg::error(false, pg::SYNTAX, why, None);
                        write(stream, &[error, Bytes::from_static(pg::READY)]).await?;
                    }
                },
            }
        }
    }

    /// Reads on. False: the client has left, or is asked to.
    async fn more(
        &self, stream: &TcpStream, seat: &Seat, buf: &mut BytesMut, room: bool,
    ) -> io::Result<bool> {
        // What has begun to come is waited for, though not for ever.
        if !buf.is_empty() || !room {
            return Ok(
                matches!(timeout(CLIENT_STALL, read_some(stream, buf)).await, Ok(Ok(count)) if count > 0),
            );
        }
        seat.idle.set(true);
        // A connection that came while stopping is still waited for; others end after their answer.
        let leaves = async {
            if !(self.stopping.get() && seat.asked.get()) {
                seat.leave.notified().await;
            }
        };
        let read = select! {
            biased;
            read = read_some(stream, buf) => Some(read?),
            () = leaves => None,
        };
        seat.idle.set(false);
        match read {
            Some(count) => Ok(count > 0),
            // What has come by the time that the connection is to be closed is still taken.
            None => Ok(unread(stream) && read_some(stream, buf).await? > 0),
        }
    }

    /// Waits for the final answer and writes it; an error: the client has gone away.
    async fn answer(
        &self, stream: &TcpStream, buf: &mut BytesMut, mut answer: oneshot::Receiver<Answer>,
    ) -> io::Result<()> {
        let given = loop {
            select! {
                biased;
                given = &mut answer => break given,
                read = read_some(stream, buf), if buf.len() < HELD => {
                    if read? == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
            }
        };
        must!(given.is_ok(), "every txn gets an answer");
        let ready = Bytes::from_static(pg::READY);
        match given.unwrap_or(Answer::Voided) {
            Answer::Settled([described, row, complete]) => {
                write(stream, &[described, row, complete, ready]).await
            }
            Answer::Declined { come_back } => {
                let after = come_back.map(|after| format!("{}", after.ceil()));
                let error = pg::error(false, pg::TOO_MANY, "declined: trying again is harmless", after);
                write(stream, &[error, ready]).await
            }
            Answer::Voided => {
                write(stream, &[pg::error(false, pg::INTERNAL, "voided: it may have run", None), ready]).await
            }
        }
    }
}

/// Writes all to a client, which may not take for ever.
async fn write(stream: &TcpStream, pieces: &[Bytes]) -> io::Result<()> {
    timeout(CLIENT_STALL, write_all(stream, pieces)).await.map_err(io::Error::from)?
}
