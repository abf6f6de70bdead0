#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Libraries/LibHost/dispatch_controller.h"
#include "Tests/PlatformAdapter/stream_client.h"
#include "platform/platform_dialect.h"
#include "platform/wire_names.h"

namespace pimentopin {
namespace {

constexpr const char* kService = "orders";
constexpr int kProcesses = 2;
constexpr int kRequests = 30;
constexpr std::size_t kMaxConcurrentRequests = 4;
constexpr std::size_t kMaxNames = 3;
constexpr std::uint64_t kSeeds = 6;
// No request reaches its deadline, so that the outcome does not depend on the time.
constexpr std::chrono::hours kTimeLeft(1);

enum class Ids { kOwn, kRepeated, kSome };
enum class Refusals { kOverload, kMisdirected, kBoth };
// Where a target writes the copy of a response once more.
enum class CopyPoint { kAtOnce, kBeforeNextResponse, kAfterNextResponse, kAroundNextResponse };

struct Case {
  bool idempotent = false;
  Ids ids = Ids::kOwn;
  Refusals refusals = Refusals::kOverload;
  CopyPoint point = CopyPoint::kAtOnce;
  // Copies of responses to requests that have run, besides those of refusals.
  bool copies_runs = false;
  bool callers_leave = false;

  friend bool operator==(const Case&, const Case&) = default;
};

std::vector<Case> AllCases() {
  std::vector<Case> cases;
  for (int index = 0; index < 2 * 3 * 3 * 4 * 2 * 2; ++index) {
    int rest = index;
    const auto next = [&rest](int count) { return std::exchange(rest, rest / count) % count; };
    cases.push_back({.idempotent = next(2) == 1,
                     .ids = static_cast<Ids>(next(3)),
                     .refusals = static_cast<Refusals>(next(3)),
                     .point = static_cast<CopyPoint>(next(4)),
                     .copies_runs = next(2) == 1,
                     .callers_leave = next(2) == 1});
  }
  return cases;
}

std::string Describe(const Case& item, std::uint64_t seed) {
  return fmt::format(
      "idempotent {}, ids {}, refusals {}, point {}, copies of runs {}, callers leave {}, seed {}",
      item.idempotent, static_cast<int>(item.ids), static_cast<int>(item.refusals),
      static_cast<int>(item.point), item.copies_runs, item.callers_leave, seed);
}

enum class Fault {
  kReportedAsNotRun,
  kRunTwice,
  kResponseOfAnother,
  kOneResponseBehind,
  kMarkedAsLeaving,
  kUnanswered
};

struct Findings {
  std::map<Fault, int> faults;
  // Description of the first fault of each kind.
  std::map<Fault, std::string> first;
  int requests = 0;
  int answered = 0;
  int not_run = 0;
  int copies = 0;
  // Copies that arrived where the response to a request was due.
  int taken_copies = 0;

  friend bool operator==(const Findings&, const Findings&) = default;
};

// Keeps the log of the host out of the output of the test.
class QuietLog {
 public:
  QuietLog() { spdlog::set_level(spdlog::level::err); }
  ~QuietLog() { spdlog::set_level(this->earlier); }
  QuietLog(const QuietLog&) = delete;
  QuietLog& operator=(const QuietLog&) = delete;

 private:
  const spdlog::level::level_enum earlier = spdlog::get_level();
};

class NoTable : public TableStore {
 public:
  void Read(const std::string& /*key*/, ReadCallback /*callback*/) override {}
  void Write(std::vector<ConditionalWrite> /*writes*/, WriteCallback /*callback*/) override {}
};

class RecordingResponder : public HttpResponder {
 public:
  void Start(int code, HttpHeaders /*headers*/) override { this->status = code; }
  // The bodies are too small for the flow control that a callback would serve.
  void Write(std::string bytes, std::function<void()> /*written*/) override { this->body += bytes; }
  void End() override {}
  void Abort() override { this->status = 0; }
  void Respond(int code, HttpHeaders /*headers*/, std::string bytes) override {
    this->status = code;
    this->body = std::move(bytes);
  }
  void Replace(int /*status*/, HttpHeaders /*headers*/, std::string /*body*/) override {
    this->Abort();
  }
  void OnCallerDisconnect(std::function<void()> callback) override {
    this->leave = std::move(callback);
  }

  int status = 0;
  std::string body;
  std::function<void()> leave;
};

// One host and a few target processes, which refuse some requests and write copies of responses.
class Scenario {
 public:
  Scenario(const Case& item, std::uint64_t seed, bool repeats_ids, Findings& findings)
      : item(item),
        description(Describe(item, seed)),
        findings(findings),
        random(seed),
        client(this->random,
               {.repeats_ids = repeats_ids,
                .on_request = [this](auto& connection,
                                     const auto& request) { this->OnRequest(connection, request); },
                .on_response =
                    [this](const auto& request, const auto& response) {
                      this->OnResponse(request, response);
                    }}) {
    Error error;
    this->peers = PeerNetwork::Create(
        this->loop.context(), "127.0.0.1:0", HostId{1}, DomainId{1}, [](const Envelope&) {}, error);
    this->controller = std::make_unique<DispatchController>(
        this->loop, this->shared_state, *this->peers, this->claims, this->random,
        DispatchController::Settings{
            .self = HostId{1},
            .host_name = "host-1",
            .domain_name = "zone-a",
            .clients = {&this->client},
            .dialect = std::make_shared<platform::PlatformDialect>(),
            .retry_limits = {.fraction = kRequests, .minimum_per_second = kRequests},
            .on_finished = [this](const FinishedRequest& request) { this->OnFinished(request); },
            .on_health_event = [](ServiceId, const HealthEvent&) {},
            .on_speed_change = [](ServiceId, const SpeedChange&) {},
            .on_new_notice = [] {}});
    for (int index = 0; index < kProcesses; ++index) {
      this->processes.push_back({.address = "127.0.0.1:" + std::to_string(index + 1)});
      this->Rename(this->processes.back());
      if (item.refusals != Refusals::kOverload) {
        this->Rename(this->processes.back());
      }
    }
  }

  void Play() {
    bool can_move = true;
    while (can_move || this->sent < kRequests) {
      if (this->random.Below(2) == 0 || !can_move) {
        this->RunControlLoop();
      }
      if (this->sent < kRequests && (!can_move || this->random.Below(8) == 0)) {
        this->Act();
      }
      can_move = this->client.Step();
      if (!can_move) {
        this->RunControlLoop();
        can_move = this->client.Step();
      }
    }
    this->Judge();
  }

 private:
  struct Process {
    std::string address;
    // Names under which the process is registered; it answers to the last one.
    std::vector<std::string> names;
  };
  struct Request {
    std::shared_ptr<RecordingResponder> responder = std::make_shared<RecordingResponder>();
    std::optional<FinishedRequest> finished;
    int runs = 0;
  };

  // Runs all that is due, so that the number of timers that have expired makes no difference.
  void RunControlLoop() {
    this->loop.context().restart();
    this->loop.context().poll();
  }

  // Lets a caller or a process do something.
  void Act() {
    const std::uint64_t choice = this->random.Below(8);
    if (choice == 0 && this->item.refusals != Refusals::kOverload) {
      this->Rename(this->processes[this->random.Below(this->processes.size())]);
    } else if (choice == 1 && this->item.callers_leave) {
      const auto chosen =
          std::next(this->requests.begin(), static_cast<std::ptrdiff_t>(this->random.Below(
                                                std::max<std::size_t>(1, this->requests.size()))));
      if (chosen != this->requests.end() && !chosen->second.finished) {
        chosen->second.responder->leave();
      }
    } else if (this->controller->requests_in_progress() < kMaxConcurrentRequests) {
      this->Submit();
    }
  }

  void Rename(Process& process) {
    this->CheckLeaving(process);
    process.names.push_back(process.address + "-" + std::to_string(++this->last_name));
    if (process.names.size() > kMaxNames) {
      process.names.erase(process.names.begin());
    }
    Configuration configuration;
    configuration.revision = static_cast<std::uint64_t>(this->last_name);
    configuration.services.push_back({.name = kService});
    for (const Process& item : this->processes) {
      for (const std::string& name : item.names) {
        configuration.targets.push_back({.name = name,
                                         .service = kService,
                                         .address = item.address,
                                         .domain = "zone-a",
                                         .slots = 8,
                                         .connections = 8,
                                         .instance = name});
      }
    }
    this->shared_state.configuration.Write(std::move(configuration));
  }

  void CheckLeaving(const Process& process) {
    if (!process.names.empty() &&
        this->shared_state.leaving_targets.IsLeaving(Target{.name = process.names.back()}.id())) {
      this->Report(Fault::kMarkedAsLeaving, process.names.back());
    }
  }

  void Submit() {
    const std::string path = "/" + std::to_string(++this->sent);
    Request& request = this->requests[path];
    auto exchange = std::make_shared<Exchange>();
    exchange->request = {.method = this->item.idempotent ? "GET" : "POST", .path = path};
    if (this->item.ids != Ids::kSome || this->sent % 2 == 0) {
      // A caller that repeats ids uses each for a few requests.
      const int id = this->item.ids == Ids::kRepeated ? this->sent / 3 : this->sent;
      exchange->request.headers.push_back(
          {std::string(platform::kAttemptIdHeader), std::to_string(id)});
    }
    exchange->responder = request.responder;
    exchange->request_id = path;
    exchange->service = kService;
    exchange->target_path = path;
    exchange->arrived = SteadyNow();
    exchange->description = {.service = IdFromName<ServiceId>(kService),
                             .idempotent = this->item.idempotent,
                             .deadline = exchange->arrived + kTimeLeft};
    for (const Target& target : this->shared_state.configuration.Read()->targets) {
      exchange->description.allowed.push_back(target.id());
    }
    this->controller->Submit(std::move(exchange));
  }

  // A target process reads a request and answers it.
  void OnRequest(StreamClient::Connection& connection, const HttpClientRequest& request) {
    const std::string path = request.url.substr(request.url.rfind('/'));
    std::vector<StreamedResponse> due = std::exchange(this->due_copies[connection.local_port], {});
    const CopyPoint point = this->item.point;
    if (point == CopyPoint::kBeforeNextResponse || point == CopyPoint::kAroundNextResponse) {
      this->WriteCopies(connection, due);
    }
    const StreamedResponse response = this->Answer(connection, request, path);
    connection.responses.push_back(response);
    if (point == CopyPoint::kAfterNextResponse || point == CopyPoint::kAroundNextResponse) {
      this->WriteCopies(connection, due);
    }
    const bool has_run = !response.body.empty();
    if ((!has_run || this->item.copies_runs) && this->random.Below(2) == 0) {
      due = {response};
      if (point == CopyPoint::kAtOnce) {
        this->WriteCopies(connection, due);
      } else {
        this->due_copies[connection.local_port] = due;
      }
    }
  }

  StreamedResponse Answer(const StreamClient::Connection& connection,
                          const HttpClientRequest& request,
                          const std::string& path) {
    const auto process = std::find_if(
        this->processes.begin(), this->processes.end(),
        [&](const Process& item) { return "http://" + item.address == connection.address; });
    StreamedResponse response{.path = path};
    const std::string id(FindHeader(request.headers, platform::kAttemptIdHeader));
    const bool is_other =
        FindHeader(request.headers, platform::kExpectInstanceHeader) != process->names.back();
    const bool is_full =
        this->item.refusals != Refusals::kMisdirected && this->random.Below(3) == 0;
    if (is_other || is_full) {
      response.status = is_other ? 421 : 503;
      response.headers.push_back({std::string(platform::kNotExecutedHeader), "1"});
    } else {
      ++this->requests.at(path).runs;
      response.status = this->random.Below(8) == 0 ? 500 : 200;
      response.body = path;
      if (response.status == 200) {
        response.headers.push_back({std::string(platform::kResponseSealHeader), "seal"});
      }
    }
    // Refusals and failures may name no request.
    if (!id.empty() && (response.status == 200 || this->random.Below(4) > 0)) {
      response.headers.push_back({std::string(platform::kAttemptIdHeader), id});
    }
    response.headers.push_back({"Content-Length", std::to_string(response.body.size())});
    return response;
  }

  void WriteCopies(StreamClient::Connection& connection,
                   const std::vector<StreamedResponse>& responses) {
    for (StreamedResponse copy : responses) {
      copy.is_copy = true;
      connection.responses.push_back(std::move(copy));
      ++this->findings.copies;
    }
  }

  void OnResponse(const HttpClientRequest& request, const StreamedResponse& response) {
    if (response.is_copy) {
      ++this->findings.taken_copies;
    } else if (!request.url.ends_with(response.path)) {
      this->Report(Fault::kOneResponseBehind, request.url + " gets " + response.path);
    }
  }

  void OnFinished(const FinishedRequest& finished) {
    this->requests.at(finished.request_id).finished = finished;
  }

  void Judge() {
    for (const auto& [path, request] : this->requests) {
      ++this->findings.requests;
      if (!request.finished) {
        this->Report(Fault::kUnanswered, path);
        continue;
      }
      const FinishedRequest& finished = *request.finished;
      const bool promises_not_run =
          finished.outcome == Outcome::kNotRun || finished.status == 421 || finished.status == 503;
      const bool is_answered = finished.outcome == Outcome::kTarget && !finished.abandoned;
      this->findings.not_run += promises_not_run ? 1 : 0;
      this->findings.answered += is_answered ? 1 : 0;
      if (promises_not_run && request.runs > 0) {
        this->Report(Fault::kReportedAsNotRun, path);
      }
      if (!this->item.idempotent && request.runs > 1) {
        this->Report(Fault::kRunTwice, path);
      }
      if (is_answered && (request.responder->body != path || request.runs == 0)) {
        this->Report(Fault::kResponseOfAnother, path + " gets " + request.responder->body);
      }
    }
    for (const Process& process : this->processes) {
      this->CheckLeaving(process);
    }
  }

  void Report(Fault fault, const std::string& what) {
    ++this->findings.faults[fault];
    this->findings.first.try_emplace(fault, this->description + ": " + what);
  }

  const Case item;
  const std::string description;
  Findings& findings;
  RandomSource random;
  StreamClient client;
  std::vector<Process> processes;
  std::map<std::string, Request> requests;
  // Responses of which a copy is still to be written, by local port of the connection.
  std::map<int, std::vector<StreamedResponse>> due_copies;
  int last_name = 0;
  int sent = 0;
  ControlLoop loop;
  SharedState shared_state;
  NoTable table;
  ClaimStore claims{this->table, [](TimePoint) {}, [](const ClaimKey&, AttemptId) {},
                    [](const ClaimKey&, const pimentopin::Findings&) {}};
  std::unique_ptr<PeerNetwork> peers;
  std::unique_ptr<DispatchController> controller;
};

Findings PlayAllCases(bool repeats_ids, std::uint64_t seeds) {
  const QuietLog quiet;
  Findings findings;
  for (const Case& item : AllCases()) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      Scenario(item, seed, repeats_ids, findings).Play();
    }
  }
  std::cout << "Copied responses" << (repeats_ids ? ", ids repeated" : "") << ": "
            << findings.requests << " requests, " << findings.answered << " answered, "
            << findings.not_run << " not run, " << findings.copies << " copies, "
            << findings.taken_copies << " taken for responses";
  for (const auto& [fault, count] : findings.faults) {
    std::cout << ", fault " << static_cast<int>(fault) << ": " << count;
  }
  std::cout << '\n';
  return findings;
}

class CopiedResponseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CopiedResponseTest);
  CPPUNIT_TEST(TestRequestReportedAsNotRunRuns);
  CPPUNIT_TEST(TestNonIdempotentRequestRunsTwice);
  CPPUNIT_TEST(TestResponseToAnotherRequestIsForwarded);
  CPPUNIT_TEST(TestConnectionStaysOneResponseBehind);
  CPPUNIT_TEST(TestCopyMarksASoundTargetAsLeaving);
  CPPUNIT_TEST(TestCopyLeavesARequestUnanswered);
  CPPUNIT_TEST(TestModelMissesAnIdThatIsSentTwice);
  CPPUNIT_TEST(TestSeedDoesNotReproduceTheScenario);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a copy of a refusal that is taken for the refusal of the request that runs.
  void TestRequestReportedAsNotRunRuns() { AssertNone(Fault::kReportedAsNotRun); }
  // Guards against a retry after a copy of a refusal.
  void TestNonIdempotentRequestRunsTwice() { AssertNone(Fault::kRunTwice); }
  // Guards against a copy of a response that is taken for the response to another request.
  void TestResponseToAnotherRequestIsForwarded() { AssertNone(Fault::kResponseOfAnother); }
  // Guards against a copy that costs more than one attempt, as its connection is kept.
  void TestConnectionStaysOneResponseBehind() { AssertNone(Fault::kOneResponseBehind); }
  // Guards against a copy of the refusal to another target name of the address.
  void TestCopyMarksASoundTargetAsLeaving() { AssertNone(Fault::kMarkedAsLeaving); }
  // Guards against a request that waits for a response that another one got.
  void TestCopyLeavesARequestUnanswered() { AssertNone(Fault::kUnanswered); }

  // Guards against a model in which no copy can do harm.
  void TestModelMissesAnIdThatIsSentTwice() {
    const Findings findings = PlayAllCases(true, 1);
    for (const Fault fault :
         {Fault::kReportedAsNotRun, Fault::kRunTwice, Fault::kResponseOfAnother}) {
      CPPUNIT_ASSERT(findings.faults.contains(fault));
    }
  }

  // Guards against a failure that its seed does not reproduce.
  void TestSeedDoesNotReproduceTheScenario() {
    CPPUNIT_ASSERT(PlayAllCases(false, 1) == PlayAllCases(false, 1));
  }

 private:
  static void AssertNone(Fault fault) {
    static const Findings kFindings = PlayAllCases(false, kSeeds);
    CPPUNIT_ASSERT(kFindings.answered > 0 && kFindings.not_run > 0 && kFindings.taken_copies > 0);
    const auto first = kFindings.first.find(fault);
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         first == kFindings.first.end() ? std::string() : first->second);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CopiedResponseTest);

}  // namespace
}  // namespace pimentopin
