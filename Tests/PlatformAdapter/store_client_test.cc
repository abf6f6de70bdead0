#include "platform/store_client.h"

#include <cppunit/extensions/HelperMacros.h>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <atomic>
#include <future>
#include <thread>
#include <tuple>

#include "Libraries/LibHost/platform_configuration_source.h"
#include "Libraries/LibHttp/http_server.h"
#include "Tests/LibHttp/http_test_support.h"
#include "Tests/StandIns/Platform/platform.h"

namespace pimentopin {
namespace {

template <typename Value>
struct CallResult {
  Value value;
  Error error;
};

class StoreClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreClientTest);
  CPPUNIT_TEST(TestConditionalWrites);
  CPPUNIT_TEST(TestWritesToOneRowInOneCall);
  CPPUNIT_TEST(TestOneOfConcurrentWritesIsApplied);
  CPPUNIT_TEST(TestBinaryValues);
  CPPUNIT_TEST(TestLostWriteResponseIsUnknownOutcome);
  CPPUNIT_TEST(TestUnavailableTableDoesNotApplyWrites);
  CPPUNIT_TEST(TestRefusedConnectionDoesNotApplyWrites);
  CPPUNIT_TEST(TestSlowWriteIsUnknownOutcomeAfterTimeout);
  CPPUNIT_TEST(TestSilentTableIsUnknownOutcomeAfterTimeout);
  CPPUNIT_TEST(TestMalformedWriteResponsesAreUnknownOutcome);
  CPPUNIT_TEST(TestMalformedStatusIsAnAnswerOfTheStore);
  CPPUNIT_TEST(TestErrorAfterAppliedTransactionIsUnknownOutcome);
  CPPUNIT_TEST(TestErrorAfterRefusedTransactionMeansNotApplied);
  CPPUNIT_TEST(TestConflictOfRowsWithEqualKeysInTwoTables);
  CPPUNIT_TEST(TestInvalidKeyIsRefused);
  CPPUNIT_TEST(TestObjects);
  CPPUNIT_TEST(TestObjectStoreFaults);
  CPPUNIT_TEST(TestRemovedRowsAndListings);
  CPPUNIT_TEST(TestTimeOfTheStoreIsPassedOn);
  CPPUNIT_TEST(TestChangesResumeAndWait);
  CPPUNIT_TEST(TestDiscardedHistoryIsReported);
  CPPUNIT_TEST(TestConfigurationWrittenAsTheStoreReturnsIsMissed);
  CPPUNIT_TEST(TestWriteMatchesANumberOfAnEarlierEra);
  CPPUNIT_TEST(TestResponseOfAnEndedEraIsBelieved);
  CPPUNIT_TEST(TestCallbacksRunOnControlThread);
  CPPUNIT_TEST(TestFaultThatTheStandInDoesNotKnowIsIgnored);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->work_guard.emplace(asio::make_work_guard(this->control));
    this->control_thread = std::thread([this] { this->control.run(); });
    this->platform = std::make_unique<Platform>(this->control);
    this->server = this->StartServer([this](HttpServerRequest request, auto responder) {
      asio::post(this->control,
                 [this, request = std::move(request), responder = std::move(responder)]() mutable {
                   this->platform->Handle(std::move(request), std::move(responder));
                 });
    });
    this->client = HttpClient::Create({});
    this->CreateStore("http://" + this->server->address());
  }

  void tearDown() override {
    this->client.reset();
    this->server.reset();
    this->work_guard.reset();
    this->control.stop();
    this->control_thread.join();
  }

  // Guards against overwriting a version that the writer has not read, and against a write that
  // fails because another write in the same call conflicts.
  void TestConditionalWrites() {
    CPPUNIT_ASSERT(TableRow{} == *this->Read("t/b c%").value);
    const auto created = this->Write({{"t/b c%", 0, "one"}, {"t/other", 3, "x"}});
    CPPUNIT_ASSERT_EQUAL(std::string(), created.error.message);
    const WriteResult first = created.value->front();
    CPPUNIT_ASSERT(first.applied);
    CPPUNIT_ASSERT((WriteResult{false, 0} == created.value->back()));
    CPPUNIT_ASSERT((TableRow{first.version, "one"} == *this->Read("t/b c%").value));
    const auto second = this->Write({{"t/b c%", first.version, "two"}}).value->front();
    CPPUNIT_ASSERT(second.applied && second.version > first.version);
    CPPUNIT_ASSERT((WriteResult{false, second.version} ==
                    this->Write({{"t/b c%", first.version, "no"}}).value->front()));
    CPPUNIT_ASSERT((TableRow{second.version, "two"} == *this->Read("t/b c%").value));
  }

  // Property P4 (docs/design.md): of two claims of one key in one call, only one succeeds, although
  // a transaction checks all conditions before it writes.
  void TestWritesToOneRowInOneCall() {
    const auto written = this->Write({{"claim/k", 0, "first"}, {"claim/k", 0, "second"}});
    CPPUNIT_ASSERT(written.value->front().applied);
    CPPUNIT_ASSERT(!written.value->back().applied);
    CPPUNIT_ASSERT_EQUAL(std::string("first"), this->Read("claim/k").value->value);
  }

  // Property P4 (docs/design.md): of several concurrent claims of one key, only one succeeds.
  void TestOneOfConcurrentWritesIsApplied() {
    std::vector<std::future<CallResult<std::optional<std::vector<WriteResult>>>>> writes;
    for (int index = 0; index < 20; ++index) {
      writes.push_back(std::async(std::launch::async, [this, index] {
        return this->Write({{"claim/k", 0, std::to_string(index)}});
      }));
    }
    int applied = 0;
    for (auto& write : writes) {
      applied += write.get().value->front().applied ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(1, applied);
  }

  // Guards against stored responses that are read back modified.
  void TestBinaryValues() {
    std::string bytes;
    for (int byte = 0; byte < 256; ++byte) {
      bytes += static_cast<char>(byte);
    }
    CPPUNIT_ASSERT(this->Write({{"t/bytes", 0, bytes}}).value->front().applied);
    CPPUNIT_ASSERT(bytes == this->Read("t/bytes").value->value);
  }

  // Properties P3 and P4 (docs/design.md): a write that took effect although its response was lost
  // is not reported as not applied.
  void TestLostWriteResponseIsUnknownOutcome() {
    this->SetFaults(R"({"table": "lose-answers"})");
    const auto written = this->Write({{"t/key", 0, "mine"}});
    CPPUNIT_ASSERT(!written.value);
    CPPUNIT_ASSERT(written.error.code == ErrorCode::kUnknownOutcome);
    CPPUNIT_ASSERT(this->Read("t/key").error.code == ErrorCode::kUnreachable);
    this->SetFaults(R"({"table": "up"})");
    CPPUNIT_ASSERT_EQUAL(std::string("mine"), this->Read("t/key").value->value);
  }

  // Guards against reporting an unknown outcome when the platform states that it did nothing.
  void TestUnavailableTableDoesNotApplyWrites() {
    this->SetFaults(R"({"table": "down"})");
    CPPUNIT_ASSERT(this->Write({{"t/key", 0, "x"}}).error.code == ErrorCode::kUnreachable);
    const auto read = this->Read("t/key");
    CPPUNIT_ASSERT(!read.value);
    CPPUNIT_ASSERT(read.error.code == ErrorCode::kUnreachable);
    this->SetFaults(R"({"table": "up"})");
    CPPUNIT_ASSERT(TableRow{} == *this->Read("t/key").value);
  }

  // Guards against reporting an unknown outcome for a write that was never sent.
  void TestRefusedConnectionDoesNotApplyWrites() {
    this->server.reset();
    CPPUNIT_ASSERT(this->Write({{"t/key", 0, "x"}}).error.code == ErrorCode::kUnreachable);
    CPPUNIT_ASSERT(this->Put("key", "x").error.code == ErrorCode::kUnreachable);
  }

  // Guards against waiting for a store that accepts calls and never answers.
  void TestSilentTableIsUnknownOutcomeAfterTimeout() {
    this->CreateStore("http://" + this->server->address(), std::chrono::milliseconds(200));
    this->SetFaults(R"({"table": "silent"})");
    CPPUNIT_ASSERT(this->Write({{"t/key", 0, "x"}}).error.code == ErrorCode::kUnknownOutcome);
    CPPUNIT_ASSERT(this->Read("t/key").error.code == ErrorCode::kUnreachable);
    this->SetFaults(R"({"table": "up"})");
    CPPUNIT_ASSERT(TableRow{} == *this->Read("t/key").value);
  }

  // Guards against reporting a write as failed that takes effect afterwards.
  void TestSlowWriteIsUnknownOutcomeAfterTimeout() {
    this->CreateStore("http://" + this->server->address(), std::chrono::milliseconds(50));
    this->SetFaults(R"({"table": "slow", "slow_ms": 300})");
    CPPUNIT_ASSERT(this->Write({{"t/key", 0, "late"}}).error.code == ErrorCode::kUnknownOutcome);
    this->SetFaults(R"({"table": "up"})");
    CPPUNIT_ASSERT(Eventually([this] {
      const auto read = this->Read("t/key");
      return read.value && read.value->value == "late";
    }));
  }

  // Guards against treating a malformed response as proof that the write was refused or applied.
  void TestMalformedWriteResponsesAreUnknownOutcome() {
    struct Case {
      int status;
      std::string body;
      ErrorCode expected;
    };
    const std::vector<Case> cases{{200, "", ErrorCode::kUnknownOutcome},
                                  {200, "[]", ErrorCode::kUnknownOutcome},
                                  {200, "{\"ver\": \"x\"}", ErrorCode::kUnknownOutcome},
                                  {500, "", ErrorCode::kUnknownOutcome},
                                  // These statuses state that nothing was done.
                                  {503, "", ErrorCode::kUnreachable},
                                  {429, "", ErrorCode::kUnreachable},
                                  {302, "", ErrorCode::kUnknownOutcome},
                                  {400, "", ErrorCode::kInvalidArgument},
                                  {413, "", ErrorCode::kTooLarge}};
    for (const Case& test_case : cases) {
      const auto other =
          this->StartServer([test_case](const HttpServerRequest&, const auto& responder) {
            responder->Respond(test_case.status, {}, test_case.body);
          });
      this->CreateStore("http://" + other->address());
      const auto written = this->Write({{"t/key", 0, "x"}});
      CPPUNIT_ASSERT(!written.value);
      CPPUNIT_ASSERT_EQUAL(static_cast<int>(test_case.expected),
                           static_cast<int>(written.error.code));
      CPPUNIT_ASSERT(!this->Read("t/key").value);
    }
  }

  // Guards against taking a response whose status HTTP does not define for one of the store, which
  // would confirm a write, state that a row does not exist or that nothing was done.
  void TestMalformedStatusIsAnAnswerOfTheStore() {
    std::string believed;
    for (const std::string status :
         {"000 Unknown", "099 Unknown", "20 OK", "2000 OK", "4290 Busy", "-200 OK", "+200 OK",
          "0200 OK", "0412 Failed", "200x OK", "404x Missing", "abc", "OK", "", "101 Switch",
          "600 Unknown", "999 Unknown"}) {
      const std::string response =
          "HTTP/1.1 " + status + "\r\nContent-Length: 22\r\n\r\n" + R"({"rows": [], "ver": 7})";
      this->CallWithResponse(response, [&] {
        const auto written = this->Write({{"t/key", 0, "x"}});
        if (written.value || written.error.code != ErrorCode::kUnknownOutcome) {
          believed += "\nwrite, " + status + ": " + written.error.message;
        }
      });
      this->CallWithResponse(response, [&] {
        const auto read = this->Read("t/key");
        if (read.value || read.error.code != ErrorCode::kUnreachable) {
          believed += "\nread, " + status + ": " + read.error.message;
        }
      });
      this->CallWithResponse(response, [&] {
        const auto object = this->Get("object");
        if (object.value || object.error.code != ErrorCode::kUnreachable) {
          believed += "\nobject, " + status + ": " + object.error.message;
        }
      });
      this->CallWithResponse(response, [&] {
        if (this->Put("object", "x").value) {
          believed += "\nput, " + status;
        }
      });
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), believed);
  }

  // Guards against reporting a call of several transactions as not applied after the first one took
  // effect.
  void TestErrorAfterAppliedTransactionIsUnknownOutcome() {
    for (const int status : {503, 429, 400, 413, 412}) {
      const std::string table = "t" + std::to_string(status);
      const auto other = this->StartServerFailingFrom(2, status);
      this->CreateStore("http://" + other->address());
      const auto written = this->Write(MakeWrites(table, 51));
      CPPUNIT_ASSERT(!written.value);
      CPPUNIT_ASSERT_EQUAL_MESSAGE("status " + std::to_string(status),
                                   static_cast<int>(ErrorCode::kUnknownOutcome),
                                   static_cast<int>(written.error.code));
      this->CreateStore("http://" + this->server->address());
      CPPUNIT_ASSERT_EQUAL(std::string("x"), this->Read(table + "/0").value->value);
      CPPUNIT_ASSERT(TableRow{} == *this->Read(table + "/50").value);
    }
  }

  // Guards against reporting an unknown outcome if the first transaction wrote nothing because all
  // of its rows conflicted.
  void TestErrorAfterRefusedTransactionMeansNotApplied() {
    CPPUNIT_ASSERT(this->Write(MakeWrites("t", 50)).value);
    const auto other = this->StartServerFailingFrom(2, 503);
    this->CreateStore("http://" + other->address());
    CPPUNIT_ASSERT(this->Write(MakeWrites("t", 51)).error.code == ErrorCode::kUnreachable);
  }

  // Guards against judging a write by the version of a row with the same key in another table.
  void TestConflictOfRowsWithEqualKeysInTwoTables() {
    const StoreVersion first = this->Write({{"a/k", 0, "1"}}).value->front().version;
    const StoreVersion second = this->Write({{"b/k", 0, "1"}}).value->front().version;
    CPPUNIT_ASSERT(first != second);
    const auto written = this->Write({{"a/k", first, "2"}, {"b/k", first, "2"}});
    CPPUNIT_ASSERT_EQUAL(std::string(), written.error.message);
    CPPUNIT_ASSERT(written.value->front().applied);
    CPPUNIT_ASSERT((WriteResult{false, second} == written.value->back()));
  }

  // Guards against writing a row without a valid table name, and against keys that the platform
  // refuses.
  void TestInvalidKeyIsRefused() {
    for (const std::string& key :
         {std::string("no-table"), std::string("/key"), "t/" + std::string(201, 'x')}) {
      CPPUNIT_ASSERT(this->Write({{key, 0, "x"}}).error.code == ErrorCode::kInvalidArgument);
      CPPUNIT_ASSERT(this->Read(key).error.code == ErrorCode::kInvalidArgument);
    }
  }

  // Guards against overwriting an object and against keys that change in a round trip.
  void TestObjects() {
    const std::string content("binary\0\xff\n", 9);
    CPPUNIT_ASSERT(this->Get("p/a b").error.code == ErrorCode::kNotFound);
    CPPUNIT_ASSERT(this->Put("p/a b", content).value);
    CPPUNIT_ASSERT(this->Put("p/a b", "other").value);
    CPPUNIT_ASSERT(content == *this->Get("p/a b").value);
    CPPUNIT_ASSERT(this->Put("p/c", "").value);
    CPPUNIT_ASSERT(this->Put("q/d", "").value);
    const std::vector<std::string> expected{"p/a b", "p/c"};
    CPPUNIT_ASSERT(expected == *this->List("p/").value);
    CPPUNIT_ASSERT(this->List("none").value->empty());
  }

  // Guards against reporting an object as stored that is not.
  void TestObjectStoreFaults() {
    this->SetFaults(R"({"objects": "down"})");
    CPPUNIT_ASSERT(this->Put("k", "v").error.code == ErrorCode::kUnreachable);
    CPPUNIT_ASSERT(this->List("").error.code == ErrorCode::kUnreachable);
    this->SetFaults(R"({"objects": "lose-answers"})");
    const auto lost = this->Put("k", "v");
    CPPUNIT_ASSERT(!lost.value);
    CPPUNIT_ASSERT(lost.error.code == ErrorCode::kUnknownOutcome);
    CPPUNIT_ASSERT(this->Get("k").error.code == ErrorCode::kUnreachable);
    this->SetFaults(R"({"objects": "up"})");
    CPPUNIT_ASSERT(std::string("v") == *this->Get("k").value);
  }

  // Guards against removed rows that remain in a listing, and against rows missing from a listing
  // of several pages.
  void TestRemovedRowsAndListings() {
    constexpr int kRows = 1203;
    std::vector<ConditionalWrite> writes;
    for (int index = 0; index < kRows; ++index) {
      writes.push_back({"many/" + std::to_string(index), 0, std::to_string(index)});
    }
    const auto written = this->Write(writes);
    CPPUNIT_ASSERT(written.value);
    CPPUNIT_ASSERT(this->Write({{.key = "many/7",
                                 .expected_version = (*written.value)[7].version,
                                 .remove = true}})
                       .value->front()
                       .applied);
    const auto listed = this->ListRows("many");
    CPPUNIT_ASSERT_EQUAL(std::size_t{kRows - 1}, listed.value->rows.size());
    for (const FeedRow& row : listed.value->rows) {
      CPPUNIT_ASSERT_EQUAL(row.key, row.value);
    }
    CPPUNIT_ASSERT(this->ListRows("none").value->rows.empty());
  }

  // Guards against a host that calls the store and does not learn its time, or learns it for a call
  // that was sent later.
  void TestTimeOfTheStoreIsPassedOn() {
    const BootTimePoint start = BootNow();
    CPPUNIT_ASSERT(this->ListRows("t").value->store_time.has_value());
    CPPUNIT_ASSERT(this->Write({{"t/a", 0, "1"}}).value);
    CPPUNIT_ASSERT(this->Write({{"t/a", 0, "2"}}).value);
    this->Read("t/a");
    CPPUNIT_ASSERT(this->Changes("t", 0, Duration::zero()).value->store_time.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, this->store_times.size());
    for (const auto& [sent, answered, at_store] : this->store_times) {
      CPPUNIT_ASSERT(start <= sent && sent <= answered && answered <= BootNow());
      // The stand-in's clock is this machine's steady clock.
      CPPUNIT_ASSERT(at_store.time_since_epoch() <= SteadyNow().time_since_epoch());
    }
  }

  // Guards against missing a change between two reads of the feed.
  void TestChangesResumeAndWait() {
    const StoreVersion start = this->ListRows("f").value->version;
    const auto first = this->Write({{"f/a", 0, "1"}}).value->front();
    const auto changes = this->Changes("f", start, Duration::zero());
    const std::vector<FeedRow> expected{{"a", first.version, "1", false}};
    CPPUNIT_ASSERT(expected == changes.value->rows);
    auto waiting = std::async(std::launch::async, [&] {
      return this->Changes("f", changes.value->version, std::chrono::seconds(20));
    });
    this->Write({{.key = "f/a", .expected_version = first.version, .remove = true}});
    const auto removal = waiting.get();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, removal.value->rows.size());
    CPPUNIT_ASSERT(removal.value->rows.front().removed);
    const auto none = this->Changes("f", removal.value->version, std::chrono::milliseconds(10));
    CPPUNIT_ASSERT(none.value && none.value->rows.empty());
  }

  // Guards against a reader that continues without the changes that the store has discarded.
  void TestDiscardedHistoryIsReported() {
    const StoreVersion start = this->ListRows("f").value->version;
    this->Write({{"f/a", 0, "1"}});
    this->Post("/compact", "");
    const auto changes = this->Changes("f", start, Duration::zero());
    CPPUNIT_ASSERT(!changes.value);
    CPPUNIT_ASSERT(changes.error.code == ErrorCode::kNotFound);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->ListRows("f").value->rows.size());
  }

  // Guards against a configuration that is never read because the store, back from a copy, gives
  // out the version again from which the feed is read on.
  void TestConfigurationWrittenAsTheStoreReturnsIsMissed() {
    PlatformConfigurationSource source(
        *this->store, {.table = "op",
                       .key = "config",
                       .reader =
                           [](std::string_view text, Findings&) {
                             Configuration configuration;
                             configuration.revision = std::stoull(std::string(text));
                             return std::optional(configuration);
                           },
                       .without_keys = [](std::string_view text) { return std::string(text); }});
    const auto read = [&](std::uint64_t known) {
      return AwaitCallback<std::optional<ConfigurationDocument>>(
          [&](const ConfigurationSource::DocumentCallback& callback) {
            source.ReadNewest(known, false, callback);
          });
    };
    this->WriteOperatorRow("12");
    this->Post("/copy", "");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, read(0).value->revision);
    this->WriteOperatorRow("13");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{13}, read(12).value->revision);
    this->Post("/return", "");
    this->WriteOperatorRow("17");
    this->Write({{"t/other", 0, "x"}});
    CPPUNIT_ASSERT(read(13).error.code == ErrorCode::kNotFound);
    const auto listed = read(13);
    CPPUNIT_ASSERT(listed.value);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{17}, listed.value->revision);
  }

  // Guards against a write that replaces a row of the copy which it has not read, because the store
  // has given that row the number that it expects.
  void TestWriteMatchesANumberOfAnEarlierEra() {
    this->Post("/copy", "");
    const StoreVersion before = this->Write({{"t/a", 0, "1"}}).value->front().version;
    this->Post("/return", "");
    const StoreVersion after = this->Write({{"t/a", 0, "other"}}).value->front().version;
    CPPUNIT_ASSERT_EQUAL(before.number, after.number);
    CPPUNIT_ASSERT(before < after);
    const auto written = this->Write({{"t/a", before, "2"}});
    CPPUNIT_ASSERT((WriteResult{false, after} == written.value->front()));
    CPPUNIT_ASSERT_EQUAL(std::string("other"), this->Read("t/a").value->value);
  }

  // Guards against rows and confirmations of a history that the store has lost, and against a store
  // that states no era being believed less than before.
  void TestResponseOfAnEndedEraIsBelieved() {
    std::string era;
    const auto other = this->StartServer([&era](const HttpServerRequest&, const auto& responder) {
      const HttpHeaders headers = era.empty() ? HttpHeaders{} : HttpHeaders{{"Store-Era", era}};
      responder->Respond(200, headers, R"({"rows": [], "ver": 7})");
    });
    this->CreateStore("http://" + other->address());
    CPPUNIT_ASSERT(StoreVersion(7) == this->ListRows("t").value->version);
    era = "3";
    CPPUNIT_ASSERT(StoreVersion(7, 3) == this->ListRows("t").value->version);
    for (const char* const outdated : {"2", "", "x", "-4", "4x", "99999999999999999999"}) {
      era = outdated;
      CPPUNIT_ASSERT(this->ListRows("t").error.code == ErrorCode::kUnreachable);
      CPPUNIT_ASSERT(this->Write({{"t/a", 0, "1"}}).error.code == ErrorCode::kUnknownOutcome);
    }
    era = "4";
    CPPUNIT_ASSERT(StoreVersion(7, 4) == this->ListRows("t").value->version);
  }

  // Guards against callbacks that run on the HTTP client's thread.
  void TestCallbacksRunOnControlThread() {
    std::promise<std::thread::id> thread;
    this->store->Read("t/key", [&](const std::optional<TableRow>&, const Error&) {
      thread.set_value(std::this_thread::get_id());
    });
    CPPUNIT_ASSERT(this->control_thread.get_id() == thread.get_future().get());
  }

  // Guards against a check that passes because its fault never begins, or never ends.
  void TestFaultThatTheStandInDoesNotKnowIsIgnored() {
    for (const char* faults : {R"({"tabel":"down"})", R"({"table":"down","object":"down"})",
                               R"({"table":"broken"})", "{}", "[]", "down"}) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(faults, 400, this->StatusOfPost("/faults", faults));
      CPPUNIT_ASSERT(this->Read("t/k").value.has_value());
    }
  }

 private:
  std::unique_ptr<HttpServer> StartServer(HttpServer::Handler handler) {
    Error error;
    auto created = HttpServer::Create({.address = "127.0.0.1:0"}, std::move(handler), error);
    CPPUNIT_ASSERT_MESSAGE(error.message, created != nullptr);
    return created;
  }

  // Forwards calls to the platform, and answers each from number `first_failure` on with `status`.
  std::unique_ptr<HttpServer> StartServerFailingFrom(int first_failure, int status) {
    auto calls = std::make_shared<std::atomic<int>>(0);
    return this->StartServer([this, first_failure, status, calls](HttpServerRequest request,
                                                                  auto responder) {
      if (++*calls >= first_failure) {
        responder->Respond(status, {}, R"({"rows": [], "ver": 1})");
        return;
      }
      asio::post(this->control,
                 [this, request = std::move(request), responder = std::move(responder)]() mutable {
                   this->platform->Handle(std::move(request), std::move(responder));
                 });
    });
  }

  // Runs a function that makes one call, to a server that answers with these bytes.
  void CallWithResponse(const std::string& response, const std::function<void()>& call) {
    asio::io_context context;
    RawServer other(context);
    std::thread thread([&] {
      RawConnection connection = other.Accept();
      connection.ReadUntil("\r\n\r\n");
      connection.Send(response);
    });
    this->CreateStore("http://" + other.address());
    call();
    thread.join();
  }

  // Creates rows 0 to `count` - 1 of the table. A transaction holds 50 writes.
  static std::vector<ConditionalWrite> MakeWrites(const std::string& table, int count) {
    std::vector<ConditionalWrite> writes;
    for (int index = 0; index < count; ++index) {
      writes.push_back({table + "/" + std::to_string(index), 0, "x"});
    }
    return writes;
  }

  void CreateStore(const std::string& url, Duration timeout = std::chrono::seconds(20)) {
    const PlatformHttpClientSettings settings{
        .base_url = url,
        .timeout = timeout,
        .post =
            [this](std::function<void()> function) {
              asio::post(this->control, std::move(function));
            },
        .on_store_time =
            [this](BootTimePoint sent, BootTimePoint answered, StoreTimePoint at_store) {
              this->store_times.emplace_back(sent, answered, at_store);
            }};
    this->store = std::make_unique<platform::StoreClient>(*this->client, settings);
  }

  void SetFaults(const std::string& text) { this->Post("/faults", text); }

  void Post(const std::string& path, const std::string& text) {
    CPPUNIT_ASSERT_EQUAL(200, this->StatusOfPost(path, text));
  }

  void WriteOperatorRow(const std::string& value) {
    this->Post("/rows", R"({"table": "op", "key": "config", "value": ")" + value + "\"}");
  }

  int StatusOfPost(const std::string& path, const std::string& text) {
    TransferRecorder record;
    this->client->Start({.method = "POST",
                         .url = "http://" + this->server->address() + path,
                         .body = text,
                         .timeout = std::chrono::seconds(20)},
                        record.Callbacks());
    CPPUNIT_ASSERT(record.Wait());
    return record.status;
  }

  // Starts a call and waits for its callback.
  template <typename Value, typename Start>
  static CallResult<Value> AwaitCallback(Start start) {
    std::promise<CallResult<Value>> done;
    start([&](Value value, const Error& error) { done.set_value({std::move(value), error}); });
    return done.get_future().get();
  }

  CallResult<std::optional<TableRow>> Read(const std::string& key) {
    return AwaitCallback<std::optional<TableRow>>(
        [&](TableStore::ReadCallback callback) { this->store->Read(key, std::move(callback)); });
  }
  CallResult<std::optional<std::vector<WriteResult>>> Write(std::vector<ConditionalWrite> writes) {
    return AwaitCallback<std::optional<std::vector<WriteResult>>>(
        [&](TableStore::WriteCallback callback) {
          this->store->Write(std::move(writes), std::move(callback));
        });
  }
  CallResult<std::optional<std::string>> Get(const std::string& key) {
    return AwaitCallback<std::optional<std::string>>(
        [&](ObjectStore::GetCallback callback) { this->store->Get(key, std::move(callback)); });
  }
  CallResult<bool> Put(const std::string& key, const std::string& content) {
    return AwaitCallback<bool>([&](ObjectStore::PutCallback callback) {
      this->store->PutIfAbsent(key, content, std::move(callback));
    });
  }
  CallResult<std::optional<std::vector<std::string>>> List(const std::string& prefix) {
    return AwaitCallback<std::optional<std::vector<std::string>>>(
        [&](ObjectStore::ListCallback callback) {
          this->store->List(prefix, std::move(callback));
        });
  }
  CallResult<std::optional<FeedBatch>> ListRows(const std::string& table) {
    return AwaitCallback<std::optional<FeedBatch>>(
        [&](RowFeed::Callback callback) { this->store->List(table, std::move(callback)); });
  }
  CallResult<std::optional<FeedBatch>> Changes(const std::string& table,
                                               const StoreVersion& version,
                                               Duration wait) {
    return AwaitCallback<std::optional<FeedBatch>>([&](RowFeed::Callback callback) {
      this->store->Changes(table, version, wait, std::move(callback));
    });
  }

  asio::io_context control;
  std::optional<asio::executor_work_guard<asio::io_context::executor_type>> work_guard;
  std::thread control_thread;
  std::unique_ptr<Platform> platform;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpClient> client;
  std::unique_ptr<PlatformStore> store;
  // Time of each call and of its answer, and the time that the store stated in it.
  std::vector<std::tuple<BootTimePoint, BootTimePoint, StoreTimePoint>> store_times;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreClientTest);

}  // namespace
}  // namespace pimentopin
