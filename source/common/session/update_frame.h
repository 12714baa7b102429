// Frames that carry updates of daemons' views; large ones are compressed. Such
// a frame is made once for all daemons that stand at the same revision.
#pragma once

#include <flatbuffers/flatbuffers.h>

#include <cstddef>

#include "common/base/error.h"
#include "common/protocol/control_generated.h"

namespace juniperway::session {

// A smaller update goes out as it is: most changes of the state are under 1 KB,
// and a router with 0.12 of a core unpacks 1 MB in some 30 ms.
inline constexpr std::size_t kCompressedUpdateBytes = 8U << 10;

flatbuffers::FlatBufferBuilder EncodeUpdateFrame(
    const protocol::FleetUpdateT& update);

// @return kCorrupt when it holds no update.
Result<protocol::FleetUpdateT> DecodeUpdate(
    const protocol::CompressedFleetUpdateT& compressed);

}  // namespace juniperway::session
