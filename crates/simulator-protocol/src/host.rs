//! Runs many policy instances on one stream of simulator messages, which are grouped into batches by time.

use crate::actions::{has_line, write_action};
use crate::error::{HostError, ProtocolError};
use crate::fields::Fields;
use crate::messages::{Message, parse_endpoint_entry, parse_message};
use crate::settings;
use latchhaven_policy::{Action, EndpointEntry, Event, Millis, Policy};
use std::any::Any;
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Slots for endpoint lists that messages refer to by number.
const LIST_SLOTS: usize = 16;

/// The events of one instance in the current batch.
struct InstanceBatch {
    name: String,
    events: Vec<Event>,
}

/// An endpoint list whose entries have not all arrived.
struct PartialList {
    slot: usize,
    expected_entries: usize,
    entries: Vec<EndpointEntry>,
}

/// Runs policy instances that share no state. The input is grouped into batches: all messages of a batch have the same
/// time, and the actions of all instances are written at its end.
#[derive(Default)]
pub struct InstanceHost {
    /// Policies by the name of the instance; `None` if the instance was stopped.
    instances: BTreeMap<String, Option<Policy>>,
    lists: [Option<Vec<EndpointEntry>>; LIST_SLOTS],
    /// Time of the current batch; `None` between batches.
    now: Option<Millis>,
    batches: Vec<InstanceBatch>,
    /// Index in `batches` of the selected instance; `None` before a batch selects one.
    current: Option<usize>,
    partial_list: Option<PartialList>,
}

impl InstanceHost {
    /// Processes `input` until its end and writes the actions to `output`, which is flushed after each batch.
    ///
    /// Replaces the panic hook of the process while it runs.
    ///
    /// # Errors
    /// A line is malformed, the input ends within a batch, or reading or writing failed.
    pub fn serve(&mut self, mut input: impl BufRead, mut output: impl Write) -> Result<(), HostError> {
        // A panic of a policy is written to the output; the default hook would also print it to standard error.
        let hook = std::panic::take_hook();
        std::panic::set_hook(Box::new(|_| ()));
        let result = self.serve_lines(&mut input, &mut output);
        std::panic::set_hook(hook);
        result
    }

    fn serve_lines(&mut self, input: &mut impl BufRead, output: &mut impl Write) -> Result<(), HostError> {
        let mut bytes = Vec::new();
        let mut number = 0;
        loop {
            bytes.clear();
            number += 1;
            let at_line = |error| HostError::Input { line: number, error };
            if input.read_until(b'\n', &mut bytes)? == 0 {
                return match self.now {
                    Some(_) => Err(at_line(ProtocolError::IncompleteBatch("the end of input"))),
                    None => Ok(()),
                };
            }
            let line = std::str::from_utf8(&bytes).map_err(|_| at_line(ProtocolError::NotUtf8))?;
            let line = line.trim_end_matches(['\n', '\r']);
            if !line.is_empty() && self.process_line(line).map_err(at_line)? {
                self.end_batch(output)?;
                output.flush()?;
            }
        }
    }

    /// Processes one line. Returns `true` if the line ends a batch.
    fn process_line(&mut self, line: &str) -> Result<bool, ProtocolError> {
        let (name, rest) = line.split_once(' ').unwrap_or((line, ""));
        let fields = Fields::parse(rest)?;
        if self.partial_list.is_some() && name != "ENTRY" {
            return Err(ProtocolError::InsideList(name.to_string()));
        }
        if name == "MARK" {
            self.begin_batch(&fields)?;
            return Ok(false);
        }
        if self.now.is_none() {
            return Err(ProtocolError::OutsideBatch(name.to_string()));
        }
        match name {
            "FLUSH" => {
                self.check_instances_started()?;
                return Ok(true);
            }
            "ON" => self.select_instance(fields.text("i")?),
            "DIRECTORY" => self.begin_list(&fields)?,
            "ENTRY" => {
                let list = self.partial_list.as_mut().ok_or(ProtocolError::EntryOutsideList)?;
                list.entries.push(parse_endpoint_entry(&fields)?);
                self.store_complete_list();
            }
            "ENLIST" => self.start_instance(&fields)?,
            _ => self.process_message(name, &fields)?,
        }
        Ok(false)
    }

    fn begin_batch(&mut self, fields: &Fields) -> Result<(), ProtocolError> {
        if self.now.is_some() {
            return Err(ProtocolError::IncompleteBatch("MARK"));
        }
        self.now = Some(fields.ms("sim-time-s")?);
        Ok(())
    }

    fn select_instance(&mut self, name: &str) {
        let existing = self.batches.iter().position(|batch| batch.name == name);
        self.current = Some(existing.unwrap_or_else(|| {
            self.batches.push(InstanceBatch { name: name.to_string(), events: Vec::new() });
            self.batches.len() - 1
        }));
    }

    fn begin_list(&mut self, fields: &Fields) -> Result<(), ProtocolError> {
        let slot = fields.number::<usize>("bank")?;
        if slot >= LIST_SLOTS {
            return Err(ProtocolError::InvalidValue("bank", slot.to_string()));
        }
        let expected_entries = fields.number("records")?;
        self.partial_list = Some(PartialList { slot, expected_entries, entries: Vec::new() });
        self.store_complete_list();
        Ok(())
    }

    fn store_complete_list(&mut self) {
        let is_complete = |list: &mut PartialList| list.entries.len() == list.expected_entries;
        if let Some(list) = self.partial_list.take_if(is_complete) {
            self.lists[list.slot] = Some(list.entries);
        }
    }

    fn check_instances_started(&self) -> Result<(), ProtocolError> {
        match self.batches.iter().find(|batch| !self.instances.contains_key(&batch.name)) {
            Some(batch) => Err(ProtocolError::NotRunning(batch.name.clone())),
            None => Ok(()),
        }
    }

    fn start_instance(&mut self, fields: &Fields) -> Result<(), ProtocolError> {
        let current = self.current.ok_or(ProtocolError::NoInstanceSelected("ENLIST".to_string()))?;
        let seed = fields.number("rng-seed")?;
        let settings = settings::parse(fields.text("params")?).map_err(ProtocolError::Settings)?;
        let batch = &mut self.batches[current];
        batch.events.clear();
        self.instances.insert(batch.name.clone(), Some(settings.start_policy(seed)));
        Ok(())
    }

    fn process_message(&mut self, name: &str, fields: &Fields) -> Result<(), ProtocolError> {
        let message = parse_message(name, fields)?;
        let current = self.current.ok_or(ProtocolError::NoInstanceSelected(name.to_string()))?;
        let batch = &mut self.batches[current];
        let instance = self.instances.get_mut(&batch.name);
        let Some(policy) = instance.filter(|policy| policy.is_some() || message == Message::Halt) else {
            return Err(ProtocolError::NotRunning(batch.name.clone()));
        };
        match message {
            Message::Halt => {
                *policy = None;
                batch.events.clear();
            }
            Message::Event(event) => batch.events.push(event),
            Message::EndpointList { kind, list_version, slot } => {
                let entries = stored_entries(&self.lists, slot)?;
                batch.events.push(Event::EndpointUpdate { kind, list_version, entries });
            }
        }
        Ok(())
    }

    /// Passes the events of the batch to the instances, in the order in which the batch selected them, and writes their
    /// actions.
    fn end_batch(&mut self, output: &mut impl Write) -> io::Result<()> {
        let now = self.now.take().unwrap_or_default();
        self.current = None;
        for batch in std::mem::take(&mut self.batches) {
            let Some(Some(policy)) = self.instances.get_mut(&batch.name) else { continue };
            if batch.events.is_empty() {
                continue;
            }
            match catch_unwind(AssertUnwindSafe(|| policy.handle_events(now, batch.events))) {
                Ok(actions) => write_actions(&batch.name, &actions, output)?,
                Err(panic) => {
                    let what = panic_message(panic.as_ref()).replace(['\n', '\r'], " ");
                    writeln!(output, "CONTEXT i={}", batch.name)?;
                    writeln!(output, "BROKEN what={what}")?;
                }
            }
        }
        writeln!(output, "YIELD")
    }
}

fn stored_entries(
    lists: &[Option<Vec<EndpointEntry>>], slot: Option<usize>,
) -> Result<Vec<EndpointEntry>, ProtocolError> {
    let slot = slot.ok_or(ProtocolError::Missing("bank"))?;
    let stored = lists.get(slot).and_then(Option::as_ref);
    stored.cloned().ok_or(ProtocolError::UnknownList(slot))
}

fn write_actions(instance: &str, actions: &[Action], output: &mut impl Write) -> io::Result<()> {
    if !actions.iter().any(has_line) {
        return Ok(());
    }
    writeln!(output, "CONTEXT i={instance}")?;
    actions.iter().try_for_each(|action| write_action(action, output))
}

fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let owned = panic.downcast_ref::<String>().map(String::as_str);
    owned.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("panic")
}
