#include "common/storage/checksum.h"

#include <xxhash.h>

#include <array>
#include <string_view>

#include "common/raft/fsm.h"

namespace juniperway::storage {
namespace {

std::uint64_t Extend(std::uint64_t hash, std::string_view bytes) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), hash);
}

template <std::size_t size>
std::uint64_t HashNumbers(const std::array<std::uint64_t, size>& numbers) {
  return XXH3_64bits(numbers.data(), sizeof(numbers));
}

}  // namespace

std::uint64_t Checksum(const raft::HardState& hard_state) {
  return HashNumbers(std::array{hard_state.term, hard_state.voted_for});
}

std::uint64_t Checksum(const raft::Snapshot& snapshot) {
  const std::uint64_t hash =
      Extend(HashNumbers(std::array{snapshot.index, snapshot.term}),
             raft::EncodeConfiguration(snapshot.configuration));
  return Extend(hash, snapshot.data);
}

std::uint64_t Checksum(const raft::Entry& entry) {
  const auto kind = static_cast<std::uint64_t>(entry.kind);
  return Extend(HashNumbers(std::array{entry.index, entry.term, kind}),
                entry.data);
}

}  // namespace juniperway::storage
