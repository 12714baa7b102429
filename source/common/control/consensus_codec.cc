#include "common/control/consensus_codec.h"

#include <string>
#include <utility>
#include <vector>

namespace juniperway::control {
namespace {

using NodeRecords = std::vector<std::unique_ptr<protocol::NodeRecordT>>;

std::vector<std::uint8_t> ToBytes(const std::string& text) {
  return {text.begin(), text.end()};
}

std::string ToText(const std::vector<std::uint8_t>& bytes) {
  return {bytes.begin(), bytes.end()};
}

NodeRecords EncodeMembers(const std::vector<raft::Member>& members) {
  NodeRecords records;
  for (const raft::Member& member : members) {
    auto& record =
        records.emplace_back(std::make_unique<protocol::NodeRecordT>());
    record->id = member.id;
    record->address = member.address;
  }
  return records;
}

std::vector<raft::Member> DecodeMembers(const NodeRecords& records) {
  std::vector<raft::Member> members;
  for (const auto& record : records) {
    members.push_back({record->id, record->address});
  }
  return members;
}

std::unique_ptr<protocol::SnapshotRecordT> EncodeSnapshot(
    const raft::Snapshot& snapshot) {
  auto record = std::make_unique<protocol::SnapshotRecordT>();
  record->index = snapshot.index;
  record->term = snapshot.term;
  record->configuration = std::make_unique<protocol::ConfigurationRecordT>();
  record->configuration->voters = EncodeMembers(snapshot.configuration.voters);
  record->configuration->learners =
      EncodeMembers(snapshot.configuration.learners);
  record->data = ToBytes(snapshot.data);
  return record;
}

raft::Snapshot DecodeSnapshot(const protocol::SnapshotRecordT& record) {
  raft::Snapshot snapshot;
  snapshot.index = record.index;
  snapshot.term = record.term;
  if (record.configuration) {
    snapshot.configuration.voters = DecodeMembers(record.configuration->voters);
    snapshot.configuration.learners =
        DecodeMembers(record.configuration->learners);
  }
  snapshot.data = ToText(record.data);
  return snapshot;
}

}  // namespace

std::unique_ptr<protocol::ConsensusMessageT> EncodeMessage(
    const raft::Message& message) {
  auto record = std::make_unique<protocol::ConsensusMessageT>();
  record->kind = static_cast<std::uint8_t>(message.kind);
  record->from = message.from;
  record->to = message.to;
  record->term = message.term;
  record->index = message.index;
  record->log_term = message.log_term;
  record->entries.reserve(message.entries.size());
  for (const raft::Entry& entry : message.entries) {
    auto& item = record->entries.emplace_back(
        std::make_unique<protocol::EntryRecordT>());
    item->term = entry.term;
    item->index = entry.index;
    item->kind = static_cast<std::uint8_t>(entry.kind);
    item->data = ToBytes(entry.data);
  }
  record->commit = message.commit;
  record->reject = message.reject;
  record->leadership_transfer = message.leadership_transfer;
  record->receiver_votes = message.receiver_votes;
  record->round = message.round;
  if (message.snapshot) {
    record->snapshot = EncodeSnapshot(*message.snapshot);
  }
  return record;
}

std::optional<raft::Message> DecodeMessage(
    const protocol::ConsensusMessageT& record) {
  if (record.kind > static_cast<std::uint8_t>(raft::MessageKind::kTimeoutNow)) {
    return std::nullopt;
  }
  raft::Message message;
  message.kind = static_cast<raft::MessageKind>(record.kind);
  message.from = record.from;
  message.to = record.to;
  message.term = record.term;
  message.index = record.index;
  message.log_term = record.log_term;
  message.entries.reserve(record.entries.size());
  for (const auto& item : record.entries) {
    if (item->kind > static_cast<std::uint8_t>(raft::EntryKind::kNoOperation)) {
      return std::nullopt;
    }
    message.entries.push_back({item->term, item->index,
                               static_cast<raft::EntryKind>(item->kind),
                               ToText(item->data)});
  }
  message.commit = record.commit;
  message.reject = record.reject;
  message.leadership_transfer = record.leadership_transfer;
  message.receiver_votes = record.receiver_votes;
  message.round = record.round;
  if (record.snapshot) {
    message.snapshot = DecodeSnapshot(*record.snapshot);
  }
  return message;
}

}  // namespace juniperway::control
