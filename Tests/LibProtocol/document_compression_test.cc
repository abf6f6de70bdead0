#include "Libraries/LibProtocol/document_compression.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentopin {
namespace {

class DocumentCompressionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DocumentCompressionTest);
  CPPUNIT_TEST(TestDocumentIsRestored);
  CPPUNIT_TEST(TestInvalidContentIsRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a document that other hosts read differently than its sender.
  void TestDocumentIsRestored() {
    ConfigurationDocument document{.revision = 7,
                                   .base_revision = 6,
                                   .change_id = "change",
                                   .author = "ama",
                                   .committed_at_ms = 5};
    for (const std::size_t size : {std::size_t{0}, std::size_t{1}, std::size_t{300'000}}) {
      document.content.resize(size);
      for (std::size_t index = 0; index < size; ++index) {
        document.content[index] = static_cast<char>(index * index % 251);
      }
      const auto compressed = Compress(document);
      CPPUNIT_ASSERT(compressed);
      CPPUNIT_ASSERT(compressed->document.content.empty());
      Error error;
      const auto restored = Decompress(*compressed, error);
      CPPUNIT_ASSERT_MESSAGE(error.message, restored);
      CPPUNIT_ASSERT(*restored == document);
    }
  }

  // Guards against a forged document that exhausts memory, and against a damaged one that is
  // adopted in part.
  void TestInvalidContentIsRejected() {
    const auto valid = Compress({.revision = 1, .content = std::string(10'000, 'x')});
    CPPUNIT_ASSERT(valid);
    CompressedConfigurationDocument changed = *valid;
    changed.content_bytes = 9'999;
    ExpectRejected(changed);
    changed.content_bytes = 10'001;
    ExpectRejected(changed);
    changed.content_bytes = kMaxDocumentContentBytes + 1;
    ExpectRejected(changed);
    changed = *valid;
    changed.compressed_content.pop_back();
    ExpectRejected(changed);
    changed = *valid;
    changed.compressed_content.back() ^= 1;  // Part of the checksum.
    ExpectRejected(changed);
    CPPUNIT_ASSERT(!Compress({.content = std::string(kMaxDocumentContentBytes + 1, 'x')}));
  }

 private:
  static void ExpectRejected(const CompressedConfigurationDocument& compressed) {
    Error error;
    CPPUNIT_ASSERT(!Decompress(compressed, error));
    CPPUNIT_ASSERT(error.code == ErrorCode::kProtocol);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DocumentCompressionTest);

}  // namespace
}  // namespace pimentopin
