#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "Libraries/LibConfig/configuration.h"
#include "Libraries/LibCore/findings.h"
#include "Libraries/LibHost/configuration_source.h"
#include "Libraries/LibPlatform/row_feed.h"

namespace pimentopin {

// Reads the configuration from the row that the platform's operator writes.
class PlatformConfigurationSource : public ConfigurationSource {
 public:
  using Reader =
      std::function<std::optional<Configuration>(std::string_view text, Findings& findings)>;

  // `feed` must outlive this object. A read waits up to `long_poll_timeout` for a change.
  PlatformConfigurationSource(RowFeed& feed,
                              std::string table,
                              std::string key,
                              Reader reader,
                              Duration long_poll_timeout);

  void ReadNewest(std::uint64_t known_revision, bool may_wait, DocumentCallback callback) override;

 private:
  void OnRows(std::uint64_t known_revision,
              const DocumentCallback& callback,
              const std::optional<FeedBatch>& batch,
              const Error& error);

  RowFeed& feed;
  const std::string table;
  const std::string key;
  const Reader reader;
  const Duration long_poll_timeout;
  // Version of the store up to which the row has been read; 0 if it has not been read.
  std::uint64_t version = 0;
};

}  // namespace pimentopin
