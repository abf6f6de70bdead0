#include "Libraries/LibMembership/host_directory.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentopin {
namespace {

MemberRecord Record(const std::string& name, std::uint32_t capacity) {
  return {.host = IdFromName<HostId>(name),
          .name = name,
          .address = "10.0.0.1:7200",
          .domain = DomainId{1},
          .incarnation = 5,
          .capacity = capacity};
}

FeedRow RowOf(const MemberRecord& record) {
  return {record.name, 1, EncodeHostRow(record), false};
}

class HostDirectoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HostDirectoryTest);
  CPPUNIT_TEST(TestRowsComeAndGo);
  CPPUNIT_TEST(TestUnreadableRowNamesNoHost);
  CPPUNIT_TEST(TestRowWithoutAFieldNamesNoHost);
  CPPUNIT_TEST(TestWeakHostsTakeNoDuties);
  CPPUNIT_TEST(TestRegistrationIsNoticed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestRowsComeAndGo() {
    HostDirectory directory(Record("a", 100));
    this->Apply(directory, {RowOf(Record("b", 100)), RowOf(Record("c", 100))});
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, directory.UsableHosts().size());
    directory.SetUnreachable(IdFromName<HostId>("b"), true);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, directory.UsableHosts().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, directory.Members().size());
    MemberRecord leaving = Record("c", 100);
    leaving.state = MemberState::kLeaving;
    this->Apply(directory, {RowOf(leaving)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.UsableHosts().size());
    this->Apply(directory, {{.key = "b", .version = 9, .removed = true}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, directory.Members().size());
  }

  // Guards against work for whatever another writer put into the table.
  void TestUnreadableRowNamesNoHost() {
    HostDirectory directory(Record("a", 100));
    for (const char* value : {"", "[]", "{\"address\":1}", "\xff"}) {
      std::vector<std::string> findings;
      directory.Apply({{"x", 1, value, false}}, findings);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, findings.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.Members().size());
    }
  }

  // Guards against a row that stops every host which reads it.
  void TestRowWithoutAFieldNamesNoHost() {
    const std::string whole = EncodeHostRow(Record("b", 100));
    const std::vector<std::pair<std::string, std::string>> changes = {
        {"\"capacity\":100,", ""},
        {"\"capacity\":100", "\"capacity\":\"100\""},
        {"\"capacity\":100", "\"capacity\":-1"},
        {"\"incarnation\":5", "\"incarnation\":5.5"},
        {"\"leaving\":false", "\"leaving\":0"}};
    for (const auto& [from, to] : changes) {
      std::string forged = whole;
      CPPUNIT_ASSERT(forged.find(from) != std::string::npos);
      forged.replace(forged.find(from), from.size(), to);
      Error error;
      CPPUNIT_ASSERT_MESSAGE(forged, !DecodeHostRow("b", forged, error));
      CPPUNIT_ASSERT(!error.message.empty());
    }
  }

  // Guards against a broker on a host with a tenth of a core, which would make
  // the callers of all hosts wait.
  void TestWeakHostsTakeNoDuties() {
    HostDirectory directory(Record("a", 100));
    this->Apply(directory, {RowOf(Record("b", 500)), RowOf(Record("c", 300))});
    const std::vector<HostId> duty = directory.DutyHosts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, duty.size());
    for (const HostId host : duty) {
      CPPUNIT_ASSERT(host != IdFromName<HostId>("a"));
    }
    // The strongest of those that are left.
    this->Apply(directory, {{.key = "b", .version = 9, .removed = true},
                            {.key = "c", .version = 9, .removed = true}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.DutyHosts().size());
  }

  // Guards against a host that others cannot find, and against a write for each
  // restart at the same address.
  void TestRegistrationIsNoticed() {
    MemberRecord self = Record("a", 100);
    HostDirectory directory(self);
    CPPUNIT_ASSERT(!directory.IsRegistered());
    self.incarnation = 4;
    this->Apply(directory, {RowOf(self)});
    CPPUNIT_ASSERT(directory.IsRegistered());
    directory.SetSelfLeaving();
    CPPUNIT_ASSERT(!directory.IsRegistered());
    self.state = MemberState::kLeaving;
    self.address = "10.0.0.1:7201";
    this->Apply(directory, {RowOf(self)});
    CPPUNIT_ASSERT(!directory.IsRegistered());
  }

 private:
  static void Apply(HostDirectory& directory, const std::vector<FeedRow>& rows) {
    std::vector<std::string> findings;
    directory.Apply(rows, findings);
    CPPUNIT_ASSERT(findings.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostDirectoryTest);

}  // namespace
}  // namespace pimentopin
