#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace pimentopin {

// Reports one error. `place` is a JSON pointer, or the line and column of a
// syntax error.
using ErrorReporter = std::function<void(std::string place, std::string message)>;

// Reports the errors that cannot be detected in a parsed JSON value: syntax
// errors with line and column, duplicate keys in an object, and nesting deeper
// than `max_depth`. Returns false if the document must not be parsed.
bool ScanDocument(std::string_view json, std::size_t max_depth, const ErrorReporter& report);

// Appends a reference token to a JSON pointer (RFC 6901). Tokens longer than 128
// bytes are truncated to bound the size of error messages.
std::string ChildPointer(std::string_view pointer, std::string_view token);

// Truncates UTF-8 text to `max_bytes` at a character boundary and appends "..."
// if it is longer.
std::string Truncate(std::string_view text, std::size_t max_bytes = 80);

}  // namespace pimentopin
