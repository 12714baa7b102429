// Finds the head of another response in the body of a response: a peer that
// broke off and answered again, or that answered twice.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

namespace juniperway::net {

// A header field that tells the answers of a peer from text that quotes some
// HTTP exchange.
struct IdentifyingField {
  std::string_view name;
  // Empty: any value.
  std::string_view value;
};

// Whether the text is the status line of an HTTP/1.x response, without its line
// end.
bool IsStatusLine(std::string_view line);
// Whether the text contains the beginning of such a status line, up to the
// status code.
bool ContainsStatusLine(std::string_view text);

// Whether `body` contains a head, from its status line to its empty line.
bool ContainsWholeHead(std::string_view body);
// Whether `body` contains a status line that is followed by header fields, all
// of `fields` among them.
bool ContainsHeadWith(std::string_view body,
                      const std::vector<IdentifyingField>& fields);

// Returns how many bytes at the end of `body` may be the beginning of a head
// that goes on after it.
std::size_t HeadStartAtEnd(std::string_view body);

}  // namespace juniperway::net
