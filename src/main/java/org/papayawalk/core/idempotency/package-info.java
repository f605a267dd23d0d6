/**
 * At-most-once execution of non-idempotent calls in the stand-alone program. Each call has a row in
 * the platform's table service, by its idempotency key. It runs at most once, its answer is stored
 * for replay, and every caller receives one of the three outcomes of {@link
 * org.papayawalk.core.Outcome}.
 */
package org.papayawalk.core.idempotency;
