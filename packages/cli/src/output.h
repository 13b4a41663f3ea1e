#pragma once

#include "apricotrock/fields.h"
#include "commands.h"

#include <nlohmann/json.hpp>

namespace apricotrock::cli {

using Json = nlohmann::ordered_json;

/// Reports a failure as text or JSON and returns \a code.
ExitCode fail(const Context &context, ExitCode code, const std::string &message);
/// Writes \a document on a line; bytes that are no UTF-8 are replaced.
void printJson(const Context &context, const Json &document);
/// Returns \a text with control characters replaced, so that text from the log or from an instance
/// cannot steer the operator's terminal.
std::string printable(std::string_view text);
/// Returns UTC time as 2026-12-04T05:30:00.000Z.
std::string formatTime(std::uint64_t wallMilliseconds);
/// Returns rows with columns padded to equal width, two spaces between them.
std::string formatTable(const std::vector<std::vector<std::string>> &rows);

/// Orders problems by their line and prints them; returns ExitCode::Invalid.
ExitCode reportProblems(const Context &context, const std::string &file,
                        std::vector<Problem> problems, std::ostream &stream);

/// Typed access to a document of an instance; nothing if a part is missing or of another type.
std::optional<std::string> textMember(const Json &object, const char *name);
std::optional<std::uint64_t> countMember(const Json &object, const char *name);
/// Returns an empty list if \a name is no list.
const Json &listMember(const Json &object, const char *name);

} // namespace apricotrock::cli
