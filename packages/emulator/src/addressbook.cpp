#include "addressbook.h"

#include <nlohmann/json.hpp>

namespace apricotrock::emulator {

namespace {

constexpr std::chrono::milliseconds queryTimeout{1000};
constexpr std::chrono::milliseconds retryDelay{50};
constexpr int statusOk = 200;

} // namespace

AddressBook::AddressBook(HttpFan &fan, std::vector<std::string> instances, std::string caller,
                         std::string zone)
    : m_fan(fan), m_instances(std::move(instances)), m_caller(std::move(caller)),
      m_zone(std::move(zone))
{ }

void AddressBook::refresh(TimePoint now, bool isUrgent)
{
    if (m_isAsking || (!isUrgent && now < m_nextQuery))
        return;
    m_isAsking = true;
    m_nextQuery = now + retryDelay;
    FanRequest request;
    request.method = "GET";
    request.url = "http://" + askedAddress() + "/addresses";
    if (!m_zone.empty())
        request.url += "?zone=" + m_zone;
    request.headers = {{std::string(headername::callerName), m_caller}};
    request.timeout = queryTimeout;
    ++m_queries;
    m_fan.start(request, [this](const FanResult &result) { onAnswer(result); });
}

const CallerAddress *AddressBook::choose(std::size_t attempt) const
{
    if (m_addresses.empty())
        return nullptr;
    return &m_addresses[attempt % m_addresses.size()];
}

void AddressBook::onAnswer(const FanResult &result)
{
    m_isAsking = false;
    const bool isRead =
        result.response && result.response->status == statusOk && readAnswer(result.response->body);
    if (!isRead)
        m_nextQuery = Clock::now() + retryDelay;
}

bool AddressBook::readAnswer(const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("addresses") || !json["addresses"].is_array())
        return false;
    std::vector<CallerAddress> addresses;
    for (const auto &item : json["addresses"])
        addresses.push_back(
            {item.value("address", ""), item.value("instance", ""), item.value("key_prefix", "")});
    if (addresses.empty())
        return false;
    m_addresses = std::move(addresses);
    m_nextQuery = Clock::now() + std::chrono::milliseconds(json.value("lifetime_ms", 0));
    return true;
}

std::string AddressBook::askedAddress() const
{
    // Known addresses come first; the list from the command line may hold instances that have gone.
    const std::size_t known = m_addresses.size();
    const std::size_t index = m_queries % (known + m_instances.size());
    return index < known ? m_addresses[index].address : m_instances[index - known];
}

} // namespace apricotrock::emulator
