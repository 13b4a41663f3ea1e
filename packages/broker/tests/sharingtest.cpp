#include "apricotrock/broker.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

using namespace apricotrock;
using namespace apricotrock::broker;
using namespace std::chrono_literals;

namespace {

constexpr Duration target = 400ms;
constexpr double work = 0.05;
constexpr unsigned slots = 2;
constexpr OrganisationKey greedy = 1;
constexpr OrganisationKey modest = 2;

/// One server with two slots, whose requests take 50 ms.
struct SharedService
{
    SharedService()
    {
        state.isLeading = true;
        state.leadingSince = now - 1h;
        setServers(state, {{1, slots, true, {}, 0}});
        learnLoad(state, 1, {0, 0, slots, 1.0}, now);
        state.routes[1] = {work, 100};
    }

    Decision request(OrganisationKey organisation)
    {
        AttemptRequest request;
        request.key = {1, nextTicket++};
        request.route = 1;
        request.objective = target;
        request.target = now + target;
        request.deadline = now + 5s;
        request.organisation = organisation;
        request.priority = priority;
        request.weight = 1;
        owners[request.key.ticket] = organisation;
        return requestAttempt(state, request, now);
    }

    void end(const Decision &decision, Duration duration = 50ms)
    {
        recordAttemptEnd(state, {decision.key, 1, AttemptOutcome::Answered, std::nullopt, duration},
                         now);
    }

    /// Uses both slots for \a organisation all the time for 2 s.
    void useAlone(OrganisationKey organisation)
    {
        for (int i = 0; i < 40; ++i) {
            const Decision first = request(organisation);
            const Decision second = request(organisation);
            now += 50ms;
            end(first);
            end(second);
        }
    }

    TimePoint now{1h};
    ServiceState state;
    std::uint64_t nextTicket = 1;
    unsigned priority = 0;
    std::unordered_map<std::uint64_t, OrganisationKey> owners;
};

} // namespace

class SharingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SharingTest);
    CPPUNIT_TEST(organisationBeyondItsShareUsesWhatIsLeft);
    CPPUNIT_TEST(othersAreServedBeforeAnOrganisationBeyondItsShare);
    CPPUNIT_TEST(fullQueueRefusesOrganisationsBeyondTheirShareFirst);
    CPPUNIT_TEST(urgentRequestIsNotRefusedForLessUrgentWork);
    CPPUNIT_TEST(endOfAnAttemptCorrectsTheUse);
    CPPUNIT_TEST(idleOrganisationsAreForgotten);
    CPPUNIT_TEST(refusedCallersReturnAtDifferentTimes);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against slots that stay free because the only organisation that wants them has used
    // more than its share.
    void organisationBeyondItsShareUsesWhatIsLeft()
    {
        SharedService service;
        service.request(modest);
        service.now += 50ms;
        service.end({{1, 1}, Verdict::Granted, RefusalReason::None, 1});
        service.useAlone(greedy);
        CPPUNIT_ASSERT(service.request(greedy).verdict == Verdict::Granted);
        CPPUNIT_ASSERT(service.request(greedy).verdict == Verdict::Granted);
    }

    // Guards against an order by target only, in which an organisation gets slots in proportion to
    // the requests that it sends.
    void othersAreServedBeforeAnOrganisationBeyondItsShare()
    {
        SharedService service;
        service.useAlone(greedy);
        const Decision running = service.request(greedy);
        service.request(greedy);
        service.request(greedy);
        service.now += 10ms;
        const std::uint64_t ticket = service.nextTicket;
        CPPUNIT_ASSERT(service.request(modest).verdict == Verdict::Queued);
        service.now += 40ms;
        service.end(running);
        const auto decisions = processQueue(service.state, service.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), decisions.size());
        CPPUNIT_ASSERT_EQUAL(ticket, decisions.front().key.ticket);
    }

    // Guards against a full queue of one organisation that keeps all others out.
    void fullQueueRefusesOrganisationsBeyondTheirShareFirst()
    {
        SharedService service;
        service.useAlone(greedy);
        service.state.routes[1] = {0.02, 100};
        while (service.request(greedy).verdict != Verdict::Refused) { }
        const std::size_t full = service.state.queue.size();
        for (int i = 0; i < 2; ++i)
            CPPUNIT_ASSERT(service.request(modest).verdict == Verdict::Queued);
        const auto decisions = processQueue(service.state, service.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), decisions.size());
        for (const Decision &each : decisions) {
            CPPUNIT_ASSERT(each.reason == RefusalReason::QueueFull);
            CPPUNIT_ASSERT_EQUAL(greedy, service.owners.at(each.key.ticket));
        }
        CPPUNIT_ASSERT_EQUAL(full, service.state.queue.size());
    }

    // Guards against an estimate of the wait that counts requests which are served later.
    void urgentRequestIsNotRefusedForLessUrgentWork()
    {
        SharedService service;
        service.priority = 1;
        Decision last;
        while (last.verdict != Verdict::Refused)
            last = service.request(greedy);
        CPPUNIT_ASSERT_LESS(std::size_t(6 * slots), service.state.queue.size());
        service.priority = 0;
        CPPUNIT_ASSERT(service.request(greedy).verdict == Verdict::Queued);
    }

    // Guards against charging an organisation for attempts that a server rejected at once.
    void endOfAnAttemptCorrectsTheUse()
    {
        SharedService service;
        const Decision decision = service.request(greedy);
        CPPUNIT_ASSERT(service.state.sharing.organisations.at(greedy).seconds > 0);
        recordAttemptEnd(service.state,
                         {decision.key, 1, AttemptOutcome::Rejected, std::nullopt, {}},
                         service.now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, service.state.sharing.organisations.at(greedy).seconds,
                                     1e-6);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, service.state.sharing.totalSeconds, 1e-6);
    }

    // Guards against memory that grows with every organisation that ever sent a request, and
    // against shares for those that want nothing.
    void idleOrganisationsAreForgotten()
    {
        SharedService service;
        constexpr OrganisationKey count = 1000;
        for (OrganisationKey each = 1; each <= count; ++each)
            service.request(each);
        service.now += 11s;
        service.request(modest);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), service.state.sharing.organisations.size());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, service.state.sharing.totalWeight, 1e-9);
    }

    // Guards against callers that were refused in the same moment and return in the same moment.
    // Without organisations, Retry-After is as before.
    void refusedCallersReturnAtDifferentTimes()
    {
        for (const OrganisationKey organisation : {OrganisationKey(0), greedy}) {
            SharedService service;
            setServers(service.state, {});
            std::set<Duration> pauses;
            for (int i = 0; i < 100; ++i)
                pauses.insert(service.request(organisation).retryAfter);
            CPPUNIT_ASSERT_EQUAL(std::size_t(organisation == 0 ? 1 : 100), pauses.size());
            CPPUNIT_ASSERT(*pauses.begin() >= 50ms && *pauses.rbegin() <= 1500ms);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SharingTest);
