// Resources and other answers of the API as text. The input is what control
// machines send; a field that is not there is shown as "-".
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "common/resources/resource.h"
#include "ctl/table.h"

namespace juniperway::ctl {

// "Backend", "backend", "backends" in any case; "snapshot" for IndexSnapshot.
std::optional<resources::Kind> ParseKindWord(const std::string& word);

// One value in a cell: "yes", "-", "a,b,+3".
std::string FormatCell(const nlohmann::json& value);

// A header and the place of its value in an item (JSON pointer).
struct Column {
  std::string header;
  std::string pointer;
};

Table MakeTable(const std::vector<Column>& columns,
                const nlohmann::json& items);

// Columns that `get` shows of a kind.
const std::vector<Column>& ColumnsOf(resources::Kind kind);

// One line a value: "spec.partitions[0].shard: s0".
void PrintFields(const nlohmann::json& value, const std::string& path,
                 std::ostream& out);

void PrintJson(const nlohmann::json& value, std::ostream& out);

}  // namespace juniperway::ctl
