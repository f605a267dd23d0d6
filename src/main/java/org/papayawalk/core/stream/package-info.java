/**
 * Streamed answers: splitting into server-sent events, and checks that all parts arrive in
 * sequence. The managed entry passes events on byte for byte; the stand-alone entry normalizes line
 * ends and counts events, so that it can resume a stream at another upstream.
 */
package org.papayawalk.core.stream;
