#pragma once

#include "apricotrock/http.h"

namespace apricotrock::emulator {

/// Returns the path of the target, without its query.
std::string_view pathOf(const HttpRequest &request);
/// Returns the decimal number \a name of the query, or nothing.
std::optional<std::uint64_t> queryNumber(const HttpRequest &request, std::string_view name);
HttpResponse jsonResponse(int status, std::string json);
/// `{"error": message}` with status 400.
HttpResponse badControl(const std::string &message);

} // namespace apricotrock::emulator
