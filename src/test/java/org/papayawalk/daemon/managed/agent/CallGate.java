package org.papayawalk.daemon.managed.agent;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;

/** Holds calls of one kind at a fake server until they are released. Thread-safe. */
final class CallGate {
    private int callsToHold;

    private int held;

    private CountDownLatch gate = new CountDownLatch(0);

    /**
     * Holds the next calls.
     *
     * @param calls number of calls to hold; later ones pass
     */
    synchronized void hold(int calls) {
        callsToHold = calls;
        gate = new CountDownLatch(1);
    }

    /** Lets the held calls pass, and all that follow. */
    synchronized void release() {
        callsToHold = 0;
        gate.countDown();
    }

    /**
     * Returns how many calls were held.
     *
     * @return number of calls since the start, released or not
     */
    synchronized int held() {
        return held;
    }

    /**
     * Passes, or waits until the call is released.
     *
     * @throws IOException if the server stops
     */
    void pass() throws IOException {
        CountDownLatch present;
        synchronized (this) {
            if (callsToHold == 0) {
                return;
            }
            callsToHold--;
            held++;
            present = gate;
        }
        try {
            present.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }
}
