// A sorted map whose copies share their content until one of them is changed.
// Views of the replicated state copy cheaply this way: the entries lie in small
// chunks, and a change copies one chunk and the list of chunks only. Shared
// chunks also make the difference of two maps cheap to find.
#pragma once

#include <algorithm>
#include <cstddef>
#include <initializer_list>
#include <iterator>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace juniperway {

// Reading never copies; a changing method first copies what another map shares.
// Elements keep their address while any map holds their chunk. One thread may
// change one map; shared chunks are immutable, so other maps may be read on
// other threads meanwhile.
template <typename KeyType, typename ValueType>
class CopyOnWriteMap {
  using Chunk = std::map<KeyType, ValueType>;
  // Sorted, none empty.
  using Chunks = std::vector<std::shared_ptr<Chunk>>;

 public:
  using key_type = KeyType;
  using mapped_type = ValueType;
  using value_type = typename Chunk::value_type;

  // Valid until the map is changed or gone.
  class const_iterator {
   public:
    using iterator_category = std::forward_iterator_tag;
    using value_type = typename Chunk::value_type;
    using difference_type = std::ptrdiff_t;
    using pointer = const value_type*;
    using reference = const value_type&;

    const_iterator() = default;

    reference operator*() const { return *position_; }
    pointer operator->() const { return &*position_; }
    const_iterator& operator++() {
      if (++position_ == (*chunks_)[chunk_]->end()) {
        EnterChunk(chunk_ + 1);
      }
      return *this;
    }
    const_iterator operator++(int) {
      const const_iterator before = *this;
      ++*this;
      return before;
    }
    bool operator==(const const_iterator& other) const {
      return chunk_ == other.chunk_ &&
             (AtEnd() || position_ == other.position_);
    }

   private:
    friend class CopyOnWriteMap;

    const_iterator(const Chunks* chunks, std::size_t chunk) : chunks_(chunks) {
      EnterChunk(chunk);
    }
    const_iterator(const Chunks* chunks, std::size_t chunk,
                   typename Chunk::const_iterator position)
        : chunks_(chunks), chunk_(chunk), position_(position) {
      if (position_ == (*chunks_)[chunk_]->end()) {
        EnterChunk(chunk_ + 1);
      }
    }

    void EnterChunk(std::size_t chunk) {
      chunk_ = chunk;
      if (!AtEnd()) {
        position_ = (*chunks_)[chunk_]->begin();
      }
    }
    bool AtEnd() const {
      return chunks_ == nullptr || chunk_ == chunks_->size();
    }
    bool AtChunkStart() const {
      return position_ == (*chunks_)[chunk_]->begin();
    }
    const Chunk* chunk() const { return (*chunks_)[chunk_].get(); }

    const Chunks* chunks_ = nullptr;
    std::size_t chunk_ = 0;
    typename Chunk::const_iterator position_;
  };
  using iterator = const_iterator;

  CopyOnWriteMap() : chunks_(std::make_shared<Chunks>()) {}
  CopyOnWriteMap(std::initializer_list<value_type> values) : CopyOnWriteMap() {
    for (const auto& [key, value] : values) {
      insert_or_assign(key, value);
    }
  }

  const_iterator begin() const { return {chunks_.get(), 0}; }
  const_iterator end() const { return {chunks_.get(), chunks_->size()}; }
  const_iterator find(const KeyType& key) const {
    const const_iterator found = lower_bound(key);
    return found == end() || key < found->first ? end() : found;
  }
  const_iterator lower_bound(const KeyType& key) const {
    if (chunks_->empty()) {
      return end();
    }
    const std::size_t chunk = ChunkOf(key);
    return {chunks_.get(), chunk, (*chunks_)[chunk]->lower_bound(key)};
  }
  const_iterator upper_bound(const KeyType& key) const {
    if (chunks_->empty()) {
      return end();
    }
    const std::size_t chunk = ChunkOf(key);
    return {chunks_.get(), chunk, (*chunks_)[chunk]->upper_bound(key)};
  }
  // Throws std::out_of_range for an unknown key, as std::map does.
  const ValueType& at(const KeyType& key) const {
    static const Chunk nothing;
    return (chunks_->empty() ? nothing : *(*chunks_)[ChunkOf(key)]).at(key);
  }
  bool contains(const KeyType& key) const { return find(key) != end(); }
  std::size_t count(const KeyType& key) const { return contains(key) ? 1 : 0; }
  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  bool operator==(const CopyOnWriteMap& other) const {
    return SharesWith(other) ||
           (size_ == other.size_ &&
            std::equal(begin(), end(), other.begin(), other.end()));
  }
  // True if both share one content: nothing can differ.
  bool SharesWith(const CopyOnWriteMap& other) const {
    return chunks_ == other.chunks_;
  }

  ValueType& operator[](const KeyType& key) { return *Insert(key).first; }
  template <typename Value>
  void emplace(const KeyType& key, Value&& value) {
    const auto [place, inserted] = Insert(key);
    if (inserted) {
      *place = std::forward<Value>(value);
    }
  }
  template <typename Value>
  void insert_or_assign(const KeyType& key, Value&& value) {
    *Insert(key).first = std::forward<Value>(value);
  }
  std::size_t erase(const KeyType& key) {
    if (!contains(key)) {
      return 0;
    }
    const std::size_t chunk = ChunkOf(key);
    OwnChunk(chunk).erase(key);
    if ((*chunks_)[chunk]->empty()) {
      chunks_->erase(chunks_->begin() + static_cast<std::ptrdiff_t>(chunk));
    }
    --size_;
    return 1;
  }
  void clear() { *this = CopyOnWriteMap(); }

  // Calls visit(key, before, after) for each key whose value differs between
  // the two maps, in order; a null pointer: the map has no such key. Skips what
  // the maps share; ValueType needs ==.
  template <typename Visitor>
  static void ForEachDifference(const CopyOnWriteMap& before,
                                const CopyOnWriteMap& after, Visitor visit) {
    if (before.SharesWith(after)) {
      return;
    }
    const_iterator old_entry = before.begin();
    const_iterator new_entry = after.begin();
    while (old_entry != before.end() || new_entry != after.end()) {
      if (SkipSharedChunk(old_entry, new_entry)) {
        continue;
      }
      if (new_entry.AtEnd() ||
          (!old_entry.AtEnd() && old_entry->first < new_entry->first)) {
        visit(old_entry->first, &old_entry->second,
              static_cast<const ValueType*>(nullptr));
        ++old_entry;
      } else if (old_entry.AtEnd() || new_entry->first < old_entry->first) {
        visit(new_entry->first, static_cast<const ValueType*>(nullptr),
              &new_entry->second);
        ++new_entry;
      } else {
        if (!(old_entry->second == new_entry->second)) {
          visit(old_entry->first, &old_entry->second, &new_entry->second);
        }
        ++old_entry;
        ++new_entry;
      }
    }
  }

 private:
  // A chunk that grows past this is halved.
  static constexpr std::size_t kMaximumChunkSize = 128;

  static bool SkipSharedChunk(const_iterator& one, const_iterator& other) {
    const bool shared = !one.AtEnd() && !other.AtEnd() &&
                        one.chunk() == other.chunk() && one.AtChunkStart() &&
                        other.AtChunkStart();
    if (shared) {
      one.EnterChunk(one.chunk_ + 1);
      other.EnterChunk(other.chunk_ + 1);
    }
    return shared;
  }

  // The chunk that holds `key` or would: the last that begins at or before it,
  // else the first. There must be one.
  std::size_t ChunkOf(const KeyType& key) const {
    const auto after =
        std::upper_bound(chunks_->begin(), chunks_->end(), key,
                         [](const KeyType& wanted, const auto& chunk) {
                           return wanted < chunk->begin()->first;
                         });
    return after == chunks_->begin()
               ? 0
               : static_cast<std::size_t>(after - chunks_->begin()) - 1;
  }

  Chunks& OwnChunks() {
    if (chunks_.use_count() > 1) {
      chunks_ = std::make_shared<Chunks>(*chunks_);
    }
    return *chunks_;
  }

  Chunk& OwnChunk(std::size_t number) {
    std::shared_ptr<Chunk>& chunk = OwnChunks()[number];
    if (chunk.use_count() > 1) {
      chunk = std::make_shared<Chunk>(*chunk);
    }
    return *chunk;
  }

  // The place of the key's value, and whether it is new.
  std::pair<ValueType*, bool> Insert(const KeyType& key) {
    if (chunks_->empty()) {
      OwnChunks().push_back(std::make_shared<Chunk>());
      ++size_;
      return {&chunks_->front()->operator[](key), true};
    }
    const std::size_t number = ChunkOf(key);
    Chunk& chunk = OwnChunk(number);
    const auto [entry, inserted] = chunk.try_emplace(key);
    if (inserted) {
      ++size_;
      if (chunk.size() > kMaximumChunkSize) {
        Halve(number);
      }
    }
    return {&entry->second, inserted};
  }

  // Moves the upper half into a chunk of its own; elements keep their address.
  void Halve(std::size_t number) {
    Chunk& lower = *(*chunks_)[number];
    auto upper = std::make_shared<Chunk>();
    auto entry =
        std::next(lower.begin(), static_cast<std::ptrdiff_t>(lower.size() / 2));
    while (entry != lower.end()) {
      upper->insert(upper->end(), lower.extract(entry++));
    }
    chunks_->insert(chunks_->begin() + static_cast<std::ptrdiff_t>(number) + 1,
                    std::move(upper));
  }

  std::shared_ptr<Chunks> chunks_;
  std::size_t size_ = 0;
};

}  // namespace juniperway
