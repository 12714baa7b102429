// What status and members show alike.
#pragma once

#include <nlohmann/json.hpp>

#include "ctl/command.h"
#include "ctl/table.h"

namespace juniperway::ctl {

// The control machines in an answer of /v1/status.
Table MembersTable(const nlohmann::json& status);

}  // namespace juniperway::ctl
