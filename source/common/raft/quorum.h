// Majority arithmetic.
#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <vector>

namespace juniperway::raft {

// The smallest majority of `voters`.
constexpr std::size_t QuorumSize(std::size_t voters) { return voters / 2 + 1; }

// The largest value that a majority of the voters has reached. `values` holds
// one value for each voter and must not be empty.
template <typename Value>
Value QuorumValue(std::vector<Value> values) {
  const auto position = values.begin() + (QuorumSize(values.size()) - 1);
  std::nth_element(values.begin(), position, values.end(), std::greater<>());
  return *position;
}

}  // namespace juniperway::raft
