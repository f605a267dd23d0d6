/** The entry on the users' machines: callers' HTTP requests, placed and forwarded to upstreams. */
package org.papayawalk.daemon.managed.entry;
