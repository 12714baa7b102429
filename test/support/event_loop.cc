#include "support/event_loop.h"

#include <asio/executor_work_guard.hpp>
#include <chrono>

namespace juniperway::test {

bool RunUntil(asio::io_context& context, const std::function<bool()>& condition,
              Duration limit) {
  const auto guard = asio::make_work_guard(context);
  const auto deadline = std::chrono::steady_clock::now() + limit;
  context.restart();
  while (!condition()) {
    if (context.run_one_until(deadline) == 0) {
      return condition();
    }
  }
  return true;
}

void RunReady(asio::io_context& context) {
  context.restart();
  while (context.poll() > 0) {
  }
}

}  // namespace juniperway::test
