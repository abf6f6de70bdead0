#include "Libraries/LibMembership/host_directory.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "Libraries/LibCore/rendezvous.h"

namespace pimentopin {
namespace {

using nlohmann::json;

// Key of the rendezvous hashing of hosts. All hosts must use the same one.
constexpr std::string_view kRankHashKey = "store-reader";

}  // namespace

bool IsLargeEnoughToServe(std::uint32_t capacity, std::uint32_t largest) {
  return capacity * 2 >= largest;
}

std::vector<HostId> RankMembers(const std::vector<MemberRecord>& members) {
  std::uint32_t largest = 0;
  for (const MemberRecord& member : members) {
    largest = std::max(largest, member.capacity);
  }
  std::vector<HostId> large;
  std::vector<HostId> small;
  for (const MemberRecord& member : members) {
    (IsLargeEnoughToServe(member.capacity, largest) ? large : small).push_back(member.host);
  }
  std::vector<HostId> ranked = RendezvousRank(StableHash(kRankHashKey), std::move(large));
  const std::vector<HostId> last = RendezvousRank(StableHash(kRankHashKey), std::move(small));
  ranked.insert(ranked.end(), last.begin(), last.end());
  return ranked;
}

std::string EncodeHostRow(const MemberRecord& record) {
  return json{
      {"address", record.address},         {"domain", RawId(record.domain)},
      {"incarnation", record.incarnation}, {"capacity", record.capacity},
      {"link_mbps", record.link_mbps},     {"leaving", record.state == MemberState::kLeaving}}
      .dump();
}

std::optional<MemberRecord> DecodeHostRow(std::string_view name,
                                          std::string_view value,
                                          Error& error) {
  const json row = json::parse(value, nullptr, false);
  const auto has = [&row](const char* field, bool (json::*is_type)() const noexcept) {
    const auto found = row.find(field);
    return found != row.end() && ((*found).*is_type)();
  };
  if (!row.is_object() || !has("address", &json::is_string) ||
      !has("domain", &json::is_number_unsigned) || !has("incarnation", &json::is_number_unsigned) ||
      !has("capacity", &json::is_number_unsigned) || !has("leaving", &json::is_boolean)) {
    error = {ErrorCode::kProtocol, "host row is not a JSON object with the required fields"};
    return std::nullopt;
  }
  // Hosts of earlier versions do not write the field.
  const bool has_link = has("link_mbps", &json::is_number_unsigned);
  return MemberRecord{
      .host = IdFromName<HostId>(name),
      .name = std::string(name),
      .address = row["address"].get<std::string>(),
      .domain = DomainId{row["domain"].get<std::uint64_t>()},
      .incarnation = row["incarnation"].get<std::uint64_t>(),
      .state = row["leaving"].get<bool>() ? MemberState::kLeaving : MemberState::kAlive,
      .capacity = row["capacity"].get<std::uint32_t>(),
      .link_mbps = has_link ? row["link_mbps"].get<std::uint32_t>() : 0};
}

HostDirectory::HostDirectory(MemberRecord self) : self_record(std::move(self)) {}

void HostDirectory::Apply(const std::vector<FeedRow>& rows, std::vector<std::string>& errors) {
  for (const FeedRow& row : rows) {
    Error error;
    const auto record = row.removed ? std::nullopt : DecodeHostRow(row.key, row.value, error);
    if (!row.removed && !record) {
      errors.push_back(row.key + ": " + error.message);
    }
    if (row.key == this->self_record.name) {
      this->registered_record = record;
      continue;
    }
    const auto host = IdFromName<HostId>(row.key);
    if (!record) {
      this->others.erase(host);
      this->unreachable.erase(host);
      continue;
    }
    MemberRecord& known = this->others[host];
    if (known.incarnation != record->incarnation || known.address != record->address) {
      this->unreachable.erase(host);
    }
    known = *record;
  }
}

void HostDirectory::SetUnreachable(HostId host, bool now_unreachable) {
  if (now_unreachable && this->others.contains(host)) {
    this->unreachable.insert(host);
  } else {
    this->unreachable.erase(host);
  }
}

const MemberRecord* HostDirectory::Find(HostId host) const {
  const auto found = this->others.find(host);
  return found == this->others.end() ? nullptr : &found->second;
}

std::vector<MemberRecord> HostDirectory::Members() const {
  std::vector<MemberRecord> members{this->self_record};
  for (const auto& [host, record] : this->others) {
    members.push_back(record);
    if (this->unreachable.contains(host)) {
      members.back().state = MemberState::kUnreachable;
    }
  }
  return members;
}

std::vector<HostId> HostDirectory::UsableHosts() const {
  std::vector<HostId> hosts;
  for (const MemberRecord& member : this->Members()) {
    if (member.state == MemberState::kAlive) {
      hosts.push_back(member.host);
    }
  }
  return hosts;
}

std::vector<HostId> HostDirectory::BrokerCandidates() const {
  const std::vector<MemberRecord> members = this->Members();
  std::uint32_t largest = 0;
  for (const MemberRecord& member : members) {
    largest = std::max(largest, member.state == MemberState::kAlive ? member.capacity : 0);
  }
  std::uint32_t fastest_link = 0;
  std::vector<const MemberRecord*> large;
  for (const MemberRecord& member : members) {
    if (member.state == MemberState::kAlive && IsLargeEnoughToServe(member.capacity, largest)) {
      large.push_back(&member);
      fastest_link = std::max(fastest_link, member.link_mbps);
    }
  }
  std::vector<HostId> hosts;
  for (const MemberRecord* member : large) {
    if (IsLargeEnoughToServe(member->link_mbps, fastest_link)) {
      hosts.push_back(member->host);
    }
  }
  return hosts;
}

std::map<DomainId, std::vector<HostId>> HostDirectory::RankedHostsByDomain() const {
  std::map<DomainId, std::vector<MemberRecord>> alive;
  std::map<DomainId, std::vector<MemberRecord>> leaving;
  for (const MemberRecord& member : this->Members()) {
    if (member.state == MemberState::kAlive) {
      alive[member.domain].push_back(member);
    } else if (member.state == MemberState::kLeaving) {
      leaving[member.domain].push_back(member);
    }
  }
  std::map<DomainId, std::vector<HostId>> ranked;
  for (const auto& [domain, domain_members] : alive) {
    ranked[domain] = RankMembers(domain_members);
  }
  // A leaving host serves requests until it ends. Without the digests of its domain's reader it
  // would read the store and relay it to all others, which keeps a small host from its requests.
  for (const auto& [domain, domain_members] : leaving) {
    const std::vector<HostId> last = RankMembers(domain_members);
    ranked[domain].insert(ranked[domain].end(), last.begin(), last.end());
  }
  return ranked;
}

bool HostDirectory::IsRegistered() const {
  if (!this->registered_record) {
    return false;
  }
  MemberRecord registered = *this->registered_record;
  registered.incarnation = this->self_record.incarnation;
  return registered == this->self_record;
}

}  // namespace pimentopin
