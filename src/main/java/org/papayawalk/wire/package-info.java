/** Messages between papayawalk processes: protobuf over Netty, many calls on one connection. */
package org.papayawalk.wire;
