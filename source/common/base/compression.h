// Compressing text that travels far or is kept: zlib's format.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/base/error.h"

namespace juniperway {

using CompressedBytes = std::vector<std::uint8_t>;

// More than this is not unpacked: it was not packed here.
inline constexpr std::size_t kMaximumUncompressedBytes = 256U << 20;

CompressedBytes Compress(std::string_view text);

// @return kCorrupt when the bytes are none that Compress made.
Result<std::string> Decompress(const CompressedBytes& bytes);

}  // namespace juniperway
