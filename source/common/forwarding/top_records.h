// Merges the answers of a scatter's shards. Each answer is a sequence of
// records of a fixed size, which compare byte by byte. Pure functions.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace juniperway::forwarding {

inline constexpr std::size_t kRecordBytes = 16;

// @param parts the shards' answer bodies. An incomplete record at the end of a
//   part is ignored.
// @return the greatest `count` records of all parts, the greatest first.
//   Duplicates are kept.
std::string MergeTopRecords(const std::vector<std::string_view>& parts,
                            std::size_t count);

}  // namespace juniperway::forwarding
