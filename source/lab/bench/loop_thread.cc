#include "lab/bench/loop_thread.h"

#include <pthread.h>
#include <time.h>

#include <asio/post.hpp>
#include <future>

namespace juniperway::lab {

LoopThread::~LoopThread() { Stop(); }

void LoopThread::Start() {
  thread_ = std::thread([this] { context_.run(); });
  pthread_setname_np(thread_.native_handle(), name_.c_str());
}

void LoopThread::Stop() {
  context_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void LoopThread::Run(const std::function<void()>& work) {
  std::promise<void> done;
  asio::post(context_, [&] {
    work();
    done.set_value();
  });
  done.get_future().wait();
}

Duration LoopThread::CpuTime() {
  clockid_t clock{};
  timespec time{};
  pthread_getcpuclockid(thread_.native_handle(), &clock);
  clock_gettime(clock, &time);
  return std::chrono::duration_cast<Duration>(
      seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace juniperway::lab
