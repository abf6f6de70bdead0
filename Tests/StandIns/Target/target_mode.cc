#include "Tests/StandIns/Target/target_mode.h"

#include <nlohmann/json.hpp>

namespace pimentopin {
namespace {

using nlohmann::json;

template <typename Value>
void Read(json& document, const char* name, Value& value) {
  const auto found = document.find(name);
  if (found != document.end()) {
    value = found->get<Value>();
    document.erase(found);
  }
}

}  // namespace

std::optional<TargetMode> TargetMode::With(const std::string& text, Error& error) const {
  TargetMode changed = *this;
  try {
    json document = json::parse(text);
    Read(document, "slow_factor", changed.slow_factor);
    Read(document, "error_rate", changed.error_rate);
    Read(document, "wrong_rate", changed.wrong_rate);
    Read(document, "truncate_rate", changed.truncate_rate);
    Read(document, "drain", changed.drain);
    Read(document, "shed", changed.shed);
    std::string deaf = changed.deaf_mode == DeafMode::kRefuse ? "refuse" : "ignore";
    Read(document, "deaf_mode", deaf);
    if (deaf != "refuse" && deaf != "ignore") {
      error = {ErrorCode::kInvalidArgument, "deaf_mode must be refuse or ignore"};
      return std::nullopt;
    }
    changed.deaf_mode = deaf == "refuse" ? DeafMode::kRefuse : DeafMode::kIgnore;
    Read(document, "deaf_domains", changed.deaf_domains);
    Read(document, "deaf_hosts", changed.deaf_hosts);
    Read(document, "crash_path", changed.crash_path);
    if (!document.is_object() || !document.empty()) {
      error = {ErrorCode::kInvalidArgument, "unknown members: " + document.dump()};
      return std::nullopt;
    }
  } catch (const json::exception& exception) {
    error = {ErrorCode::kInvalidArgument, exception.what()};
    return std::nullopt;
  }
  return changed;
}

json TargetMode::ToJson() const {
  return {{"slow_factor", this->slow_factor},
          {"error_rate", this->error_rate},
          {"wrong_rate", this->wrong_rate},
          {"truncate_rate", this->truncate_rate},
          {"drain", this->drain},
          {"shed", this->shed},
          {"deaf_mode", this->deaf_mode == DeafMode::kRefuse ? "refuse" : "ignore"},
          {"deaf_domains", this->deaf_domains},
          {"deaf_hosts", this->deaf_hosts},
          {"crash_path", this->crash_path}};
}

}  // namespace pimentopin
