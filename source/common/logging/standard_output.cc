#include "common/logging/standard_output.h"

#include <glog/logging.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <ctime>
#include <string>

#include "common/logging/event_log.h"

namespace juniperway::logging {
namespace {

class StandardOutputSink : public google::LogSink {
 public:
  void send(google::LogSeverity severity, const char* /*full_filename*/,
            const char* base_filename, int line,
            const google::LogMessageTime& time, const char* message,
            std::size_t message_length) override {
    const std::string text =
        ToString(severity, base_filename, line, time, message, message_length);
    if (!TryWriteLine(STDOUT_FILENO, text)) {
      CountUnwritten();
    }
  }
};

}  // namespace

bool TryWriteLine(int descriptor, std::string_view line) {
  // A pipe that is writable takes kLongestLine bytes without waiting.
  pollfd writable = {descriptor, POLLOUT, 0};
  if (::poll(&writable, 1, 0) != 1 || (writable.revents & POLLOUT) == 0) {
    return false;
  }
  std::string text(line.substr(0, kLongestLine - 1));
  text += '\n';
  return ::write(descriptor, text.data(), text.size()) ==
         static_cast<ssize_t>(text.size());
}

void LogToStandardOutput() {
  static StandardOutputSink sink;
  FLAGS_logtostderr = false;
  FLAGS_stderrthreshold = google::GLOG_FATAL;
  for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity) {
    google::SetLogDestination(severity, "");  // no files
  }
  google::AddLogSink(&sink);
}

}  // namespace juniperway::logging
