#pragma once

#include "httpfan.h"

namespace apricotrock::emulator {

/// One address from the answer to `GET /addresses`.
struct CallerAddress
{
    std::string address;
    std::string instance;
    /// Incarnation id that binds keys to the instance.
    std::string keyPrefix;
};

/// The addresses that one caller uses: asked from any known instance, kept for their lifetime.
class AddressBook
{
public:
    AddressBook(HttpFan &fan, std::vector<std::string> instances, std::string caller,
                std::string zone);

    /// Asks again if the lifetime is over; asks at once if \a isUrgent.
    void refresh(TimePoint now, bool isUrgent);
    /// The address to use for the attempt number \a attempt of a call; nothing before the first
    /// answer.
    [[nodiscard]] const CallerAddress *choose(std::size_t attempt) const;

private:
    void onAnswer(const FanResult &result);
    bool readAnswer(const std::string &body);
    [[nodiscard]] std::string askedAddress() const;

    HttpFan &m_fan;
    const std::vector<std::string> m_instances;
    const std::string m_caller;
    const std::string m_zone;
    std::vector<CallerAddress> m_addresses;
    TimePoint m_nextQuery{};
    std::size_t m_queries = 0;
    bool m_isAsking = false;
};

} // namespace apricotrock::emulator
