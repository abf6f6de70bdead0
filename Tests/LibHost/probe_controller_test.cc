#include "Libraries/LibHost/probe_controller.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Libraries/LibHost/native_dialect.h"

namespace pimentopin {
namespace {

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
  CPPUNIT_TEST(TestResponseToAnEarlierProbeCanBeTakenForThatToTheNext);
  CPPUNIT_TEST_SUITE_END();

 public:
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProbeControllerTest);

}  // namespace
}  // namespace pimentopin
