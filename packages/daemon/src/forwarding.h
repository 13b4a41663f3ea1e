#pragma once

#include "apricotrock/engine.h"

namespace apricotrock::daemon {

/// Conversions between engine values and peer messages.

wire::ForwardT makeForward(const engine::ForwardRequest &forward, TimePoint now);
/// Nothing if the message lacks a key; the peer then gets no answer and counts the forward as lost.
std::optional<engine::RequestArrived> readForward(const wire::ForwardT &forward, RequestId id,
                                                  IncarnationId from, WallTime wallTime);
wire::ForwardAnswerT makeForwardAnswer(std::uint64_t id, const engine::Reply &reply,
                                       const std::string &instance);
std::shared_ptr<const HttpResponse> readForwardAnswer(const wire::ForwardAnswerT &answer);

} // namespace apricotrock::daemon
