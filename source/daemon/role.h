// One role of the daemon: its event loop on a thread of its own.
#pragma once

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace juniperway::daemon {

// Where a role listens, as the daemon prints it.
struct Listener {
  std::string name;  // "gateway.http"
  asio::ip::tcp::endpoint endpoint;
};

class EventLoopThread {
 public:
  EventLoopThread();
  // Stops the loop, whatever it does, and waits for its thread.
  ~EventLoopThread();
  EventLoopThread(const EventLoopThread&) = delete;
  EventLoopThread& operator=(const EventLoopThread&) = delete;

  asio::io_context& context() { return context_; }

  // Starts the thread. Before that the context may be used by the caller.
  void Start();
  // Ends the loop and waits for the thread; then the caller may use what
  // belonged to it.
  void Stop();

 private:
  asio::io_context context_{1};
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::thread thread_;
};

}  // namespace juniperway::daemon
