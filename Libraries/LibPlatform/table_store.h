#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Libraries/LibCore/error.h"
#include "Libraries/LibCore/store_version.h"

namespace pimentopin {

struct TableRow {
  // Increases with every write of the row; zero means that the row is absent.
  StoreVersion version;
  std::string value;

  friend bool operator==(const TableRow&, const TableRow&) = default;
};

// A write that is applied only if the row still has the expected version. No row has a version of
// an era that has ended.
struct ConditionalWrite {
  std::string key;
  StoreVersion expected_version;
  std::string value;
  // Removes the row instead of writing the value.
  bool remove = false;

  friend bool operator==(const ConditionalWrite&, const ConditionalWrite&) = default;
};

struct WriteResult {
  bool applied = false;
  // Version of the row after the call.
  StoreVersion version;

  friend bool operator==(const WriteResult&, const WriteResult&) = default;
};

// Versioned rows of the platform's tables. The part of a key before the first '/' is the table
// name. Callbacks run on the control thread.
class TableStore {
 public:
  // An absent row has version 0. Receives no value and an Error if the read failed.
  using ReadCallback = std::function<void(std::optional<TableRow>, const Error&)>;
  // ErrorCode::kUnknownOutcome means that the writes may have taken effect. After any other error
  // they have not and will not.
  using WriteCallback = std::function<void(std::optional<std::vector<WriteResult>>, const Error&)>;

  virtual ~TableStore() = default;
  virtual void Read(const std::string& key, ReadCallback callback) = 0;
  // The writes are independent of each other.
  virtual void Write(std::vector<ConditionalWrite> writes, WriteCallback callback) = 0;
};

}  // namespace pimentopin
