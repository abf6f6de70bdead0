#include "Libraries/LibHost/configuration_store.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <utility>

namespace pimentopin {
namespace {

constexpr int kMaxTries = 5;
constexpr char kHintKey[] = "configuration/current";
// Bounds the reads of one ReadNewest; the next call goes on from there.
constexpr int kMaxWalkReads = 64;

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
  int tries = 0;
  // Set once a write may have reached the table.
  bool may_be_committed = false;
};

struct ConfigurationStore::WalkState {
  std::uint64_t revision = 0;
  // Of row `revision`; empty while that row has not been read.
  std::string change_id;
  std::uint64_t known_revision = 0;
  int reads = 0;
  DocumentCallback callback;
};

ConfigurationStore::ConfigurationStore(TableStore& table, ObjectStore& objects, Delay retry_delay)
    : table(table), objects(objects), retry_delay(std::move(retry_delay)) {}

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
  // Without this check a commit on a revision that does not exist yet would
  // leave a gap that hides it from readers.
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
        // The object may be of an earlier call with this change id.
        this->objects.Get(key, [this, state](const auto& text, const Error& error) {
          if (!text) {
            state->callback({CommitStatus::kNotCommitted, std::nullopt, error.message});
            return;
          }
          const std::optional<ConfigurationDocument> document = FromJson(*text);
          if (!document || !IsSameChange(*document, state->document)) {
            state->callback(
                {CommitStatus::kConflict, document, "the change id was used for another change"});
            return;
          }
          state->document = *document;
          this->CreateRow(state);
        });
      });
}

void ConfigurationStore::CreateRow(const std::shared_ptr<CommitState>& state) {
  ++state->tries;
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
      this->RetryRow(state);
      return;
    }
    this->ResolveRow(state);
  });
}

void ConfigurationStore::ResolveRow(const std::shared_ptr<CommitState>& state) {
  this->table.Read(RowKey(state->document.revision), [this, state](const auto& row, const Error&) {
    // Also when the row is absent: the lost write may still be on its way, and
    // writing the same row again is harmless.
    if (!row || row->version == 0) {
      this->RetryRow(state);
      return;
    }
    if (row->value == state->document.change_id) {
      this->ReportCommitted(state);
      return;
    }
    this->ReportConflict(state, row->value);
  });
}

void ConfigurationStore::RetryRow(const std::shared_ptr<CommitState>& state) {
  if (state->tries < kMaxTries) {
    this->retry_delay([this, state] { this->CreateRow(state); });
    return;
  }
  if (state->may_be_committed) {
    state->callback({CommitStatus::kUnknown, std::nullopt,
                     "the table did not confirm the write; ask again by change id"});
    return;
  }
  state->callback({CommitStatus::kNotCommitted, std::nullopt, "the table is unreachable"});
}

void ConfigurationStore::ReportConflict(const std::shared_ptr<CommitState>& state,
                                        const std::string& change_id) {
  this->ReadDocument(
      state->document.revision, change_id, [state](const auto& winner, const Error&) {
        state->callback({CommitStatus::kConflict, winner, "another change was committed first"});
      });
}

void ConfigurationStore::ReportCommitted(const std::shared_ptr<CommitState>& state) {
  this->AdvanceHint(state->document.revision);
  state->callback({CommitStatus::kCommitted, state->document, ""});
}

void ConfigurationStore::AdvanceHint(std::uint64_t revision) {
  this->table.Read(kHintKey, [this, revision](const auto& row, const Error&) {
    if (!row || ParseRevision(row->value) >= revision) {
      return;
    }
    // A lost race or an error leaves the hint behind; readers walk on from it.
    this->table.Write({{kHintKey, row->version, std::to_string(revision)}},
                      [](const auto&, const Error&) {});
  });
}

void ConfigurationStore::ReadNewest(std::uint64_t known_revision, DocumentCallback callback) {
  this->table.Read(RowKey(known_revision + 1),
                   [this, known_revision, callback](const auto& row, const Error& error) {
                     if (!row) {
                       callback(std::nullopt, error);
                       return;
                     }
                     if (row->version == 0) {
                       callback(std::nullopt, Error{});
                       return;
                     }
                     auto state = std::make_shared<WalkState>();
                     state->revision = known_revision + 1;
                     state->change_id = row->value;
                     state->known_revision = known_revision;
                     state->callback = callback;
                     // The hint saves a host that is far behind from reading every row.
                     this->table.Read(kHintKey, [this, state](const auto& hint, const Error&) {
                       const std::uint64_t hinted = hint ? ParseRevision(hint->value) : 0;
                       if (hinted > state->revision) {
                         state->revision = hinted;
                         state->change_id.clear();
                       }
                       this->Walk(state);
                     });
                   });
}

void ConfigurationStore::Walk(const std::shared_ptr<WalkState>& state) {
  const bool has_row = !state->change_id.empty();
  const std::uint64_t next = has_row ? state->revision + 1 : state->revision;
  ++state->reads;
  this->table.Read(RowKey(next), [this, state, next, has_row](const auto& row, const Error& error) {
    const bool found = row && row->version != 0;
    if (found) {
      state->revision = next;
      state->change_id = row->value;
      if (state->reads < kMaxWalkReads) {
        this->Walk(state);
        return;
      }
    }
    if (!found && !has_row) {
      state->callback(std::nullopt,
                      row ? Error{ErrorCode::kProtocol, "the hint names a missing row"} : error);
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
