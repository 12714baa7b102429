// The records that the stand-in back ends serve, generated from (service, index
// version, key). Every checker can therefore tell the exact right rows of any
// snapshot without asking anyone. Pure: no I/O, no state.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/base/key_range.h"
#include "common/resources/resource.h"

namespace juniperway::lab {

struct Row {
  Key key = 0;
  std::string value;
  bool operator==(const Row&) const = default;
};

// Query text that matches every record.
inline constexpr std::string_view kMatchAll = "*";
// Records carry one of "term0" to "term15"; a query text of that word matches
// those records.
inline constexpr std::uint32_t kTermCount = 16;

// "term<number>".
std::string TermName(std::uint32_t number);

class Dataset {
 public:
  // @param record_count candidates in the key space; each index version omits
  //   about one in eight of them, others than the next version does.
  Dataset(std::string service, std::uint32_t record_count);

  // Every row of `index_version` in `range` that matches `query`, by key.
  std::vector<Row> Rows(resources::IndexVersion index_version,
                        const KeyRange& range, std::string_view query) const;

  // The value of the record at `key` in `index_version`; nothing if the
  // version has no record there.
  std::optional<std::string> ValueAt(resources::IndexVersion index_version,
                                     Key key) const;

  const std::string& service() const { return service_; }
  std::uint32_t record_count() const { return record_count_; }

 private:
  Key KeyOf(std::uint64_t record) const;
  std::uint32_t TermOf(std::uint64_t record) const;
  bool Exists(resources::IndexVersion index_version,
              std::uint64_t record) const;
  std::string ValueOf(resources::IndexVersion index_version,
                      std::uint64_t record) const;

  std::string service_;
  std::uint32_t record_count_;
  // Width of the slice of key space that each record lies in.
  Key stride_;
  std::uint64_t service_hash_;
};

// Splits the key space into `count` partitions named "<prefix>0" onwards.
std::vector<resources::Partition> EvenPartitions(std::string_view prefix,
                                                 std::uint32_t count);

}  // namespace juniperway::lab
