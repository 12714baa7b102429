// Splits a snapshot into parts for transfer between control nodes, and
// assembles the parts at the receiver. Does no I/O.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>

#include "common/protocol/control_generated.h"
#include "common/raft/types.h"

namespace juniperway::control {

// Splits `message`, which must hold a snapshot, into parts of at most
// `part_bytes` bytes of data, and calls `on_part` for each in order. A snapshot
// without data makes one part.
void ForEachSnapshotPart(
    const raft::Message& message, std::size_t part_bytes,
    const std::function<void(protocol::SnapshotPartT)>& on_part);

// Assembles snapshots from their parts, one snapshot per sender at a time.
// ControlNode owns the object. Parts arrive in order, but a lost connection can
// interrupt a transfer, after which the sender starts again at the first part.
class SnapshotAssembler {
 public:
  // @return the complete message when `part` was its last part. A part that
  //   does not continue the sender's transfer makes the assembler discard the
  //   parts that it has collected from that sender.
  std::optional<raft::Message> Add(raft::NodeId from,
                                   const protocol::SnapshotPartT& part);

 private:
  std::map<raft::NodeId, raft::Message> partial_;
};

}  // namespace juniperway::control
