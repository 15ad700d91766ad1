// Learns how much backfill of one image raises the tail latency of services of another image. On the workers of
// long-running services some pairs of images disturb each other and others don't.
#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Policy {

/// A service's tail latency grows like that of a queue: base / (1 - utilization). What backfill beside it uses of the
/// worker's processor adds to the utilization, by a factor that depends on both images and is learned from reports: by
/// least squares over the service's own load and all images that ran beside it, so that the effect of one image isn't
/// attributed to another.
class TailLatencyModel {
public:
    /// What backfill of one image uses of a worker's processor, 0 to 1.
    struct BackfillShare {
        std::string image;
        double share = 0;
    };
    /// What was learned about one pair of images: the utilization that a whole processor of the backfill adds to the
    /// service, and the variance of that estimate.
    struct PressureEstimate {
        std::string backfill;
        std::string service;
        double pressure = 0;
        double variance = 0;
    };

    /// One report of a service's task: its tail latency divided by its target, and the backfill beside it, averaged
    /// over the time in which tail latencies rise and fall.
    struct Sample {
        double tailRatio = 0;
        std::vector<BackfillShare> backfillShares;
    };

    /// Learns from one report; a sample without a positive tail ratio is ignored.
    void observe(const std::string& service, const Sample&);

    /// Utilization that a tail ratio corresponds to, 0 to 1; above 1 for a saturated service.
    double utilization(const std::string& service, double tailRatio) const;
    /// What one whole processor of the backfill would add to the service's utilization; 0 for a harmless pair.
    double pressure(const std::string& backfill, const std::string& service) const;
    /// What all these shares of backfill together add to the service's utilization.
    double pressure(const std::vector<BackfillShare>&, const std::string& service) const;
    /// Images of backfill with an estimate, learned, inherited or adopted.
    const std::set<std::string>& backfillImages() const { return m_backfillImages; }
    /// "backfill/service:factor, ..." for logs.
    std::string summary() const;
    /// The estimates that this model learned or inherited, lowest variance first, at most `maximumCount`.
    std::vector<PressureEstimate> pressureEstimates(size_t maximumCount) const;
    /// Continues from the estimates of an earlier owner's model.
    void inherit(const std::vector<PressureEstimate>&);
    /// Takes over the estimates of another model; a new estimate replaces the previous one of the same source and pair.
    void adopt(const std::string& source, const std::vector<PressureEstimate>&);
    /// Usual utilization by the service's own users.
    double usualLoad(const std::string& service) const;

private:
    /// One factor with the variance of its estimate.
    struct Factor {
        double value;
        double variance;
    };
    /// What estimates of one pair add to the prior: their precision, and their values weighted by precision.
    struct Evidence {
        double precision = 0;
        double weightedValue = 0;

        static Evidence of(const Factor&);
        Evidence& operator+=(const Evidence&);
    };
    /// What is known about the backfill of one image beside a service.
    struct Pairing {
        /// Position in the service's `values`; 0 while this model has no estimate of its own.
        size_t index = 0;
        /// By source.
        std::map<std::string, Evidence> adopted;
        /// Invariant: the sum of `adopted`.
        Evidence adoptedSum;

        void adopt(const std::string& source, const Evidence&);
    };
    /// Estimates of the service's own load and of the factor of each image, with their covariance.
    /// Invariant: `values` has one entry more than `images`, the service's own load first; `covariance` is square, row
    /// by row; `pairings` has an entry with its position for each of `images`.
    struct Service {
        /// Whether this model has learned or inherited anything; otherwise it has only adopted estimates.
        bool learned = false;
        /// Usual tail ratio of an idle service.
        double baseRatio;
        std::vector<std::string> images;
        std::vector<double> values;
        std::vector<double> covariance;
        /// By image of the backfill.
        std::unordered_map<std::string, Pairing> pairings;

        Service();
        size_t size() const { return values.size(); }
        double& at(size_t row, size_t column) { return covariance[row * size() + column]; }
        double at(size_t row, size_t column) const { return covariance[row * size() + column]; }
        size_t addImage(const std::string&);
        void learn(const std::vector<double>& weights, double observed, double noise);
    };

    static Factor combinedEstimate(const Service&, const std::string& backfill);
    static double pressure(const Service&, const std::string& backfill);
    const Service& serviceOf(const std::string&) const;
    /// The entry of a service that this model learns about.
    Service& learnedService(const std::string&);
    Pairing& pairingOf(Service&, const std::string& backfill);
    /// Position of the backfill's image in the service's `values`; added if it isn't there yet.
    size_t learnedIndex(Service&, const std::string& backfill);

    std::map<std::string, Service> m_services;
    /// Invariant: the images of the pairings of all services.
    std::set<std::string> m_backfillImages;
};

} // namespace Policy
