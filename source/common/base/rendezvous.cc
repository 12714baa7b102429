#include "common/base/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>

namespace juniperway {
namespace {

std::uint64_t DrawOf(const std::string& candidate, const std::string& key) {
  const std::string text = key + "\n" + candidate;
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace

std::size_t RendezvousRank(const std::string& candidate,
                           const std::vector<std::string>& candidates,
                           const std::string& key) {
  const std::uint64_t own = DrawOf(candidate, key);
  return static_cast<std::size_t>(
      std::ranges::count_if(candidates, [&](const std::string& other) {
        return other != candidate && DrawOf(other, key) < own;
      }));
}

}  // namespace juniperway
