// Files of the operator's machine.
#pragma once

#include <filesystem>
#include <string>

#include "ctl/failure.h"

namespace juniperway::ctl {

Outcome<std::string> ReadLocalFile(const std::string& path);

// Writes the file under another name first, syncs it and gives it its name: a
// reader sees all of it or nothing.
// @param replace off: kLocalFile when the file exists.
Outcome<void> WriteLocalFile(const std::filesystem::path& path,
                             const std::string& content, bool replace);

}  // namespace juniperway::ctl
