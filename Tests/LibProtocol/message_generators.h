#pragma once

#include <rapidcheck.h>

#include <string>
#include <vector>

#include "Libraries/LibProtocol/codec.h"
#include "Libraries/LibProtocol/envelope.h"

// RapidCheck generators of messages within the wire limits.
namespace pimentopin {

template <typename Id>
rc::Gen<Id> AnyId() {
  return rc::gen::map(rc::gen::arbitrary<std::uint64_t>(),
                      [](std::uint64_t raw) { return Id{raw}; });
}

template <typename Id>
rc::Gen<std::vector<Id>> AnyIds() {
  return rc::gen::container<std::vector<Id>>(AnyId<Id>());
}

template <typename Enum>
rc::Gen<Enum> AnyEnum(Enum last) {
  return rc::gen::map(rc::gen::inRange<int>(0, static_cast<int>(last) + 1),
                      [](int raw) { return static_cast<Enum>(raw); });
}

inline rc::Gen<Duration> AnyDuration() {
  return rc::gen::map(rc::gen::inRange<std::int64_t>(0, kMaxWireDuration.count() + 1),
                      [](std::int64_t count) { return Duration(count); });
}

// Strings of arbitrary bytes, including zero, of at most `limit` bytes.
inline rc::Gen<std::string> AnyString(std::size_t limit) {
  return rc::gen::map(rc::gen::arbitrary<std::string>(), [limit](std::string text) {
    text.resize(std::min(text.size(), limit));
    return text;
  });
}

// Full-range integers, with zero and small values frequent.
inline rc::Gen<std::uint64_t> AnyInteger() {
  return rc::gen::arbitrary<std::uint64_t>();
}

// Within the limits of the encoder.
inline rc::Gen<StoreVersion> AnyVersion() {
  return rc::gen::apply(
      [](std::uint64_t number, std::uint64_t era) {
        return StoreVersion(number & kMaxWireVersionNumber, era & kMaxWireEra);
      },
      AnyInteger(), AnyInteger());
}

inline rc::Gen<SlotRequest> AnySlotRequest() {
  return rc::gen::build<SlotRequest>(
      rc::gen::set(&SlotRequest::attempt, AnyId<AttemptId>()),
      rc::gen::set(&SlotRequest::service, AnyId<ServiceId>()),
      rc::gen::set(&SlotRequest::organisation, AnyId<OrganisationId>()),
      rc::gen::set(&SlotRequest::caller, AnyId<CallerId>()),
      rc::gen::set(&SlotRequest::work_class, AnyEnum(WorkClass::kLong)),
      rc::gen::set(&SlotRequest::budget, AnyDuration()),
      rc::gen::set(&SlotRequest::fingerprint, AnyId<Fingerprint>()),
      rc::gen::set(&SlotRequest::is_retry), rc::gen::set(&SlotRequest::affinity_key, AnyInteger()),
      rc::gen::set(&SlotRequest::allowed, AnyIds<TargetId>()),
      rc::gen::set(&SlotRequest::excluded, AnyIds<TargetId>()),
      rc::gen::set(&SlotRequest::idempotent), rc::gen::set(&SlotRequest::bulk),
      rc::gen::set(&SlotRequest::forbidden, AnyIds<TargetId>()),
      rc::gen::set(&SlotRequest::kind, AnyId<RequestKind>()), rc::gen::set(&SlotRequest::priority),
      rc::gen::set(&SlotRequest::work_key, AnyId<WorkKey>()));
}

inline rc::Gen<SlotCancel> AnySlotCancel() {
  return rc::gen::build<SlotCancel>(rc::gen::set(&SlotCancel::attempt, AnyId<AttemptId>()),
                                    rc::gen::set(&SlotCancel::service, AnyId<ServiceId>()));
}

inline rc::Gen<SlotGrant> AnySlotGrant() {
  return rc::gen::build<SlotGrant>(rc::gen::set(&SlotGrant::attempt, AnyId<AttemptId>()),
                                   rc::gen::set(&SlotGrant::service, AnyId<ServiceId>()),
                                   rc::gen::set(&SlotGrant::target, AnyId<TargetId>()));
}

inline rc::Gen<SlotRefusal> AnySlotRefusal() {
  return rc::gen::build<SlotRefusal>(
      rc::gen::set(&SlotRefusal::attempt, AnyId<AttemptId>()),
      rc::gen::set(&SlotRefusal::service, AnyId<ServiceId>()),
      rc::gen::set(&SlotRefusal::reason, AnyEnum(RefusalReason::kNotBroker)),
      rc::gen::set(&SlotRefusal::retry_after, AnyDuration()));
}

inline rc::Gen<SlotClaim> AnySlotClaim() {
  return rc::gen::build<SlotClaim>(rc::gen::set(&SlotClaim::attempt, AnyId<AttemptId>()),
                                   rc::gen::set(&SlotClaim::service, AnyId<ServiceId>()),
                                   rc::gen::set(&SlotClaim::target, AnyId<TargetId>()),
                                   rc::gen::set(&SlotClaim::organisation, AnyId<OrganisationId>()),
                                   rc::gen::set(&SlotClaim::work_class, AnyEnum(WorkClass::kLong)),
                                   rc::gen::set(&SlotClaim::is_retry),
                                   rc::gen::set(&SlotClaim::work_key, AnyId<WorkKey>()));
}

inline rc::Gen<std::optional<TargetLoad>> AnyTargetLoad() {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::arbitrary<bool>(), rc::gen::arbitrary<std::uint16_t>(),
                     rc::gen::arbitrary<std::uint16_t>(), rc::gen::arbitrary<std::uint16_t>()),
      [](const auto& values) {
        const auto& [stated, running, waiting, slots] = values;
        return stated ? std::optional(TargetLoad{running, waiting, slots}) : std::nullopt;
      });
}

inline rc::Gen<SlotRelease> AnySlotRelease() {
  return rc::gen::build<SlotRelease>(
      rc::gen::set(&SlotRelease::attempt, AnyId<AttemptId>()),
      rc::gen::set(&SlotRelease::service, AnyId<ServiceId>()),
      rc::gen::set(&SlotRelease::target, AnyId<TargetId>()),
      rc::gen::set(&SlotRelease::organisation, AnyId<OrganisationId>()),
      rc::gen::set(&SlotRelease::work_class, AnyEnum(WorkClass::kLong)),
      rc::gen::set(&SlotRelease::result, AnyEnum(AttemptResult::kCancelled)),
      rc::gen::set(&SlotRelease::service_time, AnyDuration()),
      rc::gen::set(&SlotRelease::fingerprint, AnyId<Fingerprint>()),
      rc::gen::set(&SlotRelease::target_draining),
      rc::gen::set(&SlotRelease::request_rate_limit,
                   rc::gen::element(std::optional<double>(), std::optional<double>(0.0),
                                    std::optional<double>(2.3))),
      rc::gen::set(&SlotRelease::kind, AnyId<RequestKind>()),
      rc::gen::set(&SlotRelease::work_key, AnyId<WorkKey>()),
      rc::gen::set(&SlotRelease::load, AnyTargetLoad()));
}

inline rc::Gen<HostReport> AnyHostReport() {
  return rc::gen::build<HostReport>(
      rc::gen::set(&HostReport::service, AnyId<ServiceId>()),
      rc::gen::set(
          &HostReport::outstanding,
          rc::gen::container<std::vector<OutstandingAttempt>>(rc::gen::build<OutstandingAttempt>(
              rc::gen::set(&OutstandingAttempt::attempt, AnyId<AttemptId>()),
              rc::gen::set(&OutstandingAttempt::target, AnyId<TargetId>()),
              rc::gen::set(&OutstandingAttempt::work_class, AnyEnum(WorkClass::kLong))))));
}

inline rc::Gen<ServiceView> AnyServiceView() {
  return rc::gen::build<ServiceView>(
      rc::gen::set(&ServiceView::service, AnyId<ServiceId>()),
      rc::gen::set(&ServiceView::sequence, AnyInteger()), rc::gen::set(&ServiceView::queued),
      rc::gen::set(&ServiceView::active_hosts),
      rc::gen::set(
          &ServiceView::targets,
          rc::gen::container<std::vector<TargetView>>(rc::gen::build<TargetView>(
              rc::gen::set(&TargetView::target, AnyId<TargetId>()),
              rc::gen::set(&TargetView::state, AnyEnum(TargetState::kLeaving)),
              rc::gen::set(&TargetView::usable_slots), rc::gen::set(&TargetView::free_slots),
              rc::gen::set(&TargetView::unreachable_from, AnyIds<DomainId>())))));
}

inline rc::Gen<Notices> AnyNotices() {
  return rc::gen::build<Notices>(
      rc::gen::set(&Notices::leaving_targets,
                   rc::gen::container<std::vector<LeavingTarget>>(rc::gen::build<LeavingTarget>(
                       rc::gen::set(&LeavingTarget::target, AnyId<TargetId>()),
                       rc::gen::set(&LeavingTarget::remaining, AnyDuration())))),
      rc::gen::set(
          &Notices::fingerprints,
          rc::gen::container<std::vector<FingerprintRecord>>(rc::gen::build<FingerprintRecord>(
              rc::gen::set(&FingerprintRecord::fingerprint, AnyId<Fingerprint>()),
              rc::gen::set(&FingerprintRecord::service, AnyId<ServiceId>()),
              rc::gen::set(&FingerprintRecord::kills, AnyIds<AttemptId>()),
              rc::gen::set(&FingerprintRecord::remaining, AnyDuration())))));
}

inline rc::Gen<std::optional<StoreTimePoint>> AnyStoreTime() {
  return rc::gen::map(rc::gen::tuple(rc::gen::arbitrary<bool>(), AnyDuration()),
                      [](const std::tuple<bool, Duration>& values) {
                        return std::get<0>(values)
                                   ? std::optional(StoreTimePoint(std::get<1>(values)))
                                   : std::nullopt;
                      });
}

inline rc::Gen<StoreDigest> AnyStoreDigest() {
  return rc::gen::build<StoreDigest>(
      rc::gen::set(&StoreDigest::address, AnyString(kMaxWireAddressBytes)),
      rc::gen::set(&StoreDigest::store_answered),
      rc::gen::set(&StoreDigest::configuration_revision, AnyInteger()),
      rc::gen::set(&StoreDigest::reader, AnyId<HostId>()),
      rc::gen::set(&StoreDigest::age, AnyDuration()), rc::gen::set(&StoreDigest::asks),
      rc::gen::set(&StoreDigest::confirmed_store_time, AnyStoreTime()),
      rc::gen::set(&StoreDigest::tables,
                   rc::gen::container<std::vector<TableVersion>>(rc::gen::build<TableVersion>(
                       rc::gen::set(&TableVersion::table, AnyString(kMaxWireNameBytes)),
                       rc::gen::set(&TableVersion::version, AnyVersion())))));
}

inline rc::Gen<RowRelay> AnyRowRelay() {
  return rc::gen::build<RowRelay>(
      rc::gen::set(&RowRelay::table, AnyString(kMaxWireNameBytes)),
      rc::gen::set(&RowRelay::base_version, AnyVersion()),
      rc::gen::set(&RowRelay::version, AnyVersion()),
      rc::gen::set(&RowRelay::rows,
                   rc::gen::container<std::vector<RelayedRow>>(rc::gen::build<RelayedRow>(
                       rc::gen::set(&RelayedRow::key, AnyString(kMaxWireNameBytes)),
                       rc::gen::set(&RelayedRow::version, AnyVersion()),
                       rc::gen::set(&RelayedRow::value, rc::gen::arbitrary<std::string>()),
                       rc::gen::set(&RelayedRow::removed)))));
}

inline rc::Gen<RowRelayRequest> AnyRowRelayRequest() {
  return rc::gen::build<RowRelayRequest>(
      rc::gen::set(&RowRelayRequest::table, AnyString(kMaxWireNameBytes)));
}

inline rc::Gen<ConfigurationOffer> AnyConfigurationOffer() {
  return rc::gen::build<ConfigurationOffer>(
      rc::gen::set(&ConfigurationOffer::revision, AnyInteger()));
}

inline rc::Gen<ConfigurationRequest> AnyConfigurationRequest() {
  return rc::gen::build<ConfigurationRequest>(
      rc::gen::set(&ConfigurationRequest::known_revision, AnyInteger()),
      rc::gen::set(&ConfigurationRequest::accepts_compressed));
}

inline rc::Gen<ConfigurationDocument> AnyConfigurationDocument() {
  return rc::gen::build<ConfigurationDocument>(
      rc::gen::set(&ConfigurationDocument::revision, AnyInteger()),
      rc::gen::set(&ConfigurationDocument::base_revision, AnyInteger()),
      rc::gen::set(&ConfigurationDocument::change_id, AnyString(kMaxWireNameBytes)),
      rc::gen::set(&ConfigurationDocument::author, AnyString(kMaxWireNameBytes)),
      rc::gen::set(&ConfigurationDocument::committed_at_ms, AnyInteger()),
      rc::gen::set(&ConfigurationDocument::content, rc::gen::arbitrary<std::string>()));
}

inline rc::Gen<CompressedConfigurationDocument> AnyCompressedConfigurationDocument() {
  return rc::gen::build<CompressedConfigurationDocument>(
      rc::gen::set(&CompressedConfigurationDocument::document, AnyConfigurationDocument()),
      rc::gen::set(&CompressedConfigurationDocument::content_bytes),
      rc::gen::set(&CompressedConfigurationDocument::compressed_content,
                   rc::gen::arbitrary<std::string>()));
}

inline rc::Gen<ProbeReport> AnyProbeReport() {
  return rc::gen::build<ProbeReport>(
      rc::gen::set(&ProbeReport::service, AnyId<ServiceId>()),
      rc::gen::set(&ProbeReport::target, AnyId<TargetId>()),
      rc::gen::set(&ProbeReport::result, AnyEnum(AttemptResult::kCancelled)),
      rc::gen::set(&ProbeReport::service_time, AnyDuration()));
}

inline rc::Gen<std::vector<RetryCounts>> AnyRetryCounts() {
  return rc::gen::resize(
      static_cast<int>(kMaxWireRetryIntervals),
      rc::gen::container<std::vector<RetryCounts>>(rc::gen::build<RetryCounts>(
          rc::gen::set(&RetryCounts::first_attempts), rc::gen::set(&RetryCounts::retries))));
}

inline rc::Gen<RetryUsage> AnyRetryUsage() {
  return rc::gen::build<RetryUsage>(
      rc::gen::set(&RetryUsage::service, AnyId<ServiceId>()), rc::gen::set(&RetryUsage::asks),
      rc::gen::set(&RetryUsage::known_for, AnyDuration()),
      rc::gen::set(
          &RetryUsage::counters,
          rc::gen::resize(
              static_cast<int>(kMaxWireRetryCounters),
              rc::gen::container<std::vector<RetryCounter>>(rc::gen::build<RetryCounter>(
                  rc::gen::set(&RetryCounter::counter, AnyId<RetryCounterId>()),
                  rc::gen::set(&RetryCounter::first_interval,
                               rc::gen::inRange<std::uint64_t>(0, kMaxWireRetryInterval + 1)),
                  rc::gen::set(&RetryCounter::age, AnyDuration()),
                  rc::gen::set(&RetryCounter::intervals, AnyRetryCounts()))))));
}

inline rc::Gen<QuotaRequest> AnyQuotaRequest() {
  return rc::gen::build<QuotaRequest>(
      rc::gen::set(&QuotaRequest::request, AnyId<QuotaRequestId>()),
      rc::gen::set(&QuotaRequest::organisation, AnyId<OrganisationId>()),
      rc::gen::set(&QuotaRequest::part), rc::gen::set(&QuotaRequest::wanted));
}

inline rc::Gen<QuotaReply> AnyQuotaReply() {
  return rc::gen::build<QuotaReply>(
      rc::gen::set(&QuotaReply::request, AnyId<QuotaRequestId>()),
      rc::gen::set(&QuotaReply::organisation, AnyId<OrganisationId>()),
      rc::gen::set(&QuotaReply::part), rc::gen::set(&QuotaReply::holds),
      rc::gen::set(&QuotaReply::granted), rc::gen::set(&QuotaReply::retry_after, AnyDuration()),
      rc::gen::set(&QuotaReply::holder, AnyId<HostId>()));
}

template <typename Value>
rc::Gen<Envelope> EnvelopeOf(rc::Gen<Value> message) {
  return rc::gen::build<Envelope>(
      rc::gen::set(&Envelope::sender, AnyId<HostId>()),
      rc::gen::set(&Envelope::sender_domain, AnyId<DomainId>()),
      rc::gen::set(&Envelope::message, rc::gen::map(std::move(message), [](Value value) {
        return Message(std::move(value));
      })));
}

// One generator for each alternative of Message, in the order of the variant.
inline std::vector<rc::Gen<Envelope>> EnvelopeGenerators() {
  return {EnvelopeOf(AnySlotRequest()),
          EnvelopeOf(AnySlotCancel()),
          EnvelopeOf(AnySlotGrant()),
          EnvelopeOf(AnySlotRefusal()),
          EnvelopeOf(AnySlotClaim()),
          EnvelopeOf(AnySlotRelease()),
          EnvelopeOf(AnyHostReport()),
          EnvelopeOf(AnyServiceView()),
          EnvelopeOf(AnyNotices()),
          EnvelopeOf(AnyStoreDigest()),
          EnvelopeOf(AnyRowRelay()),
          EnvelopeOf(AnyRowRelayRequest()),
          EnvelopeOf(AnyConfigurationOffer()),
          EnvelopeOf(AnyConfigurationRequest()),
          EnvelopeOf(AnyConfigurationDocument()),
          EnvelopeOf(AnyProbeReport()),
          EnvelopeOf(AnyCompressedConfigurationDocument()),
          EnvelopeOf(AnyRetryUsage()),
          EnvelopeOf(AnyQuotaRequest()),
          EnvelopeOf(AnyQuotaReply())};
}

}  // namespace pimentopin
