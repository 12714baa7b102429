#include "common/control/snapshot_parts.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "common/control/consensus_codec.h"

namespace juniperway::control {

void ForEachSnapshotPart(
    const raft::Message& message, std::size_t part_bytes,
    const std::function<void(protocol::SnapshotPartT)>& on_part) {
  const std::string& data = message.snapshot->data;
  raft::Message header = message;
  header.snapshot->data.clear();
  std::size_t offset = 0;
  do {
    const std::size_t size = std::min(part_bytes, data.size() - offset);
    protocol::SnapshotPartT part;
    part.message = EncodeMessage(header);
    part.message->snapshot->data.assign(
        data.begin() + static_cast<std::ptrdiff_t>(offset),
        data.begin() + static_cast<std::ptrdiff_t>(offset + size));
    part.offset = offset;
    part.total = data.size();
    on_part(std::move(part));
    offset += size;
  } while (offset < data.size());
}

std::optional<raft::Message> SnapshotAssembler::Add(
    raft::NodeId from, const protocol::SnapshotPartT& part) {
  auto decoded = part.message ? DecodeMessage(*part.message) : std::nullopt;
  if (!decoded || !decoded->snapshot) {
    return std::nullopt;
  }
  auto partial = partial_.find(from);
  if (part.offset == 0) {
    partial_.insert_or_assign(from, std::move(*decoded));
  } else {
    const bool continues =
        partial != partial_.end() && partial->second.term == decoded->term &&
        partial->second.snapshot->index == decoded->snapshot->index &&
        partial->second.snapshot->data.size() == part.offset;
    if (!continues) {
      partial_.erase(from);
      return std::nullopt;
    }
    partial->second.snapshot->data += decoded->snapshot->data;
  }
  partial = partial_.find(from);
  if (partial->second.snapshot->data.size() < part.total) {
    return std::nullopt;
  }
  raft::Message complete = std::move(partial->second);
  partial_.erase(partial);
  return complete;
}

}  // namespace juniperway::control
