#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "Libraries/LibConfig/configuration.h"
#include "Libraries/LibCore/findings.h"
#include "Libraries/LibHost/configuration_source.h"
#include "Libraries/LibMembership/configuration_lease.h"
#include "Libraries/LibPlatform/row_feed.h"

namespace pimentopin {

// Reads the configuration from the row that the platform's operator writes.
class PlatformConfigurationSource : public ConfigurationSource {
 public:
  using Reader =
      std::function<std::optional<Configuration>(std::string_view text, Findings& findings)>;

  struct Settings {
    std::string table;
    std::string key;
    Reader reader;
    // Replaces the keys in a document by their digests. Other hosts and operators get the result.
    std::function<std::string(std::string_view text)> without_keys;
    // Receives the newest revision whenever a read shows it, if the store stated its time. Not
    // called while the newest configuration cannot be read.
    std::function<void(const ConfigurationConfirmation&)> on_confirmed = {};
    // Time for which a read waits for a change.
    Duration long_poll_timeout{};
  };

  // `feed` must outlive this object.
  PlatformConfigurationSource(RowFeed& feed, Settings settings);

  void ReadNewest(std::uint64_t known_revision, bool may_wait, DocumentCallback callback) override;

 private:
  void OnRows(std::uint64_t known_revision,
              const DocumentCallback& callback,
              const std::optional<FeedBatch>& batch,
              const Error& error);

  RowFeed& feed;
  const Settings settings;
  // Version of the store up to which the row has been read; zero if it has not been read.
  StoreVersion version;
  // Revision in the row; empty if the row is absent or cannot be read.
  std::optional<std::uint64_t> newest_revision;
};

}  // namespace pimentopin
