#include "Libraries/LibProtocol/codec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <iostream>
#include <memory>
#include <random>

#include "Libraries/LibProtocol/frame_reader.h"
#include "Libraries/LibProtocol/messages_generated.h"
#include "Tests/LibProtocol/message_generators.h"

namespace pimentopin {
namespace {

constexpr int kFuzzPayloads = 400000;

std::string_view Payload(const std::string& frame) {
  return std::string_view(frame).substr(kFramePrefixBytes);
}

// Builds the payload of an envelope that the encoder itself would not produce.
std::string BuildPayload(flatbuffers::FlatBufferBuilder& builder,
                         wire::Message type,
                         flatbuffers::Offset<void> message) {
  builder.Finish(wire::CreateEnvelope(builder, 1, 2, type, message));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

void AssertRejected(std::string_view payload) {
  Error error;
  CPPUNIT_ASSERT(!DecodeFrame(payload, error));
  CPPUNIT_ASSERT(error.code == ErrorCode::kProtocol);
  CPPUNIT_ASSERT(!error.message.empty());
}

class CodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CodecTest);
  CPPUNIT_TEST(TestRoundTripOfEveryMessage);
  CPPUNIT_TEST(TestUnalignedPayload);
  CPPUNIT_TEST(TestCorruptedAndRandomPayloads);
  CPPUNIT_TEST(TestEveryTruncationIsRejected);
  CPPUNIT_TEST(TestEnumerationValuesOutOfRange);
  CPPUNIT_TEST(TestDurationsOutOfRange);
  CPPUNIT_TEST(TestMissingOrUnknownMessage);
  CPPUNIT_TEST(TestSharedRowValuesAreRejected);
  CPPUNIT_TEST(TestSharedListsAreRejected);
  CPPUNIT_TEST(TestEncoderLimits);
  CPPUNIT_TEST(TestDecoderLimits);
  CPPUNIT_TEST(TestRetryUsageOutOfRange);
  CPPUNIT_TEST(TestEarlierVersionsRejectRetryUsage);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a field that is not encoded, or is decoded into another field.
  void TestRoundTripOfEveryMessage() {
    const auto generators = EnvelopeGenerators();
    CPPUNIT_ASSERT_EQUAL(std::variant_size_v<Message>, generators.size());
    for (std::size_t index = 0; index < generators.size(); ++index) {
      const bool passed = rc::check("round trip of message " + std::to_string(index), [&] {
        const Envelope envelope = *generators[index];
        RC_ASSERT(envelope.message.index() == index);
        const std::string frame = EncodeFrame(envelope);
        FrameReader reader;
        reader.Append(frame);
        Error error;
        const auto payload = reader.Next(error);
        RC_ASSERT(payload.has_value());
        RC_ASSERT(reader.buffered_bytes() == 0U);
        const auto decoded = DecodeFrame(*payload, error);
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(*decoded == envelope);
      });
      CPPUNIT_ASSERT(passed);
    }
  }

  // Guards against reading scalars at unaligned addresses, which occur because the
  // payload follows a four-byte prefix.
  void TestUnalignedPayload() {
    const Envelope envelope{HostId{1}, DomainId{2}, SlotGrant{AttemptId{3}, ServiceId{4}, {}}};
    const std::string frame = EncodeFrame(envelope);
    for (std::size_t offset = 0; offset < 8; ++offset) {
      std::string unaligned(offset, 'x');
      unaligned += Payload(frame);
      Error error;
      const auto decoded = DecodeFrame(std::string_view(unaligned).substr(offset), error);
      CPPUNIT_ASSERT(decoded && *decoded == envelope);
    }
  }

  // Guards against crashes and out-of-bounds reads on payloads of a faulty peer. Each
  // payload is copied to a heap block of its exact size, so that AddressSanitizer
  // detects reads past its end.
  void TestCorruptedAndRandomPayloads() {
    constexpr std::uint64_t kSeed = 20261204;
    std::mt19937_64 engine(kSeed);
    const auto generators = EnvelopeGenerators();
    std::vector<std::string> valid_payloads;
    for (const auto& generator : generators) {
      for (int sample = 0; sample < 20; ++sample) {
        const auto envelope = generator(rc::Random(engine()), 30).value();
        valid_payloads.emplace_back(Payload(EncodeFrame(envelope)));
      }
    }
    int accepted = 0;
    for (int iteration = 0; iteration < kFuzzPayloads; ++iteration) {
      const std::string payload =
          iteration % 8 == 0 ? RandomBytes(engine) : Corrupt(engine, valid_payloads);
      const std::unique_ptr<char[]> block(new char[payload.size()]);
      std::copy(payload.begin(), payload.end(), block.get());
      Error error;
      const auto decoded = DecodeFrame({block.get(), payload.size()}, error);
      if (decoded) {
        ++accepted;
        // An accepted message must be within the limits of the encoder.
        CPPUNIT_ASSERT(!EncodeFrame(*decoded).empty());
        const auto again = DecodeFrame(Payload(EncodeFrame(*decoded)), error);
        CPPUNIT_ASSERT(again && *again == *decoded);
      } else {
        CPPUNIT_ASSERT(error.code == ErrorCode::kProtocol);
      }
    }
    std::cout << "codec fuzz: seed " << kSeed << ", " << kFuzzPayloads << " payloads, " << accepted
              << " still valid\n";
    CPPUNIT_ASSERT(accepted > 0 && accepted < kFuzzPayloads);
  }

  // Guards against accepting a truncated message as complete.
  void TestEveryTruncationIsRejected() {
    const RowRelay relay{"servers", 1, 2, {{"a", 2, "value", false}}};
    const std::string frame = EncodeFrame({HostId{1}, DomainId{2}, relay});
    for (std::size_t size = 0; size < Payload(frame).size(); ++size) {
      Error error;
      const auto decoded = DecodeFrame(Payload(frame).substr(0, size), error);
      // Only padding at the end may be missing.
      CPPUNIT_ASSERT(!decoded || decoded->message == Message(relay));
      CPPUNIT_ASSERT(!decoded || size + 8 > Payload(frame).size());
    }
  }

  // Guards against enumeration values that no switch handles.
  void TestEnumerationValuesOutOfRange() {
    const auto assert_rejected = [](wire::Message type, auto create) {
      flatbuffers::FlatBufferBuilder builder;
      const auto message = create(builder);
      AssertRejected(BuildPayload(builder, type, message));
    };
    assert_rejected(wire::Message::SlotRequest, [](auto& builder) {
      return wire::CreateSlotRequest(builder, 1, 1, 1, 1, 2).Union();
    });
    assert_rejected(wire::Message::SlotRefusal, [](auto& builder) {
      return wire::CreateSlotRefusal(builder, 1, 1, 8).Union();
    });
    assert_rejected(wire::Message::SlotClaim, [](auto& builder) {
      return wire::CreateSlotClaim(builder, 1, 1, 1, 1, 2).Union();
    });
    assert_rejected(wire::Message::SlotRelease, [](auto& builder) {
      return wire::CreateSlotRelease(builder, 1, 1, 1, 1, 0, 9).Union();
    });
    assert_rejected(wire::Message::HostReport, [](auto& builder) {
      const std::vector<wire::OutstandingAttempt> list{{1, 1, 2}};
      return wire::CreateHostReport(builder, 1, builder.CreateVectorOfStructs(list)).Union();
    });
    assert_rejected(wire::Message::ServiceView, [](auto& builder) {
      const std::vector list{wire::CreateTargetView(builder, 1, 4)};
      return wire::CreateServiceView(builder, 1, 1, 1, 1, builder.CreateVector(list)).Union();
    });
  }

  // Guards against negative or huge durations that overflow when added to a time.
  void TestDurationsOutOfRange() {
    for (const std::int64_t value :
         {std::int64_t{-1}, kMaxWireDuration.count() + 1, std::numeric_limits<std::int64_t>::max(),
          std::numeric_limits<std::int64_t>::min()}) {
      flatbuffers::FlatBufferBuilder builder;
      const auto message = wire::CreateSlotRefusal(builder, 1, 1, 1, value).Union();
      AssertRejected(BuildPayload(builder, wire::Message::SlotRefusal, message));
    }
    const Envelope negative_budget{HostId{1}, {}, SlotRequest{.budget = Duration(-5)}};
    Error error;
    const auto decoded = DecodeFrame(Payload(EncodeFrame(negative_budget)), error);
    CPPUNIT_ASSERT(decoded);
    CPPUNIT_ASSERT(std::get<SlotRequest>(decoded->message).budget == Duration::zero());
  }

  // Guards against dereferencing a null pointer.
  void TestMissingOrUnknownMessage() {
    flatbuffers::FlatBufferBuilder empty;
    AssertRejected(BuildPayload(empty, wire::Message::SlotGrant, {}));
    flatbuffers::FlatBufferBuilder untyped;
    const auto grant = wire::CreateSlotGrant(untyped, 1, 1, 1).Union();
    AssertRejected(BuildPayload(untyped, wire::Message::NONE, grant));
    flatbuffers::FlatBufferBuilder unknown;
    const auto other = wire::CreateSlotGrant(unknown, 1, 1, 1).Union();
    const auto first_unknown =
        static_cast<wire::Message>(static_cast<std::uint8_t>(wire::Message::MAX) + 1);
    AssertRejected(BuildPayload(unknown, first_unknown, other));
  }

  // Guards against a forged frame whose rows share one value and decode into far more
  // memory than the frame has.
  void TestSharedRowValuesAreRejected() {
    flatbuffers::FlatBufferBuilder builder;
    const auto value = builder.CreateVector(std::vector<std::uint8_t>(100'000, 1));
    std::vector<flatbuffers::Offset<wire::RelayedRow>> rows;
    for (int index = 0; index < 1000; ++index) {
      rows.push_back(wire::CreateRelayedRow(builder, 0, 1, value));
    }
    const auto relay = wire::CreateRowRelay(builder, 0, 0, 1, builder.CreateVector(rows)).Union();
    AssertRejected(BuildPayload(builder, wire::Message::RowRelay, relay));
  }

  // Guards against a frame of 200 KB that decodes into gigabytes because many tables
  // refer to the same long list.
  void TestSharedListsAreRejected() {
    flatbuffers::FlatBufferBuilder builder;
    const auto domains = builder.CreateVector(std::vector<std::uint64_t>(10000, 1));
    std::vector<flatbuffers::Offset<wire::TargetView>> targets;
    for (int index = 0; index < 5000; ++index) {
      targets.push_back(wire::CreateTargetView(builder, 1, 0, 1, 1, domains));
    }
    const auto list = builder.CreateVector(targets);
    const auto view = wire::CreateServiceView(builder, 1, 1, 1, 1, list).Union();
    AssertRejected(BuildPayload(builder, wire::Message::ServiceView, view));
  }

  // Guards against sending a frame for which every receiver closes the connection.
  void TestEncoderLimits() {
    const auto encode = [](Message message) {
      return EncodeFrame({HostId{1}, DomainId{1}, std::move(message)});
    };
    ConfigurationDocument document{.revision = 1, .content = std::string(1'000'000, 'x')};
    CPPUNIT_ASSERT(!encode(document).empty());
    document.content.resize(kMaxFramePayloadBytes);
    CPPUNIT_ASSERT(encode(document).empty());
    document.content.clear();
    document.author = std::string(kMaxWireNameBytes + 1, 'x');
    CPPUNIT_ASSERT(encode(document).empty());
    SlotRequest request;
    request.allowed.resize(kMaxWireListEntries);
    CPPUNIT_ASSERT(!encode(request).empty());
    request.allowed.resize(kMaxWireListEntries + 1);
    CPPUNIT_ASSERT(encode(request).empty());
    RowRelay relay{.version = {kMaxWireVersionNumber, kMaxWireEra}};
    CPPUNIT_ASSERT(!encode(relay).empty());
    relay.version = {kMaxWireVersionNumber + 1, 1};
    CPPUNIT_ASSERT(encode(relay).empty());
    relay.version = {1, kMaxWireEra + 1};
    CPPUNIT_ASSERT(encode(relay).empty());
  }

  void TestDecoderLimits() {
    flatbuffers::FlatBufferBuilder long_name;
    const auto name = long_name.CreateString(std::string(kMaxWireNameBytes + 1, 'x'));
    const auto document = wire::CreateConfigurationDocument(long_name, 2, 1, name).Union();
    AssertRejected(BuildPayload(long_name, wire::Message::ConfigurationDocument, document));
    flatbuffers::FlatBufferBuilder long_list;
    const auto ids = long_list.CreateVector(std::vector<std::uint64_t>(kMaxWireListEntries + 1, 1));
    const auto request =
        wire::CreateSlotRequest(long_list, 1, 1, 1, 1, 0, 1, 1, false, 0, ids).Union();
    AssertRejected(BuildPayload(long_list, wire::Message::SlotRequest, request));
    AssertRejected("");
    AssertRejected(std::string(kMaxFramePayloadBytes + 1, '\0'));
  }

  // Guards against a forged message that makes a broker keep any number of counters, or whose
  // times overflow.
  void TestRetryUsageOutOfRange() {
    const auto encode = [](std::size_t counters, std::size_t intervals, std::uint64_t first) {
      flatbuffers::FlatBufferBuilder builder;
      std::vector<flatbuffers::Offset<wire::RetryCounter>> list;
      for (std::size_t index = 0; index < counters; ++index) {
        const auto counts =
            builder.CreateVectorOfStructs(std::vector<wire::RetryCounts>(intervals, {1, 1}));
        list.push_back(wire::CreateRetryCounter(builder, index, first, 0, counts));
      }
      const auto vector = builder.CreateVector(list);
      const auto usage = wire::CreateRetryUsage(builder, 1, false, 0, vector);
      const auto notices = wire::CreateNotices(builder, {}, {}, usage).Union();
      return BuildPayload(builder, wire::Message::Notices, notices);
    };
    Error error;
    CPPUNIT_ASSERT(DecodeFrame(
        encode(kMaxWireRetryCounters, kMaxWireRetryIntervals, kMaxWireRetryInterval), error));
    AssertRejected(encode(kMaxWireRetryCounters + 1, 1, 0));
    AssertRejected(encode(1, kMaxWireRetryIntervals + 1, 0));
    AssertRejected(encode(1, 1, kMaxWireRetryInterval + 1));
    RetryUsage usage{.counters = {{.intervals = std::vector<RetryCounts>(kMaxWireRetryIntervals)}}};
    CPPUNIT_ASSERT(!EncodeFrame({HostId{1}, {}, usage}).empty());
    usage.counters[0].intervals.emplace_back();
    CPPUNIT_ASSERT(EncodeFrame({HostId{1}, {}, usage}).empty());
  }

  // Guards against hosts of an earlier version that close the connection, and lose what else is on
  // it, because they do not know the message.
  void TestEarlierVersionsRejectRetryUsage() {
    const std::string frame = EncodeFrame({HostId{1}, {}, RetryUsage{.service = ServiceId{1}}});
    const wire::Envelope* const envelope = wire::GetEnvelope(Payload(frame).data());
    CPPUNIT_ASSERT(envelope->message_type() == wire::Message::Notices);
    CPPUNIT_ASSERT(envelope->message_as_Notices()->leaving_targets() == nullptr);
    CPPUNIT_ASSERT(envelope->message_as_Notices()->fingerprints() == nullptr);
  }

 private:
  static std::string RandomBytes(std::mt19937_64& engine) {
    std::string bytes(engine() % 300, '\0');
    for (char& byte : bytes) {
      byte = static_cast<char>(engine());
    }
    return bytes;
  }

  static std::string Corrupt(std::mt19937_64& engine,
                             const std::vector<std::string>& valid_payloads) {
    std::string payload = valid_payloads[engine() % valid_payloads.size()];
    const auto changes = 1 + engine() % 6;
    for (std::uint64_t change = 0; change < changes && !payload.empty(); ++change) {
      const std::size_t position = engine() % payload.size();
      switch (engine() % 6) {
        case 0:
          payload[position] = static_cast<char>(engine());
          break;
        case 1:
          payload[position] = static_cast<char>(payload[position] ^ (1 << (engine() % 8)));
          break;
        case 2:
          payload.resize(position);
          break;
        case 3: {
          const std::string& other = valid_payloads[engine() % valid_payloads.size()];
          payload = payload.substr(0, position) + other.substr(std::min(position, other.size()));
          break;
        }
        case 4:
          payload.insert(position, std::string(1 + engine() % 16, static_cast<char>(engine())));
          break;
        default:
          // Produces offsets near the limits of their type.
          for (std::size_t index = position; index < std::min(position + 4, payload.size());
               ++index) {
            payload[index] = static_cast<char>(engine() % 2 == 0 ? 0xff : 0x00);
          }
          break;
      }
    }
    return payload;
  }
};

class FrameReaderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FrameReaderTest);
  CPPUNIT_TEST(TestFramesSplitAcrossReads);
  CPPUNIT_TEST(TestFrameLengthOutOfRange);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against frames that are lost or merged when TCP splits the stream.
  void TestFramesSplitAcrossReads() {
    const bool passed = rc::check("split of a stream into reads", [] {
      const auto payloads = *rc::gen::container<std::vector<std::string>>(
          rc::gen::nonEmpty(rc::gen::arbitrary<std::string>()));
      std::string stream;
      for (const std::string& payload : payloads) {
        const std::size_t size = payload.size();
        stream += {static_cast<char>(size), static_cast<char>(size >> 8),
                   static_cast<char>(size >> 16), static_cast<char>(size >> 24)};
        stream += payload;
      }
      FrameReader reader;
      Error error;
      std::vector<std::string> received;
      std::size_t position = 0;
      while (position < stream.size()) {
        const auto size = *rc::gen::inRange<std::size_t>(1, 40);
        reader.Append(std::string_view(stream).substr(position, size));
        position += size;
        while (auto payload = reader.Next(error)) {
          received.push_back(*payload);
        }
      }
      RC_ASSERT(error == Error{});
      RC_ASSERT(received == payloads);
      RC_ASSERT(reader.buffered_bytes() == 0U);
    });
    CPPUNIT_ASSERT(passed);
  }

  // Guards against allocating memory according to a corrupted length.
  void TestFrameLengthOutOfRange() {
    const auto read_prefix = [](std::string_view prefix) {
      FrameReader reader;
      reader.Append(prefix);
      Error error;
      CPPUNIT_ASSERT(!reader.Next(error));
      return error.code;
    };
    CPPUNIT_ASSERT(read_prefix(std::string_view("\x00\x00\x00\x00", 4)) == ErrorCode::kProtocol);
    CPPUNIT_ASSERT(read_prefix(std::string_view("\xff\xff\xff\xff", 4)) == ErrorCode::kProtocol);
    CPPUNIT_ASSERT(read_prefix(std::string_view("\x01\x00\x10\x00", 4)) == ErrorCode::kProtocol);
    CPPUNIT_ASSERT(read_prefix(std::string_view("\x00\x00\x10\x00", 4)) == ErrorCode::kNone);
    CPPUNIT_ASSERT(read_prefix(std::string_view("\x01\x00\x00", 3)) == ErrorCode::kNone);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);
CPPUNIT_TEST_SUITE_REGISTRATION(FrameReaderTest);

}  // namespace
}  // namespace pimentopin
