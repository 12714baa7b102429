// Whether a request was executed: the statement every refusal must carry.
#pragma once

#include <string_view>

namespace juniperway {

enum class ExecutionState {
  kNotRun,      // Nothing of it was executed by any back end.
  kMayHaveRun,  // Some part left the system and its fate is not known.
  kRan,         // Every part was executed.
};

// "not-run", "may-have-run" or "ran": the words of the HTTP API.
constexpr std::string_view ExecutionStateName(ExecutionState state) {
  switch (state) {
    case ExecutionState::kNotRun:
      return "not-run";
    case ExecutionState::kMayHaveRun:
      return "may-have-run";
    case ExecutionState::kRan:
      return "ran";
  }
  return "may-have-run";
}

}  // namespace juniperway
