/** Daemon on the managed platform: start, and synchronization of the platform's state. */
package org.papayawalk.daemon.managed;
