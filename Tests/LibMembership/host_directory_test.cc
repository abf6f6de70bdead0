#include "Libraries/LibMembership/host_directory.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentopin {
namespace {

MemberRecord MakeRecord(const std::string& name, std::uint32_t capacity) {
  return {.host = IdFromName<HostId>(name),
          .name = name,
          .address = "10.0.0.1:7200",
          .domain = DomainId{1},
          .incarnation = 5,
          .capacity = capacity};
}

FeedRow MakeRow(const MemberRecord& record) {
  return {record.name, 1, EncodeHostRow(record), false};
}

class HostDirectoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HostDirectoryTest);
  CPPUNIT_TEST(TestRowsAddAndRemoveHosts);
  CPPUNIT_TEST(TestInvalidRowAddsNoHost);
  CPPUNIT_TEST(TestRowWithInvalidFieldIsRejected);
  CPPUNIT_TEST(TestSmallHostsAreNoBrokerCandidates);
  CPPUNIT_TEST(TestBrokerHasAThinLink);
  CPPUNIT_TEST(TestLeavingHostsRankLast);
  CPPUNIT_TEST(TestIsRegisteredComparesStoredRecord);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestRowsAddAndRemoveHosts() {
    HostDirectory directory(MakeRecord("a", 100));
    this->Apply(directory, {MakeRow(MakeRecord("b", 100)), MakeRow(MakeRecord("c", 100))});
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, directory.UsableHosts().size());
    directory.SetUnreachable(IdFromName<HostId>("b"), true);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, directory.UsableHosts().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, directory.Members().size());
    MemberRecord leaving = MakeRecord("c", 100);
    leaving.state = MemberState::kLeaving;
    this->Apply(directory, {MakeRow(leaving)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.UsableHosts().size());
    this->Apply(directory, {{.key = "b", .version = 9, .removed = true}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, directory.Members().size());
  }

  // Guards against hosts in the directory that stem from invalid rows of other
  // writers.
  void TestInvalidRowAddsNoHost() {
    HostDirectory directory(MakeRecord("a", 100));
    for (const char* value : {"", "[]", "{\"address\":1}", "\xff"}) {
      std::vector<std::string> errors;
      directory.Apply({{"x", 1, value, false}}, errors);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, errors.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.Members().size());
    }
  }

  // Guards against a row with a missing or mistyped field that crashes every host
  // that reads it.
  void TestRowWithInvalidFieldIsRejected() {
    const std::string valid_row = EncodeHostRow(MakeRecord("b", 100));
    const std::vector<std::pair<std::string, std::string>> edits = {
        {"\"capacity\":100,", ""},
        {"\"capacity\":100", "\"capacity\":\"100\""},
        {"\"capacity\":100", "\"capacity\":-1"},
        {"\"incarnation\":5", "\"incarnation\":5.5"},
        {"\"leaving\":false", "\"leaving\":0"}};
    for (const auto& [from, to] : edits) {
      std::string modified = valid_row;
      CPPUNIT_ASSERT(modified.find(from) != std::string::npos);
      modified.replace(modified.find(from), from.size(), to);
      Error error;
      CPPUNIT_ASSERT_MESSAGE(modified, !DecodeHostRow("b", modified, error));
      CPPUNIT_ASSERT(!error.message.empty());
    }
  }

  // Guards against a broker on a host with a tenth of a core, which would delay the
  // requests of all hosts.
  void TestSmallHostsAreNoBrokerCandidates() {
    HostDirectory directory(MakeRecord("a", 100));
    this->Apply(directory, {MakeRow(MakeRecord("b", 500)), MakeRow(MakeRecord("c", 300))});
    const std::vector<HostId> candidates = directory.BrokerCandidates();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, candidates.size());
    for (const HostId host : candidates) {
      CPPUNIT_ASSERT(host != IdFromName<HostId>("a"));
    }
    // The remaining host has the largest capacity.
    this->Apply(directory, {{.key = "b", .version = 9, .removed = true},
                            {.key = "c", .version = 9, .removed = true}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.BrokerCandidates().size());
  }

  // Guards against a broker that cannot send what hundreds of requests a second need, and against
  // a fleet without brokers because its hosts do not know their links.
  void TestBrokerHasAThinLink() {
    HostDirectory directory(MakeRecord("a", 250));
    const auto with_link = [](const std::string& name, std::uint32_t capacity, std::uint32_t link) {
      MemberRecord record = MakeRecord(name, capacity);
      record.link_mbps = link;
      return MakeRow(record);
    };
    this->Apply(directory, {with_link("b", 250, 0), with_link("c", 500, 0)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, directory.BrokerCandidates().size());
    // The fastest link belongs to a host with too little processor time.
    this->Apply(directory,
                {with_link("b", 250, 10), with_link("c", 500, 200), with_link("d", 100, 10000)});
    const std::vector<HostId> candidates = directory.BrokerCandidates();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, candidates.size());
    CPPUNIT_ASSERT(candidates[0] == IdFromName<HostId>("c"));
  }

  // Guards against leaving hosts that hear nothing from the reader of their failure domain and
  // read the store themselves.
  void TestLeavingHostsRankLast() {
    HostDirectory directory(MakeRecord("a", 100));
    MemberRecord leaving = MakeRecord("b", 500);
    leaving.state = MemberState::kLeaving;
    this->Apply(directory, {MakeRow(leaving), MakeRow(MakeRecord("c", 100))});
    const DomainId domain = directory.self().domain;
    std::vector<HostId> ranked = directory.RankedHostsByDomain().at(domain);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, ranked.size());
    CPPUNIT_ASSERT(ranked.back() == IdFromName<HostId>("b"));
    directory.SetSelfLeaving();
    ranked = directory.RankedHostsByDomain().at(domain);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, ranked.size());
    CPPUNIT_ASSERT(ranked.front() == IdFromName<HostId>("c"));
    directory.SetUnreachable(IdFromName<HostId>("b"), true);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, directory.RankedHostsByDomain().at(domain).size());
  }

  // Guards against a host whose outdated row keeps others from finding it, and
  // against a store write for each restart at the same address.
  void TestIsRegisteredComparesStoredRecord() {
    MemberRecord self = MakeRecord("a", 100);
    HostDirectory directory(self);
    CPPUNIT_ASSERT(!directory.IsRegistered());
    self.incarnation = 4;
    this->Apply(directory, {MakeRow(self)});
    CPPUNIT_ASSERT(directory.IsRegistered());
    directory.SetSelfLeaving();
    CPPUNIT_ASSERT(!directory.IsRegistered());
    self.state = MemberState::kLeaving;
    self.address = "10.0.0.1:7201";
    this->Apply(directory, {MakeRow(self)});
    CPPUNIT_ASSERT(!directory.IsRegistered());
  }

 private:
  static void Apply(HostDirectory& directory, const std::vector<FeedRow>& rows) {
    std::vector<std::string> errors;
    directory.Apply(rows, errors);
    CPPUNIT_ASSERT(errors.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostDirectoryTest);

}  // namespace
}  // namespace pimentopin
