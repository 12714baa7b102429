// get and describe: reading resources.
#include "ctl/commands/resource_path.h"
#include "ctl/resource_output.h"

namespace juniperway::ctl {
namespace {

using nlohmann::json;

std::string WithLocal(const std::string& path, const Options& options) {
  return options.local ? path + "?local=true" : path;
}

}  // namespace

Outcome<void> RunGet(CommandContext& context) {
  const Options& options = context.options;
  const auto kind = KindArgument(options.arguments[0]);
  if (!kind) {
    return tl::unexpected(kind.error());
  }
  std::string path = "/v1/resources/" + std::string(KindName(*kind));
  const bool single = options.arguments.size() > 1;
  if (single) {
    const auto id = IdArguments(options);
    if (!id) {
      return tl::unexpected(id.error());
    }
    path = PathOf(*id);
  }
  const auto answer = context.api->Get(WithLocal(path, options));
  if (!answer) {
    return tl::unexpected(answer.error());
  }
  if (context.json()) {
    PrintJson(*answer, context.out);
    return {};
  }
  const json items =
      single ? json::array({*answer}) : answer->value("items", json::array());
  MakeTable(ColumnsOf(*kind), items).Print(context.out);
  return {};
}

Outcome<void> RunDescribe(CommandContext& context) {
  const auto id = IdArguments(context.options);
  if (!id) {
    return tl::unexpected(id.error());
  }
  const auto answer = context.api->Get(WithLocal(PathOf(*id), context.options));
  if (!answer) {
    return tl::unexpected(answer.error());
  }
  if (context.json()) {
    PrintJson(*answer, context.out);
  } else {
    PrintFields(*answer, "", context.out);
  }
  return {};
}

}  // namespace juniperway::ctl
