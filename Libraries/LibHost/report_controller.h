#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "Libraries/LibHost/dispatch_controller.h"
#include "Libraries/LibPlatform/object_store.h"
#include "Libraries/LibProtocol/membership_messages.h"
#include "Libraries/LibReport/summary_recorder.h"
#include "Libraries/LibReport/summary_writer.h"

namespace pimentopin {

// Counts outcomes and writes a summary of each period to the object store.
class ReportController {
 public:
  // `on_dropped` receives each summary that is discarded because too many wait for the store.
  ReportController(ObjectStore& objects,
                   const std::string& host_name,
                   std::uint64_t incarnation,
                   SummaryWriter::DropHandler on_dropped);

  void OnFinished(const FinishedRequest& finished);
  void OnHealthEvent(const std::string& service, const HealthEvent& event);
  // Counts a keyed request whose claim was held by another attempt when its outcome was stored.
  void OnClaimByOtherAttempt(const std::string& service);
  // Call every second.
  void Tick(TimePoint now);
  // Ends the current period early. Call before the host exits.
  void Close(TimePoint now);
  // Writes what is pending without the usual delays. Call until nothing is or the host ends.
  void Flush(TimePoint now) { this->writer.Flush(now); }
  std::size_t pending_writes() const { return this->writer.pending_writes(); }

 private:
  SummaryRecorder recorder;
  SummaryWriter writer;
  TimePoint period_end;
};

}  // namespace pimentopin
