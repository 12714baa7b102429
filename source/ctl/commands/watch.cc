// watch: changes as they are made, by long polls.
#include <fmt/format.h>

#include <algorithm>
#include <optional>

#include "ctl/commands/resource_path.h"
#include "ctl/resource_output.h"

namespace juniperway::ctl {
namespace {

using nlohmann::json;

// How long a control machine may hold an answer back, and what it gets more
// before the call counts as lost.
constexpr Duration kPollTime = seconds(20);
constexpr Duration kAnswerAllowance = seconds(6);

Outcome<std::uint64_t> StartRevision(CommandContext& context) {
  if (context.options.from_revision) {
    return *context.options.from_revision;
  }
  const auto answer = context.api->Get("/v1/resources/Service");
  if (!answer) {
    return tl::unexpected(answer.error());
  }
  return answer->value("revision", std::uint64_t{0});
}

void PrintItem(CommandContext& context, const json& item) {
  if (context.json()) {
    context.out << item.dump() << '\n';
    return;
  }
  const json resource = item.value("resource", json::object());
  context.out << fmt::format("{:<8} {:<6} {:<13} {}\n",
                             FormatCell(resource.value("version", json())),
                             item.value("type", ""), resource.value("kind", ""),
                             resource.value("name", ""));
}

void PrintItems(CommandContext& context, const json& answer,
                const std::optional<resources::Kind>& kind) {
  for (const json& item : answer.value("items", json::array())) {
    const std::string item_kind =
        item.value("resource", json::object()).value("kind", "");
    if (!kind || item_kind == KindName(*kind)) {
      PrintItem(context, item);
    }
  }
  context.out.flush();
}

ApiRequest PollRequest(std::uint64_t from, Duration time) {
  ApiRequest request;
  request.path = fmt::format("/v1/watch?from={}&timeout_ms={}", from,
                             ToMilliseconds(time));
  request.attempt_timeout = time + kAnswerAllowance;
  return request;
}

}  // namespace

Outcome<void> RunWatch(CommandContext& context) {
  std::optional<resources::Kind> kind;
  if (!context.options.arguments.empty()) {
    const auto parsed = KindArgument(context.options.arguments[0]);
    if (!parsed) {
      return tl::unexpected(parsed.error());
    }
    kind = *parsed;
  }
  const auto start = StartRevision(context);
  if (!start) {
    return tl::unexpected(start.error());
  }
  std::uint64_t from = *start;
  ApiClient& api = *context.api;
  const bool endless = !context.options.timeout.has_value();
  while (endless || ReadMonotonicClock() < api.deadline()) {
    if (endless) {
      api.RestartDeadline();
    }
    const Duration left =
        std::max(api.deadline() - ReadMonotonicClock(), Duration(0));
    const auto answer = api.Call(PollRequest(from, std::min(kPollTime, left)));
    if (!answer) {
      const bool over = !endless && ReadMonotonicClock() >= api.deadline();
      return over ? Outcome<void>() : tl::unexpected(answer.error());
    }
    PrintItems(context, *answer, kind);
    from = answer->value("revision", from);
  }
  return {};
}

}  // namespace juniperway::ctl
