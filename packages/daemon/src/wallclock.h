#pragma once

#include "apricotrock/base.h"

namespace apricotrock::daemon {

inline WallTime wallNow()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

} // namespace apricotrock::daemon
