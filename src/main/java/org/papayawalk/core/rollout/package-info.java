/**
 * Rollout of a version on the hosts of a fleet: when a host may switch to the wanted version, and
 * whether the command to its engine may still be sent.
 */
package org.papayawalk.core.rollout;
