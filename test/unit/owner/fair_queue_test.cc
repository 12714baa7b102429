#include "common/owner/fair_queue.h"

#include <doctest/doctest.h>

#include <vector>

#include "unit/owner/gate_fixture.h"

namespace juniperway::owner::testing {
namespace {

constexpr ClassIndex kQuiet = 0;
constexpr ClassIndex kNoisy = 1;
constexpr Duration kSlotTime = milliseconds(1);

// Takes the next subquery and charges its class.
SubqueryId StartNext(FairQueue& queue, MonotonicTime now) {
  const SubqueryId id = queue.TakeNext(now).id;
  queue.Charge(id, kSlotTime, now);
  return id;
}

// Adds subqueries of the noisy class, with ids from 100 on.
void AddNoisy(FairQueue& queue, int count) {
  for (int i = 0; i < count; ++i) {
    queue.Insert(100 + static_cast<SubqueryId>(i), At(1000 + i), kNoisy);
  }
}

TEST_CASE("A class within its share goes before one that exceeds its share") {
  FairQueue queue({1, 1});
  AddNoisy(queue, 20);
  for (int i = 0; i < 10; ++i) {
    StartNext(queue, At(0));
  }
  // The quiet class starts first although its subquery has more remaining time.
  queue.Insert(1, At(9000), kQuiet);
  CHECK(StartNext(queue, At(1)) == 1);
}

TEST_CASE("Classes that always have subqueries share by their weights") {
  FairQueue queue({1, 3});
  AddNoisy(queue, 400);
  for (SubqueryId id = 1; id <= 80; ++id) {
    queue.Insert(id, At(500), kQuiet);
  }
  int noisy = 0;
  for (int i = 0; i < 100; ++i) {
    noisy += StartNext(queue, At(i)) >= 100 ? 1 : 0;
  }
  CHECK(noisy >= 74);
  CHECK(noisy <= 76);
}

TEST_CASE("Classes within their share go by the shortest remaining time") {
  FairQueue queue({1, 1});
  queue.Insert(1, At(30), kQuiet);
  queue.Insert(2, At(20), kQuiet);
  queue.Insert(3, At(10), kNoisy);
  CHECK(StartNext(queue, At(0)) == 3);
  CHECK(StartNext(queue, At(0)) == 2);
  CHECK(StartNext(queue, At(0)) == 1);
  CHECK(queue.empty());
}

TEST_CASE("Idle slots used by one class no longer count after kMaximumLead") {
  FairQueue queue({1, 1});
  AddNoisy(queue, 1000);
  for (int i = 0; i < 500; ++i) {
    StartNext(queue, At(0));
  }
  for (SubqueryId id = 1; id <= 99; ++id) {
    queue.Insert(id, At(2000), kQuiet);
  }
  const MonotonicTime later = At(0) + FairQueue::kMaximumLead;
  CHECK(StartNext(queue, later) >= 100);
}

TEST_CASE("Refused and removed subqueries are not charged") {
  FairQueue queue({1, 1});
  queue.Insert(1, At(10), kQuiet);
  queue.Insert(2, At(11), kQuiet);
  queue.Insert(3, At(20), kNoisy);
  const FairQueue::Entry refused = queue.TakeNext(At(0));
  queue.ReleaseUncharged(refused.id);
  CHECK(queue.Remove(2));
  CHECK_FALSE(queue.Remove(2));
  queue.Insert(4, At(12), kQuiet);
  CHECK(StartNext(queue, At(0)) == 4);
}

TEST_CASE("The class with most queued subqueries for its weight sheds first") {
  FairQueue queue({4, 1});
  AddNoisy(queue, 2);
  for (SubqueryId id = 1; id <= 4; ++id) {
    queue.Insert(id, At(static_cast<std::int64_t>(id)), kQuiet);
  }
  CHECK(queue.NextToShed().id == 101);
  CHECK(queue.Earliest().id == 1);
}

TEST_CASE("New weights keep the queue; unknown classes count as the first") {
  FairQueue queue({1, 1});
  queue.Insert(1, At(10), kNoisy);
  queue.Insert(2, At(20), 7);
  queue.SetWeights({1});
  CHECK(queue.size() == 2);
  CHECK(StartNext(queue, At(0)) == 1);
  CHECK(StartNext(queue, At(0)) == 2);
}

}  // namespace
}  // namespace juniperway::owner::testing
