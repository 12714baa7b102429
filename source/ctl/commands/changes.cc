// changes and wait: how far a change has come.
#include "ctl/commands/change.h"

namespace juniperway::ctl {

Outcome<void> RunChanges(CommandContext& context) {
  const auto change = GetChange(*context.api, context.options.arguments[0]);
  if (!change) {
    return tl::unexpected(change.error());
  }
  PrintChange(context, *change);
  return CheckNotRefused(*change);
}

Outcome<void> RunWait(CommandContext& context) {
  const auto change = AwaitInForce(*context.api, context.options.arguments[0]);
  if (!change) {
    return tl::unexpected(change.error());
  }
  PrintChange(context, *change);
  return {};
}

}  // namespace juniperway::ctl
