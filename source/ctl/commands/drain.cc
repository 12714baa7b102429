// drain and undrain: a back end's `drain` or a machine's `leaving`. Reads the
// resource and writes it back; somebody else's change in between is met by
// reading again.
#include <fmt/format.h>

#include <optional>
#include <utility>
#include <vector>

#include "ctl/commands/change.h"
#include "ctl/commands/resource_path.h"

namespace juniperway::ctl {
namespace {

using nlohmann::json;
using resources::Kind;

constexpr int kMaximumTries = 5;

// "NAME", or "backend/NAME" and "machine/NAME" where both exist.
struct Target {
  std::optional<Kind> kind;
  std::string name;
};

Outcome<Target> ParseTarget(const std::string& word) {
  Target target;
  const std::size_t slash = word.find('/');
  if (slash != std::string::npos) {
    const auto kind = KindArgument(word.substr(0, slash));
    const bool drainable =
        kind && (*kind == Kind::kBackend || *kind == Kind::kMachine);
    if (!drainable) {
      return Fail(ExitCode::kUsage,
                  word + ": must be backend/NAME or machine/NAME");
    }
    target.kind = *kind;
  }
  const auto name =
      NameArgument(slash == std::string::npos ? word : word.substr(slash + 1));
  if (!name) {
    return tl::unexpected(name.error());
  }
  target.name = *name;
  return target;
}

// The resources of that name which could be meant.
Outcome<std::vector<json>> FindTargets(ApiClient& api, const Target& target) {
  std::vector<json> found;
  for (const Kind kind : {Kind::kBackend, Kind::kMachine}) {
    if (target.kind && *target.kind != kind) {
      continue;
    }
    auto resource = GetResource(api, {kind, target.name});
    if (resource) {
      found.push_back(std::move(*resource));
    } else if (resource.error().exit_code != ExitCode::kNotFound) {
      return tl::unexpected(resource.error());
    }
  }
  return found;
}

// A machine's daemons need no resource to join: draining one declares it.
json NewMachine(const std::string& name, const std::string& zone) {
  return {{"kind", KindName(Kind::kMachine)},
          {"name", name},
          {"version", 0},
          {"spec", {{"zone", zone}, {"leaving", false}}}};
}

Outcome<json> FindTarget(CommandContext& context, const Target& target) {
  const auto found = FindTargets(*context.api, target);
  if (!found) {
    return tl::unexpected(found.error());
  }
  if (found->size() > 1) {
    return Fail(ExitCode::kUsage,
                fmt::format("{0} is a back end and a machine: say backend/{0} "
                            "or machine/{0}",
                            target.name));
  }
  if (found->size() == 1) {
    return found->front();
  }
  const std::string& zone = context.options.zone;
  const bool may_be_machine =
      target.kind.value_or(Kind::kMachine) == Kind::kMachine;
  if (!zone.empty() && may_be_machine) {
    return NewMachine(target.name, zone);
  }
  return Fail(ExitCode::kNotFound,
              fmt::format("not_found: there is no Backend or Machine {}; a "
                          "machine without a resource is drained with --zone",
                          target.name));
}

// Sets the field that takes `resource` out of use or back. @return false when
// it has the value already.
bool SetDrain(json& resource, bool drain) {
  const bool backend =
      resource.value("kind", "") == std::string(KindName(Kind::kBackend));
  json& spec = resource["spec"];
  const char* field = backend ? "drain" : "leaving";
  const bool stored = resource.value("version", 0) != 0;
  if (stored && spec.value(field, false) == drain) {
    return false;
  }
  spec[field] = drain;
  resource.erase("status");
  return true;
}

// One try: read, set, write. @return the answer, or null when there was
// nothing to change.
Outcome<json> TryDrain(CommandContext& context, const Target& target,
                       bool drain) {
  auto resource = FindTarget(context, target);
  if (!resource) {
    return tl::unexpected(resource.error());
  }
  if (!SetDrain(*resource, drain)) {
    return json();
  }
  return context.api->Call(
      ApplyRequest(json::array({*resource}), ChangeIdFor(context)));
}

Outcome<void> ChangeDrain(CommandContext& context, bool drain) {
  const auto target = ParseTarget(context.options.arguments[0]);
  if (!target) {
    return tl::unexpected(target.error());
  }
  const auto earlier = FinishEarlierChange(context);
  if (!earlier || *earlier) {
    return earlier ? Outcome<void>() : tl::unexpected(earlier.error());
  }
  // A change id stands for one content, so that one has one try only.
  const int tries = context.options.change_id.empty() ? kMaximumTries : 1;
  auto answer = TryDrain(context, *target, drain);
  for (int i = 1;
       i < tries && !answer && answer.error().exit_code == ExitCode::kConflict;
       ++i) {
    answer = TryDrain(context, *target, drain);
  }
  if (!answer) {
    return tl::unexpected(answer.error());
  }
  if (answer->is_null()) {
    context.notes << target->name << (drain ? " is drained" : " is in use")
                  << " already; nothing was changed\n";
    return {};
  }
  return FinishChange(context, *answer);
}

}  // namespace

Outcome<void> RunDrain(CommandContext& context) {
  return ChangeDrain(context, true);
}

Outcome<void> RunUndrain(CommandContext& context) {
  return ChangeDrain(context, false);
}

}  // namespace juniperway::ctl
