// delete: removes one resource at the version that was read or given.
#include "ctl/commands/change.h"
#include "ctl/commands/resource_path.h"
#include "ctl/resource_output.h"

namespace juniperway::ctl {

Outcome<void> RunDelete(CommandContext& context) {
  const auto id = IdArguments(context.options);
  if (!id) {
    return tl::unexpected(id.error());
  }
  std::string version;
  if (context.options.version) {
    version = std::to_string(*context.options.version);
  } else {
    const auto earlier = FinishEarlierChange(context);
    if (!earlier || *earlier) {
      return earlier ? Outcome<void>() : tl::unexpected(earlier.error());
    }
    const auto current = GetResource(*context.api, *id);
    if (!current) {
      return tl::unexpected(current.error());
    }
    version = FormatCell(current->value("version", nlohmann::json()));
  }
  ApiRequest request;
  request.method = "DELETE";
  request.path = PathOf(*id) + "?version=" + version;
  request.change_id = ChangeIdFor(context);
  return CarryOutChange(context, request);
}

}  // namespace juniperway::ctl
