#include "Libraries/LibHost/platform_configuration_source.h"

#include <cppunit/extensions/HelperMacros.h>

#include <charconv>

namespace pimentopin {
namespace {

// Immediately returns the batch and error set by the test.
class FakeFeed : public RowFeed {
 public:
  void List(const std::string&, Callback callback) override {
    ++this->list_calls;
    callback(this->batch, this->error);
  }
  void Changes(const std::string&,
               const StoreVersion& version,
               Duration,
               Callback callback) override {
    this->requested_version = version;
    callback(this->batch, this->error);
  }

  std::optional<FeedBatch> batch;
  Error error;
  int list_calls = 0;
  StoreVersion requested_version;
};

class PlatformConfigurationSourceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformConfigurationSourceTest);
  CPPUNIT_TEST(TestReadsOnlyNewerRevisions);
  CPPUNIT_TEST(TestInvalidRowIsIgnored);
  CPPUNIT_TEST(TestLostHistoryTriggersListing);
  CPPUNIT_TEST(TestReadWithoutChangeConfirmsNewestRevision);
  CPPUNIT_TEST(TestLeaseIsRenewedAlthoughTheNewestConfigurationIsUnreadable);
  CPPUNIT_TEST(TestLeaseIsRenewedAlthoughTheStoreHasNoConfiguration);
  CPPUNIT_TEST(TestReadWithoutStoreTimeConfirmsNothing);
  CPPUNIT_TEST(TestDocumentHasNoKeys);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestReadsOnlyNewerRevisions() {
    this->feed.batch = FeedBatch{{{"other", 3, "9", false}, {"config", 4, "7", false}}, 5, {}};
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, this->Read(0)->revision);
    CPPUNIT_ASSERT(!this->Read(7));
    CPPUNIT_ASSERT(StoreVersion(5) == this->feed.requested_version);
    CPPUNIT_ASSERT_EQUAL(1, this->feed.list_calls);
  }

  // Guards against a host losing its configuration because of one invalid write.
  void TestInvalidRowIsIgnored() {
    this->feed.batch = FeedBatch{{{"config", 4, "not a number", false}}, 5, {}};
    CPPUNIT_ASSERT(!this->Read(3));
    CPPUNIT_ASSERT(this->last_error.code == ErrorCode::kNone);
  }

  // Guards against missing changes that the store no longer has in its history.
  void TestLostHistoryTriggersListing() {
    this->feed.batch = FeedBatch{{{"config", 4, "7", false}}, 5, {}};
    this->Read(0);
    this->feed.batch.reset();
    this->feed.error = {ErrorCode::kNotFound, "gone"};
    CPPUNIT_ASSERT(!this->Read(7));
    CPPUNIT_ASSERT(this->last_error.code == ErrorCode::kNotFound);
    this->feed.error = {};
    this->feed.batch = FeedBatch{{{"config", 9, "8", false}}, 10, {}};
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, this->Read(7)->revision);
    CPPUNIT_ASSERT_EQUAL(2, this->feed.list_calls);
  }

  // Guards against a lease that is not renewed while nothing changes, and against one for an older
  // revision than the row has.
  void TestReadWithoutChangeConfirmsNewestRevision() {
    const StoreTimePoint first(std::chrono::seconds(3));
    const StoreTimePoint second(std::chrono::seconds(4));
    this->feed.batch = FeedBatch{{{"config", 4, "7", false}}, 5, first};
    this->Read(0);
    this->feed.batch = FeedBatch{{}, 6, second};
    // A peer has sent revision 8, which this host has not read from the store.
    this->Read(8);
    CPPUNIT_ASSERT(
        (this->confirmations == std::vector<ConfigurationConfirmation>{
                                    {.at = first, .revision = 7}, {.at = second, .revision = 7}}));
  }

  // Guards against withdrawn keys that are accepted for as long as the newest configuration cannot
  // be read, because reads confirm the one before as the newest.
  void TestLeaseIsRenewedAlthoughTheNewestConfigurationIsUnreadable() {
    const StoreTimePoint before(std::chrono::seconds(3));
    const StoreTimePoint readable_again(std::chrono::seconds(6));
    this->feed.batch = FeedBatch{{{"config", 4, "7", false}}, 5, before};
    this->Read(0);
    this->feed.batch = FeedBatch{
        {{"config", 6, "not a number", false}}, 6, StoreTimePoint(std::chrono::seconds(4))};
    this->Read(7);
    this->feed.batch = FeedBatch{{}, 7, StoreTimePoint(std::chrono::seconds(5))};
    this->Read(7);
    const std::vector<ConfigurationConfirmation> expected{{.at = before, .revision = 7}};
    CPPUNIT_ASSERT(expected == this->confirmations);
    this->feed.batch = FeedBatch{{{"config", 8, "9", false}}, 8, readable_again};
    this->Read(7);
    CPPUNIT_ASSERT((ConfigurationConfirmation{.at = readable_again, .revision = 9} ==
                    this->confirmations.back()));
  }

  // Guards against a confirmation of the last revision although the store, back from an older copy
  // for example, has no configuration.
  void TestLeaseIsRenewedAlthoughTheStoreHasNoConfiguration() {
    this->feed.batch =
        FeedBatch{{{"config", 4, "7", false}}, 5, StoreTimePoint(std::chrono::seconds(3))};
    this->Read(0);
    this->feed.batch.reset();
    this->feed.error = {ErrorCode::kNotFound, "gone"};
    this->Read(7);
    this->feed.error = {};
    this->feed.batch = FeedBatch{{}, {2, 1}, StoreTimePoint(std::chrono::seconds(4))};
    this->Read(7);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->confirmations.size());
  }

  // Guards against a confirmation by a read that failed, or at an unknown time.
  void TestReadWithoutStoreTimeConfirmsNothing() {
    this->feed.batch = FeedBatch{{{"config", 4, "7", false}}, 5, {}};
    this->Read(0);
    this->feed.batch.reset();
    this->feed.error = {ErrorCode::kUnreachable, "down"};
    this->Read(7);
    CPPUNIT_ASSERT(this->confirmations.empty());
  }

  // Guards against keys in what this host sends to others.
  void TestDocumentHasNoKeys() {
    this->feed.batch = FeedBatch{{{"config", 4, "7 key", false}}, 5, {}};
    CPPUNIT_ASSERT_EQUAL(std::string("7 digest"), this->Read(0)->content);
  }

 private:
  std::optional<ConfigurationDocument> Read(std::uint64_t known) {
    std::optional<ConfigurationDocument> read;
    this->source.ReadNewest(known, true, [&](const auto& document, const Error& error) {
      read = document;
      this->last_error = error;
    });
    return read;
  }

  static std::optional<Configuration> Parse(std::string_view text, Findings& findings) {
    Configuration configuration;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), configuration.revision);
    if (error != std::errc()) {
      findings.Add("", "not a number");
      return std::nullopt;
    }
    configuration.requires_keys = text.ends_with("key");
    return configuration;
  }

  FakeFeed feed;
  std::vector<ConfigurationConfirmation> confirmations;
  PlatformConfigurationSource source{
      this->feed,
      {.table = "op",
       .key = "config",
       .reader = Parse,
       .without_keys =
           [](std::string_view text) { return std::string(text.substr(0, 1)) + " digest"; },
       .on_confirmed =
           [this](const ConfigurationConfirmation& confirmation) {
             this->confirmations.push_back(confirmation);
           },
       .long_poll_timeout = std::chrono::seconds(1)}};
  Error last_error;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformConfigurationSourceTest);

}  // namespace
}  // namespace pimentopin
