#pragma once

#include "instance.h"

namespace apricotrock::daemon {

/// The HTTP interface for operators.
class OperatorService
{
public:
    explicit OperatorService(Instance &instance);

    Result<void> start() { return m_listener.start(); }
    void stop() { m_listener.stop(); }

private:
    void onRequest(const caller::IncomingRequest &incoming);
    [[nodiscard]] HttpResponse get(const std::string &path) const;
    void startTrace(const caller::IncomingRequest &incoming);
    [[nodiscard]] HttpResponse clearQuarantine(std::string_view id) const;
    void reply(RequestId id, const HttpResponse &response)
    {
        m_listener.answer(id, response, false);
    }

    Instance &m_instance;
    caller::Listener m_listener;
};

} // namespace apricotrock::daemon
