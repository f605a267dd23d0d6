/**
 * Rollout of a version on the hosts of a fleet. In the stand-alone program, a host switches after
 * its predecessors in the rollout, and only while it holds a lease; on the managed platform, the
 * hosts spread their switches over time by {@link org.papayawalk.core.rollout.SwitchSchedule}.
 */
package org.papayawalk.core.rollout;
