#include "ctl/commands/change.h"

#include <fmt/format.h>

#include <cstdint>
#include <utility>

#include "ctl/change_id.h"
#include "ctl/resource_output.h"

namespace juniperway::ctl {
namespace {

using nlohmann::json;

constexpr Duration kPollInterval = milliseconds(100);

bool IsInForce(const json& change) {
  return change.value("state", "") == "in_force";
}

Failure NotYetInForce(const json& change) {
  std::string waiting = FormatCell(change.value("waiting_for", json::array()));
  return {ExitCode::kUnavailable,
          fmt::format("change {} is accepted at revision {} but not in force "
                      "yet: {} of {} daemons confirmed it; waiting for {}",
                      change.value("change_id", ""),
                      FormatCell(change.value("revision", json())),
                      FormatCell(change.value("confirmed", json())),
                      FormatCell(change.value("daemons", json())), waiting)};
}

// By name, as `get` shows them, with their new versions.
void PrintItems(const json& items, std::ostream& out) {
  static const std::vector<Column> columns = {
      {"KIND", "/kind"}, {"NAME", "/name"}, {"VERSION", "/version"}};
  if (!items.empty()) {
    MakeTable(columns, items).Print(out);
  }
}

ExitCode ExitCodeOfName(const std::string& code) {
  for (const ErrorCode known :
       {ErrorCode::kInvalidArgument, ErrorCode::kNotFound, ErrorCode::kConflict,
        ErrorCode::kUnauthorized, ErrorCode::kTooLarge}) {
    if (ErrorCodeName(known) == code) {
      return ExitCodeOf(known);
    }
  }
  return ExitCode::kRefused;
}

}  // namespace

std::string ChangeIdFor(const CommandContext& context) {
  return context.options.change_id.empty() ? MakeChangeId()
                                           : context.options.change_id;
}

ApiRequest ApplyRequest(const json& items, const std::string& change_id) {
  ApiRequest request;
  request.method = "POST";
  request.path = "/v1/apply";
  request.body =
      items.size() == 1 ? items.front().dump() : json{{"items", items}}.dump();
  request.change_id = change_id;
  return request;
}

Outcome<void> CarryOutChange(CommandContext& context,
                             const ApiRequest& request) {
  const auto answer = context.api->Call(request);
  if (!answer) {
    return tl::unexpected(answer.error());
  }
  return FinishChange(context, *answer);
}

Outcome<void> FinishChange(CommandContext& context, const json& answer) {
  // Throws when the answer is none of a control machine.
  const std::string change_id = answer.at("change_id").get<std::string>();
  const auto revision = answer.at("revision").get<std::uint64_t>();
  if (!context.json()) {
    context.out << "change " << change_id << " accepted at revision "
                << revision
                << (answer.value("resent", false) ? " (it was sent before)"
                                                  : "")
                << '\n';
    PrintItems(answer.value("items", json::array()), context.out);
  }
  if (!context.options.wait) {
    if (context.json()) {
      PrintJson(answer, context.out);
    }
    return {};
  }
  const auto change = AwaitInForce(*context.api, change_id);
  if (!change) {
    return tl::unexpected(change.error());
  }
  if (context.json()) {
    json whole = answer;
    whole.update(*change);
    PrintJson(whole, context.out);
  } else {
    context.out << "change " << change_id << " is in force\n";
  }
  return {};
}

Outcome<json> GetChange(ApiClient& api, const std::string& change_id) {
  return api.Get("/v1/changes/" + PercentEncode(change_id));
}

Outcome<void> CheckNotRefused(const json& change) {
  if (change.value("state", "") != "refused") {
    return {};
  }
  const json error = change.value("error", json::object());
  const std::string code = error.value("code", "");
  const std::string field = error.value("field", "");
  return Fail(ExitCodeOfName(code),
              fmt::format("change {} was refused: {}{}{}: {}",
                          change.value("change_id", ""), code,
                          field.empty() ? "" : ": ", field,
                          error.value("message", "")));
}

Outcome<json> AwaitInForce(ApiClient& api, const std::string& change_id) {
  json last;
  while (true) {
    auto change = GetChange(api, change_id);
    if (!change) {
      const bool late = change.error().exit_code == ExitCode::kUnavailable;
      return late && !last.is_null() ? tl::unexpected(NotYetInForce(last))
                                     : tl::unexpected(change.error());
    }
    if (auto refused = CheckNotRefused(*change); !refused) {
      return tl::unexpected(refused.error());
    }
    if (IsInForce(*change)) {
      return change;
    }
    last = std::move(*change);
    if (ReadMonotonicClock() + kPollInterval >= api.deadline()) {
      return tl::unexpected(NotYetInForce(last));
    }
    api.Pause(kPollInterval);
  }
}

void PrintChange(CommandContext& context, const json& change) {
  if (context.json()) {
    PrintJson(change, context.out);
    return;
  }
  static const std::vector<Column> columns = {{"CHANGE", "/change_id"},
                                              {"STATE", "/state"},
                                              {"REVISION", "/revision"},
                                              {"DAEMONS", "/daemons"},
                                              {"CONFIRMED", "/confirmed"}};
  MakeTable(columns, json::array({change})).Print(context.out);
  for (const json& daemon : change.value("waiting_for", json::array())) {
    context.out << "waiting for " << FormatCell(daemon) << '\n';
  }
  for (const json& daemon : change.value("without_lease", json::array())) {
    context.out << "without lease: " << FormatCell(daemon) << '\n';
  }
}

Outcome<bool> FinishEarlierChange(CommandContext& context) {
  if (context.options.change_id.empty()) {
    return false;
  }
  const auto change = GetChange(*context.api, context.options.change_id);
  if (!change) {
    return change.error().exit_code == ExitCode::kNotFound
               ? Outcome<bool>(false)
               : tl::unexpected(change.error());
  }
  if (auto refused = CheckNotRefused(*change); !refused) {
    return tl::unexpected(refused.error());
  }
  json answer = *change;
  answer["resent"] = true;
  if (auto finished = FinishChange(context, answer); !finished) {
    return tl::unexpected(finished.error());
  }
  return true;
}

}  // namespace juniperway::ctl
