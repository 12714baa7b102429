// evacuate: takes the back ends of a whole zone out of use, and back.
#include <fmt/format.h>

#include "ctl/commands/change.h"
#include "ctl/resource_output.h"
#include "ctl/table.h"

namespace juniperway::ctl {
namespace {

using nlohmann::json;

constexpr const char* kPath = "/v1/evacuations";

Outcome<void> ListEvacuations(CommandContext& context) {
  const auto answer = context.api->Get(kPath);
  if (!answer) {
    return tl::unexpected(answer.error());
  }
  if (context.json()) {
    PrintJson(*answer, context.out);
    return {};
  }
  Table table({"ZONE", "SINCE_MS", "BACKENDS", "IN FORCE", "CHANGE"});
  for (const json& item : answer->value("items", json::array())) {
    table.AddRow(
        {item.value("zone", ""), FormatCell(item.value("since_ms", json())),
         FormatCell(item.value("backends", json())),
         fmt::format("{}/{}", FormatCell(item.value("confirmed", json())),
                     FormatCell(item.value("daemons", json()))),
         item.value("change_id", "")});
  }
  table.Print(context.out);
  return {};
}

Outcome<void> Order(CommandContext& context, const char* method) {
  ApiRequest request;
  request.method = method;
  request.path =
      std::string(kPath) + "/" + PercentEncode(context.options.arguments[1]);
  request.change_id = ChangeIdFor(context);
  return CarryOutChange(context, request);
}

}  // namespace

Outcome<void> RunEvacuate(CommandContext& context) {
  const auto& arguments = context.options.arguments;
  const bool names_zone = arguments.size() == 2;
  if (arguments[0] == "list" && !names_zone) {
    return ListEvacuations(context);
  }
  if (arguments[0] == "start" && names_zone) {
    return Order(context, "PUT");
  }
  if (arguments[0] == "end" && names_zone) {
    return Order(context, "DELETE");
  }
  return Fail(ExitCode::kUsage, "evacuate takes list, start ZONE or end ZONE");
}

}  // namespace juniperway::ctl
