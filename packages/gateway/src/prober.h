#pragma once

#include "backendpool.h"
#include "slotallocator.h"

namespace apricotrock::gateway {

/// Probes backend servers whose load is not known from responses, for the services that this
/// instance leads.
class Prober
{
public:
    Prober(Context &context, SlotAllocator &slotAllocator, BackendPool &pool);
    void start();

private:
    void tick();
    void probe(const std::string &service, broker::ServerKey key, const fleet::ServerEntry &server,
               const std::string &path);

    Context &m_context;
    SlotAllocator &m_slotAllocator;
    BackendPool &m_pool;
    metrics::Counter &m_probes;
    metrics::Counter &m_failures;
};

} // namespace apricotrock::gateway
