#include "Bench/Runner/message_slopes.h"

#include <stdexcept>
#include <string>
#include <utility>

#include "Libraries/LibDispatch/host_dispatcher.h"
#include "Libraries/LibDispatch/slot_broker.h"
#include "Libraries/LibProtocol/codec.h"

namespace pimentopin::bench {
namespace {

constexpr int kCodecRounds = 20000;
constexpr std::size_t kLengthPrefixBytes = 4;
constexpr std::size_t kTargetCounts[] = {6, 11, 18, 50};
constexpr std::size_t kHostCounts[] = {8, 32, 128, 512};
constexpr int kRequests = 20000;

std::vector<TargetId> Targets(std::size_t count) {
  std::vector<TargetId> targets;
  for (std::size_t index = 0; index < count; ++index) {
    targets.push_back(TargetId{StableHash(index, 1)});
  }
  return targets;
}

SlotRequest SampleRequest(std::size_t targets, std::uint64_t attempt) {
  return {.attempt = AttemptId{attempt},
          .service = ServiceId{1},
          .organisation = OrganisationId{attempt % 5},
          .caller = CallerId{attempt % 7},
          .budget = std::chrono::seconds(2),
          .fingerprint = Fingerprint{attempt},
          .allowed = Targets(targets)};
}

ServiceView SampleView(std::size_t targets) {
  ServiceView view{.service = ServiceId{1}, .sequence = 1};
  for (const TargetId target : Targets(targets)) {
    view.targets.push_back({.target = target, .usable_slots = 3, .free_slots = 2});
  }
  return view;
}

// Returns the size of the frame in bytes, and the CPU time in microseconds to encode
// and decode it.
std::pair<double, double> MeasureCodec(const Message& message) {
  const Envelope envelope{HostId{1}, DomainId{2}, message};
  const double cpu_before = ThreadCpuMicroseconds();
  std::size_t size = 0;
  for (int round = 0; round < kCodecRounds; ++round) {
    const std::string frame = EncodeFrame(envelope);
    Error error;
    if (!DecodeFrame(std::string_view(frame).substr(kLengthPrefixBytes), error)) {
      throw std::runtime_error("a sample message does not decode: " + error.message);
    }
    size = frame.size();
  }
  return {static_cast<double>(size), (ThreadCpuMicroseconds() - cpu_before) / kCodecRounds};
}

template <typename MakeMessage>
void AddCodecSlopes(const std::string& name, MakeMessage make_message, std::vector<Slope>& slopes) {
  std::vector<SlopePoint> sizes;
  std::vector<SlopePoint> times;
  for (const std::size_t targets : kTargetCounts) {
    const auto [size, time] = MeasureCodec(make_message(targets));
    sizes.push_back({static_cast<double>(targets), size});
    times.push_back({static_cast<double>(targets), time});
  }
  slopes.push_back(FitSlope(name + " frame", "target of the service", "bytes", std::move(sizes)));
  slopes.push_back(FitSlope(name + " codec", "target of the service", "cpu us", std::move(times)));
}

SlotBroker MakeBroker(std::size_t targets) {
  BrokerConfiguration configuration{.service = ServiceId{1}, .floor_slots = 1, .queue_limit = 1000};
  for (const TargetId target : Targets(targets)) {
    configuration.targets.push_back({.target = target, .domain = DomainId{1}, .slots = 3});
  }
  return SlotBroker(std::move(configuration));
}

struct BrokerCost {
  double cpu_us_per_request = 0;
  double view_bytes_per_s = 0;
};

// Simulates 100 requests per second, spread over the hosts. Each is granted and then
// released 20 ms later. Counts the bytes of the views that the broker sends.
BrokerCost MeasureBroker(std::size_t targets, std::size_t hosts) {
  constexpr Duration kArrivalInterval = std::chrono::milliseconds(10);
  constexpr int kServiceIntervals = 2;
  SlotBroker broker = MakeBroker(targets);
  std::vector<std::pair<HostId, SlotGrant>> outstanding_grants;
  TimePoint now{std::chrono::seconds(1000)};
  double view_bytes = 0;
  const double cpu_before = ThreadCpuMicroseconds();
  for (int index = 0; index < kRequests; ++index) {
    now += kArrivalInterval;
    const HostId host{1 + static_cast<std::uint64_t>(index) % hosts};
    auto messages =
        broker.OnRequest(now, host, DomainId{1},
                         SampleRequest(targets, static_cast<std::uint64_t>(index) + 1), false);
    for (auto& tick_message : broker.Tick(now)) {
      messages.push_back(std::move(tick_message));
    }
    for (const SendToHost& message : messages) {
      if (const auto* grant = std::get_if<SlotGrant>(&message.message)) {
        outstanding_grants.emplace_back(message.host, *grant);
      } else if (std::holds_alternative<ServiceView>(message.message)) {
        view_bytes +=
            static_cast<double>(EncodeFrame({HostId{1}, DomainId{1}, message.message}).size());
      }
    }
    if (outstanding_grants.size() > kServiceIntervals) {
      const auto [holder, grant] = outstanding_grants.front();
      outstanding_grants.erase(outstanding_grants.begin());
      broker.OnRelease(now, holder, DomainId{1},
                       {.attempt = grant.attempt,
                        .service = grant.service,
                        .target = grant.target,
                        .service_time = std::chrono::milliseconds(20)});
    }
  }
  const double seconds = kRequests * std::chrono::duration<double>(kArrivalInterval).count();
  return {(ThreadCpuMicroseconds() - cpu_before) / kRequests, view_bytes / seconds};
}

DispatchService SampleService(std::size_t targets) {
  DispatchService service{.service = ServiceId{1}, .floor_slots = 1};
  for (const TargetId target : Targets(targets)) {
    service.targets.push_back(
        {.target = target, .domain = DomainId{1}, .slots = 3, .connections = 300});
  }
  return service;
}

// Returns the CPU time in microseconds of a dispatcher per request that starts
// optimistically.
double MeasureDispatcher(std::size_t targets) {
  RandomSource random(1);
  HostDispatcher dispatcher({.self = HostId{1}, .domain = DomainId{1}}, random);
  TimePoint now{std::chrono::seconds(1000)};
  dispatcher.Configure(now, {SampleService(targets)});
  dispatcher.SetMembers(now, {HostId{1}});
  ServiceView view = SampleView(targets);
  const std::vector<TargetId> allowed = Targets(targets);
  const double cpu_before = ThreadCpuMicroseconds();
  for (std::uint64_t index = 1; index <= kRequests; ++index) {
    now += std::chrono::milliseconds(10);
    view.sequence = index + 1;
    dispatcher.OnView(now, HostId{1}, view);
    const auto actions = dispatcher.Begin(now, {.request = RequestId{index},
                                                .service = ServiceId{1},
                                                .idempotent = true,
                                                .deadline = now + std::chrono::seconds(2),
                                                .fingerprint = Fingerprint{index},
                                                .allowed = allowed});
    for (const DispatchAction& action : actions) {
      if (const auto* start = std::get_if<StartAttempt>(&action)) {
        dispatcher.OnHeader(now, start->attempt, {.status = 200});
        dispatcher.OnAttemptEnd(now, start->attempt,
                                {.may_have_been_sent = true, .service_time = Duration(20000)});
      }
    }
    dispatcher.Tick(now);
  }
  return (ThreadCpuMicroseconds() - cpu_before) / kRequests;
}

}  // namespace

std::vector<Slope> MeasureMessageSlopes() {
  std::vector<Slope> slopes;
  AddCodecSlopes(
      "SlotRequest", [](std::size_t targets) { return Message(SampleRequest(targets, 1)); },
      slopes);
  AddCodecSlopes(
      "SlotClaim",
      [](std::size_t) {
        return Message(SlotClaim{AttemptId{1}, ServiceId{1}, TargetId{1}});
      },
      slopes);
  AddCodecSlopes(
      "SlotGrant",
      [](std::size_t) {
        return Message(SlotGrant{AttemptId{1}, ServiceId{1}, TargetId{1}});
      },
      slopes);
  AddCodecSlopes(
      "SlotRelease",
      [](std::size_t) {
        return Message(SlotRelease{.attempt = AttemptId{1}, .service_time = Duration(20000)});
      },
      slopes);
  AddCodecSlopes(
      "ServiceView", [](std::size_t targets) { return Message(SampleView(targets)); }, slopes);
  return slopes;
}

std::vector<Slope> MeasureBrokerSlopes() {
  constexpr std::size_t kTargets = 11;
  constexpr std::size_t kHosts = 32;
  std::vector<SlopePoint> by_target;
  std::vector<SlopePoint> dispatcher;
  for (const std::size_t targets : kTargetCounts) {
    const auto axis_value = static_cast<double>(targets);
    by_target.push_back({axis_value, MeasureBroker(targets, kHosts).cpu_us_per_request});
    dispatcher.push_back({axis_value, MeasureDispatcher(targets)});
  }
  std::vector<SlopePoint> by_host;
  std::vector<SlopePoint> views;
  for (const std::size_t hosts : kHostCounts) {
    const BrokerCost cost = MeasureBroker(kTargets, hosts);
    by_host.push_back({static_cast<double>(hosts), cost.cpu_us_per_request});
    views.push_back({static_cast<double>(hosts), cost.view_bytes_per_s});
  }
  return {FitSlope("broker request", "target of the service", "cpu us", std::move(by_target)),
          FitSlope("broker request", "host that uses the service", "cpu us", std::move(by_host)),
          FitSlope("broker views at 100 requests/s", "host that uses the service", "bytes/s",
                   std::move(views)),
          FitSlope("dispatcher request", "target of the service", "cpu us", std::move(dispatcher))};
}

}  // namespace pimentopin::bench
