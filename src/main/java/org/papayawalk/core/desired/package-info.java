/** The desired state of a site: routes, services, teams and the limits of callers. Immutable. */
package org.papayawalk.core.desired;
