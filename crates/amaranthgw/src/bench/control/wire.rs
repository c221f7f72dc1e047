//! Encoded sizes of messages between nodes and of values in the platform services.

use amaranthgw_core::{MilliSpan, SlotCount, StartMark};
use amaranthgw_fleet::claims::ClaimShard;
use amaranthgw_fleet::config::{ConfigMessage, ConfigOffer, ConfigPush};
use amaranthgw_fleet::entry::TargetObservation;
use amaranthgw_fleet::limits::{
    HolderId, KeyShares, MilliRate, RenewalNumber, ShareAmount, ShareKey, ShareRow, ShareValue,
};
use prost::Message;
use serde::Serialize;
use serde_json::json;

use super::config::changes;
use super::worlds::{
    WorldSize, configuration, parse_id, report, service_name, target_id, vm_records,
};
use crate::bench::timing::median_us;
use crate::bench::{BenchCell, BenchError, BenchTable, Result};
use crate::wire::node::{InspectRequest, TellRequest};
use crate::wire::report_from_status;

/// Runs of each timed operation.
const REPEATS: u32 = 21;
/// Bytes added to a message by the gRPC length prefix (5) and two HTTP/2 frame headers (9 each).
const FRAME_BYTES: usize = 5 + 2 * 9;

/// Measures the sizes of messages between nodes.
pub(super) fn measure_messages() -> Result<BenchTable> {
    let mut table = BenchTable::new(
        "Messages between nodes, in bytes without HTTP/2 headers",
        &["message", "encoded", "with frames"],
    );
    let (state, _) = configuration(WorldSize::new(0, 10, 2))?;
    let push = ConfigPush {
        base: None,
        changes: vec![changes(&state)?.remove(0)],
    };
    let offer = ConfigOffer {
        number: state.number,
        age: MilliSpan::new(500),
    };
    let inspect = InspectRequest {
        target: target_id(0)?.to_string(),
    };
    let rows = [
        ("push of one change", tell_len(&ConfigMessage::Push(push))?),
        ("offer", tell_len(&ConfigMessage::Offer(offer))?),
        ("probe", inspect.encoded_len()),
        ("report of a target", report_len()?),
    ];
    for (name, size) in rows {
        let sizes = [size, size + FRAME_BYTES].map(BenchCell::count);
        table.push([vec![BenchCell::text(name)], sizes.to_vec()].concat());
    }
    Ok(table)
}

fn tell_len(message: &ConfigMessage) -> Result<usize> {
    let request = TellRequest {
        from: "vm-0.region-0.example".to_owned(),
        message: encoded(message)?.into(),
    };
    Ok(request.encoded_len())
}

fn report_len() -> Result<usize> {
    let TargetObservation::Reported { target, status } = report(0)? else {
        return Ok(0);
    };
    let service = parse_id(&service_name(0))?;
    Ok(report_from_status(&target, &service, &status).encoded_len())
}

/// Measures the sizes and coding times of values in the key-value service and of the VM list.
pub(super) fn measure_values() -> Result<BenchTable> {
    let mut table = BenchTable::new(
        "Values of the platform",
        &["value", "rows", "bytes", "encode us", "decode us"],
    );
    for claims in [100, 1_000, 4_000] {
        let value = claim_shard(claims)?;
        table.push(value_row("claims", claims, &value)?);
    }
    for (keys, holders) in [(60, 10), (60, 100), (1, 1_700)] {
        let value = share_value(keys, holders)?;
        table.push(value_row("shares", keys * holders, &value)?);
    }
    for targets in [15, 1_000, 10_000] {
        let records = vm_records(WorldSize::new(targets, 0, 23))?;
        table.push(value_row("VM list", records.len(), &records)?);
    }
    Ok(table)
}

fn value_row<T>(name: &str, rows: usize, value: &T) -> Result<Vec<BenchCell>>
where
    T: Serialize + serde::de::DeserializeOwned,
{
    let bytes = encoded(value)?;
    let encode_us = median_us(REPEATS, |_| drop(encoded(value)));
    let decode_us = median_us(REPEATS, |_| drop(serde_json::from_slice::<T>(&bytes)));
    Ok(vec![
        BenchCell::text(name),
        BenchCell::count(rows),
        BenchCell::count(bytes.len()),
        BenchCell::Number(encode_us),
        BenchCell::Number(decode_us),
    ])
}

fn encoded<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    let encoded = serde_json::to_vec(value);
    encoded.map_err(|_invalid| BenchError::Malformed { value: "a value" })
}

/// Creates a shard with `count` claims by decoding its stored form.
fn claim_shard(count: usize) -> Result<ClaimShard> {
    let mut rows = vec![json!(1)];
    for index in 0..count {
        let hash = || format!("{:032x}", fastrand::u128(..));
        let request = format!("caller-1.example/{index:07}");
        let made_at = 1_790_000_000_000_u64;
        let (key, fingerprint) = (hash(), hash());
        rows.push(json!([
            key,
            fingerprint,
            fastrand::u64(..),
            index,
            request,
            made_at,
            200,
            null
        ]));
    }
    let shard = serde_json::from_value(rows.into());
    shard.map_err(|_invalid| BenchError::Malformed { value: "a shard" })
}

/// Creates the stored value of `keys` limits, each shared by `holders` entries.
fn share_value(keys: usize, holders: usize) -> Result<ShareValue> {
    let holder = |index| {
        let vm = parse_id(&format!("entry-{index}.region-0.example"))?;
        Ok(HolderId::new(vm, StartMark::new(1_790_000_000_000)))
    };
    let holders: Result<Vec<_>> = (0..holders).map(holder).collect();
    let holders = holders?;
    let amount = ShareAmount::new(MilliRate::new(1_500), SlotCount::new(20));
    let row = ShareRow {
        held: amount,
        demand: amount,
    };
    let mut value = ShareValue::default();
    for holder in &holders {
        let renewal = RenewalNumber::default().next();
        value.renewals.insert(holder.clone(), renewal);
    }
    for index in 0..keys {
        let workspace = parse_id(&format!("customer-{index}/main"))?;
        let key = ShareKey::new(workspace, parse_id(&service_name(index % 23))?);
        let mut shares = KeyShares {
            pool: amount,
            ..KeyShares::default()
        };
        for holder in &holders {
            shares.holders.insert(holder.clone(), row);
        }
        value.keys.insert(key, shares);
    }
    Ok(value)
}
