package org.papayawalk.adapter.standalone;

import java.io.IOException;

/** A kept connection holds bytes that belong to no call, before a request was sent on it. */
final class UnaskedBytesException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception. */
    UnaskedBytesException() {
        super("bytes came on a kept connection before the request was sent");
    }
}
