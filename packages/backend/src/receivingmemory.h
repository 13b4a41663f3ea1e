#pragma once

#include <cstddef>

namespace apricotrock::backend {

/// Limits the bodies of all answers that a sender is receiving. Used on the thread of the sender.
class ReceivingMemory
{
public:
    explicit ReceivingMemory(std::size_t limit) : m_limit(limit) { }

    /// Returns false, and takes nothing, if \a bytes do not fit.
    [[nodiscard]] bool take(std::size_t bytes)
    {
        if (bytes > m_limit - m_used)
            return false;
        m_used += bytes;
        return true;
    }
    void giveBack(std::size_t bytes) { m_used -= bytes; }

private:
    const std::size_t m_limit;
    std::size_t m_used = 0;
};

} // namespace apricotrock::backend
