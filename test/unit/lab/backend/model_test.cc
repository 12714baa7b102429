#include "lab/backend/model.h"

#include <doctest/doctest.h>

namespace juniperway::lab {
namespace {

constexpr KeyRange kFirstHalf{0, kKeySpaceEnd / 2};

MonotonicTime At(std::int64_t time_ms) {
  return MonotonicTime(milliseconds(time_ms));
}

BackendSettings Settings() {
  BackendSettings settings;
  settings.name = "b1";
  settings.service = "logs";
  settings.slots = 2;
  settings.service_time_sigma = 0;
  settings.median_service_time = milliseconds(4);
  settings.holdings = {{7, "s0", kFirstHalf}};
  return settings;
}

SearchRequest Search() {
  SearchRequest request;
  request.shard = "s0";
  request.index_version = 7;
  request.range = {0, kKeySpaceEnd};
  request.query = kMatchAll;
  request.limit = 1000;
  return request;
}

TEST_CASE("runs up to its slots and sheds beyond them") {
  BackendModel model(Settings(), At(0));
  CHECK(model.Admit(Search(), At(1)).begun);
  CHECK(model.Admit(Search(), At(1)).work == milliseconds(4));
  const Admission third = model.Admit(Search(), At(1));
  CHECK_FALSE(third.begun);
  CHECK(third.status == 503);
  CHECK(model.counters().arrived_over_slots == 1);
  model.Finish(At(5));
  CHECK(model.Admit(Search(), At(5)).begun);
  CHECK(model.counters().peak_running == 2);
}

TEST_CASE("refuses a version that it does not hold, also after retiring it") {
  BackendModel model(Settings(), At(0));
  SearchRequest other = Search();
  other.index_version = 8;
  CHECK(model.Admit(other, At(1)).status == 409);
  model.Hold({8, "s0", kFirstHalf});
  CHECK(model.Admit(other, At(1)).begun);
  model.Retire(7);
  CHECK(model.Admit(Search(), At(1)).status == 409);
}

TEST_CASE("answers the rows of its shard within the asked range") {
  BackendModel model(Settings(), At(0));
  const Dataset dataset("logs", Settings().record_count);
  const Admission admission = model.Admit(Search(), At(1));
  CHECK(model.Answer(Search(), admission.shard_range) ==
        dataset.Rows(7, kFirstHalf, kMatchAll));
}

TEST_CASE("keeps the deadline unless it is told to ignore it") {
  BackendModel model(Settings(), At(0));
  SearchRequest request = Search();
  request.deadline = milliseconds(1);
  const Admission late = model.Admit(request, At(1));
  CHECK(late.status == 504);
  CHECK(late.work == milliseconds(1));
  Behaviour behaviour;
  behaviour.ignore_deadline = true;
  model.SetBehaviour(behaviour, At(2));
  CHECK(model.Admit(request, At(2)).status == 200);
  request.deadline = milliseconds(0);
  model.SetBehaviour(Behaviour(), At(2));
  CHECK_FALSE(model.Admit(request, At(3)).begun);
}

TEST_CASE("health lags and lies as told") {
  BackendModel model(Settings(), At(0));
  Behaviour behaviour;
  behaviour.report_lag = milliseconds(100);
  model.SetBehaviour(behaviour, At(0));
  model.Admit(Search(), At(50));
  CHECK(model.Health(At(100)).running == 0);
  CHECK(model.Health(At(151)).running == 1);
  behaviour.claimed_running = 0;
  behaviour.claimed_state = "ok";
  behaviour.draining = true;
  model.SetBehaviour(behaviour, At(200));
  CHECK(model.Health(At(400)).running == 0);
  CHECK(model.Health(At(400)).state == "ok");
}

TEST_CASE("counts what begins while it drains") {
  BackendModel model(Settings(), At(0));
  Behaviour behaviour;
  behaviour.draining = true;
  model.SetBehaviour(behaviour, At(10));
  CHECK(model.Health(At(11)).state == "draining");
  CHECK(model.Admit(Search(), At(30)).begun);
  CHECK(model.counters().last_begun_after_drain == milliseconds(20));
  behaviour.refuse_when_draining = true;
  model.SetBehaviour(behaviour, At(40));
  CHECK_FALSE(model.Admit(Search(), At(50)).begun);
}

TEST_CASE("is slower while cold, and slow as a straggler") {
  BackendSettings settings = Settings();
  settings.cold_start = milliseconds(100);
  settings.cold_factor = 5;
  BackendModel model(settings, At(0));
  CHECK(model.Admit(Search(), At(0)).work == milliseconds(20));
  CHECK(model.Health(At(1)).state == "cold");
  CHECK(model.Admit(Search(), At(200)).work == milliseconds(4));
  model.Finish(At(210));
  Behaviour behaviour;
  behaviour.slow_factor = 20;
  model.SetBehaviour(behaviour, At(220));
  CHECK(model.Admit(Search(), At(230)).work == milliseconds(80));
}

}  // namespace
}  // namespace juniperway::lab
