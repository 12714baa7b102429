#include "daemon/session_metrics.h"

#include <string>

namespace juniperway::daemon {
namespace {

prometheus::Gauge& MakeGauge(prometheus::Registry& registry,
                             const std::string& name, const std::string& help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add(
      {});
}

prometheus::Counter& MakeCounter(prometheus::Registry& registry,
                                 const std::string& name,
                                 const std::string& help) {
  return prometheus::BuildCounter()
      .Name(name)
      .Help(help)
      .Register(registry)
      .Add({});
}

// The session keeps the totals; the counter follows.
void Follow(prometheus::Counter& counter, std::uint64_t total) {
  counter.Increment(static_cast<double>(total) - counter.Value());
}

}  // namespace

SessionMetrics::SessionMetrics(prometheus::Registry& registry)
    : lease_(MakeGauge(registry, "juniperway_session_lease",
                       "1 while the lease is valid")),
      view_revision_(MakeGauge(registry, "juniperway_session_view_revision",
                               "Revision in use here")),
      in_force_revision_(MakeGauge(registry,
                                   "juniperway_session_in_force_revision",
                                   "Revision confirmed by every daemon with a "
                                   "lease")),
      zone_released_revision_(
          MakeGauge(registry, "juniperway_session_zone_released_revision",
                    "Revision up to which the zone's gateways have let go of "
                    "back ends")),
      connects_(MakeCounter(registry, "juniperway_session_connects_total",
                            "Attempts to connect to a control machine")),
      updates_(MakeCounter(registry, "juniperway_session_updates_total",
                           "Updates taken")),
      full_updates_(MakeCounter(registry,
                                "juniperway_session_full_updates_total",
                                "Updates taken that held the whole state")),
      sent_bytes_(MakeCounter(registry, "juniperway_session_sent_bytes_total",
                              "Bytes sent")),
      received_bytes_(MakeCounter(registry,
                                  "juniperway_session_received_bytes_total",
                                  "Bytes received")) {}

void SessionMetrics::Update(const session::ControlSessionClient& session) {
  lease_.Set(session.HasLease(ReadMonotonicClock()) ? 1 : 0);
  view_revision_.Set(static_cast<double>(session.View()->revision));
  in_force_revision_.Set(static_cast<double>(session.InForceRevision()));
  zone_released_revision_.Set(
      static_cast<double>(session.ZoneReleasedRevision()));
  const auto counters = session.GetCounters();
  Follow(connects_, counters.connects);
  Follow(updates_, counters.updates);
  Follow(full_updates_, counters.full_updates);
  Follow(sent_bytes_, counters.sent_bytes);
  Follow(received_bytes_, counters.received_bytes);
}

}  // namespace juniperway::daemon
