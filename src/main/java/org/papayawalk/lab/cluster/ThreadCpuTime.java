package org.papayawalk.lab.cluster;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;

/** Measures what control costs in this process. Holds no state; safe from any thread. */
public final class ThreadCpuTime {

    /** Prevents instances. */
    private ThreadCpuTime() {}

    /**
     * Sums the processor time of threads.
     *
     * @param prefixes starts of the threads' names
     * @return nanoseconds
     */
    public static long cpuNanos(String... prefixes) {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long sum = 0;
        for (ThreadInfo info : threads.getThreadInfo(threads.getAllThreadIds())) {
            if (info != null && startsWithAny(info.getThreadName(), prefixes)) {
                sum += Math.max(0, threads.getThreadCpuTime(info.getThreadId()));
            }
        }
        return sum;
    }

    /**
     * Tells whether a text starts with one of some prefixes.
     *
     * @param text text
     * @param prefixes prefixes
     * @return true if it does
     */
    private static boolean startsWithAny(String text, String... prefixes) {
        for (String p : prefixes) {
            if (text.startsWith(p)) {
                return true;
            }
        }
        return false;
    }
}
