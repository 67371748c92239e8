//! Many instances that share no state, served from one stream of batches.

use crate::actions::write_action;
use crate::error::{HostError, ProtocolError};
use crate::fields::Fields;
use crate::messages::{Message, parse_endpoint_entry, parse_message};
use crate::settings;
use latchhaven_policy::{Action, EndpointEntry, Event, Millis, Policy};
use std::any::Any;
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Numbered lists that are stored.
const LIST_BANKS: usize = 16;

/// The events of one instance in the current batch.
struct InstanceBatch {
    name: String,
    events: Vec<Event>,
}

/// A numbered list whose entries are being sent.
struct PartialList {
    bank: usize,
    expected_entries: usize,
    entries: Vec<EndpointEntry>,
}

/// Many instances that share no state.
#[derive(Default)]
pub struct InstanceHost {
    /// By name; an instance that was stopped has no policy.
    instances: BTreeMap<String, Option<Policy>>,
    lists: [Option<Vec<EndpointEntry>>; LIST_BANKS],
    /// The time in ms of the current batch; none between batches.
    now: Option<Millis>,
    batches: Vec<InstanceBatch>,
    /// The selected instance, by its index in `batches`.
    current: Option<usize>,
    partial_list: Option<PartialList>,
}

impl InstanceHost {
    /// Serves until the end of input.
    ///
    /// # Errors
    /// Malformed input, with its line, or a failure of input or output.
    pub fn serve(&mut self, mut input: impl BufRead, mut output: impl Write) -> Result<(), HostError> {
        // A panic of a policy is answered on the output; the default hook would also print it.
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
                return if self.now.is_some() { Err(at_line(ProtocolError::Truncated)) } else { Ok(()) };
            }
            let line = std::str::from_utf8(&bytes).map_err(|_| at_line(ProtocolError::NotText))?;
            let line = line.trim_end_matches(['\n', '\r']);
            if !line.is_empty() && self.on_line(line).map_err(at_line)? {
                self.reply(output)?;
                output.flush()?;
            }
        }
    }

    /// Processes one line; true at the end of a batch.
    fn on_line(&mut self, line: &str) -> Result<bool, ProtocolError> {
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        let fields = Fields::parse(rest)?;
        if self.partial_list.is_some() && word != "ENTRY" {
            return Err(ProtocolError::InsideList(word.to_string()));
        }
        if word == "MARK" {
            return self.begin_batch(&fields);
        }
        if self.now.is_none() {
            return Err(ProtocolError::OutsideBatch(word.to_string()));
        }
        match word {
            "FLUSH" => {
                self.check_enlisted()?;
                return Ok(true);
            }
            "ON" => self.select_instance(fields.text("i")?),
            "DIRECTORY" => self.begin_list(&fields)?,
            "ENTRY" => {
                let list = self.partial_list.as_mut().ok_or(ProtocolError::EntryOutsideList)?;
                list.entries.push(parse_endpoint_entry(&fields)?);
                self.store_complete_list();
            }
            "ENLIST" => self.enlist(&fields)?,
            _ => self.on_message(word, &fields)?,
        }
        Ok(false)
    }

    fn begin_batch(&mut self, fields: &Fields) -> Result<bool, ProtocolError> {
        if self.now.is_some() {
            return Err(ProtocolError::Truncated);
        }
        self.now = Some(fields.ms("sim-time-s")?);
        Ok(false)
    }

    fn select_instance(&mut self, name: &str) {
        let existing = self.batches.iter().position(|batch| batch.name == name);
        self.current = Some(existing.unwrap_or_else(|| {
            self.batches.push(InstanceBatch { name: name.to_string(), events: Vec::new() });
            self.batches.len() - 1
        }));
    }

    fn begin_list(&mut self, fields: &Fields) -> Result<(), ProtocolError> {
        let bank = fields.number::<usize>("bank")?;
        if bank >= LIST_BANKS {
            return Err(ProtocolError::Unreadable("bank", bank.to_string()));
        }
        let expected_entries = fields.number("records")?;
        self.partial_list = Some(PartialList { bank, expected_entries, entries: Vec::new() });
        self.store_complete_list();
        Ok(())
    }

    fn store_complete_list(&mut self) {
        let is_complete = |list: &mut PartialList| list.entries.len() == list.expected_entries;
        if let Some(list) = self.partial_list.take_if(is_complete) {
            self.lists[list.bank] = Some(list.entries);
        }
    }

    fn check_enlisted(&self) -> Result<(), ProtocolError> {
        match self.batches.iter().find(|batch| !self.instances.contains_key(&batch.name)) {
            Some(batch) => Err(ProtocolError::NotEnlisted(batch.name.clone())),
            None => Ok(()),
        }
    }

    fn enlist(&mut self, fields: &Fields) -> Result<(), ProtocolError> {
        let current = self.current.ok_or(ProtocolError::NoInstance("ENLIST".to_string()))?;
        let seed = fields.number("rng-seed")?;
        let settings = settings::parse(fields.text("params")?).map_err(ProtocolError::Settings)?;
        let batch = &mut self.batches[current];
        batch.events.clear();
        self.instances.insert(batch.name.clone(), Some(settings.start_policy(seed)));
        Ok(())
    }

    fn on_message(&mut self, word: &str, fields: &Fields) -> Result<(), ProtocolError> {
        let message = parse_message(word, fields)?;
        let current = self.current.ok_or(ProtocolError::NoInstance(word.to_string()))?;
        let batch = &mut self.batches[current];
        let instance = self.instances.get_mut(&batch.name);
        let Some(policy) = instance.filter(|policy| policy.is_some() || message == Message::Halt) else {
            return Err(ProtocolError::NotEnlisted(batch.name.clone()));
        };
        match message {
            Message::Halt => {
                *policy = None;
                batch.events.clear();
            }
            Message::Event(event) => batch.events.push(event),
            Message::EndpointList { kind, list_version, bank } => {
                let entries = stored_entries(&self.lists, bank)?;
                batch.events.push(Event::EndpointUpdate { kind, list_version, entries });
            }
        }
        Ok(())
    }

    fn reply(&mut self, output: &mut impl Write) -> io::Result<()> {
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

/// The stored entries of the list in `bank`.
fn stored_entries(
    lists: &[Option<Vec<EndpointEntry>>], bank: Option<usize>,
) -> Result<Vec<EndpointEntry>, ProtocolError> {
    let bank = bank.ok_or(ProtocolError::Missing("bank"))?;
    let stored = lists.get(bank).and_then(Option::as_ref);
    stored.cloned().ok_or(ProtocolError::NoSuchList(bank))
}

fn write_actions(instance: &str, actions: &[Action], output: &mut impl Write) -> io::Result<()> {
    if actions.is_empty() {
        return Ok(());
    }
    writeln!(output, "CONTEXT i={instance}")?;
    actions.iter().try_for_each(|action| write_action(action, output))
}

fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let owned = panic.downcast_ref::<String>().map(String::as_str);
    owned.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("panic")
}
