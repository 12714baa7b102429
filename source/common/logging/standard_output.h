// Log lines on standard output. A line that the reader has no room for is
// dropped and counted: a process never waits for whoever reads its log.
#pragma once

#include <cstddef>
#include <string_view>

namespace juniperway::logging {

// Longer lines are cut: a pipe takes this much in one piece.
inline constexpr std::size_t kLongestLine = 4096;

// Writes one line, without its end, to a descriptor that may be a pipe.
// @return false when it would have to wait, or cannot be written.
bool TryWriteLine(int descriptor, std::string_view line);

// Sends glog's lines to standard output instead of standard error and files.
// Call once, before the first thread.
void LogToStandardOutput();

}  // namespace juniperway::logging
