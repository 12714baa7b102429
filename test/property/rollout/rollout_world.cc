#include "property/rollout/rollout_world.h"

#include <algorithm>
#include <string>
#include <utility>

#include "common/rollout/rollout_plan.h"

namespace juniperway::test {
namespace {

using rollout::Rollout;
using rollout::RolloutState;

constexpr Duration kStep = milliseconds(10);
const std::string kService = "s";
// Two of three requests are for the first route.
const std::string kFrequentRoute = "often";
const std::string kRareRoute = "rare";
constexpr double kRareShare = 1.0 / 3;
// Canaries start when the rollout is ordered, and are listed after this delay.
constexpr Duration kCanariesAfter = milliseconds(1800);
constexpr Duration kWorkTime = milliseconds(11);
// Share of the answers of either version that a pause of the backend delays by
// kPause.
constexpr double kPauseShare = 0.02;
constexpr Duration kPause = milliseconds(200);
constexpr double kUnderLoadPermille = 200;
// The intervals equal those of session::SessionTiming.
constexpr Duration kHeartbeatInterval = seconds(1);
constexpr Duration kUnrenewedInterval = milliseconds(400);
constexpr Duration kCanaryReportInterval = milliseconds(200);

}  // namespace

RolloutWorld::RolloutWorld(const RolloutWorldOptions& options)
    : options_(options),
      random_(options.seed),
      ordered_at_(now_),
      answer_random_(options.seed + 1) {
  for (std::size_t number = 0; number < options.routers; ++number) {
    names_.push_back("router-" + std::to_string(number));
  }
  for (const std::string& name : names_) {
    Router& router = routers_.emplace_back();
    router.name = name;
    router.next_report =
        now_ + Duration(static_cast<Duration::rep>(DrawUniform() * 1e6));
    session::Member& member = members_[name];
    member.daemon_id = name;
    member.incarnation = router.incarnation;
    member.router = true;
  }
  Rollout& rollout = rollouts_[kService];
  rollout.number = 1;
  rollout.target_version = "v2";
  rollout.duration = options.duration;
  rollout.share_permille = rollout::ObservingShare(kWorldExposure);
  rollout.base_share_permille = rollout.share_permille;
  StartLeader();
  Publish();
}

double RolloutWorld::DrawUniform() {
  return std::uniform_real_distribution<double>(0, 1)(random_);
}

Duration RolloutWorld::MessageDelay() {
  return milliseconds(5) +
         Duration(static_cast<Duration::rep>(DrawUniform() * 40e3));
}

Duration RolloutWorld::AnswerDelay() {
  return Duration(std::uniform_int_distribution<Duration::rep>(
      5'000, 45'000)(answer_random_));
}

void RolloutWorld::Schedule(MonotonicTime time, std::function<void()> run) {
  events_.push_back({time, std::move(run)});
}

void RolloutWorld::RunDueEvents() {
  std::vector<Event> due;
  // clang 14 cannot instantiate std::ranges::partition.
  const auto first =
      std::partition(events_.begin(), events_.end(),
                     [this](const Event& event) { return event.time > now_; });
  due.assign(std::make_move_iterator(first),
             std::make_move_iterator(events_.end()));
  events_.erase(first, events_.end());
  for (const Event& event : due) {
    event.run();
  }
}

bool RolloutWorld::IsReachable(const Router& router) const {
  return now_ >= router.partitioned_until && now_ >= router.down_until;
}

RolloutReport RolloutWorld::Run() {
  const MonotonicTime end = ordered_at_ + options_.duration + seconds(8);
  while (now_ < end) {
    now_ += kStep;
    RunDueEvents();
    if (options_.daemon_faults) {
      InjectDaemonFaults();
    }
    MakeRequests();
    for (Router& router : routers_) {
      if (now_ >= router.next_report && IsReachable(router)) {
        SendHeartbeat(router);
      }
    }
    if (now_ >= leaderless_until_) {
      TakeLeaderSteps();
    }
  }
  report_.state = rollouts_.at(kService).state;
  return report_;
}

void RolloutWorld::InjectDaemonFaults() {
  const double per_step = ToSeconds(kStep);
  if (DrawUniform() < 0.2 * per_step) {  // Once in five seconds on average.
    StopLeader();
  }
  if (DrawUniform() < 0.5 * per_step) {
    Router& partitioned = routers_[random_() % routers_.size()];
    partitioned.partitioned_until = now_ + 60 * MessageDelay();
    Schedule(partitioned.partitioned_until, [this, &partitioned] {
      ApplyRollout(partitioned, rollouts_.at(kService));
    });
  }
  if (DrawUniform() < 0.5 * per_step) {
    Router& restarted = routers_[random_() % routers_.size()];
    restarted.down_until = now_ + seconds(1);
    ++restarted.incarnation;
    restarted.has_rollout = false;
    restarted.tally = rollout::AnswerTally();
    restarted.allowance = rollout::CanaryAllowance();
    restarted.term = 0;
    restarted.lease_end = MonotonicTime::min();
    Schedule(restarted.down_until, [this, &restarted] {
      ApplyRollout(restarted, rollouts_.at(kService));
      session::Member& member = members_.at(restarted.name);
      member.incarnation = restarted.incarnation;
      lease_table_.SetMember(restarted.name, &member, now_);
    });
  }
}

void RolloutWorld::StopLeader() {
  judge_.Stop();
  lease_table_.Stop();
  step_in_flight_ = false;
  leaderless_until_ = now_ + milliseconds(500) + 20 * MessageDelay();
  Schedule(leaderless_until_, [this] {
    StartLeader();
    if (options_.leases) {
      return;
    }
    for (Router& router : routers_) {
      router.tally.ReportAllAgain();
      router.term = term_;
    }
  });
}

void RolloutWorld::StartLeader() {
  lease_table_.Start(++term_, rollouts_.at(kService).revision, members_, now_);
}

void RolloutWorld::MakeRequests() {
  std::poisson_distribution<int> count(options_.requests_per_second *
                                       ToSeconds(kStep));
  for (int remaining = count(random_); remaining > 0; --remaining) {
    Router& router = routers_[random_() % routers_.size()];
    if (now_ >= router.down_until) {
      SendRequest(router);
    }
  }
}

void RolloutWorld::SendRequest(Router& router) {
  const std::string& route =
      DrawUniform() < kRareShare ? kRareRoute : kFrequentRoute;
  const Rollout& view = router.view;
  const bool running = router.has_rollout && view.running();
  const bool canaries_listed = now_ >= ordered_at_ + kCanariesAfter;
  const bool replaced =
      router.has_rollout &&
      (view.state == RolloutState::kComplete ||
       (running && view.phase == rollout::RolloutPhase::kReplacing));
  bool canary = replaced;
  if (running && !replaced) {
    if (options_.ignores_share_lease) {
      router.allowance.Renew(MonotonicTime::max());
    }
    router.allowance.DrawRequest(random_(), now_);
    const bool is_allowed =
        options_.ignores_share || router.allowance.MaySend();
    canary = is_allowed && canaries_listed;
    if (canary) {
      router.allowance.OnSent();
    }
  }
  if (now_ <= ordered_at_ + options_.duration) {
    ++report_.requests;
    report_.canary_requests += canary ? 1 : 0;
  }
  if (canary && now_ > rolled_back_at_ &&
      rolled_back_at_ != MonotonicTime::max() &&
      now_ - rolled_back_at_ > kWorldRollbackBound && IsReachable(router)) {
    ++report_.late_canary_requests;
  }
  SimulateAnswer(router, route, canary, view.number);
}

bool RolloutWorld::IsBad(const std::string& route, bool canary) {
  const Duration elapsed = now_ - ordered_at_;
  switch (options_.fault) {
    case VersionFault::kNone:
      return false;
    case VersionFault::kFails:
    case VersionFault::kSlow:
      return canary &&
             (options_.fault == VersionFault::kSlow || DrawUniform() < 0.33);
    case VersionFault::kFailsOnOneRoute:
      return canary && route == kRareRoute && DrawUniform() < 0.5;
    case VersionFault::kFailsLater:
      return canary && elapsed > options_.duration * 2 / 5 &&
             DrawUniform() < 0.4;
    case VersionFault::kFailsUnderLoad:
      return canary &&
             rollouts_.at(kService).share_permille >= kUnderLoadPermille &&
             DrawUniform() < 0.4;
    case VersionFault::kBothFail:
      return elapsed > seconds(2) && elapsed < seconds(6) &&
             DrawUniform() < 0.3;
  }
  return false;
}

void RolloutWorld::SimulateAnswer(Router& router, const std::string& route,
                                  bool canary, rollout::RolloutNumber number) {
  const bool bad = IsBad(route, canary);
  rollout::AttemptObservation observation;
  observation.latency =
      kWorkTime + Duration(static_cast<Duration::rep>(DrawUniform() * 6e3));
  if (DrawUniform() < kPauseShare) {
    observation.latency += kPause;
  }
  if (bad && options_.fault == VersionFault::kSlow) {
    observation.latency = observation.latency * 4;
  } else {
    observation.failed = bad;
  }
  if (bad && canary && rolled_back_at_ == MonotonicTime::max()) {
    ++report_.canary_bad_before_decision;
  }
  Schedule(now_ + observation.latency, [this, &router, route, canary, number,
                                        observation,
                                        incarnation = router.incarnation] {
    if (router.incarnation != incarnation || router.view.number != number) {
      return;
    }
    router.tally.Count({.service = kService, .route = route, .canary = canary},
                       observation);
    if (router.tally.has_new_canary_answers()) {
      router.next_report =
          std::min(router.next_report, now_ + kCanaryReportInterval);
    }
  });
}

void RolloutWorld::SendHeartbeat(Router& router) {
  router.next_report =
      now_ + (router.lease_refused ? kUnrenewedInterval : kHeartbeatInterval);
  if (router.view.share_permille > router.view.base_share_permille) {
    router.next_report =
        std::min(router.next_report, now_ + rollout::kShareRenewalInterval);
  }
  auto reports = router.tally.MakeReport();
  const control::HeartbeatFacts facts{
      .daemon = {router.name, router.incarnation},
      .confirmed = router.view.revision,
      // Simulated attempts end within one time step.
      .released = router.view.revision,
      .term = router.term,
      .holds_lease = now_ < router.lease_end};
  const Duration delay = reports.empty() ? AnswerDelay() : MessageDelay();
  Schedule(now_ + delay,
           [this, &router, facts, reports = std::move(reports),
            sent_at = now_] { OnHeartbeat(router, facts, reports, sent_at); });
}

void RolloutWorld::OnHeartbeat(
    Router& router, const control::HeartbeatFacts& facts,
    const std::vector<rollout::AnswerReport>& reports, MonotonicTime sent_at) {
  if (now_ < leaderless_until_) {
    router.lease_refused = true;
    return;
  }
  const control::GrantOutcome outcome = lease_table_.OnHeartbeat(facts, now_);
  judge_.OnReport(facts.daemon.daemon_id, facts.daemon.incarnation, reports,
                  rollouts_, now_);
  if (facts.term == term_) {
    judge_.OnFullReport(facts.daemon.daemon_id);
  }
  AnswerHeartbeat(router, facts.daemon.incarnation, outcome, sent_at);
}

void RolloutWorld::AnswerHeartbeat(Router& router, std::uint64_t incarnation,
                                   control::GrantOutcome outcome,
                                   MonotonicTime sent_at) {
  Schedule(
      now_ + AnswerDelay(), [this, &router, incarnation, outcome, sent_at,
                             term = term_, renewed = judge_.RenewedShares()] {
        if (!IsReachable(router) || router.incarnation != incarnation) {
          return;
        }
        if (std::exchange(router.term, term) != term) {
          router.tally.ReportAllAgain();
          router.next_report = now_;
        }
        router.lease_refused = outcome != control::GrantOutcome::kGranted;
        if (!router.lease_refused) {
          router.lease_end = sent_at + control::LeaseTable::Options().lease;
          if (!renewed.empty()) {
            router.allowance.Renew(sent_at + rollout::kShareLease);
          }
        }
      });
}

rollout::RouterProgress RolloutWorld::ProgressOf(std::uint64_t revision) {
  lease_table_.Advance(revision, now_);
  const control::RevisionShares parts = lease_table_.SharesOf(revision);
  return {.confirmed = options_.leases ? parts.confirmed : 1,
          .released = parts.released};
}

void RolloutWorld::TakeLeaderSteps() {
  if (step_in_flight_) {
    return;
  }
  const rollout::RolloutJudge::Fleet fleet{
      .wall_time = WallTime{Duration(now_ - ordered_at_)},
      .routers = options_.routers,
      .progress =
          [this](std::uint64_t revision) { return ProgressOf(revision); },
      .count_backends =
          [this](const std::string&, const std::string&) {
            return now_ >= ordered_at_ + kCanariesAfter ? std::size_t{3} : 0;
          }};
  for (const rollout::ServiceStep& due :
       judge_.TakeSteps(rollouts_, fleet, now_)) {
    step_in_flight_ = true;
    // The leader first replicates the step, and then sends it to all routers.
    Schedule(now_ + milliseconds(30), [this, step = due.step,
                                       answers = due.evidence.canary_answers] {
      step_in_flight_ = false;
      Rollout& rollout = rollouts_.at(kService);
      if (rollout.phase != step.phase) {
        rollout.phase_began_at = WallTime{Duration(now_ - ordered_at_)};
        rollout.answers_before_phase = answers;
      }
      rollout.state = step.state;
      rollout.phase = step.phase;
      rollout.share_permille = step.share_permille;
      if (!rollout.running()) {
        report_.decided_after = now_ - ordered_at_;
      }
      if (rollout.state == RolloutState::kRolledBack) {
        rolled_back_at_ = now_;
      }
      Publish();
    });
  }
}

void RolloutWorld::Publish() {
  ++rollouts_.at(kService).revision;
  for (Router& router : routers_) {
    // The leader batches changes for up to 150 ms.
    Schedule(now_ + milliseconds(150) + MessageDelay(),
             [this, &router, rollout = rollouts_.at(kService)] {
               if (IsReachable(router)) {
                 ApplyRollout(router, rollout);
               }
             });
  }
}

void RolloutWorld::ApplyRollout(Router& router, const Rollout& rollout) {
  // A session delivers changes in order, so an older revision is ignored.
  if (router.has_rollout && router.view.revision >= rollout.revision) {
    return;
  }
  router.has_rollout = true;
  router.view = rollout;
  router.allowance.SetShare(rollout.share_permille,
                            rollout.base_share_permille);
  if (options_.leases) {
    router.next_report = now_;
  }
  std::map<std::string, rollout::RolloutNumber> running;
  if (rollout.running()) {
    running[kService] = rollout.number;
  }
  router.tally.SetRollouts(running);
}

}  // namespace juniperway::test
