// How much backfill of one image presses on the tail latency of services of another. The load it answers: batch work on
// the workers of long-running services, where some pairs of images disturb each other and others don't.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Policy {

/// A service's tail latency grows like that of a queue: base / (1 - utilization). What backfill beside it uses of the
/// worker's processor adds to the utilization, by a factor that depends on both images and is learned from reports.
class TailModel {
public:
    /// What backfill of one image uses of a worker's processor, 0 to 1.
    struct Source {
        std::string image;
        double share = 0;
        /// It works at full pace. A slowed-down source follows the services' own load, which would be taken for its
        /// effect.
        bool fullPace = false;
    };
    /// What was learned of one pair.
    struct Belief {
        std::string backfill;
        std::string service;
        double pressure = 0;
        double variance = 0;
    };

    /// One report of a service's task: its tail latency as a share of its target, and what ran beside it in that time.
    struct Sample {
        double tailRatio = 0;
        std::vector<Source> sources;
    };

    /// `previous`: the report before of the same task, if there was one within the last seconds and no backfill was
    /// slowed down or let on since: that follows the service's own load, which would be taken for its effect. What has
    /// changed in between tells more than the sample alone, since each task's own load swings.
    void observe(const std::string& service, const Sample&, const Sample* previous);

    /// Utilization that a tail ratio stands for, 0 to 1.
    double utilization(const std::string& service, double tailRatio) const;
    /// What one whole processor of that backfill would add to the service's utilization.
    double pressure(const std::string& backfill, const std::string& service) const;
    /// What the sources add together.
    double pressure(const std::vector<Source>&, const std::string& service) const;
    /// Images of backfill that were seen beside services.
    std::set<std::string> backfillImages() const;
    /// "backfill/service:factor, ..." for logs.
    std::string summary() const;
    /// What this model has learned by itself, the surest first, at most that many.
    std::vector<Belief> beliefs(size_t most) const;
    /// What another model has learned; replaces what it told before.
    void adopt(const std::string& source, const std::vector<Belief>&);
    /// Utilization by the service's own users, as usual.
    double usualLoad(const std::string& service) const;

private:
    /// One factor with the variance of its estimate.
    struct Factor {
        double value;
        double variance;
    };
    struct Service {
        /// Smallest tail ratio that is usual: that of an idle service.
        double baseRatio;
        double load;
    };
    using Pair = std::pair<std::string, std::string>;

    Factor combined(const Pair&) const;
    static Factor priorFactor();
    static Service priorService();
    const Service& serviceOf(const std::string&) const;
    void learnLevel(const std::string& service, const Sample&);
    void learnChange(const std::string& service, const Sample&, const Sample& previous);
    void learnFactors(const std::string& service, double surprise, const std::vector<Source>&, double noise);

    std::map<Pair, Factor> m_factors;
    /// By pair and by who told.
    std::map<Pair, std::map<std::string, Factor>> m_adopted;
    std::map<std::string, Service> m_services;
};

} // namespace Policy
