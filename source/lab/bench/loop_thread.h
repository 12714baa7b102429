// An event loop on a thread of its own, whose processor time can be read.
#pragma once

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <functional>
#include <string>
#include <thread>
#include <utility>

#include "common/base/time.h"

namespace juniperway::lab {

class LoopThread {
 public:
  // @param name shows in profiles.
  explicit LoopThread(std::string name) : name_(std::move(name)) {}
  ~LoopThread();
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

  asio::io_context& context() { return context_; }
  void Start();
  void Stop();
  // Runs `work` on the started thread and waits for it.
  void Run(const std::function<void()>& work);
  // Processor time since the start.
  Duration CpuTime();

 private:
  std::string name_;
  asio::io_context context_{1};
  asio::executor_work_guard<asio::io_context::executor_type> guard_ =
      asio::make_work_guard(context_);
  std::thread thread_;
};

}  // namespace juniperway::lab
