#include "daemon/role.h"

namespace juniperway::daemon {

EventLoopThread::EventLoopThread() : work_(context_.get_executor()) {}

EventLoopThread::~EventLoopThread() { Stop(); }

void EventLoopThread::Start() {
  thread_ = std::thread([this] { context_.run(); });
}

void EventLoopThread::Stop() {
  context_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

}  // namespace juniperway::daemon
