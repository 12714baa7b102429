// A std::map whose copies share their content until one of them is changed.
// Views of the replicated state copy cheaply this way: a change of one kind of
// object copies that kind's map only.
#pragma once

#include <cstddef>
#include <initializer_list>
#include <map>
#include <memory>
#include <utility>

namespace juniperway {

// Reading never copies; a changing method first copies the content if another
// map shares it. One thread may change one map; shared content is immutable,
// so other maps may be read on other threads meanwhile.
template <typename KeyType, typename ValueType>
class CopyOnWriteMap {
 public:
  using Content = std::map<KeyType, ValueType>;
  using key_type = KeyType;
  using mapped_type = ValueType;
  using value_type = typename Content::value_type;
  using const_iterator = typename Content::const_iterator;
  using iterator = const_iterator;

  CopyOnWriteMap() : content_(std::make_shared<Content>()) {}
  CopyOnWriteMap(std::initializer_list<value_type> values)
      : content_(std::make_shared<Content>(values)) {}

  const_iterator begin() const { return content_->begin(); }
  const_iterator end() const { return content_->end(); }
  const_iterator find(const KeyType& key) const { return content_->find(key); }
  const_iterator lower_bound(const KeyType& key) const {
    return content_->lower_bound(key);
  }
  const_iterator upper_bound(const KeyType& key) const {
    return content_->upper_bound(key);
  }
  // Throws std::out_of_range for an unknown key, as std::map does.
  const ValueType& at(const KeyType& key) const { return content_->at(key); }
  bool contains(const KeyType& key) const { return content_->contains(key); }
  std::size_t count(const KeyType& key) const { return content_->count(key); }
  std::size_t size() const { return content_->size(); }
  bool empty() const { return content_->empty(); }
  bool operator==(const CopyOnWriteMap& other) const {
    return content_ == other.content_ || *content_ == *other.content_;
  }
  // True if both share one content: nothing can differ.
  bool SharesWith(const CopyOnWriteMap& other) const {
    return content_ == other.content_;
  }

  ValueType& operator[](const KeyType& key) { return Own()[key]; }
  template <typename... Arguments>
  void emplace(Arguments&&... arguments) {
    Own().emplace(std::forward<Arguments>(arguments)...);
  }
  template <typename Value>
  void insert_or_assign(const KeyType& key, Value&& value) {
    Own().insert_or_assign(key, std::forward<Value>(value));
  }
  std::size_t erase(const KeyType& key) {
    return contains(key) ? Own().erase(key) : 0;
  }
  void clear() { content_ = std::make_shared<Content>(); }

 private:
  Content& Own() {
    if (content_.use_count() > 1) {
      content_ = std::make_shared<Content>(*content_);
    }
    return *content_;
  }

  std::shared_ptr<Content> content_;
};

}  // namespace juniperway
