#include "Tests/StandIns/Target/target_mode.h"

#include <nlohmann/json.hpp>

namespace pimentopin {
namespace {

using nlohmann::json;

template <typename Value>
void ReadMember(json& document, const char* name, Value& value) {
  const auto found = document.find(name);
  if (found != document.end()) {
    value = found->get<Value>();
    document.erase(found);
  }
}

}  // namespace

std::optional<TargetMode> TargetMode::WithChanges(const std::string& text, Error& error) const {
  TargetMode changed = *this;
  try {
    json document = json::parse(text);
    ReadMember(document, "slow_factor", changed.slow_factor);
    ReadMember(document, "error_rate", changed.error_rate);
    ReadMember(document, "wrong_rate", changed.wrong_rate);
    ReadMember(document, "truncate_rate", changed.truncate_rate);
    ReadMember(document, "drain", changed.drain);
    ReadMember(document, "shed", changed.shed);
    std::string unreachable_mode_name =
        changed.unreachable_mode == UnreachableMode::kRefuse ? "refuse" : "ignore";
    ReadMember(document, "deaf_mode", unreachable_mode_name);
    if (unreachable_mode_name != "refuse" && unreachable_mode_name != "ignore") {
      error = {ErrorCode::kInvalidArgument, "deaf_mode must be refuse or ignore"};
      return std::nullopt;
    }
    changed.unreachable_mode =
        unreachable_mode_name == "refuse" ? UnreachableMode::kRefuse : UnreachableMode::kIgnore;
    ReadMember(document, "deaf_domains", changed.unreachable_from_domains);
    ReadMember(document, "deaf_hosts", changed.unreachable_from_hosts);
    ReadMember(document, "crash_path", changed.crash_path);
    if (!document.is_object() || !document.empty()) {
      error = {ErrorCode::kInvalidArgument, "unknown or invalid members: " + document.dump()};
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
          {"deaf_mode", this->unreachable_mode == UnreachableMode::kRefuse ? "refuse" : "ignore"},
          {"deaf_domains", this->unreachable_from_domains},
          {"deaf_hosts", this->unreachable_from_hosts},
          {"crash_path", this->crash_path}};
}

}  // namespace pimentopin
