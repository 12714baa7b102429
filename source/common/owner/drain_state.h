// Decides whether a backend drains. The sources are the operator, the platform,
// the answers to searches and the health endpoint; they lag and may be wrong.
// The code does no I/O.
#pragma once

#include <optional>
#include <string_view>

#include "common/base/time.h"

namespace juniperway::owner {

// Source that reports that the backend drains. After kNone, the sources are
// ordered from the most to the least reliable.
enum class DrainSource { kNone, kOperator, kPlatform, kAnswer, kHealth };

std::string_view DrainSourceName(DrainSource source);

// Drain state of one backend, owned by its BackendGate. The backend drains as
// soon as any source reports a drain. Each source withdraws its report in its
// own manner:
//  - operator and platform: when they report the end of the drain;
//  - the X-Draining header of an answer, which is the backend's state at that
//    moment, while health lags: the header holds for kHeaderPrecedenceWindow
//    after the last answer that had it, and then until health reports no drain;
//  - health: when health reports no drain, or when an answer without X-Draining
//    comes at least kContradictionDelay after health's report. DrainState then
//    ignores drains reported by health for kHealthIgnoredWindow.
class DrainState {
 public:
  static constexpr Duration kHeaderPrecedenceWindow = seconds(10);
  static constexpr Duration kContradictionDelay = milliseconds(100);
  static constexpr Duration kHealthIgnoredWindow = seconds(10);

  void SetOperator(bool draining) { operator_ = draining; }
  void SetPlatform(bool draining) { platform_ = draining; }

  // Sets the state that the previous owner reported; it counts as a report by
  // health.
  void SetReported(bool draining, MonotonicTime now);

  // Processes an answer of the backend to a search.
  // @param draining whether the answer has X-Draining.
  void OnAnswer(bool draining, MonotonicTime now);

  // Processes the health endpoint's answer to a probe sent at `sent`.
  void OnHealth(bool draining, MonotonicTime sent, MonotonicTime now);

  DrainSource source() const;
  bool draining() const { return source() != DrainSource::kNone; }

 private:
  bool operator_ = false;
  bool platform_ = false;
  // Time of the last answer with X-Draining.
  std::optional<MonotonicTime> header_seen_;
  // Time of health's first report of the present drain.
  std::optional<MonotonicTime> health_draining_since_;
  std::optional<MonotonicTime> health_ignored_until_;
};

}  // namespace juniperway::owner
