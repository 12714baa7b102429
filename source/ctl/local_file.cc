#include "ctl/local_file.h"

#include <fstream>
#include <iterator>
#include <system_error>

#include "common/storage/file_sync.h"

namespace juniperway::ctl {

namespace fs = std::filesystem;

Outcome<std::string> ReadLocalFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::error_code reason;
  if (!file || fs::is_directory(path, reason)) {
    return Fail(ExitCode::kLocalFile, path + ": cannot be read");
  }
  std::string content(std::istreambuf_iterator<char>(file), {});
  if (file.bad()) {
    return Fail(ExitCode::kLocalFile, path + ": cannot be read");
  }
  return content;
}

Outcome<void> WriteLocalFile(const fs::path& path, const std::string& content,
                             bool replace) {
  const fs::path partial = path.string() + ".partial";
  std::error_code reason;
  fs::remove(partial, reason);
  {
    std::ofstream file(partial, std::ios::binary);
    file.write(content.data(), static_cast<std::streamsize>(content.size()));
    if (!file.flush()) {
      return Fail(ExitCode::kLocalFile,
                  partial.string() + ": cannot be written");
    }
  }
  const Result<void> published = replace
                                     ? storage::PublishFile(partial, path)
                                     : storage::PublishNewFile(partial, path);
  if (!published) {
    fs::remove(partial, reason);
    return Fail(ExitCode::kLocalFile, FormatError(published.error()));
  }
  return {};
}

}  // namespace juniperway::ctl
