package org.papayawalk.lab.load;

import java.util.random.RandomGenerator;

/**
 * Lognormal distribution of sizes with a maximum. Immutable.
 *
 * @param mean mean without the maximum, above 0
 * @param coefficientOfVariation standard deviation without the maximum, as a share of the mean
 * @param max maximum; larger samples are reduced to it
 */
record LognormalDistribution(double mean, double coefficientOfVariation, double max) {

    /**
     * Draws a size.
     *
     * @param random random generator
     * @return size, from 1 to the maximum
     */
    double sample(RandomGenerator random) {
        double logVariance = Math.log(1 + coefficientOfVariation * coefficientOfVariation);
        double logMean = Math.log(mean) - logVariance / 2;
        double size = Math.exp(logMean + Math.sqrt(logVariance) * random.nextGaussian());
        return Math.max(1, Math.min(max, size));
    }
}
