// Tests the order in which the queue admits waiting requests.
#include "common/forwarding/admission_queue.h"

#include <doctest/doctest.h>

#include <vector>

namespace juniperway::forwarding {
namespace {

constexpr MonotonicTime kNow{seconds(100)};

// @param target_in time from kNow until an answer is late.
AdmissionQueue::Entry Waiting(std::uint64_t number, const std::string& route,
                              Duration target_in, std::uint32_t priority = 1) {
  return {.number = number,
          .route = route,
          .priority = priority,
          .target_by = kNow + target_in};
}

std::vector<std::uint64_t> Drain(AdmissionQueue& queue) {
  std::vector<std::uint64_t> order;
  while (const auto next = queue.Next(kNow, {})) {
    order.push_back(next->number);
    queue.Remove(next->number);
  }
  return order;
}

TEST_CASE("requests that can be in time go first, then the oldest") {
  AdmissionQueue queue;
  queue.Insert(Waiting(1, "r", -milliseconds(500)));
  queue.Insert(Waiting(2, "r", milliseconds(80)));
  queue.Insert(Waiting(3, "r", -milliseconds(900)));
  queue.Insert(Waiting(4, "r", milliseconds(20)));
  CHECK(Drain(queue) == std::vector<std::uint64_t>{4, 2, 3, 1});
}

TEST_CASE("requests with the same target keep the order of arrival") {
  AdmissionQueue queue;
  queue.Insert(Waiting(8, "r", milliseconds(80)));
  queue.Insert(Waiting(7, "r", milliseconds(80)));
  CHECK(Drain(queue) == std::vector<std::uint64_t>{7, 8});
}

TEST_CASE("the more urgent route goes first among those in time") {
  AdmissionQueue queue;
  queue.Insert(Waiting(1, "patient", milliseconds(20), /*priority=*/2));
  queue.Insert(Waiting(2, "urgent", milliseconds(80), /*priority=*/1));
  queue.Insert(Waiting(3, "urgent", -milliseconds(10), /*priority=*/1));
  CHECK(Drain(queue) == std::vector<std::uint64_t>{2, 1, 3});
}

TEST_CASE("a blocked route does not delay other routes") {
  AdmissionQueue queue;
  queue.Insert(Waiting(1, "a", milliseconds(20), /*priority=*/1));
  queue.Insert(Waiting(2, "b", milliseconds(20), /*priority=*/2));
  CHECK(queue.Next(kNow, {"a"})->number == 2);
  CHECK_FALSE(queue.Next(kNow, {"a", "b"}));
}

TEST_CASE("a removed request is not admitted") {
  AdmissionQueue queue;
  queue.Insert(Waiting(1, "r", milliseconds(20)));
  CHECK(queue.size() == 1);
  CHECK(queue.Remove(1));
  CHECK_FALSE(queue.Remove(1));
  CHECK(queue.empty());
  CHECK_FALSE(queue.Next(kNow, {}));
}

}  // namespace
}  // namespace juniperway::forwarding
