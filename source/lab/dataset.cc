#include "lab/dataset.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

namespace juniperway::lab {
namespace {

// One record in this many is absent from an index version.
constexpr std::uint64_t kAbsentShare = 8;

// What a hash is taken for, so that the draws are independent.
enum class Purpose : std::uint64_t { kKey = 1, kTerm = 2, kExists = 3 };

std::uint64_t Hash(std::uint64_t service_hash, Purpose purpose,
                   std::uint64_t first, std::uint64_t second) {
  const std::array<std::uint64_t, 3> words = {
      static_cast<std::uint64_t>(purpose), first, second};
  return XXH3_64bits_withSeed(words.data(), sizeof(words), service_hash);
}

}  // namespace

std::string TermName(std::uint32_t number) {
  return fmt::format("term{}", number);
}

Dataset::Dataset(std::string service, std::uint32_t record_count)
    : service_(std::move(service)),
      record_count_(std::max(record_count, 1U)),
      stride_(kKeySpaceEnd / record_count_),
      service_hash_(XXH3_64bits(service_.data(), service_.size())) {}

std::vector<Row> Dataset::Rows(resources::IndexVersion index_version,
                               const KeyRange& range,
                               std::string_view query) const {
  std::vector<Row> rows;
  if (range.empty()) {
    return rows;
  }
  const bool match_all = query == kMatchAll;
  const std::uint64_t first = range.begin / stride_;
  const std::uint64_t end =
      std::min<std::uint64_t>(record_count_, (range.end - 1) / stride_ + 1);
  for (std::uint64_t record = first; record < end; ++record) {
    if (!range.Contains(KeyOf(record)) || !Exists(index_version, record)) {
      continue;
    }
    if (match_all || TermName(TermOf(record)) == query) {
      rows.push_back({KeyOf(record), ValueOf(index_version, record)});
    }
  }
  return rows;
}

std::optional<std::string> Dataset::ValueAt(
    resources::IndexVersion index_version, Key key) const {
  const std::uint64_t record = key / stride_;
  if (record >= record_count_ || KeyOf(record) != key ||
      !Exists(index_version, record)) {
    return std::nullopt;
  }
  return ValueOf(index_version, record);
}

Key Dataset::KeyOf(std::uint64_t record) const {
  return record * stride_ +
         Hash(service_hash_, Purpose::kKey, record, 0) % stride_;
}

std::uint32_t Dataset::TermOf(std::uint64_t record) const {
  return Hash(service_hash_, Purpose::kTerm, record, 0) % kTermCount;
}

bool Dataset::Exists(resources::IndexVersion index_version,
                     std::uint64_t record) const {
  return Hash(service_hash_, Purpose::kExists, record, index_version) %
             kAbsentShare !=
         0;
}

std::string Dataset::ValueOf(resources::IndexVersion index_version,
                             std::uint64_t record) const {
  return fmt::format("{}/v{}/r{}/{}", service_, index_version, record,
                     TermName(TermOf(record)));
}

std::vector<resources::Partition> EvenPartitions(std::string_view prefix,
                                                 std::uint32_t count) {
  std::vector<resources::Partition> partitions;
  for (std::uint32_t index = 0; index < count; ++index) {
    const KeyRange range = {
        kKeySpaceEnd / count * index,
        index + 1 == count ? kKeySpaceEnd : kKeySpaceEnd / count * (index + 1)};
    partitions.push_back({range, fmt::format("{}{}", prefix, index)});
  }
  return partitions;
}

}  // namespace juniperway::lab
