#pragma once

#include "apricotrock/fleet.h"
#include "apricotrock/gateway_generated.h"
#include "apricotrock/metrics.h"
#include "apricotrock/quota.h"

#include <deque>
#include <functional>
#include <random>
#include <unordered_set>

namespace apricotrock::gateway {

/// Sends the messages about quotas to other instances.
class QuotaSender
{
public:
    QuotaSender() = default;
    virtual ~QuotaSender() = default;
    QuotaSender(const QuotaSender &) = delete;
    QuotaSender &operator=(const QuotaSender &) = delete;

    virtual void sendQuotaRequest(const std::string &ip, const wire::QuotaRequest &request) = 0;
    virtual void sendQuotaResponse(const std::string &ip, const wire::QuotaResponse &response) = 0;
    virtual void sendQuotaReturn(const std::string &ip, const wire::QuotaReturn &message) = 0;
};

/// What a quota allocator needs from its instance.
struct QuotaEnvironment
{
    std::string ip;
    std::function<TimePoint()> now;
    std::function<std::uint64_t(Duration, std::function<void()>)> callAfter;
    std::function<void(std::uint64_t)> cancelTimer;
    /// Returns the IP address of the instance that has \a role.
    std::function<std::string(const std::string &role, TimePoint)> ownerOf;
    /// Returns the same among all instances that were heard lately, whether or not they are
    /// suspected to be silent.
    std::function<std::string(const std::string &role, TimePoint)> heardOwnerOf;
    std::function<fleet::FleetContact(TimePoint)> contact;
    /// Called with an owner that did not answer.
    std::function<void(const std::string &ip, const std::string &organisation)> ownerSilent;
    std::function<void(const std::string &organisation, const std::string &owner,
                       const std::string &before)>
        ownerChanged;
};

/// A token that was granted to a request.
struct QuotaToken
{
    std::uint64_t ticket = 0;
    std::string organisation;
    /// IP address of the owner; empty if there is nobody to return the token to.
    std::string owner;
    /// The token is from the local bucket.
    bool isLocal = false;
};

struct QuotaDecision
{
    /// Unknown if no owner answered and the local bucket has no token.
    quota::Verdict verdict = quota::Verdict::Granted;
    Duration retryAfter{};
    /// Valid if granted.
    QuotaToken token;
};

/// Obtains tokens for the requests of this instance from the quota owner of each organisation, and
/// grants tokens for the organisations that this instance owns.
class QuotaAllocator
{
public:
    using Callback = std::function<void(const QuotaDecision &)>;

    /// \a firstTicket must differ from the tickets of earlier processes with the same address.
    QuotaAllocator(QuotaEnvironment environment, QuotaSender &sender, metrics::Registry &metrics,
                   const quota::Bounds &bounds, std::uint64_t firstTicket,
                   std::uint64_t randomSeed);

    /// Applies the organisations of a configuration.
    void setOrganisations(const std::vector<fleet::Organisation> &organisations,
                          std::uint64_t configurationVersion);
    /// True if the configuration in force has an organisation with a quota.
    [[nodiscard]] bool hasQuotas() const { return !m_organisations.empty(); }

    /// Requests a token. \a callback is called once, possibly before this function returns.
    /// Returns the ticket for cancel().
    std::uint64_t requestToken(const std::string &organisation, quota::Timeliness timeliness,
                               Callback callback);
    /// Withdraws a pending request. Its callback is not called.
    void cancel(std::uint64_t ticket);
    /// Returns the token of a request that was not sent to any backend server.
    void returnToken(const QuotaToken &token);
    [[nodiscard]] std::size_t pendingRequests() const { return m_pendingRequests.size(); }

    void handleRequest(const std::string &ip, const wire::QuotaRequest &request);
    void handleResponse(const std::string &ip, const wire::QuotaResponse &response);
    void handleReturn(const std::string &ip, const wire::QuotaReturn &message);

    /// Called every 100 ms. A longer time without a call shows that the process was stopped.
    void tick();

private:
    struct Organisation
    {
        std::string name;
        std::string role;
        quota::Budget budget;
        quota::LocalBudget local;
        TimePoint ownerSince;
        TimePoint displacedSince;
        /// The last owner, for the log.
        std::string owner;
        TimePoint holdOffUntil;
        Duration holdOffRetryAfter{};
        /// Time of the last answer of an owner.
        TimePoint answered;
    };
    struct PendingRequest
    {
        std::uint64_t organisation = 0;
        quota::Timeliness timeliness = quota::Timeliness::InTime;
        Callback callback;
        std::string owner;
        std::uint64_t timer = 0;
        bool isRepeated = false;
        /// Received from an instance that took this one for the owner.
        bool isForwarded = false;
        unsigned silentOwners = 0;
        /// Time of the first message to the owner, and of the timeout of earlier owners.
        TimePoint sentAt;
        Duration silence{};
    };
    /// How long an owner takes to answer.
    struct OwnerDelay
    {
        Duration longest{};
        TimePoint measured;
        /// First time-out since the last message from the owner.
        std::optional<TimePoint> silentSince;
    };
    /// A request that was not answered in time; the answer still shows how long the owner takes.
    struct LateRequest
    {
        std::uint64_t ticket = 0;
        std::string owner;
        TimePoint sentAt;
    };
    struct Metrics
    {
        explicit Metrics(metrics::Registry &registry);
        /// By decider: self, peer, local, hold_off.
        std::array<metrics::Counter *, 4> granted;
        std::array<metrics::Counter *, 4> refused;
        metrics::Counter &unknown;
        metrics::Counter &fallbacksSilent;
        metrics::Counter &fallbacksVersion;
        metrics::Counter &fallbacksIsolated;
        metrics::Counter &returnedUnused;
        metrics::Counter &returnedCancelled;
        metrics::Counter &returnedSilent;
        metrics::Counter &received;
        metrics::Counter &forwarded;
    };
    enum class Decider : std::uint8_t { Self, Peer, Local, HoldOff };

    Organisation *find(std::uint64_t key);
    void ask(std::uint64_t ticket);
    /// Asks the owner on behalf of the instance at \a ip, which took this one for it: an instance
    /// that has just started knows a part of the fleet only. Deciding here would grant tokens of
    /// the start level at each instance that is mistaken for the owner.
    void forward(const std::string &ip, const wire::QuotaRequest &request);
    void respond(const std::string &ip, const wire::QuotaRequest &request,
                 const quota::Answer &answer);
    void send(std::uint64_t ticket, PendingRequest &pending);
    /// Returns how long an answer to \a pending is awaited: longer if an earlier owner was silent.
    [[nodiscard]] Duration awaitedTime(const PendingRequest &pending, TimePoint now) const;
    /// Returns how long an answer of the owner at \a ip is awaited.
    [[nodiscard]] Duration timeoutOf(const std::string &ip, TimePoint now) const;
    void recordAnswer(const std::string &ip, std::uint64_t ticket, TimePoint now);
    void recordDelay(const std::string &ip, Duration delay, TimePoint now);
    void rememberLateRequest(std::uint64_t ticket, const PendingRequest &pending, TimePoint now);
    /// True if the instance at \a ip left a request without an answer and sent nothing since.
    [[nodiscard]] bool isSilent(const std::string &ip) const;
    /// Takes a token from the budget of this instance.
    quota::Answer decide(Organisation &organisation, quota::Timeliness timeliness, TimePoint now);
    void handleTimer(std::uint64_t ticket);
    void handleSilence(std::uint64_t ticket, PendingRequest &pending);
    void decideLocally(std::uint64_t ticket, Organisation &organisation);
    void complete(std::uint64_t ticket, const QuotaDecision &decision, Decider by);
    [[nodiscard]] QuotaDecision grantedBy(std::uint64_t ticket, const Organisation &organisation,
                                          const std::string &owner) const;
    std::string findOwner(Organisation &organisation, TimePoint now);
    void updateStanding(Organisation &organisation, bool isOwner, TimePoint now) const;
    /// True if no other instance that was heard lately is the owner.
    [[nodiscard]] bool isUncontestedOwner(const Organisation &organisation, TimePoint now) const;
    /// True if nobody has answered this instance for a while.
    [[nodiscard]] bool isIsolated(TimePoint now) const;
    void detectPause(TimePoint now);
    void updateShare(TimePoint now);
    double random() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    QuotaEnvironment m_environment;
    QuotaSender &m_sender;
    Metrics m_metrics;
    quota::Bounds m_bounds;
    /// Organisations that have a quota, by organisationKey().
    std::unordered_map<std::uint64_t, Organisation> m_organisations;
    /// Keys of m_organisations, and the next one whose standing tick() updates.
    std::vector<std::uint64_t> m_keys;
    std::size_t m_nextKey = 0;
    std::uint64_t m_configurationVersion = 0;
    std::unordered_map<std::uint64_t, PendingRequest> m_pendingRequests;
    quota::TicketMemory m_tickets;
    /// Requests of other instances that were forwarded and are not answered yet.
    std::unordered_set<quota::TicketKey, quota::TicketKeyHash> m_forwarded;
    std::unordered_map<std::string, OwnerDelay> m_ownerDelays;
    std::deque<LateRequest> m_lateRequests;
    std::uint64_t m_nextTicket;
    fleet::FleetContact m_contact;
    double m_share = 1;
    TimePoint m_lastActivity;
    /// First time-out since the last answer of another instance.
    std::optional<TimePoint> m_silentSince;
    TimePoint m_lastSilence;
    std::mt19937_64 m_random;
};

} // namespace apricotrock::gateway
