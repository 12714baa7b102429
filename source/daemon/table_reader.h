// Reads the keys of one TOML table and notes everything that is wrong with
// them, each with file, line and key.
#pragma once

#include <toml++/toml.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace juniperway::daemon {

struct SettingsFault {
  std::string file;
  // 0: the value came from a flag.
  std::uint32_t line = 0;
  // Dotted path, "gateway.http_listen".
  std::string key;
  // What it must be: "must be …".
  std::string message;
};

// "juniperwayd.toml:7: gateway.http_listen: must be …", or
// "--data-folder: must be …" when the value came from a flag.
std::string FormatFault(const SettingsFault& fault);

// Says what is wrong with a text; nothing: it is fine.
using TextCheck =
    std::function<std::optional<std::string>(const std::string& text)>;

enum class Presence { kOptional, kRequired };

class TableReader {
 public:
  // @param path of the table, "" for the root; `table` and `faults` outlive
  //   the reader.
  TableReader(const toml::table& table, std::string path, std::string file,
              std::vector<SettingsFault>& faults);

  // Each reads one key. The target keeps its value when the key is absent or
  // wrong.
  void Text(std::string_view key, Presence presence, const TextCheck& check,
            std::string& target);
  void Texts(std::string_view key, Presence presence, const TextCheck& check,
             std::vector<std::string>& target);
  void Integer(std::string_view key, Presence presence, std::int64_t minimum,
               std::int64_t maximum, std::int64_t& target);
  // An optional number, whole or not.
  void Number(std::string_view key, double minimum, double maximum,
              double& target);
  void Boolean(std::string_view key, bool& target);
  // @return nullptr when the key is absent or no table.
  const toml::table* Table(std::string_view key);

  // Notes a fault of a key, at its line or, when it is absent, the table's.
  void Refuse(std::string_view key, std::string message);
  bool Has(std::string_view key) const;

  // Notes each key that no call above has named.
  void RefuseUnknownKeys();

 private:
  // @return nullptr when the key is absent.
  const toml::node* Find(std::string_view key, Presence presence);
  void RefuseNode(const toml::node& node, std::string_view key,
                  std::string message);

  const toml::table& table_;
  std::string path_;
  std::string file_;
  std::vector<SettingsFault>& faults_;
  std::set<std::string, std::less<>> known_;
};

}  // namespace juniperway::daemon
