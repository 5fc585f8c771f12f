// What the configuration stream, its snapshots and the peers' exchange hold.
// Evolution: fields are only added, as optional with new ids; a release that
// writes a new format comes after one that reads it on every host.
namespace py config
namespace java io.agatetack.config

include "common.thrift"

// One operator's change, as appended to the configuration stream. Its
// version is the offset that the log gives it.
struct ChangeRecord {
  1: required i32 format
  2: required string change_id
  3: required string route_id
  4: optional common.Route route     // absent: the route is deleted
  5: required i64 expected_version   // -1: the route must not exist
  6: required i64 base               // last offset that its writer had read
  7: required string author
  8: required i64 written_at_ms      // wall clock of the writer
}

// What became of a change; the values are part of the format.
enum Verdict {
  ACCEPTED = 1
  CONFLICT = 2
  PATH_TAKEN = 3
  INVALID = 4
}

// The whole state of the fold after the record at `version`. Lists of one
// group run in parallel, as thousands of structs take far longer to encode.
struct Snapshot {
  1: required i32 format
  2: required i64 version
  3: required i64 chain              // checksum of the records folded
  // The newest accepted record of each route, by offset.
  4: required list<i64> slot_versions
  5: required list<binary> slot_records
  // The remembered changes, oldest first, and how each was decided.
  6: required list<string> change_ids
  7: required list<i64> offsets
  8: required list<Verdict> verdicts
  9: required list<i64> winners      // version that stood in the way, or -1
  10: required list<i64> digests     // checksum of what was asked for
}

// A part of a compressed snapshot: a record of the snapshot stream, and what
// one peer gives another.
struct SnapshotChunk {
  1: required i32 format
  2: required string snapshot_id
  3: required i64 version
  4: required i32 index
  5: required i32 count
  6: required i64 checksum           // of the whole compressed snapshot
  7: required binary data
}

// Consecutive records of the configuration stream, as the log holds them.
struct RecordBatch {
  1: required i64 first
  2: required list<binary> payloads
  3: required i64 chain              // checksum of all records up to the last
}

// How far a host has folded.
struct OffsetNotice {
  1: required i64 version
  2: required i64 chain
}

// Asks a peer for what follows `version`.
struct FetchRequest {
  1: required i64 version
  2: optional string snapshot_id     // continue with this snapshot
  3: optional i32 index              // at this chunk
}

// Either the records that follow, or part of a snapshot where the peer no
// longer holds them, or neither when there is nothing newer.
struct FetchReply {
  1: required OffsetNotice notice
  2: optional RecordBatch batch
  3: optional SnapshotChunk chunk
}
