#include "common/control/crash_attribution.h"

#include <algorithm>
#include <set>
#include <utility>

namespace juniperway::control {
namespace {

// Backends that crashed under each request and whose crash no other request
// explains yet.
using Unexplained = std::map<RequestFingerprint, std::set<std::string>>;

void EraseExplained(const std::set<std::string>& backends,
                    Unexplained& unexplained) {
  for (auto& [request, remaining] : unexplained) {
    for (const std::string& backend : backends) {
      remaining.erase(backend);
    }
  }
}

}  // namespace

bool IsListed(
    const std::map<std::string, session::DiscoveredBackend>& discovered,
    const std::string& incarnation) {
  // The id ends at the last "@" if there is one; the id itself may also contain
  // an "@".
  const std::string id = incarnation.substr(0, incarnation.rfind('@'));
  const auto is_same_incarnation = [&](const std::string& name) {
    const auto entry = discovered.find(name);
    return entry != discovered.end() &&
           session::IncarnationName(entry->second) == incarnation;
  };
  return is_same_incarnation(incarnation) || is_same_incarnation(id);
}

std::vector<RequestFingerprint> AttributeCrashes(const CrashRecords& records) {
  Unexplained unexplained;
  for (const auto& [request, record] : records) {
    if (!record.quarantined) {
      unexplained[request] = record.ended_backends;
    }
  }
  for (const auto& [request, record] : records) {
    if (record.quarantined) {
      EraseExplained(record.ended_backends, unexplained);
    }
  }
  std::vector<RequestFingerprint> attributed;
  while (!unexplained.empty()) {
    const auto candidate = std::ranges::max_element(
        unexplained, {}, [](const auto& entry) { return entry.second.size(); });
    if (candidate->second.size() < kMinimumUnexplainedBackends) {
      break;
    }
    const RequestFingerprint request = candidate->first;
    const std::set<std::string> backends = candidate->second;
    // Requests with exactly the same crashed backends cannot be distinguished.
    // Each stays suspected until the result of its next, single attempt.
    const auto indistinguishable = std::erase_if(
        unexplained,
        [&](const auto& entry) { return entry.second == backends; });
    if (indistinguishable == 1) {
      attributed.push_back(request);
    }
    EraseExplained(backends, unexplained);
  }
  return attributed;
}

CrashJudge::Judgement CrashJudge::Judge(
    const CrashRecords& records,
    const std::function<bool(const std::string&)>& is_listed,
    MonotonicTime now) {
  if (UpdateEvidence(records, now)) {
    attributed_ = AttributeCrashes(records);
  }
  Judgement judgement;
  for (const RequestFingerprint request : attributed_) {
    if (IsUnchangedFor(request, kEvidenceDelay, now)) {
      judgement.quarantine.push_back(request);
    }
  }
  for (const auto& [request, record] : records) {
    if (!IsUnchangedFor(request, kDiscoveryRemovalDelay, now)) {
      continue;
    }
    const auto still_listed = static_cast<std::size_t>(
        std::ranges::count_if(record.ended_backends, is_listed));
    if (still_listed > 0 && record.ended_backends.size() - still_listed <
                                kMinimumUnexplainedBackends) {
      judgement.release.push_back(request);
    }
  }
  return judgement;
}

bool CrashJudge::UpdateEvidence(const CrashRecords& records,
                                MonotonicTime now) {
  bool changed = std::erase_if(evidence_, [&records](const auto& entry) {
                   return !records.contains(entry.first);
                 }) > 0;
  for (const auto& [request, record] : records) {
    Evidence& evidence = evidence_[request];
    if (evidence.ended_backends != record.ended_backends.size()) {
      evidence.ended_backends = record.ended_backends.size();
      evidence.since = now;
      changed = true;
    }
    changed |= evidence.quarantined != record.quarantined;
    evidence.quarantined = record.quarantined;
  }
  return changed;
}

bool CrashJudge::IsUnchangedFor(RequestFingerprint request, Duration time,
                                MonotonicTime now) const {
  const auto evidence = evidence_.find(request);
  return evidence != evidence_.end() && now - evidence->second.since >= time;
}

}  // namespace juniperway::control
