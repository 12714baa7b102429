// Helper functions for tests of BackendGate.
#pragma once

#include <algorithm>
#include <optional>
#include <vector>

#include "common/owner/backend_gate.h"

namespace juniperway::owner::testing {

inline MonotonicTime At(std::int64_t ms) {
  return MonotonicTime(milliseconds(ms));
}

// Probe interval for tests without probes.
inline constexpr Duration kNoProbes = seconds(100000);

inline std::vector<SubqueryId> IdsOf(const GateActions& actions,
                                     GateActionKind kind) {
  std::vector<SubqueryId> ids;
  for (const GateAction& action : actions) {
    if (action.kind == kind) {
      ids.push_back(action.id);
    }
  }
  return ids;
}

inline std::vector<SubqueryId> Started(const GateActions& actions) {
  return IdsOf(actions, GateActionKind::kStart);
}

inline std::optional<GateAction> FinishOf(const GateActions& actions,
                                          SubqueryId id) {
  const auto found = std::ranges::find_if(actions, [id](const auto& action) {
    return action.kind == GateActionKind::kFinish && action.id == id;
  });
  return found == actions.end() ? std::nullopt : std::optional(*found);
}

// Returns the outcome of `id`, or kRows if `actions` has no kFinish for `id`.
inline protocol::SubqueryOutcome OutcomeOf(const GateActions& actions,
                                           SubqueryId id) {
  const auto finish = FinishOf(actions, id);
  return finish ? finish->outcome : protocol::SubqueryOutcome::kRows;
}

inline BackendReply Served() {
  BackendReply reply;
  reply.kind = ReplyKind::kServed;
  reply.outcome = protocol::SubqueryOutcome::kRows;
  reply.answered = true;
  return reply;
}

inline BackendReply Shed(Duration retry_after = Duration::zero()) {
  BackendReply reply;
  reply.kind = ReplyKind::kShed;
  reply.outcome = protocol::SubqueryOutcome::kShed;
  reply.answered = true;
  reply.retry_after = retry_after;
  return reply;
}

inline BackendReply Draining(BackendReply reply) {
  reply.draining = true;
  return reply;
}

inline BackendReply Broken() { return BackendReply(); }

// Returns an open gate whose first probe has been answered.
inline BackendGate OpenGate(const GateSettings& settings, MonotonicTime now,
                            Duration probe_interval = kNoProbes) {
  BackendGate gate(settings, probe_interval, /*seed=*/7);
  gate.SetAccess(GateAccess::kOpen, now);
  gate.OnProbeDone(BackendGate::ProbeResult{}, now);
  return gate;
}

}  // namespace juniperway::owner::testing
