#include "Libraries/LibCore/socket_address.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentopin {
namespace {

class SocketAddressTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SocketAddressTest);
  CPPUNIT_TEST(TestAcceptsValidAddresses);
  CPPUNIT_TEST(TestRejectsInvalidAddresses);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against different spellings of an address that compare as different.
  void TestAcceptsValidAddresses() {
    CPPUNIT_ASSERT(SocketAddress::Parse("127.0.0.1:0") == (SocketAddress{"127.0.0.1", 0}));
    CPPUNIT_ASSERT_EQUAL(std::string("[::1]:65535"),
                         SocketAddress::Parse("[0:0::1]:65535")->ToText());
  }

  // Guards against invalid addresses that are detected only when a connection is opened.
  void TestRejectsInvalidAddresses() {
    using std::string_literals::operator""s;
    for (const std::string& text : {""s,
                                    ":"s,
                                    ":80"s,
                                    "127.0.0.1"s,
                                    "127.0.0.1:"s,
                                    "127.0.0.1:65536"s,
                                    "127.0.0.1:-1"s,
                                    "127.0.0.1:+1"s,
                                    "127.0.0.1: 1"s,
                                    "127.0.0.1:80x"s,
                                    "127.1:80"s,
                                    "256.0.0.1:80"s,
                                    "localhost:80"s,
                                    "::1:80"s,
                                    "[::1]"s,
                                    "[127.0.0.1]:80"s,
                                    "[]:80"s,
                                    " 127.0.0.1:80"s,
                                    "127.0.0.1\0x:80"s,
                                    std::string(1'000'000, '1') + ":80"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !SocketAddress::Parse(text));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SocketAddressTest);

}  // namespace
}  // namespace pimentopin
