#pragma once

#include "apricotrock/base.h"

namespace apricotrock {

/// One HTTP header; names are compared without regard to case.
struct HttpHeader
{
    std::string name;
    std::string value;

    bool operator==(const HttpHeader &) const = default;
};

using HttpHeaders = std::vector<HttpHeader>;

/// Header names that the system reads and writes.
namespace headername {
inline constexpr std::string_view idempotencyKey = "Idempotency-Key";
inline constexpr std::string_view requestDeadline = "Request-Deadline-Ms";
inline constexpr std::string_view requestOutcome = "Request-Outcome";
inline constexpr std::string_view errorKind = "Error-Kind";
inline constexpr std::string_view servedBy = "Served-By";
inline constexpr std::string_view backendServer = "Backend-Server";
inline constexpr std::string_view loadReport = "Load-Report";
inline constexpr std::string_view serverState = "Server-State";
inline constexpr std::string_view callerName = "Caller-Name";
} // namespace headername

/// A complete request. Hop-by-hop headers (RFC 9110, section 7.6.1) are not part of it.
struct HttpRequest
{
    std::string method;
    /// Path and query towards the backend server, starting with '/'.
    std::string target;
    HttpHeaders headers;
    std::string body;
};

/// A complete answer. Hop-by-hop headers are not part of it.
struct HttpResponse
{
    int status = 0;
    HttpHeaders headers;
    std::string body;
};

/// Load that a backend server tells with an answer.
struct LoadReport
{
    /// Requests that run now, this one not included.
    std::uint32_t outstanding = 0;
    /// Requests that wait in the backend server.
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;

    bool operator==(const LoadReport &) const = default;
};

/// Returns the value of the first header \a name, or nothing.
std::optional<std::string_view> findHeader(const HttpHeaders &headers, std::string_view name);
/// Returns true for the characters of a token (RFC 9110, section 5.6.2).
bool isTokenCharacter(char character);
/// Returns true if \a text is a token, as the names of headers are; an empty text is none.
bool isToken(std::string_view text);
bool equalsIgnoringCase(std::string_view a, std::string_view b);
/// Returns the usual reason phrase of \a status, or "Status".
std::string_view reasonPhrase(int status);
/// Returns true for headers that belong to one connection only.
bool isHopByHopHeader(std::string_view name);
/// Removes hop-by-hop headers, those named by a Connection header included.
void removeHopByHopHeaders(HttpHeaders &headers);
/// Returns true for GET and HEAD, which this system treats as idempotent lookups.
bool isLookupMethod(std::string_view method);
/// Reads `outstanding=N, queued=N, slots=N`; nothing if it is malformed.
std::optional<LoadReport> parseLoadReport(std::string_view text);
/// Reads a decimal count of milliseconds; nothing if it is malformed, zero or above 24 h.
std::optional<std::chrono::milliseconds> parseDeadline(std::string_view text);
/// Percent-decodes the value of \a name in the query of \a target.
std::optional<std::string> queryValue(std::string_view target, std::string_view name);

/// Returns the answer to a caller for \a kind, with status, outcome, kind and remedy.
/// \a outcome overrides the default of the kind: a refusal is Unknown for a key whose other copies
/// the refusing instance cannot rule out.
HttpResponse errorResponse(ErrorKind kind, Outcome outcome);

} // namespace apricotrock
