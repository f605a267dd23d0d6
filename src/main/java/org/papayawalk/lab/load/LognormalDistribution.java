package org.papayawalk.lab.load;

import java.util.random.RandomGenerator;

/**
 * Sizes whose logarithm is normal, cut at a greatest one. Immutable.
 *
 * @param mean mean before the cut, above 0
 * @param spread standard deviation before the cut, as a share of the mean
 * @param max greatest size
 */
record LognormalDistribution(double mean, double spread, double max) {

    /**
     * Draws a size.
     *
     * @param random source of chance
     * @return size, at least 1
     */
    double draw(RandomGenerator random) {
        double variance = Math.log(1 + spread * spread);
        double middle = Math.log(mean) - variance / 2;
        double size = Math.exp(middle + Math.sqrt(variance) * random.nextGaussian());
        return Math.max(1, Math.min(max, size));
    }
}
