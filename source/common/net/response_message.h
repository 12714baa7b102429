// Checks that the bytes which came as an answer are exactly one whole HTTP/1.x
// response message (RFC 9112). libcurl alone accepts a head that the end of the
// connection cut off, and one into which a second response was written. Does no
// I/O; Transfer passes on what libcurl reports.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/net/header_line.h"
#include "common/net/second_head.h"

namespace juniperway::net {

// How the end of a response's body is determined.
enum class BodyFraming {
  kUnknown,     // The head has not ended.
  kNone,        // There is no body: HEAD, 204 and 304.
  kLength,      // Content-Length.
  kChunked,     // Transfer-Encoding: chunked.
  kUntilClose,  // The connection's end.
};
const char* NameOf(BodyFraming framing);

// Why what came is not one whole response.
enum class MessageFault {
  kNone,
  kStatusLine,    // The status line is malformed, or switches protocols.
  kFieldLine,     // A header field is malformed.
  kRepeatedHead,  // A status line stands among the header fields.
  kFraming,       // The fields that frame the body contradict each other.
  kHeadCutOff,    // The connection ended before the head did.
  kBodyLength,    // The body is shorter than its Content-Length.
  kChunks,        // The chunks of the body are malformed or cut off.
  kSecondHead,    // The head of another response stands in the body.
  kOtherRequest,  // The answer names another request.
  kNoRequest,     // The answer names no request, though this peer names them.
};
// Returns the fault as text, for errors and the log.
const char* Describe(MessageFault fault);

// Whether bytes followed a response on its connection.
enum class Followed {
  kNo,
  kYes,
  kUnknown,  // The connection was closed, as the response says.
};

// What a line of a response is.
enum class LineKind {
  kStatusLine,
  kField,       // A header field: see ResponseMessage::field().
  kInterimEnd,  // The end of an interim response (1xx).
  kHeadEnd,
  kTrailer,  // A line after the body.
  kFaulty,   // The message is not whole: see ResponseMessage::fault().
};

// Names and values, in order.
using Fields = std::vector<std::pair<std::string, std::string>>;

// One response, from its status line to the end of its body.
class ResponseMessage {
 public:
  ResponseMessage() = default;
  // @param has_body false for the response to a HEAD request.
  // @param identifying a field by which the peer's answers to this request are
  //   told from other text; its name is empty when there is none.
  ResponseMessage(bool has_body, IdentifyingField identifying)
      : has_body_(has_body), identifying_(identifying) {}

  // Reads the next line of the head or of the trailers, with its line end.
  LineKind AddLine(std::string_view line);
  // Declares the message faulty for what it says, or for its coding.
  void Reject(MessageFault fault) { fault_ = fault; }
  // Checks the message once all of it has come.
  // @param fields of the head.
  // @param followed tells whether more bytes came on the connection. Called
  //   only where the body may hold the start of another response.
  void End(std::string_view body, const Fields& fields,
           const std::function<Followed()>& followed);

  MessageFault fault() const { return fault_; }
  BodyFraming framing() const { return framing_; }
  // 0 before the status line.
  int status() const { return status_; }
  // Whether the response is of HTTP/1.0, whose connections end by default.
  bool is_version_1_0() const { return is_version_1_0_; }
  // The field of the last line, when it was kField. Valid as long as the line.
  const FieldLine& field() const { return field_; }

 private:
  enum class Section { kStatusLine, kFields, kBody };

  LineKind ReadStatusLine(std::string_view line);
  LineKind ReadField(std::string_view line);
  LineKind EndHead();
  LineKind Fail(MessageFault fault);
  // Keeps the values of the fields that frame the body.
  // @return false when they are malformed or stand twice.
  bool ReadFramingField(const FieldLine& field);
  // Whether the head of another response, or its beginning, is in the body.
  bool HoldsSecondHead(std::string_view body, const Fields& fields,
                       const std::function<Followed()>& followed) const;
  // Returns the fields that a second head must have: the identifying one if
  // this response has it, or else those that do not vary.
  std::vector<IdentifyingField> FieldsOfSecondHead(const Fields& fields) const;

  bool has_body_ = true;
  IdentifyingField identifying_;
  Section section_ = Section::kStatusLine;
  MessageFault fault_ = MessageFault::kNone;
  BodyFraming framing_ = BodyFraming::kUnknown;
  int status_ = 0;
  bool is_version_1_0_ = false;
  FieldLine field_;
  std::optional<std::size_t> content_length_;
  bool chunked_ = false;
};

}  // namespace juniperway::net
