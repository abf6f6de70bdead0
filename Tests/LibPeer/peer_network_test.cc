#include "Libraries/LibPeer/peer_network.h"

#include <cppunit/extensions/HelperMacros.h>
#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include <vector>

#include "Libraries/LibPeer/endpoint.h"
#include "Libraries/LibProtocol/codec.h"

namespace pimentopin {
namespace {

constexpr HostId kHostA{1};
constexpr HostId kHostB{2};
constexpr DomainId kDomain{9};

// A PeerNetwork and the envelopes that it received.
struct Host {
  Host(asio::io_context& context, HostId id, const std::string& address = "127.0.0.1:0") {
    this->network = PeerNetwork::Create(
        context, address, id, kDomain,
        [this](const Envelope& envelope) { this->received.push_back(envelope); }, this->error);
  }

  Error error;
  std::vector<Envelope> received;
  std::unique_ptr<PeerNetwork> network;
};

Message MakeOffer(std::uint64_t revision) {
  return ConfigurationOffer{revision};
}

class PeerNetworkTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerNetworkTest);
  CPPUNIT_TEST(TestMessagesArriveInOrder);
  CPPUNIT_TEST(TestLargeMessage);
  CPPUNIT_TEST(TestReconnectAfterRestartOfPeer);
  CPPUNIT_TEST(TestConnectsToPeerThatStartsLater);
  CPPUNIT_TEST(TestChangedAddress);
  CPPUNIT_TEST(TestRemovedPeerReceivesNothing);
  CPPUNIT_TEST(TestMalformedFrameClosesOnlyItsConnection);
  CPPUNIT_TEST(TestBacklogOfUnresponsivePeerIsBounded);
  CPPUNIT_TEST(TestDropFilterAffectsOneDirection);
  CPPUNIT_TEST(TestDestructionWithPendingOperations);
  CPPUNIT_TEST(TestInvalidAddresses);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestMessagesArriveInOrder() {
    Host a(this->context, kHostA);
    Host b(this->context, kHostB);
    a.network->SetPeer(kHostB, b.network->address());
    for (std::uint64_t revision = 1; revision <= 1000; ++revision) {
      a.network->Send(kHostB, MakeOffer(revision));
    }
    this->RunUntil([&] { return b.received.size() == 1000; });
    for (std::uint64_t index = 0; index < 1000; ++index) {
      CPPUNIT_ASSERT((b.received[index] == Envelope{kHostA, kDomain, MakeOffer(index + 1)}));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1000}, a.network->counters().frames_sent);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, a.network->counters().frames_dropped);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, a.network->counters().connections_opened);
  }

  // Guards against a configuration document that is lost because it is larger than
  // the backlog or the read buffer.
  void TestLargeMessage() {
    Host a(this->context, kHostA);
    Host b(this->context, kHostB);
    a.network->SetPeer(kHostB, b.network->address());
    const ConfigurationDocument document{.revision = 3, .content = std::string(1'000'000, 'x')};
    a.network->Send(kHostB, document);
    this->RunUntil([&] { return !b.received.empty(); });
    CPPUNIT_ASSERT(b.received.front().message == Message(document));
  }

  // Guards against a link that does not reconnect after the peer was replaced at the
  // same address.
  void TestReconnectAfterRestartOfPeer() {
    Host a(this->context, kHostA);
    auto b = std::make_unique<Host>(this->context, kHostB);
    const std::string address = b->network->address();
    a.network->SetPeer(kHostB, address);
    a.network->Send(kHostB, MakeOffer(1));
    this->RunUntil([&] { return b->received.size() == 1; });
    b.reset();
    b = std::make_unique<Host>(this->context, kHostB, address);
    CPPUNIT_ASSERT(b->network != nullptr);
    // A frame that is written before the host detects the closed connection may be
    // lost.
    std::uint64_t revision = 1;
    this->RunUntil([&] {
      a.network->Send(kHostB, MakeOffer(++revision));
      return !b->received.empty();
    });
    CPPUNIT_ASSERT(a.network->counters().connections_opened >= 2);
  }

  // Guards against a host that stops connecting to a peer after the first refused
  // connection.
  void TestConnectsToPeerThatStartsLater() {
    Host a(this->context, kHostA);
    std::string address;
    {
      const Host reserved(this->context, kHostB);
      address = reserved.network->address();
    }
    a.network->SetPeer(kHostB, address);
    a.network->Send(kHostB, MakeOffer(1));
    this->context.run_for(std::chrono::milliseconds(200));
    Host b(this->context, kHostB, address);
    this->RunUntil([&] { return !b.received.empty(); });
    CPPUNIT_ASSERT(b.received.front().message == MakeOffer(1));
  }

  void TestChangedAddress() {
    Host a(this->context, kHostA);
    Host b(this->context, kHostB);
    Host restarted(this->context, kHostB);
    a.network->SetPeer(kHostB, b.network->address());
    a.network->Send(kHostB, MakeOffer(1));
    this->RunUntil([&] { return b.received.size() == 1; });
    a.network->SetPeer(kHostB, restarted.network->address());
    a.network->Send(kHostB, MakeOffer(2));
    this->RunUntil([&] { return restarted.received.size() == 1; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, b.received.size());
  }

  void TestRemovedPeerReceivesNothing() {
    Host a(this->context, kHostA);
    Host b(this->context, kHostB);
    a.network->SetPeer(kHostB, b.network->address());
    a.network->Send(kHostB, MakeOffer(1));
    this->RunUntil([&] { return b.received.size() == 1; });
    a.network->RemovePeer(kHostB);
    a.network->Send(kHostB, MakeOffer(2));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, a.network->counters().frames_dropped);
    this->context.run_for(std::chrono::milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, b.received.size());
  }

  // Guards against a faulty peer that disrupts the connections of others, and against
  // handling data that follows a malformed frame.
  void TestMalformedFrameClosesOnlyItsConnection() {
    Host a(this->context, kHostA);
    Host b(this->context, kHostB);
    a.network->SetPeer(kHostB, b.network->address());
    a.network->Send(kHostB, MakeOffer(1));
    this->RunUntil([&] { return b.received.size() == 1; });
    const std::string valid = EncodeFrame({kHostA, kDomain, MakeOffer(7)});
    const std::string bad_payload = std::string("\x08\0\0\0", 4) + "garbage!" + valid;
    const std::string bad_length = std::string("\xff\xff\xff\xff", 4) + valid;
    std::uint64_t expected = 0;
    for (const std::string& bytes : {bad_payload, bad_length}) {
      Error error;
      asio::ip::tcp::socket socket(this->context);
      socket.connect(*ParseEndpoint(b.network->address(), error));
      asio::write(socket, asio::buffer(bytes));
      ++expected;
      bool closed = false;
      std::array<char, 1> input{};
      socket.async_read_some(asio::buffer(input), [&](const asio::error_code& failure,
                                                      std::size_t) { closed = bool(failure); });
      this->RunUntil([&] { return closed; });
      CPPUNIT_ASSERT_EQUAL(expected, b.network->counters().malformed_frames);
    }
    a.network->Send(kHostB, MakeOffer(2));
    this->RunUntil([&] { return b.received.size() == 2; });
    CPPUNIT_ASSERT(b.received.back().message == MakeOffer(2));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, a.network->counters().connections_opened);
  }

  // Guards against memory use that grows while a peer is paused, and against dropping
  // new frames instead of old ones.
  void TestBacklogOfUnresponsivePeerIsBounded() {
    Host a(this->context, kHostA);
    // The kernel accepts the connection, but nothing reads from it.
    asio::ip::tcp::acceptor paused(this->context,
                                   asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    a.network->SetPeer(kHostB, FormatEndpoint(paused.local_endpoint()));
    const std::string content(10'000, 'x');
    constexpr std::uint64_t kFrames = 3000;
    for (std::uint64_t revision = 1; revision <= kFrames; ++revision) {
      a.network->Send(kHostB, ConfigurationDocument{.revision = revision, .content = content});
      this->context.poll();
    }
    const PeerCounters counters = a.network->counters();
    CPPUNIT_ASSERT(counters.frames_dropped > 0);
    const std::uint64_t buffered_frames = kFrames - counters.frames_dropped - counters.frames_sent;
    // The backlog and one write operation of at most 64 KiB plus one frame.
    CPPUNIT_ASSERT(buffered_frames * content.size() <= PeerNetwork::kMaxBacklogBytes + 80'000);
    // The peer receives the newest frame once it reads again.
    asio::ip::tcp::socket resumed = paused.accept();
    std::string stream(1 << 16, '\0');
    std::string received;
    const std::string newest = EncodeFrame(
        {kHostA, kDomain, ConfigurationDocument{.revision = kFrames, .content = content}});
    resumed.non_blocking(true);
    this->RunUntil([&] {
      asio::error_code failure;
      const std::size_t bytes = resumed.read_some(asio::buffer(stream), failure);
      received += stream.substr(0, bytes);
      return received.ends_with(newest);
    });
  }

  // Guards against a simulated one-way failure that also affects the other
  // direction.
  void TestDropFilterAffectsOneDirection() {
    Host a(this->context, kHostA);
    Host b(this->context, kHostB);
    a.network->SetPeer(kHostB, b.network->address());
    b.network->SetPeer(kHostA, a.network->address());
    b.network->SetDropFilter([](HostId from) { return from == kHostA; });
    a.network->Send(kHostB, MakeOffer(1));
    b.network->Send(kHostA, MakeOffer(2));
    this->RunUntil([&] { return a.received.size() == 1; });
    this->context.run_for(std::chrono::milliseconds(20));
    CPPUNIT_ASSERT(b.received.empty());
    b.network->SetDropFilter({});
    a.network->Send(kHostB, MakeOffer(3));
    this->RunUntil([&] { return b.received.size() == 1; });
    CPPUNIT_ASSERT(b.received.front().message == MakeOffer(3));
  }

  // Guards against callbacks that access freed memory and against an io_context that
  // never runs out of work after its networks were destroyed.
  void TestDestructionWithPendingOperations() {
    {
      Host a(this->context, kHostA);
      Host b(this->context, kHostB);
      a.network->SetPeer(kHostB, b.network->address());
      a.network->SetPeer(HostId{3}, "127.0.0.1:1");
      a.network->Send(HostId{3}, MakeOffer(1));
      a.network->Send(kHostB, MakeOffer(1));
      this->RunUntil([&] { return b.received.size() == 1; });
      a.network->Send(kHostB, MakeOffer(2));
    }
    this->context.restart();
    this->context.run();
    CPPUNIT_ASSERT(this->context.stopped());
  }

  void TestInvalidAddresses() {
    for (const char* address : {"", "127.0.0.1", "localhost:1", "127.0.0.1:", "127.0.0.1:70000",
                                "127.0.0.1:1x", ":1", "[::1:5"}) {
      const Host host(this->context, kHostA, address);
      CPPUNIT_ASSERT(host.network == nullptr);
      CPPUNIT_ASSERT(host.error.code == ErrorCode::kInvalidArgument);
    }
    const Host first(this->context, kHostA);
    const Host second(this->context, kHostB, first.network->address());
    CPPUNIT_ASSERT(second.network == nullptr);
    CPPUNIT_ASSERT(second.error.code == ErrorCode::kInvalidArgument);
    Error error;
    const auto ipv6_endpoint = ParseEndpoint("[::1]:80", error);
    CPPUNIT_ASSERT(ipv6_endpoint && FormatEndpoint(*ipv6_endpoint) == "[::1]:80");
  }

 private:
  // Runs the event loop until the condition holds. The time limit only ends a test
  // that hangs; it does not assert a speed.
  void RunUntil(const std::function<bool()>& condition) {
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition()) {
      CPPUNIT_ASSERT_MESSAGE("condition not reached", std::chrono::steady_clock::now() < limit);
      this->context.restart();
      this->context.run_one_for(std::chrono::milliseconds(5));
    }
  }

  asio::io_context context;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerNetworkTest);

}  // namespace
}  // namespace pimentopin
