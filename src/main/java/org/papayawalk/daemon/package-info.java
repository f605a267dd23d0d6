/**
 * Code that stand-alone daemons and daemons on the managed platform share. The program for
 * stand-alone daemons is in {@code standalone}, the one for the managed platform in {@code
 * managed}, and the exchange of model weights, which both use, in {@code swarm}.
 */
package org.papayawalk.daemon;
