#include "apricotrock/peer.h"

#include <asio.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <future>

using namespace apricotrock;
using namespace apricotrock::peer;
using namespace std::chrono_literals;

namespace {

/// Long enough for a loaded machine; a test that waits this long has failed.
constexpr auto patience = 30s;

/// One instance's mesh with callbacks that a test can watch.
struct Instance
{
    explicit Instance(std::uint64_t incarnation, std::vector<Endpoint> seeds = {})
        : mesh(makeParameters(incarnation, std::move(seeds)), makeCallbacks())
    {
        CPPUNIT_ASSERT(mesh.start().has_value());
    }

    Parameters makeParameters(std::uint64_t incarnation, std::vector<Endpoint> seeds)
    {
        Parameters parameters;
        parameters.incarnation = IncarnationId{incarnation};
        parameters.instance = "a" + std::to_string(incarnation);
        parameters.availabilityZone = "plateau";
        parameters.callerAddress = Endpoint{"127.0.0.1", 1};
        parameters.listenAddress = Endpoint{"127.0.0.1", 0};
        parameters.seeds = std::move(seeds);
        parameters.heartbeatInterval = 20ms;
        parameters.heartbeatTimeout = 400ms;
        return parameters;
    }

    Callbacks makeCallbacks()
    {
        Callbacks result;
        result.onHints = [this](const wire::HintsT &hints) {
            if (!hints.loads.empty())
                hintCount += hints.loads.size();
        };
        result.onForward = [this](IncarnationId from, const wire::ForwardT &forward) {
            if (!answersForwards)
                return;
            wire::ForwardAnswerT answer;
            answer.id = forward.id;
            answer.status = 200;
            answer.body = forward.body;
            mesh.answerForward(from, std::move(answer));
        };
        result.onForwardAnswer = [this](std::uint64_t, std::optional<wire::ForwardAnswerT> answer) {
            forwardAnswer.set_value(std::move(answer));
        };
        result.onConfiguration = [this](const wire::SnapshotT &snapshot) {
            adoptedVersion = snapshot.version;
            mesh.setConfiguration(snapshot.version, snapshot.digest);
        };
        result.configurationFor = [this](std::uint64_t) -> std::optional<wire::SnapshotT> {
            wire::SnapshotT snapshot;
            snapshot.version = ownVersion;
            return snapshot;
        };
        result.onSeal = [](IncarnationId, const wire::SealT &) {};
        result.onPeersChanged = [this](const std::vector<PeerInfo> &peers) {
            peerCount = peers.size();
        };
        return result;
    }

    std::atomic<std::size_t> peerCount{0};
    std::atomic<std::size_t> hintCount{0};
    std::atomic<std::uint64_t> adoptedVersion{0};
    std::atomic<std::uint64_t> ownVersion{0};
    std::atomic<bool> answersForwards{true};
    std::promise<std::optional<wire::ForwardAnswerT>> forwardAnswer;
    Mesh mesh;
};

template <typename Condition>
bool waitFor(Condition condition)
{
    const TimePoint deadline = Clock::now() + patience;
    while (!condition() && Clock::now() < deadline)
        std::this_thread::sleep_for(5ms);
    return condition();
}

} // namespace

class MeshTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MeshTest);
    CPPUNIT_TEST(forwardIsAnsweredByTheOwner);
    CPPUNIT_TEST(forwardToAnUnknownOwnerFails);
    CPPUNIT_TEST(forwardFailsWhenItsDeadlinePasses);
    CPPUNIT_TEST(newerConfigurationIsFetchedFromAPeer);
    CPPUNIT_TEST(stoppedPeerIsForgotten);
    CPPUNIT_TEST(silentLinkIsReplaced);
    CPPUNIT_TEST(malformedBytesCloseTheLink);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a request lost between two instances.
    void forwardIsAnsweredByTheOwner()
    {
        Instance owner(1);
        Instance other(2, {owner.mesh.listenAddress()});
        CPPUNIT_ASSERT(waitFor([&] { return other.peerCount == 1 && owner.peerCount == 1; }));
        other.mesh.forward(IncarnationId{1}, makeForward("order"), Clock::now() + patience);
        const auto answer = other.forwardAnswer.get_future().get();
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("order"), answer->body);
    }

    // Guards against a request that waits for ever for an instance that does not exist.
    void forwardToAnUnknownOwnerFails()
    {
        Instance instance(1);
        instance.mesh.forward(IncarnationId{9}, makeForward("order"), Clock::now() + patience);
        CPPUNIT_ASSERT(!instance.forwardAnswer.get_future().get());
    }

    // Guards against a request that waits for ever for a paused instance.
    void forwardFailsWhenItsDeadlinePasses()
    {
        Instance owner(1);
        owner.answersForwards = false;
        Instance other(2, {owner.mesh.listenAddress()});
        CPPUNIT_ASSERT(waitFor([&] { return other.peerCount == 1; }));
        other.mesh.forward(IncarnationId{1}, makeForward("order"), Clock::now() + 50ms);
        CPPUNIT_ASSERT(!other.forwardAnswer.get_future().get());
    }

    // Guards against an instance that starts without a configuration while the log is down.
    void newerConfigurationIsFetchedFromAPeer()
    {
        Instance informed(1);
        informed.ownVersion = 7;
        informed.mesh.setConfiguration(7, "digest");
        Instance started(2, {informed.mesh.listenAddress()});
        CPPUNIT_ASSERT(waitFor([&] { return started.adoptedVersion == 7; }));
    }

    // Guards against addresses of dead instances in answers to callers.
    void stoppedPeerIsForgotten()
    {
        Instance first(1);
        auto second = std::make_unique<Instance>(2, std::vector{first.mesh.listenAddress()});
        CPPUNIT_ASSERT(waitFor([&] { return first.peerCount == 1; }));
        second.reset();
        CPPUNIT_ASSERT(waitFor([&] { return first.peerCount == 0; }));
    }

    // Guards against a link that stays open while nothing arrives on it any more.
    void silentLinkIsReplaced()
    {
        asio::io_context context;
        asio::ip::tcp::acceptor acceptor(
            context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        Instance instance(1, {Endpoint{"127.0.0.1", acceptor.local_endpoint().port()}});
        asio::ip::tcp::socket first = acceptor.accept();
        // Returns only if the instance opens a second link while the first one is silent.
        asio::ip::tcp::socket second = acceptor.accept();
        CPPUNIT_ASSERT(waitFor([&] { return instance.mesh.counters().linksTimedOut >= 1; }));
    }

    // Guards against a crash or an endless link with a peer that sends garbage.
    void malformedBytesCloseTheLink()
    {
        Instance instance(1);
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        const Endpoint address = instance.mesh.listenAddress();
        socket.connect({asio::ip::make_address(address.ip), address.port});
        asio::write(socket, asio::buffer(std::string("\x10\x00\x00\x00garbage garbage!", 20)));
        std::array<char, 4096> buffer{};
        std::error_code error;
        while (!error)
            socket.read_some(asio::buffer(buffer), error);
        CPPUNIT_ASSERT(waitFor([&] { return instance.mesh.counters().badMessages >= 1; }));
    }

private:
    static wire::ForwardT makeForward(const std::string &body)
    {
        wire::ForwardT forward;
        forward.id = 5;
        forward.key = std::make_unique<wire::KeyId>(1, 2, 3);
        forward.body = body;
        return forward;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MeshTest);
