/** Interfaces to the platform and to upstreams, and the data that passes through them. */
package org.papayawalk.core.port;
