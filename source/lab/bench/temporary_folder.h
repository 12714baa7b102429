// A scratch folder that goes away with its owner.
#pragma once

#include <stdlib.h>

#include <filesystem>
#include <stdexcept>
#include <string>

namespace juniperway::lab {

class TemporaryFolder {
 public:
  // Makes a new folder in `parent` (empty: the system's temporary folder).
  // Throws std::runtime_error when that fails.
  explicit TemporaryFolder(const std::filesystem::path& parent) {
    const std::filesystem::path base =
        parent.empty() ? std::filesystem::temp_directory_path() : parent;
    std::string path = base / "juniperway-bench-XXXXXX";
    if (mkdtemp(path.data()) == nullptr) {
      throw std::runtime_error("cannot make a folder in " + base.string());
    }
    path_ = path;
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::filesystem::path& path() const { return path_; }

 private:
  std::filesystem::path path_;
};

}  // namespace juniperway::lab
