#pragma once

#include "apricotrock/platform.h"
#include "platformservice.h"

#include <future>

namespace apricotrock::platform {

/// Runs an io_context with test servers on a thread of its own.
class ServerThread
{
public:
    ServerThread() : m_work(asio::make_work_guard(context)) { }
    ~ServerThread() { stop(); }
    ServerThread(const ServerThread &) = delete;
    ServerThread &operator=(const ServerThread &) = delete;

    void start()
    {
        m_thread = std::thread([this] { context.run(); });
    }
    void stop()
    {
        context.stop();
        if (m_thread.joinable())
            m_thread.join();
    }
    /// Runs \a function on the thread and waits for it.
    void call(const std::function<void()> &function)
    {
        std::promise<void> done;
        asio::post(context, [&] {
            function();
            done.set_value();
        });
        done.get_future().wait();
    }

    asio::io_context context{1};

private:
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

/// The emulator's log service and instance list on a free loopback port.
class FakePlatform
{
public:
    FakePlatform()
        : m_service(m_thread.context,
                    {{"127.0.0.1", 0}, std::chrono::hours(1), std::chrono::milliseconds(0), 100000})
    {
        m_thread.start();
    }
    ~FakePlatform() { m_thread.stop(); }

    std::string url() const { return "http://127.0.0.1:" + std::to_string(m_service.port()); }
    void setOutage(emulator::Outage mode, std::uint64_t count = 0)
    {
        m_thread.call([&] { m_service.setOutage(mode, std::chrono::hours(1), count); });
    }
    void expire(std::uint64_t offset)
    {
        m_thread.call([&] { m_service.expire(offset); });
    }
    void setInstances(const std::string &list)
    {
        m_thread.call([&] { m_service.setInstances(list); });
    }

private:
    ServerThread m_thread;
    emulator::PlatformService m_service;
};

/// Answers every request with the same bytes, then closes the connection.
class FixedAnswerServer
{
public:
    explicit FixedAnswerServer(std::string bytes)
        : m_server(m_thread.context, {"127.0.0.1", 0},
                   [bytes = std::move(bytes)](const std::shared_ptr<emulator::Exchange> &exchange) {
                       exchange->sendRaw(bytes, emulator::AfterRaw::Close);
                   })
    {
        m_thread.start();
    }
    ~FixedAnswerServer() { m_thread.stop(); }

    std::string url() const { return "http://127.0.0.1:" + std::to_string(m_server.port()); }

private:
    ServerThread m_thread;
    emulator::HttpServer m_server;
};

inline wire::LogRecordT makeRecord(std::uint64_t sequence, std::string backendServer = "b1")
{
    wire::LogRecordT record;
    record.incarnation = 7;
    record.sequence = sequence;
    record.instance = "a1";
    wire::LeavingMarkT mark;
    mark.backend_server = std::move(backendServer);
    record.entries.push_back(wire::holdEntry(mark));
    return record;
}

} // namespace apricotrock::platform
