#include "Libraries/LibHost/platform_configuration_source.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "Libraries/LibCore/json_log.h"
#include "Libraries/LibHost/wall_clock.h"

namespace pimentopin {

PlatformConfigurationSource::PlatformConfigurationSource(RowFeed& feed, Settings source_settings)
    : feed(feed), settings(std::move(source_settings)) {}

void PlatformConfigurationSource::ReadNewest(std::uint64_t known_revision,
                                             bool may_wait,
                                             DocumentCallback callback) {
  auto on_rows = [this, known_revision, callback = std::move(callback)](
                     const std::optional<FeedBatch>& batch, const Error& error) {
    this->OnRows(known_revision, callback, batch, error);
  };
  if (this->version.is_zero()) {
    this->feed.List(this->settings.table, std::move(on_rows));
  } else {
    this->feed.Changes(this->settings.table, this->version,
                       may_wait ? this->settings.long_poll_timeout : Duration::zero(),
                       std::move(on_rows));
  }
}

void PlatformConfigurationSource::OnRows(std::uint64_t known_revision,
                                         const DocumentCallback& callback,
                                         const std::optional<FeedBatch>& batch,
                                         const Error& error) {
  if (!batch) {
    // The store no longer has the changes since `version`, so the next read lists the
    // table.
    if (error.code == ErrorCode::kNotFound) {
      this->version = {};
    }
    callback(std::nullopt, error);
    return;
  }
  const bool is_listing = std::exchange(this->version, batch->version).is_zero();
  if (is_listing) {
    this->newest_revision.reset();
  }
  std::optional<ConfigurationDocument> newest;
  for (const FeedRow& row : batch->rows) {
    if (row.key != this->settings.key) {
      continue;
    }
    // What an unreadable configuration says, of keys that it withdraws for example, is not known.
    this->newest_revision.reset();
    if (row.removed) {
      continue;
    }
    Findings findings;
    const auto configuration = this->settings.reader(row.value, findings);
    if (!configuration) {
      Log(LogLevel::kError, "configuration_unreadable",
          {{"row_version", row.version.ToText()}, {"findings", findings.ToText()}});
      continue;
    }
    this->newest_revision = configuration->revision;
    if (configuration->revision > known_revision) {
      newest = ConfigurationDocument{.revision = configuration->revision,
                                     .base_revision = known_revision,
                                     .change_id = "row-" + row.version.ToText(),
                                     .author = "platform operator",
                                     .committed_at_ms = WallClockMs(),
                                     .content = configuration->requires_keys
                                                    ? this->settings.without_keys(row.value)
                                                    : row.value};
    }
  }
  if (is_listing) {
    Log(LogLevel::kInfo, "configuration_listed",
        {{"version", batch->version.ToText()}, {"revision", this->newest_revision.value_or(0)}});
  }
  if (batch->store_time && this->newest_revision && this->settings.on_confirmed) {
    this->settings.on_confirmed({.at = *batch->store_time, .revision = *this->newest_revision});
  }
  callback(newest, {});
}

}  // namespace pimentopin
