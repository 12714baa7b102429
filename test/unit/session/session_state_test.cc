// The daemon's side of a session through the loss of a leader: whichever
// machine it was connected to and whenever its heartbeats fell, its lease must
// outlast the longest ordinary election.
#include "common/session/session_state.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <deque>
#include <utility>
#include <variant>

namespace juniperway::session {
namespace {

constexpr Duration kStep = milliseconds(10);
constexpr Duration kRoundTrip = milliseconds(20);
constexpr Duration kLease = seconds(4);
constexpr std::size_t kMachines = 3;
// Election timeout, its jitter, and the votes.
constexpr Duration kElection = milliseconds(2100);
// A machine answers "no leader" for a leader that is silent for this long.
constexpr Duration kNoLeaderDelay = milliseconds(600);

// By then a machine that is lost has been left.
constexpr Duration kLeftAfter = seconds(4);

enum class Fate {
  kFrozen,
  // Alive, but without the quorum for good.
  kCutOff,
};

// Three control machines, one of them lost at a time; the leader is lost with
// it and the next one is there after kElection.
class LeaderLoss {
 public:
  // @param near the machine in the daemon's zone; kMachines: none is known.
  LeaderLoss(std::uint64_t seed, MonotonicTime lost_at, std::size_t lost,
             Fate fate, std::size_t near)
      : state_(SessionTiming{}, kMachines, 0, seed),
        lost_at_(lost_at),
        lost_(lost),
        fate_(fate) {
    if (near < kMachines) {
      state_.SetLocality(near, Locality::kSameZone, now_);
    }
  }

  // @return when the daemon was first without a lease after it had one; max()
  // when it never was.
  MonotonicTime Run() {
    state_.Start(now_);
    bool had_lease = false;
    while (now_ < lost_at_ + seconds(12)) {
      now_ += kStep;
      Deliver();
      state_.Tick(now_);
      for (const SessionAction& action : state_.TakeActions()) {
        CarryOut(action);
      }
      if (had_lease && !state_.HasLease(now_)) {
        return now_;
      }
      had_lease = had_lease || state_.HasLease(now_);
      if (now_ > lost_at_ + kLeftAfter && machine_ == lost_) {
        at_lost_ += kStep;
      }
    }
    CHECK(had_lease);
    return MonotonicTime::max();
  }

  // Machine of the last connection.
  std::size_t machine() const { return machine_; }
  // Time spent with the lost machine after it must have been left.
  Duration at_lost() const { return at_lost_; }

 private:
  struct Answer {
    MonotonicTime due;
    std::uint64_t connection = 0;
    HeartbeatAnswer content;
  };

  void CarryOut(const SessionAction& action) {
    if (const auto* connect = std::get_if<ConnectAction>(&action)) {
      ++connection_;
      machine_ = connect->endpoint;
      // A frozen machine's kernel still takes connections.
      state_.OnConnected(now_);
      for (const SessionAction& first : state_.TakeActions()) {
        CarryOut(first);
      }
    } else if (const auto* beat = std::get_if<HeartbeatAction>(&action)) {
      AnswerTo(beat->heartbeat);
    } else {
      ++connection_;
    }
  }

  void AnswerTo(const HeartbeatContent& heartbeat) {
    Answer answer{now_ + kRoundTrip, connection_, {}};
    answer.content.sequence = heartbeat.sequence;
    if (now_ < lost_at_) {
      answer.content.granted = true;
      answer.content.lease = kLease;
      answer.content.term = 1;
    } else if (machine_ == lost_ && fate_ == Fate::kFrozen) {
      return;
    } else if (machine_ == lost_ || now_ < lost_at_ + kElection) {
      answer.due = now_ + kNoLeaderDelay;
    } else {
      const bool known = heartbeat.term == 2;
      answer.content.granted = known;
      answer.content.new_term = !known;
      answer.content.lease = known ? kLease : Duration(0);
      answer.content.term = 2;
    }
    answers_.push_back(answer);
  }

  void Deliver() {
    std::deque<Answer> later;
    for (const Answer& answer : std::exchange(answers_, {})) {
      if (answer.due > now_) {
        later.push_back(answer);
      } else if (answer.connection == connection_) {
        state_.OnHeartbeatReply(answer.content, now_);
      }
    }
    answers_.insert(answers_.end(), later.begin(), later.end());
  }

  SessionState state_;
  MonotonicTime lost_at_;
  std::size_t lost_;
  Fate fate_;
  MonotonicTime now_{seconds(1)};
  std::uint64_t connection_ = 0;
  std::size_t machine_ = 0;
  Duration at_lost_{};
  std::deque<Answer> answers_;
};

TEST_CASE("A lease outlasts the loss of the leader") {
  int lost_leases = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    // Where in a heartbeat interval the loss falls.
    for (Duration phase{}; phase < seconds(1); phase += milliseconds(50)) {
      for (std::size_t lost = 0; lost < kMachines; ++lost) {
        for (const Fate fate : {Fate::kFrozen, Fate::kCutOff}) {
          // The machine of the zone is lost, or another one, or none is known.
          for (const std::size_t near : {std::size_t{0}, kMachines}) {
            LeaderLoss loss(seed, MonotonicTime(seconds(10) + phase), lost,
                            fate, near);
            lost_leases += loss.Run() != MonotonicTime::max() ? 1 : 0;
          }
        }
      }
    }
  }
  CHECK(lost_leases == 0);
}

TEST_CASE(
    "A session goes to the machine of its zone, and leaves it when lost") {
  constexpr std::size_t kNear = 1;
  constexpr std::size_t kOther = 2;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const MonotonicTime lost_at(seconds(10));
    LeaderLoss elsewhere(seed, lost_at, kOther, Fate::kFrozen, kNear);
    elsewhere.Run();
    CHECK(elsewhere.machine() == kNear);
    LeaderLoss near(seed, lost_at, kNear, Fate::kFrozen, kNear);
    near.Run();
    // Tried again once in the eight seconds that are left, or twice, each time
    // until the connection to another machine is open.
    const SessionTiming timing;
    const Duration trial =
        timing.trial_timeout + timing.reconnect_minimum + 2 * kStep;
    CHECK(near.at_lost() <= 2 * trial);
  }
}

TEST_CASE("A daemon without a view goes to a machine of its zone at once") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SessionState state(SessionTiming{}, 3, 0, seed);
    MonotonicTime now(seconds(1));
    state.Start(now);
    now += seconds(1);
    state.Tick(now);
    auto actions = state.TakeActions();
    REQUIRE(actions.size() == 1);
    const std::size_t first = std::get<ConnectAction>(actions[0]).endpoint;
    state.OnConnected(now);
    static_cast<void>(state.TakeActions());
    const std::size_t near = (first + 1) % 3;
    state.SetLocality(near, Locality::kSameZone, now);
    state.MoveBeforeFirstView(now);
    actions = state.TakeActions();
    REQUIRE(actions.size() == 1);
    CHECK(std::get<ConnectAction>(actions[0]).endpoint == near);
    CHECK_FALSE(std::get<ConnectAction>(actions[0]).trial);
    // With a view it goes by trials only.
    state.OnConnected(now);
    state.OnTaken(7);
    static_cast<void>(state.TakeActions());
    state.SetLocality(near, Locality::kOtherRegion, now);
    state.SetLocality(first, Locality::kSameZone, now);
    state.MoveBeforeFirstView(now);
    CHECK(state.TakeActions().empty());
  }
}

TEST_CASE("A machine of the zone without a quorum is tried for a moment only") {
  const SessionTiming timing;
  SessionState state(timing, 2, 0, /*seed=*/1);
  state.SetLocality(1, Locality::kSameZone, MonotonicTime(seconds(1)));
  MonotonicTime now(seconds(1));
  std::size_t machine = 0;
  Duration without_answer{};
  bool connected = false;
  state.Start(now);
  for (int step = 0; step < 12000; ++step) {
    now += kStep;
    state.Tick(now);
    for (const SessionAction& action : state.TakeActions()) {
      if (const auto* connect = std::get_if<ConnectAction>(&action)) {
        machine = connect->endpoint;
        connected = true;
        state.OnConnected(now);
      } else if (const auto* beat = std::get_if<HeartbeatAction>(&action)) {
        if (machine == 0) {
          state.OnHeartbeatReply({.sequence = beat->heartbeat.sequence,
                                  .granted = true,
                                  .lease = kLease,
                                  .term = 1},
                                 now);
        }
      } else {
        connected = false;
      }
    }
    // What OnConnected asks for is carried out in the next step.
    without_answer += connected && machine == 0 ? Duration(0) : kStep;
  }
  // Two minutes: at most a trial every 30 s in the end, some more before.
  CHECK(without_answer > Duration(0));
  CHECK(without_answer < 8 * (timing.trial_timeout + timing.reconnect_minimum));
}

}  // namespace
}  // namespace juniperway::session
