#include "ctl/resource_output.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <utility>

#include "common/base/text.h"

namespace juniperway::ctl {
namespace {

using nlohmann::json;
using resources::Kind;

constexpr std::size_t kMaximumListedElements = 3;
constexpr int kIndent = 2;

std::string FormatList(const json& list) {
  std::string text;
  const std::size_t shown = std::min(list.size(), kMaximumListedElements);
  for (std::size_t index = 0; index < shown; ++index) {
    text += (index == 0 ? "" : ",") + FormatCell(list[index]);
  }
  return list.size() > shown ? text + ",+" + std::to_string(list.size() - shown)
                             : text;
}

}  // namespace

std::optional<Kind> ParseKindWord(const std::string& word) {
  const std::string lower = ToLower(word);
  for (const Kind kind :
       {Kind::kService, Kind::kBackend, Kind::kIndexSnapshot, Kind::kMachine}) {
    const std::string name = ToLower(std::string(KindName(kind)));
    if (lower == name || lower == name + "s") {
      return kind;
    }
  }
  if (lower == "snapshot" || lower == "snapshots") {
    return Kind::kIndexSnapshot;
  }
  return std::nullopt;
}

std::string FormatCell(const json& value) {
  if (value.is_boolean()) {
    return value.get<bool>() ? "yes" : "no";
  }
  if (value.is_string()) {
    return value.get_ref<const std::string&>().empty()
               ? "-"
               : value.get<std::string>();
  }
  if (value.is_array()) {
    const bool flat = std::none_of(
        value.begin(), value.end(),
        [](const json& element) { return element.is_structured(); });
    if (value.empty()) {
      return "-";
    }
    return flat ? FormatList(value) : std::to_string(value.size());
  }
  return value.is_null() ? "-" : value.dump();
}

Table MakeTable(const std::vector<Column>& columns, const json& items) {
  std::vector<std::string> headers;
  headers.reserve(columns.size());
  for (const Column& column : columns) {
    headers.push_back(column.header);
  }
  Table table(headers);
  for (const json& item : items) {
    std::vector<std::string> cells;
    for (const Column& column : columns) {
      const json::json_pointer pointer(column.pointer);
      cells.push_back(item.contains(pointer) ? FormatCell(item.at(pointer))
                                             : "-");
    }
    table.AddRow(std::move(cells));
  }
  return table;
}

const std::vector<Column>& ColumnsOf(Kind kind) {
  static const std::vector<Column> service = {
      {"NAME", "/name"},
      {"VERSION", "/version"},
      {"POLICY", "/spec/answer_policy"},
      {"DEADLINE-MS", "/spec/default_deadline_ms"},
      {"SERVING", "/status/serving"},
      {"IN-FORCE", "/status/in_force"}};
  static const std::vector<Column> backend = {
      {"NAME", "/name"},
      {"VERSION", "/version"},
      {"SERVICE", "/spec/service"},
      {"ZONE", "/spec/zone"},
      {"ADDRESS", "/spec/address"},
      {"SLOTS", "/spec/slots"},
      {"SHARDS", "/spec/shards"},
      {"HELD-VERSIONS", "/status/held_versions"},
      {"DRAINING", "/status/draining"},
      {"IN-FORCE", "/status/in_force"}};
  static const std::vector<Column> snapshot = {
      {"NAME", "/name"},
      {"VERSION", "/version"},
      {"SERVICE", "/spec/service"},
      {"INDEX-VERSION", "/spec/index_version"},
      {"PARTITIONS", "/spec/partitions"},
      {"SERVING", "/status/serving"},
      {"IN-FORCE", "/status/in_force"}};
  static const std::vector<Column> machine = {{"NAME", "/name"},
                                              {"VERSION", "/version"},
                                              {"ZONE", "/spec/zone"},
                                              {"REGION", "/spec/region"},
                                              {"LEAVING", "/spec/leaving"},
                                              {"MEMBER", "/status/member"},
                                              {"IN-FORCE", "/status/in_force"}};
  switch (kind) {
    case Kind::kService:
      return service;
    case Kind::kBackend:
      return backend;
    case Kind::kIndexSnapshot:
      return snapshot;
    case Kind::kMachine:
      break;
  }
  return machine;
}

void PrintFields(const json& value, const std::string& path,
                 std::ostream& out) {
  if (value.is_object() && !value.empty()) {
    for (const auto& [name, field] : value.items()) {
      PrintFields(field, path.empty() ? name : fmt::format("{}.{}", path, name),
                  out);
    }
    return;
  }
  const bool nested =
      value.is_array() && !value.empty() && value.front().is_structured();
  if (nested) {
    for (std::size_t index = 0; index < value.size(); ++index) {
      PrintFields(value[index], path + "[" + std::to_string(index) + "]", out);
    }
    return;
  }
  if (value.is_array() && !value.empty()) {
    std::string line = path + ":";
    for (const json& element : value) {
      line += " " + FormatCell(element);
    }
    out << line << '\n';
    return;
  }
  out << path << ": " << (value.is_structured() ? "-" : FormatCell(value))
      << '\n';
}

void PrintJson(const json& value, std::ostream& out) {
  out << value.dump(kIndent) << '\n';
}

}  // namespace juniperway::ctl
