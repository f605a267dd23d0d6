/**
 * Entry of the stand-alone program: accepts HTTP requests of callers, dispatches them to agents and
 * returns the responses.
 */
package org.papayawalk.daemon.standalone.entry;
