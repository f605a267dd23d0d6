/**
 * Stand-alone daemon: program, settings, and the parts that entries and agents share, such as
 * membership, configuration and messages between daemons.
 */
package org.papayawalk.daemon.standalone;
