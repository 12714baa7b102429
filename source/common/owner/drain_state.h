// Whether a back end is leaving, from sources that lag and may mislead.
#pragma once

#include <optional>
#include <string_view>

#include "common/base/time.h"

namespace juniperway::owner {

// Who said that the back end drains, the most reliable first.
enum class DrainSource { kNone, kOperator, kPlatform, kAnswer, kHealth };

std::string_view DrainSourceName(DrainSource source);

// Whichever source speaks first counts. How each is withdrawn:
//  - operator and platform: when their own word changes;
//  - an answer's X-Draining header: the header is the back end's own state at
//    that moment, while health lags; so it holds for kHeaderHold after it was
//    last seen, and then until health says otherwise;
//  - health: when health says otherwise, or when a real answer that came at
//    least kContradictionDelay later bears no X-Draining; health is then not
//    believed for kDistrust.
class DrainState {
 public:
  static constexpr Duration kHeaderHold = seconds(10);
  static constexpr Duration kContradictionDelay = milliseconds(100);
  static constexpr Duration kDistrust = seconds(10);

  void SetOperator(bool draining) { operator_ = draining; }
  void SetPlatform(bool draining) { platform_ = draining; }

  // What the previous owner had reported; counts as health's word.
  void SetReported(bool draining, MonotonicTime now);

  // A real answer came.
  void OnAnswer(bool draining, MonotonicTime now);

  // The health endpoint answered a probe sent at `sent`.
  void OnHealth(bool draining, MonotonicTime sent, MonotonicTime now);

  DrainSource source() const;
  bool draining() const { return source() != DrainSource::kNone; }

 private:
  bool operator_ = false;
  bool platform_ = false;
  // When an answer last said so.
  std::optional<MonotonicTime> header_seen_;
  // When health first said so.
  std::optional<MonotonicTime> health_since_;
  std::optional<MonotonicTime> distrust_until_;
};

}  // namespace juniperway::owner
