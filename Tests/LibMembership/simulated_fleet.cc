#include "Tests/LibMembership/simulated_fleet.h"

#include <algorithm>
#include <stdexcept>

#include "Libraries/LibProtocol/codec.h"

namespace pimentopin {

SimulatedFleet::SimulatedFleet(std::uint64_t seed) : random(seed) {}

void SimulatedFleet::StartMany(std::size_t count) {
  for (std::size_t index = 0; index < count; ++index) {
    this->Start("entry-" + std::to_string(index), 1'800'000'000'000 + index);
  }
}

HostId SimulatedFleet::Start(const std::string& name, std::uint64_t incarnation) {
  MemberRecord record;
  record.host = IdFromName<HostId>(name);
  record.name = name;
  // As long as the addresses of a real deployment.
  record.address = "10.20.130." + std::to_string(this->starts % 250) + ":" +
                   std::to_string(20000 + this->starts);
  record.domain = DomainId{1 + this->starts % 3};
  record.incarnation = incarnation;
  ++this->starts;
  const auto host = std::make_shared<Host>(record, this->random.Next());
  std::vector<HostId> others = this->Running();
  std::erase(others, record.host);
  std::shuffle(others.begin(), others.end(), this->random.generator());
  std::vector<MemberRecord> seeds;
  for (const HostId other : others) {
    if (seeds.size() < 3) {
      const MemberRecord& known = this->hosts.at(other)->membership.self();
      seeds.push_back({.name = known.name, .address = known.address});
    }
  }
  host->membership.AddSeeds(this->now, seeds);
  this->hosts[record.host] = host;
  const auto phase = static_cast<Duration::rep>(this->random.Below(100'000));
  this->At(this->now + Duration(phase), [this, weak = std::weak_ptr(host)] { this->Tick(weak); });
  return record.host;
}

void SimulatedFleet::Stop(HostId host) {
  this->hosts.erase(host);
}

void SimulatedFleet::Pause(HostId host) {
  this->hosts.at(host)->paused = true;
}

void SimulatedFleet::Resume(HostId host) {
  const auto resumed = this->hosts.at(host);
  resumed->paused = false;
  // Timers that are due and buffered input are handled in any order.
  std::shuffle(resumed->held.begin(), resumed->held.end(), this->random.generator());
  for (const auto& run : std::exchange(resumed->held, {})) {
    run();
  }
}

void SimulatedFleet::RunFor(Duration duration) {
  const TimePoint end = this->now + duration;
  while (this->Step(end)) {
  }
  this->now = end;
}

std::optional<Duration> SimulatedFleet::RunUntil(const std::function<bool()>& condition,
                                                 Duration limit) {
  const TimePoint start = this->now;
  while (!condition()) {
    if (this->now - start > limit) {
      return std::nullopt;
    }
    this->RunFor(std::chrono::milliseconds(20));
  }
  return this->now - start;
}

void SimulatedFleet::At(TimePoint at, std::function<void()> run) {
  this->events.push({at, this->sequence++, std::move(run)});
}

bool SimulatedFleet::Step(TimePoint limit) {
  if (this->events.empty() || this->events.top().at > limit) {
    return false;
  }
  const Event event = this->events.top();
  this->events.pop();
  this->now = event.at;
  event.run();
  return true;
}

void SimulatedFleet::RunAt(const std::weak_ptr<Host>& weak, const std::function<void()>& run) {
  const auto host = weak.lock();
  if (host == nullptr) {
    return;
  }
  if (host->paused) {
    host->held.push_back(run);
    return;
  }
  run();
}

void SimulatedFleet::Tick(const std::weak_ptr<Host>& weak) {
  this->RunAt(weak, [this, weak] {
    const auto host = weak.lock();
    for (SendToHost& send : host->membership.Tick(this->now)) {
      std::get<Gossip>(send.message).leaving_targets = host->leaving.Notices(this->now, 8);
      this->Send(*host, send.host, std::move(send.message));
    }
    host->leaving.Tick(this->now);
    std::vector<MemberRecord> alive;
    for (const MemberRecord& member : host->membership.Members()) {
      if (member.state == MemberState::kAlive || member.state == MemberState::kLeaving) {
        alive.push_back(member);
      }
    }
    host->tracker.SetMembers(std::move(alive));
    this->Perform(*host, host->tracker.Tick(this->now));
    this->At(this->now + std::chrono::milliseconds(100), [this, weak] { this->Tick(weak); });
  });
}

void SimulatedFleet::Send(Host& from, HostId to, Message message) {
  const HostId sender = from.membership.self().host;
  if (this->use_codec) {
    const std::string frame =
        EncodeFrame({sender, from.membership.self().domain, std::move(message)});
    from.bytes_sent += frame.size();
    Error error;
    const auto decoded = DecodeFrame(std::string_view(frame).substr(kFramePrefixBytes), error);
    if (!decoded) {
      throw std::runtime_error(error.message);
    }
    message = decoded->message;
  }
  const bool lost = this->random.Unit() < this->loss || this->cuts.contains({sender, to}) ||
                    (this->filter && !this->filter(sender, to, message));
  const auto receiver = this->hosts.find(to);
  if (lost || receiver == this->hosts.end()) {
    return;
  }
  const auto delay =
      500 + this->random.Below(static_cast<std::uint64_t>(this->max_latency.count()));
  this->At(this->now + Duration(static_cast<Duration::rep>(delay)),
           [this, sender, weak = std::weak_ptr(receiver->second), message = std::move(message)] {
             this->RunAt(weak, [this, sender, weak, message] {
               this->Deliver(*weak.lock(), sender, message);
             });
           });
}

void SimulatedFleet::Deliver(Host& host, HostId sender, const Message& message) {
  if (const auto* gossip = std::get_if<Gossip>(&message)) {
    host.membership.OnGossip(this->now, *gossip);
    host.leaving.Merge(this->now, gossip->leaving_targets);
    this->Perform(host, host.tracker.OnRevisionSeen(this->now, sender,
                                                    gossip->sender.configuration_revision));
  } else if (const auto* offer = std::get_if<ConfigurationOffer>(&message)) {
    this->Perform(host, host.tracker.OnOffer(this->now, sender, *offer));
  } else if (const auto* request = std::get_if<ConfigurationRequest>(&message)) {
    this->Perform(host, host.tracker.OnRequest(this->now, sender, *request));
  } else if (const auto* document = std::get_if<ConfigurationDocument>(&message)) {
    this->Perform(host, host.tracker.OnDocument(this->now, *document));
  }
}

void SimulatedFleet::Perform(Host& host, const std::vector<ConfigurationAction>& actions) {
  for (const ConfigurationAction& action : actions) {
    if (const auto* send = std::get_if<SendToHost>(&action)) {
      this->Send(host, send->host, send->message);
    } else if (const auto* adopt = std::get_if<AdoptConfiguration>(&action)) {
      const std::uint64_t revision = adopt->document.revision;
      this->reverted = this->reverted || (!host.adopted.empty() && host.adopted.back() >= revision);
      host.adopted.push_back(revision);
      host.membership.SetConfigurationRevision(revision);
    } else {
      this->Poll(host);
    }
  }
}

void SimulatedFleet::Poll(Host& host) {
  ++host.polls;
  if (!this->table_up) {
    return;
  }
  const std::weak_ptr<Host> weak = this->hosts.at(host.membership.self().host);
  const auto delay = static_cast<Duration::rep>(2000 + this->random.Below(20'000));
  this->At(this->now + Duration(delay), [this, weak, row = this->table_row] {
    this->RunAt(weak, [this, weak, row] {
      const auto reader = weak.lock();
      reader->tracker.OnTableAnswered(this->now);
      if (row) {
        this->Perform(*reader, reader->tracker.OnDocument(this->now, *row));
      }
    });
  });
}

ConfigurationDocument SimulatedFleet::Document(std::uint64_t revision, std::size_t size) {
  return {.revision = revision, .base_revision = revision - 1, .content = std::string(size, 'x')};
}

void SimulatedFleet::Commit(HostId host, std::uint64_t revision) {
  const ConfigurationDocument document = Document(revision, this->document_size);
  if (this->table_up) {
    this->table_row = document;
  }
  this->DeliverDocument(host, revision);
}

void SimulatedFleet::DeliverDocument(HostId host, std::uint64_t revision) {
  Host& receiver = *this->hosts.at(host);
  const ConfigurationDocument document = Document(revision, this->document_size);
  this->Perform(receiver, receiver.tracker.OnDocument(this->now, document));
}

bool SimulatedFleet::InForce(HostId host, std::uint64_t revision) const {
  return this->hosts.at(host)->tracker.revision() == revision;
}

bool SimulatedFleet::InForceEverywhere(std::uint64_t revision) const {
  return std::all_of(this->hosts.begin(), this->hosts.end(), [revision](const auto& entry) {
    return entry.second->paused || entry.second->tracker.revision() == revision;
  });
}

std::vector<HostId> SimulatedFleet::Running() const {
  std::vector<HostId> result;
  for (const auto& [host, state] : this->hosts) {
    result.push_back(host);
  }
  return result;
}

bool SimulatedFleet::Sees(HostId observer, HostId subject) const {
  const auto usable = this->hosts.at(observer)->membership.UsableHosts();
  return std::find(usable.begin(), usable.end(), subject) != usable.end();
}

MemberState SimulatedFleet::StateOf(HostId observer, HostId subject) const {
  for (const MemberRecord& member : this->hosts.at(observer)->membership.Members()) {
    if (member.host == subject) {
      return member.state;
    }
  }
  return MemberState::kDead;
}

HostId SimulatedFleet::RandomHost() {
  const auto running = this->Running();
  return running[this->random.Below(running.size())];
}

}  // namespace pimentopin
