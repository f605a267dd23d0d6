/**
 * Metadata of calls on the managed platform, decoded from and encoded in HTTP headers: what a
 * caller states about its request, the parameters of an attempt, and what an upstream states about
 * its response. All types are immutable.
 */
package org.papayawalk.core.call;
