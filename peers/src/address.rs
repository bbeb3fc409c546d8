//! Encodes the sender's address in the gRPC metadata of a stream.

use fescuestack_core::PeerAddress;
use tonic::metadata::{Ascii, MetadataMap, MetadataValue};

const NODE_KEY: &str = "fescuestack-node";
const DATA_CENTRE_KEY: &str = "fescuestack-data-centre";
const CONTROL_KEY: &str = "fescuestack-control";

/// Writes `address` to the metadata of a stream. Returns `None` if the node name or the data centre
/// is not a valid ASCII metadata value.
pub(crate) fn write_address(address: &PeerAddress, metadata: &mut MetadataMap) -> Option<()> {
    metadata.insert(NODE_KEY, metadata_value(&address.name)?);
    metadata.insert(DATA_CENTRE_KEY, metadata_value(&address.data_centre)?);
    metadata.insert(CONTROL_KEY, metadata_value(&address.control.to_string())?);
    Some(())
}

/// Reads the sender's address from the metadata of a stream. Returns `None` if an entry is missing or
/// malformed.
pub(crate) fn read_address(metadata: &MetadataMap) -> Option<PeerAddress> {
    let text = |key| metadata.get(key).and_then(|value| value.to_str().ok());
    Some(PeerAddress {
        name: text(NODE_KEY)?.into(),
        data_centre: text(DATA_CENTRE_KEY)?.into(),
        control: text(CONTROL_KEY)?.parse().ok()?,
    })
}

fn metadata_value(text: &str) -> Option<MetadataValue<Ascii>> {
    text.parse().ok()
}
