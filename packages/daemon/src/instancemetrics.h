#pragma once

#include "instance.h"

namespace apricotrock::daemon {

/// Adds the counters of all parts of \a instance to its registry.
class InstanceMetrics
{
public:
    explicit InstanceMetrics(Instance &instance);

private:
    using Samples = std::vector<metrics::Registry::Sample>;

    void addProcess() const;
    [[nodiscard]] Samples lanes() const;
    [[nodiscard]] Samples backends() const;
    [[nodiscard]] Samples listeners() const;
    [[nodiscard]] Samples platform() const;
    [[nodiscard]] Samples peers() const;

    Instance &m_instance;
};

} // namespace apricotrock::daemon
