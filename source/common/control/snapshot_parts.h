// Snapshots on their way between control machines: cut into frames, and put
// together again. Pure.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>

#include "common/protocol/control_generated.h"
#include "common/raft/types.h"

namespace juniperway::control {

// Hands over the parts of `message`, which holds a snapshot, in their order. A
// snapshot without data is one part.
void ForEachSnapshotPart(
    const raft::Message& message, std::size_t part_bytes,
    const std::function<void(protocol::SnapshotPartT)>& on_part);

// Puts parts together, one snapshot for each sender. Parts come in order, but
// the connection may break between them and the sender start anew.
class SnapshotAssembler {
 public:
  // @return the whole message when this was its last part.
  std::optional<raft::Message> Add(raft::NodeId from,
                                   const protocol::SnapshotPartT& part);

 private:
  std::map<raft::NodeId, raft::Message> partial_;
};

}  // namespace juniperway::control
