#pragma once

#include "apricotrock/caller.h"
#include "apricotrock/engine.h"

#include <variant>

namespace apricotrock::daemon {

/// `GET /addresses`.
struct AddressQuery
{
    /// Empty if the caller names none.
    std::string availabilityZone;
    std::string caller;
};

/// A request that is refused before it reaches the engine.
struct Refusal
{
    ErrorKind kind = ErrorKind::MalformedRequest;
    Outcome outcome = Outcome::NotRun;
};

using ParsedRequest = std::variant<AddressQuery, engine::RequestArrived, Refusal>;

/// Reads a request of a caller. The key is read first, because a refusal of an action with a key
/// must not say that the action was not run.
ParsedRequest parseRequest(caller::IncomingRequest incoming, WallTime wallTime);

/// Returns true if another copy of the request may have run: an action with a key, or a question
/// about one.
bool isKeyedAction(const engine::RequestArrived &request);

/// Returns the outcome for a refusal that the ledger of the owner does not record.
Outcome unrecordedOutcome(ErrorKind kind, const engine::RequestArrived &request);

} // namespace apricotrock::daemon
