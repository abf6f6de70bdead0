#include "Libraries/LibHost/probe_controller.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Libraries/LibHost/native_dialect.h"
#include "Tests/LibHttp/http_test_support.h"

namespace pimentopin {
namespace {

struct ProbeOutcome {
  AttemptResult result = AttemptResult::kSuccess;
  bool found_draining = false;

  friend bool operator==(const ProbeOutcome&, const ProbeOutcome&) = default;
};

class IgnoredTransfer : public Transfer {
 public:
  void Cancel() override {}
  void Pause() override {}
  void Resume() override {}
};

class RecordingClient : public HttpClient {
 public:
  std::shared_ptr<Transfer> Start(HttpClientRequest request,
                                  TransferCallbacks /*callbacks*/) override {
    this->requests.push_back(std::move(request));
    return std::make_shared<IgnoredTransfer>();
  }

  std::vector<HttpClientRequest> requests;
};

class ProbeControllerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProbeControllerTest);
  CPPUNIT_TEST(TestDrainingTargetIsFound);
  CPPUNIT_TEST(TestMalformedStatusIsBelieved);
  CPPUNIT_TEST(TestResponseToAnEarlierProbeCanBeTakenForThatToTheNext);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against probes whose response has no effect.
  void TestDrainingTargetIsFound() {
    CPPUNIT_ASSERT((ProbeOutcome{AttemptResult::kSuccess, true}) == Probe("HTTP/1.1 200 OK"));
    CPPUNIT_ASSERT((ProbeOutcome{AttemptResult::kServerError, true}) ==
                   Probe("HTTP/1.1 503 Service Unavailable"));
  }

  // Guards against a target that counts as healthy or draining because of a response whose status
  // HTTP does not define.
  void TestMalformedStatusIsBelieved() {
    std::string believed;
    for (const std::string status :
         {"000 Unknown", "099 Unknown", "20 OK", "2000 OK", "-200 OK", "+200 OK", "0200 OK",
          "200x OK", "abc", "OK", "", "101 Switch", "600 Unknown", "999 Unknown"}) {
      for (const std::string before : {"", "HTTP/1.1 103 Early Hints\r\n\r\n"}) {
        const ProbeOutcome outcome = Probe(before + "HTTP/1.1 " + status);
        if (outcome.result != AttemptResult::kTruncated || outcome.found_draining) {
          believed += "\n" + before + status + ": result " +
                      std::to_string(static_cast<int>(outcome.result)) +
                      (outcome.found_draining ? ", draining" : "");
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), believed);
  }

  // Guards against a late copy of a response, by which a target seems to leave or to be healthy.
  void TestResponseToAnEarlierProbeCanBeTakenForThatToTheNext() {
    ControlLoop loop;
    SharedState shared_state;
    RecordingClient client;
    ProbeController probes(loop, shared_state, client,
                           {.self = HostId{1},
                            .domain = DomainId{1},
                            .interval = std::chrono::seconds(3),
                            .dialect = std::make_shared<NativeDialect>(),
                            .on_observation = [](ServiceId, const HealthObservation&) {},
                            .on_target_draining = [] {}});
    Configuration configuration;
    configuration.targets.push_back(
        {.name = "target-0", .service = "parts", .address = "127.0.0.1:1"});
    shared_state.configuration.Write(std::move(configuration));
    // An isolated host probes each target itself.
    shared_state.readiness.Write(Readiness{.isolated = true});
    for (int second = 1; second <= 5; ++second) {
      probes.Tick(TimePoint(std::chrono::seconds(second)));
    }
    CPPUNIT_ASSERT(client.requests.size() >= 2);
    for (const HttpClientRequest& request : client.requests) {
      // A request with an empty id has a connection of its own.
      CPPUNIT_ASSERT(request.echoed_id == std::string());
    }
  }

 private:
  // Probes a target that answers with this status line and the header of a draining target.
  static ProbeOutcome Probe(const std::string& status_line) {
    asio::io_context context;
    RawServer server(context);
    ControlLoop loop;
    SharedState shared_state;
    Configuration configuration;
    configuration.services = {{.name = "booking"}};
    configuration.targets = {{.name = "a", .service = "booking", .address = server.address()}};
    shared_state.configuration.Write(configuration);
    // An isolated host probes every target.
    shared_state.readiness.Write({.isolated = true});
    const auto client = HttpClient::Create({});
    std::optional<ProbeOutcome> outcome;
    bool found_draining = false;
    ProbeController controller(loop, shared_state, *client,
                               {.dialect = std::make_shared<NativeDialect>(),
                                .on_observation =
                                    [&](ServiceId, const HealthObservation& observation) {
                                      outcome = ProbeOutcome{observation.result, found_draining};
                                      loop.Stop();
                                    },
                                .on_target_draining = [&] { found_draining = true; }});
    const TimePoint now = SteadyNow();
    controller.Tick(now);
    controller.Tick(now + std::chrono::seconds(1));
    RawConnection connection = server.Accept();
    connection.ReadUntil("\r\n\r\n");
    connection.Send(status_line + "\r\nTarget-State: draining\r\nContent-Length: 2\r\n\r\nok");
    loop.Run();
    return outcome.value();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProbeControllerTest);

}  // namespace
}  // namespace pimentopin
