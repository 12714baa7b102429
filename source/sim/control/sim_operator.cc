#include "sim/control/sim_operator.h"

#include <utility>

#include "common/session/control_frames.h"
#include "common/session/fleet_codec.h"

namespace juniperway::sim {
namespace {

constexpr Duration kShortestPause = milliseconds(20);
constexpr Duration kLongestPause = milliseconds(400);
constexpr Duration kAnswerTimeout = milliseconds(400);
constexpr int kMaximumSends = 12;

}  // namespace

SimOperator::SimOperator(Surroundings& surroundings,
                         const ControlSimOptions& options, Network& network,
                         ControlChecker& checker, ProcessNumber number,
                         std::vector<ControlMachine*> machines)
    : Process(surroundings, number, options.clock_drift),
      options_(options),
      network_(network),
      checker_(checker),
      machines_(std::move(machines)) {}

void SimOperator::Start() {
  BeginRunning();
  ChangeLater();
}

void SimOperator::ChangeLater() {
  under_way_ = false;
  if (!stopped_) {
    After(surroundings_.Between(kShortestPause, kLongestPause),
          [this] { ReadAndChange(); });
  }
}

ControlMachine& SimOperator::AnyMachine() {
  return *machines_.at(surroundings_.Pick(machines_.size()));
}

void SimOperator::ReadAndChange() {
  const ControlMachine& machine = AnyMachine();
  const std::string name =
      "backend-" + std::to_string(surroundings_.Pick(
                       static_cast<std::uint64_t>(options_.backends)));
  const resources::Resource* current =
      machine.running()
          ? machine.state().fleet().Find({resources::Kind::kBackend, name})
          : nullptr;
  if (stopped_ || current == nullptr) {
    ChangeLater();
    return;
  }
  change_ = *current;
  auto& backend = std::get<resources::Backend>(change_.specification);
  if (options_.change_slots) {
    backend.slots = 1 + static_cast<std::uint32_t>(surroundings_.Pick(50));
  }
  backend.drain = surroundings_.Chance(0.2);
  change_id_ =
      "change-" + std::to_string(number()) + "-" + std::to_string(++changes_);
  under_way_ = true;
  sends_ = 0;
  Send();
}

void SimOperator::Send() {
  if (++sends_ > kMaximumSends) {
    ChangeLater();  // Whether it was accepted stays unknown.
    return;
  }
  protocol::ApplyResourcesT apply;
  apply.change_id = change_id_;
  apply.digest = std::hash<std::string>()(change_id_);
  apply.resources.push_back(std::make_unique<protocol::ResourceRecordT>(
      session::EncodeResource(change_)));
  const auto operations = std::make_shared<control::Operations>();
  operations->push_back(std::make_unique<protocol::OperationItemT>(
      session::MakeOperation(std::move(apply))));
  ControlMachine& machine = AnyMachine();
  network_.Send(
      number(), machine, [this, &machine, operations, id = change_id_] {
        machine.Submit(
            *operations,
            [this, &machine, id](Result<control::OperationResults> result) {
              const auto shared =
                  std::make_shared<Result<control::OperationResults>>(
                      std::move(result));
              network_.Send(machine.number(), *this,
                            [this, id, shared] { OnResult(id, *shared); });
            });
      });
  After(kAnswerTimeout, [this, wait = ++wait_number_] {
    if (under_way_ && wait == wait_number_) {
      Send();
    }
  });
}

void SimOperator::OnResult(const std::string& change_id,
                           const Result<control::OperationResults>& result) {
  if (!result) {
    return;  // Sent again after the time limit.
  }
  const protocol::OperationResultT& outcome = *result->front();
  const bool current = under_way_ && change_id == change_id_;
  // A late answer to an earlier change is looked at too, as far as it is known.
  if (current && !outcome.error) {
    checker_.ObserveAccepted(
        {change_id, change_.id, change_.version, outcome.revision});
  }
  if (current) {
    // Sometimes a lost answer is only feigned: the resend must change nothing.
    if (!outcome.error && surroundings_.Chance(0.2)) {
      ++wait_number_;
      Send();
      return;
    }
    ChangeLater();
  }
}

}  // namespace juniperway::sim
