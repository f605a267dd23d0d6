package org.papayawalk.daemon.managed.entry;

/** Caller that behaves: it sends one request and returns some times after a refusal. Stateless. */
final class OrdinaryCaller {
    private static final int ATTEMPTS = 8;

    private static final long RETURN_MILLIS = 500;

    private OrdinaryCaller() {}

    /**
     * Returns whether an ordinary request is answered.
     *
     * @param port port of the entry on loopback
     * @return false if no attempt was
     */
    static boolean isAnswered(int port) {
        TestCaller caller = new TestCaller(port);
        for (int i = 0; i < ATTEMPTS; i++) {
            if (status(caller) == 200) {
                return true;
            }
            sleep();
        }
        return false;
    }

    private static int status(TestCaller caller) {
        try {
            return caller.send("POST", "/pay/x", "key-1").status();
        } catch (AssertionError | RuntimeException e) {
            // The connection was lost; the caller returns.
            return 0;
        }
    }

    private static void sleep() {
        try {
            Thread.sleep(RETURN_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
