#include "common/base/compression.h"

#include <zlib.h>

#include <algorithm>

namespace juniperway {
namespace {

// The length of the text stands first, in this many bytes, lowest first.
constexpr std::size_t kLengthBytes = 8;
constexpr int kBitsInByte = 8;

tl::unexpected<Error> Corrupt() {
  return MakeError(ErrorCode::kCorrupt, "", "the compressed bytes are damaged");
}

}  // namespace

CompressedBytes Compress(std::string_view text) {
  uLongf size = compressBound(text.size());
  CompressedBytes bytes(kLengthBytes + size);
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    bytes[i] = static_cast<std::uint8_t>(std::uint64_t{text.size()} >>
                                         (kBitsInByte * i));
  }
  // Fails only where the bound or the memory is too small.
  compress2(bytes.data() + kLengthBytes, &size,
            reinterpret_cast<const Bytef*>(text.data()), text.size(),
            Z_DEFAULT_COMPRESSION);
  bytes.resize(kLengthBytes + size);
  bytes.shrink_to_fit();
  return bytes;
}

Result<std::string> Decompress(const CompressedBytes& bytes) {
  if (bytes.size() < kLengthBytes) {
    return Corrupt();
  }
  std::uint64_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length |= std::uint64_t{bytes[i]} << (kBitsInByte * i);
  }
  if (length > kMaximumUncompressedBytes) {
    return Corrupt();
  }
  std::string text(length, '\0');
  uLongf size = length;
  const int outcome =
      uncompress(reinterpret_cast<Bytef*>(text.data()), &size,
                 bytes.data() + kLengthBytes, bytes.size() - kLengthBytes);
  if (outcome != Z_OK || size != length) {
    return Corrupt();
  }
  return text;
}

}  // namespace juniperway
