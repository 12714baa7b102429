// apply: the resources of all files as one change.
#include <fmt/format.h>

#include <charconv>
#include <iterator>

#include "common/base/json_reader.h"
#include "ctl/commands/change.h"
#include "ctl/local_file.h"

namespace juniperway::ctl {
namespace {

using nlohmann::json;

constexpr const char* kStandardInput = "-";
constexpr const char* kItemsPrefix = "items[";

// What is sent, and where each item came from.
struct Collection {
  json items = json::array();
  std::vector<std::string> sources;
};

Outcome<std::string> ReadInput(CommandContext& context,
                               const std::string& file) {
  if (file == kStandardInput) {
    return std::string(std::istreambuf_iterator<char>(context.in), {});
  }
  return ReadLocalFile(file);
}

// `get -o json` shows a status and, around a list, a revision: what it printed
// can be edited and applied.
void AddItem(json item, std::string source, Collection& collection) {
  if (item.is_object()) {
    item.erase("status");
  }
  collection.items.push_back(std::move(item));
  collection.sources.push_back(std::move(source));
}

Outcome<void> AddFile(const std::string& file, const std::string& text,
                      Collection& collection) {
  const Result<json> parsed = ParseJson(text);
  if (!parsed) {
    return Fail(ExitCode::kRefused, file + ": " + FormatError(parsed.error()));
  }
  if (!parsed->is_object() || !parsed->contains("items")) {
    AddItem(*parsed, file, collection);
    return {};
  }
  for (const auto& [name, value] : parsed->items()) {
    if (name != "items" && name != "revision") {
      return Fail(
          ExitCode::kRefused,
          fmt::format("{}: {}: is not known next to \"items\"", file, name));
    }
  }
  const json& items = (*parsed)["items"];
  if (!items.is_array()) {
    return Fail(ExitCode::kRefused, file + ": items: must be an array");
  }
  for (std::size_t index = 0; index < items.size(); ++index) {
    AddItem(items[index], fmt::format("{} items[{}]", file, index), collection);
  }
  return {};
}

Outcome<Collection> Collect(CommandContext& context) {
  Collection collection;
  for (const std::string& file : context.options.files) {
    const auto text = ReadInput(context, file);
    if (!text) {
      return tl::unexpected(text.error());
    }
    if (auto added = AddFile(file, *text, collection); !added) {
      return tl::unexpected(added.error());
    }
  }
  if (collection.items.empty()) {
    return Fail(ExitCode::kRefused, "items: the files hold no resource");
  }
  return collection;
}

// Adds the file that the item named in a refusal came from.
Failure WithSource(Failure failure, const Collection& collection) {
  const std::size_t found = failure.message.find(kItemsPrefix);
  if (found == std::string::npos) {
    return failure;
  }
  const char* digits = failure.message.data() + found +
                       std::char_traits<char>::length(kItemsPrefix);
  const char* end = failure.message.data() + failure.message.size();
  std::size_t index = 0;
  const auto [stop, error] = std::from_chars(digits, end, index);
  if (error == std::errc() && index < collection.sources.size()) {
    failure.message += " (from " + collection.sources[index] + ")";
  }
  return failure;
}

}  // namespace

Outcome<void> RunApply(CommandContext& context) {
  if (context.options.files.empty()) {
    return Fail(ExitCode::kUsage, "--file: is required");
  }
  const auto collection = Collect(context);
  if (!collection) {
    return tl::unexpected(collection.error());
  }
  const auto answer =
      context.api->Call(ApplyRequest(collection->items, ChangeIdFor(context)));
  if (!answer) {
    return tl::unexpected(WithSource(answer.error(), *collection));
  }
  return FinishChange(context, *answer);
}

}  // namespace juniperway::ctl
