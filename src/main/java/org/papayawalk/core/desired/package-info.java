/**
 * Desired state of the managed platform: routes, services, teams and limits on callers. All types
 * are immutable.
 */
package org.papayawalk.core.desired;
