#pragma once

#include "summaryvalues.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace apricotrock::metrics {

struct Summary::Private
{
    using Accumulator = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                   boost::accumulators::tag::extended_p_square>>;

    mutable std::mutex mutex;
    Accumulator accumulator{boost::accumulators::extended_p_square_probabilities = quantiles};

    [[nodiscard]] SummaryValues values() const;
};

} // namespace apricotrock::metrics
