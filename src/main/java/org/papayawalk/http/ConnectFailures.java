package org.papayawalk.http;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;

/** Interprets failures to open a connection. Stateless; thread-safe. */
public final class ConnectFailures {

    private ConnectFailures() {}

    /**
     * Returns whether a failure proves that no process listens at the address.
     *
     * @param cause failure of the attempt to connect
     * @return true if the connection was refused; false after a timeout, which Netty reports by a
     *     subclass of the same exception, or any other failure
     */
    public static boolean provesNoListener(Throwable cause) {
        return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    }
}
