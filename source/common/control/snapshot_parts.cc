#include "common/control/snapshot_parts.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "common/control/consensus_codec.h"

namespace juniperway::control {

void ForEachSnapshotPart(
    const raft::Message& message, std::size_t part_bytes,
    const std::function<void(protocol::SnapshotPartT)>& take) {
  const std::string& data = message.snapshot->data;
  raft::Message head = message;
  head.snapshot->data.clear();
  std::size_t offset = 0;
  do {
    const std::size_t size = std::min(part_bytes, data.size() - offset);
    protocol::SnapshotPartT part;
    part.message = EncodeMessage(head);
    part.message->snapshot->data.assign(
        data.begin() + static_cast<std::ptrdiff_t>(offset),
        data.begin() + static_cast<std::ptrdiff_t>(offset + size));
    part.offset = offset;
    part.total = data.size();
    take(std::move(part));
    offset += size;
  } while (offset < data.size());
}

std::optional<raft::Message> SnapshotAssembler::Add(
    raft::NodeId from, const protocol::SnapshotPartT& part) {
  auto decoded = part.message ? DecodeMessage(*part.message) : std::nullopt;
  if (!decoded || !decoded->snapshot) {
    return std::nullopt;
  }
  auto known = partial_.find(from);
  if (part.offset == 0) {
    partial_.insert_or_assign(from, std::move(*decoded));
  } else {
    const bool continues =
        known != partial_.end() && known->second.term == decoded->term &&
        known->second.snapshot->index == decoded->snapshot->index &&
        known->second.snapshot->data.size() == part.offset;
    if (!continues) {
      partial_.erase(from);
      return std::nullopt;
    }
    known->second.snapshot->data += decoded->snapshot->data;
  }
  known = partial_.find(from);
  if (known->second.snapshot->data.size() < part.total) {
    return std::nullopt;
  }
  raft::Message whole = std::move(known->second);
  partial_.erase(known);
  return whole;
}

}  // namespace juniperway::control
