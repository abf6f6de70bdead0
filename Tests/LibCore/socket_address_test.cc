#include "Libraries/LibCore/socket_address.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentopin {
namespace {

class SocketAddressTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SocketAddressTest);
  CPPUNIT_TEST(TestAccepts);
  CPPUNIT_TEST(TestRejects);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against two spellings of one address that compare as different.
  void TestAccepts() {
    CPPUNIT_ASSERT(SocketAddress::Parse("127.0.0.1:0") == (SocketAddress{"127.0.0.1", 0}));
    CPPUNIT_ASSERT_EQUAL(std::string("[::1]:65535"),
                         SocketAddress::Parse("[0:0::1]:65535")->ToText());
  }

  // Guards against addresses that fail only when they are first connected to.
  void TestRejects() {
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
