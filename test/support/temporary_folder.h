// An empty folder that goes away with the test.
#pragma once

#include <doctest/doctest.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <system_error>

namespace juniperway::test {

class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string path =
        std::filesystem::temp_directory_path() / "juniperway-test-XXXXXX";
    REQUIRE(mkdtemp(path.data()) != nullptr);
    path_ = path;
  }
  // JUNIPERWAY_KEEP_FOLDERS keeps it, for the logs of processes after a
  // failure.
  ~TemporaryFolder() {
    if (std::getenv("JUNIPERWAY_KEEP_FOLDERS") != nullptr) {
      return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::filesystem::path& path() const { return path_; }

  // Writes a file in it. @return its path.
  std::string Write(const std::string& name, const std::string& content) const {
    std::ofstream(path_ / name) << content;
    return path_ / name;
  }

 private:
  std::filesystem::path path_;
};

}  // namespace juniperway::test
