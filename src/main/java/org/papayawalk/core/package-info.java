/**
 * Decisions and their data, without threads, sockets or clocks of their own. The present time and
 * randomness are arguments.
 */
package org.papayawalk.core;
