#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Libraries/LibCore/error.h"

namespace pimentopin {

// Object store of the platform. Callbacks run on the control thread.
class ObjectStore {
 public:
  using GetCallback = std::function<void(std::optional<std::string>, const Error&)>;
  using PutCallback = std::function<void(bool stored, const Error&)>;
  using ListCallback = std::function<void(std::optional<std::vector<std::string>>, const Error&)>;

  virtual ~ObjectStore() = default;
  // Reports ErrorCode::kNotFound if the object does not exist.
  virtual void Get(const std::string& key, GetCallback callback) = 0;
  // Does not overwrite an existing object, which counts as stored. ErrorCode::kUnknownOutcome means
  // that the object may have been stored.
  virtual void PutIfAbsent(const std::string& key, std::string content, PutCallback callback) = 0;
  virtual void List(const std::string& prefix, ListCallback callback) = 0;
};

}  // namespace pimentopin
