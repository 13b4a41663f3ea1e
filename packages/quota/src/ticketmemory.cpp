#include "apricotrock/quota.h"

namespace apricotrock::quota {

namespace {

/// Longer than the deadline of any request that waits for a slot.
constexpr Duration ticketRetention = std::chrono::seconds(10);

} // namespace

void TicketMemory::forget(TimePoint now)
{
    while (!m_order.empty()
           && (m_order.size() > m_maxTickets || now - m_order.front().first >= ticketRetention)) {
        m_answers.erase(m_order.front().second);
        m_order.pop_front();
    }
}

const Answer *TicketMemory::find(const TicketKey &key, TimePoint now)
{
    forget(now);
    const auto found = m_answers.find(key);
    return found == m_answers.end() ? nullptr : &found->second;
}

void TicketMemory::add(const TicketKey &key, const Answer &answer, TimePoint now)
{
    if (m_answers.insert_or_assign(key, answer).second)
        m_order.emplace_back(now, key);
    forget(now);
}

bool TicketMemory::takeBack(const TicketKey &key, TimePoint now)
{
    const Answer *known = find(key, now);
    const bool isGranted = known && known->verdict == Verdict::Granted;
    Answer returned;
    returned.verdict = Verdict::Exceeded;
    add(key, returned, now);
    return isGranted;
}

} // namespace apricotrock::quota
