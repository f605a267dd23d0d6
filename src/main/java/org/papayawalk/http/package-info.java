/** HTTP over Netty: a client for short calls, and the settings that all connections share. */
package org.papayawalk.http;
