// Flags of juniperwayd.
#pragma once

#include <string>

#include "common/base/error.h"
#include "daemon/settings.h"

namespace juniperway::daemon {

struct CommandLine {
  std::string settings_file;
  Overrides overrides;
};

// `--help` prints the usage and exits 0.
Result<CommandLine> ParseCommandLine(int argc, const char** argv);

}  // namespace juniperway::daemon
