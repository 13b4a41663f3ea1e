#pragma once

#include "slotallocator.h"

/// Slot requests, responses, releases and reports of crashes in messages to peers. Times are sent
/// relative to the moment of sending. \a ip of the decoding functions is the instance that
/// requested the slot.
namespace apricotrock::gateway {

wire::SlotRequest encodeRequest(std::uint64_t ticket, const AllocationRequest &request,
                                TimePoint now);
broker::AttemptRequest decodeRequest(const std::string &ip, const wire::SlotRequest &message,
                                     TimePoint now);

/// \a leaving is the server if it said that it leaves, otherwise nullptr.
wire::SlotRelease encodeRelease(const SlotTicket &ticket, const broker::AttemptEnd &end,
                                const fleet::ServerEntry *leaving = nullptr);
broker::AttemptEnd decodeRelease(const std::string &ip, const wire::SlotRelease &message);

wire::SlotResponse encodeResponse(const broker::Decision &decision);
broker::Decision decodeResponse(const std::string &ip, const wire::SlotResponse &answer);

wire::CrashReportT encodeCrashReport(std::uint64_t service, const broker::CrashReport &report);

} // namespace apricotrock::gateway
