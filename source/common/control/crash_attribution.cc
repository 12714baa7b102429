#include "common/control/crash_attribution.h"

#include <algorithm>
#include <set>
#include <utility>

namespace juniperway::control {
namespace {

// Back ends that ended under each request and that no other one explains yet.
using Unexplained = std::map<RequestFingerprint, std::set<std::string>>;

void Explain(const std::set<std::string>& backends, Unexplained& unexplained) {
  for (auto& [request, left] : unexplained) {
    for (const std::string& backend : backends) {
      left.erase(backend);
    }
  }
}

}  // namespace

bool IsListed(
    const std::map<std::string, session::DiscoveredBackend>& discovered,
    const std::string& incarnation) {
  // The id ends at the last "@", if any: it may hold one itself.
  const std::string id = incarnation.substr(0, incarnation.rfind('@'));
  const auto is_it = [&](const std::string& name) {
    const auto entry = discovered.find(name);
    return entry != discovered.end() &&
           session::IncarnationName(entry->second) == incarnation;
  };
  return is_it(incarnation) || is_it(id);
}

std::vector<RequestFingerprint> FindBlamed(const CrashRecords& records) {
  Unexplained unexplained;
  for (const auto& [request, record] : records) {
    if (!record.quarantined) {
      unexplained[request] = record.ended_backends;
    }
  }
  for (const auto& [request, record] : records) {
    if (record.quarantined) {
      Explain(record.ended_backends, unexplained);
    }
  }
  std::vector<RequestFingerprint> blamed;
  while (!unexplained.empty()) {
    const auto most = std::ranges::max_element(
        unexplained, {}, [](const auto& entry) { return entry.second.size(); });
    if (most->second.size() < kBlamedAfter) {
      break;
    }
    const RequestFingerprint request = most->first;
    const std::set<std::string> backends = most->second;
    // Requests that lost the very same back ends cannot be told apart: each
    // stays suspected, and the one attempt that its next try may make tells.
    const auto alike = std::erase_if(unexplained, [&](const auto& entry) {
      return entry.second == backends;
    });
    if (alike == 1) {
      blamed.push_back(request);
    }
    Explain(backends, unexplained);
  }
  return blamed;
}

CrashJudge::Judgement CrashJudge::Judge(
    const CrashRecords& records,
    const std::function<bool(const std::string&)>& is_listed,
    MonotonicTime now) {
  if (Watch(records, now)) {
    blamed_ = FindBlamed(records);
  }
  Judgement judgement;
  for (const RequestFingerprint request : blamed_) {
    if (IsUnchangedFor(request, kSettleTime, now)) {
      judgement.quarantine.push_back(request);
    }
  }
  for (const auto& [request, record] : records) {
    if (!IsUnchangedFor(request, kListedTime, now)) {
      continue;
    }
    const auto alive = static_cast<std::size_t>(
        std::ranges::count_if(record.ended_backends, is_listed));
    if (alive > 0 && record.ended_backends.size() - alive < kBlamedAfter) {
      judgement.release.push_back(request);
    }
  }
  return judgement;
}

bool CrashJudge::Watch(const CrashRecords& records, MonotonicTime now) {
  bool changed = std::erase_if(watched_, [&records](const auto& entry) {
                   return !records.contains(entry.first);
                 }) > 0;
  for (const auto& [request, record] : records) {
    Watched& watched = watched_[request];
    if (watched.ended_backends != record.ended_backends.size()) {
      watched.ended_backends = record.ended_backends.size();
      watched.since = now;
      changed = true;
    }
    changed |= watched.quarantined != record.quarantined;
    watched.quarantined = record.quarantined;
  }
  return changed;
}

bool CrashJudge::IsUnchangedFor(RequestFingerprint request, Duration time,
                                MonotonicTime now) const {
  const auto watched = watched_.find(request);
  return watched != watched_.end() && now - watched->second.since >= time;
}

}  // namespace juniperway::control
