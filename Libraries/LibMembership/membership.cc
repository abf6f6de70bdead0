#include "Libraries/LibMembership/membership.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace pimentopin {
namespace {

// A call of Tick that is later than this means that the host was paused.
constexpr Duration kPause = std::chrono::seconds(1);
// A record that did not advance for this long is asked for.
constexpr Duration kAskAfter = std::chrono::milliseconds(1500);
// The answer takes up to a gossip interval.
constexpr Duration kAskAgainAfter = std::chrono::milliseconds(700);
// Details of a new incarnation go out with each relay for this long.
constexpr Duration kAnnounceFor = std::chrono::seconds(5);
// Records in a gossip that ask for a newer one.
constexpr std::size_t kMaxQuestions = 5;
constexpr std::size_t kMaxRandomQuestions = 2;
// Name and address take about 90 bytes, a record without them 24.
constexpr std::size_t kMaxDetails = 3;
constexpr std::uint64_t kAnnouncedHeartbeats = 10;
// Older records are not passed on: they would keep a failed host alive.
constexpr Duration kRelayWithin = std::chrono::milliseconds(1500);
constexpr std::size_t kMaxOwedPeers = 64;
// Receivers of one round that are chosen because an answer is owed to them.
constexpr std::size_t kMaxAnsweredPeers = 2;
// Every n-th gossip repeats the own name and address, and every n-th round goes
// to a member that is dead or was never heard of, so that partitions heal.
constexpr std::uint64_t kRareInterval = 8;

bool IsNewer(const MemberRecord& left, const MemberRecord& right) {
  return std::pair(left.incarnation, left.heartbeat) >
         std::pair(right.incarnation, right.heartbeat);
}

bool HasDetails(const MemberRecord& record) {
  return !record.address.empty();
}

}  // namespace

Membership::Membership(MemberRecord self, RandomSource& source)
    : own(std::move(self)), random(source) {}

bool Membership::OnGossip(TimePoint now, const Gossip& gossip) {
  const HostId sender = gossip.sender.host;
  if (sender == this->own.host) {
    this->OnOwnRecord(gossip.sender);
    return false;
  }
  const std::vector<HostId> before = this->UsableHosts();
  this->last_heard = now;
  std::vector<const MemberRecord*> records{&gossip.sender};
  for (const MemberRecord& record : gossip.members) {
    records.push_back(&record);
  }
  for (const MemberRecord* record : records) {
    if (record->host == this->own.host) {
      this->OnOwnRecord(*record);
      if (IsNewer(this->own, *record)) {
        this->OweAnswer(now, sender, this->own.host, record->incarnation < this->own.incarnation);
      }
      continue;
    }
    if (this->Merge(now, *record)) {
      const std::uint64_t known = this->members.at(record->host).record.incarnation;
      this->OweAnswer(now, sender, record->host, record->incarnation < known);
    }
  }
  return before != this->UsableHosts();
}

// Another process of this name was seen, or a peer holds a record of an earlier
// run that ours cannot replace, for example after the wall clock was set back.
void Membership::OnOwnRecord(const MemberRecord& record) {
  const bool reported_lost =
      record.state == MemberState::kDead || record.state == MemberState::kSuspect;
  const bool overtaken = IsNewer(record, this->own);
  if (overtaken || (reported_lost && record.incarnation == this->own.incarnation)) {
    this->own.incarnation = record.incarnation + 1;
    this->own.heartbeat = 0;
    this->announce_until = kAnnouncedHeartbeats;
  }
}

bool Membership::Merge(TimePoint now, const MemberRecord& record) {
  // Judgements of other hosts do not count.
  if (record.state == MemberState::kDead || record.state == MemberState::kSuspect) {
    return false;
  }
  auto found = this->members.find(record.host);
  if (found == this->members.end()) {
    // A question about a host that is unknown here.
    if (record.incarnation == 0) {
      return false;
    }
    found = this->members.emplace(record.host, Member{}).first;
    found->second.record.host = record.host;
    found->second.silent_since = now;
  }
  Member& member = found->second;
  if (HasDetails(record) && record.incarnation >= member.detail_incarnation &&
      record.incarnation != 0) {
    member.record.name = record.name;
    member.record.address = record.address;
    member.record.domain = record.domain;
    member.detail_incarnation = record.incarnation;
  }
  if (!IsNewer(record, member.record)) {
    return record.incarnation < member.record.incarnation ||
           record.heartbeat < member.record.heartbeat;
  }
  if (record.incarnation != member.record.incarnation) {
    member.appeared_at = now;
  }
  member.record.incarnation = record.incarnation;
  member.record.heartbeat = record.heartbeat;
  member.record.state = record.state;
  member.record.configuration_revision = record.configuration_revision;
  member.advanced_at = now;
  member.silent_since = now;
  member.relays = 0;
  member.judgement = MemberState::kAlive;
  return false;
}

void Membership::OweAnswer(TimePoint now, HostId peer, HostId subject, bool with_details) {
  if (!this->answers.contains(peer) && this->answers.size() >= kMaxOwedPeers) {
    return;
  }
  OwedAnswers& entry = this->answers[peer];
  std::vector<Answer>& owed = entry.list;
  if (owed.empty()) {
    entry.since = now;
  }
  for (Answer& answer : owed) {
    if (answer.subject == subject) {
      answer.with_details = answer.with_details || with_details;
      return;
    }
  }
  if (owed.size() < kMaxRelayedRecords) {
    owed.push_back({subject, with_details});
  }
}

void Membership::AddSeeds(TimePoint now, const std::vector<MemberRecord>& seeds) {
  for (const MemberRecord& seed : seeds) {
    const HostId host = seed.host == HostId{} ? IdFromName<HostId>(seed.name) : seed.host;
    if (host == this->own.host || seed.address.empty()) {
      continue;
    }
    Member& member = this->members[host];
    // What a member says of itself counts more than a list that lags.
    if (member.heard() && member.judgement != MemberState::kDead) {
      continue;
    }
    member.record.host = host;
    member.record.name = seed.name;
    member.record.address = seed.address;
    if (seed.domain != DomainId{}) {
      member.record.domain = seed.domain;
    }
    if (!member.heard()) {
      member.silent_since = now;
      member.judgement = MemberState::kSuspect;
    }
  }
}

void Membership::SetLeaving() {
  if (this->own.state == MemberState::kLeaving) {
    return;
  }
  this->own.state = MemberState::kLeaving;
  ++this->own.heartbeat;
  this->next_gossip = TimePoint{};
}

void Membership::SetConfigurationRevision(std::uint64_t revision) {
  if (this->own.configuration_revision == revision) {
    return;
  }
  this->own.configuration_revision = revision;
  ++this->own.heartbeat;
}

std::vector<SendToHost> Membership::Tick(TimePoint now) {
  this->SkipPause(now);
  this->Judge(now);
  if (!this->last_tick) {
    this->next_gossip = now;
  }
  this->last_tick = now;
  std::vector<SendToHost> sends;
  if (now < this->next_gossip) {
    return sends;
  }
  // A late tick does not move the later rounds, and a pause causes one round.
  this->next_gossip = std::max(this->next_gossip + kGossipInterval, now + kGossipInterval / 2);
  ++this->own.heartbeat;
  for (const HostId receiver : this->ChooseReceivers(now)) {
    sends.push_back(this->GossipTo(now, receiver));
  }
  return sends;
}

Duration Membership::SuspectAfter() const {
  // Records that arrive per second on average.
  constexpr auto kRecordsPerSecond = static_cast<Duration::rep>(
      (1 + kMaxRelayedRecords) * kGossipFanout * std::chrono::seconds(1) / kGossipInterval);
  const auto count = static_cast<Duration::rep>(this->members.size());
  const Duration refresh = Duration(std::chrono::seconds(1)) * count / kRecordsPerSecond;
  return std::max(kSuspectAfter, 5 * refresh);
}

void Membership::Judge(TimePoint now) {
  const Duration suspect_after = this->SuspectAfter();
  for (auto entry = this->members.begin(); entry != this->members.end();) {
    Member& member = entry->second;
    const Duration silence = now - member.silent_since;
    if (silence >= 2 * suspect_after + kForgetAfter) {
      this->answers.erase(entry->first);
      entry = this->members.erase(entry);
      continue;
    }
    if (silence >= 2 * suspect_after) {
      member.judgement = MemberState::kDead;
    } else if (silence >= suspect_after || !member.heard()) {
      member.judgement = MemberState::kSuspect;
    } else {
      member.judgement = MemberState::kAlive;
    }
    ++entry;
  }
}

// While the own host was paused, the others could not be heard.
void Membership::SkipPause(TimePoint now) {
  if (!this->last_tick || now - *this->last_tick < kPause) {
    return;
  }
  const Duration pause = now - *this->last_tick;
  // The others may have forgotten this host.
  this->announce_until = this->own.heartbeat + kAnnouncedHeartbeats;
  for (auto& [host, member] : this->members) {
    member.silent_since = std::min(now, member.silent_since + pause);
  }
}

std::vector<HostId> Membership::ChooseReceivers(TimePoint now) {
  std::vector<HostId> receivers;
  const auto add = [&](HostId host) {
    const auto found = this->members.find(host);
    const bool reachable = found != this->members.end() && HasDetails(found->second.record);
    if (reachable && receivers.size() < kGossipFanout &&
        std::find(receivers.begin(), receivers.end(), host) == receivers.end()) {
      receivers.push_back(host);
    }
  };
  std::vector<HostId> lost;
  std::size_t heard = 0;
  for (const auto& [host, member] : this->members) {
    if (!member.heard() || member.judgement == MemberState::kDead) {
      lost.push_back(host);
    } else {
      ++heard;
    }
  }
  // Hosts that have heard of nobody yet use the whole round for their seeds.
  std::shuffle(lost.begin(), lost.end(), this->random.generator());
  const bool rare_round = (this->gossips_sent / kGossipFanout) % kRareInterval == 0;
  const std::size_t to_lost =
      heard < kGossipFanout ? kGossipFanout - heard : std::size_t{rare_round ? 1U : 0U};
  for (std::size_t index = 0; index < std::min(to_lost, lost.size()); ++index) {
    add(lost[index]);
  }
  // Peers ask again, so that an answer that is late would be sent twice.
  std::erase_if(this->answers,
                [now](const auto& entry) { return now - entry.second.since > kAskAgainAfter; });
  // The longest lists first: these peers are the furthest behind.
  std::vector<std::pair<std::size_t, HostId>> owed;
  for (const auto& [peer, list] : this->answers) {
    owed.emplace_back(list.list.size(), peer);
  }
  std::sort(owed.rbegin(), owed.rend());
  for (std::size_t index = 0; index < std::min(kMaxAnsweredPeers, owed.size()); ++index) {
    add(owed[index].second);
  }
  for (std::size_t tries = 0; tries < 2 * this->members.size() && receivers.size() < kGossipFanout;
       ++tries) {
    add(this->NextInRotation());
  }
  return receivers;
}

HostId Membership::NextInRotation() {
  if (this->rotation.empty()) {
    for (const auto& [host, member] : this->members) {
      if (member.heard() && member.judgement != MemberState::kDead) {
        this->rotation.push_back(host);
      }
    }
    std::shuffle(this->rotation.begin(), this->rotation.end(), this->random.generator());
  }
  if (this->rotation.empty()) {
    return HostId{};
  }
  const HostId next = this->rotation.back();
  this->rotation.pop_back();
  return next;
}

SendToHost Membership::GossipTo(TimePoint now, HostId receiver) {
  Gossip gossip;
  const auto known = this->members.find(receiver);
  const bool first_contact = known == this->members.end() || !known->second.heard() ||
                             now - known->second.appeared_at < kAnnounceFor;
  const bool announcing = this->own.heartbeat <= this->announce_until;
  const bool with_own_details =
      first_contact || announcing || this->gossips_sent % kRareInterval == 0;
  ++this->gossips_sent;
  const std::size_t details = this->AddAnswers(now, receiver, gossip);
  this->AddQuestions(now, gossip);
  gossip.sender = with_own_details || details > 0 ? this->own : this->WithoutDetails(this->own);
  this->AddNewest(now, first_contact ? kMaxDetails : 1, gossip);
  return {receiver, std::move(gossip)};
}

// With 32 hosts, random relaying alone left about 1 % of the members suspect at
// any moment. Asking for the longest silent ones
// spends the same traffic where it is needed.
void Membership::AddQuestions(TimePoint now, Gossip& gossip) {
  std::vector<Member*> overdue;
  for (auto& [host, member] : this->members) {
    const bool lacks_details = member.detail_incarnation < member.record.incarnation;
    const bool silent = now - member.silent_since >= kAskAfter;
    const bool asked = now - member.asked_at < kAskAgainAfter;
    const bool listed =
        std::any_of(gossip.members.begin(), gossip.members.end(),
                    [&, id = host](const MemberRecord& record) { return record.host == id; });
    if (member.heard() && member.judgement != MemberState::kDead && !asked && !listed &&
        (lacks_details || silent)) {
      overdue.push_back(&member);
    }
  }
  std::sort(overdue.begin(), overdue.end(), [](const Member* left, const Member* right) {
    const bool left_known = left->detail_incarnation == left->record.incarnation;
    const bool right_known = right->detail_incarnation == right->record.incarnation;
    return std::tuple(left_known, left->judgement, left->silent_since, left->record.host) <
           std::tuple(right_known, right->judgement, right->silent_since, right->record.host);
  });
  // Some of the questions are drawn at random, so that hosts that failed
  // together and cannot be answered for do not take all the places.
  const std::size_t room = kMaxRelayedRecords - gossip.members.size();
  const std::size_t count = std::min({kMaxQuestions, overdue.size(), room});
  for (std::size_t index = 0; index < count; ++index) {
    if (index >= kMaxQuestions - kMaxRandomQuestions) {
      std::swap(overdue[index], overdue[index + this->random.Below(overdue.size() - index)]);
    }
    Member& member = *overdue[index];
    member.asked_at = now;
    MemberRecord record = this->WithoutDetails(member.record);
    // FIXME: The stale heartbeat makes a failed host look alive to a receiver
    // that is even further behind, which delays the detection beyond 3 s.
    if (member.detail_incarnation < member.record.incarnation) {
      // Older than any record, so that the answer carries the details.
      record.incarnation = 0;
      record.heartbeat = 0;
    }
    gossip.members.push_back(std::move(record));
  }
}

std::size_t Membership::AddAnswers(TimePoint now, HostId receiver, Gossip& gossip) {
  const auto owed = this->answers.find(receiver);
  if (owed == this->answers.end()) {
    return 0;
  }
  std::size_t details = 0;
  for (const Answer& answer : owed->second.list) {
    if (answer.subject == this->own.host) {
      details += answer.with_details ? 1 : 0;
      continue;
    }
    const auto found = this->members.find(answer.subject);
    const bool listed =
        std::any_of(gossip.members.begin(), gossip.members.end(),
                    [&](const MemberRecord& record) { return record.host == answer.subject; });
    if (found == this->members.end() || listed || gossip.members.size() >= kMaxRelayedRecords ||
        (!answer.with_details && now - found->second.advanced_at >= kRelayWithin)) {
      continue;
    }
    const bool with_details = answer.with_details && details < kMaxDetails;
    const MemberRecord& record = found->second.record;
    gossip.members.push_back(with_details ? record : this->WithoutDetails(record));
    details += with_details ? 1 : 0;
  }
  this->answers.erase(owed);
  return details;
}

void Membership::AddNewest(TimePoint now, std::size_t max_details, Gossip& gossip) {
  std::vector<Member*> fresh;
  for (auto& [host, member] : this->members) {
    const bool listed =
        std::any_of(gossip.members.begin(), gossip.members.end(),
                    [&, id = host](const MemberRecord& record) { return record.host == id; });
    // What was not confirmed since a pause of the own host is not passed on.
    if (member.heard() && now - member.advanced_at < kRelayWithin && !listed) {
      fresh.push_back(&member);
    }
  }
  const std::size_t room = kMaxRelayedRecords - gossip.members.size();
  const std::size_t count = std::min(room, fresh.size());
  std::partial_sort(fresh.begin(), fresh.begin() + static_cast<std::ptrdiff_t>(count), fresh.end(),
                    [](const Member* left, const Member* right) {
                      return std::tuple(left->relays, right->advanced_at, left->record.host) <
                             std::tuple(right->relays, left->advanced_at, right->record.host);
                    });
  std::size_t details = 0;
  for (std::size_t index = 0; index < count; ++index) {
    Member& member = *fresh[index];
    ++member.relays;
    const bool announce = (now - member.appeared_at < kAnnounceFor || max_details > 1) &&
                          details < max_details &&
                          member.detail_incarnation == member.record.incarnation;
    details += announce ? 1 : 0;
    gossip.members.push_back(announce ? member.record : this->WithoutDetails(member.record));
  }
}

MemberRecord Membership::WithoutDetails(MemberRecord record) const {
  record.name.clear();
  record.address.clear();
  record.domain = DomainId{};
  return record;
}

std::vector<MemberRecord> Membership::Members() const {
  std::vector<MemberRecord> result{this->own};
  for (const auto& [host, member] : this->members) {
    result.push_back(member.record);
    if (member.judgement != MemberState::kAlive) {
      result.back().state = member.judgement;
    }
  }
  return result;
}

std::vector<HostId> Membership::UsableHosts() const {
  std::vector<HostId> hosts;
  if (this->own.state == MemberState::kAlive) {
    hosts.push_back(this->own.host);
  }
  for (const auto& [host, member] : this->members) {
    if (member.usable()) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

bool Membership::HeardPeerWithin(TimePoint now, Duration window) const {
  return this->members.empty() || (this->last_heard && now - *this->last_heard <= window);
}

}  // namespace pimentopin
