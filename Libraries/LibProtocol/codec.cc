#include "Libraries/LibProtocol/codec.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstring>
#include <limits>
#include <type_traits>
#include <utility>
#include <vector>

#include "Libraries/LibProtocol/messages_generated.h"

namespace pimentopin {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

constexpr std::uint32_t kMaxNestingDepth = 8;
// A version of the store takes one number, with the era in its upper bits: a second one would
// lengthen each digest, of which a reader sends many a second.
constexpr int kVersionNumberBits = 44;
static_assert(kMaxWireVersionNumber == (std::uint64_t{1} << kVersionNumberBits) - 1);
static_assert(kMaxWireEra == (StoreEra{1} << (64 - kVersionNumberBits)) - 1);

StoreVersion DecodeVersion(std::uint64_t encoded) {
  return {encoded & kMaxWireVersionNumber, encoded >> kVersionNumberBits};
}

// Encodes one message and checks its size limits.
class Encoder {
 public:
  std::string Encode(const Envelope& envelope) {
    const auto [type, message] = std::visit(
        [this](const auto& value) { return this->EncodeMessage(value); }, envelope.message);
    this->builder.Finish(wire::CreateEnvelope(this->builder, RawId(envelope.sender),
                                              RawId(envelope.sender_domain), type, message));
    const std::size_t size = this->builder.GetSize();
    if (!this->within_limits || size > kMaxFramePayloadBytes) {
      return {};
    }
    std::string frame;
    frame.reserve(kFramePrefixBytes + size);
    for (std::size_t index = 0; index < kFramePrefixBytes; ++index) {
      frame.push_back(static_cast<char>((size >> (8 * index)) & 0xff));
    }
    frame.append(reinterpret_cast<const char*>(this->builder.GetBufferPointer()), size);
    return frame;
  }

 private:
  using TypedMessage = std::pair<wire::Message, Offset<void>>;

  void CheckLimit(bool condition) { this->within_limits = this->within_limits && condition; }

  static std::int64_t EncodeDuration(Duration duration) {
    return std::clamp(duration, Duration::zero(), kMaxWireDuration).count();
  }

  std::uint64_t EncodeVersion(const StoreVersion& version) {
    this->CheckLimit(version.era <= kMaxWireEra && version.number <= kMaxWireVersionNumber);
    return version.era << kVersionNumberBits | version.number;
  }

  template <typename Enum>
  static std::uint8_t EnumByte(Enum value) {
    return static_cast<std::uint8_t>(value);
  }

  Offset<flatbuffers::Vector<std::uint8_t>> EncodeBytes(const std::string& bytes) {
    this->CheckLimit(bytes.size() <= kMaxFramePayloadBytes);
    return bytes.empty() ? Offset<flatbuffers::Vector<std::uint8_t>>()
                         : this->builder.CreateVector(
                               reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  }

  // Empty strings and lists are omitted; the decoder reads absent ones as empty.
  Offset<flatbuffers::String> EncodeString(const std::string& text, std::size_t limit) {
    this->CheckLimit(text.size() <= limit);
    return text.empty() ? Offset<flatbuffers::String>() : this->builder.CreateString(text);
  }

  template <typename Id>
  Offset<flatbuffers::Vector<std::uint64_t>> EncodeIds(const std::vector<Id>& ids) {
    this->CheckLimit(ids.size() <= kMaxWireListEntries);
    if (ids.empty()) {
      return {};
    }
    std::vector<std::uint64_t> raw;
    raw.reserve(ids.size());
    std::transform(ids.begin(), ids.end(), std::back_inserter(raw),
                   [](Id id) { return RawId(id); });
    return this->builder.CreateVector(raw);
  }

  template <typename Struct>
  Offset<flatbuffers::Vector<const Struct*>> EncodeStructs(const std::vector<Struct>& structs) {
    this->CheckLimit(structs.size() <= kMaxWireListEntries);
    if (structs.empty()) {
      return {};
    }
    return this->builder.CreateVectorOfStructs(structs);
  }

  template <typename Table>
  Offset<flatbuffers::Vector<Offset<Table>>> EncodeTables(
      const std::vector<Offset<Table>>& tables) {
    this->CheckLimit(tables.size() <= kMaxWireListEntries);
    if (tables.empty()) {
      return {};
    }
    return this->builder.CreateVector(tables);
  }

  TypedMessage EncodeMessage(const SlotRequest& value) {
    const auto allowed = this->EncodeIds(value.allowed);
    const auto excluded = this->EncodeIds(value.excluded);
    const auto forbidden = this->EncodeIds(value.forbidden);
    return {wire::Message::SlotRequest,
            wire::CreateSlotRequest(this->builder, RawId(value.attempt), RawId(value.service),
                                    RawId(value.organisation), RawId(value.caller),
                                    EnumByte(value.work_class), EncodeDuration(value.budget),
                                    RawId(value.fingerprint), value.is_retry, value.affinity_key,
                                    allowed, excluded, value.idempotent, value.bulk, forbidden,
                                    RawId(value.kind), value.priority, RawId(value.work_key))
                .Union()};
  }

  TypedMessage EncodeMessage(const SlotCancel& value) {
    return {
        wire::Message::SlotCancel,
        wire::CreateSlotCancel(this->builder, RawId(value.attempt), RawId(value.service)).Union()};
  }

  TypedMessage EncodeMessage(const SlotGrant& value) {
    return {wire::Message::SlotGrant,
            wire::CreateSlotGrant(this->builder, RawId(value.attempt), RawId(value.service),
                                  RawId(value.target))
                .Union()};
  }

  TypedMessage EncodeMessage(const SlotRefusal& value) {
    return {wire::Message::SlotRefusal,
            wire::CreateSlotRefusal(this->builder, RawId(value.attempt), RawId(value.service),
                                    EnumByte(value.reason), EncodeDuration(value.retry_after))
                .Union()};
  }

  TypedMessage EncodeMessage(const SlotClaim& value) {
    return {wire::Message::SlotClaim,
            wire::CreateSlotClaim(this->builder, RawId(value.attempt), RawId(value.service),
                                  RawId(value.target), RawId(value.organisation),
                                  EnumByte(value.work_class), value.is_retry, RawId(value.work_key))
                .Union()};
  }

  TypedMessage EncodeMessage(const SlotRelease& value) {
    const wire::TargetLoad load =
        value.load ? wire::TargetLoad(value.load->running, value.load->waiting, value.load->slots)
                   : wire::TargetLoad();
    return {wire::Message::SlotRelease,
            wire::CreateSlotRelease(
                this->builder, RawId(value.attempt), RawId(value.service), RawId(value.target),
                RawId(value.organisation), EnumByte(value.work_class), EnumByte(value.result),
                EncodeDuration(value.service_time), RawId(value.fingerprint), value.target_draining,
                value.request_rate_limit ? flatbuffers::Optional<double>(*value.request_rate_limit)
                                         : flatbuffers::nullopt,
                RawId(value.kind), RawId(value.work_key), value.load ? &load : nullptr)
                .Union()};
  }

  TypedMessage EncodeMessage(const HostReport& value) {
    std::vector<wire::OutstandingAttempt> outstanding;
    for (const OutstandingAttempt& attempt : value.outstanding) {
      outstanding.emplace_back(RawId(attempt.attempt), RawId(attempt.target),
                               EnumByte(attempt.work_class));
    }
    const auto list = this->EncodeStructs(outstanding);
    return {wire::Message::HostReport,
            wire::CreateHostReport(this->builder, RawId(value.service), list).Union()};
  }

  TypedMessage EncodeMessage(const ServiceView& value) {
    std::vector<Offset<wire::TargetView>> targets;
    for (const TargetView& target : value.targets) {
      const auto unreachable_from = this->EncodeIds(target.unreachable_from);
      targets.push_back(wire::CreateTargetView(this->builder, RawId(target.target),
                                               EnumByte(target.state), target.usable_slots,
                                               target.free_slots, unreachable_from));
    }
    const auto list = this->EncodeTables(targets);
    return {wire::Message::ServiceView,
            wire::CreateServiceView(this->builder, RawId(value.service), value.sequence,
                                    value.queued, value.active_hosts, list)
                .Union()};
  }

  TypedMessage EncodeMessage(const ProbeReport& value) {
    return {wire::Message::ProbeReport,
            wire::CreateProbeReport(this->builder, RawId(value.service), RawId(value.target),
                                    EnumByte(value.result), EncodeDuration(value.service_time))
                .Union()};
  }

  TypedMessage EncodeMessage(const QuotaRequest& value) {
    return {wire::Message::QuotaRequest,
            wire::CreateQuotaRequest(this->builder, RawId(value.request), RawId(value.organisation),
                                     value.part, value.wanted)
                .Union()};
  }

  TypedMessage EncodeMessage(const QuotaReply& value) {
    return {wire::Message::QuotaReply,
            wire::CreateQuotaReply(this->builder, RawId(value.request), RawId(value.organisation),
                                   value.part, value.holds, value.granted,
                                   EncodeDuration(value.retry_after), RawId(value.holder))
                .Union()};
  }

  TypedMessage EncodeMessage(const RetryUsage& value) {
    this->CheckLimit(value.counters.size() <= kMaxWireRetryCounters);
    std::vector<Offset<wire::RetryCounter>> counters;
    for (const RetryCounter& counter : value.counters) {
      this->CheckLimit(counter.intervals.size() <= kMaxWireRetryIntervals &&
                       counter.first_interval <= kMaxWireRetryInterval);
      std::vector<wire::RetryCounts> intervals;
      for (const RetryCounts& counts : counter.intervals) {
        intervals.emplace_back(counts.first_attempts, counts.retries);
      }
      const auto list = this->EncodeStructs(intervals);
      counters.push_back(wire::CreateRetryCounter(this->builder, RawId(counter.counter),
                                                  counter.first_interval,
                                                  EncodeDuration(counter.age), list));
    }
    const auto list = this->EncodeTables(counters);
    const auto usage = wire::CreateRetryUsage(this->builder, RawId(value.service), value.asks,
                                              EncodeDuration(value.known_for), list);
    return {wire::Message::Notices, wire::CreateNotices(this->builder, {}, {}, usage).Union()};
  }

  TypedMessage EncodeMessage(const Notices& value) {
    std::vector<wire::LeavingTarget> leaving;
    for (const LeavingTarget& notice : value.leaving_targets) {
      leaving.emplace_back(RawId(notice.target), EncodeDuration(notice.remaining));
    }
    std::vector<Offset<wire::FingerprintRecord>> fingerprints;
    for (const FingerprintRecord& record : value.fingerprints) {
      const auto kills = this->EncodeIds(record.kills);
      fingerprints.push_back(wire::CreateFingerprintRecord(this->builder, RawId(record.fingerprint),
                                                           RawId(record.service), kills,
                                                           EncodeDuration(record.remaining)));
    }
    const auto leaving_list = this->EncodeStructs(leaving);
    const auto fingerprint_list = this->EncodeTables(fingerprints);
    return {wire::Message::Notices,
            wire::CreateNotices(this->builder, leaving_list, fingerprint_list).Union()};
  }

  TypedMessage EncodeMessage(const StoreDigest& value) {
    const auto address = this->EncodeString(value.address, kMaxWireAddressBytes);
    std::vector<Offset<wire::TableVersion>> tables;
    for (const TableVersion& table : value.tables) {
      const auto name = this->EncodeString(table.table, kMaxWireNameBytes);
      tables.push_back(
          wire::CreateTableVersion(this->builder, name, this->EncodeVersion(table.version)));
    }
    const auto table_list = this->EncodeTables(tables);
    return {
        wire::Message::StoreDigest,
        wire::CreateStoreDigest(
            this->builder, address, value.store_answered, value.configuration_revision, table_list,
            RawId(value.reader), value.age.count(), value.asks,
            value.confirmed_store_time ? flatbuffers::Optional<std::int64_t>(
                                             value.confirmed_store_time->time_since_epoch().count())
                                       : flatbuffers::nullopt)
            .Union()};
  }

  TypedMessage EncodeMessage(const RowRelay& value) {
    const auto name = this->EncodeString(value.table, kMaxWireNameBytes);
    std::vector<Offset<wire::RelayedRow>> rows;
    for (const RelayedRow& row : value.rows) {
      const auto key = this->EncodeString(row.key, kMaxWireNameBytes);
      const auto bytes = this->EncodeBytes(row.value);
      rows.push_back(wire::CreateRelayedRow(this->builder, key, this->EncodeVersion(row.version),
                                            bytes, row.removed));
    }
    const auto list = this->EncodeTables(rows);
    return {wire::Message::RowRelay,
            wire::CreateRowRelay(this->builder, name, this->EncodeVersion(value.base_version),
                                 this->EncodeVersion(value.version), list)
                .Union()};
  }

  TypedMessage EncodeMessage(const RowRelayRequest& value) {
    const auto name = this->EncodeString(value.table, kMaxWireNameBytes);
    return {wire::Message::RowRelayRequest,
            wire::CreateRowRelayRequest(this->builder, name).Union()};
  }

  TypedMessage EncodeMessage(const ConfigurationOffer& value) {
    return {wire::Message::ConfigurationOffer,
            wire::CreateConfigurationOffer(this->builder, value.revision).Union()};
  }

  TypedMessage EncodeMessage(const ConfigurationRequest& value) {
    return {wire::Message::ConfigurationRequest,
            wire::CreateConfigurationRequest(this->builder, value.known_revision,
                                             value.accepts_compressed)
                .Union()};
  }

  TypedMessage EncodeMessage(const ConfigurationDocument& value) {
    return {wire::Message::ConfigurationDocument, this->EncodeDocument(value).Union()};
  }

  TypedMessage EncodeMessage(const CompressedConfigurationDocument& value) {
    const auto document = this->EncodeDocument(value.document);
    const auto content = this->EncodeBytes(value.compressed_content);
    return {wire::Message::CompressedConfigurationDocument,
            wire::CreateCompressedConfigurationDocument(this->builder, document,
                                                        value.content_bytes, content)
                .Union()};
  }

  Offset<wire::ConfigurationDocument> EncodeDocument(const ConfigurationDocument& value) {
    const auto change_id = this->EncodeString(value.change_id, kMaxWireNameBytes);
    const auto author = this->EncodeString(value.author, kMaxWireNameBytes);
    const auto content = this->EncodeString(value.content, kMaxFramePayloadBytes);
    return wire::CreateConfigurationDocument(this->builder, value.revision, value.base_revision,
                                             change_id, author, value.committed_at_ms, content);
  }

  FlatBufferBuilder builder;
  bool within_limits = true;
};

// Decodes one verified message and checks what the FlatBuffers verifier does not:
// enumerations, lengths and durations.
class Decoder {
 public:
  Decoder(std::size_t payload_size, Error& reason) : error(reason), remaining_bytes(payload_size) {}

  std::optional<Envelope> Decode(const wire::Envelope& envelope) {
    Envelope result{HostId{envelope.sender()}, DomainId{envelope.sender_domain()}, {}};
    if (envelope.message() == nullptr) {
      this->Reject("message is missing");
      return std::nullopt;
    }
    switch (envelope.message_type()) {
      case wire::Message::SlotRequest:
        result.message = this->DecodeMessage(*envelope.message_as_SlotRequest());
        break;
      case wire::Message::SlotCancel:
        result.message = DecodeMessage(*envelope.message_as_SlotCancel());
        break;
      case wire::Message::SlotGrant:
        result.message = DecodeMessage(*envelope.message_as_SlotGrant());
        break;
      case wire::Message::SlotRefusal:
        result.message = this->DecodeMessage(*envelope.message_as_SlotRefusal());
        break;
      case wire::Message::SlotClaim:
        result.message = this->DecodeMessage(*envelope.message_as_SlotClaim());
        break;
      case wire::Message::SlotRelease:
        result.message = this->DecodeMessage(*envelope.message_as_SlotRelease());
        break;
      case wire::Message::HostReport:
        result.message = this->DecodeMessage(*envelope.message_as_HostReport());
        break;
      case wire::Message::ServiceView:
        result.message = this->DecodeMessage(*envelope.message_as_ServiceView());
        break;
      case wire::Message::Notices:
        if (const wire::RetryUsage* usage = envelope.message_as_Notices()->retry_usage()) {
          result.message = this->DecodeMessage(*usage);
        } else {
          result.message = this->DecodeMessage(*envelope.message_as_Notices());
        }
        break;
      case wire::Message::StoreDigest:
        result.message = this->DecodeMessage(*envelope.message_as_StoreDigest());
        break;
      case wire::Message::RowRelay:
        result.message = this->DecodeMessage(*envelope.message_as_RowRelay());
        break;
      case wire::Message::RowRelayRequest:
        result.message = RowRelayRequest{this->DecodeString(
            envelope.message_as_RowRelayRequest()->table_name(), kMaxWireNameBytes)};
        break;
      case wire::Message::ConfigurationOffer:
        result.message = ConfigurationOffer{envelope.message_as_ConfigurationOffer()->revision()};
        break;
      case wire::Message::ConfigurationRequest:
        result.message =
            ConfigurationRequest{envelope.message_as_ConfigurationRequest()->known_revision(),
                                 envelope.message_as_ConfigurationRequest()->accepts_compressed()};
        break;
      case wire::Message::ConfigurationDocument:
        result.message = this->DecodeMessage(*envelope.message_as_ConfigurationDocument());
        break;
      case wire::Message::CompressedConfigurationDocument:
        result.message =
            this->DecodeMessage(*envelope.message_as_CompressedConfigurationDocument());
        break;
      case wire::Message::ProbeReport:
        result.message = this->DecodeMessage(*envelope.message_as_ProbeReport());
        break;
      case wire::Message::QuotaRequest:
        result.message = DecodeMessage(*envelope.message_as_QuotaRequest());
        break;
      case wire::Message::QuotaReply:
        result.message = this->DecodeMessage(*envelope.message_as_QuotaReply());
        break;
      default:
        this->Reject("message type is unknown");
        break;
    }
    if (this->rejected) {
      return std::nullopt;
    }
    return result;
  }

 private:
  // Only the first reason is reported.
  void Reject(const char* reason) {
    if (!this->rejected) {
      this->error = {ErrorCode::kProtocol, reason};
    }
    this->rejected = true;
  }

  template <typename Enum>
  Enum DecodeEnum(std::uint8_t value, Enum last) {
    if (value > static_cast<std::uint8_t>(last)) {
      this->Reject("enumeration value is out of range");
      return Enum{};
    }
    return Enum{value};
  }

  std::optional<double> DecodeRate(const flatbuffers::Optional<double>& value) {
    if (!value) {
      return std::nullopt;
    }
    if (!std::isfinite(*value) || *value < 0) {
      this->Reject("rate is out of range");
      return std::nullopt;
    }
    return *value;
  }

  Duration DecodeDuration(std::int64_t value) {
    if (value < 0 || value > kMaxWireDuration.count()) {
      this->Reject("duration is out of range");
      return Duration::zero();
    }
    return Duration(value);
  }

  std::string DecodeString(const flatbuffers::String* text, std::size_t limit) {
    if (text == nullptr) {
      return {};
    }
    if (text->size() > limit) {
      this->Reject("string exceeds its length limit");
      return {};
    }
    return this->ConsumeBytes(text->size()) ? text->str() : std::string();
  }

  std::string DecodeBytes(const flatbuffers::Vector<std::uint8_t>* bytes) {
    if (bytes == nullptr || !this->ConsumeBytes(bytes->size())) {
      return {};
    }
    return {reinterpret_cast<const char*>(bytes->Data()), bytes->size()};
  }

  // Returns the number of elements to read, 0 for an absent or invalid list.
  template <typename Vector>
  std::uint32_t ElementCount(const Vector* list) {
    if (list == nullptr) {
      return 0;
    }
    if (list->size() > kMaxWireListEntries) {
      this->Reject("list exceeds its length limit");
      return 0;
    }
    // The verifier checks the alignment of the list's length, but not of its elements.
    using Element = std::remove_pointer_t<typename Vector::return_type>;
    if (reinterpret_cast<std::uintptr_t>(list->Data()) % alignof(Element) != 0) {
      this->Reject("list elements are not aligned");
      return 0;
    }
    // Each list element takes at least 4 bytes, the size of an offset.
    return this->ConsumeBytes(list->size() * std::size_t{4}) ? list->size() : 0;
  }

  // In a forged payload, several fields may refer to the same bytes. Limiting the sum
  // of all sizes to the payload size keeps a small frame from exhausting memory.
  bool ConsumeBytes(std::size_t bytes) {
    if (bytes > this->remaining_bytes) {
      this->Reject("strings and lists add up to more than the payload size");
      return false;
    }
    this->remaining_bytes -= bytes;
    return true;
  }

  template <typename Id>
  std::vector<Id> DecodeIds(const flatbuffers::Vector<std::uint64_t>* list) {
    std::vector<Id> ids;
    const std::uint32_t count = this->ElementCount(list);
    ids.reserve(count);
    for (std::uint32_t index = 0; index < count; ++index) {
      ids.push_back(Id{list->Get(index)});
    }
    return ids;
  }

  SlotRequest DecodeMessage(const wire::SlotRequest& value) {
    return {.attempt = AttemptId{value.attempt()},
            .service = ServiceId{value.service()},
            .organisation = OrganisationId{value.organisation()},
            .caller = CallerId{value.caller()},
            .work_class = this->DecodeEnum(value.work_class(), WorkClass::kLong),
            .budget = this->DecodeDuration(value.budget_us()),
            .fingerprint = Fingerprint{value.fingerprint()},
            .is_retry = value.is_retry(),
            .affinity_key = value.affinity_key(),
            .allowed = this->DecodeIds<TargetId>(value.allowed()),
            .excluded = this->DecodeIds<TargetId>(value.excluded()),
            .idempotent = value.idempotent(),
            .bulk = value.bulk(),
            .forbidden = this->DecodeIds<TargetId>(value.forbidden()),
            .kind = RequestKind{value.kind()},
            .priority = value.priority(),
            .work_key = WorkKey{value.work_key()}};
  }

  static SlotCancel DecodeMessage(const wire::SlotCancel& value) {
    return {.attempt = AttemptId{value.attempt()}, .service = ServiceId{value.service()}};
  }

  static SlotGrant DecodeMessage(const wire::SlotGrant& value) {
    return {.attempt = AttemptId{value.attempt()},
            .service = ServiceId{value.service()},
            .target = TargetId{value.target()}};
  }

  SlotRefusal DecodeMessage(const wire::SlotRefusal& value) {
    return {.attempt = AttemptId{value.attempt()},
            .service = ServiceId{value.service()},
            .reason = this->DecodeEnum(value.reason(), RefusalReason::kNotBroker),
            .retry_after = this->DecodeDuration(value.retry_after_us())};
  }

  SlotClaim DecodeMessage(const wire::SlotClaim& value) {
    return {.attempt = AttemptId{value.attempt()},
            .service = ServiceId{value.service()},
            .target = TargetId{value.target()},
            .organisation = OrganisationId{value.organisation()},
            .work_class = this->DecodeEnum(value.work_class(), WorkClass::kLong),
            .is_retry = value.is_retry(),
            .work_key = WorkKey{value.work_key()}};
  }

  SlotRelease DecodeMessage(const wire::SlotRelease& value) {
    const wire::TargetLoad* const load = value.load();
    return {.attempt = AttemptId{value.attempt()},
            .service = ServiceId{value.service()},
            .target = TargetId{value.target()},
            .organisation = OrganisationId{value.organisation()},
            .work_class = this->DecodeEnum(value.work_class(), WorkClass::kLong),
            .result = this->DecodeEnum(value.result(), AttemptResult::kCancelled),
            .service_time = this->DecodeDuration(value.service_time_us()),
            .fingerprint = Fingerprint{value.fingerprint()},
            .target_draining = value.target_draining(),
            .request_rate_limit = this->DecodeRate(value.request_rate_limit()),
            .kind = RequestKind{value.kind()},
            .work_key = WorkKey{value.work_key()},
            .load = load == nullptr ? std::nullopt
                                    : std::optional(TargetLoad{load->running(), load->waiting(),
                                                               load->slots()})};
  }

  HostReport DecodeMessage(const wire::HostReport& value) {
    HostReport report{ServiceId{value.service()}, {}};
    const std::uint32_t count = this->ElementCount(value.outstanding());
    for (std::uint32_t index = 0; index < count; ++index) {
      const wire::OutstandingAttempt& attempt = *value.outstanding()->Get(index);
      report.outstanding.push_back({AttemptId{attempt.attempt()}, TargetId{attempt.target()},
                                    this->DecodeEnum(attempt.work_class(), WorkClass::kLong)});
    }
    return report;
  }

  RetryUsage DecodeMessage(const wire::RetryUsage& value) {
    RetryUsage usage{.service = ServiceId{value.service()},
                     .asks = value.asks(),
                     .known_for = this->DecodeDuration(value.known_for_us()),
                     .counters = {}};
    const std::uint32_t count = this->ElementCount(value.counters());
    if (count > kMaxWireRetryCounters) {
      this->Reject("too many counters of retries");
      return usage;
    }
    for (std::uint32_t index = 0; index < count; ++index) {
      usage.counters.push_back(this->DecodeCounter(*value.counters()->Get(index)));
    }
    return usage;
  }

  RetryCounter DecodeCounter(const wire::RetryCounter& value) {
    RetryCounter counter{.counter = RetryCounterId{value.counter()},
                         .first_interval = value.first_interval(),
                         .age = this->DecodeDuration(value.age_us()),
                         .intervals = {}};
    const std::uint32_t count = this->ElementCount(value.intervals());
    if (count > kMaxWireRetryIntervals || counter.first_interval > kMaxWireRetryInterval) {
      this->Reject("intervals of a counter of retries are out of range");
      return counter;
    }
    for (std::uint32_t index = 0; index < count; ++index) {
      const wire::RetryCounts& counts = *value.intervals()->Get(index);
      counter.intervals.push_back({counts.first_attempts(), counts.retries()});
    }
    return counter;
  }

  ServiceView DecodeMessage(const wire::ServiceView& value) {
    ServiceView view{
        ServiceId{value.service()}, value.sequence(), value.queued(), value.active_hosts(), {}};
    const std::uint32_t count = this->ElementCount(value.targets());
    for (std::uint32_t index = 0; index < count; ++index) {
      const wire::TargetView& target = *value.targets()->Get(index);
      view.targets.push_back(
          {.target = TargetId{target.target()},
           .state = this->DecodeEnum(target.state(), TargetState::kLeaving),
           .usable_slots = target.usable_slots(),
           .free_slots = target.free_slots(),
           .unreachable_from = this->DecodeIds<DomainId>(target.unreachable_from())});
    }
    return view;
  }

  static QuotaRequest DecodeMessage(const wire::QuotaRequest& value) {
    return {.request = QuotaRequestId{value.request()},
            .organisation = OrganisationId{value.organisation()},
            .part = value.part(),
            .wanted = value.wanted()};
  }

  QuotaReply DecodeMessage(const wire::QuotaReply& value) {
    return {.request = QuotaRequestId{value.request()},
            .organisation = OrganisationId{value.organisation()},
            .part = value.part(),
            .holds = value.holds(),
            .granted = value.granted(),
            .retry_after = this->DecodeDuration(value.retry_after_us()),
            .holder = HostId{value.holder()}};
  }

  ProbeReport DecodeMessage(const wire::ProbeReport& value) {
    return {.service = ServiceId{value.service()},
            .target = TargetId{value.target()},
            .result = this->DecodeEnum(value.result(), AttemptResult::kCancelled),
            .service_time = this->DecodeDuration(value.service_time_us())};
  }

  Notices DecodeMessage(const wire::Notices& value) {
    Notices notices;
    const std::uint32_t leaving = this->ElementCount(value.leaving_targets());
    for (std::uint32_t index = 0; index < leaving; ++index) {
      const wire::LeavingTarget& notice = *value.leaving_targets()->Get(index);
      notices.leaving_targets.push_back(
          {TargetId{notice.target()}, this->DecodeDuration(notice.remaining_us())});
    }
    const std::uint32_t fingerprints = this->ElementCount(value.fingerprints());
    for (std::uint32_t index = 0; index < fingerprints; ++index) {
      const wire::FingerprintRecord& record = *value.fingerprints()->Get(index);
      notices.fingerprints.push_back({Fingerprint{record.fingerprint()},
                                      ServiceId{record.service()},
                                      this->DecodeIds<AttemptId>(record.kills()),
                                      this->DecodeDuration(record.remaining_us())});
    }
    return notices;
  }

  StoreDigest DecodeMessage(const wire::StoreDigest& value) {
    StoreDigest digest{.address = this->DecodeString(value.address(), kMaxWireAddressBytes),
                       .store_answered = value.store_answered(),
                       .configuration_revision = value.configuration_revision(),
                       .reader = HostId{value.reader()},
                       .age = this->DecodeDuration(value.age_us()),
                       .asks = value.asks()};
    if (const auto confirmed = value.confirmed_store_time_us(); confirmed.has_value()) {
      digest.confirmed_store_time = StoreTimePoint(Duration(*confirmed));
    }
    const std::uint32_t tables = this->ElementCount(value.tables());
    for (std::uint32_t index = 0; index < tables; ++index) {
      const wire::TableVersion& table = *value.tables()->Get(index);
      digest.tables.push_back({this->DecodeString(table.table_name(), kMaxWireNameBytes),
                               DecodeVersion(table.version())});
    }
    return digest;
  }

  RowRelay DecodeMessage(const wire::RowRelay& value) {
    RowRelay relay{.table = this->DecodeString(value.table_name(), kMaxWireNameBytes),
                   .base_version = DecodeVersion(value.base_version()),
                   .version = DecodeVersion(value.version())};
    const std::uint32_t rows = this->ElementCount(value.rows());
    for (std::uint32_t index = 0; index < rows; ++index) {
      const wire::RelayedRow& row = *value.rows()->Get(index);
      RelayedRow read{.key = this->DecodeString(row.key(), kMaxWireNameBytes),
                      .version = DecodeVersion(row.version()),
                      .removed = row.removed()};
      read.value = this->DecodeBytes(row.value());
      relay.rows.push_back(std::move(read));
    }
    return relay;
  }

  ConfigurationDocument DecodeMessage(const wire::ConfigurationDocument& value) {
    return {.revision = value.revision(),
            .base_revision = value.base_revision(),
            .change_id = this->DecodeString(value.change_id(), kMaxWireNameBytes),
            .author = this->DecodeString(value.author(), kMaxWireNameBytes),
            .committed_at_ms = value.committed_at_ms(),
            .content = this->DecodeString(value.content(), kMaxFramePayloadBytes)};
  }

  CompressedConfigurationDocument DecodeMessage(
      const wire::CompressedConfigurationDocument& value) {
    if (value.document() == nullptr) {
      this->Reject("compressed document has no metadata");
      return {};
    }
    return {.document = this->DecodeMessage(*value.document()),
            .content_bytes = value.content_bytes(),
            .compressed_content = this->DecodeBytes(value.compressed_content())};
  }

  Error& error;
  // Number of bytes of lists and strings that may still be decoded.
  std::size_t remaining_bytes;
  bool rejected = false;
};

}  // namespace

std::string EncodeFrame(const Envelope& envelope) {
  return Encoder().Encode(envelope);
}

std::optional<Envelope> DecodeFrame(std::string_view payload, Error& error) {
  if (payload.empty() || payload.size() > kMaxFramePayloadBytes) {
    error = {ErrorCode::kProtocol, "payload size is out of range"};
    return std::nullopt;
  }
  // FlatBuffers reads scalars in place, so the buffer must be aligned to 8 bytes.
  std::vector<std::uint64_t> aligned_payload((payload.size() + 7) / 8);
  std::memcpy(aligned_payload.data(), payload.data(), payload.size());
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(aligned_payload.data());
  // Every table takes at least 4 bytes. The limit keeps a payload that refers to one
  // table many times from occupying the verifier longer than a genuine message.
  const auto max_tables = static_cast<std::uint32_t>(payload.size() / 4 + 1);
  flatbuffers::Verifier verifier(bytes, payload.size(), kMaxNestingDepth, max_tables);
  if (!wire::VerifyEnvelopeBuffer(verifier)) {
    error = {ErrorCode::kProtocol, "payload is not a valid envelope"};
    return std::nullopt;
  }
  return Decoder(payload.size(), error).Decode(*wire::GetEnvelope(bytes));
}

}  // namespace pimentopin
