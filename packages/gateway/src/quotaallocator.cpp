#include "quotaallocator.h"

#include "context.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>

namespace apricotrock::gateway {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A request is repeated after this time: if every lost datagram made an instance ask the next
/// owner, two owners would grant tokens at the same time. Several times the usual 2 to 4 ms.
constexpr Duration repeatTime = milliseconds(16);
/// Interval of further repetitions, which are needed only over slow links.
constexpr Duration laterRepeatTime = milliseconds(40);
/// An owner that has not answered within twice the longest time that it took lately counts as
/// silent. These are the bounds; the lower one is the timeout of slot requests.
constexpr Duration minRequestTimeout = milliseconds(40);
constexpr Duration maxRequestTimeout = milliseconds(400);
/// The longest time of an answer is forgotten with this half-life.
constexpr std::chrono::duration<double> delayHalfLife{5};
/// Answers that are later than this tell nothing about the link.
constexpr Duration maxLateness = seconds(2);
/// Bound of the unanswered requests that are remembered for that.
constexpr std::size_t maxLateRequests = 1000;
constexpr unsigned maxSilentOwners = 2;
/// Retry-After if no owner can be reached; other instances can decide.
constexpr Duration unknownRetryAfter = milliseconds(100);
/// A process that did nothing for longer than this was stopped. Four ticks, because ticks of a busy
/// small machine can be late.
constexpr Duration maxPause = milliseconds(400);
/// An instance that was the owner for less than this was so only because it suspected the owner;
/// it is not treated as displaced, because it may be needed as the stand-in.
constexpr Duration minOwnership = seconds(1);
/// Time in which all instances learn of a new owner; the zone reports need the most.
constexpr Duration displacementTime = seconds(5);
/// Without any answer for this long after a time-out, an instance counts as isolated, until this
/// long after the last time-out.
constexpr Duration isolationTime = milliseconds(300);
constexpr Duration isolationMemory = seconds(2);
/// Bound of the tickets that an owner remembers; about 100 bytes each. Enough for 10 s with 5000
/// requests per second.
constexpr std::size_t maxTickets = 50000;
/// Organisations whose owner is looked up in one tick; a lookup can cost a pass over the fleet.
constexpr std::size_t organisationsPerTick = 64;

std::uint32_t toMicroseconds(Duration duration)
{
    const auto count = std::chrono::duration_cast<microseconds>(duration).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, UINT32_MAX));
}

std::array<metrics::Counter *, 4> deciderCounters(metrics::Registry &registry,
                                                  const std::string &outcome)
{
    std::array<metrics::Counter *, 4> counters{};
    const std::array<std::string, 4> names = {"self", "peer", "local", "hold_off"};
    for (std::size_t i = 0; i < names.size(); ++i)
        counters[i] = &registry.counter("apricotrock_quota_requests_total",
                                        "Requests for tokens by outcome and by who decided.",
                                        {{"outcome", outcome}, {"decided", names[i]}});
    return counters;
}

metrics::Counter &fallbackCounter(metrics::Registry &registry, const std::string &reason)
{
    return registry.counter("apricotrock_quota_fallbacks_total",
                            "Requests for tokens that no owner decided, by reason.",
                            {{"reason", reason}});
}

metrics::Counter &returnCounter(metrics::Registry &registry, const std::string &reason)
{
    return registry.counter("apricotrock_quota_returned_total", "Returned tokens, by reason.",
                            {{"reason", reason}});
}

} // namespace

QuotaAllocator::Metrics::Metrics(metrics::Registry &registry)
    : granted(deciderCounters(registry, "granted")), refused(deciderCounters(registry, "refused")),
      unknown(registry.counter("apricotrock_quota_requests_total", "",
                               {{"outcome", "unknown"}, {"decided", "local"}})),
      fallbacksSilent(fallbackCounter(registry, "owner_silent")),
      fallbacksVersion(fallbackCounter(registry, "configuration_version")),
      fallbacksIsolated(fallbackCounter(registry, "isolated")),
      returnedUnused(returnCounter(registry, "not_sent")),
      returnedCancelled(returnCounter(registry, "cancelled")),
      returnedSilent(returnCounter(registry, "owner_silent")),
      received(registry.counter("apricotrock_quota_requests_received_total",
                                "Requests for tokens received from other instances.")),
      forwarded(registry.counter(
          "apricotrock_quota_requests_forwarded_total",
          "Requests for tokens received from instances that took this one for the owner."))
{ }

QuotaAllocator::QuotaAllocator(QuotaEnvironment environment, QuotaSender &sender,
                               metrics::Registry &metrics, const quota::Bounds &bounds,
                               std::uint64_t firstTicket, std::uint64_t randomSeed)
    : m_environment(std::move(environment)), m_sender(sender), m_metrics(metrics), m_bounds(bounds),
      m_tickets(maxTickets), m_nextTicket(firstTicket), m_lastActivity(m_environment.now()),
      m_random(randomSeed)
{
    metrics.gauge("apricotrock_quota_tickets", "Answers that this instance remembers as an owner.",
                  {}, [this] { return static_cast<double>(m_tickets.size()); });
}

void QuotaAllocator::setOrganisations(const std::vector<fleet::Organisation> &organisations,
                                      std::uint64_t configurationVersion)
{
    const TimePoint now = m_environment.now();
    detectPause(now);
    updateShare(now);
    m_configurationVersion = configurationVersion;
    m_keys.clear();
    for (const fleet::Organisation &each : organisations) {
        if (each.requestsPerSecond <= 0)
            continue;
        const std::uint64_t key = organisationKey(each.name);
        const quota::Limit limit{each.requestsPerSecond, each.burst};
        m_keys.push_back(key);
        const auto [found, isNew] = m_organisations.try_emplace(key);
        Organisation &organisation = found->second;
        if (!isNew) {
            quota::setLimit(organisation.budget, limit, now);
            continue;
        }
        organisation.name = each.name;
        organisation.role = "quota/" + each.name;
        organisation.budget = quota::makeBudget(limit, m_bounds, now);
        quota::setShare(organisation.budget, m_share, now);
        organisation.ownerSince = now;
        organisation.displacedSince = now;
    }
    const std::unordered_set<std::uint64_t> current(m_keys.begin(), m_keys.end());
    std::erase_if(m_organisations,
                  [&current](const auto &each) { return !current.contains(each.first); });
}

QuotaAllocator::Organisation *QuotaAllocator::find(std::uint64_t key)
{
    const auto found = m_organisations.find(key);
    return found == m_organisations.end() ? nullptr : &found->second;
}

std::string QuotaAllocator::findOwner(Organisation &organisation, TimePoint now)
{
    std::string owner = m_environment.ownerOf(organisation.role, now);
    updateStanding(organisation, owner == m_environment.ip, now);
    if (owner != organisation.owner) {
        // Every instance sees the change; the two owners are enough to explain it.
        const bool concernsSelf =
            owner == m_environment.ip || organisation.owner == m_environment.ip;
        if (!organisation.owner.empty() && concernsSelf && m_environment.ownerChanged)
            m_environment.ownerChanged(organisation.name, owner, organisation.owner);
        organisation.owner = owner;
    }
    return owner;
}

void QuotaAllocator::updateStanding(Organisation &organisation, bool isOwner, TimePoint now) const
{
    const quota::Standing before = organisation.budget.standing;
    quota::Standing standing = before;
    if (isOwner)
        standing = before == quota::Standing::Owner || isUncontestedOwner(organisation, now)
            ? quota::Standing::Owner
            : before;
    else if (before == quota::Standing::Owner)
        standing = now - organisation.ownerSince < minOwnership ? quota::Standing::StandIn
                                                                : quota::Standing::Displaced;
    else if (now - organisation.displacedSince >= displacementTime)
        standing = quota::Standing::StandIn;
    if (standing == before)
        return;
    if (standing == quota::Standing::Owner)
        organisation.ownerSince = now;
    if (standing == quota::Standing::Displaced)
        organisation.displacedSince = now;
    quota::setStanding(organisation.budget, standing, now);
}

bool QuotaAllocator::isUncontestedOwner(const Organisation &organisation, TimePoint now) const
{
    return m_environment.heardOwnerOf(organisation.role, now) == m_environment.ip;
}

quota::Answer QuotaAllocator::decide(Organisation &organisation, quota::Timeliness timeliness,
                                     TimePoint now)
{
    if (organisation.budget.standing == quota::Standing::StandIn) {
        const std::string owner = m_environment.heardOwnerOf(organisation.role, now);
        // An owner that answers grants the whole quota to those that reach it.
        if (owner != m_environment.ip && !isSilent(owner))
            quota::skipRefill(organisation.budget, now);
    }
    return quota::takeToken(organisation.budget, timeliness, random(), now);
}

bool QuotaAllocator::isIsolated(TimePoint now) const
{
    return m_silentSince && now - *m_silentSince >= isolationTime
        && now - m_lastSilence < isolationMemory;
}

void QuotaAllocator::detectPause(TimePoint now)
{
    if (now - m_lastActivity > maxPause) {
        for (auto &[key, each] : m_organisations)
            quota::skipPause(each.budget, now);
    }
    m_lastActivity = now;
}

void QuotaAllocator::updateShare(TimePoint now)
{
    m_contact = m_environment.contact(now);
    const double share = quota::shareOf(m_contact.alive, m_contact.known);
    if (share == m_share)
        return;
    m_share = share;
    for (auto &[key, each] : m_organisations)
        quota::setShare(each.budget, share, now);
}

void QuotaAllocator::tick()
{
    const TimePoint now = m_environment.now();
    detectPause(now);
    updateShare(now);
    for (std::size_t i = 0; i < std::min(organisationsPerTick, m_keys.size()); ++i) {
        m_nextKey = (m_nextKey + 1) % m_keys.size();
        findOwner(m_organisations.at(m_keys[m_nextKey]), now);
    }
}

std::uint64_t QuotaAllocator::requestToken(const std::string &organisation,
                                           quota::Timeliness timeliness, Callback callback)
{
    const TimePoint now = m_environment.now();
    detectPause(now);
    const std::uint64_t ticket = m_nextTicket++;
    const std::uint64_t key = organisationKey(organisation);
    Organisation *known = find(key);
    if (!known) {
        // The configuration in force has no quota for it.
        callback({});
        return ticket;
    }
    PendingRequest &pending = m_pendingRequests[ticket];
    pending.organisation = key;
    pending.timeliness = timeliness;
    pending.callback = std::move(callback);
    if (now < known->holdOffUntil) {
        QuotaDecision decision;
        decision.verdict = quota::Verdict::Exceeded;
        decision.retryAfter = known->holdOffRetryAfter;
        complete(ticket, decision, Decider::HoldOff);
        return ticket;
    }
    ask(ticket);
    return ticket;
}

void QuotaAllocator::ask(std::uint64_t ticket)
{
    const TimePoint now = m_environment.now();
    PendingRequest &pending = m_pendingRequests.at(ticket);
    Organisation *organisation = find(pending.organisation);
    if (!organisation) {
        complete(ticket, {}, Decider::Self);
        return;
    }
    pending.owner = findOwner(*organisation, now);
    pending.isRepeated = false;
    pending.sentAt = now;
    if (pending.owner != m_environment.ip) {
        send(ticket, pending);
        return;
    }
    if (isIsolated(now)) {
        m_metrics.fallbacksIsolated.add();
        decideLocally(ticket, *organisation);
        return;
    }
    const quota::Answer answer = decide(*organisation, pending.timeliness, now);
    QuotaDecision decision = grantedBy(ticket, *organisation, m_environment.ip);
    decision.verdict = answer.verdict;
    decision.retryAfter = answer.retryAfter;
    complete(ticket, decision, Decider::Self);
}

void QuotaAllocator::send(std::uint64_t ticket, PendingRequest &pending)
{
    m_sender.sendQuotaRequest(pending.owner,
                              {ticket, pending.organisation, m_configurationVersion,
                               pending.timeliness == quota::Timeliness::Late,
                               pending.isForwarded || pending.silentOwners > 0});
    const TimePoint now = m_environment.now();
    const Duration remaining = pending.sentAt + awaitedTime(pending, now) - now;
    const Duration interval = pending.isRepeated ? laterRepeatTime : repeatTime;
    pending.timer = m_environment.callAfter(std::min(interval, remaining),
                                            [this, ticket] { handleTimer(ticket); });
}

Duration QuotaAllocator::awaitedTime(const PendingRequest &pending, TimePoint now) const
{
    return pending.silence + timeoutOf(pending.owner, now);
}

Duration QuotaAllocator::timeoutOf(const std::string &ip, TimePoint now) const
{
    const auto found = m_ownerDelays.find(ip);
    if (found == m_ownerDelays.end())
        return minRequestTimeout;
    const std::chrono::duration<double> age = now - found->second.measured;
    const auto longest = std::chrono::duration_cast<Duration>(found->second.longest
                                                              * std::exp2(-age / delayHalfLife));
    return std::clamp(2 * longest, minRequestTimeout, maxRequestTimeout);
}

void QuotaAllocator::recordDelay(const std::string &ip, Duration delay, TimePoint now)
{
    OwnerDelay &known = m_ownerDelays[ip];
    if (2 * delay < timeoutOf(ip, now))
        return;
    known.longest = delay;
    known.measured = now;
}

void QuotaAllocator::recordAnswer(const std::string &ip, std::uint64_t ticket, TimePoint now)
{
    const auto known = m_ownerDelays.find(ip);
    if (known == m_ownerDelays.end())
        return;
    known->second.silentSince.reset();
    const auto late =
        std::find_if(m_lateRequests.begin(), m_lateRequests.end(), [&](const LateRequest &each) {
            return each.ticket == ticket && each.owner == ip;
        });
    if (late == m_lateRequests.end())
        return;
    recordDelay(ip, now - late->sentAt, now);
    m_lateRequests.erase(late);
}

void QuotaAllocator::rememberLateRequest(std::uint64_t ticket, const PendingRequest &pending,
                                         TimePoint now)
{
    while (!m_lateRequests.empty()
           && (m_lateRequests.size() >= maxLateRequests
               || now - m_lateRequests.front().sentAt > maxLateness))
        m_lateRequests.pop_front();
    m_lateRequests.push_back({ticket, pending.owner, pending.sentAt});
}

bool QuotaAllocator::isSilent(const std::string &ip) const
{
    const auto found = m_ownerDelays.find(ip);
    return found != m_ownerDelays.end() && found->second.silentSince;
}

void QuotaAllocator::handleTimer(std::uint64_t ticket)
{
    const auto found = m_pendingRequests.find(ticket);
    if (found == m_pendingRequests.end())
        return;
    detectPause(m_environment.now());
    PendingRequest &pending = found->second;
    pending.timer = 0;
    const TimePoint now = m_environment.now();
    if (now >= pending.sentAt + awaitedTime(pending, now)) {
        handleSilence(ticket, pending);
        return;
    }
    pending.isRepeated = true;
    send(ticket, pending);
}

void QuotaAllocator::handleSilence(std::uint64_t ticket, PendingRequest &pending)
{
    const TimePoint now = m_environment.now();
    m_lastSilence = now;
    if (!m_silentSince)
        m_silentSince = now;
    Organisation *organisation = find(pending.organisation);
    if (!organisation) {
        complete(ticket, {}, Decider::Local);
        return;
    }
    const std::string silent = pending.owner;
    OwnerDelay &delay = m_ownerDelays[silent];
    if (!delay.silentSince)
        delay.silentSince = now;
    rememberLateRequest(ticket, pending, now);
    // The next owner may ask the silent one before it decides.
    pending.silence += timeoutOf(silent, now);
    m_environment.ownerSilent(silent, organisation->name);
    const bool isLast = ++pending.silentOwners >= maxSilentOwners;
    // An owner that stays the owner is asked again with the same ticket.
    if (isLast || findOwner(*organisation, now) != silent) {
        m_sender.sendQuotaReturn(silent, {ticket, pending.organisation});
        m_metrics.returnedSilent.add();
    }
    if (!isLast) {
        ask(ticket);
        return;
    }
    m_metrics.fallbacksSilent.add();
    decideLocally(ticket, *organisation);
}

void QuotaAllocator::decideLocally(std::uint64_t ticket, Organisation &organisation)
{
    const TimePoint now = m_environment.now();
    // The bucket starts empty whenever an owner has answered since it was used.
    if (organisation.local.updated <= organisation.answered)
        organisation.local = {0, now};
    QuotaDecision decision = grantedBy(ticket, organisation, {});
    decision.token.isLocal = true;
    if (!quota::takeLocalToken(organisation.local, organisation.budget.limit, m_contact.known,
                               now)) {
        decision.verdict = quota::Verdict::Unknown;
        decision.retryAfter = unknownRetryAfter;
    }
    complete(ticket, decision, Decider::Local);
}

QuotaDecision QuotaAllocator::grantedBy(std::uint64_t ticket, const Organisation &organisation,
                                        const std::string &owner) const
{
    QuotaDecision decision;
    decision.token.ticket = ticket;
    decision.token.organisation = organisation.name;
    decision.token.owner = owner;
    return decision;
}

void QuotaAllocator::complete(std::uint64_t ticket, const QuotaDecision &decision, Decider by)
{
    const auto found = m_pendingRequests.find(ticket);
    if (found == m_pendingRequests.end())
        return;
    if (found->second.timer != 0)
        m_environment.cancelTimer(found->second.timer);
    const Callback callback = std::move(found->second.callback);
    m_pendingRequests.erase(found);
    const auto index = static_cast<std::size_t>(by);
    switch (decision.verdict) {
    case quota::Verdict::Granted:
        m_metrics.granted[index]->add();
        break;
    case quota::Verdict::Exceeded:
        m_metrics.refused[index]->add();
        break;
    case quota::Verdict::Unknown:
        m_metrics.unknown.add();
        break;
    }
    callback(decision);
}

void QuotaAllocator::cancel(std::uint64_t ticket)
{
    const auto found = m_pendingRequests.find(ticket);
    if (found == m_pendingRequests.end())
        return;
    m_sender.sendQuotaReturn(found->second.owner, {ticket, found->second.organisation});
    m_metrics.returnedCancelled.add();
    if (found->second.timer != 0)
        m_environment.cancelTimer(found->second.timer);
    m_pendingRequests.erase(found);
}

void QuotaAllocator::returnToken(const QuotaToken &token)
{
    const std::uint64_t key = organisationKey(token.organisation);
    Organisation *organisation = find(key);
    if (!organisation)
        return;
    m_metrics.returnedUnused.add();
    if (token.isLocal)
        organisation->local.level += 1;
    else if (token.owner == m_environment.ip)
        quota::giveBack(organisation->budget, m_environment.now());
    else if (!token.owner.empty())
        m_sender.sendQuotaReturn(token.owner, {token.ticket, key});
}

void QuotaAllocator::handleRequest(const std::string &ip, const wire::QuotaRequest &request)
{
    const TimePoint now = m_environment.now();
    detectPause(now);
    m_metrics.received.add();
    const quota::TicketKey ticket{instanceKey(ip), request.ticket()};
    quota::Answer answer;
    Organisation *organisation = find(request.organisation());
    if (const quota::Answer *earlier = m_tickets.find(ticket, now)) {
        answer = *earlier;
    } else if (organisation) {
        if (findOwner(*organisation, now) != m_environment.ip && !request.must_decide()) {
            forward(ip, request);
            return;
        }
        const auto timeliness =
            request.is_late() ? quota::Timeliness::Late : quota::Timeliness::InTime;
        answer = decide(*organisation, timeliness, now);
        m_tickets.add(ticket, answer, now);
    } else if (m_configurationVersion <= request.configuration_version()) {
        // Not remembered: this instance may get the sender's version before a repetition.
        answer.verdict = quota::Verdict::Unknown;
    }
    respond(ip, request, answer);
}

void QuotaAllocator::forward(const std::string &ip, const wire::QuotaRequest &request)
{
    const quota::TicketKey key{instanceKey(ip), request.ticket()};
    // A repetition of a request that is being forwarded.
    if (!m_forwarded.insert(key).second)
        return;
    m_metrics.forwarded.add();
    const std::uint64_t ticket = m_nextTicket++;
    PendingRequest &pending = m_pendingRequests[ticket];
    pending.organisation = request.organisation();
    pending.timeliness = request.is_late() ? quota::Timeliness::Late : quota::Timeliness::InTime;
    pending.isForwarded = true;
    pending.callback = [this, ip, request, key](const QuotaDecision &decision) {
        const TimePoint now = m_environment.now();
        m_forwarded.erase(key);
        const bool isReturned = m_tickets.find(key, now) != nullptr;
        if (isReturned && decision.verdict == quota::Verdict::Granted)
            returnToken(decision.token);
        if (isReturned)
            return;
        quota::Answer answer;
        answer.verdict = decision.verdict;
        answer.retryAfter = decision.retryAfter;
        m_tickets.add(key, answer, now);
        respond(ip, request, answer);
    };
    ask(ticket);
}

void QuotaAllocator::respond(const std::string &ip, const wire::QuotaRequest &request,
                             const quota::Answer &answer)
{
    m_sender.sendQuotaResponse(ip,
                               {request.ticket(), request.organisation(),
                                toMicroseconds(answer.retryAfter), toMicroseconds(answer.holdOff),
                                static_cast<std::uint8_t>(answer.verdict)});
}

void QuotaAllocator::handleResponse(const std::string &ip, const wire::QuotaResponse &response)
{
    const TimePoint now = m_environment.now();
    detectPause(now);
    m_silentSince.reset();
    const std::uint64_t ticket = response.ticket();
    recordAnswer(ip, ticket, now);
    const auto found = m_pendingRequests.find(ticket);
    // An owner that answers late has got the return of the token.
    if (found == m_pendingRequests.end() || found->second.owner != ip)
        return;
    recordDelay(ip, now - found->second.sentAt, now);
    Organisation *organisation = find(found->second.organisation);
    if (!organisation) {
        complete(ticket, {}, Decider::Peer);
        return;
    }
    const auto verdict = static_cast<quota::Verdict>(response.verdict());
    if (verdict != quota::Verdict::Granted && verdict != quota::Verdict::Exceeded) {
        m_metrics.fallbacksVersion.add();
        decideLocally(ticket, *organisation);
        return;
    }
    organisation->answered = now;
    QuotaDecision decision = grantedBy(ticket, *organisation, ip);
    decision.verdict = verdict;
    decision.retryAfter = microseconds(response.retry_after_us());
    if (response.hold_off_us() > 0) {
        organisation->holdOffUntil = now + microseconds(response.hold_off_us());
        organisation->holdOffRetryAfter = decision.retryAfter;
    }
    complete(ticket, decision, Decider::Peer);
}

void QuotaAllocator::handleReturn(const std::string &ip, const wire::QuotaReturn &message)
{
    const TimePoint now = m_environment.now();
    detectPause(now);
    const bool isGranted = m_tickets.takeBack({instanceKey(ip), message.ticket()}, now);
    Organisation *organisation = find(message.organisation());
    if (isGranted && organisation)
        quota::giveBack(organisation->budget, now);
}

} // namespace apricotrock::gateway
