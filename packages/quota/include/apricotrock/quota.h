#pragma once

#include "apricotrock/base.h"

#include <deque>
#include <unordered_map>

/// Decisions about the quotas of organisations.
///
/// The functions do no I/O and do not read the clock. The cost of each is constant.
namespace apricotrock::quota {

/// Answer to a request for a token. The values are part of the wire format.
enum class Verdict : std::uint8_t {
    Granted = 0,
    /// The request is beyond the quota.
    Exceeded = 1,
    /// The owner's configuration has no such organisation.
    Unknown = 2
};

/// The quota of an organisation over all instances.
struct Limit
{
    /// Requests per second, above 0.
    double rate = 0;
    /// Requests that may run at once after a pause.
    double burst = 0;

    bool operator==(const Limit &) const = default;
};

/// The requests in any window may exceed (rate * window + burst) by this overage, which is a share,
/// plus the slack, which is a number of requests.
struct Bounds
{
    Duration window = std::chrono::seconds(5);
    double overage = 0.1;
    double slack = 20;
};

/// What an instance is to an organisation, in its own view of the fleet.
enum class Standing : std::uint8_t {
    /// Other instances ask it because the owner does not answer them.
    StandIn,
    /// It was the owner until recently; instances that do not know the next one still ask it.
    Displaced,
    Owner
};

/// The token bucket of an organisation at an instance that decides for others.
struct Budget
{
    Limit limit;
    Bounds bounds;
    Standing standing = Standing::StandIn;
    /// Part of the quota that this instance may grant, 0 to 1.
    double share = 1;
    /// Tokens at \a updated.
    double level = 0;
    TimePoint updated;
    /// Time of the last request, and end of the time in which the previous owner may still grant
    /// tokens to a part of the fleet.
    TimePoint lastAsked;
    TimePoint settlingUntil;
    /// Requests refused in about the last second, at \a refusalsUpdated.
    double refusals = 0;
    TimePoint refusalsUpdated;
};

struct Answer
{
    Verdict verdict = Verdict::Granted;
    /// Recommended pause before the caller retries.
    Duration retryAfter{};
    /// The asking instance refuses further requests of the organisation for this long.
    Duration holdOff{};
};

/// Returns the tokens of an owner that does not know what its predecessor granted: half of the
/// allowed excess, so that two changes of the owner in one window stay within the bound.
double startLevel(const Limit &limit, const Bounds &bounds);

/// Returns a bucket with the start level, of a stand-in.
Budget makeBudget(const Limit &limit, const Bounds &bounds, TimePoint now);

/// Whether a request can still be answered within its latency target.
enum class Timeliness : std::uint8_t { InTime, Late };

/// Takes a token or refuses the request. While the organisation is at its quota, late requests get
/// only tokens beyond a reserve for those in time: callers that come back after a refusal would
/// otherwise use up the tokens, and most answers would be late. \a random is uniform in [0, 1); it
/// spreads Retry-After.
Answer takeToken(Budget &budget, Timeliness timeliness, double random, TimePoint now);
/// Takes back the token of a request that was not sent.
void giveBack(Budget &budget, TimePoint now);
/// Applies a changed quota. The level is cut to the new capacity.
void setLimit(Budget &budget, const Limit &limit, TimePoint now);
void setStanding(Budget &budget, Standing standing, TimePoint now);
void setShare(Budget &budget, double share, TimePoint now);
/// Drops the tokens of the time since the last request: another instance grants them.
void skipRefill(Budget &budget, TimePoint now);
/// Called after a pause of the process that ended at \a now: another instance may have granted the
/// tokens of that time, so that they are not refilled and the level is at most the start level.
void skipPause(Budget &budget, TimePoint now);

/// Returns the part of the quota that an owner may grant if it is in contact with \a alive of
/// \a known instances, itself included.
double shareOf(std::size_t alive, std::size_t known);

/// The token bucket of an instance that reaches no owner.
struct LocalBudget
{
    double level = 0;
    TimePoint updated;
};

/// Takes a token if there is one. The bucket refills at a part of the instance's share of the
/// quota, where \a knownFleet is the number of instances.
bool takeLocalToken(LocalBudget &budget, const Limit &limit, std::size_t knownFleet, TimePoint now);

/// Identifies a request for a token among those of all instances.
struct TicketKey
{
    std::uint64_t instance = 0;
    std::uint64_t number = 0;

    bool operator==(const TicketKey &) const = default;
};

struct TicketKeyHash
{
    std::size_t operator()(const TicketKey &key) const
    {
        return key.instance ^ (key.number * 0x9E3779B97F4A7C15U);
    }
};

/// The answers of the last 10 s, so that a repeated request gets the same answer and a token is
/// taken back only once. If there are more than \a maxTickets, the oldest are forgotten.
class TicketMemory
{
public:
    explicit TicketMemory(std::size_t maxTickets) : m_maxTickets(maxTickets) { }

    /// Returns the answer to an earlier request with the same ticket, or nullptr.
    const Answer *find(const TicketKey &key, TimePoint now);
    void add(const TicketKey &key, const Answer &answer, TimePoint now);
    /// Records that the ticket is returned. Returns true if a token has to be given back. A request
    /// that arrives after its return is refused.
    bool takeBack(const TicketKey &key, TimePoint now);
    [[nodiscard]] std::size_t size() const { return m_answers.size(); }

private:
    void forget(TimePoint now);

    std::size_t m_maxTickets;
    std::unordered_map<TicketKey, Answer, TicketKeyHash> m_answers;
    /// In the order of time.
    std::deque<std::pair<TimePoint, TicketKey>> m_order;
};

} // namespace apricotrock::quota
