// Keeps the product's log events of a simulated fleet off the standard error
// stream.
#pragma once

namespace juniperway::sim {

// Only fatal messages are logged while one of these lives.
class QuietLog {
 public:
  QuietLog();
  ~QuietLog();
  QuietLog(const QuietLog&) = delete;
  QuietLog& operator=(const QuietLog&) = delete;

 private:
  int previous_level_;
};

}  // namespace juniperway::sim
