// members: which control machines there are, and adding or removing one.
#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "common/net/address.h"
#include "ctl/commands/status_output.h"
#include "ctl/resource_output.h"

namespace juniperway::ctl {
namespace {

using nlohmann::json;

constexpr Duration kPollInterval = milliseconds(200);

Outcome<std::uint64_t> NodeIdArgument(const std::string& word) {
  std::uint64_t id = 0;
  const char* end = word.data() + word.size();
  const auto [stop, error] = std::from_chars(word.data(), end, id);
  if (error != std::errc() || stop != end || id == 0) {
    return Fail(ExitCode::kUsage,
                "ID: " + word + ": must be a whole number above 0");
  }
  return id;
}

Outcome<void> List(CommandContext& context) {
  const auto status = context.api->Get("/v1/status");
  if (!status) {
    return tl::unexpected(status.error());
  }
  if (!status->contains("members")) {
    return Fail(ExitCode::kUnavailable,
                "unavailable: no leader; see juniperwayctl status");
  }
  if (context.json()) {
    PrintJson(status->value("members", json::array()), context.out);
  } else {
    MembersTable(*status).Print(context.out);
  }
  return {};
}

const json* FindMember(const json& members, std::uint64_t id) {
  const auto found =
      std::find_if(members.begin(), members.end(), [&](const json& member) {
        return member.value("id", std::uint64_t{0}) == id;
      });
  return found == members.end() ? nullptr : &*found;
}

// Whether the change of the membership is complete.
bool IsComplete(const json& status, std::uint64_t id, bool added) {
  const json members = status.value("members", json::array());
  const json* member = FindMember(members, id);
  if (!added) {
    // The leader alone knows the members; another one's list is empty.
    return !members.empty() && member == nullptr;
  }
  return member != nullptr && member->value("voter", false) &&
         member->value("caught_up", false);
}

Outcome<void> AwaitMember(CommandContext& context, std::uint64_t id,
                          bool added) {
  while (true) {
    const auto status = context.api->Get("/v1/status");
    if (!status) {
      return tl::unexpected(status.error());
    }
    if (IsComplete(*status, id, added)) {
      context.notes << "control machine " << id
                    << (added ? " votes\n" : " is removed\n");
      return {};
    }
    if (ReadMonotonicClock() + kPollInterval >= context.api->deadline()) {
      return Fail(ExitCode::kUnavailable,
                  fmt::format("control machine {} is not {} yet: see "
                              "juniperwayctl members list",
                              id, added ? "a voter" : "removed"));
    }
    context.api->Pause(kPollInterval);
  }
}

// Members have no change id: a call whose answer was lost is not sent again.
Outcome<void> ChangeMembers(CommandContext& context, const ApiRequest& request,
                            std::uint64_t id, bool added) {
  const auto answer = context.api->Call(request);
  if (!answer) {
    Failure failure = answer.error();
    if (failure.exit_code == ExitCode::kUnavailable) {
      failure.message += "; see juniperwayctl members list";
    }
    return tl::unexpected(failure);
  }
  if (context.json()) {
    PrintJson(*answer, context.out);
  } else {
    context.out << "control machine " << id << ": "
                << FormatCell(answer->value("state", json())) << '\n';
  }
  return context.options.wait ? AwaitMember(context, id, added)
                              : Outcome<void>();
}

Outcome<void> Add(CommandContext& context) {
  const auto& arguments = context.options.arguments;
  const auto id = NodeIdArgument(arguments[1]);
  if (!id) {
    return tl::unexpected(id.error());
  }
  if (auto address = net::ParseRemoteEndpoint(arguments[2], "ADDRESS");
      !address) {
    return Fail(ExitCode::kUsage, FormatError(address.error()));
  }
  ApiRequest request;
  request.method = "POST";
  request.path = "/v1/members";
  request.body = json{{"node_id", *id}, {"address", arguments[2]}}.dump();
  return ChangeMembers(context, request, *id, /*added=*/true);
}

Outcome<void> Remove(CommandContext& context) {
  const auto id = NodeIdArgument(context.options.arguments[1]);
  if (!id) {
    return tl::unexpected(id.error());
  }
  ApiRequest request;
  request.method = "DELETE";
  request.path = fmt::format("/v1/members/{}", *id);
  return ChangeMembers(context, request, *id, /*added=*/false);
}

}  // namespace

Outcome<void> RunMembers(CommandContext& context) {
  const std::string& action = context.options.arguments[0];
  const std::size_t count = context.options.arguments.size();
  if (action == "list" && count == 1) {
    return List(context);
  }
  if (action == "add" && count == 3) {
    return Add(context);
  }
  if (action == "remove" && count == 2) {
    return Remove(context);
  }
  return Fail(ExitCode::kUsage, "must be list, add ID IP:PORT, or remove ID");
}

}  // namespace juniperway::ctl
