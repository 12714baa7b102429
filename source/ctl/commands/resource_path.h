// Naming resources on the command line.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "common/resources/resource.h"
#include "ctl/command.h"

namespace juniperway::ctl {

// kUsage for an unknown kind.
Outcome<resources::Kind> KindArgument(const std::string& word);

// kUsage for a name that no resource can have.
Outcome<std::string> NameArgument(const std::string& word);

// KIND and NAME, from the first two arguments.
Outcome<resources::ResourceId> IdArguments(const Options& options);

std::string PathOf(const resources::ResourceId& id);

// Reads one resource from the leader.
Outcome<nlohmann::json> GetResource(ApiClient& api,
                                    const resources::ResourceId& id);

}  // namespace juniperway::ctl
