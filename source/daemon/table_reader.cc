#include "daemon/table_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace juniperway::daemon {

std::string FormatFault(const SettingsFault& fault) {
  if (fault.line == 0) {
    std::string flag = fault.key;
    std::replace(flag.begin(), flag.end(), '_', '-');
    return fmt::format("--{}: {}", flag, fault.message);
  }
  const std::string where = fault.key.empty() ? "" : fault.key + ": ";
  return fmt::format("{}:{}: {}{}", fault.file, fault.line, where,
                     fault.message);
}

TableReader::TableReader(const toml::table& table, std::string path,
                         std::string file, std::vector<SettingsFault>& faults)
    : table_(table),
      path_(std::move(path)),
      file_(std::move(file)),
      faults_(faults) {}

void TableReader::Text(std::string_view key, Presence presence,
                       const TextCheck& check, std::string& target) {
  const toml::node* node = Find(key, presence);
  if (node == nullptr) {
    return;
  }
  const auto text = node->value_exact<std::string>();
  if (!text) {
    RefuseNode(*node, key, "must be a text");
    return;
  }
  if (const auto wrong = check(*text)) {
    RefuseNode(*node, key, *wrong);
    return;
  }
  target = *text;
}

void TableReader::Texts(std::string_view key, Presence presence,
                        const TextCheck& check,
                        std::vector<std::string>& target) {
  const toml::node* node = Find(key, presence);
  if (node == nullptr) {
    return;
  }
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    RefuseNode(*node, key, "must be a list of texts");
    return;
  }
  std::vector<std::string> texts;
  for (const toml::node& item : *array) {
    const auto text = item.value_exact<std::string>();
    if (!text) {
      RefuseNode(item, key, "must be a list of texts");
      return;
    }
    if (const auto wrong = check(*text)) {
      RefuseNode(item, key, *wrong);
      return;
    }
    texts.push_back(*text);
  }
  if (texts.empty() && presence == Presence::kRequired) {
    RefuseNode(*node, key, "must not be empty");
    return;
  }
  target = std::move(texts);
}

void TableReader::Integer(std::string_view key, Presence presence,
                          std::int64_t minimum, std::int64_t maximum,
                          std::int64_t& target) {
  const toml::node* node = Find(key, presence);
  if (node == nullptr) {
    return;
  }
  const auto number = node->value_exact<std::int64_t>();
  if (!number || *number < minimum || *number > maximum) {
    RefuseNode(
        *node, key,
        fmt::format("must be a whole number from {} to {}", minimum, maximum));
    return;
  }
  target = *number;
}

void TableReader::Number(std::string_view key, double minimum, double maximum,
                         double& target) {
  const toml::node* node = Find(key, Presence::kOptional);
  if (node == nullptr) {
    return;
  }
  const auto number = node->value<double>();
  const bool fits =
      node->is_number() && number && *number >= minimum && *number <= maximum;
  if (!fits) {
    RefuseNode(*node, key,
               fmt::format("must be a number from {} to {}", minimum, maximum));
    return;
  }
  target = *number;
}

void TableReader::Boolean(std::string_view key, bool& target) {
  const toml::node* node = Find(key, Presence::kOptional);
  if (node == nullptr) {
    return;
  }
  const auto value = node->value_exact<bool>();
  if (!value) {
    RefuseNode(*node, key, "must be true or false");
    return;
  }
  target = *value;
}

const toml::table* TableReader::Table(std::string_view key) {
  const toml::node* node = Find(key, Presence::kOptional);
  if (node != nullptr && !node->is_table()) {
    RefuseNode(*node, key, "must be a table");
  }
  return node != nullptr ? node->as_table() : nullptr;
}

void TableReader::Refuse(std::string_view key, std::string message) {
  const toml::node* node = table_.get(key);
  RefuseNode(node != nullptr ? *node : table_, key, std::move(message));
}

bool TableReader::Has(std::string_view key) const {
  return table_.contains(key);
}

void TableReader::RefuseUnknownKeys() {
  for (const auto& [key, node] : table_) {
    if (!known_.contains(key.str())) {
      faults_.push_back({file_, key.source().begin.line,
                         path_.empty() ? std::string(key.str())
                                       : path_ + "." + std::string(key.str()),
                         "is no known key"});
    }
  }
}

const toml::node* TableReader::Find(std::string_view key, Presence presence) {
  known_.emplace(key);
  const toml::node* node = table_.get(key);
  if (node == nullptr && presence == Presence::kRequired) {
    Refuse(key, "is required");
  }
  return node;
}

void TableReader::RefuseNode(const toml::node& node, std::string_view key,
                             std::string message) {
  faults_.push_back(
      {file_, node.source().begin.line,
       path_.empty() ? std::string(key) : path_ + "." + std::string(key),
       std::move(message)});
}

}  // namespace juniperway::daemon
