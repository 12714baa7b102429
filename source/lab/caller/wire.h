// The caller API's requests and answers, between HTTP and the history's types.
#pragma once

#include <string>

#include "common/base/error.h"
#include "common/net/http_client.h"
#include "lab/caller/history.h"

namespace juniperway::lab {

// The HTTP request of one attempt.
// @param gateway "ip:port"; @param request_id the attempt's id.
net::HttpClientRequest MakeQueryRequest(const Query& query,
                                        const std::string& gateway,
                                        const std::string& request_id);

// Parses a 200 or 206 answer; an error names what is wrong with its form.
Result<Answer> ParseAnswer(const net::HttpClientResponse& response);

// Fills in status, execution state, error code and Retry-After of a refusal.
void ReadRefusal(const net::HttpClientResponse& response, Attempt& attempt);

}  // namespace juniperway::lab
