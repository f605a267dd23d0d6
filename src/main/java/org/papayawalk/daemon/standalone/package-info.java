/**
 * Stand-alone daemon, program papayawalkd: its settings, and the parts that entries and agents
 * share, such as membership, configuration and messages between daemons.
 */
package org.papayawalk.daemon.standalone;
