/**
 * Messages between papayawalk processes: length-prefixed protobuf envelopes over TCP, on Netty
 * event loops. Many calls share one connection; the call number of an envelope assigns replies to
 * calls.
 */
package org.papayawalk.wire;
