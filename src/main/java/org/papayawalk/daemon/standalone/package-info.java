/**
 * What every daemon does whatever its role: control thread, membership, configuration and messages
 * of peers.
 */
package org.papayawalk.daemon.standalone;
