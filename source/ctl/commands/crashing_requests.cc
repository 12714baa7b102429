// crashing-requests: requests under which back ends ended, and their release.
#include "ctl/commands/change.h"
#include "ctl/resource_output.h"
#include "ctl/table.h"

namespace juniperway::ctl {
namespace {

using nlohmann::json;

constexpr const char* kPath = "/v1/crashing-requests";

Outcome<void> ListRequests(CommandContext& context) {
  const auto answer = context.api->Get(kPath);
  if (!answer) {
    return tl::unexpected(answer.error());
  }
  if (context.json()) {
    PrintJson(*answer, context.out);
    return {};
  }
  Table table({"FINGERPRINT", "QUARANTINED", "ENDED", "SINCE_MS", "LATEST_MS"});
  for (const json& item : answer->value("items", json::array())) {
    table.AddRow(
        {item.value("fingerprint", ""),
         FormatCell(item.value("quarantined", json())),
         FormatCell(item.value("ended_backends", json::array()).size()),
         FormatCell(item.value("since_ms", json())),
         FormatCell(item.value("latest_ms", json()))});
  }
  table.Print(context.out);
  return {};
}

Outcome<void> ReleaseRequest(CommandContext& context) {
  ApiRequest request;
  request.method = "DELETE";
  request.path =
      std::string(kPath) + "/" + PercentEncode(context.options.arguments[1]);
  request.change_id = ChangeIdFor(context);
  return CarryOutChange(context, request);
}

}  // namespace

Outcome<void> RunCrashingRequests(CommandContext& context) {
  const auto& arguments = context.options.arguments;
  const bool names_request = arguments.size() == 2;
  if (arguments[0] == "list" && !names_request) {
    return ListRequests(context);
  }
  if (arguments[0] == "release" && names_request) {
    return ReleaseRequest(context);
  }
  return Fail(ExitCode::kUsage,
              "crashing-requests takes list or release FINGERPRINT");
}

}  // namespace juniperway::ctl
