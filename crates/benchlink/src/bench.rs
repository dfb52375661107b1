//! All nodes that the bench drives in this process, and the handling of batches of events for them.
use quartzhub_policy::Time;
use quartzhub_settings::Settings;
use rustc_hash::FxHashMap;

use crate::error::{BatchError, EventError};
use crate::node_instance::NodeInstance;
use crate::wire::{Batch, Event, ListedServer, MessageKind, NodeEvents};

/// Maximum index of an endpoint list. Without this limit, a wrong index could use up all memory.
const MAX_LIST_INDEX: usize = 4096;

/// The nodes, and the endpoint lists stored for them.
#[derive(Default)]
pub(crate) struct Bench {
    nodes: FxHashMap<String, NodeInstance>,
    /// Endpoint lists by index.
    lists: Vec<Vec<ListedServer>>,
}

impl Bench {
    /// Handles one batch, and appends the response to it with its line end.
    pub(crate) fn handle_batch(
        &mut self,
        line: &[u8],
        response: &mut Vec<u8>,
    ) -> Result<(), BatchError> {
        let batch: Batch = serde_json::from_slice(line).map_err(BatchError::Malformed)?;
        let now = Time::from_ms(batch.now_ms);
        response.extend_from_slice(b"{\"nodes\":[");
        for node in batch.nodes {
            self.handle_node(now, node, response)?;
        }
        response.extend_from_slice(b"]}\n");
        Ok(())
    }

    /// Handles one node's events. A node without actions is omitted from the response.
    fn handle_node(
        &mut self,
        now: Time,
        node: NodeEvents,
        response: &mut Vec<u8>,
    ) -> Result<(), BatchError> {
        let id = node.id.as_str();
        let length_before = response.len();
        if response.last() == Some(&b'}') {
            response.push(b',');
        }
        response.extend_from_slice(b"{\"NodeId\":");
        // Writing a string to memory cannot fail.
        let _ = serde_json::to_writer(&mut *response, id);
        response.extend_from_slice(b",\"steps\":[");
        let steps_start = response.len();
        for event in node.events {
            self.handle_event(id, now, event, response)
                .map_err(|source| BatchError::Event {
                    node: id.to_owned(),
                    source,
                })?;
        }
        if response.len() == steps_start {
            response.truncate(length_before);
        } else {
            response.extend_from_slice(b"]}");
        }
        Ok(())
    }

    fn handle_event(
        &mut self,
        node: &str,
        now: Time,
        event: Event,
        response: &mut Vec<u8>,
    ) -> Result<(), EventError> {
        let kind = MessageKind::parse(event.message.as_str())?;
        match kind {
            MessageKind::Create => {
                let document = event.settings.ok_or(kind.missing("Setup"))?;
                let settings = Settings::from_document(&document);
                let seed = event.seed.unwrap_or(0);
                let instance = NodeInstance::start(&settings, seed, now, response);
                self.nodes.insert(node.to_owned(), instance);
            }
            MessageKind::Halt => {
                self.nodes.remove(node);
            }
            MessageKind::Manifest => self.store_endpoint_list(event)?,
            MessageKind::Fleet
            | MessageKind::Order
            | MessageKind::FirstByte
            | MessageKind::Done
            | MessageKind::Withdrawn
            | MessageKind::Elapsed => {
                if let Some(instance) = self.nodes.get_mut(node) {
                    instance.handle_event(now, kind, event, &self.lists, response)?;
                }
            }
            // Ignored: the policy sends no health checks and no messages between nodes.
            MessageKind::HealthResult | MessageKind::Mail => {}
        }
        Ok(())
    }

    /// Stores an endpoint list, which later updates refer to by index.
    fn store_endpoint_list(&mut self, event: Event) -> Result<(), EventError> {
        let missing = |field| MessageKind::Manifest.missing(field);
        let index = event.list.ok_or(missing("List"))? as usize;
        if index > MAX_LIST_INDEX {
            return Err(EventError::ListOutOfRange(index));
        }
        let table_size = self.lists.len().max(index + 1);
        self.lists.resize_with(table_size, Vec::new);
        self.lists[index] = event.servers.ok_or(missing("Members"))?;
        Ok(())
    }
}
