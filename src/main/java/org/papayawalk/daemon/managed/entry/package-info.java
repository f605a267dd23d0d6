/**
 * Entry on the managed platform: receives HTTP requests of callers, decides which upstream gets
 * each request and when it waits, is retried or is refused, and returns the responses.
 */
package org.papayawalk.daemon.managed.entry;
