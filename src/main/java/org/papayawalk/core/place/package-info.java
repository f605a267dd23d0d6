/**
 * Where a request goes: load and health of upstreams as one entry sees them, the choice among them,
 * and the budget for sending a request once more.
 */
package org.papayawalk.core.place;
