package org.papayawalk.daemon.agent;

import org.papayawalk.core.weight.DownloadSettings;

/**
 * Settings of the distribution of weights. Immutable.
 *
 * @param download settings of the decisions
 * @param uplinkBytesPerSecond share of the link for sending chunks
 * @param downlinkBytesPerSecond share of the link for receiving chunks
 * @param memoryBytes most bytes of chunks held
 */
public record WeightSettings(
        DownloadSettings download,
        double uplinkBytesPerSecond,
        double downlinkBytesPerSecond,
        long memoryBytes) {}
