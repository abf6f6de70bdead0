#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace pimentopin {

// Reports one fault at a place.
using FaultReporter = std::function<void(std::string place, std::string message)>;

// Checks what a parsed JSON value no longer shows: syntax with line and column,
// keys that occur twice in an object, and nesting. Returns false if the
// document cannot be read any further.
bool ScanDocument(std::string_view json, std::size_t max_depth, const FaultReporter& report);

// Appends a reference token to a JSON pointer (RFC 6901). Tokens over 128
// bytes are cut, so that findings stay small.
std::string ChildPointer(std::string_view pointer, std::string_view token);

// Text for a message: cut to `max_bytes` at a character boundary.
std::string Shortened(std::string_view text, std::size_t max_bytes = 80);

}  // namespace pimentopin
