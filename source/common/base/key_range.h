// Half-open ranges [begin, end) of the key space of a service's records.
#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace juniperway {

// Keys are unsigned integers below 2^53, so that JSON carries them exactly.
using Key = std::uint64_t;
inline constexpr Key kKeySpaceEnd = Key{1} << 53;

struct KeyRange {
  Key begin = 0;
  Key end = 0;  // exclusive

  bool empty() const { return begin >= end; }
  bool Contains(Key key) const { return begin <= key && key < end; }
  bool Intersects(const KeyRange& other) const {
    return begin < other.end && other.begin < end;
  }
  KeyRange Intersection(const KeyRange& other) const {
    return {std::max(begin, other.begin), std::min(end, other.end)};
  }
  // clang-tidy 14 takes the defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const KeyRange&) const = default;
};

}  // namespace juniperway
