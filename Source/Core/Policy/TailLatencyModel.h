// How much backfill of one image presses on the tail latency of services of another. The load it answers: batch work on
// the workers of long-running services, where some pairs of images disturb each other and others don't.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Policy {

/// A service's tail latency grows like that of a queue: base / (1 - utilization). What backfill beside it uses of the
/// worker's processor adds to the utilization, by a factor that depends on both images and is learned from reports: by
/// least squares over the service's own load and all images that ran beside it, so that what one of them does isn't
/// laid to another.
class TailLatencyModel {
public:
    /// What backfill of one image uses of a worker's processor, 0 to 1.
    struct BackfillShare {
        std::string image;
        double share = 0;
    };
    /// What was learned of one pair.
    struct PressureEstimate {
        std::string backfill;
        std::string service;
        double pressure = 0;
        double variance = 0;
    };

    /// One report of a service's task: its tail latency as a share of its target, and what ran beside it lately,
    /// averaged over the time in which tails rise and fade.
    struct Sample {
        double tailRatio = 0;
        std::vector<BackfillShare> backfillShares;
    };

    void observe(const std::string& service, const Sample&);

    /// Utilization that a tail ratio stands for, 0 to 1.
    double utilization(const std::string& service, double tailRatio) const;
    /// What one whole processor of that backfill would add to the service's utilization; 0 for a harmless pair.
    double pressure(const std::string& backfill, const std::string& service) const;
    /// What the sources add together.
    double pressure(const std::vector<BackfillShare>&, const std::string& service) const;
    /// Images of backfill that were seen beside services.
    std::set<std::string> backfillImages() const;
    /// "backfill/service:factor, ..." for logs.
    std::string summary() const;
    /// What this model has learned by itself, the surest first, at most that many.
    std::vector<PressureEstimate> pressureEstimates(size_t most) const;
    /// Goes on from what an earlier owner's model had learned.
    void inherit(const std::vector<PressureEstimate>&);
    /// What another model has learned; replaces what it told before.
    void adopt(const std::string& source, const std::vector<PressureEstimate>&);
    /// Utilization by the service's own users, as usual.
    double usualLoad(const std::string& service) const;

private:
    /// One factor with the variance of its estimate.
    struct Factor {
        double value;
        double variance;
    };
    /// Estimates of the own load and of the factor of each image, with their covariance.
    /// Invariant: `values` has one entry more than `images`, the own load first; `covariance` is square, row by row.
    struct Service {
        /// Smallest tail ratio that is usual: that of an idle service.
        double baseRatio;
        std::vector<std::string> images;
        std::vector<double> values;
        std::vector<double> covariance;

        Service();
        size_t size() const { return values.size(); }
        double& at(size_t row, size_t column) { return covariance[row * size() + column]; }
        double at(size_t row, size_t column) const { return covariance[row * size() + column]; }
        size_t indexOf(const std::string& image);
        void learn(const std::vector<double>& weights, double seen, double noise);
    };
    using Pair = std::pair<std::string, std::string>;

    std::optional<Factor> own(const Pair&) const;
    Factor combined(const Pair&) const;
    const Service& serviceOf(const std::string&) const;

    /// By pair and by who told.
    std::map<Pair, std::map<std::string, Factor>> m_adopted;
    std::map<std::string, Service> m_services;
};

} // namespace Policy
