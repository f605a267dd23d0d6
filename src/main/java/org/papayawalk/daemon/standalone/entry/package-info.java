/**
 * Entry of the stand-alone program: accepts HTTP requests of callers, selects an agent for each,
 * retries failed attempts within the retry budget, and returns the responses.
 */
package org.papayawalk.daemon.standalone.entry;
