#include "common/owner/fair_queue.h"

#include <algorithm>
#include <utility>

namespace juniperway::owner {

FairQueue::FairQueue(const std::vector<std::uint32_t>& weights) {
  SetWeights(weights);
}

void FairQueue::SetWeights(const std::vector<std::uint32_t>& weights) {
  const std::vector<Class> before =
      std::exchange(classes_, std::vector<Class>(weights.size()));
  total_weight_ = 0;
  for (std::size_t index = 0; index < weights.size(); ++index) {
    classes_[index].weight = weights[index];
    total_weight_ += weights[index];
    if (index < before.size()) {
      classes_[index].clock = before[index].clock;
    }
  }
  for (auto& [id, queued] : queued_) {
    queued.class_index = ResolveClass(queued.class_index);
    classes_[queued.class_index].entries.insert({queued.deadline, id});
  }
}

void FairQueue::Insert(SubqueryId id, MonotonicTime deadline,
                       ClassIndex class_index) {
  const ClassIndex resolved = ResolveClass(class_index);
  classes_[resolved].entries.insert({deadline, id});
  queued_[id] = {resolved, deadline};
}

bool FairQueue::Remove(SubqueryId id) {
  const auto found = queued_.find(id);
  if (found == queued_.end()) {
    return false;
  }
  classes_[found->second.class_index].entries.erase(
      {found->second.deadline, id});
  queued_.erase(found);
  return true;
}

FairQueue::Entry FairQueue::TakeNext(MonotonicTime now) {
  const auto order = [now](const Class& candidate) {
    return std::pair(std::max(candidate.clock, now),
                     *candidate.entries.begin());
  };
  ClassIndex next = 0;
  bool found = false;
  for (ClassIndex index = 0; index < classes_.size(); ++index) {
    if (classes_[index].entries.empty()) {
      continue;
    }
    if (!found || order(classes_[index]) < order(classes_[next])) {
      next = index;
      found = true;
    }
  }
  const Entry entry = *classes_[next].entries.begin();
  Remove(entry.id);
  taken_[entry.id] = next;
  return entry;
}

void FairQueue::Charge(SubqueryId id, Duration slot_time, MonotonicTime now) {
  const auto taken = taken_.find(id);
  Class& charged = classes_[ResolveClass(taken->second)];
  taken_.erase(taken);
  const double tick =
      static_cast<double>(slot_time.count()) * total_weight_ / charged.weight;
  const MonotonicTime ticked =
      std::max(charged.clock, now) + Duration(static_cast<Duration::rep>(tick));
  charged.clock = std::min(ticked, now + kMaximumLead);
}

FairQueue::Entry FairQueue::NextToShed() const {
  const auto longest =
      std::ranges::max_element(classes_, {}, [](const Class& candidate) {
        return static_cast<double>(candidate.entries.size()) / candidate.weight;
      });
  return *longest->entries.rbegin();
}

FairQueue::Entry FairQueue::Earliest() const {
  Entry earliest{MonotonicTime::max(), 0};
  for (const Class& candidate : classes_) {
    if (!candidate.entries.empty()) {
      earliest = std::min(earliest, *candidate.entries.begin());
    }
  }
  return earliest;
}

std::vector<FairQueue::Backlog> FairQueue::Backlogs() const {
  double weights = 0;
  std::vector<Backlog> backlogs;
  backlogs.reserve(classes_.size());
  for (const Class& candidate : classes_) {
    if (!candidate.entries.empty()) {
      weights += candidate.weight;
      backlogs.push_back({&candidate.entries, candidate.weight});
    }
  }
  for (Backlog& backlog : backlogs) {
    backlog.share /= weights;
  }
  return backlogs;
}

}  // namespace juniperway::owner
