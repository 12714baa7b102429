// The replicated log as held in memory: entries after a base position, whose
// own entry was compacted away. Knows nothing of roles or messages.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "common/raft/types.h"

namespace juniperway::raft {

class Log {
 public:
  // An empty log whose last position is (`base_index`, `base_term`).
  Log(Index base_index, Term base_term);

  Index base_index() const { return base_index_; }
  Index last_index() const { return base_index_ + entries_.size(); }
  Term last_term() const;

  // Term at `index`; empty before the base and after the last entry.
  std::optional<Term> TermAt(Index index) const;

  // True if a log ending at (`index`, `term`) is at least as new as this one.
  bool IsUpToDate(Index index, Term term) const;

  // The largest position that is at most `index` and has a term of at most
  // `term`: where two logs may still agree. `base_index() - 1` if even the base
  // has a later term (then only a snapshot helps).
  Index FindLastNotAfter(Index index, Term term) const;

  // Appends the entry that follows last_index().
  void Append(Entry entry);

  // Drops the entry at `first` and all later ones.
  void TruncateFrom(Index first);

  // Entries in [first, last]; both must be held, or the range empty.
  std::vector<Entry> Slice(Index first, Index last) const;

  // Entries from `first`, at least one if there is one, within both bounds.
  std::vector<Entry> SliceWithin(Index first, std::size_t maximum_entries,
                                 std::size_t maximum_bytes) const;

  // Moves the base up to `index`, which must be held. Lower: no effect.
  void CompactTo(Index index);

  // Forgets all entries and starts after (`base_index`, `base_term`).
  void Reset(Index base_index, Term base_term);

 private:
  const Entry& At(Index index) const;

  Index base_index_;
  Term base_term_;
  std::deque<Entry> entries_;
};

}  // namespace juniperway::raft
