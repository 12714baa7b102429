// status: how the control machines are.

#include "ctl/commands/status_output.h"
#include "ctl/resource_output.h"

namespace juniperway::ctl {

using nlohmann::json;

Table MembersTable(const json& status) {
  static const std::vector<Column> columns = {{"ID", "/id"},
                                              {"ADDRESS", "/address"},
                                              {"VOTER", "/voter"},
                                              {"ACTIVE", "/active"},
                                              {"CAUGHT-UP", "/caught_up"},
                                              {"LOST-DATA", "/lost_data"},
                                              {"MATCH", "/match"}};
  return MakeTable(columns, status.value("members", json::array()));
}

Outcome<void> RunStatus(CommandContext& context) {
  const auto status = context.api->Get("/v1/status");
  if (!status) {
    return tl::unexpected(status.error());
  }
  if (context.json()) {
    PrintJson(*status, context.out);
    return {};
  }
  json values = *status;
  values.erase("members");
  PrintFields(values, "", context.out);
  if (status->contains("members")) {
    context.out << '\n';
    MembersTable(*status).Print(context.out);
  }
  return {};
}

}  // namespace juniperway::ctl
