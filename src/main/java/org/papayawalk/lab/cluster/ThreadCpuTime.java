package org.papayawalk.lab.cluster;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;

/** Measures the CPU time of groups of threads in this process. Stateless; thread-safe. */
public final class ThreadCpuTime {

    private ThreadCpuTime() {}

    /**
     * Sums the CPU time of the live threads whose names start with one of the prefixes.
     *
     * @param prefixes prefixes of thread names
     * @return CPU time in nanoseconds; a thread without a measured time counts as 0
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

    private static boolean startsWithAny(String text, String... prefixes) {
        for (String prefix : prefixes) {
            if (text.startsWith(prefix)) {
                return true;
            }
        }
        return false;
    }
}
