/**
 * One request of a caller: what it states, what upstreams say of it, and how it ends. Immutable.
 */
package org.papayawalk.core.call;
