#pragma once

#include <atomic>
#include <string_view>

namespace apricotrock::daemon {

/// Stage of the life of this instance; it only moves forward.
enum class InstanceState {
    Serving,
    /// Announced as leaving; callers may still use a cached address.
    Leaving,
    /// The address lifetime is over; connections are closed after the next answer.
    Closing,
    /// No new requests are taken.
    Stopping,
};

inline std::string_view instanceStateName(InstanceState state)
{
    switch (state) {
    case InstanceState::Serving:
        return "serving";
    case InstanceState::Leaving:
        return "leaving";
    case InstanceState::Closing:
        return "closing";
    case InstanceState::Stopping:
        break;
    }
    return "stopping";
}

} // namespace apricotrock::daemon
