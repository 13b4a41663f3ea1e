#pragma once

#include "apricotrock/http.h"

namespace apricotrock::caller {

/// Which request a response answers, as far as its head depends on it.
struct ResponseContext
{
    bool isHead = false;
    bool keepsConnection = true;
};

/// Returns the status line and the headers with the empty line at the end. Headers in
/// \a extraHeaders replace those of the response. The length is that of the body, or for an answer
/// to HEAD the one that the response names.
std::string formatResponseHead(const HttpResponse &response, const HttpHeaders &extraHeaders,
                               const ResponseContext &context);

/// Returns true if a response with \a status carries no body (RFC 9112, section 6.3).
bool isBodyless(int status);

} // namespace apricotrock::caller
