// Damage to binary frames.
#pragma once

#include <flatbuffers/flatbuffers.h>
#include <rapidcheck.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace juniperway::test {

// A finished frame as a connection hands it on: without its size prefix.
inline std::vector<std::uint8_t> WithoutPrefix(
    const flatbuffers::FlatBufferBuilder& builder) {
  const std::uint8_t* begin = builder.GetBufferPointer();
  return {begin + sizeof(flatbuffers::uoffset_t), begin + builder.GetSize()};
}

// A few bytes changed, most often by little, as offsets and types are small.
inline std::vector<std::uint8_t> MutateBytes(std::vector<std::uint8_t> frame) {
  const int changes = *rc::gen::inRange(1, 5);
  for (int i = 0; i < changes && !frame.empty(); ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, frame.size());
    const auto step = *rc::gen::inRange(-8, 9);
    frame[at] = *rc::gen::inRange(0, 3) == 0
                    ? *rc::gen::arbitrary<std::uint8_t>()
                    : static_cast<std::uint8_t>(frame[at] + step);
  }
  if (*rc::gen::inRange(0, 8) == 0) {
    frame.resize(*rc::gen::inRange<std::size_t>(0, frame.size() + 1));
  }
  return frame;
}

}  // namespace juniperway::test
