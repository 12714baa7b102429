#include "common/session/update_frame.h"

#include <string>
#include <string_view>
#include <utility>

#include "common/base/compression.h"
#include "common/session/control_frames.h"

namespace juniperway::session {

flatbuffers::FlatBufferBuilder EncodeUpdateFrame(
    const protocol::FleetUpdateT& update) {
  flatbuffers::FlatBufferBuilder plain;
  plain.Finish(protocol::FleetUpdate::Pack(plain, &update));
  if (plain.GetSize() < kCompressedUpdateBytes) {
    flatbuffers::FlatBufferBuilder frame;
    const auto message = protocol::FleetUpdate::Pack(frame, &update);
    frame.FinishSizePrefixed(protocol::CreateControlFrame(
        frame, protocol::ControlMessage::FleetUpdate, message.Union()));
    return frame;
  }
  protocol::CompressedFleetUpdateT compressed;
  compressed.content =
      Compress({reinterpret_cast<const char*>(plain.GetBufferPointer()),
                plain.GetSize()});
  return EncodeFrame(std::move(compressed));
}

Result<protocol::FleetUpdateT> DecodeUpdate(
    const protocol::CompressedFleetUpdateT& compressed) {
  const auto content = Decompress(compressed.content);
  if (!content) {
    return tl::unexpected(content.error());
  }
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(content->data());
  flatbuffers::Verifier verifier(bytes, content->size(), /*max_depth=*/64,
                                 /*max_tables=*/100'000'000);
  if (!verifier.VerifyBuffer<protocol::FleetUpdate>(nullptr)) {
    return MakeError(ErrorCode::kCorrupt, "", "the update does not decode");
  }
  protocol::FleetUpdateT update;
  flatbuffers::GetRoot<protocol::FleetUpdate>(bytes)->UnPackTo(&update);
  return update;
}

}  // namespace juniperway::session
