#include "quotaallocator.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <cstdlib>
#include <list>
#include <queue>
#include <set>
#include <unordered_set>

using namespace apricotrock;
using namespace apricotrock::gateway;
using namespace std::chrono_literals;

namespace {

const quota::Bounds bounds;

/// A fleet of quota allocators with real membership tables. Datagrams, heartbeats and timers run in
/// virtual time.
class Fleet
{
public:
    struct Node;

    explicit Fleet(std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i)
            m_nodes.push_back(std::make_unique<Node>(*this, i));
        for (const auto &node : m_nodes) {
            for (const auto &other : m_nodes)
                node->membership.updatePeer(other->membership.self(), m_now);
            node->startAllocator();
            schedule(m_now + std::chrono::microseconds(random(500000)),
                     [this, &each = *node] { heartbeat(each); });
        }
    }

    struct Node : QuotaSender
    {
        Node(Fleet &owner, std::size_t number)
            : fleet(owner), index(number), ip(ipOf(number)), membership(infoOf(number, number + 1))
        { }
        void startAllocator()
        {
            QuotaEnvironment environment;
            environment.ip = ip;
            environment.now = [this] { return fleet.m_now; };
            environment.callAfter = [this](Duration delay, std::function<void()> callback) {
                const std::uint64_t id = ++fleet.m_lastTimer;
                timers.insert(id);
                fleet.runAt(*this, fleet.m_now + delay, [this, id, callback] {
                    if (timers.erase(id) > 0)
                        callback();
                });
                return id;
            };
            environment.cancelTimer = [this](std::uint64_t id) { timers.erase(id); };
            environment.ownerOf = [this](const std::string &role, TimePoint now) {
                return membership.leaderFor(role, false, now);
            };
            environment.heardOwnerOf = [this](const std::string &role, TimePoint now) {
                return membership.leaderAmongHeard(role, now);
            };
            environment.contact = [this](TimePoint now) { return membership.zoneContact(now); };
            environment.ownerSilent = [this](const std::string &silent, const std::string &) {
                if (fleet.m_now - membership.peers().at(silent).lastHeard > 40ms)
                    membership.markSuspect(silent, 600ms, fleet.m_now);
            };
            allocator = std::make_unique<QuotaAllocator>(std::move(environment), *this, metrics,
                                                         bounds, index << 32U, index);
            allocator->setOrganisations(fleet.m_organisations, 1);
        }
        void sendQuotaRequest(const std::string &to, const wire::QuotaRequest &message) override
        {
            ++fleet.quotaDatagrams;
            fleet.send(*this, to,
                       [this, message](Node &node) { node.allocator->handleRequest(ip, message); });
        }
        void sendQuotaResponse(const std::string &to, const wire::QuotaResponse &message) override
        {
            ++fleet.quotaDatagrams;
            fleet.send(*this, to, [this, message](Node &node) {
                node.allocator->handleResponse(ip, message);
            });
        }
        void sendQuotaReturn(const std::string &to, const wire::QuotaReturn &message) override
        {
            ++fleet.quotaDatagrams;
            fleet.send(*this, to,
                       [this, message](Node &node) { node.allocator->handleReturn(ip, message); });
        }

        Fleet &fleet;
        std::size_t index;
        std::string ip;
        metrics::Registry metrics;
        fleet::Membership membership;
        std::unique_ptr<QuotaAllocator> allocator;
        std::unordered_set<std::uint64_t> timers;
        bool isAlive = true;
        bool canSend = true;
        bool canReceive = true;
        TimePoint frozenUntil;
    };

    /// An organisation, its callers and what happened to their requests.
    struct Load
    {
        std::string name;
        /// Requests per second at a time after the start.
        std::function<double(Duration)> rate;
        /// How often a refused caller comes back.
        unsigned repeats = 0;
        quota::Limit limit;
        std::size_t asked = 0;
        std::size_t answered = 0;
        std::vector<Duration> granted;
        /// Tokens that one bucket for the whole fleet would have granted.
        std::size_t referenceGranted = 0;
        double referenceLevel = 0;
        Duration referenceUpdated{};
    };

    Load &addLoad(const std::string &name, const quota::Limit &limit,
                  std::function<double(Duration)> rate, unsigned repeats = 0)
    {
        fleet::Organisation organisation;
        organisation.name = name;
        organisation.requestsPerSecond = limit.rate;
        organisation.burst = limit.burst;
        m_organisations.push_back(organisation);
        Load &load = m_loads.emplace_back();
        load.name = name;
        load.rate = std::move(rate);
        load.repeats = repeats;
        load.limit = limit;
        load.referenceLevel = limit.burst;
        return load;
    }

    void run(Duration length)
    {
        for (const auto &node : m_nodes)
            node->allocator->setOrganisations(m_organisations, 1);
        for (Load &load : m_loads)
            scheduleArrival(load);
        m_end = m_start + length;
        while (!m_events.empty() && m_events.top().time < m_end + 2s) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.run();
        }
    }

    void at(Duration time, std::function<void()> run) { schedule(m_start + time, std::move(run)); }
    void setLimit(std::size_t node, const std::string &name, const quota::Limit &limit)
    {
        auto organisations = m_organisations;
        for (fleet::Organisation &each : organisations) {
            if (each.name == name) {
                each.requestsPerSecond = limit.rate;
                each.burst = limit.burst;
            }
        }
        m_nodes[node]->allocator->setOrganisations(organisations, 2);
    }
    Node &ownerOf(const std::string &name)
    {
        return find(m_nodes.back()->membership.leaderFor("quota/" + name, false, m_now));
    }
    void kill(Node &node)
    {
        node.isAlive = false;
        node.timers.clear();
    }
    void restart(Node &node)
    {
        node.isAlive = true;
        node.membership = fleet::Membership(infoOf(node.index, node.index + 1000));
        for (const auto &other : m_nodes) {
            if (other->isAlive)
                node.membership.updatePeer(other->membership.self(), m_now);
        }
        node.startAllocator();
        heartbeat(node);
    }
    /// Kills all instances and starts them within 0.3 s. They learn of each other from the first
    /// four as in PeerChannel: all instances of their own zone, and a few of each other one.
    void startAll()
    {
        for (const auto &each : m_nodes)
            kill(*each);
        for (const auto &each : m_nodes) {
            schedule(m_now + std::chrono::microseconds(random(300000)), [this, &node = *each] {
                node.isAlive = true;
                node.membership = fleet::Membership(infoOf(node.index, node.index + 1000));
                node.startAllocator();
                heartbeat(node);
                for (const Duration delay : {0ms, 150ms, 400ms, 900ms, 2000ms})
                    runAt(node, m_now + delay, [this, &node] { askSeeds(node); });
            });
        }
    }
    std::vector<std::unique_ptr<Node>> &nodes() { return m_nodes; }
    std::list<Load> &loads() { return m_loads; }
    TimePoint now() const { return m_now; }
    double lossRate = 0;
    /// Each datagram is on the way for one of these times longer, so that the order changes.
    std::vector<Duration> delays{Duration::zero()};
    /// Part of the datagrams that arrive twice.
    double repeatRate = 0;
    /// The availability zones that are partitioned from the others.
    std::set<std::string> cutZones;
    /// The availability zones whose messages do not reach the others, or that get none of them.
    std::set<std::string> unheardZones;
    std::set<std::string> deafZones;
    std::size_t quotaDatagrams = 0;

private:
    struct Event
    {
        TimePoint time;
        std::uint64_t number;
        std::function<void()> run;
        bool operator<(const Event &other) const
        {
            return std::tie(time, number) > std::tie(other.time, other.number);
        }
    };

    static std::string ipOf(std::size_t index)
    {
        return "10." + std::to_string(index % 4) + ".0." + std::to_string(index / 4 + 1);
    }
    static fleet::InstanceInfo infoOf(std::size_t index, std::uint64_t incarnation)
    {
        fleet::InstanceInfo info;
        info.incarnation = incarnation;
        info.ip = ipOf(index);
        info.availabilityZone = std::to_string(index % 4);
        info.phase = fleet::InstancePhase::Ready;
        info.weight = index < 8 ? 5 : 1;
        return info;
    }

    std::uint64_t random(std::uint64_t count) { return m_random() % count; }
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    void schedule(TimePoint time, std::function<void()> run)
    {
        m_events.push({time, ++m_lastEvent, std::move(run)});
    }
    Node &find(const std::string &ip)
    {
        for (const auto &node : m_nodes) {
            if (node->ip == ip)
                return *node;
        }
        throw std::logic_error("no such node");
    }
    /// Runs an event of a process; later if it is frozen, not at all if it was killed.
    void runAt(Node &node, TimePoint time, std::function<void()> run)
    {
        schedule(time, [this, &node, run, id = node.membership.self().incarnation] {
            if (!node.isAlive || node.membership.self().incarnation != id)
                return;
            if (node.frozenUntil > m_now)
                runAt(node, node.frozenUntil, run);
            else
                run();
        });
    }
    void send(Node &from, const std::string &ip, std::function<void(Node &)> receive)
    {
        Node &to = find(ip);
        if (!from.canSend || !to.canReceive || !from.isAlive || !to.isAlive || uniform() < lossRate)
            return;
        if (isIn(cutZones, from) != isIn(cutZones, to)
            || (isIn(unheardZones, from) && !isIn(unheardZones, to))
            || (isIn(deafZones, to) && !isIn(deafZones, from)))
            return;
        const Duration latency = from.index % 4 == to.index % 4 ? 200us : 900us;
        const unsigned copies = repeatRate > 0 && uniform() < repeatRate ? 2 : 1;
        for (unsigned i = 0; i < copies; ++i) {
            const Duration delay = delays.size() > 1 ? delays[random(delays.size())] : delays[0];
            runAt(to, m_now + latency + delay,
                  [this, &to, receive, sender = from.ip, id = from.membership.self().incarnation] {
                      to.membership.recordMessage(sender, id, m_now);
                      receive(to);
                  });
        }
    }
    static bool isIn(const std::set<std::string> &zones, const Node &node)
    {
        return zones.contains(node.membership.self().availabilityZone);
    }
    /// Tells \a ip about \a node, and \a node about it.
    void sayHello(Node &node, const std::string &ip, bool wantsInstances)
    {
        send(node, ip, [this, &node, info = node.membership.self(), wantsInstances](Node &to) {
            to.membership.updatePeer(info, m_now);
            send(to, node.ip, [this, &node, answer = to.membership.self()](Node &) {
                node.membership.updatePeer(answer, m_now);
            });
            if (wantsInstances)
                sendInstances(to, node);
        });
    }
    void sendInstances(Node &from, Node &node)
    {
        std::map<std::string, unsigned> contacts;
        for (const auto &[ip, peer] : from.membership.peers()) {
            const std::string &zone = peer.info.availabilityZone;
            if (!peer.isAlive || ip == node.ip
                || (zone != node.membership.self().availabilityZone && ++contacts[zone] > 4))
                continue;
            send(from, node.ip, [this, &node, ip](Node &) {
                if (!node.membership.peers().contains(ip))
                    sayHello(node, ip, false);
            });
        }
    }
    void askSeeds(Node &node)
    {
        for (std::size_t seed = 0; seed < 4; ++seed) {
            if (seed != node.index)
                sayHello(node, ipOf(seed), true);
        }
    }
    void heartbeat(Node &node)
    {
        const auto zone = node.membership.self().availabilityZone;
        const bool usesReports = node.membership.usesZoneReports();
        const auto own = node.membership.instancesInZone(zone);
        const auto unheard = node.membership.unheardZones(m_now);
        for (const auto &other : m_nodes) {
            if (other.get() != &node && !node.membership.peers().contains(other->ip))
                continue;
            const bool isInZone = other->membership.self().availabilityZone == zone;
            if (isInZone || !usesReports) {
                send(node, other->ip, [this, info = node.membership.self(), unheard](Node &to) {
                    to.membership.updatePeer(info, m_now);
                    to.membership.recordUnheardZones(info.ip, unheard, m_now);
                });
            } else if (own.front().ip == node.ip) {
                send(node, other->ip, [this, zone, own, unheard](Node &to) {
                    to.membership.applyZoneReport(zone, own, m_now);
                    to.membership.recordUnheardZonesOf(zone, unheard, m_now);
                });
            }
        }
        for (unsigned i = 0; i < 5; ++i) {
            runAt(node, m_now + i * 100ms, [this, &node] {
                node.membership.expire(m_now);
                node.allocator->tick();
            });
        }
        runAt(node, m_now + 500ms, [this, &node] { heartbeat(node); });
    }
    void scheduleArrival(Load &load)
    {
        const double rate = std::max(0.001, load.rate(m_now - m_start));
        const Duration gap = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(-std::log(1 - uniform()) / rate));
        schedule(m_now + gap, [this, &load] {
            if (m_now >= m_end)
                return;
            ++load.asked;
            countReference(load);
            ask(load, load.repeats);
            scheduleArrival(load);
        });
    }
    void countReference(Load &load)
    {
        const Duration now = m_now - m_start;
        const double seconds = std::chrono::duration<double>(now - load.referenceUpdated).count();
        load.referenceLevel =
            std::min(load.limit.burst, load.referenceLevel + seconds * load.limit.rate);
        load.referenceUpdated = now;
        if (load.referenceLevel < 1)
            return;
        load.referenceLevel -= 1;
        ++load.referenceGranted;
    }
    void ask(Load &load, unsigned repeats)
    {
        Node &node = *m_nodes[random(m_nodes.size())];
        if (!node.isAlive) {
            schedule(m_now + 1ms, [this, &load, repeats] { ask(load, repeats); });
            return;
        }
        runAt(node, m_now, [this, &load, &node, repeats] {
            node.allocator->requestToken(
                load.name, quota::Timeliness::InTime,
                [this, &load, repeats](const QuotaDecision &decision) {
                    ++load.answered;
                    if (decision.verdict == quota::Verdict::Granted)
                        load.granted.push_back(m_now - m_start);
                    else if (repeats > 0)
                        schedule(m_now + 16ms, [this, &load, repeats] { ask(load, repeats - 1); });
                });
        });
    }

    std::mt19937_64 m_random{7};
    TimePoint m_start{std::chrono::hours(1)};
    TimePoint m_now = m_start;
    TimePoint m_end;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<fleet::Organisation> m_organisations;
    std::list<Load> m_loads;
    std::priority_queue<Event> m_events;
    std::uint64_t m_lastEvent = 0;
    std::uint64_t m_lastTimer = 0;
};

/// Returns how much of the bound the fullest window uses, from \a from on.
double worstWindow(const Fleet::Load &load, const quota::Limit &limit, Duration from = {})
{
    const double seconds = std::chrono::duration<double>(bounds.window).count();
    const double bound = (limit.rate * seconds + limit.burst) * (1 + bounds.overage) + bounds.slack;
    std::size_t worst = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < load.granted.size(); ++last) {
        while (load.granted[last] - load.granted[first] >= bounds.window
               || (first < last && load.granted[first] < from))
            ++first;
        worst = std::max(worst, last - first + 1);
    }
    return static_cast<double>(worst) / bound;
}

double grantedBetween(const Fleet::Load &load, Duration from, Duration to)
{
    return static_cast<double>(
               std::count_if(load.granted.begin(), load.granted.end(),
                             [&](Duration time) { return time >= from && time < to; }))
        / std::chrono::duration<double>(to - from).count();
}

std::function<double(Duration)> steady(double rate)
{
    return [rate](Duration) { return rate; };
}

/// Its burst is small, because a burst that is used up leaves room for an excess.
const quota::Limit largeLimit{160, 20};
/// Requests per second of an organisation far beyond largeLimit: 6.5 times its usual rate.
constexpr double overload = 650;

void assertWithin(double limit, double value, const std::string &what)
{
    CPPUNIT_ASSERT_MESSAGE(what + " " + std::to_string(value), value <= limit);
}

void assertAtLeast(double limit, double value, const std::string &what)
{
    CPPUNIT_ASSERT_MESSAGE(what + " " + std::to_string(value), value >= limit);
}

/// Drops the large fleets if the number of histories is limited, as in the builds with sanitizers,
/// which are slower by a factor of ten.
std::vector<std::size_t> fleetSizes(std::vector<std::size_t> sizes)
{
    if (std::getenv("APRICOTROCK_HISTORIES"))
        std::erase_if(sizes, [](std::size_t size) { return size > 28; });
    return sizes;
}

/// Adds organisations at their usual rate, which none of the faults may affect much.
void addOthers(Fleet &fleet)
{
    for (int i = 0; i < 12; ++i)
        fleet.addLoad("other-" + std::to_string(i), {16, 16}, steady(10));
}

void assertOthersGranted(Fleet &fleet, double share)
{
    double reference = 0;
    double granted = 0;
    for (const Fleet::Load &each : fleet.loads()) {
        assertWithin(1, worstWindow(each, each.limit), each.name);
        if (each.name.starts_with("other")) {
            reference += static_cast<double>(each.referenceGranted);
            granted += static_cast<double>(each.granted.size());
        }
    }
    assertAtLeast(share, granted / reference, "granted of the others");
}

} // namespace

class QuotaAllocatorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuotaAllocatorTest);
    CPPUNIT_TEST(unequalOrganisationsGetTheirQuota);
    CPPUNIT_TEST(overloadStaysWithinQuota);
    CPPUNIT_TEST(killedAndRestartedOwner);
    CPPUNIT_TEST(allInstancesStart);
    CPPUNIT_TEST(frozenOwner);
    CPPUNIT_TEST(isolatedInstances);
    CPPUNIT_TEST(instancesCutOffInOneDirection);
    CPPUNIT_TEST(zonesCutOff);
    CPPUNIT_TEST(unequalDelays);
    CPPUNIT_TEST(delaysBesideACut);
    CPPUNIT_TEST(constantDelay);
    CPPUNIT_TEST(oneWayCuts);
    CPPUNIT_TEST(twoOwners);
    CPPUNIT_TEST(loweredQuota);
    CPPUNIT_TEST(lostDatagrams);
    CPPUNIT_TEST(ownerSendsNothing);
    CPPUNIT_TEST(cancelledRequestReturnsItsToken);
    CPPUNIT_TEST(ownerWithOlderConfigurationDoesNotDecide);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against refusing callers who are within their quota when each instance sees only few
    // of an organisation's requests.
    void unequalOrganisationsGetTheirQuota()
    {
        Fleet fleet(123);
        double sum = 0;
        for (int i = 1; i <= 81; ++i)
            sum += std::pow(i, -1.2);
        for (int i = 1; i <= 81; ++i) {
            const double rate = 788 * std::pow(i, -1.2) / sum;
            fleet.addLoad("org-" + std::to_string(i), {rate * 1.6, std::max(4.0, rate)},
                          steady(rate));
        }
        fleet.run(20s);
        double granted = 0;
        double reference = 0;
        for (const Fleet::Load &each : fleet.loads()) {
            CPPUNIT_ASSERT_EQUAL(each.asked, each.answered);
            assertWithin(1, worstWindow(each, each.limit), each.name);
            granted += static_cast<double>(each.granted.size());
            reference += static_cast<double>(each.referenceGranted);
            if (each.asked > 200)
                assertAtLeast(0.98,
                              static_cast<double>(each.granted.size())
                                  / static_cast<double>(each.referenceGranted),
                              each.name);
        }
        assertAtLeast(0.98, granted / reference, "granted");
    }

    // Guards against an owner that admits more, or loses tokens, while refused callers come back at
    // once; and against an effect on other organisations.
    void overloadStaysWithinQuota()
    {
        Fleet fleet(123);
        auto &load = fleet.addLoad(
            "large", largeLimit,
            [](Duration time) { return time > 4s && time < 12s ? overload : 100; }, 3);
        addOthers(fleet);
        fleet.run(14s);
        assertOthersGranted(fleet, 0.98);
        assertAtLeast(0.97, grantedBetween(load, 7s, 12s) / largeLimit.rate, "granted at the cap");
    }

    // Guards against owners that forget what their predecessor granted.
    void killedAndRestartedOwner()
    {
        Fleet fleet(123);
        auto &load = fleet.addLoad("large", largeLimit, steady(overload), 2);
        addOthers(fleet);
        fleet.at(4s, [&] {
            Fleet::Node &owner = fleet.ownerOf("large");
            fleet.kill(owner);
            fleet.at(7s, [&fleet, &owner] { fleet.restart(owner); });
        });
        fleet.run(14s);
        assertOthersGranted(fleet, 0.98);
        assertAtLeast(0.9, grantedBetween(load, 4100ms, 14s) / largeLimit.rate, "granted");
    }

    // Guards against instances that count as owners because they know no others yet.
    void allInstancesStart()
    {
        Fleet fleet(123);
        auto &load = fleet.addLoad("large", largeLimit, steady(overload), 2);
        addOthers(fleet);
        fleet.at(7s, [&] { fleet.startAll(); });
        fleet.run(14s);
        assertOthersGranted(fleet, 0.98);
        assertAtLeast(0.9, grantedBetween(load, 4100ms, 14s) / largeLimit.rate, "granted");
    }

    // Guards against an owner that grants the tokens of the time in which it was frozen, although
    // another one granted them.
    void frozenOwner()
    {
        for (const Duration length : {Duration(1s), Duration(2500ms)}) {
            Fleet fleet(123);
            auto &load = fleet.addLoad("large", largeLimit, steady(overload), 2);
            addOthers(fleet);
            fleet.at(4s, [&] { fleet.ownerOf("large").frozenUntil = fleet.now() + length; });
            fleet.run(13s);
            assertOthersGranted(fleet, 0.97);
            assertAtLeast(0.85, grantedBetween(load, 4100ms, 13s) / largeLimit.rate, "granted");
        }
    }

    // Guards against instances that grant more than the quota together because none of them knows
    // what the others grant.
    void isolatedInstances()
    {
        Fleet fleet(123);
        auto &load = fleet.addLoad("large", largeLimit, steady(overload), 2);
        addOthers(fleet);
        for (const auto &[time, isCut] : {std::pair(Duration(4s), true), {Duration(16s), false}}) {
            fleet.at(time, [&fleet, connected = !isCut] {
                for (std::size_t i = 0; i < 123; i += 3)
                    fleet.nodes()[i]->canSend = fleet.nodes()[i]->canReceive = connected;
            });
        }
        fleet.run(24s);
        assertOthersGranted(fleet, 0.5);
        assertAtLeast(0.6, grantedBetween(load, 5s, 16s) / largeLimit.rate, "granted");
        assertAtLeast(0.9, grantedBetween(load, 19s, 24s) / largeLimit.rate, "granted afterwards");
    }

    // The same for instances that send but do not receive, which no owner notices, and the reverse.
    void instancesCutOffInOneDirection()
    {
        for (const bool receives : {false, true}) {
            Fleet fleet(123);
            auto &load = fleet.addLoad("large", largeLimit, steady(overload), 2);
            fleet.at(4s, [&] {
                for (std::size_t i = 0; i < 123; i += 3) {
                    fleet.nodes()[i]->canReceive = receives;
                    fleet.nodes()[i]->canSend = !receives;
                }
            });
            fleet.run(16s);
            assertWithin(1, worstWindow(load, load.limit), "large");
        }
    }

    // Guards against a stand-in that refills at the whole rate beside the owner until its fleet
    // counts the other zones as lost. The buckets of idle organisations are full when the cut
    // begins.
    void zonesCutOff()
    {
        for (const std::size_t size : {28U, 123U}) {
            for (const std::set<std::string> &zones :
                 {std::set<std::string>{"3"}, std::set<std::string>{"2", "3"}}) {
                for (const quota::Limit &limit :
                     {quota::Limit{40, 40}, largeLimit, quota::Limit{1000, 100}}) {
                    for (const Duration length : {Duration(1s), Duration(5s), Duration(30s)})
                        expectWithinQuota(size, zones, limit, length);
                }
            }
        }
    }

    // Guards against a second owner beside one whose answers are late, with no fault of any
    // instance. The buckets are full when the load begins.
    void unequalDelays()
    {
        for (const std::vector<Duration> &delays :
             {std::vector<Duration>{0ms, 10ms, 40ms}, {0ms, 10ms, 100ms}, {0ms, 300ms}}) {
            for (const std::size_t size : fleetSizes({8, 28, 123})) {
                for (const quota::Limit &limit : {quota::Limit{40, 40}, largeLimit}) {
                    Fleet fleet(size);
                    fleet.delays = delays;
                    fleet.repeatRate = 0.05;
                    addTenants(fleet, limit);
                    fleet.run(12s);
                    expectTenants(fleet, limit, 0.8,
                                  std::to_string(size) + " instances, up to "
                                      + std::to_string(delays.back() / 1ms) + " ms");
                }
            }
        }
    }

    // The same beside a cut of one zone.
    void delaysBesideACut()
    {
        for (const std::vector<Duration> &delays :
             {std::vector<Duration>{0ms, 10ms, 40ms}, {0ms, 10ms, 100ms}, {0ms, 300ms}}) {
            for (const Duration length : {Duration(1s), Duration(5s)}) {
                Fleet fleet(28);
                fleet.delays = delays;
                addTenants(fleet, {40, 40});
                fleet.at(4s, [&] { fleet.cutZones = {"3"}; });
                fleet.at(4s + length, [&] { fleet.cutZones.clear(); });
                fleet.run(10s + length);
                expectTenants(fleet, {40, 40}, 0,
                              "cut, up to " + std::to_string(delays.back() / 1ms) + " ms");
            }
        }
    }

    // Guards against refusing requests within the quota because the owner is in another region.
    void constantDelay()
    {
        for (const Duration delay : {Duration(30ms), Duration(100ms)}) {
            Fleet fleet(28);
            fleet.delays = {delay};
            addTenants(fleet, {40, 40});
            fleet.run(14s);
            expectTenants(fleet, {40, 40}, 0.97, std::to_string(delay / 1ms) + " ms");
        }
    }

    // Guards against owners on either side of a cut in one direction, each of which takes the whole
    // fleet for its own. Afterwards everybody finds the one owner again.
    void oneWayCuts()
    {
        for (const std::size_t size : fleetSizes({12, 28, 123})) {
            for (const bool isDeaf : {false, true}) {
                for (const std::set<std::string> &zones :
                     {std::set<std::string>{"3"}, std::set<std::string>{"2", "3"}}) {
                    for (const Duration length : {Duration(1s), Duration(5s), Duration(20s)}) {
                        Fleet fleet(size);
                        addTenants(fleet, {40, 40});
                        fleet.at(4s,
                                 [&] { (isDeaf ? fleet.deafZones : fleet.unheardZones) = zones; });
                        fleet.at(4s + length, [&] {
                            fleet.deafZones.clear();
                            fleet.unheardZones.clear();
                        });
                        fleet.run(12s + length);
                        const std::string what = std::to_string(size) + " instances, "
                            + std::to_string(zones.size()) + (isDeaf ? " deaf" : " unheard")
                            + " zones, " + std::to_string(length / 1ms) + " ms";
                        for (const Fleet::Load &each : fleet.loads())
                            assertWithin(1, worstWindow(each, {40, 40}), what);
                    }
                }
            }
        }
    }

    // Guards against a bound that holds only while all instances agree on the owner.
    void twoOwners()
    {
        Fleet fleet(123);
        fleet.addLoad("large", largeLimit, steady(overload), 2);
        addOthers(fleet);
        for (Duration time = 5s; time < 6s; time += 50ms) {
            fleet.at(time, [&] {
                const std::string owner = fleet.ownerOf("large").ip;
                for (std::size_t i = 0; i < 120; i += 2)
                    fleet.nodes()[i]->membership.markSuspect(owner, 100ms, fleet.now());
            });
        }
        fleet.run(12s);
        assertOthersGranted(fleet, 0.98);
    }

    // Guards against an owner that grants by the former quota until its bucket is empty.
    void loweredQuota()
    {
        Fleet fleet(60);
        auto &load = fleet.addLoad("large", largeLimit, steady(overload), 2);
        const quota::Limit lowered{largeLimit.rate / 3, largeLimit.burst / 3};
        for (std::size_t i = 0; i < 60; ++i)
            fleet.at(5s + i * 20ms, [&fleet, lowered, i] { fleet.setLimit(i, "large", lowered); });
        fleet.run(14s);
        assertWithin(1, worstWindow(load, largeLimit), "before");
        assertWithin(1, worstWindow(load, lowered, 6200ms), "after");
        assertAtLeast(0.97, grantedBetween(load, 7s, 14s) / lowered.rate, "granted");
    }

    // Guards against instances that change to another owner for each lost datagram.
    void lostDatagrams()
    {
        Fleet fleet(123);
        fleet.lossRate = 0.03;
        auto &load = fleet.addLoad("large", largeLimit, steady(overload), 2);
        addOthers(fleet);
        fleet.run(14s);
        assertOthersGranted(fleet, 0.98);
        assertAtLeast(0.95, grantedBetween(load, 5s, 14s) / largeLimit.rate, "granted");
        for (const Fleet::Load &each : fleet.loads())
            CPPUNIT_ASSERT(each.answered >= each.asked);
    }

    // Guards against datagrams of an owner to itself.
    void ownerSendsNothing()
    {
        Fleet fleet(1);
        auto &load = fleet.addLoad("only", {50, 50}, steady(20));
        fleet.run(5s);
        CPPUNIT_ASSERT_EQUAL(load.asked, load.granted.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fleet.quotaDatagrams);
    }

    // Guards against tokens that are lost when callers disconnect, and against a callback after the
    // end of the call.
    void cancelledRequestReturnsItsToken()
    {
        Fleet fleet(20);
        fleet.addLoad("idle", {0.01, 5}, steady(0));
        int granted = 0;
        for (int i = 0; i < 40; ++i) {
            fleet.at(1s + i * 10ms, [&fleet] {
                auto &allocator = *fleet.nodes()[19]->allocator;
                allocator.cancel(allocator.requestToken(
                    "idle", quota::Timeliness::InTime,
                    [](const QuotaDecision &) { CPPUNIT_FAIL("callback after cancel"); }));
            });
        }
        for (int i = 0; i < 40; ++i) {
            fleet.at(2s + i * 10ms, [&fleet, &granted] {
                auto &allocator = *fleet.nodes()[18]->allocator;
                allocator.requestToken(
                    "idle", quota::Timeliness::InTime, [&](const QuotaDecision &decision) {
                        granted += decision.verdict == quota::Verdict::Granted ? 1 : 0;
                        if (decision.verdict == quota::Verdict::Granted && granted < 20)
                            allocator.returnToken(decision.token);
                    });
            });
        }
        fleet.run(3s);
        CPPUNIT_ASSERT(granted >= 24 && granted <= 25);
    }

    // Guards against refusals by an owner that does not know a new organisation yet.
    void ownerWithOlderConfigurationDoesNotDecide()
    {
        Fleet fleet(20);
        fleet.addLoad("new", {100, 100}, steady(0));
        std::vector<quota::Verdict> verdicts;
        fleet.at(1s, [&] {
            Fleet::Node &owner = fleet.ownerOf("new");
            owner.allocator->setOrganisations({}, 0);
            fleet.nodes()[19]->allocator->requestToken(
                "new", quota::Timeliness::InTime,
                [&](const QuotaDecision &each) { verdicts.push_back(each.verdict); });
        });
        fleet.run(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), verdicts.size());
        CPPUNIT_ASSERT(verdicts.front() == quota::Verdict::Unknown);
    }

private:
    /// Adds organisations that send three times their quota from 3 s on.
    static void addTenants(Fleet &fleet, const quota::Limit &limit)
    {
        for (int i = 0; i < 8; ++i) {
            fleet.addLoad("tenant-" + std::to_string(i), limit, [limit](Duration time) {
                return time > 3s ? 3 * limit.rate : limit.rate / 2;
            });
        }
    }
    /// Expects no window beyond the bound, and at least \a share of the quota in the long run.
    static void expectTenants(Fleet &fleet, const quota::Limit &limit, double share,
                              const std::string &what)
    {
        double granted = 0;
        for (const Fleet::Load &each : fleet.loads()) {
            assertWithin(1, worstWindow(each, limit), what);
            granted += grantedBetween(each, 6s, 12s) / limit.rate
                / static_cast<double>(fleet.loads().size());
        }
        assertAtLeast(share, granted, what + ", granted");
    }

    /// Partitions \a zones from the others for \a length while each of several organisations,
    /// whose owners are on either side, sends three times its quota.
    static void expectWithinQuota(std::size_t size, const std::set<std::string> &zones,
                                  const quota::Limit &limit, Duration length)
    {
        constexpr int count = 8;
        Fleet fleet(size);
        for (int i = 0; i < count; ++i) {
            fleet.addLoad("tenant-" + std::to_string(i), limit, [&limit](Duration time) {
                return time > 3s ? 3 * limit.rate : limit.rate / 2;
            });
        }
        fleet.at(4s, [&] { fleet.cutZones = zones; });
        fleet.at(4s + length, [&] { fleet.cutZones.clear(); });
        fleet.run(10s + length);
        double during = 0;
        const std::string what =
            std::to_string(size) + " instances, " + std::to_string(zones.size()) + " zones cut off";
        for (const Fleet::Load &each : fleet.loads()) {
            assertWithin(1, worstWindow(each, limit), what);
            during += grantedBetween(each, 4s, 4s + length) / limit.rate / count;
        }
        assertAtLeast(0.6, during, what + ", granted");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaAllocatorTest);
