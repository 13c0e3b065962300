/*
 * Structures that entries and agents exchange, framed as TFramedTransport does.
 * Fields have the names and meanings of the data classes in messages.py and sessions.py.
 * Regenerate with: thrift --gen py:slots,package_prefix=pumicedeck.gen. -out pumicedeck/gen wire.thrift
 */
namespace py wire

struct AttemptId { 1: string entry, 2: i64 sequence }

struct DraftId {
  1: string entry_name, 2: string trainer, 3: i64 step, 4: i64 group, 5: i64 index
}

struct Dispatch {
  1: AttemptId attempt
  2: string agent
  3: string request_id
  4: string entry_name
  5: string firm
  6: string request_class
  7: bool idempotent
  8: bool streamed
  9: string path
  10: binary body
  11: double budget
  12: double queue_budget
  13: i64 expected_tokens
  14: i32 priority
  15: string prefix
  16: string model
  17: optional DraftId draft
  18: i64 resume_offset
  19: i64 floor
  20: i64 revision
}

struct Refused { 1: AttemptId attempt, 2: i32 code, 3: string detail, 4: double retry_after }

struct Started { 1: AttemptId attempt, 2: double queue_wait }

struct Chunk { 1: AttemptId attempt, 2: i64 offset, 3: binary data }

struct Answer {
  1: AttemptId attempt
  2: i32 code
  3: i32 status
  4: string content_type
  5: binary body
  6: i64 length
  7: string digest
  8: string detail
  9: i64 tokens
  10: list<i64> versions
  11: bool bracketed
  12: double queue_wait
  13: double service_time
}

struct Revoke { 1: AttemptId attempt, 2: string agent }

struct Revoked { 1: AttemptId attempt, 2: i32 outcome }

struct Cancel { 1: AttemptId attempt }

struct Acknowledge { 1: AttemptId attempt }

struct Reattach { 1: AttemptId attempt, 2: string agent, 3: i64 offset }

struct LoadReport {
  1: i64 queued
  2: i64 running
  3: i64 slots
  4: i64 queued_tokens
  5: i64 running_tokens
  6: double service_rate
  7: i64 version
  8: bool accepting
  9: i64 interactive_tokens
}

struct Heartbeat {
  1: i64 sequence, 2: i64 revision, 3: i64 floor, 4: optional LoadReport load,
  5: double interval
}

struct Leaving { 1: string reason, 2: double grace }

struct CatalogueRequest { 1: i64 revision }

struct CatalogueCopy { 1: i64 revision, 2: binary document }

struct VersionNews { 1: string model, 2: i64 version }

struct Hello {
  1: i32 protocol
  2: string incarnation
  3: string role
  4: string failure_domain
  5: string region
  6: binary nonce
  7: binary proof
  8: string endpoint
  9: string pool
  10: string kind
  11: i32 slots
}

struct Proof { 1: binary proof }

struct Envelope {
  1: optional Dispatch Dispatch
  2: optional Refused Refused
  3: optional Started Started
  4: optional Chunk Chunk
  5: optional Answer Answer
  6: optional Revoke Revoke
  7: optional Revoked Revoked
  8: optional Cancel Cancel
  9: optional Acknowledge Acknowledge
  10: optional Reattach Reattach
  11: optional Heartbeat Heartbeat
  12: optional Leaving Leaving
  13: optional CatalogueRequest CatalogueRequest
  14: optional CatalogueCopy CatalogueCopy
  15: optional VersionNews VersionNews
  16: optional Hello Hello
  17: optional Proof Proof
}
