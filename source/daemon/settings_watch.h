// Notices that the settings file has other content than before, and reads it.
#pragma once

#include <optional>
#include <string>

#include "daemon/settings.h"

namespace juniperway::daemon {

class SettingsWatch {
 public:
  // @param file as it was read at the start.
  SettingsWatch(std::string file, Overrides overrides);

  // @return the new settings once after each change; nothing when the file is
  //   as before, cannot be read, or holds faults (those are logged, and the
  //   settings in use stay).
  std::optional<Settings> ReadChanged();

 private:
  std::string file_;
  Overrides overrides_;
  std::string text_;
};

}  // namespace juniperway::daemon
