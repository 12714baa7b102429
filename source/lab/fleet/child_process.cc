#include "lab/fleet/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <initializer_list>
#include <limits>
#include <sstream>
#include <thread>
#include <utility>

#include "lab/events.h"

namespace juniperway::lab {
namespace {

constexpr int kSignalStatusBase = 128;
constexpr int kExecFailedStatus = 127;
constexpr Duration kWaitInterval = milliseconds(5);

int StatusOf(int wait_status) {
  return WIFEXITED(wait_status) ? WEXITSTATUS(wait_status)
                                : kSignalStatusBase + WTERMSIG(wait_status);
}

// Runs in the child between fork and exec: only async-signal-safe calls.
[[noreturn]] void BecomeProgram(char* const* arguments, int log, pid_t parent) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) {
    ::_exit(kExecFailedStatus);
  }
  ::dup2(log, STDOUT_FILENO);
  ::dup2(log, STDERR_FILENO);
  // What stays open here would keep connections alive that this process's
  // parent has closed.
  ::close_range(STDERR_FILENO + 1, std::numeric_limits<unsigned>::max(), 0);
  ::execv(arguments[0], arguments);
  ::_exit(kExecFailedStatus);
}

void CloseAll(std::initializer_list<int> descriptors) {
  for (const int descriptor : descriptors) {
    if (descriptor >= 0) {
      ::close(descriptor);
    }
  }
}

}  // namespace

Result<ChildProcess> ChildProcess::Start(
    const std::string& program, const std::vector<std::string>& arguments,
    const std::string& log_path) {
  std::vector<std::string> words = {program};
  words.insert(words.end(), arguments.begin(), arguments.end());
  std::vector<char*> pointers;
  pointers.reserve(words.size() + 1);
  for (std::string& word : words) {
    pointers.push_back(word.data());
  }
  pointers.push_back(nullptr);

  const int log =
      ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  const int output = ::open(log_path.c_str(), O_RDONLY | O_CLOEXEC);
  if (log < 0 || output < 0) {
    const std::string reason = std::strerror(errno);
    CloseAll({log, output});
    return MakeError(ErrorCode::kIo, log_path, reason);
  }
  // What an earlier process wrote there is not this one's.
  ::lseek(output, 0, SEEK_END);
  const pid_t parent = ::getpid();
  const pid_t pid = ::fork();
  if (pid == 0) {
    BecomeProgram(pointers.data(), log, parent);
  }
  ::close(log);
  if (pid < 0) {
    ::close(output);
    return MakeError(ErrorCode::kIo, program, std::strerror(errno));
  }
  logging::LogEvent(kProcessStarted, {{"program", program}, {"pid", pid}});
  return ChildProcess(pid, output);
}

ChildProcess::ChildProcess(ChildProcess&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)),
      output_(std::exchange(other.output_, -1)),
      unread_(std::move(other.unread_)),
      exit_status_(other.exit_status_) {}

ChildProcess& ChildProcess::operator=(ChildProcess&& other) noexcept {
  if (this != &other) {
    Release();
    pid_ = std::exchange(other.pid_, -1);
    output_ = std::exchange(other.output_, -1);
    unread_ = std::move(other.unread_);
    exit_status_ = other.exit_status_;
  }
  return *this;
}

ChildProcess::~ChildProcess() { Release(); }

void ChildProcess::Release() {
  if (pid_ > 0) {
    Kill();
  }
  if (output_ >= 0) {
    ::close(std::exchange(output_, -1));
  }
}

Result<std::map<std::string, std::string>> ChildProcess::WaitUntilReady(
    Duration timeout) {
  const MonotonicTime deadline = ReadMonotonicClock() + timeout;
  std::map<std::string, std::string> addresses;
  while (true) {
    const std::size_t end = unread_.find('\n');
    if (end == std::string::npos) {
      if (!ReadOutput(deadline - ReadMonotonicClock())) {
        return MakeError(ErrorCode::kUnavailable, "pid " + std::to_string(pid_),
                         "did not become ready");
      }
      continue;
    }
    std::istringstream line(unread_.substr(0, end));
    unread_.erase(0, end + 1);
    std::string word;
    std::string name;
    std::string address;
    line >> word >> name >> address;
    if (word == "ready") {
      return addresses;
    }
    if (word == "listening") {
      addresses[name] = address;
    }
  }
}

bool ChildProcess::ReadOutput(Duration timeout) {
  const MonotonicTime deadline = ReadMonotonicClock() + timeout;
  char buffer[4096];
  ssize_t size = ::read(output_, buffer, sizeof(buffer));
  while (size == 0 && running() && ReadMonotonicClock() < deadline) {
    std::this_thread::sleep_for(kWaitInterval);
    size = ::read(output_, buffer, sizeof(buffer));
  }
  if (size <= 0) {
    return false;
  }
  unread_.append(buffer, size);
  return true;
}

void ChildProcess::Signal(int signal_number) {
  if (running()) {
    ::kill(pid_, signal_number);
  }
}

std::optional<int> ChildProcess::Wait(Duration timeout) {
  const MonotonicTime deadline = ReadMonotonicClock() + timeout;
  while (running()) {
    if (ReadMonotonicClock() >= deadline) {
      return std::nullopt;
    }
    std::this_thread::sleep_for(kWaitInterval);
  }
  return exit_status_;
}

void ChildProcess::Kill() {
  Signal(SIGKILL);
  while (running()) {
    std::this_thread::sleep_for(kWaitInterval);
  }
}

bool ChildProcess::running() {
  if (pid_ <= 0 || exit_status_) {
    return false;
  }
  int wait_status = 0;
  if (::waitpid(pid_, &wait_status, WNOHANG) == pid_) {
    exit_status_ = StatusOf(wait_status);
    logging::LogEvent(kProcessEnded,
                      {{"pid", pid_}, {"status", *exit_status_}});
    return false;
  }
  return true;
}

}  // namespace juniperway::lab
