#include "Libraries/LibHost/configuration_store.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <utility>

namespace pimentopin {
namespace {

constexpr int kMaxWriteAttempts = 5;
constexpr char kCurrentRevisionKey[] = "configuration/current";
// Limits the reads of one ReadNewest() call; the next call continues from that revision.
constexpr int kMaxScanReads = 64;

std::string RowKey(std::uint64_t revision) {
  return "configuration/revisions/" + std::to_string(revision);
}

std::string ObjectKey(const std::string& change_id) {
  return "configuration/changes/" + change_id;
}

std::string ToJson(const ConfigurationDocument& document) {
  return nlohmann::json{{"base_revision", document.base_revision},
                        {"change_id", document.change_id},
                        {"author", document.author},
                        {"committed_at_ms", document.committed_at_ms},
                        {"content", document.content}}
      .dump();
}

std::optional<ConfigurationDocument> FromJson(const std::string& text) {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (json.is_discarded() || !json.is_object()) {
    return std::nullopt;
  }
  try {
    ConfigurationDocument document;
    document.base_revision = json.at("base_revision").get<std::uint64_t>();
    document.revision = document.base_revision + 1;
    document.change_id = json.at("change_id").get<std::string>();
    document.author = json.at("author").get<std::string>();
    document.committed_at_ms = json.at("committed_at_ms").get<std::uint64_t>();
    document.content = json.at("content").get<std::string>();
    return document;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

std::uint64_t ParseRevision(const std::string& text) {
  std::uint64_t revision = 0;
  std::from_chars(text.data(), text.data() + text.size(), revision);
  return revision;
}

bool IsSameChange(const ConfigurationDocument& left, const ConfigurationDocument& right) {
  return left.change_id == right.change_id && left.base_revision == right.base_revision &&
         left.content == right.content;
}

}  // namespace

struct ConfigurationStore::CommitState {
  ConfigurationDocument document;
  CommitCallback callback;
  int write_attempts = 0;
  // Set once a write may have reached the table.
  bool may_be_committed = false;
};

struct ConfigurationStore::ScanState {
  std::uint64_t revision = 0;
  // Value of the row of `revision`; empty until that row has been read.
  std::string change_id;
  std::uint64_t known_revision = 0;
  int reads = 0;
  DocumentCallback callback;
};

ConfigurationStore::ConfigurationStore(TableStore& table,
                                       ObjectStore& objects,
                                       DelayedExecutor schedule_retry)
    : table(table), objects(objects), schedule_retry(std::move(schedule_retry)) {}

void ConfigurationStore::Commit(ConfigurationDocument document, CommitCallback callback) {
  auto state = std::make_shared<CommitState>();
  state->document = std::move(document);
  state->document.revision = state->document.base_revision + 1;
  state->callback = std::move(callback);
  this->CheckBase(state);
}

void ConfigurationStore::CheckBase(const std::shared_ptr<CommitState>& state) {
  if (state->document.base_revision == 0) {
    this->StoreObject(state);
    return;
  }
  // A commit on a base revision that does not exist would leave a gap in the revisions, and
  // readers would never reach the commit.
  this->table.Read(RowKey(state->document.base_revision), [this, state](const auto& row,
                                                                        const Error& error) {
    if (!row) {
      state->callback({CommitStatus::kNotCommitted, std::nullopt, error.message});
      return;
    }
    if (row->version == 0) {
      state->callback({CommitStatus::kConflict, std::nullopt, "the base revision does not exist"});
      return;
    }
    this->StoreObject(state);
  });
}

void ConfigurationStore::StoreObject(const std::shared_ptr<CommitState>& state) {
  const std::string key = ObjectKey(state->document.change_id);
  this->objects.PutIfAbsent(
      key, ToJson(state->document), [this, state, key](bool stored, const Error& put_error) {
        if (!stored) {
          state->callback({CommitStatus::kNotCommitted, std::nullopt, put_error.message});
          return;
        }
        // The object may have been stored by an earlier call with the same change id.
        this->objects.Get(key, [this, state](const auto& text, const Error& error) {
          if (!text) {
            state->callback({CommitStatus::kNotCommitted, std::nullopt, error.message});
            return;
          }
          const std::optional<ConfigurationDocument> document = FromJson(*text);
          if (!document || !IsSameChange(*document, state->document)) {
            state->callback({CommitStatus::kConflict, document,
                             "the change id is already in use by another change"});
            return;
          }
          state->document = *document;
          this->CreateRow(state);
        });
      });
}

void ConfigurationStore::CreateRow(const std::shared_ptr<CommitState>& state) {
  ++state->write_attempts;
  const ConditionalWrite write{RowKey(state->document.revision), 0, state->document.change_id};
  this->table.Write({write}, [this, state](const auto& results, const Error& error) {
    if (results && results->front().applied) {
      this->ReportCommitted(state);
      return;
    }
    if (!results && error.code == ErrorCode::kUnknownOutcome) {
      state->may_be_committed = true;
    }
    if (!results && error.code != ErrorCode::kUnknownOutcome) {
      this->RetryCreateRow(state, error.message);
      return;
    }
    this->ResolveWrite(state);
  });
}

void ConfigurationStore::ResolveWrite(const std::shared_ptr<CommitState>& state) {
  this->table.Read(
      RowKey(state->document.revision), [this, state](const auto& row, const Error& error) {
        // Retry also if the row is absent: the unconfirmed write may still take effect, and
        // creating the same row again is harmless.
        if (!row || row->version == 0) {
          this->RetryCreateRow(state, row ? "the row is absent after the write" : error.message);
          return;
        }
        if (row->value == state->document.change_id) {
          this->ReportCommitted(state);
          return;
        }
        this->ReportConflict(state, row->value);
      });
}

void ConfigurationStore::RetryCreateRow(const std::shared_ptr<CommitState>& state,
                                        const std::string& reason) {
  if (state->write_attempts < kMaxWriteAttempts) {
    this->schedule_retry([this, state] { this->CreateRow(state); });
    return;
  }
  if (state->may_be_committed) {
    state->callback({CommitStatus::kUnknown, std::nullopt,
                     "the table did not confirm the write; query the outcome by change id"});
    return;
  }
  state->callback(
      {CommitStatus::kNotCommitted, std::nullopt, "the table did not accept the write: " + reason});
}

void ConfigurationStore::ReportConflict(const std::shared_ptr<CommitState>& state,
                                        const std::string& change_id) {
  this->ReadDocument(
      state->document.revision, change_id, [state](const auto& committed_document, const Error&) {
        state->callback(
            {CommitStatus::kConflict, committed_document, "another change was committed first"});
      });
}

void ConfigurationStore::ReportCommitted(const std::shared_ptr<CommitState>& state) {
  this->AdvanceHint(state->document.revision);
  state->callback({CommitStatus::kCommitted, state->document, ""});
}

void ConfigurationStore::AdvanceHint(std::uint64_t revision) {
  this->table.Read(kCurrentRevisionKey, [this, revision](const auto& row, const Error&) {
    if (!row || ParseRevision(row->value) >= revision) {
      return;
    }
    // A lost race or an error leaves the hint behind; readers scan forward from it.
    this->table.Write({{kCurrentRevisionKey, row->version, std::to_string(revision)}},
                      [](const auto&, const Error&) {});
  });
}

void ConfigurationStore::ReadNewest(std::uint64_t known_revision,
                                    bool /*may_wait*/,
                                    DocumentCallback callback) {
  this->table.Read(RowKey(known_revision + 1), [this, known_revision, callback](
                                                   const auto& row, const Error& error) {
    if (!row) {
      callback(std::nullopt, error);
      return;
    }
    if (row->version == 0) {
      callback(std::nullopt, Error{});
      return;
    }
    auto state = std::make_shared<ScanState>();
    state->revision = known_revision + 1;
    state->change_id = row->value;
    state->known_revision = known_revision;
    state->callback = callback;
    // The hint spares a host that is far behind from reading every row.
    this->table.Read(kCurrentRevisionKey, [this, state](const auto& hint, const Error&) {
      const std::uint64_t hinted_revision = hint ? ParseRevision(hint->value) : 0;
      if (hinted_revision > state->revision) {
        state->revision = hinted_revision;
        state->change_id.clear();
      }
      this->ScanRevisions(state);
    });
  });
}

void ConfigurationStore::ScanRevisions(const std::shared_ptr<ScanState>& state) {
  const bool has_row = !state->change_id.empty();
  const std::uint64_t next = has_row ? state->revision + 1 : state->revision;
  ++state->reads;
  this->table.Read(RowKey(next), [this, state, next, has_row](const auto& row, const Error& error) {
    const bool found = row && row->version != 0;
    if (found) {
      state->revision = next;
      state->change_id = row->value;
      if (state->reads < kMaxScanReads) {
        this->ScanRevisions(state);
        return;
      }
    }
    if (!found && !has_row) {
      state->callback(std::nullopt,
                      row ? Error{ErrorCode::kProtocol,
                                  "the hint for the current revision refers to a missing row"}
                          : error);
      return;
    }
    if (state->known_revision + 1 < state->revision || state->reads > 1) {
      this->AdvanceHint(state->revision);
    }
    this->ReadDocument(state->revision, state->change_id, state->callback);
  });
}

void ConfigurationStore::ReadDocument(std::uint64_t revision,
                                      const std::string& change_id,
                                      DocumentCallback callback) {
  this->objects.Get(
      ObjectKey(change_id), [revision, callback](const auto& text, const Error& error) {
        if (!text) {
          callback(std::nullopt, error);
          return;
        }
        const std::optional<ConfigurationDocument> document = FromJson(*text);
        if (!document || document->revision != revision) {
          callback(std::nullopt, {ErrorCode::kProtocol, "the document of a revision is malformed"});
          return;
        }
        callback(document, Error{});
      });
}

void ConfigurationStore::FindChange(const std::string& change_id, DocumentCallback callback) {
  this->objects.Get(
      ObjectKey(change_id), [this, change_id, callback](const auto& text, const Error& error) {
        if (!text) {
          const bool absent = error.code == ErrorCode::kNotFound;
          callback(std::nullopt, absent ? Error{} : error);
          return;
        }
        const std::optional<ConfigurationDocument> document = FromJson(*text);
        if (!document) {
          callback(std::nullopt, {ErrorCode::kProtocol, "the document of the change is malformed"});
          return;
        }
        this->table.Read(RowKey(document->revision),
                         [change_id, document, callback](const auto& row, const Error& read_error) {
                           if (!row) {
                             callback(std::nullopt, read_error);
                             return;
                           }
                           const bool committed = row->version != 0 && row->value == change_id;
                           callback(committed ? document : std::nullopt, Error{});
                         });
      });
}

}  // namespace pimentopin
