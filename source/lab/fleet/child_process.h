// A process of the fleet: started, watched and ended by its own pid only.
#pragma once

#include <sys/types.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/base/error.h"
#include "common/base/time.h"

namespace juniperway::lab {

class ChildProcess {
 public:
  // Starts `program` with `arguments` (without the program's name). What it
  // prints goes to the end of `log_path`. The child is killed when this process
  // dies; for that it must be started from a thread that lives as long as the
  // process.
  static Result<ChildProcess> Start(const std::string& program,
                                    const std::vector<std::string>& arguments,
                                    const std::string& log_path);

  ChildProcess(ChildProcess&& other) noexcept;
  ChildProcess& operator=(ChildProcess&& other) noexcept;
  // Kills it if it still runs.
  ~ChildProcess();

  // Reads "listening <name> <address>" lines until the line "ready".
  // @return addresses by name.
  Result<std::map<std::string, std::string>> WaitUntilReady(Duration timeout);

  void Signal(int signal_number);
  // Waits for its end. @return the exit status (128 + signal when a signal
  // ended it); nothing when it still runs after `timeout`.
  std::optional<int> Wait(Duration timeout);
  // SIGKILL, and waits for the end.
  void Kill();

  bool running();
  pid_t pid() const { return pid_; }

 private:
  ChildProcess(pid_t pid, int output) : pid_(pid), output_(output) {}

  // Appends what the child has printed. @return false at the end or timeout.
  bool ReadOutput(Duration timeout);
  void Release();

  pid_t pid_ = -1;
  int output_ = -1;
  std::string unread_;
  std::optional<int> exit_status_;
};

}  // namespace juniperway::lab
