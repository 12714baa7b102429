#include "common/raft/log.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace juniperway::raft {

Log::Log(Index base_index, Term base_term)
    : base_index_(base_index), base_term_(base_term) {}

Term Log::last_term() const {
  return entries_.empty() ? base_term_ : entries_.back().term;
}

const Entry& Log::At(Index index) const {
  return entries_[index - base_index_ - 1];
}

std::optional<Term> Log::TermAt(Index index) const {
  if (index < base_index_ || index > last_index()) {
    return std::nullopt;
  }
  return index == base_index_ ? base_term_ : At(index).term;
}

bool Log::IsUpToDate(Index index, Term term) const {
  if (term != last_term()) {
    return term > last_term();
  }
  return index >= last_index();
}

Index Log::FindLastNotAfter(Index index, Term term) const {
  if (index < base_index_) {
    return index;
  }
  const Index end = std::min(index, last_index());
  const auto past = std::upper_bound(
      entries_.begin(), entries_.begin() + (end - base_index_), term,
      [](Term bound, const Entry& entry) { return bound < entry.term; });
  if (past != entries_.begin()) {
    return base_index_ + (past - entries_.begin());
  }
  return base_term_ <= term ? base_index_ : base_index_ - 1;
}

void Log::Append(Entry entry) {
  CHECK_EQ(entry.index, last_index() + 1);
  CHECK_GE(entry.term, last_term());
  entries_.push_back(std::move(entry));
}

void Log::TruncateFrom(Index first) {
  CHECK_GT(first, base_index_);
  if (first <= last_index()) {
    entries_.resize(first - base_index_ - 1);
  }
}

std::vector<Entry> Log::Slice(Index first, Index last) const {
  if (first > last) {
    return {};
  }
  CHECK_GT(first, base_index_);
  CHECK_LE(last, last_index());
  const auto begin = entries_.begin() + (first - base_index_ - 1);
  return {begin, begin + (last - first + 1)};
}

std::vector<Entry> Log::SliceWithin(Index first, std::size_t maximum_entries,
                                    std::size_t maximum_bytes) const {
  std::vector<Entry> slice;
  std::size_t bytes = 0;
  for (Index index = first; index <= last_index(); ++index) {
    const Entry& entry = At(index);
    bytes += entry.data.size();
    const bool full = slice.size() >= maximum_entries || bytes > maximum_bytes;
    if (full && !slice.empty()) {
      break;
    }
    slice.push_back(entry);
  }
  return slice;
}

void Log::CompactTo(Index index) {
  if (index <= base_index_) {
    return;
  }
  const std::optional<Term> term = TermAt(index);
  CHECK(term.has_value());
  entries_.erase(entries_.begin(), entries_.begin() + (index - base_index_));
  base_index_ = index;
  base_term_ = *term;
}

void Log::Reset(Index base_index, Term base_term) {
  entries_.clear();
  base_index_ = base_index;
  base_term_ = base_term;
}

}  // namespace juniperway::raft
