#include "common/net/response_message.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "common/base/text.h"
#include "common/net/second_head.h"

namespace juniperway::net {
namespace {

constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
// "HTTP/1.1 200"
constexpr std::size_t kStatusBegin = 9;
constexpr std::size_t kStatusDigits = 3;
// "HTTP/": fewer bytes at the end of a body that the connection's end frames
// may well be its own.
constexpr std::size_t kMinimumHeadStart = 5;

// Fields of one connection or one moment, which differ between two answers of a
// peer.
constexpr std::array<std::string_view, 6> kVaryingFields = {
    "connection",        "keep-alive", "content-length",
    "transfer-encoding", "date",       "retry-after"};

std::optional<std::size_t> ParseLength(std::string_view text) {
  std::size_t length = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), length);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return length;
}

}  // namespace

const char* NameOf(BodyFraming framing) {
  switch (framing) {
    case BodyFraming::kUnknown:
      return "unknown";
    case BodyFraming::kNone:
      return "none";
    case BodyFraming::kLength:
      return "length";
    case BodyFraming::kChunked:
      return "chunked";
    case BodyFraming::kUntilClose:
      return "until_close";
  }
  return "unknown";
}

const char* Describe(MessageFault fault) {
  switch (fault) {
    case MessageFault::kNone:
      return "";
    case MessageFault::kStatusLine:
      return "the answer has a malformed status line";
    case MessageFault::kFieldLine:
      return "the answer has a malformed header field";
    case MessageFault::kRepeatedHead:
      return "a second status line stands in the head of the answer";
    case MessageFault::kFraming:
      return "the answer has contradictory Content-Length or "
             "Transfer-Encoding fields";
    case MessageFault::kHeadCutOff:
      return "the connection ended within the head of the answer";
    case MessageFault::kBodyLength:
      return "the body is shorter than its Content-Length";
    case MessageFault::kChunks:
      return "the chunks of the body are malformed or cut off";
    case MessageFault::kSecondHead:
      return "the head of another answer stands in the body";
    case MessageFault::kOtherRequest:
      return "the answer names another request";
    case MessageFault::kNoRequest:
      return "the answer names no request";
  }
  return "unknown";
}

LineKind ResponseMessage::AddLine(std::string_view line) {
  const auto content = WithoutLineEnd(line);
  if (!content) {
    return Fail(MessageFault::kFieldLine);
  }
  switch (section_) {
    case Section::kStatusLine:
      return ReadStatusLine(*content);
    case Section::kFields:
      return content->empty() ? EndHead() : ReadField(*content);
    case Section::kBody:
      return LineKind::kTrailer;
  }
  return Fail(MessageFault::kFieldLine);
}

LineKind ResponseMessage::ReadStatusLine(std::string_view line) {
  if (!IsStatusLine(line)) {
    return Fail(MessageFault::kStatusLine);
  }
  const char* digits = line.data() + kStatusBegin;
  std::from_chars(digits, digits + kStatusDigits, status_);
  is_version_1_0_ = line.starts_with("HTTP/1.0");
  if (status_ == kSwitchingProtocols) {
    return Fail(MessageFault::kStatusLine);
  }
  section_ = Section::kFields;
  return LineKind::kStatusLine;
}

LineKind ResponseMessage::ReadField(std::string_view line) {
  if (ContainsStatusLine(line)) {
    return Fail(MessageFault::kRepeatedHead);
  }
  const auto field = ParseFieldLine(line);
  if (!field) {
    return Fail(MessageFault::kFieldLine);
  }
  if (!ReadFramingField(*field)) {
    return Fail(MessageFault::kFraming);
  }
  field_ = *field;
  return LineKind::kField;
}

bool ResponseMessage::ReadFramingField(const FieldLine& field) {
  if (EqualsIgnoringCase(field.name, "content-length")) {
    const bool repeated = content_length_.has_value();
    content_length_ = ParseLength(field.value);
    return content_length_ && !repeated;
  }
  if (EqualsIgnoringCase(field.name, "transfer-encoding")) {
    const bool repeated = chunked_;
    chunked_ = EqualsIgnoringCase(field.value, "chunked");
    return chunked_ && !repeated;
  }
  return true;
}

LineKind ResponseMessage::EndHead() {
  const bool is_interim = status_ < kFirstFinalStatus;
  const bool contradicts =
      is_interim ? content_length_ || chunked_ : content_length_ && chunked_;
  if (contradicts) {
    return Fail(MessageFault::kFraming);
  }
  if (is_interim) {
    section_ = Section::kStatusLine;
    return LineKind::kInterimEnd;
  }
  section_ = Section::kBody;
  if (!has_body_ || status_ == kNoContent || status_ == kNotModified) {
    framing_ = BodyFraming::kNone;
  } else if (content_length_) {
    framing_ = BodyFraming::kLength;
  } else {
    framing_ = chunked_ ? BodyFraming::kChunked : BodyFraming::kUntilClose;
  }
  return LineKind::kHeadEnd;
}

LineKind ResponseMessage::Fail(MessageFault fault) {
  fault_ = fault;
  return LineKind::kFaulty;
}

void ResponseMessage::End(std::string_view body, const Fields& fields,
                          const std::function<Followed()>& followed) {
  if (fault_ != MessageFault::kNone) {
    return;
  }
  if (section_ != Section::kBody) {
    fault_ = MessageFault::kHeadCutOff;
  } else if (framing_ == BodyFraming::kLength &&
             body.size() != *content_length_) {
    fault_ = MessageFault::kBodyLength;
  } else if (HoldsSecondHead(body, fields, followed)) {
    fault_ = MessageFault::kSecondHead;
  }
}

bool ResponseMessage::HoldsSecondHead(
    std::string_view body, const Fields& fields,
    const std::function<Followed()>& followed) const {
  const bool has_status_line = ContainsStatusLine(body);
  if (has_status_line && ContainsHeadWith(body, FieldsOfSecondHead(fields))) {
    return true;
  }
  const std::size_t head_start = HeadStartAtEnd(body);
  if (framing_ == BodyFraming::kUntilClose) {
    return head_start >= kMinimumHeadStart ||
           (has_status_line && ContainsWholeHead(body));
  }
  if (framing_ != BodyFraming::kLength ||
      (!has_status_line && head_start == 0)) {
    return false;
  }
  switch (followed()) {
    case Followed::kNo:
      return false;
    case Followed::kYes:
      return true;
    case Followed::kUnknown:
      return head_start >= kMinimumHeadStart;
  }
  return false;
}

std::vector<IdentifyingField> ResponseMessage::FieldsOfSecondHead(
    const Fields& fields) const {
  std::vector<IdentifyingField> expected;
  for (const auto& [name, value] : fields) {
    if (EqualsIgnoringCase(name, identifying_.name)) {
      return {identifying_};
    }
    if (std::ranges::find(kVaryingFields, ToLower(name)) ==
        kVaryingFields.end()) {
      expected.push_back({name, ""});
    }
  }
  return expected;
}

}  // namespace juniperway::net
