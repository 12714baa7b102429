// A change is sent until its outcome is known, and has one effect.
#include <doctest/doctest.h>

#include "ctl/retry_policy.h"
#include "unit/ctl/ctl_fixture.h"

namespace juniperway::ctl {
namespace {

using Behaviour = CtlFixture::Behaviour;

}  // namespace

TEST_CASE("a change whose answer was lost is sent again under the same id") {
  CtlFixture ctl(3);
  ctl.controls[0]->next = {Behaviour::kLoseAnswer};
  ctl.controls[1]->next = {Behaviour::kNoLeader};
  const RunResult result = ctl.Run({"apply", "-f", "-"}, kServiceText);
  CAPTURE(result.error);
  CHECK(result.exit_code == 0);
  CHECK(ctl.Has(result.out, "it was sent before"));
  CHECK(ctl.api.state.revision() == 1);
  const std::string id = "x-change-id";
  for (const auto& control : ctl.controls) {
    REQUIRE(control->requests.size() == 1);
    CHECK(control->requests[0].headers.at(id) ==
          ctl.controls[0]->requests[0].headers.at(id));
    CHECK(control->requests[0].body == ctl.controls[0]->requests[0].body);
  }
}

TEST_CASE("a delete whose answer was lost keeps its version and its id") {
  CtlFixture ctl(2);
  ctl.MustApply(kServiceText);
  ctl.controls[0]->next = {Behaviour::kServe, Behaviour::kLoseAnswer};
  const RunResult result = ctl.Run({"delete", "service", "wallet"});
  CAPTURE(result.error);
  CHECK(result.exit_code == 0);
  CHECK(ctl.api.Resources().empty());
}

TEST_CASE("time running out exits 4 and says how to learn the outcome") {
  CtlFixture ctl;
  ctl.controls[0]->next = {Behaviour::kLoseAnswer};
  const RunResult result = ctl.Run(
      {"apply", "-f", "-", "--change-id", "monday-1", "--timeout", "0.3"},
      kServiceText);
  CHECK(result.exit_code == 4);
  CHECK(ctl.Has(result.error, "outcome unknown"));
  CHECK(ctl.Has(result.error, "changes monday-1"));
  CHECK(ctl.Has(result.error, "--change-id monday-1"));
}

TEST_CASE("what certainly was not run is called unavailable") {
  CtlFixture ctl;
  ctl.controls[0]->next.assign(1000, Behaviour::kNoLeader);
  const RunResult result =
      ctl.Run({"apply", "-f", "-", "--timeout", "0.3"}, kServiceText);
  CHECK(result.exit_code == 4);
  CHECK_FALSE(ctl.Has(result.error, "outcome unknown"));
  CHECK(ctl.Has(result.error, "no leader"));
}

TEST_CASE("a change of members is sent again only when it was not run") {
  CtlFixture ctl(2);
  ctl.controls[0]->next = {Behaviour::kNoLeader};
  CHECK(ctl.Run({"members", "add", "4", "127.0.0.1:9"}).exit_code == 0);
  CHECK(ctl.api.added.size() == 1);
  ctl.controls[0]->next = {Behaviour::kFail};
  const RunResult unknown = ctl.Run({"members", "remove", "4"});
  CHECK(unknown.exit_code == 4);
  CHECK(ctl.Has(unknown.error, "members list"));
  CHECK(ctl.api.removed.empty());
}

TEST_CASE("another content under a used change id is refused") {
  CtlFixture ctl;
  CHECK(ctl.Run({"apply", "-f", "-", "--change-id", "one"}, kServiceText)
            .exit_code == 0);
  const RunResult again =
      ctl.Run({"apply", "-f", "-", "--change-id", "one"}, kServiceText);
  CHECK(again.exit_code == 0);
  CHECK(ctl.Has(again.out, "it was sent before"));
  const RunResult other =
      ctl.Run({"apply", "-f", "-", "--change-id", "one"},
              R"({"kind": "Service", "name": "other", "spec": {}})");
  CHECK(other.exit_code == 1);
  CHECK(ctl.Has(other.error, "change_id"));
  CHECK(ctl.api.state.revision() == 1);
}

TEST_CASE("the policy ends on final answers and grows its pauses") {
  net::HttpClientResponse response;
  response.transport_error = "refused";
  CHECK(DecideNextStep(response, false) == NextStep::kTryAgain);
  response.progress = net::HttpProgress::kSent;
  CHECK(DecideNextStep(response, true) == NextStep::kTryAgain);
  CHECK(DecideNextStep(response, false) == NextStep::kOutcomeUnknown);
  response.progress = net::HttpProgress::kAnswered;
  for (const int status : {200, 400, 401, 404, 409, 410, 413}) {
    response.status = status;
    CHECK(DecideNextStep(response, false) == NextStep::kDone);
  }
  response.status = 503;
  response.body = "not JSON";
  CHECK(DecideNextStep(response, false) == NextStep::kOutcomeUnknown);
  response.body = R"({"execution": "not-run"})";
  CHECK(DecideNextStep(response, false) == NextStep::kTryAgain);

  CHECK(PauseBefore(0, 3) == Duration(0));
  CHECK(PauseBefore(2, 3) == Duration(0));
  CHECK(PauseBefore(3, 3) == milliseconds(100));
  CHECK(PauseBefore(8, 3) == milliseconds(200));
  CHECK(PauseBefore(1000, 3) == seconds(1));
}

}  // namespace juniperway::ctl
