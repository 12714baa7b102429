#include "ctl/commands/resource_path.h"

#include "common/resources/resource_json.h"
#include "ctl/resource_output.h"

namespace juniperway::ctl {

Outcome<resources::Kind> KindArgument(const std::string& word) {
  if (const auto kind = ParseKindWord(word)) {
    return *kind;
  }
  return Fail(
      ExitCode::kUsage,
      "KIND: " + word + ": must be service, backend, snapshot or machine");
}

Outcome<std::string> NameArgument(const std::string& word) {
  if (resources::IsValidName(word)) {
    return word;
  }
  return Fail(ExitCode::kUsage,
              "NAME: " + word +
                  ": must be 1 to 253 of a-z, 0-9, '.' and '-', first and "
                  "last a letter or digit");
}

Outcome<resources::ResourceId> IdArguments(const Options& options) {
  const auto kind = KindArgument(options.arguments[0]);
  if (!kind) {
    return tl::unexpected(kind.error());
  }
  const auto name = NameArgument(options.arguments[1]);
  if (!name) {
    return tl::unexpected(name.error());
  }
  return resources::ResourceId{*kind, *name};
}

std::string PathOf(const resources::ResourceId& id) {
  return "/v1/resources/" + std::string(KindName(id.kind)) + "/" + id.name;
}

Outcome<nlohmann::json> GetResource(ApiClient& api,
                                    const resources::ResourceId& id) {
  return api.Get(PathOf(id));
}

}  // namespace juniperway::ctl
