#include "Libraries/LibHost/operator_endpoint.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <csignal>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Libraries/LibCore/scoped_signal_mask.h"
#include "Libraries/LibCore/signal_timestamp.h"
#include "Libraries/LibHttp/http_client.h"
#include "Tests/LibHost/fake_platform.h"

namespace pimentopin {
namespace {

constexpr int kStopSignal = SIGUSR1;

// The control loop does not run, like that of a host whose control thread is stuck.
class OperatorEndpointTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OperatorEndpointTest);
  CPPUNIT_TEST(TestHostIsReadyWhileItsStopSignalIsPending);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    Error error;
    // The threads that are started below inherit the mask.
    this->blocked_signal.emplace(SIG_BLOCK, std::vector<int>{kStopSignal});
    this->stop_signal.emplace(std::vector<int>{kStopSignal});
    this->peers = PeerNetwork::Create(
        this->loop.context(), "127.0.0.1:0", HostId{1}, DomainId{1}, [](const Envelope&) {}, error);
    CPPUNIT_ASSERT(this->peers);
    this->configuration = std::make_unique<ConfigurationController>(
        this->loop, this->shared_state, *this->peers, this->store, this->store,
        ConfigurationController::Settings{.clock = SteadyNow});
    this->shared_state.readiness.Write({.has_configuration = true, .has_targets = true});
    this->endpoint = OperatorEndpoint::Create(
        this->loop, this->shared_state, *this->configuration, this->store, this->objects,
        this->metrics,
        {.address = "127.0.0.1:0",
         .is_stopping = [this] { return this->stop_signal->first().has_value(); }},
        error);
    CPPUNIT_ASSERT(this->endpoint);
  }
  void tearDown() override {
    this->endpoint.reset();
    this->configuration.reset();
    this->peers.reset();
    // A signal that is handled by default would end the process.
    this->blocked_signal.reset();
    this->stop_signal.reset();
  }

  // Guards against new connections that load balancers open to a host which has been told to stop
  // and does not handle the signal.
  void TestHostIsReadyWhileItsStopSignalIsPending() {
    CPPUNIT_ASSERT_EQUAL(200, this->Readiness());
    kill(getpid(), kStopSignal);
    CPPUNIT_ASSERT_EQUAL(503, this->Readiness());
  }

 private:
  // Status of the readiness check.
  int Readiness() {
    std::promise<int> status;
    const std::unique_ptr<HttpClient> client = HttpClient::Create({});
    const auto transfer = client->Start({.method = "GET",
                                         .url = "http://" + this->endpoint->address() + "/readyz",
                                         .timeout = std::chrono::seconds(10)},
                                        {.on_headers =
                                             [&status](int code, const HttpHeaders& /*headers*/) {
                                               status.set_value(code);
                                               return true;
                                             },
                                         .on_end = [](const TransferResult& /*result*/) {}});
    return status.get_future().get();
  }

  std::optional<ScopedSignalMask> blocked_signal;
  std::optional<SignalTimestamp> stop_signal;
  ControlLoop loop;
  SharedState shared_state;
  Metrics metrics;
  RandomSource random{1};
  FakeEventQueue queue{this->random};
  FakeTable table{this->queue, this->random};
  FakeObjects objects{this->queue};
  ConfigurationStore store{this->table, this->objects, [](std::function<void()>) {}};
  std::unique_ptr<PeerNetwork> peers;
  std::unique_ptr<ConfigurationController> configuration;
  std::unique_ptr<OperatorEndpoint> endpoint;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorEndpointTest);

}  // namespace
}  // namespace pimentopin
