#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "Libraries/LibCore/error.h"
#include "Libraries/LibProtocol/membership_messages.h"

namespace pimentopin {

// Source of committed configurations. Runs on the control thread.
class ConfigurationSource {
 public:
  // No value with ErrorCode::kNone means that there is no such document, with ErrorCode::kNotFound
  // that the next read has to tell, because the history since the last one is lost.
  using DocumentCallback = std::function<void(std::optional<ConfigurationDocument>, const Error&)>;

  virtual ~ConfigurationSource() = default;
  // Reads the newest committed document above `known_revision`. With `may_wait`, the read may wait
  // for a change.
  virtual void ReadNewest(std::uint64_t known_revision,
                          bool may_wait,
                          DocumentCallback callback) = 0;
};

}  // namespace pimentopin
