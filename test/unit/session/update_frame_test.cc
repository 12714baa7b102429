// Updates come back from their frames, and a whole state is sent small.
#include "common/session/update_frame.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "common/session/control_frames.h"
#include "common/session/fleet_codec.h"

namespace juniperway::session {
namespace {

// The state of a fleet with this many back ends, as a new daemon gets it.
protocol::FleetUpdateT WholeState(int backends) {
  protocol::FleetUpdateT update;
  update.to_revision = 7;
  for (int number = 0; number < backends; ++number) {
    const std::string text = std::to_string(number);
    update.discovered.push_back(
        std::make_unique<protocol::DiscoveredBackendRecordT>(EncodeDiscovered(
            {.id = "i-" + std::to_string(number * 2654435761U),
             .service = "service-" + std::to_string(number % 229),
             .address = "10.128." + std::to_string(number / 250) + "." +
                        std::to_string(number % 250) + ":8080",
             .zone = "zone-" + std::to_string(number % 6),
             .slots = 7})));
  }
  return update;
}

protocol::FleetUpdateT Decode(const flatbuffers::FlatBufferBuilder& builder) {
  constexpr std::size_t kSizePrefix = 4;
  auto frame = DecodeFrame({builder.GetBufferPointer() + kSizePrefix,
                            builder.GetSize() - kSizePrefix});
  REQUIRE(frame);
  if (const auto* update = frame->message.AsFleetUpdate()) {
    return *update;
  }
  REQUIRE(frame->message.AsCompressedFleetUpdate() != nullptr);
  auto update = DecodeUpdate(*frame->message.AsCompressedFleetUpdate());
  REQUIRE(update);
  return *update;
}

TEST_CASE("updates come back, small ones and whole states") {
  for (const int backends : {0, 1, 300, 9'751}) {
    CAPTURE(backends);
    const protocol::FleetUpdateT update = WholeState(backends);
    const protocol::FleetUpdateT back = Decode(EncodeUpdateFrame(update));
    CHECK(back.to_revision == 7);
    REQUIRE(back.discovered.size() == update.discovered.size());
    if (backends > 0) {
      CHECK(DecodeDiscovered(*back.discovered.back()) ==
            DecodeDiscovered(*update.discovered.back()));
    }
  }
}

TEST_CASE("a back end costs a new daemon 32 bytes at the most") {
  constexpr int kBackends = 9'751;
  const auto frame = EncodeUpdateFrame(WholeState(kBackends));
  MESSAGE(frame.GetSize() << " bytes for " << kBackends << " back ends");
  CHECK(frame.GetSize() <= 32U * kBackends);
}

TEST_CASE("damaged bytes are refused") {
  protocol::CompressedFleetUpdateT compressed;
  compressed.content = {1, 2, 3};
  CHECK_FALSE(DecodeUpdate(compressed));
}

}  // namespace
}  // namespace juniperway::session
