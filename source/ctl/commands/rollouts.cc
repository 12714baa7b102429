// rollouts: moves a service to another version of its back ends.
#include <fmt/format.h>

#include "ctl/commands/change.h"
#include "ctl/resource_output.h"
#include "ctl/table.h"

namespace juniperway::ctl {
namespace {

using nlohmann::json;

constexpr const char* kPath = "/v1/rollouts";

Outcome<void> ListRollouts(CommandContext& context) {
  const auto answer = context.api->Get(kPath);
  if (!answer) {
    return tl::unexpected(answer.error());
  }
  if (context.json()) {
    PrintJson(*answer, context.out);
    return {};
  }
  Table table({"SERVICE", "VERSION", "STATE", "PHASE", "SHARE", "CANARIES",
               "BAD", "REASON"});
  for (const json& item : answer->value("items", json::array())) {
    table.AddRow({item.value("service", ""), item.value("target_version", ""),
                  item.value("state", ""), item.value("phase", ""),
                  FormatCell(item.value("share_permille", json())),
                  FormatCell(item.value("canary_answers", json())),
                  FormatCell(item.value("canary_bad", json())),
                  item.value("reason", "")});
  }
  table.Print(context.out);
  return {};
}

Outcome<void> StartRollout(CommandContext& context) {
  const auto& arguments = context.options.arguments;
  const json duration = json::parse(arguments[3], nullptr,
                                    /*allow_exceptions=*/false);
  if (!duration.is_number()) {
    return Fail(ExitCode::kUsage, "SECONDS must be a number");
  }
  ApiRequest request;
  request.method = "POST";
  request.path = kPath;
  request.change_id = ChangeIdFor(context);
  request.body = json{
      {"service", arguments[1]},
      {"target_version", arguments[2]},
      {"duration_s",
       duration}}.dump();
  return CarryOutChange(context, request);
}

Outcome<void> RemoveRollout(CommandContext& context) {
  ApiRequest request;
  request.method = "DELETE";
  request.path =
      std::string(kPath) + "/" + PercentEncode(context.options.arguments[1]);
  request.change_id = ChangeIdFor(context);
  return CarryOutChange(context, request);
}

}  // namespace

Outcome<void> RunRollouts(CommandContext& context) {
  const auto& arguments = context.options.arguments;
  if (arguments[0] == "list" && arguments.size() == 1) {
    return ListRollouts(context);
  }
  if (arguments[0] == "start" && arguments.size() == 4) {
    return StartRollout(context);
  }
  if (arguments[0] == "remove" && arguments.size() == 2) {
    return RemoveRollout(context);
  }
  return Fail(ExitCode::kUsage,
              "rollouts takes list, start SERVICE VERSION SECONDS or remove "
              "SERVICE");
}

}  // namespace juniperway::ctl
