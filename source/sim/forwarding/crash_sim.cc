#include "sim/forwarding/crash_sim.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "common/session/control_frames.h"
#include "common/session/fleet_codec.h"

namespace juniperway::sim {
namespace {

using forwarding::AttemptEnd;
using forwarding::AttemptId;
using forwarding::AttemptResult;
using forwarding::RequestHandling;
using forwarding::RequestRun;

// Within which what is known of a request has to be in force everywhere.
constexpr Duration kBound = seconds(5);
// Fingerprints of fatal requests begin here, below those of ordinary ones.
constexpr std::uint64_t kFirstOrdinary = 1000;
constexpr Duration kTick = milliseconds(50);
constexpr MonotonicTime kStart{seconds(100)};
// Within which fatal requests come for the first time. Chosen.
constexpr Duration kFirstFatalWithin = seconds(4);
// Of the route, as on the users' smallest sites.
constexpr Duration kRouteTimeout = seconds(4);
constexpr Duration kRouteTarget = milliseconds(250);

class CrashSim {
 public:
  explicit CrashSim(const CrashSimOptions& options)
      : options_(options), random_(options.seed) {
    MakeRoute();
    for (int shard = 0; shard < options_.shards; ++shard) {
      for (int replica = 0; replica < options_.replicas; ++replica) {
        StartBackend(shard, replica);
      }
    }
    for (int number = 0; number < options_.routers; ++number) {
      routers_.push_back(std::make_unique<Router>(number));
      routers_.back()->pool.Update(view_, routers_.size(), now_);
    }
  }

  CrashSimResult Run() {
    for (int fatal = 0; fatal < options_.fatal_requests; ++fatal) {
      Schedule(Random(Duration(0), kFirstFatalWithin), [this, fatal] {
        SendFatal({static_cast<std::uint64_t>(fatal)});
      });
    }
    ScheduleOrdinary();
    ScheduleTick();
    const MonotonicTime end = kStart + options_.length;
    while (!events_.empty() && events_.top().at <= end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.action();
    }
    return Summarize();
  }

 private:
  struct Event {
    MonotonicTime at;
    std::uint64_t order = 0;
    std::function<void()> action;

    bool operator<(const Event& other) const {
      return std::pair(other.at, other.order) < std::pair(at, order);
    }
  };
  struct Router {
    explicit Router(int number)
        : pool({.zone = "z",
                .regions = {},
                .extra = {.ratio = 1, .slack = 1000, .routers = 1},
                .seed = static_cast<std::uint64_t>(number) + 1}) {}

    forwarding::BackendPool pool;
    forwarding::CrashGuard guard;
    forwarding::RouteLatency latency;
  };
  struct Exchange {
    Router* router = nullptr;
    RequestFingerprint request;
    int tries_left = 0;
    std::unique_ptr<RequestRun> run;
    std::set<AttemptId> under_way;
  };
  using ExchangePointer = std::shared_ptr<Exchange>;
  struct RunningAttempt {
    ExchangePointer exchange;
    AttemptId attempt = 0;
  };
  struct Backend {
    int shard = 0;
    int replica = 0;
    std::vector<RunningAttempt> running;
  };
  struct FatalRequest {
    std::size_t ended = 0;
    std::optional<MonotonicTime> third_ended;
    std::size_t late_arrivals = 0;
  };

  void MakeRoute() {
    auto table = std::make_shared<routes::RouteTable>();
    routes::ScatterTarget scatter;
    for (int shard = 0; shard < options_.shards; ++shard) {
      const std::string service = ServiceOf(shard);
      table->services[service].maximum_connections = 100'000;
      scatter.shards.push_back(service);
    }
    scatter.top_k = 1;
    scatter.minimum_coverage = 0.89;
    view_.route_table = table;
    route_.name = "r";
    route_.repeatable = true;
    route_.timeout = kRouteTimeout;
    route_.target = kRouteTarget;
    route_.maximum_attempts = 2;
    route_.destination = scatter;
  }

  static std::string ServiceOf(int shard) {
    return "s" + std::to_string(shard);
  }

  static bool IsFatal(RequestFingerprint request) {
    return request.value < kFirstOrdinary;
  }

  Duration Random(Duration minimum, Duration maximum) {
    std::uniform_int_distribution<Duration::rep> draw(minimum.count(),
                                                      maximum.count());
    return Duration(draw(random_));
  }

  void Schedule(Duration delay, std::function<void()> action) {
    events_.push({now_ + delay, ++events_made_, std::move(action)});
  }

  Router& AnyRouter() {
    return *routers_[static_cast<std::size_t>(random_()) % routers_.size()];
  }

  // --- Callers ---------------------------------------------------------------

  void SendFatal(RequestFingerprint request) {
    Send(request, /*tries_left=*/1);
    const Duration interval = options_.fatal_interval;
    Schedule(Random(interval / 2, interval * 2),
             [this, request] { SendFatal(request); });
  }

  void ScheduleOrdinary() {
    const Duration mean(
        static_cast<Duration::rep>(1'000'000.0 / options_.ordinary_per_second));
    Schedule(Random(Duration(0), mean * 2), [this] {
      ++result_.ordinary;
      Send({kFirstOrdinary + result_.ordinary}, /*tries_left=*/1);
      ScheduleOrdinary();
    });
  }

  void Send(RequestFingerprint request, int tries_left) {
    Router& router = AnyRouter();
    const RequestHandling caution = router.guard.HandlingOf(request, now_);
    if (caution == RequestHandling::kRefuse) {
      return;
    }
    auto exchange = std::make_shared<Exchange>();
    exchange->router = &router;
    exchange->request = request;
    exchange->tries_left = tries_left;
    exchange->run = std::make_unique<RequestRun>(
        route_, "", now_ + kRouteTimeout, run_options_, router.pool,
        router.latency, caution == RequestHandling::kTrial);
    exchange->run->Start(now_);
    Pump(exchange);
  }

  void Pump(const ExchangePointer& exchange) {
    for (const auto& action : exchange->run->TakeActions()) {
      if (const auto* send = std::get_if<forwarding::SendAction>(&action)) {
        exchange->under_way.insert(send->attempt);
        Schedule(Random(milliseconds(1), milliseconds(12)),
                 [this, exchange, send = *send] { Arrive(exchange, send); });
      } else {
        exchange->under_way.erase(
            std::get<forwarding::CancelAction>(action).attempt);
      }
    }
    if (exchange->run->outcome()) {
      Finish(exchange);
      return;
    }
    const MonotonicTime next = exchange->run->NextDeadline();
    Schedule(std::max(Duration(next - now_), Duration(1)), [this, exchange] {
      if (!exchange->run->outcome() && exchange->run->NextDeadline() <= now_) {
        exchange->run->OnDeadline(now_);
        Pump(exchange);
      }
    });
  }

  void Finish(const ExchangePointer& exchange) {
    const auto& outcome = *exchange->run->outcome();
    const bool served = outcome.result == forwarding::RunResult::kSuccess;
    if (served && !IsFatal(exchange->request)) {
      ++result_.ordinary_served;
    }
    Report(*exchange);
    if (!served && exchange->tries_left > 0) {
      const Duration wait =
          std::max(Duration(outcome.retry_after), Duration(milliseconds(100)));
      Schedule(wait,
               [this, request = exchange->request,
                left = exchange->tries_left - 1] { Send(request, left); });
    }
  }

  // --- Back ends -------------------------------------------------------------

  void StartBackend(int shard, int replica) {
    const std::string id = "b" + std::to_string(++backends_made_);
    backends_[id] = {.shard = shard, .replica = replica, .running = {}};
    view_.discovered[id] = {.id = id,
                            .service = ServiceOf(shard),
                            .address = id,
                            .zone = "z",
                            .slots = 5};
  }

  void Arrive(const ExchangePointer& exchange,
              const forwarding::SendAction& send) {
    const auto backend = backends_.find(send.backend);
    if (backend == backends_.end()) {
      End(exchange, send.attempt, AttemptResult::kRefused);
      return;
    }
    backend->second.running.push_back({exchange, send.attempt});
    if (IsFatal(exchange->request)) {
      NoteFatalArrival(exchange->request);
      Schedule(Random(milliseconds(5), milliseconds(60)),
               [this, id = send.backend, request = exchange->request] {
                 EndBackend(id, request);
               });
    } else {
      Schedule(Random(milliseconds(5), milliseconds(60)),
               [this, exchange, send] {
                 if (backends_.contains(send.backend)) {
                   End(exchange, send.attempt, AttemptResult::kAnswered);
                 }
               });
    }
  }

  void NoteFatalArrival(RequestFingerprint request) {
    FatalRequest& fatal = fatal_[request];
    if (fatal.third_ended && now_ > *fatal.third_ended + kBound) {
      ++fatal.late_arrivals;
    }
  }

  void EndBackend(const std::string& id, RequestFingerprint request) {
    const auto found = backends_.find(id);
    if (found == backends_.end()) {
      return;
    }
    ++result_.ended_backends;
    FatalRequest& fatal = fatal_[request];
    if (++fatal.ended == 3) {
      fatal.third_ended = now_;
    }
    const Backend backend = std::move(found->second);
    backends_.erase(found);
    for (const RunningAttempt& attempt : backend.running) {
      Schedule(Random(milliseconds(1), milliseconds(12)), [this, attempt] {
        End(attempt.exchange, attempt.attempt,
            AttemptResult::kIncompleteAnswer);
      });
    }
    Schedule(options_.restart_time, [this, backend, id] {
      view_.discovered.erase(id);
      StartBackend(backend.shard, backend.replica);
      PublishSoon();
    });
  }

  void End(const ExchangePointer& exchange, AttemptId attempt,
           AttemptResult result) {
    if (exchange->under_way.erase(attempt) == 0) {
      return;
    }
    AttemptEnd end;
    end.result = result;
    end.connection_lost = result == AttemptResult::kIncompleteAnswer;
    end.answer.body = std::string(16, 'r');
    exchange->run->OnEnded(attempt, std::move(end), now_);
    Pump(exchange);
  }

  // --- Control ---------------------------------------------------------------

  void Report(const Exchange& exchange) {
    const auto& evidence = exchange.run->crash_evidence();
    protocol::ReportCrashT report;
    report.fingerprint = exchange.request.value;
    report.survived = evidence.survived;
    if (evidence.survived) {
      if (!exchange.router->guard.OnSurvived(exchange.request)) {
        return;
      }
    } else {
      for (const auto& lost : evidence.lost) {
        if (!backends_.contains(lost.incarnation)) {
          report.ended_backends.push_back(lost.incarnation);
        }
      }
      if (report.ended_backends.empty()) {
        return;
      }
      exchange.router->guard.OnBackendsCrashed(exchange.request,
                                               report.ended_backends, now_);
    }
    if (!options_.reports_lost) {
      Schedule(Random(milliseconds(5), options_.control_delay),
               [this, report] { Commit(report); });
    }
  }

  template <typename Operation>
  void Commit(Operation operation) {
    protocol::CommandT command;
    command.wall_time_us = now_.time_since_epoch().count();
    command.operations.push_back(std::make_unique<protocol::OperationItemT>(
        session::MakeOperation(std::move(operation))));
    state_.Apply(command);
    PublishSoon();
  }

  void ScheduleTick() {
    Schedule(kTick, [this] {
      Judge();
      ScheduleTick();
    });
  }

  void Judge() {
    const auto& crashes = state_.fleet().crashes;
    const control::CrashJudge::Judgement judgement = judge_.Judge(
        crashes,
        [this](const std::string& id) {
          return view_.discovered.find(id) != view_.discovered.end();
        },
        now_);
    if (judgement.empty()) {
      return;
    }
    protocol::JudgeCrashesT operation;
    for (const RequestFingerprint request : judgement.quarantine) {
      operation.quarantine.push_back(request.value);
      quarantined_.insert(request);
    }
    for (const RequestFingerprint request : judgement.release) {
      operation.release.push_back(request.value);
    }
    Commit(std::move(operation));
  }

  // Each router gets the state as it is now, after a delay of its own.
  void PublishSoon() {
    if (std::exchange(publish_due_, true)) {
      return;
    }
    Schedule(milliseconds(20), [this] {
      publish_due_ = false;
      auto view = std::make_shared<session::FleetView>(view_);
      const auto update = session::ApplyUpdate({}, state_.UpdateSince(0));
      if (update) {
        view->crashing_requests = (*update)->crashing_requests;
      }
      for (const auto& router : routers_) {
        Schedule(Random(milliseconds(5), options_.control_delay),
                 [this, view, target = router.get()] {
                   target->pool.Update(*view, routers_.size(), now_);
                   target->guard.OnView(*view);
                 });
      }
    });
  }

  CrashSimResult Summarize() {
    for (const auto& [request, fatal] : fatal_) {
      result_.late_arrivals =
          std::max(result_.late_arrivals, fatal.late_arrivals);
    }
    result_.ordinary_quarantined = static_cast<std::size_t>(
        std::ranges::count_if(quarantined_, [](RequestFingerprint request) {
          return !IsFatal(request);
        }));
    return result_;
  }

  CrashSimOptions options_;
  std::mt19937_64 random_;
  MonotonicTime now_ = kStart;
  std::priority_queue<Event> events_;
  std::uint64_t events_made_ = 0;
  routes::Route route_;
  forwarding::RunOptions run_options_;
  // Without what the control group holds.
  session::FleetView view_;
  std::vector<std::unique_ptr<Router>> routers_;
  // Those that run, by id.
  std::map<std::string, Backend> backends_;
  int backends_made_ = 0;
  control::ControlState state_;
  control::CrashJudge judge_;
  bool publish_due_ = false;
  std::map<RequestFingerprint, FatalRequest> fatal_;
  std::set<RequestFingerprint> quarantined_;
  CrashSimResult result_;
};

}  // namespace

CrashSimResult RunCrashSim(const CrashSimOptions& options) {
  return CrashSim(options).Run();
}

}  // namespace juniperway::sim
