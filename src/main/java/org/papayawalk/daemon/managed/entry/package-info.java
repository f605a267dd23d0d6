/**
 * The entry on the managed platform: receives callers' HTTP requests, selects an upstream for each
 * and forwards it.
 */
package org.papayawalk.daemon.managed.entry;
