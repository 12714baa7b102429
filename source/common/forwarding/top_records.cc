#include "common/forwarding/top_records.h"

#include <algorithm>
#include <functional>

namespace juniperway::forwarding {

std::string MergeTopRecords(const std::vector<std::string_view>& parts,
                            std::size_t count) {
  std::vector<std::string_view> records;
  for (const std::string_view part : parts) {
    for (std::size_t begin = 0; begin + kRecordBytes <= part.size();
         begin += kRecordBytes) {
      records.push_back(part.substr(begin, kRecordBytes));
    }
  }
  const std::size_t kept = std::min(count, records.size());
  const auto middle = records.begin() + static_cast<std::ptrdiff_t>(kept);
  // std::string_view compares characters as unsigned bytes.
  std::partial_sort(records.begin(), middle, records.end(), std::greater<>());
  std::string merged;
  merged.reserve(kept * kRecordBytes);
  for (std::size_t i = 0; i < kept; ++i) {
    merged += records[i];
  }
  return merged;
}

}  // namespace juniperway::forwarding
